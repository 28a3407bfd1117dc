#!/usr/bin/env python3
"""A randomized fault-injection soak test of a direct fleet, with real processes on loopback.

    python3 testing/soak.py BUILD --seed N [--seconds S]     one seed
    python3 testing/soak.py BUILD --seeds N [--from M]       N seeds from M on

Faults are injected from outside the processes, one after the other and overlapping:
replicas and routers are killed, paused, stopped and restarted, disks are emptied, endpoints
drain, leave and crash, a loopback proxy delays or resets connections to endpoints or blocks
them in one or both directions, and configurations and outages are changed concurrently.
Meanwhile the test checks what callers, endpoints and the operator observe; see CHECKS. A
failing seed prints the violations and keeps its logs.
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
from platform_fleet import DirectFleet, PlatformEndpoint

CHECKS = """
an order is executed at most once; an order with status 503 is never executed
a response with status 200 has the endpoint's signature, the request's id and the complete body
a complete stream has every event once, in order
a draining endpoint gets no request later than DRAIN_SECONDS after the acknowledgement
after a configuration is acknowledged, no older version is read from any replica
the last acknowledged order for a data centre is in force in the end, also after orders for it
whose senders gave up before
in the end the fleet serves again, and everything that was acknowledged is present
"""
DRAIN_SECONDS = 2.0  # the users' drainMs
OUTAGE_PATH = "/v1/evacuations/dc3"
SETTLE_SECONDS = 12  # the users' recoverS
MAX_REPLICAS_DOWN = 2  # replicas that may be down, paused or empty at the same time


class Proxy:
    """A TCP proxy in front of an endpoint; `mode` selects the fault that it injects."""

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
            for source, sink, is_response in ((client, server, False), (server, client, True)):
                threading.Thread(target=self.forward, args=(source, sink, is_response),
                                 daemon=True).start()

    def forward(self, source, sink, is_response):
        try:
            while data := source.recv(65536):
                while self.mode == "silent" or (self.mode == "one_way" and is_response):
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


class ProxiedEndpoint(PlatformEndpoint):
    """An endpoint that announces the address of its proxy."""

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
        self.rejected_orders = set()  # orders with status 503: not executed
        self.served = 0
        self.version = 7
        self.out_of_service = False  # of dc3, as last acknowledged; None if unknown
        self.acknowledged = 7
        self.down_nodes = set()  # names of nodes that are down or may not have caught up yet
        self.stopping = threading.Event()
        self.endpoint_count = 0
        self.faults = []

    def report_problem(self, description):
        with self.lock:
            self.problems.append(description)

    def add_endpoint(self, service):
        self.endpoint_count += 1
        endpoint = ProxiedEndpoint(self.fleet, f"{service}-{self.endpoint_count}", service,
                                   data_centre=f"dc{self.endpoint_count % 3 + 1}")
        endpoint.event_interval = 0.02
        self.fleet.endpoints.append(endpoint)
        return endpoint

    # ---- callers ------------------------------------------------------------------

    def send_requests(self, number):
        rng = random.Random(self.random.random() + number)
        while not self.stopping.is_set():
            kind = rng.choice(("read", "order", "stream"))
            router = rng.randrange(len(self.fleet.routers))
            method = "GET" if kind == "read" else "POST"
            with self.lock:
                request = f"soak-{next(self.fleet.request_numbers)}"
            try:
                status, headers, body = self.send_request(kind, method, router, request)
            except http.client.IncompleteRead:
                continue  # a truncated stream that the client can detect
            except (OSError, http.client.HTTPException):
                time.sleep(0.05)
                continue
            self.check_answer(kind, request, status, headers, body)
            time.sleep(0.01)

    def send_request(self, kind, method, router, request):
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
            self.rejected_orders.add(request)
        if status in (401, 404):
            self.report_problem(f"{request}: {status} "
                                f"for a route and key that are always configured")
        if status != 200:
            return
        self.served += 1
        if headers.get("X-Attempt-Id") != request \
                or not headers.get("X-Server-Signature", "").startswith("sig-"):
            self.report_problem(f"{request}: status 200 without its id or signature: {headers}")
        if kind == "stream":
            ids = [line for line in body.decode().split("\n") if line.startswith("id: ")]
            if ids != [f"id: {i}" for i in range(1, 6)]:
                self.report_problem(f"{request}: a complete stream with the events {ids}")
        elif body != b"whole answer of " + request.encode():
            self.report_problem(f"{request}: unexpected body: {body}")

    # ---- faults -------------------------------------------------------------------

    def inject_replica_fault(self):
        up = [node for node in self.fleet.replicas if node.name not in self.down_nodes]
        if len(self.down_nodes) >= MAX_REPLICAS_DOWN or not up:
            return
        node = self.random.choice(up)
        action = self.random.choice(("kill", "pause", "wipe", "terminate"))
        self.take_down(node, action, self.random.uniform(0.3, 3.0))

    def take_down(self, node, action, seconds):
        """Takes a node down for some seconds; it counts as down until it can have caught up."""
        self.down_nodes.add(node.name)
        self.faults.append(f"{action} {node.name} {seconds:.1f}")
        node.write_settings(first_start=False)

        def run():
            if action == "pause":
                node.freeze()
                time.sleep(seconds)
                node.unfreeze()
            else:
                if action == "terminate":
                    node.send(signal.SIGTERM)
                    node.popen.wait(timeout=9)
                elif action == "wipe":
                    node.wipe()
                else:
                    node.kill()
                time.sleep(seconds)
                node.start()
            time.sleep(4)  # catchUpS
            self.down_nodes.discard(node.name)

        threading.Thread(target=run, daemon=True).start()

    def inject_router_fault(self):
        if any(router.name in self.down_nodes for router in self.fleet.routers):
            return
        action = self.random.choice(("kill", "pause", "terminate"))
        self.take_down(self.random.choice(self.fleet.routers), action,
                       self.random.uniform(0.2, 2.0))

    def inject_endpoint_fault(self):
        alive = [endpoint for endpoint in self.fleet.endpoints if endpoint.sends_heartbeats]
        endpoint = self.random.choice(alive)
        same_service = [item for item in alive if item.service == endpoint.service]
        action = self.random.choice(("drain", "crash", "delay", "reset", "silent", "one_way"))
        self.faults.append(f"{action} {endpoint.name}")
        if action in ("drain", "crash"):
            self.add_endpoint(endpoint.service)
            if len(same_service) < 2 or (action == "drain" and not self.drain(endpoint)):
                return
            endpoint.sends_heartbeats = False
            if action == "crash":
                endpoint.stop()
            return
        endpoint.proxy.mode = action
        threading.Timer(self.random.uniform(0.3, 2.0), self.restore_proxy, [endpoint]).start()

    @staticmethod
    def restore_proxy(endpoint):
        endpoint.proxy.mode = "pass"

    def drain(self, endpoint):
        endpoint.state = "draining"
        try:
            if endpoint.send_heartbeat()[0] != 200:
                return False
        except AssertionError:
            return False
        all_nodes_up = not self.down_nodes  # otherwise the bound does not hold

        def check():
            time.sleep(DRAIN_SECONDS)
            received_before = len(endpoint.received)
            time.sleep(2)
            if all_nodes_up and not self.down_nodes and len(endpoint.received) > received_before:
                self.report_problem(f"{endpoint.name} got "
                                    f"{len(endpoint.received) - received_before} requests "
                                    f"after it had drained")

        threading.Thread(target=check, daemon=True).start()
        return True

    def change_control_state(self):
        if self.random.random() < 0.3:
            action, other = self.random.sample(("POST", "DELETE"), 2)
            if self.random.random() < 0.5:
                self.send_and_give_up(self.random.choice(self.fleet.replicas), other)
            self.out_of_service = None  # without a definite response either may be in force
            try:
                if self.fleet.control(action, OUTAGE_PATH, limit=2)[0] == 200:
                    self.out_of_service = action == "POST"
            except AssertionError:
                pass
            return
        self.version += self.random.randrange(1, 4)
        version = self.version
        try:
            status, _, body = self.fleet.control("PUT", "/v1/configuration",
                                                 self.fleet.configuration(version), limit=3)
        except AssertionError:
            return
        if status != 200:
            self.report_problem(f"configuration {version} was refused: {body}")
        self.acknowledged = max(self.acknowledged, version)

    def send_and_give_up(self, node, method):
        """A paused replica reads the order when it goes on."""
        self.faults.append(f"give up {method} at {node.name}")
        try:
            with socket.create_connection(node.address("control"), timeout=0.5) as connection:
                connection.sendall(f"{method} {OUTAGE_PATH} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                time.sleep(0.05)
        except OSError:
            pass  # the replica is down

    def read_configurations(self):
        """Reads the configuration at one replica after another until the run ends."""
        while not self.stopping.is_set():
            node = self.fleet.replicas[int(time.monotonic() * 10) % 5]
            min_version = self.acknowledged
            connection = http.client.HTTPConnection(*node.address("control"), timeout=1)
            try:
                connection.request("GET", "/v1/configuration")
                response = connection.getresponse()
                body = response.read()
                if response.status == 200 and json.loads(body)["version"] < min_version:
                    self.report_problem(f"{node.name} read version {json.loads(body)['version']}, "
                                        f"{min_version} was acknowledged before")
            except (OSError, http.client.HTTPException):
                pass
            finally:
                connection.close()
            time.sleep(0.05)

    # ---- run ----------------------------------------------------------------------

    def run(self):
        self.fleet.start()
        for service in ("plain", "plain", "plain", "engines", "engines", "engines"):
            self.add_endpoint(service)
        self.fleet.install(7)
        self.fleet.wait_for_endpoints()
        threads = [threading.Thread(target=self.send_requests, args=(i,), daemon=True)
                   for i in range(8)]
        threads.append(threading.Thread(target=self.read_configurations, daemon=True))
        for thread in threads:
            thread.start()
        end = time.monotonic() + self.seconds
        faults = (self.inject_replica_fault, self.inject_router_fault, self.inject_endpoint_fault,
                  self.inject_endpoint_fault,
                  self.change_control_state, self.change_control_state)
        while time.monotonic() < end:
            self.random.choice(faults)()
            time.sleep(self.random.uniform(0.1, 0.8))
        wait_for(lambda: not self.down_nodes, 25, "all nodes are back")
        self.recover()
        self.stopping.set()
        for thread in threads:
            thread.join(timeout=10)
        self.check_runs()

    def recover(self):
        for endpoint in self.fleet.endpoints:
            if endpoint.proxy:
                endpoint.proxy.mode = "pass"
        try:
            wait_for(lambda: self.fleet.voters() == 5, SETTLE_SECONDS, "five voters")
            wait_for(lambda: all(router.ready() for router in self.fleet.routers),
                     SETTLE_SECONDS, "all routers are ready")
            if self.out_of_service is not None:
                wait_for(lambda: all(("dc3" in router.status()["data_centres_out"])
                                     == self.out_of_service for router in self.fleet.routers),
                         SETTLE_SECONDS, "the last order for a data centre is in force")
            before = self.served
            wait_for(lambda: self.served > before + 50, SETTLE_SECONDS, "requests are served")
            status, _, body = self.fleet.control("GET", "/v1/configuration")
            version = json.loads(body)["version"]
            if status != 200 or not self.acknowledged <= version <= self.version:
                self.report_problem(f"read back {version}; acknowledged {self.acknowledged}")
        except AssertionError as problem:
            self.report_problem(f"not recovered: {problem}")

    def check_runs(self):
        """Checks that orders with status 503 were not executed, neither before nor after it."""
        runs = {}
        for endpoint in self.fleet.endpoints:
            for (request, headers, _) in list(endpoint.received):
                if headers.get("X-Target-Instance") == endpoint.name:
                    runs.setdefault(request, []).append(endpoint.name)
        for request in self.rejected_orders:
            if request in runs:
                self.report_problem(f"{request}: status 503, but executed at {runs[request]}")


class OrderRunCounter:
    """Counts the executions of orders at all endpoints and reports an order executed twice."""

    def __init__(self, soak):
        self.soak = soak
        self.runs = {}
        original = PlatformEndpoint.handle_request

        def handle_request(endpoint, handler, body):
            if handler.path.startswith("/order/") \
                    and handler.headers.get("X-Target-Instance") in (None, endpoint.name):
                request = handler.headers["X-Attempt-Id"]
                with soak.lock:
                    self.runs[request] = self.runs.get(request, 0) + 1
                    repeated = self.runs[request] > 1
                if repeated:
                    soak.report_problem(f"{request}: the order was executed twice")
            original(endpoint, handler, body)

        ProxiedEndpoint.handle_request = handle_request


def soak(build, seed, seconds):
    run = Soak(build, seed, seconds)
    OrderRunCounter(run)
    try:
        run.run()
    except BaseException as problem:  # pylint: disable=broad-except
        run.problems.append(f"the soak test itself failed: {problem!r}")
    failed = bool(run.problems)
    run.fleet.stop(keep=failed)
    print(f"seed {seed}: {'FAILED' if failed else 'passed'}, {run.served} served, "
          f"{len(run.rejected_orders)} orders rejected, faults {len(run.faults)}, "
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
