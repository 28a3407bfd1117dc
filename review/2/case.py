"""A part of a prompt crashes each engine that begins to write an answer on it."""

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import (BOUNDS, BROKEN, HELD, STREAM, TROUBLE, Broken, KeptConnection, Runner,
                      client_headers, configuration, engine_headers, exchange, run_case)

RUNNERS = 9
SOUND_PER_SECOND = 30
DEADLY_PER_SECOND = 6
CALM_SECONDS = 12
TROUBLE_SECONDS = 40
DOWN_SECONDS = 4  # until a runner that crashed is back
FIRST_EVENT_SECONDS = 0.1
EVENTS_BEFORE_CRASH = int(os.environ.get("EVENTS", "1"))  # 0: to compare
CONTACT_SECONDS = BOUNDS["contactMs"] / 1000
FIRST_PART, DEADLY_PART, SOUND_PART = "5c1e07a2:800", "00dead01:410", "91bd3f06:410"
LEAST_EACH = 20  # sound requests, for the comparison
MOST_DEADLY = 3  # that may reach runners later than contactMs after the fifth crash


class Engine(Runner):
    """A runner that crashes when it begins to write an answer on the deadly part."""

    crashes = []  # times, of all engines
    starts = 0

    def __init__(self, fleet, place):
        Engine.starts += 1
        super().__init__(fleet, f"i-m{Engine.starts}", "models", fleet.cores[place % 3].zone,
                         slots=96, work=FIRST_EVENT_SECONDS)
        self.place = place

    async def stream(self, attempt, writer, events=5, gap=0.02):
        headers = next(item[3] for item in reversed(self.arrivals) if item[1] == attempt)
        if DEADLY_PART not in headers.get("x-prefix-hash", ""):
            await super().stream(attempt, writer, events, gap)
            return
        if EVENTS_BEFORE_CRASH:
            await self.begin(attempt, writer, EVENTS_BEFORE_CRASH)
        self.crash()

    async def begin(self, attempt, writer, events):
        writer.write(f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n"
                     f"X-Server-Signature: sig.{self.name}.{attempt}\r\n"
                     "Content-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n".encode())
        for number in range(1, events + 1):
            event = f"id: {number}\ndata: t{number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await asyncio.sleep(0.02)

    def crash(self):
        if self.server is None:
            return
        Engine.crashes.append(time.monotonic())
        self.fleet.record("crashed", runner=self.name, count=len(Engine.crashes))
        self.exit()
        self.server = None
        asyncio.create_task(self.come_back())

    async def come_back(self):
        await asyncio.sleep(DOWN_SECONDS)
        await Engine(self.fleet, self.place).start()


async def case(fleet, record):
    await fleet.start(configuration(7))
    for place in range(RUNNERS):
        await Engine(fleet, place).start()
    await fleet.ready()
    await asyncio.sleep(CONTACT_SECONDS)
    sent = {}  # (when, whether it holds the deadly part), by attempt
    sound = asyncio.create_task(send_on(fleet, SOUND_PER_SECOND, SOUND_PART, sent, record))
    await asyncio.sleep(CALM_SECONDS)
    began = time.monotonic()
    record("trouble", begins=TROUBLE)
    tasks = [sound]
    if TROUBLE:
        tasks.append(asyncio.create_task(send_on(fleet, DEADLY_PER_SECOND, DEADLY_PART, sent,
                                                 record)))
    await asyncio.sleep(TROUBLE_SECONDS)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return verdict(fleet, began, sent, record)


async def send_on(fleet, per_second, part, sent, record):
    tasks = set()
    while True:
        edge = random.choice(fleet.edges)
        task = asyncio.create_task(request(fleet, edge, part, sent, record))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / per_second)


async def request(fleet, edge, part, sent, record):
    attempt = fleet.attempt_id()
    sent[attempt] = (time.monotonic(), part == DEADLY_PART)
    own = f"{random.getrandbits(32):08x}:250"  # no two requests are alike
    headers = client_headers(attempt, 12000, **engine_headers(f"{FIRST_PART},{part},{own}"))
    record("sent", id=attempt, deadly=part == DEADLY_PART, to=edge.name)
    try:
        answer = await exchange(edge.address("frontend"), "POST", STREAM + "2f", headers,
                                os.urandom(8).hex().encode(), limit=12)
        record("answered", id=attempt, status=answer.status)
    except (OSError, asyncio.TimeoutError, Broken) as error:
        record("unanswered", id=attempt, error=repr(error))


def verdict(fleet, began, sent, record):
    """LOST of the news page, and BUDGET beside it. Each attempt here is a first one."""
    begun = {arrival[1] for runner in fleet.runners for arrival in runner.arrivals}

    def share(since, until):
        ids = [attempt for attempt, (at, deadly) in sent.items()
               if not deadly and since <= at < until]
        return len(ids), sum(attempt in begun for attempt in ids) / max(1, len(ids))

    count, calm = share(began - CALM_SECONDS, began)
    end = began + TROUBLE_SECONDS
    if len(Engine.crashes) < 5:
        since = began if not Engine.crashes else Engine.crashes[-1]
    else:
        since = Engine.crashes[4]
    later, troubled = share(since + 2 * CONTACT_SECONDS, end - 1)
    deadly = sum(1 for runner in fleet.runners for at, _, _, headers, _ in runner.arrivals
                 if DEADLY_PART in headers.get("x-prefix-hash", "")
                 and at > since + CONTACT_SECONDS)
    text = (f"{len(Engine.crashes)} crashes; sound requests begun before {calm:.2f} of {count}, "
            f"later {troubled:.2f} of {later}; {deadly} deadly ones reached runners later than "
            "contactMs after the fifth crash")
    record("counted", text=text)
    if count < LEAST_EACH or later < LEAST_EACH:
        raise OSError(f"too few requests: {text}")
    if troubled < calm / 2:
        return BROKEN, f"LOST is broken: {text}"
    if deadly > MOST_DEADLY:
        return BROKEN, f"BUDGET is broken: {text}"
    return HELD, f"LOST and BUDGET hold: {text}"


run_case(os.path.dirname(os.path.abspath(__file__)), case, edges=2)
