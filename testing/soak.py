#!/usr/bin/env python3
"""A randomized fault soak of a direct fleet with real processes on loopback.

    python3 testing/soak.py BUILD --seed N [--seconds S]     one seed
    python3 testing/soak.py BUILD --seeds N [--from M]       N seeds from M on

Faults come from outside the processes, in series and overlapping: replicas and routers
are killed, paused, stopped and restarted, disks are emptied, runners drain, leave and
crash, connections to runners are delayed, reset, cut one way or silenced by a loopback proxy,
configurations and outages race. While it runs it checks what callers, runners and the
operator see; CHECKS lists the promises. A failing seed prints what broke and keeps its logs.
"""

import argparse
import http.client
import json
import random
import signal
import socket
import sys
import threading
import time

from fleet import wait_for
from platform_fleet import DirectFleet, Runner

CHECKS = """
an order runs at most once; an order answered 503 never runs
a success has the runner's signature, the request's id and its whole body
a whole stream has every event once, in order
a draining runner gets no request later than DRAIN_SECONDS after the acknowledgement
an acknowledged configuration is read back, never an older one; nor is an older one seen
in the end the fleet serves again, and all that was acknowledged is there
"""
DRAIN_SECONDS = 2.0  # the users' drainMs
SETTLE_SECONDS = 12  # the users' recoverS
LOST_AT_ONCE = 2  # replicas that may be down, paused or empty at the same time


class Proxy:
    """A TCP proxy before a runner, whose mode a test sets."""

    def __init__(self, target):
        self.target = target
        self.mode = "pass"  # pass, delay, reset, silent, one_way
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.open = set()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
                server = socket.create_connection(("127.0.0.1", self.target))
            except OSError:
                return
            self.open |= {client, server}
            for source, sink, back in ((client, server, False), (server, client, True)):
                threading.Thread(target=self.pump, args=(source, sink, back), daemon=True).start()

    def pump(self, source, sink, back):
        try:
            while data := source.recv(65536):
                while self.mode == "silent" or (self.mode == "one_way" and back):
                    time.sleep(0.05)
                if self.mode == "delay":
                    time.sleep(0.15)
                if self.mode == "reset":
                    break
                sink.sendall(data)
        except OSError:
            pass
        for end in (source, sink):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.open -= {source, sink}

    def close(self):
        for end in [self.listener, *self.open]:
            end.close()


class ProxiedRunner(Runner):
    """A runner that announces the address of its proxy."""

    def __init__(self, *arguments, **options):
        self.proxy = None
        super().__init__(*arguments, **options)

    def announced_port(self):
        if self.proxy is None:
            self.proxy = Proxy(self.server.server_port)
        return self.proxy.port

    def stop(self):
        super().stop()
        if self.proxy:
            self.proxy.close()


