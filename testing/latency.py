#!/usr/bin/env python3
"""What entry and owner add to a streamed chat: paired runs straight to a fake engine and
through a fleet of three routers, then one router under as many chats as it takes.

Usage: latency.py BUILD
"""

import os
import subprocess
import sys

from fleet import Fleet

PAIRS = 2


def load(build, port, *options):
    done = subprocess.run([os.path.join(build, "bamboogap_load"), "--at", f"127.0.0.1:{port}",
                           *options], capture_output=True, text=True, check=False, timeout=60)
    return done.stdout.strip() or done.stderr.strip()


def memory_kilobytes(process):
    with open(f"/proc/{process.popen.pid}/status", encoding="utf-8") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmHWM"))


def main():
    build = sys.argv[1]
    fleet = Fleet(build, routers=3, extra={"log": {"level": "warning"},
                                           "routing": {"max_waiting": 4000}})
    try:
        fleet.start()
        for i in range(3):
            fleet.add_endpoint(f"engine-{i}", f"dc{i + 1}", capacity=2000, cold_capacity=2000,
                               token_ms=10, tokens=20)
        fleet.wait_endpoints()
        fleet.give_plan("ws")
        steady = ("--rate", "200", "--seconds", "5", "--stream")
        for _ in range(PAIRS):
            print("straight:", load(build, fleet.endpoints[0].port, *steady), flush=True)
            print("through: ", load(build, fleet.routers[0].callers, *steady), flush=True)
        print("1,000 open streams through one router:",
              load(build, fleet.routers[1].callers, "--open", "1000", "--seconds", "5",
                   "--stream"), flush=True)
        print(f"its most memory: {memory_kilobytes(fleet.routers[1])} KB", flush=True)
    finally:
        fleet.stop()
    fleet = Fleet(build, routers=3, extra={"log": {"level": "warning"},
                                           "routing": {"max_waiting": 4000}})
    try:
        fleet.start()
        for i in range(3):
            fleet.add_endpoint(f"engine-{i}", f"dc{i + 1}", capacity=2000, cold_capacity=2000,
                               token_ms=0, tokens=1)
        fleet.wait_endpoints()
        fleet.give_plan("ws")
        print("short chats through one router:",
              load(build, fleet.routers[2].callers, "--open", "32", "--seconds", "5"), flush=True)
    finally:
        fleet.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
