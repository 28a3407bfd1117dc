#!/usr/bin/env python3
"""First starts of a direct fleet that lose one replica within the first seconds.

    python3 testing/firststart.py BUILD --seed N [--seconds S]   trials in the seed's order
    python3 testing/firststart.py BUILD --only wipe:0:start:0.3  one trial, or all that begin so
    python3 testing/firststart.py BUILD --all                    each trial once

A trial is how:replica:after:moment. The replica is killed (kill), killed and its disk emptied
(wipe), or killed for good (gone), so many seconds after the first start or after the first
configuration was acknowledged. The replica is a number, or `by` for the one that acknowledged. An
operator sends that configuration from the start on until it is acknowledged.

Within LIMIT_SECONDS after the loss, or after the return, the configuration has to be acknowledged,
every replica that runs has to give it back, a request has to be served, and one more configuration
has to be accepted.
"""

import argparse
import collections
import contextlib
import http.client
import itertools
import json
import random
import sys
import threading
import time

from fleet import wait_for
from platform_fleet import DirectFleet, call

LIMIT_SECONDS = 10.0
FIRST_VERSION = 7
MOMENTS = [tenth / 10 for tenth in range(11)]
DOWN_SECONDS = [0.2, 1.0, 3.0]
ACKNOWLEDGED_BY = "by"  # the replica that acknowledged the first configuration


class Trial:
    def __init__(self, how, replica, after, moment):
        self.how = how
        self.replica = replica
        self.after = after
        self.moment = moment

    def __str__(self):
        return f"{self.how}:{self.replica}:{self.after}:{self.moment}"


def all_trials():
    trials = [Trial(how, replica, "start", moment)
              for how, replica, moment in itertools.product(("kill", "wipe", "gone"), range(5),
                                                            MOMENTS)]
    trials += [Trial(how, replica, "ack", moment)
               for how, replica, moment in itertools.product(
                   ("kill", "wipe", "gone"), (ACKNOWLEDGED_BY, 0, 1, 2), MOMENTS)]
    return trials


class Operator:
    """Sends the first configuration to one replica after another until one acknowledges it."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.stopped = False
        self.acknowledged_by = None
        self.acknowledged = threading.Event()
        self.thread = threading.Thread(target=self.send)
        self.thread.start()

    def send(self):
        body = json.dumps(self.fleet.configuration(FIRST_VERSION)).encode()
        while not self.stopped:
            for node in self.fleet.replicas:
                with contextlib.suppress(OSError, http.client.HTTPException):
                    if call(node.address("control"), "PUT", "/v1/configuration", body,
                            timeout=1)[0] == 200:
                        self.acknowledged_by = node
                        self.acknowledged.set()
                        return
            time.sleep(0.02)

    def stop(self):
        self.stopped = True
        self.thread.join()


def lose(fleet, operator, trial, began, down):
    """Ends the replica, and starts it again unless it is gone."""
    if trial.after == "ack":
        assert operator.acknowledged.wait(30), "nothing was acknowledged without a fault"
        began = time.monotonic()
    node = operator.acknowledged_by if trial.replica == ACKNOWLEDGED_BY \
        else fleet.replicas[trial.replica]
    time.sleep(max(0.0, began + trial.moment - time.monotonic()))
    node.kill()
    if trial.how == "gone":
        return
    if trial.how == "wipe":
        with contextlib.suppress(FileNotFoundError):  # it had not written anything
            node.wipe()
    time.sleep(down)
    node.write_settings(first_start=False)
    node.start()


def read_version(node):
    status, _, body = call(node.address("control"), "GET", "/v1/configuration", timeout=1)
    return json.loads(body)["version"] if status == 200 else None


def check(fleet, operator):
    end = time.monotonic() + LIMIT_SECONDS

    def wait(condition, description):
        wait_for(condition, max(0.1, end - time.monotonic()),
                 f"{description} within {LIMIT_SECONDS} s")

    wait(operator.acknowledged.is_set, "the first configuration is acknowledged")
    for node in fleet.replicas:
        if node.alive():
            wait(lambda node=node: read_version(node) == FIRST_VERSION,
                 f"{node.name} gives it back")
    wait(lambda: fleet.send_request("/read/1", timeout=2)[0] == 200, "a request is served")
    status, _, body = fleet.control("PUT", "/v1/configuration",
                                    fleet.configuration(FIRST_VERSION + 1),
                                    limit=max(0.1, end - time.monotonic()))
    assert status == 200, body


def run(build, trial, down):
    """Returns what was wrong, or None."""
    fleet = DirectFleet(build)
    operator = Operator(fleet)
    failure = None
    try:
        fleet.add_endpoint("endpoint", "plain", born=int(time.time() * 1000))
        began = time.monotonic()
        for node in fleet.replicas + fleet.routers:
            node.write_settings(first_start=True)
            node.start()
        lose(fleet, operator, trial, began, down)
        check(fleet, operator)
    except AssertionError as error:
        failure = str(error)
    finally:
        operator.stop()
        fleet.stop(keep=failure is not None)
    return f"{failure}; logs are kept in {fleet.folder}" if failure else None


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=45)
    parser.add_argument("--only", default="")
    parser.add_argument("--all", action="store_true")
    options = parser.parse_args()
    order = random.Random(options.seed)
    trials = [trial for trial in all_trials() if str(trial).startswith(options.only)]
    order.shuffle(trials)
    end = time.monotonic() + options.seconds
    covered = collections.Counter()
    failures = 0
    for trial in trials:
        if not options.all and time.monotonic() > end:
            break
        down = order.choice(DOWN_SECONDS)
        covered[f"{trial.how} after {trial.after}"] += 1
        if failure := run(options.build, trial, down):
            failures += 1
            print(f"FAILED {trial}, down for {down} s: {failure}", flush=True)
    print(f"seed {options.seed}: {sum(covered.values())} of {len(trials)} trials, "
          f"{failures} failed; " + ", ".join(f"{kind}: {count}" for kind, count
                                             in sorted(covered.items())))
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
