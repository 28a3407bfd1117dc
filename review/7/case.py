"""ROUTE: the last tenant is taken out of the configuration; requests with keys that no configuration
ever held follow."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from platform2 import KEY, configuration, main, route  # noqa: E402

NEVER_HELD = "zzzzzzzzzzzzzzzzzzzz"
EACH = 10


async def case(make, record, trouble):
    fleet = make(cores=3, edges=2)
    routes = [route("repair-order", "/order/", "non_idempotent", "orders")]
    await fleet.start(configuration(3, routes),
                      [(f"orders-{i}", "orders", 64) for i in range(3)])

    async def ask(what, key):
        """Orders with the key; returns how many of them ran."""
        ends = {}
        attempts = set()
        for number in range(EACH):
            edge = fleet.edges[number % len(fleet.edges)]
            attempt, status, _, _ = await fleet.request(
                edge, "/order/1", b"{}", "POST", more={"Authorization": "Token " + key})
            attempts.add(attempt)
            ends[status] = ends.get(status, 0) + 1
            record.note(f"{what}: {attempt} at {edge.name}: {status}")
        ran = [(attempt, headers.get("x-tenant")) for runner in fleet.runners
               for _, attempt, headers in runner.arrived if attempt in attempts]
        for attempt, tenant in ran:
            record.note(f"{what}: {attempt} has run, X-Tenant: {tenant}")
        record.say(f"{what}: answers {ends}, {len(ran)} of {EACH} ran")
        return len(ran)

    before = await ask("before the change, key of the tenant", KEY)
    unknown_before = await ask("before the change, key that was never held", NEVER_HELD)
    if before != EACH or unknown_before != 0:
        raise RuntimeError("the first configuration is not in force")
    after = configuration(5, routes, tenants=[]) if trouble else configuration(5, routes)
    status, _, _, core = await fleet.order("PUT", "/v1/configuration", after)
    acked = time.monotonic()
    record.note(f"configuration 5 with tenants {after['tenants']}: {status} from {core.name}")
    await asyncio.sleep(6)  # over configApplyMs, contactMs and revokeMs
    status, _, body, _ = await fleet.order("GET", "/v1/configuration")
    record.note(f"read {time.monotonic() - acked:.1f} s later: {status} {body.decode()}")
    await ask("after the change, key that was taken away" if trouble
              else "after the change, key of the tenant", KEY)
    return await ask("after the change, key that was never held", NEVER_HELD) == 0


main(os.path.dirname(os.path.abspath(__file__)), case)
