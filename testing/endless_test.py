"""Bytes without end: from endpoints in answers, from callers and operators in requests.

    python3 testing/endless_test.py BUILD CASE

A node must keep its memory, end what has no end within its limits, tell the caller the
truth, and serve the others meanwhile.
"""

import socket
import threading
import time

from fleet import wait_for
from platform_fleet import run_case
from platform_test import events_of, runs_of, served

STARVED_MS = 2500  # a router that reports four times a second and hears this little stands still
WHOLE_REQUEST_MS = 5000
MEMORY_BYTES = 128 << 20  # of a node, from the target in docs/DEVELOPERS.md
FILL = b"x" * (64 << 10)


def peak_bytes(node):
    with open(f"/proc/{node.popen.pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) << 10
    raise AssertionError("no peak memory in the process status")


def head(handler, runner, extra):
    return (b"HTTP/1.1 200 OK\r\nX-Attempt-Id: " + handler.headers["X-Attempt-Id"].encode()
            + b"\r\nX-Server-Signature: sig-" + runner.name.encode() + b"\r\n" + extra)


CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"

# What an endpoint sends: a start, and a part that it repeats until it is closed.
ANSWERS = {
    "status line": (lambda h, r: b"HTTP/1.1 200 ", FILL),
    "one header": (lambda h, r: head(h, r, b"X-Long: "), FILL),
    "many headers": (lambda h, r: head(h, r, b""), b"X-More: yes\r\n" * 4000),
    "interim answers": (lambda h, r: b"", b"HTTP/1.1 100 Continue\r\nX-More: yes\r\n\r\n" * 1000),
    "early hints": (lambda h, r: b"", b"HTTP/1.1 103 Early Hints\r\nX-More: yes\r\n\r\n" * 1000),
    "chunk size": (lambda h, r: head(h, r, CHUNKED), b"0" * (64 << 10)),
    "chunk extension": (lambda h, r: head(h, r, CHUNKED + b"5;name="), FILL),
    "huge chunk": (lambda h, r: head(h, r, CHUNKED + b"7fffffffffffffff\r\n"), FILL),
    "chunks": (lambda h, r: head(h, r, CHUNKED), b"10000\r\n" + FILL + b"\r\n"),
    "trailers": (lambda h, r: head(h, r, CHUNKED + b"0\r\n"), b"X-More: yes\r\n" * 4000),
    "body without length": (lambda h, r: head(h, r, b"\r\n"), FILL),
    "no answer at all": (lambda h, r: b"", FILL),
}


def endless(start, part, stopped):
    def behave(handler, runner):
        if not handler.path.startswith(("/read/bad", "/stream/bad")):
            return False
        runner.runs.append(handler.headers["X-Attempt-Id"])
        handler.close_connection = True
        try:
            handler.connection.sendall(start(handler, runner))
            while not stopped.is_set():
                handler.connection.sendall(part)
        except OSError:
            pass  # the router has closed the connection
        return True
    return behave


def endpoint_answers(fleet):
    served(fleet)
    router = fleet.routers[0]
    for name, (start, part) in ANSWERS.items():
        stopped = threading.Event()
        for runner in fleet.runners:
            runner.behave = endless(start, part, stopped)
        answers = []

        def ask_bad(path, method, answers=answers):
            began = time.monotonic()
            try:
                status = fleet.ask(path, method, b"{}" if method == "POST" else None,
                                   X_Deadline_Ms="3000")[0]
            except OSError:
                status = 0
            answers.append((status, time.monotonic() - began))

        # Three at a time: the router gives up others' endpoints while they break.
        threads = [threading.Thread(target=ask_bad, args=(path, method))
                   for path, method in (("/read/bad", "GET"), ("/stream/bad", "POST"),
                                        ("/read/bad2", "GET"))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        stopped.set()
        assert router.status()["knowledge_age_ms"] < STARVED_MS, (name, "reports have stopped")
        assert len(answers) == 3, name
        for status, took in answers:
            assert status in (502, 503, 504), (name, answers)
            assert took < 4, (name, answers)
        wait_for(lambda: fleet.ask("/read/1")[0] == 200, 10, f"service goes on after {name}")
        assert router.alive(), name
        print(f"{name}: {answers}, peak {peak_bytes(router) >> 20} MB")
        assert peak_bytes(router) < MEMORY_BYTES, (name, peak_bytes(router))


def many_endless_answers(fleet):
    """More answers without end at once than there is memory for."""
    served(fleet)
    router = fleet.routers[0]
    stopped = threading.Event()
    start, part = ANSWERS["chunks"]
    for runner in fleet.runners[:2]:
        runner.behave = endless(start, part, stopped)
    threads = [threading.Thread(target=fleet.ask, args=(f"/read/bad{number}",),
                                kwargs={"X_Deadline_Ms": "4000"}) for number in range(24)]
    for thread in threads:
        thread.start()
    good = 0
    for _ in range(20):
        status, _, body = fleet.ask("/stream/1", "POST", b"{}")
        good += status == 200 and len(events_of(body)) == 5
        time.sleep(0.05)
    for thread in threads:
        thread.join()
    stopped.set()
    assert good == 20, f"{good} of 20 streams of sound engines were served meanwhile"
    print(f"peak {peak_bytes(router) >> 20} MB")
    assert peak_bytes(router) < MEMORY_BYTES, peak_bytes(router)


def trickled_stream(fleet):
    """A stream that stalls but sends a byte now and then ends; a slow sound one does not."""
    served(fleet)

    def trickle(handler, runner):
        if handler.path != "/stream/bad" or "Last-Event-Id" in handler.headers:
            return False
        runner.runs.append(handler.headers["X-Attempt-Id"])
        runner.stream_head(handler)
        runner.chunk(handler, b"id: 1\ndata: token 1\n\n")
        try:
            while True:
                runner.chunk(handler, b"x")
                time.sleep(0.2)
        except OSError:
            return True

    for runner in fleet.runners[2:]:
        runner.behave = trickle
        runner.event_gap = 0.7  # slower than the goal of 0.5 s, but sound
    began = time.monotonic()
    status, headers, body = fleet.ask("/stream/bad", "POST", b"{}")
    assert status == 200 and [line for line in events_of(body)] == \
        [f"id: {number}" for number in range(1, 6)], body
    assert runs_of(fleet, headers["id"]) == 2, "it went on at the other engine"
    assert time.monotonic() - began < 8
    status, headers, body = fleet.ask("/stream/1", "POST", b"{}")
    assert status == 200 and len(events_of(body)) == 5 and runs_of(fleet, headers["id"]) == 1


REQUESTS = {
    "request line": (b"GET /read/", FILL),
    "one header": (b"GET /read/1 HTTP/1.1\r\nHost: a.example\r\nX-Long: ", FILL),
    "chunk extension": (b"POST /read/1 HTTP/1.1\r\nHost: a.example\r\n"
                        b"Transfer-Encoding: chunked\r\n\r\n5;name=", FILL),
    "chunks": (b"POST /read/1 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n",
               b"10000\r\n" + FILL + b"\r\n"),
}


def send_endless(address, start, part, pause=0.0, limit=20):
    """Seconds until the other side closed; raises if it never does."""
    began = time.monotonic()
    with socket.create_connection(address, timeout=5) as connection:
        connection.settimeout(0.5)
        try:
            connection.sendall(start)
            while time.monotonic() - began < limit:
                try:
                    connection.sendall(part)
                except socket.timeout:
                    pass  # its buffers are full; it has not closed yet
                if pause:
                    time.sleep(pause)
        except OSError:
            return time.monotonic() - began
    raise AssertionError("the connection was never closed")


def endless_requests(fleet):
    """From callers at a router and from operators at a replica."""
    served(fleet)
    for node, port in ((fleet.routers[0], "callers"), (fleet.replicas[0], "control")):
        results = {}

        def send(name, start, part, pause, results=results, address=node.address(port)):
            try:
                results[name] = send_endless(address, start, part, pause)
            except AssertionError as problem:
                results[name] = problem

        cases = {name: (*case, 0.0) for name, case in REQUESTS.items()}
        cases["trickled head"] = (b"GET /read/1 HTTP/1.1\r\nHost: a.example\r\n", b"X-A: 1\r\n", 0.3)
        threads = [threading.Thread(target=send, args=(name, *case))
                   for name, case in cases.items()]
        for thread in threads:
            thread.start()
        while any(thread.is_alive() for thread in threads):
            assert fleet.ask("/read/1")[0] == 200
            assert fleet.routers[0].status()["knowledge_age_ms"] < STARVED_MS
            time.sleep(0.2)
        print(f"{port}: closed after {results}, peak {peak_bytes(node) >> 20} MB")
        for name, took in results.items():
            assert isinstance(took, float) and took < WHOLE_REQUEST_MS / 1000 + 2, (port, name, took)
        assert node.alive() and peak_bytes(node) < MEMORY_BYTES


CASES = {case.__name__: case for case in (endpoint_answers, many_endless_answers, trickled_stream,
                                          endless_requests)}


if __name__ == "__main__":
    run_case(CASES, ["limits:", f"  whole_request_ms: {WHOLE_REQUEST_MS}"])
