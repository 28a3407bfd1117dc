"""A runner takes its leave; soon after the acknowledgement all processes of the core are killed."""

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import (BOUNDS, BROKEN, HELD, ORDER, TROUBLE, Broken, KeptConnection, Runner,
                      client_headers, configuration, run_case)

PER_SECOND = 59  # requests to the service: the rate of poklop-brno
CLIENTS = 20
ROUNDS = 3
CALM_SECONDS = 5  # before a departure: longer than contactMs
KILL_AFTER_SECONDS = 0.05  # from the acknowledgement
BACK_SECONDS = 0.6  # until the killed processes are back: within a second
SERVES_SECONDS = 10  # that a runner goes on after the acknowledgement: "at times many seconds"
DRAIN_SECONDS = BOUNDS["drainMs"] / 1000
CONTACT_SECONDS = BOUNDS["contactMs"] / 1000
MARGIN_SECONDS = 0.5  # on top of contactMs, in favour of the project


async def case(fleet, record):
    await fleet.start(configuration(7))
    for number in range(2):
        await Runner(fleet, f"i-o{number}", "orders", fleet.cores[number].zone).start()
    await fleet.ready()
    sent = {}  # when the client sent it, by attempt
    answered = {}  # status by attempt
    clients = [asyncio.create_task(client(fleet, fleet.edges[number % len(fleet.edges)], sent,
                                          answered, record)) for number in range(CLIENTS)]
    late = []
    for number in range(ROUNDS):
        late += await departure(fleet, f"i-leaving{number}", sent, record)
    await asyncio.sleep(1)
    for task in clients:
        task.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    lost = 0
    for runner in fleet.runners:
        for _, attempt, *_ in runner.arrivals:
            if runner.name.startswith("i-leaving") and answered.get(attempt) != 200:
                lost += 1
                record("lost", id=attempt, runner=runner.name, status=answered.get(attempt))
    if late:
        return BROKEN, (f"DRAIN is broken: {len(late)} orders ran at runners whose departure had "
                        f"been acknowledged, sent up to {max(late):.1f} s after it; {lost} orders "
                        "that these runners began were lost")
    return HELD, f"DRAIN holds in {ROUNDS} departures"


async def departure(fleet, name, sent, record):
    """Returns for each request that was sent too late how long after the acknowledgement."""
    runner = Runner(fleet, name, "orders", "jm-c")
    await runner.start()
    await asyncio.sleep(CALM_SECONDS)
    runner.beating = False
    await runner.beats  # no heartbeat is under way any more
    answer, node = await fleet.control("DELETE", f"/v1/instances/{name}")
    acknowledged = time.monotonic()
    record("acknowledged", call=f"DELETE /v1/instances/{name}", status=answer.status, by=node.name)
    from_then = acknowledged + DRAIN_SECONDS
    if TROUBLE:
        await asyncio.sleep(KILL_AFTER_SECONDS)
        for core in fleet.cores:
            core.kill()
        record("killed", nodes=",".join(core.name for core in fleet.cores))
        await asyncio.sleep(BACK_SECONDS)
        for core in fleet.cores:
            core.wait()
            core.start()
        record("started", nodes=",".join(core.name for core in fleet.cores))
        from_then = max(from_then, time.monotonic() + CONTACT_SECONDS + MARGIN_SECONDS)
    await asyncio.sleep(acknowledged + SERVES_SECONDS - time.monotonic())
    runner.exit()
    late = []
    for at, attempt, _, _, _ in runner.arrivals:
        if sent[attempt] > from_then:
            late.append(sent[attempt] - acknowledged)
            record("broken", id=attempt, runner=name,
                   sent_after_acknowledgement=f"{sent[attempt] - acknowledged:.3f}",
                   arrived_after=f"{at - acknowledged:.3f}")
    return late


async def client(fleet, edge, sent, answered, record):
    connection = KeptConnection(edge.address("frontend"))
    while True:
        began = time.monotonic()
        attempt = fleet.attempt_id()
        sent[attempt] = began
        record("sent", id=attempt, to=edge.name)
        try:
            answer = await connection.ask("POST", ORDER + "2f", client_headers(attempt), b"{}")
            answered[attempt] = answer.status
            record("answered", id=attempt, status=answer.status)
        except (OSError, asyncio.TimeoutError, Broken) as error:
            record("unanswered", id=attempt, error=repr(error))
        await asyncio.sleep(max(0.0, began + random.uniform(0.5, 1.5) * CLIENTS / PER_SECOND
                                - time.monotonic()))


run_case(os.path.dirname(os.path.abspath(__file__)), case, edges=2)
