#!/usr/bin/env python3
"""Shows a fleet at work: six routers in three data centres, five engines and five
services of each kind, on loopback. Prints what was seen against what was
expected and exits non-zero if one differs.

Usage: demo.py BUILD [--keep]
"""

import sys
import threading
import time

from fleet import Answer, Fleet, Load, call, chat, order, stream_events, user, wait_for

failures = []


def show(what, seen, expected):
    """One line; `expected` is a value or a condition."""
    good = expected(seen) if callable(expected) else seen == expected
    wanted = "" if not callable(expected) else " (as expected)" if good else " (not as expected)"
    line = f"{'ok  ' if good else 'FAIL'} {what}: {seen}"
    print(line + (wanted if callable(expected) else "" if good else f", expected {expected}"),
          flush=True)
    if not good:
        failures.append(what)


def main():
    build = sys.argv[1]
    keep = "--keep" in sys.argv[2:]
    fleet = Fleet(build, routers=6)
    try:
        started = time.monotonic()
        fleet.start()
        show("six routers start and three replicas vote, in s",
             round(time.monotonic() - started, 1), lambda s: s < 15)
        for i in range(5):
            fleet.add_endpoint(f"engine-{i}", f"dc{i % 3 + 1}", cold_capacity=8, token_ms=5)
            fleet.add_endpoint(f"repairs-{i}", f"dc{i % 3 + 1}", service="repairs")
            fleet.add_endpoint(f"bookings-{i}", f"dc{i % 3 + 1}", service="bookings")
        fleet.wait_endpoints()
        fleet.give_plan("brno")
        routers = fleet.routers

        opening = [user("Cover 17, rust on the frame?")]
        first = chat(routers[0], opening, workspace="brno")
        show("a chat is answered", first.status, 200)
        later = chat(routers[4], opening + [{"role": "assistant", "content": "Yes."},
                                            user("How deep?")], workspace="brno")
        show("its next turn, through another router, finds the same engine",
             later.headers.get("X-Endpoint"), first.headers["X-Endpoint"])
        show("and its cache", later.json()["usage"]["cached"], True)

        events, whole = stream_events(chat(routers[1], [user("long report")], workspace="brno",
                                           stream=True).body)
        show("a stream comes whole, in events", (len(events), whole), (20, True))
        events, whole = stream_events(chat(routers[2], [user("CUT_STREAM")], workspace="brno",
                                           stream=True).body)
        tokens = "".join(event["choices"][0]["delta"]["content"] for event in events)
        show("a stream that breaks is joined at the right place, whole",
             (tokens == "".join(f"t{i} " for i in range(20)), whole), (True, True))

        booked = order(routers[0], "lesson-1", service="bookings", workspace="brno", key="b-1")
        again = order(routers[5], "lesson-1", service="bookings", workspace="brno", key="b-1")
        show("a booking resent through another router gets the first answer",
             again.body == booked.body and again.status == 200, True)
        ran = sum(endpoint.stats()["orders"].get("lesson-1", 0) for endpoint in fleet.endpoints)
        show("and ran this often", ran, 1)

        def send(thread, turn):
            return chat(routers[1 + (thread + turn) % 5], [user(f"load {thread} {turn}")],
                        workspace="brno", timeout=10)

        def runs_in(data_centre):
            return sum(endpoint.stats()["runs"] for endpoint in fleet.endpoints
                       if endpoint.data_centre == data_centre)

        with Load(send, threads=8) as load:
            time.sleep(1)
            fleet.must("data-centre-out", "dc2", "--wait")
            before = runs_in("dc2")
            time.sleep(2)
            show("requests in a data centre that is out", runs_in("dc2") - before, 0)
            fleet.must("data-centre-in", "dc2", "--wait")
            wait_for(lambda: runs_in("dc2") > before, 10, "dc2 serves again")
            show("it serves again when it is back", True, True)
        refused = [r for _, _, r in load.results if not isinstance(r, Answer) or r.status != 200]
        show("requests meanwhile, and not served", (len(load.results), len(refused)),
             lambda pair: pair[0] > 100 and pair[1] == 0)

        leader = fleet.leader()
        rest = [router for router in routers if router is not leader]
        leader.kill()
        gone = time.monotonic()
        wait_for(lambda: any(call(router.operators, "GET", "/v1/operators/status",
                                  timeout=1).status == 200 for router in rest), 10, "a new leader")
        show("the leader is killed; another one leads after s",
             round(time.monotonic() - gone, 1), lambda s: s < 5)
        again = order(rest[0], "lesson-1", service="bookings", workspace="brno", key="b-1")
        show("the booking's answer is still known", again.body == booked.body, True)
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
        show("a router is stopped under a stream; the stream comes whole",
             outcome.get("stream", (None, False))[1], True)
        show("and the router's exit code", routers[3].popen.returncode, 0)
        routers[3].start()
        wait_for(routers[3].ready, 15, "the stopped router is back")

        if keep:
            print(f"\nThe fleet is up; its files are in {fleet.folder}. Try:")
            print(f"  build/bamboogapctl --at 127.0.0.1:{routers[0].operators} status")
            print(f"  curl -s -H 'X-Workspace: brno' -d "
                  f"'{{\"model\":\"m1\",\"messages\":[{{\"role\":\"user\",\"content\":\"hi\"}}]}}' "
                  f"http://127.0.0.1:{routers[0].callers}/v1/chat/completions")
            print("Press Enter to end it.")
            sys.stdin.readline()
    finally:
        fleet.stop()
    print(f"{'all as expected' if not failures else 'differs: ' + ', '.join(failures)}")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
