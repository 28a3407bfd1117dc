"""A client hides a request inside the body of another one."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import (BROKEN, HELD, ORDER, READ, TROUBLE, Runner, client_headers, configuration,
                      exchange, request_bytes, run_case)

EACH = 5  # requests of each form
ANSWER_SECONDS = 0.7


def forms(body):
    """Requests with this body: lines of the head, by the way in which its length is hidden."""
    length = f"Content-Length: {len(body)}"
    if not TROUBLE:
        return {"one length": (f"POST {READ}2f HTTP/1.1", [length])}
    return {
        # Well-formed: the length holds whatever the method is.
        "HEAD with a body": (f"HEAD {READ}2f HTTP/1.1", [length]),
        # To be refused: RFC 9112, 6.3 and 5.1.
        "two lengths": (f"POST {READ}2f HTTP/1.1", ["Content-Length: 0", length]),
        "a space before the colon": (f"POST {READ}2f HTTP/1.1", [length.replace(":", " :")]),
    }


async def case(fleet, record):
    await fleet.start(configuration(7))
    for number in range(3):
        await Runner(fleet, f"i-o{number}", "orders", fleet.cores[number].zone).start()
    await fleet.ready()
    edge = fleet.edges[0]
    attempt = fleet.attempt_id()
    answer = await exchange(edge.address("frontend"), "POST", ORDER + "2f",
                            client_headers(attempt), b"{}")
    record("answered", id=attempt, status=answer.status)
    hidden = {}  # form by the id inside the body
    for _ in range(EACH):
        for form in forms(b""):
            outer, inner = fleet.attempt_id(), "hidden-" + fleet.attempt_id()
            hidden[inner] = form
            body = request_bytes("POST", ORDER + "2f", client_headers(inner), b"{}")
            line, lengths = forms(body)[form]
            await send(edge, outer, form, line, lengths, body, record)
    ran = {}
    for runner in fleet.runners:
        for _, attempt, _, _, _ in runner.arrivals:
            if attempt in hidden:
                ran[hidden[attempt]] = ran.get(hidden[attempt], 0) + 1
                record("broken", id=attempt, runner=runner.name, form=hidden[attempt])
    if ran:
        return BROKEN, f"UNASKED is broken: orders ran that no client sent, by form: {ran}"
    return HELD, f"UNASKED holds in {len(hidden)} requests"


async def send(edge, attempt, form, line, lengths, body, record):
    """Sends one request and records all bytes that come back."""
    headers = [f"{name}: {value}" for name, value in client_headers(attempt).items()]
    data = "\r\n".join([line] + headers + lengths).encode() + b"\r\n\r\n" + body
    reader, writer = await asyncio.open_connection(*edge.address("frontend"))
    writer.write(data)
    record("sent", id=attempt, form=form, bytes=data)
    received = b""
    try:
        async with asyncio.timeout(ANSWER_SECONDS):
            while part := await reader.read(65536):
                received += part
    except (asyncio.TimeoutError, ConnectionError):
        pass  # the connection is kept, or was reset
    writer.close()
    record("received", id=attempt, bytes=received)


run_case(os.path.dirname(os.path.abspath(__file__)), case, edges=1)
