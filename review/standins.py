"""Stand-ins for the platform, its operator, runners and clients, for the scripts under review/.

Nodes are the project's own programs, started with the commands, the settings template and the
classes of deploy/system.toml. Each node has a loopback address of its own and all have the same
ports, as on the platform's machines. The values of the settings are those of the site
poklop-brno.
"""

import asyncio
import json
import logging
import os
import random
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a script

BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
          "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
          "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 52}
LIMITS = {"edge": {"memoryMb": 260, "maxFds": 4200, "linkMbps": 1000.0},
          "core": {"memoryMb": 256, "maxFds": 4096, "linkMbps": 6.0}}
HEARTBEAT_SECONDS = 1.2
TENANT, KEY, HOST = "hule930", "n2ctnfzs989anu6wsjnb", "ficu95.example"
ORDER, READ, STREAM = "/lohu930/", "/cufi504/", "/pufi791/"


class CannotRun(Exception):
    """The case could not be set up."""


# The platform


def lookup(context, path):
    for part in path.split("."):
        if path == ".":
            return context
        if isinstance(context, list):
            context = context[int(part)] if int(part) < len(context) else None
        else:
            context = context.get(part) if isinstance(context, dict) else None
        if context is None:
            return None
    return context


def as_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return str(value).lower()
    return str(value)


def render(template, fields):
    """Fills in the placeholders and sections that deploy/settings.yaml uses."""
    def section(match):
        value = lookup(fields, match.group(1))
        if value is None or value is False or value == []:
            return ""
        items = value if isinstance(value, list) else [value]
        return "".join(match.group(2).replace("{{.}}", as_text(item)) for item in items)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: as_text(lookup(fields, match.group(1))), text)


class Node:
    """A machine with one process of the project."""

    def __init__(self, fleet, kind, number, zone, ip):
        self.fleet, self.kind, self.zone, self.ip = fleet, kind, zone, ip
        self.name = f"{kind}-{zone}-{number}"
        self.role = next(role for role in fleet.roles.values() if role["on"] == kind)
        self.data = os.path.join(fleet.folder, self.name) if kind == "core" else None
        self.settings = os.path.join(fleet.folder, self.name + ".yaml")
        self.process = None
        self.bootstrap = True

    def address(self, port):
        return self.ip, self.fleet.ports[port]

    def fields(self):
        ports = self.fleet.ports
        names = ["control"] if self.kind == "core" else ["frontend", "ready"]
        return {"nodeName": self.name, "zone": self.zone, "ip": self.ip, "dataDir": self.data,
                "listen": {name: f"{self.ip}:{ports[name]}" for name in names},
                "internalPorts": [ports["internal"], ports["internal"] + 15],
                "seeds": [f"{node.ip}:{ports['control']}" for node in self.fleet.cores[:3]],
                "bootstrap": self.bootstrap, "limits": LIMITS[self.kind], "bounds": BOUNDS}

    def start(self):
        with open(os.path.join(ROOT, self.role["template"]), encoding="utf-8") as file:
            template = file.read()
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(render(template, self.fields()))
        self.bootstrap = False
        if self.data:
            os.makedirs(self.data, exist_ok=True)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["BAMBOOGAP_SETTINGS"] = self.settings
        descriptors = LIMITS[self.kind]["maxFds"]
        with open(os.path.join(self.fleet.folder, self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen(
                self.role["run"].split(), cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE,
                                                      (descriptors, descriptors)))

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()

    def wait(self):
        if self.process:
            self.process.wait()

    def alive(self):
        return self.process is not None and self.process.poll() is None

    async def keep_up(self):
        """Starts the process anew after it has ended, as the platform does."""
        while True:
            if not self.alive():
                self.fleet.record("ended", node=self.name, code=self.process.returncode)
                await asyncio.sleep(0.5)
                self.start()
                self.fleet.record("restarted", node=self.name)
            await asyncio.sleep(0.05)

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


class Fleet:
    """The machines of a small deployment in three zones, and the operator's calls to them."""

    def __init__(self, record, edges=2, cores=5):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        for role in self.roles.values():
            if not os.access(os.path.join(ROOT, role["run"].split()[0]), os.X_OK):
                raise CannotRun(f"{role['run']} is not built")
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="bamboogap-review-")
        rng = random.Random()
        net = f"127.{rng.randrange(64, 250)}.{rng.randrange(1, 250)}"
        self.ports = self.free_ports(f"{net}.1", rng)
        zones = ["jm-a", "jm-b", "jm-c"]
        self.cores = [Node(self, "core", i, zones[i % 3], f"{net}.{i + 1}") for i in range(cores)]
        self.edges = [Node(self, "edge", i, zones[i % 3], f"{net}.{i + 101}")
                      for i in range(edges)]
        self.runners = []
        self.attempts = 0

    @staticmethod
    def free_ports(ip, rng):
        while True:
            base = rng.randrange(21000, 30000, 40)
            names = {"frontend": base, "ready": base + 1, "control": base + 2,
                     "internal": base + 10}
            try:
                for port in list(names.values()) + [9464]:
                    with socket.socket() as probe:
                        probe.bind((ip, port))
                return names
            except OSError:
                continue

    async def start(self, configuration):
        for node in self.cores + self.edges:
            node.start()
        await self.put_configuration(configuration, limit=30)

    async def ready(self, limit=20):
        """Waits until every edge says that it is ready and serves each kind of request."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if all([await self.is_ready(edge) for edge in self.edges]):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the edges were not ready")

    async def is_ready(self, edge):
        try:
            return (await exchange(edge.address("ready"), "GET", "/v1/readyz", {}, limit=1)).status \
                == 200
        except (OSError, asyncio.TimeoutError, Broken):
            return False

    async def control(self, method, path, body=b"", limit=10.0, nodes=None):
        """Sends a call to one node after another until one answers below 500, as callers of the
        control plane do. Returns the answer and the node that gave it."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            for node in nodes or random.sample(self.cores, len(self.cores)):
                try:
                    answer = await exchange(node.address("control"), method, path,
                                            {"Content-Type": "application/json"}, body, limit=1)
                except (OSError, asyncio.TimeoutError, Broken):
                    continue
                if answer.status < 500:
                    return answer, node
            await asyncio.sleep(0.05)
        raise CannotRun(f"{method} {path} was not answered")

    async def put_configuration(self, configuration, limit=10.0):
        answer, node = await self.control("PUT", "/v1/configuration",
                                          json.dumps(configuration).encode(), limit)
        self.record("operator", call="PUT /v1/configuration", version=configuration["version"],
                    status=answer.status, by=node.name)
        if answer.status != 200:
            raise CannotRun(f"the configuration was refused: {answer.body!r}")

    def attempt_id(self):
        self.attempts += 1
        return f"{self.attempts:016x}"

    async def stop(self):
        for runner in self.runners:
            runner.close()
        for node in self.cores + self.edges:
            if node.alive():
                node.process.send_signal(signal.SIGCONT)
            node.kill()
        for node in self.cores + self.edges:
            node.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("logs are in", self.folder, file=sys.stderr)


