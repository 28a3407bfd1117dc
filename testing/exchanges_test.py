"""Tests for the ends of exchanges: whichever side ends one, and whenever, its descriptors go back.

    python3 testing/exchanges_test.py BUILD CASE
"""

import contextlib
import http.client
import os
import resource
import socket
import struct
import threading
import time

from fleet import wait_for
from platform_fleet import call, run_case
from platform_test import set_up_endpoints

CALLERS = 200  # that leave, for each way
# Kept connections to endpoints and replicas come and go.
SPARE_DESCRIPTORS = 12
DESCRIPTORS = 200  # of a router that runs out of them
BACK_SECONDS = 6  # until descriptors are free again
NOTICE_SECONDS = 0.5  # in which the router ends a request whose caller has left
WORK_SECONDS = 3.0  # longer than NOTICE_SECONDS and the time after which a request is repeated
REPEAT_SECONDS = 2.0


def descriptors(node):
    return len(os.listdir(f"/proc/{node.popen.pid}/fd"))


def start_request(address, number, path, method="POST", fields="Content-Length: 2\r\n", body="{}"):
    caller = socket.create_connection(address, timeout=5)
    caller.sendall(f"{method} {path} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: leaves-{number}\r\n"
                   f"X-Deadline-Ms: 9000\r\nAuthorization: Token key-1\r\n{fields}\r\n{body}"
                   .encode())
    return caller


def callers_leave(fleet):
    """Guards against an exchange, and its descriptor, that outlives its caller."""
    set_up_endpoints(fleet)
    router = fleet.routers[0]
    address = router.address("callers")

    def answer_slowly(handler, endpoint):
        if "leaves" in handler.headers.get("X-Attempt-Id", ""):
            time.sleep(0.3)
        return False

    for endpoint in fleet.endpoints:
        endpoint.slots = CALLERS
        endpoint.on_request = answer_slowly
    for endpoint in fleet.endpoints[2:]:
        endpoint.event_interval = 0.2
    time.sleep(1)  # until the slots are known
    for _ in range(4):
        assert fleet.send_request("/read/1")[0] == 200
    before = descriptors(router)
    ways = {
        "before the answer": (0.05, {"path": "/read/1", "method": "GET", "fields": "", "body": ""}),
        "before the first event": (0.05, {"path": "/stream/1"}),
        "an order": (0.05, {"path": "/order/1"}),
        "within a stream": (0.6, {"path": "/stream/once/1"}),
        "within the body": (0.05, {"path": "/order/1", "fields": "Content-Length: 90\r\n"}),
        "within the head": (0.05, {"path": "/order/1", "fields": "X-A: b", "body": ""}),
        "at once": (0.0, {"path": "/read/1"}),
    }
    for name, (leave_after, request) in ways.items():
        callers = [start_request(address, number, **request) for number in range(CALLERS)]
        time.sleep(leave_after)
        for caller in callers:
            caller.close()
        wait_for(lambda: descriptors(router) <= before + SPARE_DESCRIPTORS, BACK_SECONDS,
                 f"descriptors are free again after callers left {name}: {before} before")
        assert fleet.send_request("/read/1")[0] == 200, name
    assert router.alive()


def reset(caller):
    """Closes the connection so that the other side gets a reset."""
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    caller.close()


def callers_reset(fleet):
    """Guards against callers that leave with a reset and are not noticed: their requests stayed at
    the endpoints, went to others, too, and the router was busy until they ended (review/9)."""
    set_up_endpoints(fleet)
    router = fleet.routers[0]
    address = router.address("callers")
    resetters = 40

    def answer_late(handler, endpoint):
        if "leaves" in handler.headers.get("X-Attempt-Id", ""):
            time.sleep(WORK_SECONDS)
        return False

    for endpoint in fleet.endpoints:
        endpoint.slots = CALLERS
        endpoint.on_request = answer_late
    time.sleep(1)  # until the slots are known
    for _ in range(4):
        assert fleet.send_request("/read/1")[0] == 200
    before = descriptors(router)
    read = {"path": "/read/1", "method": "GET", "fields": ""}
    ways = {
        "before the answer": (0.15, {**read, "body": ""}),
        "after bytes of a next request": (0.15, {**read, "body": "GET /read/1 HTTP/1.1\r\n"}),
        "after a long body": (0.15, {"path": "/read/1", "fields": "Content-Length: 20000\r\n",
                                    "body": "b" * 20000}),
        "before the first event": (0.15, {"path": "/stream/1"}),
        "within the body": (0.05, {"path": "/read/1", "fields": "Content-Length: 90\r\n"}),
        "at once": (0.0, {**read, "body": ""}),
        "a moment after the request": (0.01, {**read, "body": ""}),
    }
    for name, (leave_after, request) in ways.items():
        received = sum(len(endpoint.received) for endpoint in fleet.endpoints)
        used = processor_seconds(router)
        began = time.monotonic()
        callers = [start_request(address, number, **request) for number in range(resetters)]
        time.sleep(leave_after)
        for caller in callers:
            reset(caller)
        wait_for(lambda: descriptors(router) <= before + SPARE_DESCRIPTORS, NOTICE_SECONDS,
                 f"requests end after callers reset {name}")
        time.sleep(max(0.0, began + REPEAT_SECONDS - time.monotonic()))
        received = sum(len(endpoint.received) for endpoint in fleet.endpoints) - received
        assert received <= resetters, f"{received} requests reached endpoints: {name}"
        busy = (processor_seconds(router) - used) / (time.monotonic() - began)
        assert busy < 0.5, f"the router was busy {busy:.0%} of the time: {name}"
        assert fleet.send_request("/read/1")[0] == 200, name
    assert router.alive()


