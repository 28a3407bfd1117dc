#!/usr/bin/env python3
"""Random ends of exchanges on both sides, in overlapping order.

    python3 testing/fuzz_ends.py BUILD --seed N [--seconds S] [--only WAY]

Callers leave before the end of the head, within the body, before the first byte, within a stream, by a
close or a reset, or stay; endpoints answer, stall, reset, end without an answer, break off streams
or refuse. After each round the router's descriptors and open requests are back, at the end its
memory too, it was not busy all the time, it serves, and it stops in time. A failing round is
played again with each half of its exchanges left out while it still fails.
"""

import argparse
import collections
import contextlib
import os
import random
import socket
import struct
import sys
import threading
import time

from exchanges_test import processor_seconds
from fleet import wait_for
from platform_fleet import DirectFleet, call
from platform_test import set_up_endpoints

ROUND = 60  # exchanges that overlap
ROUND_SECONDS = 1.0
SPARE_DESCRIPTORS = 20  # kept connections to endpoints and replicas come and go
SPARE_MB = 30
BACK_SECONDS = 8.0
BUSY_SHARE = 0.25  # of a processor, by the router over a round
WAYS = ["stays", "within the head", "within the body", "before the first byte", "within a stream",
        "resets", "at once"]
ENDS = ["answers", "stalls", "resets", "closes", "breaks off", "refuses", "fails"]
PATHS = ["/read/1", "/order/1", "/stream/1", "/stream/once/1"]


