"""A simulation of the users' platform on loopback: operator, endpoints, and a direct fleet.

It uses the interfaces that docs/PLATFORM.md describes. Every node has an address of its
own (127.77.x.y) and the same ports, as on the platform's machines. A DirectFleet ends only
the processes that it started.
"""

import http.client
import http.server
import itertools
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

from fleet import Process, free_port, wait_for

KEY = "key-of-the-direct-fleet-in-tests"


def call(address, method, path, body=None, headers=None, timeout=10):
    """Sends one HTTP request to (host, port); returns status, headers and body."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        data = json.dumps(body).encode() if isinstance(body, (dict, list)) else body
        connection.request(method, path, body=data, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


class Node(Process):
    """A router or a control replica."""

    def __init__(self, fleet, name, host, data_centre, replica):
        self.fleet = fleet
        self.host = host
        self.data_centre = data_centre
        self.replica = replica
        self.held = False  # not to be started again for now
        self.data = os.path.join(fleet.folder, name + "-data") if replica else None
        self.settings = os.path.join(fleet.folder, name + ".yaml")
        super().__init__(name, [os.path.join(fleet.build, "bamboogapd"), "--settings",
                                self.settings], os.path.join(fleet.folder, name + ".log"))

    def address(self, port):
        return self.host, self.fleet.ports[port]

    def write_settings(self, first_start):
        ports = self.fleet.ports
        lines = ["node:", f"  name: {self.name}", f"  data_centre: {self.data_centre}",
                 f"  stop_within_ms: {self.fleet.stop_within_ms}"]
        if self.fleet.link_mbps:
            lines.append(f"  link_mbps: {self.fleet.link_mbps}")
        if self.fleet.memory_mb:
            lines.append(f"  memory_mb: {self.fleet.memory_mb}")
        if self.replica:
            lines.append(f"  data_folder: {self.data}")
        listen = ["control"] if self.replica else ["callers", "readiness"]
        lines.append("listen:")
        lines += [f"  {key}: {self.host}:{ports[key]}" for key in listen + ["peers", "operators"]]
        lines += ["fleet:", f"  key: {KEY}", "  forwarding: direct",
                  f"  first_start: {str(first_start).lower()}", "  endpoint_silence_ms: 3000",
                  "  seeds:"]
        lines += [f"    - {node.host}:{ports['control']}" for node in self.fleet.replicas[:3]]
        if self.fleet.rollouts:
            lines += ["  rollouts:", "    exposure_share: 0.1", "    exposure_slack: 50",
                      "    rollback_ms: 5000"]
        lines += ["control:", "  log_heartbeat_ms: 100", "  election_min_ms: 400",
                  "  election_max_ms: 800", "  snapshot_every: 20"]
        lines += self.fleet.extra_settings
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write("\n".join(lines) + "\n")

    def status(self):
        return json.loads(call(self.address("operators"), "GET", "/v1/operators/node",
                               timeout=2)[2])

    def ready(self):
        try:
            return call(self.address("readiness"), "GET", "/v1/readyz", timeout=2)[0] == 200
        except OSError:
            return False

    def wipe(self):
        # A test that starts killed processes again must not do so while the folder is removed.
        self.held = True
        try:
            self.kill()
            shutil.rmtree(self.data)
        finally:
            self.held = False


class ErrorIgnoringServer(http.server.ThreadingHTTPServer):
    """Ignores errors of closed connections, which the tests cause on purpose."""

    daemon_threads = True
    request_queue_size = 512  # connections that wait to be accepted

    def handle_error(self, request, client_address):
        pass


class PlatformEndpoint:
    """An endpoint whose responses a test can replace by setting `on_request`.

    on_request(handler, endpoint) returns True if it has responded to the request itself.
    """

    def __init__(self, fleet, name, service, data_centre="dc1", slots=4, born=0,
                 version="v1"):
        self.fleet = fleet
        self.name = name
        self.service = service
        self.data_centre = data_centre
        self.slots = slots
        self.sequence = 0
        self.born = born  # milliseconds since the epoch; 0: not told
        self.version = version  # of its software
        self.fail_every = 0  # each so many-th request gets status 500; 0: none
        self.delay = 0.0  # seconds before each response
        self.state = "ready"
        self.on_request = None
        self.runs = []  # ids of the requests that were executed
        self.received = []  # (id, headers, body)
        self.events = 5
        self.event_interval = 0.0
        self.sends_heartbeats = True
        self.crashed = False
        self.connections = set()  # that are open
        self.server = ErrorIgnoringServer(("127.0.0.1", free_port()), self.handler_class())
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.heartbeat_loop, daemon=True).start()

    def handler_class(self):
        endpoint = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *unused):
                pass

            def setup(self):
                super().setup()
                endpoint.connections.add(self.connection)

            def finish(self):
                endpoint.connections.discard(self.connection)
                try:
                    super().finish()
                except OSError:
                    pass  # the endpoint crashed

            def do_POST(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                endpoint.handle_request(self, body)

            do_GET = do_POST

        return Handler

    def handle_request(self, handler, body):
        request = handler.headers.get("X-Attempt-Id", "")
        self.received.append((request, dict(handler.headers), body))
        if handler.headers.get("X-Target-Instance") not in (None, self.name):
            self.respond(handler, 421, b"", {"X-Instance-Id": self.name}, signed=False)
            return
        if self.on_request and self.on_request(handler, self):
            return
        self.runs.append(request)
        time.sleep(self.delay)
        if self.fail_every and len(self.runs) % self.fail_every == 0:
            self.respond(handler, 500, b"failed")
        elif "/stream/" in handler.path:
            self.send_stream(handler)
        else:
            self.respond(handler, 200, b"whole answer of " + request.encode())

    def respond(self, handler, status, body, headers=None, signed=True):
        handler.send_response(status)
        handler.send_header("X-Attempt-Id", handler.headers.get("X-Attempt-Id", ""))
        if signed:
            handler.send_header("X-Server-Signature", "sig-" + self.name)
        for key, value in (headers or {}).items():
            handler.send_header(key, value)
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)

    def send_stream_head(self, handler):
        handler.send_response(200)
        handler.send_header("X-Attempt-Id", handler.headers.get("X-Attempt-Id", ""))
        handler.send_header("X-Server-Signature", "sig-" + self.name)
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()

    @staticmethod
    def send_chunk(handler, data):
        handler.wfile.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
        handler.wfile.flush()

    def send_stream(self, handler):
        first = int(handler.headers.get("Last-Event-Id", 0)) + 1
        self.send_stream_head(handler)
        for event_number in range(first, self.events + 1):
            self.send_chunk(handler, f"id: {event_number}\ndata: token {event_number}\n\n".encode())
            time.sleep(self.event_interval)
        self.send_chunk(handler, b"")

    @staticmethod
    def reset_connection(handler):
        """Closes the connection with a TCP reset."""
        handler.close_connection = True
        handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                      b"\x01\x00\x00\x00\x00\x00\x00\x00")
        handler.connection.close()

    def announced_port(self):
        return self.server.server_port

    def next_heartbeat(self):
        self.sequence += 1
        heartbeat = {"service": self.service, "address": f"127.0.0.1:{self.announced_port()}",
                     "zone": self.data_centre, "version": self.version, "batchSlots": self.slots,
                     "state": self.state, "warmupLeftMs": 0, "phase": "hybrid",
                     "models": [{"name": "m", "version": 1, "adapters": []}],
                     "seq": self.sequence}
        if self.born:
            heartbeat["born"] = self.born
        return heartbeat

    def send_heartbeat(self):
        """Sends a heartbeat to the first replica that acknowledges it."""
        return self.fleet.control("PUT", "/v1/instances/" + self.name, self.next_heartbeat())

    def heartbeat_loop(self):
        while self.sends_heartbeats:
            try:
                self.send_heartbeat()
            except AssertionError:
                pass  # no replica responds at the moment
            time.sleep(0.5)

    def drain(self):
        self.state = "draining"
        assert self.send_heartbeat()[0] == 200

    def stop(self):
        self.sends_heartbeats = False
        self.server.shutdown()
        self.server.server_close()

    def crash(self):
        """Ends all connections and does not come back."""
        self.crashed = True
        self.sends_heartbeats = False
        # Without it the port accepts connections until the server thread has noticed.
        self.server.socket.shutdown(socket.SHUT_RDWR)
        self.server.socket.close()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # closed already


class DirectFleet:
    """Control replicas and routers spread over three data centres."""

    def __init__(self, build, replicas=5, routers=2):
        self.build = build
        self.folder = tempfile.mkdtemp(prefix="bamboogap-direct-")
        self.ports = {name: free_port()
                      for name in ("callers", "readiness", "control", "peers", "operators")}
        net = 1 + os.getpid() % 250
        self.replicas = [Node(self, f"replica-{i}", f"127.77.{net}.{i + 1}", f"dc{i % 3 + 1}", True)
                         for i in range(replicas)]
        self.routers = [Node(self, f"router-{i}", f"127.77.{net}.{i + 101}", f"dc{i % 3 + 1}",
                             False) for i in range(routers)]
        self.endpoints = []
        self.request_numbers = itertools.count(1)
        self.extra_settings = []  # lines of YAML for every node
        self.stop_within_ms = 8000  # until the platform would kill a node that stops
        self.link_mbps = None  # link capacity in the settings of every node
        self.memory_mb = None  # memory in the settings of every node
        self.rollouts = False  # whether the settings of every node have rollouts

    def add_routers(self, count):
        net = self.routers[0].host.rsplit(".", 1)[0]
        for _ in range(count):
            i = len(self.routers)
            node = Node(self, f"router-{i}", f"{net}.{i + 101}", f"dc{i % 3 + 1}", False)
            node.write_settings(first_start=True)
            node.start()
            self.routers.append(node)

    def start(self):
        for node in self.replicas + self.routers:
            node.write_settings(first_start=True)
            node.start()
        wait_for(lambda: self.voters() == len(self.replicas), 30, "every replica is a voter")

    def leader_status(self):
        for node in self.replicas:
            if not node.alive():
                continue
            try:
                status = node.status()["replica"]
            except OSError:
                continue
            if any(item["leads"] and item["name"] == node.name for item in status["replicas"]):
                return status
        raise KeyError("no leader")

    def voters(self):
        """Returns how many of the replicas that work vote; 0 while the membership changes."""
        status = self.leader_status()
        if not status["replicas_settled"]:
            return 0
        replicas = [node.status()["replica"] for node in self.replicas if node.alive()]
        working = {replica["id"] for replica in replicas if not replica["replica_failed"]}
        return sum(item["voter"] and item["id"] in working for item in status["replicas"])

    def control(self, method, path, body=None, limit=10):
        """Sends a control request to one replica after another until the status is below 500."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            for node in self.replicas:
                if not node.alive():
                    continue
                try:
                    response = call(node.address("control"), method, path, body, timeout=1)
                except (OSError, http.client.HTTPException):
                    continue
                if response[0] < 500:
                    return response
            time.sleep(0.05)
        raise AssertionError(f"no replica responded to {method} {path} within {limit} s")

    def ctl(self, node, *arguments):
        host, port = node.address("operators")
        completed = subprocess.run([os.path.join(self.build, "bamboogapctl"), "--at",
                                    f"{host}:{port}",
                                    *arguments], capture_output=True, text=True, timeout=20,
                                   check=False)
        assert completed.returncode == 0, completed.stderr
        return completed.stdout

    def add_endpoint(self, name, service, **options):
        endpoint = PlatformEndpoint(self, name, service, **options)
        self.endpoints.append(endpoint)
        return endpoint

    def configuration(self, version, **changes):
        route = {"hostname": "a.example", "latencyGoalMs": 500, "priority": 1,
                 "anonymous": False, "sticky": False, "resumable": False}
        document = {
            "version": version,
            "routes": [
                {**route, "name": "read", "pathPrefix": "/read/", "routeKind": "idempotent",
                 "timeoutMs": 5000, "service": "plain", "maxAttempts": 2},
                {**route, "name": "order", "pathPrefix": "/order/", "maxAttempts": 1,
                 "routeKind": "non_idempotent", "timeoutMs": 3000, "service": "plain"},
                {**route, "name": "stream", "pathPrefix": "/stream/", "routeKind": "streaming",
                 "timeoutMs": 10000, "service": "engines", "maxAttempts": 2, "itlGoalMs": 500,
                 "resumable": True},
                {**route, "name": "once", "pathPrefix": "/stream/once/", "maxAttempts": 1,
                 "routeKind": "streaming", "timeoutMs": 10000, "service": "engines",
                 "itlGoalMs": 500}],
            "services": [{"name": "plain", "healthPath": "/healthz", "maxConns": 100,
                          "warmupS": 0, "warmupPerS": 0},
                         {"name": "engines", "healthPath": "/healthz", "maxConns": 100,
                          "warmupS": 0, "warmupPerS": 0,
                          "engine": {"batchSlots": 8, "kvCapacity": 100000}}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "ws", "apiKeys": ["key-1"], "priority": 1}]}
        document.update(changes)
        return document

    def install(self, version, **changes):
        status, _, body = self.control("PUT", "/v1/configuration",
                                       self.configuration(version, **changes))
        assert status == 200, body
        wait_for(lambda: all(router.status()["routes_version"] >= version
                             for router in self.routers if router.alive()), 5,
                 f"version {version} is in force")

    def wait_for_endpoints(self):
        names = {endpoint.name for endpoint in self.endpoints if endpoint.sends_heartbeats}
        wait_for(lambda: all(
            names <= {item["id"] for item in router.status()["endpoints"] if item["usable"]}
            for router in self.routers if router.alive()), 10, "all endpoints are known")

    def send_request(self, path, method="GET", body=None, router=0, key="key-1", timeout=10,
                     **headers):
        """Sends a client's request; returns status, headers with the request's 'id', and body."""
        request = f"attempt-{next(self.request_numbers)}"
        request_headers = {"Host": "a.example", "X-Attempt-Id": request, "X-Deadline-Ms": "8000"}
        if key:
            request_headers["Authorization"] = "Token " + key
        request_headers.update({name.replace("_", "-"): value for name, value in headers.items()})
        response = call(self.routers[router].address("callers"), method, path, body,
                        request_headers, timeout)
        return response[0], {**response[1], "id": request}, response[2]

    def stop(self, keep=False):
        for endpoint in self.endpoints:
            endpoint.stop()
        for node in self.replicas + self.routers:
            node.send(signal.SIGCONT)
            node.kill()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(cases, extra_settings=()):
    """Runs the case named on the command line on a new fleet; keeps the logs if it fails."""
    build, name = sys.argv[1:3]
    fleet = DirectFleet(build)
    fleet.extra_settings = list(extra_settings)
    fleet.link_mbps = getattr(cases[name], "link_mbps", None)
    fleet.memory_mb = getattr(cases[name], "memory_mb", None)
    fleet.rollouts = getattr(cases[name], "rollouts", False)
    fleet.stop_within_ms = getattr(cases[name], "stop_within_ms", 8000)
    try:
        fleet.start()
        cases[name](fleet)
    except BaseException:
        fleet.stop(keep=True)
        print(f"logs are kept in {fleet.folder}", file=sys.stderr)
        raise
    fleet.stop()
    print(f"{name}: passed")
