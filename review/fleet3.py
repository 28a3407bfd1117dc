"""Stand-ins for the third review: the platform, an operator, servers and clients on loopback.

Every machine has a loopback address of its own and the same ports, as on the platform. The programs
are started with the commands of deploy/system.toml and with settings that are made from the
template named there. Only processes that were started here are ended.
"""

import http.client
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

# Bounds of the small deployment sites/poklop-brno.toml, as SYSTEM.md states them.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
    "downgradeSlackMs": 250, "maxSkewMs": 5000, "strictRevoke": False, "revokeMs": 5000,
    "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 52, "warmupOverrun": 1.5,
    "warmupSlack": 5, "evacuateMs": 5000, "recoverS": 12, "iterationMs": 120,
    "reuseWindowS": 10, "capFactor": 2}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
             "places"]
EDGE_LIMITS = {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4200, "linkMbps": 1000.0,
               "diskMb": 0}
CORE_LIMITS = {"cpuShare": 0.12, "cores": 1, "memoryMb": 256, "maxFds": 4096, "linkMbps": 6,
               "diskMb": 128}
ZONES = ["jm-a", "jm-b", "jm-c"]
OPERATORS_PORT = 9464  # fixed in the template


class Record:
    """Writes record.txt and prints the same lines."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.began = time.monotonic()

    def __call__(self, text):
        with self.lock:
            line = f"{time.monotonic() - self.began:8.3f} {text}"
            self.file.write(line + "\n")
            self.file.flush()

    def show(self, text):
        self(text)
        print(text, flush=True)


def deployed_roles():
    """The roles of the deploy file: its texts and lists of texts, which is all that they hold here.
    (Python has a parser of its own for such files from 3.11 on only.)"""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        text = file.read()
    roles = []
    for name, lines in re.findall(r"^\[roles\.([^\]]+)\]\n((?:[^\[\n].*\n?|\n)*)", text, flags=re.M):
        role = {"name": name}
        for key, value in re.findall(r'^(\w+) *= *(".*"|\[.*\]) *$', lines, flags=re.M):
            role[key] = json.loads(value)
        roles.append(role)
    return roles


def render(text, fields, current=None):
    """The platform's templates, as DEPLOY.md states them, as far as settings.yaml uses them."""
    def look_up(name):
        if name == ".":
            return current
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                return None
        return value

    def plain(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(plain(item) for item in value)
        if isinstance(value, dict):
            return json.dumps(value)
        return str(value)

    def section(match):
        value = look_up(match.group(1))
        if value is None or value is False:
            return ""
        items = value if isinstance(value, list) else [value]
        return "".join(render(match.group(2), fields, item) for item in items)

    text = re.sub(r"\{\{#([^}]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, text, flags=re.S)
    return re.sub(r"\{\{([^}#/^]+)\}\}", lambda match: plain(look_up(match.group(1))), text)


def call(address, method, path, body=None, headers=None, timeout=1.0):
    """One HTTP request on a connection of its own: status, headers, body."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


class Machine:
    def __init__(self, fleet, name, machine_class, zone, ip):
        self.fleet = fleet
        self.name = name
        self.machine_class = machine_class
        self.zone = zone
        self.ip = ip
        self.process = None
        self.starts = 0
        self.disks = 1
        self.folder = os.path.join(fleet.folder, name)
        os.makedirs(self.folder)
        self.data = os.path.join(self.folder, "data")
        if machine_class == "core":
            os.makedirs(self.data)
        self.limits = CORE_LIMITS if machine_class == "core" else EDGE_LIMITS

    def address(self, port):
        return self.ip, self.fleet.ports[port]

    def start(self, bootstrap=False):
        core = self.machine_class == "core"
        listen = {"control": "%s:%d" % self.address("control")} if core else {
            "frontend": "%s:%d" % self.address("frontend"),
            "ready": "%s:%d" % self.address("ready")}
        role = self.fleet.roles["core" if core else "edge"]
        fields = {
            "nodeName": self.name, "role": role["name"], "machineClass": self.machine_class,
            "serves": role["serves"], "ip": self.ip, "zone": self.zone, "region": "jm",
            "zones": {zone: "jm" for zone in ZONES}, "listen": listen,
            "internalPorts": [self.fleet.ports["internal"], self.fleet.ports["internal"] + 15],
            "seeds": ["%s:%d" % node.address("control") for node in self.fleet.cores[:3]],
            "bootstrap": bootstrap, "faultCounted": core, "limits": self.limits,
            "dataDir": self.data if core else None, "discovery": "registration", "entry": "vip",
            "heartbeatMs": 1200, "contracts": CONTRACTS,
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0}, "bounds": BOUNDS,
            "configMode": "highest"}
        settings = os.path.join(self.folder, "settings.yaml")
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as template:
            text = render(template.read(), fields)
        # The platform's machines report their own memory (DEPLOY.md: sysinfo, /proc/meminfo). This
        # one reports more, so the setting of the same meaning says it.
        text = text.replace("\nlisten:", f"\n  memory_mb: {self.limits['memoryMb']}\nlisten:", 1)
        with open(settings, "w", encoding="utf-8") as out:
            out.write(text)
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["BAMBOOGAP_SETTINGS"] = settings
        self.starts += 1
        log = open(os.path.join(self.folder, f"log-{self.starts}"), "wb")
        self.process = subprocess.Popen(role["run"].split(), cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=log,
                                        stderr=subprocess.STDOUT)
        log.close()

    def lose_disk(self):
        """The machine has an empty disk from its next start on."""
        self.disks += 1
        self.data = os.path.join(self.folder, f"data-{self.disks}")
        os.makedirs(self.data)

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.alive():
            self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def memory_mb(self, field="VmRSS"):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as status:
                for line in status:
                    if line.startswith(field + ":"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def ready(self):
        try:
            return call(self.address("ready"), "GET", "/v1/readyz", timeout=1.0)[0] == 200
        except OSError:
            return False

    def status(self):
        return json.loads(call((self.ip, OPERATORS_PORT), "GET", "/v1/operators/node",
                               timeout=2.0)[2])


def bindable(ip, port):
    probe = socket.socket()
    try:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((ip, port))
        return True
    except OSError:
        return False
    finally:
        probe.close()


class Fleet:
    def __init__(self, record, routers, replicas):
        self.record = record
        self.scratch = tempfile.TemporaryDirectory(prefix="review3-")
        self.folder = self.scratch.name
        self.roles = {role["on"]: role for role in deployed_roles()}
        self.stopped = threading.Event()
        self.start_lock = threading.Lock()
        net = None
        for _ in range(200):
            net = f"127.{random.randrange(60, 250)}.{random.randrange(1, 250)}"
            base = random.randrange(20000, 30000, 20)
            self.ports = {"frontend": base, "ready": base + 1, "control": base + 2,
                          "internal": base + 3}
            if all(bindable(f"{net}.{host}", port) for host in range(1, routers + replicas + 1)
                   for port in (*self.ports.values(), OPERATORS_PORT)):
                break
        else:
            raise RuntimeError("no free addresses")
        self.net = net
        self.next_host = 100
        self.cores = [Machine(self, f"core-{i + 1}", "core", ZONES[i % 3], f"{net}.{i + 1}")
                      for i in range(replicas)]
        self.edges = [Machine(self, f"edge-{i + 1}", "edge", ZONES[i % 3],
                              f"{net}.{replicas + i + 1}") for i in range(routers)]
        self.version = 0
        self.servers = []

    def start(self):
        for machine in self.cores + self.edges:
            machine.start(bootstrap=True)

    def new_address(self):
        self.next_host += 1
        return f"{self.net}.{self.next_host}"

    # The operator: sends an order again to another node until it gets a clear answer.
    def order(self, method, path, body=None, limit=20.0):
        until = time.monotonic() + limit
        node = random.randrange(len(self.cores))
        while time.monotonic() < until:
            node = (node + 1) % len(self.cores)
            try:
                status, headers, answer = call(self.cores[node].address("control"), method, path,
                                               body, {"Content-Type": "application/json"})
            except OSError:
                status, headers, answer = 0, {}, b""
            self.record(f"{method} {path} to {self.cores[node].name}: {status or 'no answer'}")
            if status and status not in (408, 429) and status < 500:
                return status, answer
            time.sleep(0.1)
        return 0, b""

    def install(self, configuration):
        self.install_within(configuration, 20.0)

    def install_within(self, configuration, limit):
        self.version += 3
        body = json.dumps(dict(configuration, version=self.version)).encode()
        status, answer = self.order("PUT", "/v1/configuration", body, limit)
        self.record(f"configuration {self.version}: {status}")
        if status != 200:
            raise RuntimeError(f"configuration refused: {status} {answer[:200]}")

    def wait_ready(self, limit=15.0):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if all(edge.ready() for edge in self.edges):
                return
            time.sleep(0.1)
        raise RuntimeError("the routers did not become ready")

    def wait_usable(self, services, limit=15.0):
        """Until every router lists all servers of the services as usable."""
        expected = {server.id for server in self.servers if server.service in services}
        until = time.monotonic() + limit
        while time.monotonic() < until:
            try:
                if all(expected <= {item["id"] for item in edge.status().get("endpoints", [])
                                    if item["usable"]} for edge in self.edges):
                    return
            except (OSError, ValueError):
                pass
            time.sleep(0.2)
        raise RuntimeError("the routers do not know all servers")

    def keep_to_memory(self):
        """As the platform does: kills a process that uses more than memoryMb, and starts each
        process again that has ended. Ends are counted by machine in `ends`."""
        self.ends = {machine.name: [] for machine in self.cores + self.edges}

        def keep(machine):
            while not self.stopped.is_set():
                used = machine.memory_mb("VmHWM")
                if not machine.alive():
                    reason = f"ended by itself with {machine.process.returncode}"
                elif used > machine.limits["memoryMb"]:
                    reason = f"used {used:.0f} MB of {machine.limits['memoryMb']}"
                    machine.kill()
                else:
                    self.stopped.wait(0.02)
                    continue
                if self.stopped.is_set():
                    return
                self.ends[machine.name].append(reason)
                self.record.show(f"{machine.name}: {reason}, end {len(self.ends[machine.name])}")
                self.stopped.wait(0.3)
                with self.start_lock:
                    if not self.stopped.is_set():
                        machine.start()

        for machine in self.cores + self.edges:
            threading.Thread(target=keep, args=(machine,), daemon=True).start()

    def stop(self):
        self.stopped.set()
        with self.start_lock:
            pass  # no process is started after this
        for server in self.servers:
            server.close()
        for machine in self.cores + self.edges:
            machine.kill()
        self.scratch.cleanup()


class Server:
    """A server (runner): registers itself, and answers as a sound one unless `serve` does.

    serve(server, connection, request) returns None to answer as a sound server, True if it has
    answered and the connection may go on, False if the connection is to be closed.
    """

    def __init__(self, fleet, service, zone, slots=96, engine=False, work_ms=20.0, serve=None):
        self.fleet = fleet
        self.service = service
        self.zone = zone
        self.slots = slots
        self.engine = engine
        self.work_s = work_ms / 1000
        self.serve = serve
        self.id = "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.lock = threading.Lock()
        self.running = 0
        self.runs = []  # (attempt id, path, time)
        self.closed = threading.Event()
        self.listener = socket.create_server((fleet.new_address(), 0), backlog=512)
        self.address = self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()
        fleet.servers.append(self)

    def close(self):
        self.closed.set()
        try:
            self.listener.close()
        except OSError:
            pass

    def beat(self):
        node = random.randrange(len(self.fleet.cores))
        while not self.closed.is_set():
            self.sequence += 1
            body = {"service": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
                    "version": "v1", "batchSlots": self.slots, "state": self.state,
                    "warmupLeftMs": 0, "seq": self.sequence, "born": self.born}
            if self.engine:
                body.update(phase="hybrid", models=[{"name": "m", "version": 1, "adapters": []}])
            for _ in range(len(self.fleet.cores)):
                try:
                    status = call(self.fleet.cores[node].address("control"), "PUT",
                                  f"/v1/instances/{self.id}", json.dumps(body),
                                  {"Content-Type": "application/json"})[0]
                    if 200 <= status < 300:
                        break
                except OSError:
                    pass
                node = (node + 1) % len(self.fleet.cores)
            self.closed.wait(1.2 if self.fleet.version else 0.4)

    def accept(self):
        while not self.closed.is_set():
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.connection, args=(connection,), daemon=True).start()

    def connection(self, connection):
        try:
            reader = connection.makefile("rb")
            while not self.closed.is_set():
                request = read_request(reader)
                if request is None or not self.answer(connection, request):
                    break
        except OSError:
            pass
        finally:
            try:
                connection.close()
            except OSError:
                pass

    def head(self, request, status=200, extra=()):
        lines = [f"HTTP/1.1 {status} Status", f"X-Attempt-Id: {request.id}",
                 f"X-Server-Signature: {self.id}.{request.id}",
                 f"X-Server-Load: {self.running},0,{self.slots}", *extra]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def answer(self, connection, request):
        if request.path == "/healthz":
            connection.sendall(self.head(request, 200, [f"X-Instance-Id: {self.id}",
                                                        "Content-Length: 0"]))
            return True
        if request.headers.get("x-target-instance", self.id) != self.id:
            connection.sendall((f"HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: {request.id}\r\n"
                                f"X-Not-Executed: 1\r\nX-Instance-Id: {self.id}\r\n"
                                "Content-Length: 0\r\n\r\n").encode())
            return True
        with self.lock:
            self.runs.append((request.id, request.path, time.monotonic()))
            self.running += 1
        self.fleet.record(f"{self.id} of {self.service} runs {request.id}")
        try:
            if self.serve:
                served = self.serve(self, connection, request)
                if served is not None:
                    return served
            time.sleep(self.work_s)
            if self.engine:
                return self.stream(connection, request)
            body = request.id.encode().ljust(800, b".")
            connection.sendall(self.head(request, 200, [f"Content-Length: {len(body)}"]) + body)
            return True
        finally:
            with self.lock:
                self.running -= 1

    def stream(self, connection, request, events=5, gap_s=0.04):
        connection.sendall(self.head(request, 200, ["Content-Type: text/event-stream",
                                                    "Transfer-Encoding: chunked"]))
        for number in range(1, events + 1):
            event = f"id: {number}\ndata: {request.id} {number}\n\n".encode()
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(gap_s)
        connection.sendall(b"0\r\n\r\n")
        return True


class Request:
    def __init__(self, method, path, headers, body):
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.id = headers.get("x-attempt-id", "")


def read_request(reader):
    line = reader.readline()
    if not line:
        return None
    method, path, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while True:
        line = reader.readline()
        if line in (b"\r\n", b"\n", b""):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = reader.read(int(headers.get("content-length", 0)))
    return Request(method, path, headers, body)


HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"


def small_configuration(resumable=False):
    """Like a small deployment's: two services, a streaming and two plain kinds of requests."""
    return {
        "routes": [
            {"name": "r-note", "hostname": HOST, "pathPrefix": "/note/", "routeKind": "streaming",
             "timeoutMs": 10000, "latencyGoalMs": 400, "priority": 0, "service": "model-pool",
             "maxAttempts": 2, "anonymous": False, "sticky": True, "resumable": resumable,
             "itlGoalMs": 400},
            {"name": "r-order", "hostname": HOST, "pathPrefix": "/order/",
             "routeKind": "non_idempotent", "timeoutMs": 1000, "latencyGoalMs": 150,
             "priority": 2, "service": "orders-app", "maxAttempts": 1, "anonymous": False,
             "sticky": False, "resumable": False},
            {"name": "r-read", "hostname": HOST, "pathPrefix": "/read/",
             "routeKind": "idempotent", "timeoutMs": 1000, "latencyGoalMs": 150,
             "priority": 2, "service": "orders-app", "maxAttempts": 2, "anonymous": False,
             "sticky": False, "resumable": False}],
        "services": [
            {"name": "model-pool", "healthPath": "/healthz", "maxConns": 480, "protocol": "h1",
             "tls": False, "warmupS": 3.0, "warmupPerS": 12.0,
             "engine": {"batchSlots": 96, "kvCapacity": 671117, "kvBytes": 35136,
                        "linkMbps": 1100000.0, "migrations": True, "backups": True, "stride": 7,
                        "most": 2, "pinMs": 4000.0, "holdMs": 2000.0, "handleTtlS": 5.0,
                        "models": [{"name": "m"}]}},
            {"name": "orders-app", "healthPath": "/healthz", "maxConns": 96, "protocol": "h1",
             "tls": False, "warmupS": 0.0, "warmupPerS": 0.0}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1}]}


def attempt_id():
    return "%016x" % random.getrandbits(64)


def client_headers(request, deadline_ms, engine=False, prompt=None):
    headers = {"Host": HOST, "X-Attempt-Id": request, "X-Deadline-Ms": str(deadline_ms),
               "Authorization": f"Token {KEY}"}
    if engine:
        # One of some shared parts, and a part of the request's own.
        headers.update({"X-Model": "m", "X-Token-Usage": "829,294",
                        "X-Prefix-Hash": prompt or "%08x:699,%08x:130"
                        % (0x5c1e07a2 + random.randrange(40), random.getrandbits(32))})
    return headers


def run_case(folder, body, routers=2, replicas=3):
    """Runs body(fleet, record) and exits with its result; 2 if the case could not run."""
    def terminate(*_):
        raise SystemExit(NOT_RUN)  # the processes are ended on the way out

    signal.signal(signal.SIGTERM, terminate)
    signal.signal(signal.SIGINT, terminate)
    record = Record(folder)
    record.show(f"TROUBLE={'1' if TROUBLE else '0'}")
    fleet = None
    result = NOT_RUN
    try:
        fleet = Fleet(record, routers, replicas)
        fleet.start()
        result = body(fleet, record)
    except Exception as problem:  # the case could not run
        record.show(f"could not run: {type(problem).__name__}: {problem}")
        result = NOT_RUN
    finally:
        if fleet:
            fleet.stop()
    record.show({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN",
                 NOT_RUN: "the case could not run"}[result])
    sys.stdout.flush()
    os._exit(result)