class Exchange:
    def __init__(self, generator, number):
        self.id = f"ends-{number}"
        self.way = generator.choice(WAYS)
        self.end = generator.choice(ENDS)
        self.path = generator.choice(PATHS)
        self.body = b"b" * generator.choice([0, 2, 5_000, 100_000])
        self.begin = generator.uniform(0, ROUND_SECONDS)
        self.leave_after = generator.uniform(0, 0.6)
        self.end_after = generator.uniform(0, 0.4)

    def __str__(self):
        return (f"{self.path} with {len(self.body)} bytes: caller {self.way} after "
                f"{self.leave_after:.2f} s, endpoint {self.end} after {self.end_after:.2f} s")

    def play(self, address):
        time.sleep(self.begin)
        head = (f"POST {self.path} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {self.id}\r\n"
                f"X-Deadline-Ms: 2500\r\nAuthorization: Token key-1\r\nConnection: close\r\n"
                f"Content-Length: {len(self.body)}\r\n\r\n").encode()
        data = {"within the head": head[:len(head) // 2],
                "within the body": head + self.body[:len(self.body) // 2]}.get(self.way,
                                                                               head + self.body)
        with contextlib.suppress(OSError):
            with socket.create_connection(address, timeout=5) as caller:
                caller.sendall(data)
                if self.way == "stays":
                    while caller.recv(65536):
                        pass
                    return
                if self.way == "within a stream":
                    caller.recv(1)
                if self.way != "at once":
                    time.sleep(self.leave_after)
                if self.way == "resets":
                    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


class Bench:
    def __init__(self, build):
        self.fleet = DirectFleet(build)
        self.fleet.start()
        set_up_endpoints(self.fleet)
        self.exchanges = {}
        for endpoint in self.fleet.endpoints:
            endpoint.slots = ROUND
            endpoint.event_interval = 0.05
            endpoint.on_request = self.on_request
        self.router = self.fleet.routers[0]
        self.play([Exchange(random.Random("warm"), number) for number in range(ROUND)])
        time.sleep(1)
        self.descriptors = len(os.listdir(f"/proc/{self.router.popen.pid}/fd"))
        self.memory = self.memory_mb()

    def on_request(self, handler, endpoint):
        exchange = self.exchanges.get(handler.headers.get("X-Attempt-Id"))
        if not exchange or exchange.end == "answers":
            return False
        time.sleep(exchange.end_after)
        handler.close_connection = True
        if exchange.end == "stalls":
            time.sleep(1)
        elif exchange.end == "resets":
            endpoint.reset_connection(handler)
        elif exchange.end == "breaks off":
            endpoint.send_stream_head(handler)
            endpoint.send_chunk(handler, b"id: 1\ndata: to")
        elif exchange.end == "refuses":
            endpoint.respond(handler, 503, b"", {"X-Not-Executed": "1"}, signed=False)
        elif exchange.end == "fails":
            endpoint.respond(handler, 500, b"failed")
        return True

    def memory_mb(self):
        with open(f"/proc/{self.router.popen.pid}/statm", encoding="utf-8") as statm:
            return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20

    def play(self, exchanges):
        self.exchanges = {exchange.id: exchange for exchange in exchanges}
        address = self.router.address("callers")
        threads = [threading.Thread(target=exchange.play, args=(address,))
                   for exchange in exchanges]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def open_requests(self):
        metrics = call(self.router.address("operators"), "GET", "/metrics")[2].decode()
        return sum(float(line.split()[-1]) for line in metrics.splitlines()
                   if line.startswith("bamboogap_requests_open"))

    def failure_of(self, exchanges):
        """Returns what is wrong after the exchanges, or None."""
        began = time.monotonic()
        used = processor_seconds(self.router)
        self.play(exchanges)
        if not self.router.alive():
            return "the router has ended"

        def back():
            return (len(os.listdir(f"/proc/{self.router.popen.pid}/fd"))
                    <= self.descriptors + SPARE_DESCRIPTORS and self.open_requests() == 0)
        try:
            wait_for(back, BACK_SECONDS, "descriptors and open requests are back")
            wait_for(lambda: self.fleet.send_request("/read/1", timeout=3)[0] == 200, BACK_SECONDS,
                     "a request is served")
        except AssertionError as error:
            return (f"{error}: {len(os.listdir(f'/proc/{self.router.popen.pid}/fd'))} descriptors, "
                    f"{self.descriptors} before, {self.open_requests():.0f} requests open")
        busy = (processor_seconds(self.router) - used) / (time.monotonic() - began)
        if busy > BUSY_SHARE:
            return f"the router was busy {busy:.0%} of the time"
        return None

    def shorten(self, build, exchanges):
        """Returns the exchanges without those that the failure does not need, on new fleets."""
        while len(exchanges) > 1:
            half = len(exchanges) // 2
            for part in (exchanges[:half], exchanges[half:]):
                bench = Bench(build)
                failed = bench.failure_of(part)
                bench.fleet.stop()
                if failed:
                    exchanges = part
                    break
            else:
                break
        return exchanges

    def stop_router(self):
        began = time.monotonic()
        self.router.popen.terminate()
        code = self.router.popen.wait(self.fleet.stop_within_ms / 1000)
        assert code == 0, f"the router ended with {code}"
        return time.monotonic() - began


def run(build, seed, seconds, only):
    bench = Bench(build)
    end = time.monotonic() + seconds
    covered = collections.Counter()
    failure = None
    number = 0
    while time.monotonic() < end and not failure:
        generator = random.Random(f"{seed}-{number}")
        exchanges = [Exchange(generator, number * ROUND + index) for index in range(ROUND)]
        if only:
            exchanges = [exchange for exchange in exchanges if only in (exchange.way, exchange.end)]
        covered.update(exchange.way for exchange in exchanges)
        covered.update("endpoint " + exchange.end for exchange in exchanges)
        failure = bench.failure_of(exchanges)
        number += 1
    if not failure and bench.memory_mb() > bench.memory + SPARE_MB:
        failure = f"{bench.memory_mb():.0f} MB, {bench.memory:.0f} MB at the start"
    if failure:
        shortest = bench.shorten(build, exchanges) if "MB" not in failure else exchanges
        print(f"FAILED seed {seed}, round {number - 1}: {failure}; shortest, {len(shortest)}:\n  "
              + "\n  ".join(str(exchange) for exchange in shortest[:5]))
    else:
        bench.play([Exchange(random.Random(f"{seed}-stop"), index) for index in range(ROUND)])
        print(f"stopped within {bench.stop_router():.1f} s")
    print(f"seed {seed}: {number} rounds of {ROUND}, {int(failure is not None)} failed; "
          + ", ".join(f"{kind}: {count}" for kind, count in sorted(covered.items())))
    bench.fleet.stop(keep=failure is not None)
    return 1 if failure else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=25)
    parser.add_argument("--only", choices=WAYS + ENDS)
    options = parser.parse_args()
    return run(options.build, options.seed, options.seconds, options.only)


if __name__ == "__main__":
    sys.exit(main())
