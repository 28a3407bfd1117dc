"""Tests of rate limits that endpoints name in their answers, with real processes.

    python3 testing/limit_test.py BUILD CASE

Endpoints of a plain service name a limit for all routers together. A monitor counts the arrivals at
each endpoint; the bounds are those of the users' rules.
"""

import itertools
import random
import threading
import time

from fleet import wait_for
from platform_fleet import call, run_case
from platform_test import set_up_endpoints

CONTACT_SECONDS = 3.0  # contactMs of the users' sites: by then every router obeys a limit
WINDOW_SECONDS = 4.0  # in which arrivals are counted
SEED = 20261205


def allowed(per_second):
    """Arrivals in a window that the rule allows."""
    return 1.5 * per_second * WINDOW_SECONDS + 5


class LimitedEndpoint:
    """Names a limit in its answers from limit_at(per_second) on, until it is called with None."""

    def __init__(self, fleet, name, service="plain"):
        self.arrivals = []  # time and the router's address
        self.per_second = None
        self.since = 0.0
        self.endpoint = fleet.add_endpoint(name, service, slots=16)
        self.endpoint.on_request = self.on_request

    def limit_at(self, per_second):
        self.per_second = per_second
        self.since = time.monotonic()

    def on_request(self, handler, endpoint):
        self.arrivals.append(time.monotonic())
        limit = {"Server-Limit": str(self.per_second)} if self.per_second is not None else {}
        time.sleep(0.02)
        request = handler.headers["X-Attempt-Id"]
        endpoint.runs.append(request)
        endpoint.respond(handler, 200, b"whole answer of " + request.encode(), limit)
        return True

    def most_in_window(self, begin, end):
        """The most arrivals in any window between the two times."""
        times = [at for at in self.arrivals if begin <= at <= end]
        most = first = 0
        for last, at in enumerate(times):
            while at - times[first] > WINDOW_SECONDS:
                first += 1
            most = max(most, last - first + 1)
        return most

    def rate(self, begin, end):
        return sum(begin <= at <= end for at in self.arrivals) / (end - begin)


class Callers:
    """Send idempotent requests at a steady rate to all routers."""

    def __init__(self, fleet, per_second, path="/read/"):
        self.fleet = fleet
        self.path = path
        self.answers = []  # time, status, seconds, Retry-After
        self.stopped = threading.Event()
        self.threads = [threading.Thread(target=self.send, args=(per_second / 24, i))
                        for i in range(24)]
        for thread in self.threads:
            thread.start()

    def send(self, per_second, index):
        rng = random.Random(SEED + index)
        for number in itertools.count():
            if self.stopped.wait(rng.expovariate(per_second)):
                return
            router = rng.randrange(len(self.fleet.routers))
            if not self.fleet.routers[router].alive():
                continue
            began = time.monotonic()
            try:
                status, headers, _ = self.fleet.send_request(f"{self.path}{index}-{number}",
                                                             router=router, timeout=6)
            except OSError:
                continue  # the router restarts
            now = time.monotonic()
            self.answers.append((now, status, now - began, headers.get("Retry-After")))

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def served(self, begin, end):
        """Share of the requests answered between the two times that were served."""
        statuses = [status for at, status, _, _ in self.answers if begin <= at <= end]
        return sum(status == 200 for status in statuses) / max(1, len(statuses))


def set_up(fleet, limited, others=0, routers=6):
    fleet.add_routers(routers - 2)
    endpoints = [LimitedEndpoint(fleet, f"plain-{i}") for i in range(limited)]
    for i in range(others):
        fleet.add_endpoint(f"plain-other-{i}", "plain", slots=64)
    fleet.add_endpoint("engine-a", "engines")
    fleet.install(7)
    fleet.wait_for_endpoints()
    wait_for(lambda: all(router.ready() for router in fleet.routers), 10, "routers are ready")
    return endpoints


def check_windows(endpoints, per_second, end):
    found = [endpoint.most_in_window(endpoint.since + CONTACT_SECONDS, end)
             for endpoint in endpoints]
    rates = [endpoint.rate(endpoint.since + CONTACT_SECONDS, end) for endpoint in endpoints]
    print(f"most arrivals in a window: {found}, allowed {allowed(per_second):.1f}; "
          f"a second: {[round(rate, 2) for rate in rates]}, limit {per_second}")
    assert max(found) <= allowed(per_second), f"{found} of {allowed(per_second)}"
    return rates


