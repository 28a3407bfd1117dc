"""GONE: clients leave before their answers; some of them with a reset of their connection."""

import asyncio
import os
import socket
import struct
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from platform2 import configuration, main, route  # noqa: E402

CLIENTS = 40  # in each group; a share of 0.2 of all clients
OTHERS = 160  # that stay, beside each group
WORK_S = 4.0
HALF = 0.5


class Work:
    """What a runner did for one request: it drops the request when its connection closes."""

    def __init__(self):
        self.began = time.monotonic()
        self.ended = None
        self.how = "at work"


async def case(make, record, trouble):
    fleet = make(cores=3, edges=2)
    works = {}  # by attempt: a list of Work

    async def serve(runner, reader, writer, headers, path, body):
        attempt = headers["x-attempt-id"]
        work = Work()
        works.setdefault(attempt, []).append(work)
        record.note(f"{runner.name} begins {attempt} {path}")
        left = asyncio.create_task(reader.read(1))
        work_s = 0.05 if path.startswith("/read/short") else WORK_S
        done, _ = await asyncio.wait({left}, timeout=work_s)
        work.ended = time.monotonic()
        if done:
            work.how = "dropped"
            record.note(f"{runner.name} drops {attempt}: its connection closed")
            raise ConnectionResetError
        left.cancel()
        try:
            await left
        except asyncio.CancelledError:
            pass
        work.how = "finished"
        record.note(f"{runner.name} finishes {attempt}")
        runner.answer(writer, headers, 200, b"whole")
        await writer.drain()
        return True

    routes = [route("history-read", "/read/", "idempotent", "orders", maxAttempts=2,
                    latencyGoalMs=1500)]
    await fleet.start(configuration(3, routes),
                      [(f"orders-{i}", "orders", 64) for i in range(3)])
    for runner in fleet.runners:
        runner.serve = serve

    async def client(number, group, how):
        """Sends a request; leaves 0.2 to 0.4 s later, or waits for the answer."""
        edge = fleet.edges[number % len(fleet.edges)]
        attempt = fleet.next_id()
        reader, writer = await asyncio.open_connection(edge.ip, fleet.ports["frontend"])
        writer.write(fleet.request_bytes(attempt, f"/read/{number}"))
        record.note(f"{group}: client {number} sends {attempt} to {edge.name}")
        if how == "stay":
            first = await reader.readline()
            record.note(f"{group}: client {number} gets {first!r}")
            writer.close()
            return attempt, None
        await asyncio.sleep(0.2 + 0.2 * number / CLIENTS)
        if how == "reset":
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                                       struct.pack("ii", 1, 0))
        writer.transport.abort() if how == "reset" else writer.close()
        record.note(f"{group}: client {number} leaves {attempt} ({how})")
        return attempt, time.monotonic()

    async def other(number, group):
        """A client that stays for a short answer."""
        await asyncio.sleep(2 * number / OTHERS)
        try:
            attempt, status, _, _ = await fleet.request(fleet.edges[number % len(fleet.edges)],
                                                        f"/read/short{number}")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as problem:
            record.note(f"{group}: another client: {problem!r}")
            return 0
        record.note(f"{group}: another client's {attempt}: {status}")
        return status == 200

    async def group(name, how):
        cpu = [edge.cpu_seconds() for edge in fleet.edges]
        began = time.monotonic()
        others = [asyncio.create_task(other(i, name)) for i in range(OTHERS)]
        left = await asyncio.gather(*(client(i, name, how) for i in range(CLIENTS)))
        await asyncio.sleep(WORK_S + 2)
        served = sum(await asyncio.gather(*others))
        used = sum(edge.cpu_seconds() for edge in fleet.edges) - sum(cpu)
        at_work = late = 0
        for attempt, gone in left:
            if gone is None:
                continue
            runs = works.get(attempt, [])
            # Each of them would have lasted for longer than half a second after the close.
            at_work += any(run.began < gone + HALF < run.ended for run in runs)
            late += sum(run.began > gone + HALF for run in runs)
        record.say(f"{name}: {len(left)} requests, runners still at work half a second after the "
                   f"client had left: {at_work}, requests that reached a runner over half a "
                   f"second after it: {late}; {served} of {OTHERS} others served; processor time of "
                   f"the edges {used:.1f} s in "
                   f"{time.monotonic() - began:.1f} s")
        return at_work <= len(left) / 4 and late <= 3

    if not trouble:
        return await group("clients stay", "stay")
    held = await group("clients close (FIN)", "close")
    return await group("clients close with a reset", "reset") and held


main(os.path.dirname(os.path.abspath(__file__)), case)