def resets_within_streams(fleet):
    """As callers_reset, while events come: the router also learns it from what it writes."""
    set_up_endpoints(fleet)
    router = fleet.routers[0]
    for endpoint in fleet.endpoints[2:]:
        endpoint.slots = CALLERS
        endpoint.event_interval = 1.0
    time.sleep(1)  # until the slots are known
    assert fleet.send_request("/read/1")[0] == 200
    before = descriptors(router)
    for path in ("/stream/1", "/stream/once/1"):
        callers = [start_request(router.address("callers"), number, path) for number in range(40)]
        for caller in callers:
            assert caller.recv(1), "a stream has not begun"
        for caller in callers:
            reset(caller)
        wait_for(lambda: descriptors(router) <= before + SPARE_DESCRIPTORS, NOTICE_SECONDS,
                 f"streams end after callers reset {path}")


def address_that_fails_at_once(fleet):
    """Guards against a call that is used after it ended within its start: an endpoint announces an
    address to which no connection can be begun."""
    set_up_endpoints(fleet)
    record = fleet.endpoints[0].next_heartbeat()
    for number, address in enumerate(("127.255.255.255:9", "0.0.0.0:1", "255.255.255.255:9")):
        status = fleet.control("PUT", f"/v1/instances/odd-{number}",
                               {**record, "address": address, "seq": 1})[0]
        assert status in (200, 400), status
    stop = threading.Event()
    ended = []

    def send(router):
        while not stop.is_set():
            try:
                ended.append(fleet.send_request("/read/1", router=router)[0])
            except OSError:
                ended.append(0)

    threads = [threading.Thread(target=send, args=(number % 2,)) for number in range(8)]
    for thread in threads:
        thread.start()
    time.sleep(3)
    stop.set()
    for thread in threads:
        thread.join()
    assert all(router.alive() for router in fleet.routers), "a router has ended"
    assert len(ended) > 100 and ended.count(200) > len(ended) * 0.9, \
        f"{ended.count(200)} of {len(ended)} requests were served"


def refused(address):
    """Whether a new connection is refused: closed, reset, or answered 503 without being read."""
    try:
        with start_request(address, 0, "/read/1", "GET", "", "") as caller:
            answer = caller.recv(4096)
            return not answer or b" 503 " in answer.split(b"\r\n")[0]
    except OSError as error:
        assert not isinstance(error, TimeoutError), "a caller waits for an answer in vain"
        return True


def processor_seconds(node):
    with open(f"/proc/{node.popen.pid}/stat", encoding="utf-8") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def descriptors_used_up(fleet):
    """Callers take all descriptors of a router: it serves those it has and refuses the rest."""
    set_up_endpoints(fleet)
    router = fleet.routers[0]
    address = router.address("callers")
    kept = http.client.HTTPConnection(*address, timeout=3)

    def ask():
        kept.request("GET", "/read/1", headers={"Host": "a.example", "X-Deadline-Ms": "2000",
                                                "X-Attempt-Id": f"kept-{time.monotonic()}",
                                                "Authorization": "Token key-1"})
        answer = kept.getresponse()
        answer.read()
        return answer.status

    assert ask() == 200
    resource.prlimit(router.popen.pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS * 2))
    for sent in (b"", b"GET /read/1 HTTP/1.1\r\n"):
        time.sleep(1.2)  # the router looks at its limit
        assert ask() == 200
        callers = [socket.create_connection(address, timeout=5) for _ in range(2 * DESCRIPTORS)]
        for caller in callers:
            with contextlib.suppress(OSError):  # refused already
                caller.sendall(sent)
        time.sleep(0.5)
        used = processor_seconds(router)
        for _ in range(10):
            assert ask() == 200
            assert refused(address)
            time.sleep(0.1)
        assert processor_seconds(router) - used < 0.5, "the router is busy with refusing"
        for caller in callers:
            caller.close()
        wait_for(lambda: not refused(address), BACK_SECONDS, "callers are served again")
    with open(router.log, encoding="utf-8") as log:
        lines = sum("event=descriptors_used_up" in line for line in log)
    assert 1 <= lines < 20, f"{lines} lines tell of used-up descriptors"
    metrics = call(router.address("operators"), "GET", "/metrics")[2].decode()
    assert "bamboogap_connections_refused_total" in metrics


CASES = {case.__name__: case for case in (callers_leave, callers_reset, resets_within_streams,
                                          address_that_fails_at_once, descriptors_used_up)}


if __name__ == "__main__":
    run_case(CASES)
