"""A small deployment on loopback for the cases of the second review (review/6 and later).

Nodes run the command of deploy/system.toml with settings rendered from deploy/settings.yaml.
Runners, clients, runners' heartbeats and the operator are asyncio stand-ins in this process
that follow PROTOCOL.md. Only the Python standard library is used. A Fleet ends only the
processes that it started.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
KEY = "n2ctnfzs989anu6wsjnb"
HOST = "ficu95.example"
# Of sites/poklop-brno.toml.
BOUNDS = {"seedLagS": 3, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
          "graceS": 8, "configApplyMs": 2000, "retryRatio": 0.2, "retryWindowS": 10,
          "retrySlack": 52, "evacuateMs": 5000, "recoverS": 12}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
             "places"]


def value_of(scope, path):
    for item in scope:
        found = item
        for part in path.split("."):
            if isinstance(found, dict) and part in found:
                found = found[part]
            elif isinstance(found, list) and part.isdigit() and int(part) < len(found):
                found = found[int(part)]
            else:
                found = None
                break
        if found is not None:
            return found
    return None


def text_of(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, list):
        return ",".join(text_of(item) for item in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def render(template, scope):
    """The part of the platform's template language that deploy/settings.yaml uses."""
    section = re.compile(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", re.S)

    def expand(match):
        value = value_of(scope, match.group(1))
        if value in (None, False):
            return ""
        items = value if isinstance(value, list) else [value]
        return "".join(render(match.group(2), [{".": item}] + scope) for item in items)

    text = section.sub(expand, template)

    def one(match):
        name = match.group(1)
        if name == ".":
            return text_of(scope[0]["."])
        return text_of(value_of(scope, name))

    return re.sub(r"\{\{([\w.]+)\}\}", one, text)


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Record:
    """record.txt of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()

    def note(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.note(text)
        print(text, flush=True)


class Node:
    def __init__(self, fleet, name, ip, zone, is_core):
        self.fleet, self.name, self.ip, self.zone, self.is_core = fleet, name, ip, zone, is_core
        self.process = None
        self.settings_file = os.path.join(fleet.folder, name + ".yaml")
        self.log = os.path.join(fleet.folder, name + ".log")
        self.data = os.path.join(fleet.folder, name + "-data") if is_core else None

    def write_settings(self, bootstrap):
        ports = self.fleet.ports
        listen = {"control": f"{self.ip}:{ports['control']}"} if self.is_core else {
            "frontend": f"{self.ip}:{ports['frontend']}", "ready": f"{self.ip}:{ports['ready']}"}
        fields = {"nodeName": self.name, "zone": self.zone, "region": "jm", "ip": self.ip,
                  "dataDir": self.data, "bounds": BOUNDS, "listen": listen,
                  "internalPorts": [ports["peers"], ports["peers"] + 15],
                  "bootstrap": bootstrap, "contracts": CONTRACTS,
                  "limits": {"linkMbps": 6 if self.is_core else 1000.0,
                             "memoryMb": 256 if self.is_core else 260},
                  "seeds": [f"{core.ip}:{ports['control']}" for core in self.fleet.cores[:3]]}
        with open(os.path.join(ROOT, "deploy", "settings.yaml"), encoding="utf-8") as template:
            text = render(template.read(), [fields])
        with open(self.settings_file, "w", encoding="utf-8") as out:
            out.write(text)

    def start(self, bootstrap=False):
        self.write_settings(bootstrap)
        if self.data:
            os.makedirs(self.data, exist_ok=True)
        log = open(self.log, "ab")
        self.process = subprocess.Popen(
            ["target/bamboogapd"], cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
            env={"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/"),
                 "BAMBOOGAP_SETTINGS": self.settings_file})
        log.close()

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        if self.alive():
            self.process.send_signal(number)

    def kill(self):
        if self.process is not None:
            if self.alive():
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()

    def memory_kb(self, field):
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as status:
            for line in status:
                if line.startswith(field + ":"):
                    return int(line.split()[1])
        return 0

    def cpu_seconds(self):
        with open(f"/proc/{self.process.pid}/stat", encoding="utf-8") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def read_head(reader):
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += data[:-2]


async def http(address, method, path, body=None, headers=None, limit=1.0):
    """One request on a connection of its own; returns status, headers and body."""
    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            data = json.dumps(body).encode() if isinstance(body, (dict, list)) else (body or b"")
            head = {"Host": "control", "Content-Type": "application/json",
                    "Content-Length": str(len(data)), **(headers or {})}
            raw_path = path if isinstance(path, bytes) else path.encode()
            writer.write(method.encode() + b" " + raw_path + b" HTTP/1.1\r\n"
                         + "".join(f"{k}: {v}\r\n" for k, v in head.items()).encode()
                         + b"\r\n" + data)
            first, answer = await read_head(reader)
            if answer.get("transfer-encoding") == "chunked":
                content = await read_chunks(reader)
            else:
                content = await reader.readexactly(int(answer.get("content-length", 0)))
            return int(first.split()[1]), answer, content
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), limit)


class Runner:
    """A sound runner. `serve` may be replaced by a case; it gets (runner, reader, writer,
    headers, path, body) and returns True if it has answered."""

    def __init__(self, fleet, name, service, zone, slots=64):
        self.fleet, self.name, self.service, self.zone, self.slots = fleet, name, service, zone, slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.work_s = 0.03
        self.serve = None
        self.arrived = []  # (monotonic time, X-Attempt-Id, headers)
        self.first_beat_after = 0.0  # its start
        self.cut_until = 0.0  # until then calls to core machines get no answer
        self.server = None
        self.address = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.on_connection, self.fleet.runner_ip, port,
                                                 backlog=512)
        self.address = self.server.sockets[0].getsockname()
        self.task = asyncio.create_task(self.beat_loop())

    async def stop(self):
        self.task.cancel()
        self.server.close()

    def heartbeat(self):
        self.sequence += 1
        return {"service": self.service, "address": f"{self.address[0]}:{self.address[1]}",
                "zone": self.zone, "version": "v1", "batchSlots": self.slots, "state": self.state,
                "warmupLeftMs": 0, "phase": "hybrid", "born": self.born,
                "models": [{"name": "m", "version": 1, "adapters": []}], "seq": self.sequence}

    async def beat_loop(self):
        await asyncio.sleep(self.first_beat_after)
        while True:
            body = self.heartbeat()
            for core in random.sample(self.fleet.cores, len(self.fleet.cores)):
                if time.monotonic() < self.cut_until:
                    await asyncio.sleep(1)  # a second without an answer
                    continue
                try:
                    status, _, _ = await http((core.ip, self.fleet.ports["control"]), "PUT",
                                              "/v1/instances/" + self.name, body)
                    if status < 300:
                        break
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    pass
            await asyncio.sleep(1.2)

    async def on_connection(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                _, path, _ = first.split(" ")
                if headers.get("transfer-encoding") == "chunked":
                    body = await read_chunks(reader)
                else:
                    body = await reader.readexactly(int(headers.get("content-length", 0)))
                if headers.get("x-target-instance", self.name) != self.name:
                    self.answer(writer, headers, 421, b"", {"X-Instance-Id": self.name,
                                                            "X-Not-Executed": "1"}, signed=False)
                    continue
                self.arrived.append((time.monotonic(), headers.get("x-attempt-id", ""), headers))
                if self.serve and await self.serve(self, reader, writer, headers, path, body):
                    continue
                await asyncio.sleep(self.work_s)
                self.answer(writer, headers, 200, b"answer of " + headers["x-attempt-id"].encode())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    def answer(self, writer, headers, status, body, more=None, signed=True):
        head = {"X-Attempt-Id": headers.get("x-attempt-id", ""),
                "Content-Length": str(len(body)), "Keep-Alive": "timeout=30", **(more or {})}
        if signed:
            head["X-Server-Signature"] = "sig." + self.name
        writer.write((f"HTTP/1.1 {status} X\r\n"
                      + "".join(f"{k}: {v}\r\n" for k, v in head.items()) + "\r\n").encode() + body)


class Fleet:
    def __init__(self, cores=5, edges=2):
        self.folder = tempfile.mkdtemp(prefix="bamboogap-review-")
        net = self.net = f"127.{random.randint(32, 223)}.{random.randint(1, 254)}"
        self.removed = []  # machines that are gone for good
        self.runner_ip = f"{net}.250"
        zones = ["jm-a", "jm-b", "jm-c"]
        self.ports = {name: free_port(f"{net}.1") for name in ("frontend", "ready", "control",
                                                               "peers")}
        self.cores = [Node(self, f"core-{i}", f"{net}.{10 + i}", zones[i % 3], True)
                      for i in range(cores)]
        self.edges = [Node(self, f"edge-{i}", f"{net}.{100 + i}", zones[i % 3], False)
                      for i in range(edges)]
        self.runners = []
        self.attempts = 0

    async def start(self, configuration, runners):
        for node in self.cores + self.edges:
            node.start(bootstrap=True)
        for name, service, slots in runners:
            runner = Runner(self, name, service, random.choice(["jm-a", "jm-b", "jm-c"]), slots)
            await runner.start()
            self.runners.append(runner)
        await self.order("PUT", "/v1/configuration", configuration, 20)
        end = time.monotonic() + 20
        for edge in self.edges:
            while not await self.ready(edge):
                if time.monotonic() > end:
                    raise RuntimeError(f"{edge.name} does not become ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(3)  # each runner's heartbeat has been heard, and told

    async def ready(self, edge):
        try:
            status, _, _ = await http((edge.ip, self.ports["ready"]), "GET", "/v1/readyz")
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def order(self, method, path, body=None, limit=10, first=None):
        """As the operator: to one control node after another until the answer is clear."""
        end = time.monotonic() + limit
        cores = ([first] if first else []) + random.sample(self.cores, len(self.cores))
        while time.monotonic() < end:
            for core in cores:
                try:
                    status, headers, content = await http((core.ip, self.ports["control"]),
                                                          method, path, body)
                    if status < 500:
                        return status, headers, content, core
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    pass
            await asyncio.sleep(0.1)
        raise RuntimeError(f"no clear answer to {method} {path}")

    def next_id(self):
        self.attempts += 1
        return f"{os.getpid():08x}{self.attempts:08x}"

    def request_bytes(self, attempt, path, body=b"", method="GET", deadline_ms=8000, more=None):
        head = {"Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": str(deadline_ms),
                "Authorization": "Token " + KEY, **(more or {})}
        if body or method == "POST":
            head["Content-Length"] = str(len(body))
        return (f"{method} {path} HTTP/1.1\r\n"
                + "".join(f"{k}: {v}\r\n" for k, v in head.items()) + "\r\n").encode() + body

    async def request(self, edge, path, body=b"", method="GET", deadline_ms=8000, more=None,
                      limit=10):
        """As a client, on a connection of its own; returns attempt, status, headers, body."""
        attempt = self.next_id()

        async def exchange():
            reader, writer = await asyncio.open_connection(edge.ip, self.ports["frontend"])
            try:
                writer.write(self.request_bytes(attempt, path, body, method, deadline_ms, more))
                first, headers = await read_head(reader)
                if headers.get("transfer-encoding") == "chunked":
                    content = await read_chunks(reader)
                else:
                    content = await reader.readexactly(int(headers.get("content-length", 0)))
                return attempt, int(first.split()[1]), headers, content
            finally:
                writer.close()
        return await asyncio.wait_for(exchange(), limit)

    async def stop(self):
        for runner in self.runners:
            await runner.stop()
        for node in self.cores + self.edges + self.removed:
            node.kill()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind, service, **changes):
    item = {"name": name, "hostname": HOST, "pathPrefix": prefix, "routeKind": kind,
            "timeoutMs": 10000, "latencyGoalMs": 400, "priority": 1, "service": service,
            "maxAttempts": 1, "anonymous": False, "sticky": False, "resumable": False}
    item.update(changes)
    return item


def configuration(version, routes, **changes):
    document = {
        "version": version, "routes": routes,
        "services": [{"name": "orders", "healthPath": "/healthz", "maxConns": 400,
                      "protocol": "h1", "tls": False, "warmupS": 0.0, "warmupPerS": 0.0}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1}]}
    document.update(changes)
    return document


def main(folder, case):
    """Runs `case(fleet_factory, record, trouble)`; its result is True if the rule held."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    fleets = []

    def make(**options):
        fleets.append(Fleet(**options))
        return fleets[-1]

    async def run():
        try:
            return await asyncio.wait_for(case(make, record, trouble), 105)
        finally:
            for fleet in fleets:
                await fleet.stop()

    def on_terminate(*_):
        raise KeyboardInterrupt  # asyncio ends the case, and the fleet with it

    signal.signal(signal.SIGTERM, on_terminate)
    try:
        held = asyncio.run(run())
    except (Exception, KeyboardInterrupt) as problem:  # the case could not run
        record.say(f"could not run: {problem!r}")
        sys.exit(2)
    record.say("the rule held" if held else "THE RULE WAS BROKEN")
    sys.exit(0 if held else 1)
