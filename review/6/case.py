"""CONFIG: machines of the core are replaced for good, one after the other."""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from platform2 import Node, configuration, http, main, route  # noqa: E402

EMPTY_ONE_AFTER_S = 1.0  # x of replace_core
GAP_S = 5.5  # the successor starts 1 s after the removal, and has had catchUpS (4 s) by then
READ_S = 12.0  # over contactMs


async def case(make, record, trouble):
    fleet = make(cores=5, edges=2)
    routes = [route("history-read", "/read/", "idempotent", "orders", maxAttempts=2)]
    await fleet.start(configuration(3, routes),
                      [(f"orders-{i}", "orders", 64) for i in range(3)])

    async def status(core):
        """The project's own status; used to find the leader, not to judge."""
        try:
            _, _, body = await http((core.ip, 9464), "GET", "/v1/operators/node")
            return json.loads(body)["replica"]
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None

    async def leader():
        for _ in range(50):
            for core in fleet.cores:
                found = await status(core)
                if found and any(item["leads"] and item["name"] == core.name
                                 for item in found["replicas"]):
                    return core, found
            await asyncio.sleep(0.1)
        raise RuntimeError("no leader")

    for _ in range(100):
        _, found = await leader()
        if sum(item["voter"] for item in found["replicas"]) == 5 and found["replicas_settled"]:
            break
        await asyncio.sleep(0.1)
    else:
        raise RuntimeError("the core has not formed")
    successors = 0

    async def replace(core):
        nonlocal successors
        successors += 1
        record.note(f"{core.name} is removed for good")
        core.kill()
        fleet.cores.remove(core)
        fleet.removed.append(core)
        node = Node(fleet, f"core-new-{successors}", f"{fleet.net}.{30 + successors}", core.zone,
                    True)
        await asyncio.sleep(EMPTY_ONE_AFTER_S)
        node.start()
        fleet.cores.append(node)
        record.note(f"{node.name} starts, empty, at {node.ip}")

    if trouble:
        for number in range(3):
            began = time.monotonic()
            leads, found = await leader()
            record.note("members before: " + ", ".join(
                f"{item['name']}{' (leads)' if item['leads'] else ''}"
                f"{'' if item['voter'] else ' (no vote)'}" for item in found["replicas"]))
            # The second one leads; the first and the third are others that have been there from
            # the start.
            others = [core for core in fleet.cores
                      if core is not leads and not core.name.startswith("core-new")]
            await replace(leads if number == 1 else others[-1])
            await asyncio.sleep(GAP_S - (time.monotonic() - began))
    await asyncio.sleep(15)
    for core in fleet.cores:
        found = await status(core)
        record.note(f"members at {core.name}: " + ", ".join(
            f"{item['name']}{'' if item['voter'] else ' (no vote)'}"
            for item in found["replicas"]) if found else f"{core.name} has no status")
    acked = "no acknowledgement"
    try:
        acked = (await fleet.order("PUT", "/v1/configuration", configuration(5, routes),
                                   READ_S))[0]
    except RuntimeError as problem:
        record.note(str(problem))
    read = "no configuration"
    try:
        code, _, body, _ = await fleet.order("GET", "/v1/configuration", limit=READ_S)
        read = f"{code}, version {json.loads(body)['version']}"
    except RuntimeError as problem:
        record.note(str(problem))
    record.say(f"order of version 5: {acked}; read back: {read}; {len(fleet.cores)} machines of the "
               f"core run: {[core.name for core in fleet.cores if core.alive()]}")
    return read != "no configuration"


main(os.path.dirname(os.path.abspath(__file__)), case)