class Soak:
    def __init__(self, build, seed, seconds):
        self.random = random.Random(seed)
        self.seconds = seconds
        self.fleet = DirectFleet(build, replicas=5, routers=3)
        self.lock = threading.Lock()
        self.problems = []
        self.refused = set()  # orders answered "not run"
        self.served = 0
        self.version = 7
        self.acknowledged = 7
        self.lost = set()  # replicas that are down at the moment
        self.stopping = threading.Event()
        self.ids = 0
        self.faults = []

    def broke(self, what):
        with self.lock:
            self.problems.append(what)

    def runner(self, service):
        self.ids += 1
        runner = ProxiedRunner(self.fleet, f"{service}-{self.ids}", service,
                               data_centre=f"dc{self.ids % 3 + 1}")
        runner.event_gap = 0.02
        self.fleet.runners.append(runner)
        return runner

    # ---- callers ------------------------------------------------------------------

    def caller(self, number):
        choose = random.Random(self.random.random() + number)
        while not self.stopping.is_set():
            kind = choose.choice(("read", "order", "stream"))
            router = choose.randrange(len(self.fleet.routers))
            method = "GET" if kind == "read" else "POST"
            with self.lock:
                self.fleet.number += 1
                request = f"soak-{self.fleet.number}"
            try:
                status, headers, body = self.ask(kind, method, router, request)
            except http.client.IncompleteRead:
                continue  # a cut stream that looks cut
            except (OSError, http.client.HTTPException):
                time.sleep(0.05)
                continue
            self.check_answer(kind, request, status, headers, body)
            time.sleep(0.01)

    def ask(self, kind, method, router, request):
        node = self.fleet.routers[router]
        connection = http.client.HTTPConnection(*node.address("callers"), timeout=6)
        try:
            connection.request(method, f"/{kind}/1", body=b"{}" if method == "POST" else None,
                               headers={"Host": "a.example", "X-Attempt-Id": request,
                                        "X-Deadline-Ms": "5000",
                                        "Authorization": "Token key-1"})
            response = connection.getresponse()
            return response.status, dict(response.getheaders()), response.read()
        finally:
            connection.close()

    def check_answer(self, kind, request, status, headers, body):
        if status == 503 and kind == "order":
            self.refused.add(request)
        if status in (401, 404):
            self.broke(f"{request}: {status} for a route and key that were always there")
        if status != 200:
            return
        self.served += 1
        if headers.get("X-Attempt-Id") != request \
                or not headers.get("X-Server-Signature", "").startswith("sig-"):
            self.broke(f"{request}: a success without its id or signature: {headers}")
        if kind == "stream":
            ids = [line for line in body.decode().split("\n") if line.startswith("id: ")]
            if ids != [f"id: {i}" for i in range(1, 6)]:
                self.broke(f"{request}: a whole stream with the events {ids}")
        elif body != b"whole answer of " + request.encode():
            self.broke(f"{request}: another body: {body}")

    # ---- faults -------------------------------------------------------------------

    def replica_fault(self):
        up = [node for node in self.fleet.replicas if node.name not in self.lost]
        if len(self.lost) >= LOST_AT_ONCE or not up:
            return
        node = self.random.choice(up)
        how = self.random.choice(("kill", "pause", "wipe", "terminate"))
        self.later(node, how, self.random.uniform(0.3, 3.0))

    def later(self, node, how, seconds):
        """Brings a node down, and back after a while; it counts as lost until it has caught up."""
        self.lost.add(node.name)
        self.faults.append(f"{how} {node.name} {seconds:.1f}")
        node.write_settings(first_start=False)

        def run():
            if how == "pause":
                node.freeze()
                time.sleep(seconds)
                node.thaw()
            else:
                if how == "terminate":
                    node.send(signal.SIGTERM)
                    node.popen.wait(timeout=9)
                elif how == "wipe":
                    node.wipe()
                else:
                    node.kill()
                time.sleep(seconds)
                node.start()
            time.sleep(4)  # catchUpS
            self.lost.discard(node.name)

        threading.Thread(target=run, daemon=True).start()

    def router_fault(self):
        if any(router.name in self.lost for router in self.fleet.routers):
            return
        how = self.random.choice(("kill", "pause", "terminate"))
        self.later(self.random.choice(self.fleet.routers), how, self.random.uniform(0.2, 2.0))

    def runner_fault(self):
        alive = [runner for runner in self.fleet.runners if runner.beating]
        runner = self.random.choice(alive)
        same = [item for item in alive if item.service == runner.service]
        how = self.random.choice(("drain", "crash", "delay", "reset", "silent", "one_way"))
        self.faults.append(f"{how} {runner.name}")
        if how in ("drain", "crash"):
            self.runner(runner.service)
            if len(same) < 2 or (how == "drain" and not self.drain(runner)):
                return
            runner.beating = False
            if how == "crash":
                runner.stop()
            return
        runner.proxy.mode = how
        threading.Timer(self.random.uniform(0.3, 2.0), self.pass_again, [runner]).start()

    @staticmethod
    def pass_again(runner):
        runner.proxy.mode = "pass"

    def drain(self, runner):
        runner.state = "draining"
        try:
            if runner.beat()[0] != 200:
                return False
        except AssertionError:
            return False
        calm = not self.lost  # the bound holds for routers and replicas in touch

        def check():
            time.sleep(DRAIN_SECONDS)
            known = len(runner.seen)
            time.sleep(2)
            if calm and not self.lost and len(runner.seen) > known:
                self.broke(f"{runner.name} got {len(runner.seen) - known} requests after its drain")

        threading.Thread(target=check, daemon=True).start()
        return True

    def operator_fault(self):
        if self.random.random() < 0.3:
            how = self.random.choice(("POST", "DELETE"))
            try:
                self.fleet.control(how, "/v1/evacuations/dc3", limit=2)
            except AssertionError:
                pass  # no clear answer: it may be in force or not
            return
        self.version += self.random.randrange(1, 4)
        version = self.version
        try:
            status, _, body = self.fleet.control("PUT", "/v1/configuration",
                                                 self.fleet.configuration(version), limit=3)
        except AssertionError:
            return
        if status != 200:
            self.broke(f"configuration {version} was refused: {body}")
        self.acknowledged = max(self.acknowledged, version)

    def reader(self):
        """Reads the configuration at any replica, all the time."""
        while not self.stopping.is_set():
            node = self.fleet.replicas[int(time.monotonic() * 10) % 5]
            least = self.acknowledged
            connection = http.client.HTTPConnection(*node.address("control"), timeout=1)
            try:
                connection.request("GET", "/v1/configuration")
                response = connection.getresponse()
                body = response.read()
                if response.status == 200 and json.loads(body)["version"] < least:
                    self.broke(f"{node.name} read version {json.loads(body)['version']}, "
                               f"{least} was acknowledged before")
            except (OSError, http.client.HTTPException):
                pass
            finally:
                connection.close()
            time.sleep(0.05)

    # ---- the run ------------------------------------------------------------------

    def run(self):
        self.fleet.start()
        for service in ("plain", "plain", "plain", "engines", "engines", "engines"):
            self.runner(service)
        self.fleet.install(7)
        self.fleet.wait_endpoints()
        threads = [threading.Thread(target=self.caller, args=(i,), daemon=True) for i in range(8)]
        threads.append(threading.Thread(target=self.reader, daemon=True))
        for thread in threads:
            thread.start()
        end = time.monotonic() + self.seconds
        faults = (self.replica_fault, self.router_fault, self.runner_fault, self.runner_fault,
                  self.operator_fault, self.operator_fault)
        while time.monotonic() < end:
            self.random.choice(faults)()
            time.sleep(self.random.uniform(0.1, 0.8))
        wait_for(lambda: not self.lost, 25, "all nodes are back")
        self.recover()
        self.stopping.set()
        for thread in threads:
            thread.join(timeout=10)
        self.check_runs()

    def recover(self):
        for runner in self.fleet.runners:
            if runner.proxy:
                runner.proxy.mode = "pass"
        try:
            wait_for(lambda: self.fleet.voters() == 5, SETTLE_SECONDS, "five voters")
            wait_for(lambda: all(router.ready() for router in self.fleet.routers),
                     SETTLE_SECONDS, "all routers are ready")
            before = self.served
            wait_for(lambda: self.served > before + 50, SETTLE_SECONDS, "requests are served")
            status, _, body = self.fleet.control("GET", "/v1/configuration")
            version = json.loads(body)["version"]
            if status != 200 or not self.acknowledged <= version <= self.version:
                self.broke(f"read back {version}; acknowledged {self.acknowledged}")
        except AssertionError as problem:
            self.broke(f"not recovered: {problem}")

    def check_runs(self):
        """What was refused as not run has not run, also not later."""
        runs = {}
        for runner in self.fleet.runners:
            for (request, headers, _) in list(runner.seen):
                if headers.get("X-Target-Instance") == runner.name:
                    runs.setdefault(request, []).append(runner.name)
        for request in self.refused:
            if request in runs:
                self.broke(f"{request}: answered 503, ran at {runs[request]}")


