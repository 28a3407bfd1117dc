"""BUDGET: a runner that asked for quiet is out of the control plane's sight for some seconds."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from platform2 import configuration, main, route  # noqa: E402

QUIET_S = 15.0
CUT_S = 5.0  # the default of srv_cut
PER_SECOND = 60
RUNNERS = 5  # one of them is a share of 0.2


async def case(make, record, trouble):
    fleet = make(cores=3, edges=2)
    routes = [route("history-read", "/read/", "idempotent", "orders", maxAttempts=2)]
    await fleet.start(configuration(3, routes),
                      [(f"orders-{i}", "orders", 6) for i in range(RUNNERS)])
    for runner in fleet.runners:
        runner.work_s = 0.1  # so that each of them gets work from each edge
    busy = fleet.runners[0]
    asked = {}  # by edge: when it was told to keep quiet
    reached = []  # (time, edge)

    async def serve(runner, reader, writer, headers, path, body):
        edge = headers["x-edge"]
        now = time.monotonic()
        if edge not in asked:
            asked[edge] = now
            record.note(f"{runner.name} is full: 503 to {edge}, Retry-After {QUIET_S}")
            runner.answer(writer, headers, 503, b"full",
                          {"X-Not-Executed": "1", "Retry-After": f"{QUIET_S}"}, signed=False)
            await writer.drain()
            return True
        if edge in asked:
            reached.append((now - asked[edge], edge))
            record.note(f"{runner.name} is reached by {headers['x-attempt-id']} from {edge} "
                        f"{now - asked[edge]:.2f} s after it asked for quiet")
        return False

    busy.serve = serve
    ends = {}
    stopping = False

    async def one(number):
        edge = fleet.edges[number % len(fleet.edges)]
        try:
            _, status, _, _ = await fleet.request(edge, f"/read/{number}",
                                                  more={"X-Edge": edge.name})
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            status = "no answer"
        ends[status] = ends.get(status, 0) + 1

    async def traffic():
        number = 0
        tasks = []
        while not stopping:
            tasks.append(asyncio.create_task(one(number)))
            number += 1
            await asyncio.sleep(1 / PER_SECOND)
        await asyncio.gather(*tasks)

    flow = asyncio.create_task(traffic())
    while len(asked) < len(fleet.edges):
        await asyncio.sleep(0.05)
    if trouble:
        # The runner and the core don't reach each other; the edges reach both.
        last = busy.sequence
        while busy.sequence == last:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.9)
        busy.cut_until = time.monotonic() + CUT_S
        record.note(f"{busy.name} is cut off from the core for {CUT_S} s")
    await asyncio.sleep(max(asked.values()) + QUIET_S - time.monotonic())
    stopping = True
    await flow
    record.note(f"how requests ended: {ends}")
    held = True
    for edge in sorted(asked):
        count = sum(1 for after, of in reached if of == edge and 0.5 < after < QUIET_S)
        record.say(f"{edge}: {count} requests reached {busy.name} between 0.5 s and {QUIET_S:.0f} s "
                   "after it had answered 503 with Retry-After (at most 2)")
        held = held and count <= 2
    return held


main(os.path.dirname(os.path.abspath(__file__)), case)
