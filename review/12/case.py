"""One server in trouble sends a stream whose body is line ends without end.

The orders of the other, sound service are judged by the rule CONFIG (requests that are unanswered
at their route's timeoutMs).
"""

import os
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from fleet3 import (BROKEN, HELD, TROUBLE, ZONES, Server, attempt_id, call,  # noqa: E402
                    client_headers, run_case, small_configuration)

STREAMS_PER_S = 10.0  # to each router
ORDERS_PER_S = 7.0  # to each router: a sixth of the site's repair orders
CALM_S = 4.0
SECONDS = 14.0  # of traffic
TROUBLE_S = 6.0  # the server is in trouble so long
BAD_EVERY = 25  # of the server's answers in that time: 4 in 100
TIMEOUT_S = 1.0  # timeoutMs of the orders' route
LATER_S = 0.5  # as the rule says
ABANDON_S = 3.2  # eight times the pause of 400 ms
LEAST = 20  # requests that have to be unanswered at timeoutMs for a verdict

BLANK_LINES = b"\r\n" * 120000
BAD_CHUNK = b"%x\r\n" % len(BLANK_LINES) + BLANK_LINES + b"\r\n"


def request_bytes(path, headers):
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"POST {path} HTTP/1.1\r\n{lines}Content-Length: 2\r\n\r\n{{}}".encode()


def body(fleet, record):
    in_trouble = threading.Event()
    lock = threading.Lock()
    answers = [0]
    bad = []

    def serve(server, connection, request):
        if not in_trouble.is_set():
            return None
        with lock:
            answers[0] += 1
            if answers[0] % BAD_EVERY != 1:
                return None
            bad.append(request.id)
        record(f"{server.id} sends line ends without end to {request.id}")
        sent = 0
        try:
            connection.sendall(server.head(request, 200, ["Content-Type: text/event-stream",
                                                          "Transfer-Encoding: chunked"]))
            while not server.closed.is_set():
                connection.sendall(BAD_CHUNK)
                sent += len(BAD_CHUNK)
        except OSError:
            record(f"{request.id}: the caller closed after about {sent} bytes")
        return False

    for number, zone in enumerate(ZONES):
        Server(fleet, "model-pool", zone, engine=True, serve=serve if number == 0 else None)
        Server(fleet, "orders-app", zone, slots=6, work_ms=30)
    fleet.install(small_configuration())
    fleet.wait_ready()
    fleet.wait_usable({"model-pool", "orders-app"})

    orders = []

    def order(edge):
        request = attempt_id()
        status = 0
        sent = time.monotonic()
        try:
            with socket.create_connection(edge.address("frontend"), timeout=8) as caller:
                caller.sendall(request_bytes("/order/new", client_headers(request, 1000)))
                sent = time.monotonic()
                line = caller.makefile("rb").readline().split()
                status = int(line[1]) if len(line) > 1 else 0
        except OSError:
            pass
        took = time.monotonic() - sent
        record(f"order {request} to {edge.name}: {status or 'no answer'} after {took:.3f} s")
        with lock:
            orders.append((edge.name, status, took))

    def stream(edge):
        request = attempt_id()
        outcome = "abandoned"
        try:
            with socket.create_connection(edge.address("frontend"), timeout=8) as caller:
                caller.sendall(request_bytes("/note/new", client_headers(request, 10000, True)))
                last_event = time.monotonic()
                tail = b""
                while time.monotonic() - last_event < ABANDON_S:
                    caller.settimeout(max(0.01, last_event + ABANDON_S - time.monotonic()))
                    data = tail + caller.recv(1 << 18)
                    if data == tail:
                        outcome = "closed"
                        break
                    if b"data:" in data:
                        last_event = time.monotonic()
                    if data.endswith(b"\r\n0\r\n\r\n"):
                        outcome = "whole"
                        break
                    tail = data[-8:]
        except OSError:
            pass
        record(f"stream {request} to {edge.name}: {outcome}")

    probes = []

    def probe(edge):
        while not fleet.stopped.is_set():
            began = time.monotonic()
            try:
                status = call(edge.address("ready"), "GET", "/v1/readyz", timeout=1.0)[0]
            except OSError:
                status = 0
            probes.append((edge.name, status))
            record(f"{edge.name} /v1/readyz: {status or 'no answer in 1 s'}")
            time.sleep(max(0.0, began + 1 - time.monotonic()))

    began = time.monotonic()

    def arrivals(edge, per_second, send):
        number = 0
        while time.monotonic() - began < SECONDS:
            time.sleep(max(0.0, began + number / per_second - time.monotonic()))
            threading.Thread(target=send, args=(edge,), daemon=True).start()
            number += 1

    senders = [threading.Thread(target=arrivals, args=(edge, rate, send), daemon=True)
               for edge in fleet.edges for rate, send in ((STREAMS_PER_S, stream),
                                                          (ORDERS_PER_S, order))]
    for edge in fleet.edges:
        threading.Thread(target=probe, args=(edge,), daemon=True).start()
    for sender in senders:
        sender.start()
    time.sleep(CALM_S)
    if TROUBLE:
        record.show("the server is in trouble")
        in_trouble.set()
    time.sleep(TROUBLE_S)
    in_trouble.clear()
    for sender in senders:
        sender.join()
    time.sleep(8.5)

    with lock:
        late = [item for item in orders if item[2] > TIMEOUT_S]
        unanswered = [item for item in late if item[2] > TIMEOUT_S + LATER_S]
    failed = sum(status != 200 for _, status in probes)
    record.show(f"bad answers: {len(bad)}; orders: {len(orders)}; unanswered at 1 s: {len(late)}; "
                f"of these without an answer 0.5 s later: {len(unanswered)}; "
                f"never answered in 8 s: {sum(item[1] == 0 for item in orders)}; "
                f"readiness probes failed: {failed} of {len(probes)}")
    for edge in fleet.edges:
        record.show(f"{edge.name} alive: {edge.alive()}")
    return BROKEN if len(late) >= LEAST and 2 * len(unanswered) > len(late) else HELD


run_case(HERE, body)