class OrderRuns:
    """Counts the runs of orders at all runners; an order runs once at most."""

    def __init__(self, soak):
        self.soak = soak
        self.runs = {}
        plain = Runner.serve

        def serve(runner, handler, body):
            if handler.path.startswith("/order/") \
                    and handler.headers.get("X-Target-Instance") in (None, runner.name):
                request = handler.headers["X-Attempt-Id"]
                with soak.lock:
                    self.runs[request] = self.runs.get(request, 0) + 1
                    again = self.runs[request] > 1
                if again:
                    soak.broke(f"{request}: an order ran twice")
            plain(runner, handler, body)

        ProxiedRunner.serve = serve


def soak(build, seed, seconds):
    run = Soak(build, seed, seconds)
    OrderRuns(run)
    try:
        run.run()
    except BaseException as problem:  # pylint: disable=broad-except
        run.problems.append(f"the soak itself failed: {problem!r}")
    failed = bool(run.problems)
    run.fleet.stop(keep=failed)
    print(f"seed {seed}: {'FAILED' if failed else 'passed'}, {run.served} served, "
          f"{len(run.refused)} orders refused, faults {len(run.faults)}, "
          f"version {run.acknowledged}", flush=True)
    for problem in run.problems[:10]:
        print(f"  {problem}", flush=True)
    if failed:
        print(f"  faults: {'; '.join(run.faults)}\n  logs: {run.fleet.folder}", flush=True)
    return not failed


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("build")
    parser.add_argument("--seed", type=int)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--from", dest="first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15)
    options = parser.parse_args()
    seeds = [options.seed] if options.seed is not None \
        else range(options.first, options.first + options.seeds)
    return 0 if all([soak(options.build, seed, options.seconds) for seed in seeds]) else 1


if __name__ == "__main__":
    sys.exit(main())
