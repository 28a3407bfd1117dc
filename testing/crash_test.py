"""Tests of requests that crash each endpoint that runs them, with real processes.

    python3 testing/crash_test.py BUILD CASE

A plain service has three endpoints. Each crashes under one path and is replaced after a moment, as the
platform does it. The request comes again and again at any router.
"""

import http.client
import itertools
import threading
import time

from fleet import wait_for
from platform_fleet import run_case
from platform_test import run_count

CONTACT_SECONDS = 3.0  # contactMs of the users' sites
MAX_LATE_RUNS = 3  # that reach endpoints later than that after the third crash
SENDING_SECONDS = 24.0
PAUSE_SECONDS = 0.25  # between two sends of a caller


class CrashingService:
    """Three endpoints that crash under one path, `crash_after` seconds after a request came."""

    def __init__(self, fleet, path="/read/crash", crash_after=0.06, back_after=3.2, keeps_id=False):
        self.fleet = fleet
        self.path = path
        self.crash_after = crash_after
        self.back_after = back_after
        self.keeps_id = keeps_id
        self.crashes = []  # when endpoints crashed
        self.arrivals = []  # when the request reached an endpoint
        self.numbers = itertools.count()
        self.running = True
        for _ in range(3):
            self.add()
        fleet.add_endpoint("engine-a", "engines")
        fleet.install(7)
        fleet.wait_for_endpoints()
        wait_for(lambda: all(router.ready() for router in fleet.routers), 10, "routers are ready")

    def add(self, name=None):
        endpoint = self.fleet.add_endpoint(name or f"plain-{next(self.numbers)}", "plain", slots=6)
        endpoint.born = int(time.time() * 1000)
        endpoint.on_request = self.on_request

    def on_request(self, handler, endpoint):
        if handler.path != self.path:
            return False
        self.arrivals.append(time.monotonic())
        endpoint.runs.append(handler.headers["X-Attempt-Id"])
        time.sleep(self.crash_after)
        if not endpoint.crashed:
            self.crashes.append(time.monotonic())
            endpoint.crash()
            threading.Timer(self.back_after, self.replace, (endpoint,)).start()
        endpoint.reset_connection(handler)
        return True

    def replace(self, endpoint):
        if self.running:
            self.add(endpoint.name if self.keeps_id else None)

    def send(self, router, key, path=None):
        path = path or self.path
        try:
            return self.fleet.send_request(path, "POST" if "/order/" in path else "GET",
                                           router=router, timeout=4, key=key)[0]
        except (OSError, http.client.HTTPException):
            return 0

    def send_repeatedly(self, keys, callers=1):
        """Callers send the request at the same moments, with the next of the keys and to the next router
        each, while another one sends sound requests to the service. Returns their last statuses."""
        end = time.monotonic() + SENDING_SECONDS
        last = [0] * callers
        served = []

        def crash_endpoints(caller):
            for number in itertools.count(caller):
                time.sleep(PAUSE_SECONDS - time.monotonic() % PAUSE_SECONDS)
                if time.monotonic() > end:
                    return
                last[caller] = self.send(number % len(self.fleet.routers), keys())

        def use_service():
            for number in itertools.count():
                if time.monotonic() > end:
                    return
                status = self.send(number % len(self.fleet.routers), keys(), f"/read/{number}")
                served.append((time.monotonic(), status == 200))
                time.sleep(0.05)

        threads = [threading.Thread(target=crash_endpoints, args=(caller,))
                   for caller in range(callers)] + [threading.Thread(target=use_service)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.running = False
        self.check(served)
        return last

    def check(self, served):
        assert len(self.crashes) >= 3, self.crashes
        known = self.crashes[2] + CONTACT_SECONDS
        late = sum(at > known for at in self.arrivals)
        print(f"{len(self.crashes)} endpoints crashed, {len(self.arrivals)} runs, {late} of them late")
        assert late <= MAX_LATE_RUNS, \
            f"{late} late runs, {len(self.crashes)} endpoints crashed"
        later = [ok for at, ok in served if at > known + CONTACT_SECONDS + self.back_after]
        assert sum(later) > 0.9 * len(later) > 0, \
            f"{sum(later)} of {len(later)} sound requests are served"


def tenants(*keys):
    return [{"name": "ws", "apiKeys": list(keys), "priority": 1}]


def one_key(fleet):
    """A caller sends the request with one key."""
    fleet.add_routers(4)
    service = CrashingService(fleet)
    assert service.send_repeatedly(lambda: "key-1") == [503]


def another_key(fleet):
    """The quarantine holds for the caller, whichever of its keys it uses; not for other callers."""
    fleet.add_routers(4)
    service = CrashingService(fleet)
    other = {"name": "other", "apiKeys": ["key-3"], "priority": 1}
    fleet.install(8, tenants=tenants("key-1", "key-2") + [other])
    assert service.send_repeatedly(lambda: "key-1") == [503]
    count = len(service.arrivals)
    statuses = [service.send(router, "key-2") for router in range(6)]
    assert statuses == [503] * 6 and len(service.arrivals) == count, \
        f"{statuses}, {len(service.arrivals) - count} runs with the other key"
    service.send(0, "key-3")
    assert len(service.arrivals) > count, "the request of another caller is not sent"


def replaced_keys(fleet):
    """The quarantine holds for the caller while its key is replaced again and again."""
    fleet.add_routers(4)
    service = CrashingService(fleet)
    current = ["key-0"]
    stop = threading.Event()

    def replace_keys():
        for number in itertools.count(1):
            if stop.wait(1.5):
                return
            old, new = current[0], f"key-{number}"
            fleet.install(8 + number, tenants=tenants(old, new))
            current[0] = new

    fleet.install(8, tenants=tenants("key-0"))
    operator = threading.Thread(target=replace_keys)
    operator.start()
    try:
        last = service.send_repeatedly(lambda: current[0])
    finally:
        stop.set()
        operator.join()
    assert last == [503]


def copies_at_once(fleet):
    """Several copies of the request are under way when endpoints crash."""
    fleet.add_routers(4)
    service = CrashingService(fleet)
    assert service.send_repeatedly(lambda: "key-1", callers=4) == [503] * 4


def copies_of_an_order_at_once(fleet):
    """The same with a request that may not be sent again, so that a router sends each copy once."""
    fleet.add_routers(4)
    service = CrashingService(fleet, path="/order/crash")
    assert service.send_repeatedly(lambda: "key-1", callers=4) == [503] * 4


def crash_after_the_attempt(fleet):
    """Endpoints crash after the router has given up the attempt and tried the next one."""
    fleet.add_routers(4)
    service = CrashingService(fleet, crash_after=0.4)  # the router waits for 0.3 s
    assert service.send_repeatedly(lambda: "key-1") == [503]


def restart_under_same_id(fleet):
    """Endpoints come back at once, under the id that they had."""
    fleet.add_routers(4)
    service = CrashingService(fleet, back_after=0.2, keeps_id=True)
    assert service.send_repeatedly(lambda: "key-1") == [503]


def event_takes_all_endpoints(fleet):
    """All endpoints crash at once, for another reason, while copies of a request that was answered
    before are under way on each. It is not blamed."""
    fleet.add_routers(4)
    service = CrashingService(fleet, path="/read/none", back_after=2.0)
    statuses = []
    stop = threading.Event()

    def poll(caller):
        for number in itertools.count(caller):
            if stop.is_set():
                return
            statuses.append((time.monotonic(), service.send(number % 6, "key-1", "/read/popular")))

    def answer_slowly(handler, endpoint):
        time.sleep(0.1)
        return False

    for endpoint in fleet.endpoints:
        endpoint.on_request = answer_slowly
    callers = [threading.Thread(target=poll, args=(caller,)) for caller in range(24)]
    for caller in callers:
        caller.start()
    for _ in range(3):
        time.sleep(3)
        for endpoint in fleet.endpoints:
            if endpoint.service == "plain" and not endpoint.crashed:
                endpoint.crash()
                threading.Timer(service.back_after, service.replace, (endpoint,)).start()
        time.sleep(service.back_after + 1)
    began = time.monotonic()
    time.sleep(3)
    stop.set()
    for caller in callers:
        caller.join()
    after = [status for at, status in statuses if at > began]
    assert sum(status == 200 for status in after) > 0.95 * len(after) > 0, \
        f"{sum(status == 200 for status in after)} of {len(after)} are served"
    suspects = [item for item in fleet.leader_status()["suspects"] if item["quarantined"]]
    assert not suspects, suspects


CASES = {case.__name__: case for case in
         (one_key, another_key, replaced_keys, copies_at_once, copies_of_an_order_at_once,
          crash_after_the_attempt, restart_under_same_id, event_takes_all_endpoints)}


if __name__ == "__main__":
    run_case(CASES)