def limit_is_kept(fleet):
    """The routers together keep the limits of all endpoints of a service, and use most of them."""
    endpoints = set_up(fleet, limited=3)
    callers = Callers(fleet, 40)
    time.sleep(2)
    for endpoint in endpoints:
        endpoint.limit_at(4)
    time.sleep(CONTACT_SECONDS + 12)
    callers.stop()
    end = time.monotonic()
    rates = check_windows(endpoints, 4, end)
    assert min(rates) > 0.6 * 4, rates
    begin = endpoints[0].since + CONTACT_SECONDS
    rejected = [answer for answer in callers.answers if answer[0] > begin and answer[1] == 503]
    assert rejected and all(answer[3] for answer in rejected), "a rejection tells when to return"
    # The goal is 0.5 s: what cannot be served is rejected long before.
    slow = [answer for answer in rejected if answer[2] > 0.3]
    assert len(slow) < 0.05 * len(rejected), f"{len(slow)} of {len(rejected)} rejections are late"


def limit_over_restarts(fleet):
    """Routers and the leading replica restart in turn, again and again; the limits hold."""
    endpoints = set_up(fleet, limited=3)
    callers = Callers(fleet, 40)
    time.sleep(1)
    for endpoint in endpoints:
        endpoint.limit_at(3)
    time.sleep(CONTACT_SECONDS)
    end = time.monotonic() + 16
    for number in itertools.count():
        if time.monotonic() > end:
            break
        names = [item["name"] for item in fleet.leader_status()["replicas"] if item["leads"]]
        nodes = [fleet.routers[number % 6], fleet.routers[(number + 3) % 6]]
        if number % 4 == 3:
            nodes += [node for node in fleet.replicas if node.name in names]
        for node in nodes:
            node.kill()
        for node in nodes:
            node.write_settings(first_start=False)
            node.start()
        time.sleep(1.2)
    callers.stop()
    check_windows(endpoints, 3, time.monotonic())


def others_take_the_rest(fleet):
    """What is over the limits of some endpoints goes to the others, at once."""
    endpoints = set_up(fleet, limited=2, others=1)
    callers = Callers(fleet, 40)
    time.sleep(1)
    for endpoint in endpoints:
        endpoint.limit_at(2)
    time.sleep(CONTACT_SECONDS + 8)
    callers.stop()
    end = time.monotonic()
    check_windows(endpoints, 2, end)
    begin = endpoints[0].since + CONTACT_SECONDS
    assert callers.served(begin, end) > 0.99, callers.served(begin, end)
    took = sorted(answer[2] for answer in callers.answers if answer[0] > begin)
    assert took[len(took) * 95 // 100] < 0.3, took[-20:]


def limit_ends(fleet):
    """A limit that is not named any more ends for all routers; one of a zero rate, too."""
    endpoints = set_up(fleet, limited=3)
    callers = Callers(fleet, 40)
    time.sleep(1)
    for endpoint, per_second in zip(endpoints, (2, 2, 0)):
        endpoint.limit_at(per_second)
    time.sleep(CONTACT_SECONDS + 6)
    end = time.monotonic()
    check_windows(endpoints[:2], 2, end)
    check_windows(endpoints[2:], 0, end)
    for endpoint in endpoints:
        endpoint.limit_at(None)
    # A router learns of the end by an answer; at a rate of 2 a second there is one soon.
    time.sleep(CONTACT_SECONDS + 2)
    begin = time.monotonic()
    time.sleep(3)
    callers.stop()
    assert callers.served(begin, time.monotonic()) > 0.95, callers.served(begin, time.monotonic())
    shares = [(router.name, item["id"]) for router in fleet.routers
              for item in router.status()["endpoints"] if "rate_limit_share" in item]
    assert not shares, f"limits that have ended still hold: {shares}"
    rates = [endpoint.rate(begin, begin + 3) for endpoint in endpoints]
    assert min(rates) > 1.5 * 2, rates  # more than the limits allowed


def wrong_limits_are_logged(fleet):
    """A limit that cannot be read does not hold and is logged."""
    set_up_endpoints(fleet)
    values = iter(("-1", "many", "1e300", "nan", "", "7,5"))

    def on_request(handler, endpoint):
        request = handler.headers["X-Attempt-Id"].encode()
        endpoint.respond(handler, 200, b"whole answer of " + request,
                         {"Server-Limit": next(values, "")})
        return True

    for endpoint in fleet.endpoints:
        endpoint.on_request = on_request
    for number in range(40):
        assert fleet.send_request(f"/read/{number}")[0] == 200

    def logged():
        with open(fleet.routers[0].log, encoding="utf-8") as lines:
            return sum("answer_header_ignored" in line and "Server-Limit" in line
                       for line in lines)

    wait_for(lambda: logged() == 5, 5, "each value that cannot be read is logged")
    assert call(fleet.routers[0].address("operators"), "GET", "/metrics")[0] == 200


CASES = {case.__name__: case for case in
         (limit_is_kept, limit_over_restarts, others_take_the_rest, limit_ends,
          wrong_limits_are_logged)}


if __name__ == "__main__":
    run_case(CASES)
