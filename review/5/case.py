"""An order that the operator gave up is delayed on its way and arrives after a contrary one."""

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import (BROKEN, HELD, READ, TROUBLE, Broken, KeptConnection, Runner, client_headers,
                      configuration, exchange, run_case)

ZONE = "jm-b"
ORDER = f"/v1/evacuations/{ZONE}"
PER_SECOND = 59
CLIENTS = 20
CALM_SECONDS = 4
HELD_UP_SECONDS = 4.0  # the disruptions of the site's links last up to 5.5 s
GIVE_UP_SECONDS = 1.0  # "a second without a response"
CLOSE_AFTER_SECONDS = 0.006  # from the last byte to the close: a round trip from a client
EVACUATE_SECONDS = 5.0  # evacuateMs
WATCH_SECONDS = 12.0


class Link:
    """The operator's way to a node. While it is down it holds up what is sent, and the close of
    the connection; then both go on in their order."""

    def __init__(self, node, record):
        self.node, self.record = node, record
        self.up = asyncio.Event()
        self.up.set()
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()

    async def accept(self, reader, writer):
        to_reader, to_writer = await asyncio.open_connection(*self.node.address("control"))
        back = asyncio.create_task(self.pass_back(to_reader, writer))
        while data := await reader.read(65536):
            if not self.up.is_set():
                self.record("held_up", bytes=data)
                await self.up.wait()
            to_writer.write(data)
            self.record("passed_on", to=self.node.name, bytes=data)
        await asyncio.sleep(CLOSE_AFTER_SECONDS)
        to_writer.close()
        self.record("closed", to=self.node.name)
        await back

    async def pass_back(self, reader, writer):
        try:
            while data := await reader.read(65536):
                self.record("came_back", bytes=data)
                writer.write(data)
        except ConnectionError:
            pass
        writer.close()


async def case(fleet, record):
    await fleet.start(configuration(7))
    for node in fleet.cores[:3]:
        await Runner(fleet, f"i-{node.zone}", "orders", node.zone).start()
    await fleet.ready()
    sent = {}
    clients = [asyncio.create_task(client(fleet, number, sent, record))
               for number in range(CLIENTS)]
    await asyncio.sleep(CALM_SECONDS)
    slow, other = fleet.cores[1], fleet.cores[2]
    link = Link(slow, record)
    await link.start()

    async def order(method):
        answer, node = await fleet.control(method, ORDER, nodes=[other])
        record("operator", call=f"{method} {ORDER}", status=answer.status, by=node.name)
        return time.monotonic()

    await order("POST")
    await asyncio.sleep(1)
    if TROUBLE:
        link.up.clear()
    down = time.monotonic()
    record("operator", call=f"DELETE {ORDER}", to=slow.name)
    try:
        answer = await exchange(link.address, "DELETE", ORDER, {}, limit=GIVE_UP_SECONDS)
        record("operator", call=f"DELETE {ORDER}", status=answer.status, by=slow.name)
    except asyncio.TimeoutError:
        record("operator", gave_up=f"DELETE {ORDER}")
        await order("DELETE")
    await asyncio.sleep(0.5)
    acknowledged = await order("POST")
    await asyncio.sleep(max(0.0, down + HELD_UP_SECONDS - time.monotonic()))
    link.up.set()
    record("link", up=True)
    await asyncio.sleep(acknowledged + WATCH_SECONDS - time.monotonic())
    for task in clients:
        task.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    link.server.close()
    evacuated = next(runner for runner in fleet.runners if runner.zone == ZONE)
    late = [at - acknowledged for at, attempt, *_ in evacuated.arrivals
            if at > acknowledged + EVACUATE_SECONDS]
    record("counted", late=len(late))
    if late:
        return BROKEN, (f"EVAC is broken: {len(late)} requests reached the evacuated zone up to "
                        f"{max(late):.1f} s after the acknowledgement of the last order")
    return HELD, "EVAC holds"


async def client(fleet, number, sent, record):
    edge = fleet.edges[number % len(fleet.edges)]
    connection = KeptConnection(edge.address("frontend"))
    while True:
        began = time.monotonic()
        attempt = fleet.attempt_id()
        sent[attempt] = began
        record("sent", id=attempt, to=edge.name)
        try:
            answer = await connection.ask("GET", READ + "2f", client_headers(attempt))
            record("answered", id=attempt, status=answer.status)
        except (OSError, asyncio.TimeoutError, Broken) as error:
            record("unanswered", id=attempt, error=repr(error))
        await asyncio.sleep(max(0.0, began + random.uniform(0.5, 1.5) * CLIENTS / PER_SECOND
                                - time.monotonic()))


run_case(os.path.dirname(os.path.abspath(__file__)), case, edges=2)