def configuration(version, **changes):
    """A configuration of one engine service and one plain service, with the routes' values of
    poklop-brno."""
    route = {"hostname": HOST, "anonymous": False, "sticky": False, "resumable": False}
    document = {
        "version": version,
        "routes": [
            {**route, "name": "r-order", "pathPrefix": ORDER, "routeKind": "non_idempotent",
             "timeoutMs": 1000, "latencyGoalMs": 150, "priority": 2, "service": "orders",
             "maxAttempts": 1},
            {**route, "name": "r-read", "pathPrefix": READ, "routeKind": "idempotent",
             "timeoutMs": 1000, "latencyGoalMs": 150, "priority": 2, "service": "orders",
             "maxAttempts": 2},
            {**route, "name": "r-stream", "pathPrefix": STREAM, "routeKind": "streaming",
             "timeoutMs": 12000, "latencyGoalMs": 600, "priority": 1, "service": "models",
             "maxAttempts": 1, "sticky": True, "itlGoalMs": 400}],
        "services": [
            {"name": "models", "healthPath": "/healthz", "maxConns": 480, "protocol": "h1",
             "tls": False, "warmupS": 3.0, "warmupPerS": 19.0,
             "engine": {"batchSlots": 96, "kvCapacity": 671117, "kvBytes": 35136,
                        "linkMbps": 1100000.0, "migrations": True, "backups": True, "stride": 7,
                        "most": 2, "pinMs": 4000.0, "holdMs": 2000.0, "handleTtlS": 5.0,
                        "models": [{"name": "m"}]}},
            {"name": "orders", "healthPath": "/healthz", "maxConns": 96, "protocol": "h1",
             "tls": False, "warmupS": 0.0, "warmupPerS": 0.0}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}]}
    document.update(changes)
    return document


# HTTP


class Broken(Exception):
    """A connection ended, or sent something else than an answer, before the answer was whole."""


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


async def read_head(reader):
    """Returns the first line and the headers, or None if the connection ended before a byte."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise Broken(f"ended within a head: {error.partial[:80]!r}") from None
    except ConnectionError as error:
        raise Broken(str(error)) from None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readline()
                if size == 0:
                    return body
        return await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise Broken(f"ended within a body: {error}") from None


async def read_answer(reader):
    head = await read_head(reader)
    if head is None:
        raise Broken("closed without an answer")
    line, headers = head
    if not line.startswith("HTTP/1.1 "):
        raise Broken(f"no answer: {line[:80]!r}")
    return Answer(int(line.split()[1]), headers, await read_body(reader, headers))


def request_bytes(method, path, headers, body=b""):
    lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def exchange(address, method, path, headers, body=b"", limit=5.0):
    """One request on a connection of its own."""
    async def run():
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(request_bytes(method, path, {"Host": address[0], **headers}, body))
            return await read_answer(reader)
        finally:
            writer.close()
    async with asyncio.timeout(limit):
        return await run()


def client_headers(attempt, deadline_ms=1000, **more):
    return {"Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Token {KEY}", **more}


def engine_headers(prompt="5c1e07a2:800,91bd3f06:410"):
    return {"X-Model": "m", "X-Token-Usage": "1210,80", "X-Prefix-Hash": prompt}


class KeptConnection:
    """A client's connection for one request after another."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def send(self, data):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(*self.address)
        self.writer.write(data)

    async def ask(self, method, path, headers, body=b"", limit=2.0):
        async def run():
            await self.send(request_bytes(method, path, headers, body))
            return await read_answer(self.reader)
        try:
            async with asyncio.timeout(limit):
                answer = await run()
        except (OSError, asyncio.TimeoutError, Broken):
            self.close()
            raise
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


