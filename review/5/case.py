"""A runner fails orders with 503 after it began to work on them, and doesn't say that it hasn't."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import (BROKEN, HELD, ORDER, TROUBLE, Broken, KeptConnection, Runner,
                      client_headers, configuration, run_case)

ORDERS = 300
PER_SECOND = 42.4  # repair orders of poklop-brno
FAILS = 0.4  # share of the requests that the faulty runner fails
PROMISES = (408, 421, 429, 503)  # not run, and never will be


async def case(fleet, record):
    await fleet.start(configuration(7))
    for number in range(3):
        runner = Runner(fleet, f"i-o{number}", "orders", fleet.cores[number].zone)
        if TROUBLE and number == 0:
            runner.answer = fail_some
        await runner.start()
    await fleet.ready()
    answers = {}  # status by attempt
    await asyncio.gather(*[order(fleet, number, answers, record) for number in range(ORDERS)])
    ran = {arrival[1] for runner in fleet.runners for arrival in runner.arrivals}
    false = [attempt for attempt, status in answers.items()
             if status in PROMISES and attempt in ran]
    for attempt in false:
        record("broken", id=attempt, status=answers[attempt])
    served = sum(status == 200 for status in answers.values())
    text = f"{served} of {ORDERS} orders served, {len(false)} answered as not run that had run"
    return (BROKEN, f"REFUSED is broken: {text}") if false else (HELD, f"REFUSED holds: {text}")


async def fail_some(runner, request, writer):
    _, _, headers, _ = request
    attempt = headers["x-attempt-id"]
    await asyncio.sleep(runner.work)  # it has begun to work on the order
    content = f"done {attempt} by {runner.name}".encode()
    status = 503 if random.random() < FAILS else 200
    runner.fleet.record("answers", runner=runner.name, id=attempt, status=status)
    writer.write(runner.signed(attempt, len(content), status) + content)


async def order(fleet, number, answers, record):
    await asyncio.sleep(number / PER_SECOND)
    connection = KeptConnection(random.choice(fleet.edges).address("frontend"))
    attempt = fleet.attempt_id()
    record("sent", id=attempt)
    try:
        answer = await connection.ask("POST", ORDER + "2f", client_headers(attempt), b"{}")
        answers[attempt] = answer.status
        record("answered", id=attempt, status=answer.status,
               signature=answer.headers.get("x-server-signature"))
    except (OSError, asyncio.TimeoutError, Broken) as error:
        record("unanswered", id=attempt, error=repr(error))
    connection.close()


run_case(os.path.dirname(os.path.abspath(__file__)), case, edges=2)
