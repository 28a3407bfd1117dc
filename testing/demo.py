#!/usr/bin/env python3
"""Demonstrates a fleet on loopback: six routers in three data centres, five engines and
five endpoints of each of two services. Prints the observed results and, where they differ,
the expected ones, and exits non-zero if a result differs.

Usage: demo.py BUILD [--keep]
"""

import sys
import threading
import time

from fleet import Response, Fleet, LoadGenerator, call, chat, post_order, stream_events, user, \
    wait_for

failures = []


def show(description, observed, expected):
    """Prints and checks one result; `expected` is a value or a predicate."""
    as_expected = expected(observed) if callable(expected) else observed == expected
    verdict = "" if not callable(expected) else " (as expected)" if as_expected \
        else " (not as expected)"
    line = f"{'ok  ' if as_expected else 'FAIL'} {description}: {observed}"
    print(line + (verdict if callable(expected) else "" if as_expected
                  else f", expected {expected}"),
          flush=True)
    if not as_expected:
        failures.append(description)


def main():
    build = sys.argv[1]
    keep_running = "--keep" in sys.argv[2:]
    fleet = Fleet(build, routers=6)
    try:
        started = time.monotonic()
        fleet.start()
        show("seconds until six routers run and three replicas are voters",
             round(time.monotonic() - started, 1), lambda s: s < 15)
        for i in range(5):
            fleet.add_endpoint(f"engine-{i}", f"dc{i % 3 + 1}", cold_capacity=8, token_ms=5)
            fleet.add_endpoint(f"repairs-{i}", f"dc{i % 3 + 1}", service="repairs")
            fleet.add_endpoint(f"bookings-{i}", f"dc{i % 3 + 1}", service="bookings")
        fleet.wait_for_endpoints()
        fleet.set_up_customers("brno")
        routers = fleet.routers

        opening = [user("Cover 17, rust on the frame?")]
        first = chat(routers[0], opening, workspace="brno")
        show("status of a chat", first.status, 200)
        later = chat(routers[4], opening + [{"role": "assistant", "content": "Yes."},
                                            user("How deep?")], workspace="brno")
        show("its next turn, through another router, reaches the same engine",
             later.headers.get("X-Endpoint"), first.headers["X-Endpoint"])
        show("and uses its cache", later.json()["usage"]["cached"], True)

        events, complete = stream_events(chat(routers[1], [user("long report")], workspace="brno",
                                              stream=True).body)
        show("events of a stream, and whether it is complete", (len(events), complete), (20, True))
        events, complete = stream_events(chat(routers[2], [user("CUT_STREAM")], workspace="brno",
                                              stream=True).body)
        tokens = "".join(event["choices"][0]["delta"]["content"] for event in events)
        show("a stream that breaks is resumed at the right event, and is complete",
             (tokens == "".join(f"t{i} " for i in range(20)), complete), (True, True))

        booked = post_order(routers[0], "lesson-1", service="bookings", workspace="brno", key="b-1")
        again = post_order(routers[5], "lesson-1", service="bookings", workspace="brno", key="b-1")
        show("a booking resent through another router gets the first response",
             again.body == booked.body and again.status == 200, True)
        executions = sum(endpoint.stats()["orders"].get("lesson-1", 0)
                         for endpoint in fleet.endpoints)
        show("number of times it was executed", executions, 1)

        def send(thread, iteration):
            return chat(routers[1 + (thread + iteration) % 5], [user(f"load {thread} {iteration}")],
                        workspace="brno", timeout=10)

        def runs_in(data_centre):
            return sum(endpoint.stats()["runs"] for endpoint in fleet.endpoints
                       if endpoint.data_centre == data_centre)

        with LoadGenerator(send, threads=8) as load:
            time.sleep(1)
            fleet.ctl_checked("data-centre-out", "dc2", "--wait")
            before = runs_in("dc2")
            time.sleep(2)
            show("requests in a data centre that is out", runs_in("dc2") - before, 0)
            fleet.ctl_checked("data-centre-in", "dc2", "--wait")
            wait_for(lambda: runs_in("dc2") > before, 10, "dc2 serves again")
            show("the data centre serves again after it was brought back", True, True)
        failed = [r for _, _, r in load.results if not isinstance(r, Response) or r.status != 200]
        show("requests meanwhile, and how many of them failed", (len(load.results), len(failed)),
             lambda pair: pair[0] > 100 and pair[1] == 0)

        leader = fleet.leader()
        other_routers = [router for router in routers if router is not leader]
        leader.kill()
        killed_at = time.monotonic()
        wait_for(lambda: any(call(router.operators, "GET", "/v1/operators/status",
                                  timeout=1).status == 200 for router in other_routers), 10,
                 "a new leader")
        show("seconds until another replica leads after the leader was killed",
             round(time.monotonic() - killed_at, 1), lambda s: s < 5)
        again = post_order(other_routers[0], "lesson-1", service="bookings", workspace="brno",
                           key="b-1")
        show("the response to the booking is still available", again.body == booked.body, True)
        leader.start()
        wait_for(leader.ready, 15, "the killed router is back")
        show("the killed router is back", True, True)

        outcome = {}

        def read():
            outcome["stream"] = stream_events(
                chat(routers[3], [user("slow SLOW=1500")], workspace="brno", stream=True).body)

        reader = threading.Thread(target=read)
        reader.start()
        time.sleep(0.3)
        routers[3].popen.terminate()
        reader.join(timeout=20)
        routers[3].popen.wait(timeout=20)
        show("a stream is complete although its router was stopped",
             outcome.get("stream", (None, False))[1], True)
        show("exit code of that router", routers[3].popen.returncode, 0)
        routers[3].start()
        wait_for(routers[3].ready, 15, "the stopped router is back")

        if keep_running:
            print(f"\nThe fleet is running; its files are in {fleet.folder}. Try:")
            print(f"  build/bamboogapctl --at 127.0.0.1:{routers[0].operators} status")
            print(f"  curl -s -H 'X-Workspace: brno' -d "
                  f"'{{\"model\":\"m1\",\"messages\":[{{\"role\":\"user\",\"content\":\"hi\"}}]}}' "
                  f"http://127.0.0.1:{routers[0].callers}/v1/chat/completions")
            print("Press Enter to stop it.")
            sys.stdin.readline()
    finally:
        fleet.stop()
    print(f"{'all as expected' if not failures else 'differs: ' + ', '.join(failures)}")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