# Runners


class Runner:
    """A runner of a service. It announces itself and runs what it is sent."""

    def __init__(self, fleet, name, service, zone, slots=6, work=0.03):
        self.fleet, self.name, self.service, self.zone = fleet, name, service, zone
        self.slots, self.work = slots, work
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.answer = None  # replaces the answer to a request: answer(runner, request, writer)
        self.arrivals = []  # (time, attempt id, path, headers, body), without rejected ones
        self.server = self.beats = None
        self.beating = True
        self.writers = set()  # of the open connections
        fleet.runners.append(self)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20,
                                                 backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beats = asyncio.create_task(self.beat_on())

    def close(self):
        if self.beats:
            self.beats.cancel()
        if self.server:
            self.server.close()

    def exit(self):
        """Ends as a process does: its connections break."""
        self.close()
        for writer in self.writers:
            writer.transport.abort()

    def body_of_beat(self):
        self.sequence += 1
        return json.dumps({
            "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
            "version": "v1", "batchSlots": self.slots, "state": self.state, "warmupLeftMs": 0,
            "phase": "hybrid", "models": [{"name": "m", "version": 1, "adapters": []}],
            "seq": self.sequence, "born": self.born}).encode()

    async def beat(self):
        return await self.fleet.control("PUT", f"/v1/instances/{self.name}", self.body_of_beat())

    async def beat_on(self):
        while self.beating:
            try:
                await self.beat()
            except CannotRun:
                pass  # no replica answers at the moment
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                method, path, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                await self.handle(method, path, headers, body, writer)
                await writer.drain()
        except (Broken, ConnectionError):
            pass  # the router closed the connection
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, path, headers, body, writer):
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-target-instance", self.name) != self.name:
            writer.write(self.head(421, attempt, 0, f"X-Instance-Id: {self.name}\r\n"))
            return
        self.arrivals.append((time.monotonic(), attempt, path, headers, body))
        self.fleet.record("runs", runner=self.name, id=attempt, method=method, path=path,
                          bytes=len(body))
        if self.answer:
            await self.answer(self, (method, path, headers, body), writer)
            return
        await asyncio.sleep(self.work)
        if path.startswith(STREAM):
            await self.stream(attempt, writer)
            return
        content = f"done {attempt} by {self.name}".encode()
        writer.write(self.signed(attempt, len(content)))
        if method != "HEAD":
            writer.write(content)

    async def stream(self, attempt, writer, events=5, gap=0.02):
        writer.write(f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n"
                     f"X-Server-Signature: sig.{self.name}.{attempt}\r\n"
                     "Content-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n".encode())
        for number in range(1, events + 1):
            if writer.is_closing():
                return
            event = f"id: {number}\ndata: t{number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await asyncio.sleep(gap)
        writer.write(b"0\r\n\r\n")

    def signed(self, attempt, length, status=200):
        return self.head(status, attempt, length,
                         f"X-Server-Signature: sig.{self.name}.{attempt}\r\n")

    @staticmethod
    def head(status, attempt, length, more=""):
        return (f"HTTP/1.1 {status} Status\r\nX-Attempt-Id: {attempt}\r\n{more}"
                f"Content-Length: {length}\r\n\r\n").encode()


# A script


class Record:
    """Writes record.txt: one line for each thing that was sent, answered or run."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, what, **values):
        fields = " ".join(f"{key}={value}" for key, value in values.items())
        self.file.write(f"{time.monotonic() - self.began:9.3f} {what} {fields}\n")

    def close(self):
        self.file.close()


def run_case(folder, case, limit=115, **options):
    """Runs case(fleet, record), which returns HELD or BROKEN and a sentence, and ends the script
    with the exit code."""
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    sys.unraisablehook = lambda _: None  # connections that are left when the loop has ended

    async def run():
        record = Record(folder)
        fleet = None
        try:
            record("begins", trouble=int(TROUBLE))
            fleet = Fleet(record, **options)
            async with asyncio.timeout(limit):
                result, sentence = await case(fleet, record)
        except (CannotRun, asyncio.TimeoutError, OSError) as error:
            result, sentence = NOT_RUN, f"the case could not run: {error!r}"
        finally:
            if fleet:
                await fleet.stop()
        record("result", code=result, text=sentence)
        record.close()
        print(sentence)
        return result

    sys.exit(asyncio.run(run()))
