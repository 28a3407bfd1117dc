"""Starts a small fleet on loopback for the demonstration and the process tests.

A Fleet ends only the processes that it started. Every wait polls for a condition
up to a time limit, so that the tests do not depend on the speed of the machine.
"""

import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import threading

KEY = "fleet-key-for-tests-only"
PLAN_OPTIONS = ["--allow", "m1", "--service", "repairs", "--service", "bookings"]


def free_port():
    """Returns a port that was just free, below the range of ephemeral ports."""
    while True:
        free_port.next += 1
        port = free_port.next
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


free_port.next = 11000 + (os.getpid() * 97) % 18000


class Response:
    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)

    def error(self):
        """Returns the error type of a rejection, or None."""
        try:
            return self.json().get("error", {}).get("type")
        except (ValueError, AttributeError):
            return None

    def run_status(self):
        """Returns whether a request that failed was executed, or None if that is not stated."""
        try:
            return self.json().get("error", {}).get("ran")
        except (ValueError, AttributeError):
            return None


def call(port, method, path, body=None, headers=None, timeout=30):
    """Sends one HTTP request; raises OSError or http.client.HTTPException if it is cut off."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        data = json.dumps(body).encode() if isinstance(body, (dict, list)) else body
        connection.request(method, path, body=data, headers=headers or {})
        response = connection.getresponse()
        return Response(response.status, dict(response.getheaders()), response.read())
    finally:
        connection.close()


def wait_for(condition, limit, description):
    """Polls until the condition returns a true value within `limit` seconds, and returns it."""
    end = time.monotonic() + limit
    while True:
        try:
            value = condition()
        except (OSError, http.client.HTTPException, ValueError, KeyError):
            value = None
        if value:
            return value
        if time.monotonic() > end:
            raise AssertionError(f"timed out after {limit} s: {description}")
        time.sleep(0.02)


class Process:
    def __init__(self, name, arguments, log):
        self.name = name
        self.arguments = arguments
        self.log = log
        self.popen = None

    def start(self):
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen(self.arguments, stderr=log, stdout=log,
                                          stdin=subprocess.DEVNULL)

    def alive(self):
        return self.popen is not None and self.popen.poll() is None

    def send(self, signal_number):
        if self.alive():
            self.popen.send_signal(signal_number)

    def kill(self):
        self.send(signal.SIGKILL)
        if self.popen:
            self.popen.wait()

    def freeze(self):
        self.send(signal.SIGSTOP)

    def unfreeze(self):
        self.send(signal.SIGCONT)


class Router(Process):
    def __init__(self, fleet, name, data_centre, data_folder):
        self.data_centre = data_centre
        self.data_folder = data_folder
        self.callers = free_port()
        self.endpoints = free_port()
        self.operators = free_port()
        self.peers = free_port()
        self.settings = os.path.join(fleet.folder, name + ".yaml")
        super().__init__(name, [fleet.program("bamboogapd"), "--settings", self.settings],
                         os.path.join(fleet.folder, name + ".log"))

    def write_settings(self, replicas, extra):
        lines = ["node:", f"  name: {self.name}", f"  data_centre: {self.data_centre}",
                 "  stop_notice_ms: 300"]
        lines += [f"  {key}: {value}" for key, value in extra.get("node", {}).items()]
        if self.data_folder:
            lines.append(f"  data_folder: {self.data_folder}")
        lines += ["listen:"]
        for key in ("callers", "endpoints", "operators", "peers"):
            lines.append(f"  {key}: 127.0.0.1:{getattr(self, key)}")
        fleet = {"key": KEY, "control_replicas": "[" + ", ".join(replicas) + "]",
                 "heartbeat_ms": 200, "lease_ms": 1500, "endpoint_silence_ms": 2000,
                 "lost_load_ms": 2000}
        sections = {"fleet": fleet}
        for section, values in extra.items():
            if section == "node":
                continue  # a section that is written twice counts once
            sections.setdefault(section, {}).update(values)
        for section, values in sections.items():
            lines.append(f"{section}:")
            lines += [f"  {key}: {value}" for key, value in values.items()]
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write("\n".join(lines) + "\n")

    def ready(self):
        try:
            return call(self.operators, "GET", "/readyz", timeout=2).status == 200
        except (OSError, http.client.HTTPException):
            return False

    def node(self):
        return call(self.operators, "GET", "/v1/operators/node", timeout=2).json()

    def log_text(self):
        with open(self.log, encoding="utf-8", errors="replace") as log:
            return log.read()


class Endpoint(Process):
    def __init__(self, fleet, name, data_centre, options):
        self.data_centre = data_centre
        self.port = free_port()
        arguments = [fleet.program("fakeendpoint"), "--id", name, "--dc", data_centre,
                     "--listen", f"127.0.0.1:{self.port}"]
        for router in fleet.routers:
            arguments += ["--announce-to", f"127.0.0.1:{router.endpoints}"]
        for key, value in options.items():
            arguments += ["--" + key.replace("_", "-"), str(value)]
        super().__init__(name, arguments, os.path.join(fleet.folder, name + ".log"))

    def stats(self):
        return call(self.port, "GET", "/stats", timeout=5).json()


class Fleet:
    """Routers in data centres dc1..dc3; the first three are also control replicas."""

    def __init__(self, build, routers=3, extra=None):
        self.build = build
        self.folder = tempfile.mkdtemp(prefix="bamboogap-")
        self.extra = extra or {}
        self.endpoints = []
        self.routers = []
        for i in range(routers):
            name = f"router-{chr(ord('a') + i)}"
            folder = os.path.join(self.folder, name + "-data") if i < 3 else None
            self.routers.append(Router(self, name, f"dc{i % 3 + 1}", folder))
        self.replicas = [f"127.0.0.1:{router.peers}" for router in self.routers[:3]]
        for router in self.routers:
            router.write_settings(self.replicas, self.extra)

    def program(self, name):
        return os.path.join(self.build, name)

    def start(self):
        for router in self.routers:
            router.start()
        for router in self.routers:
            wait_for(lambda r=router: call(r.operators, "GET", "/healthz", timeout=2).status == 200,
                     15, f"{router.name} responds")
        wait_for(lambda: call(self.routers[0].operators, "POST",
                              "/v1/operators/bootstrap").status == 200, 15, "bootstrap")
        wait_for(lambda: self.voters() == 3, 20, "three voters")
        for router in self.routers:
            wait_for(router.ready, 20, f"{router.name} is ready")

    def voters(self):
        status = self.status()
        if not status["replicas_settled"]:
            return 0
        return sum(1 for replica in status["replicas"] if replica["voter"])

    def add_endpoint(self, name, data_centre, **options):
        endpoint = Endpoint(self, name, data_centre, options)
        self.endpoints.append(endpoint)
        endpoint.start()
        return endpoint

    def wait_for_endpoints(self, routers=None):
        """Waits until every router knows every endpoint and each endpoint has an owner."""
        names = {endpoint.name for endpoint in self.endpoints if endpoint.alive()}

        def all_known():
            owned = set()
            for router in routers or self.routers:
                listed = router.node()["endpoints"]
                if {item["id"] for item in listed} < names:
                    return False
                owned |= {item["id"] for item in listed if item["owned"]}
            return names <= owned

        wait_for(all_known, 20, "every router knows every endpoint, and each has an owner")

    def ctl(self, *ctl_arguments, router=None):
        operators_port = (router or self.routers[0]).operators
        return subprocess.run([self.program("bamboogapctl"), "--at", f"127.0.0.1:{operators_port}",
                               *ctl_arguments],
                              capture_output=True, text=True, timeout=60, check=False)

    def set_up_customers(self, *workspaces):
        self.ctl_checked("set-plan", "basic", *PLAN_OPTIONS)
        for workspace in workspaces:
            self.ctl_checked("set-customer", workspace, "--plan", "basic", "--wait")

    def ctl_checked(self, *ctl_arguments, router=None):
        completed = self.ctl(*ctl_arguments, router=router)
        assert completed.returncode == 0, \
            f"bamboogapctl {' '.join(ctl_arguments)}: {completed.stderr}"
        return completed.stdout

    def status(self):
        for router in self.routers:
            if not router.alive():
                continue
            try:
                response = call(router.operators, "GET", "/v1/operators/status", timeout=2)
            except (OSError, http.client.HTTPException):
                continue
            if response.status == 200:
                return response.json()
        raise KeyError("no router returned the status")

    def leader(self):
        status = self.status()
        name = next(replica["name"] for replica in status["replicas"] if replica["leads"])
        return next(router for router in self.routers if router.name == name)

    def stop(self, keep=False):
        for process in self.endpoints + self.routers:
            process.unfreeze()
            process.kill()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)


def chat(router, messages, workspace="ws", stream=False, timeout=30, **headers):
    """Sends a chat request; headers are written with underscores (X_Chat_Id="c1")."""
    body = {"model": "m1", "messages": messages, "stream": stream}
    sent = {"Content-Type": "application/json", "X-Workspace": workspace}
    sent.update({key.replace("_", "-"): value for key, value in headers.items()})
    return call(router.callers, "POST", "/v1/chat/completions", body, sent, timeout)


def post_order(router, number, service="repairs", workspace="ws", key=None, extra=None, timeout=30):
    """Sends a service call that must not be executed twice."""
    sent = {"Content-Type": "application/json", "X-Workspace": workspace}
    if key:
        sent["Idempotency-Key"] = key
    return call(router.callers, "POST", f"/services/{service}/orders",
                {"order": number, **(extra or {})}, sent, timeout)


def user(text):
    return {"role": "user", "content": text}


def stream_events(body):
    """Returns the events of a stream without the final one, and whether that was received."""
    lines = [line[6:] for line in body.decode().split("\n") if line.startswith("data: ")]
    complete = bool(lines) and lines[-1] == "[DONE]"
    return [json.loads(line) for line in lines if line != "[DONE]"], complete


class LoadGenerator:
    """Sends requests from several threads until it is stopped, and keeps (start, end, result)."""

    def __init__(self, send, threads=4):
        self.send = send
        self.results = []
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(i,), daemon=True)
                        for i in range(threads)]

    def run(self, number):
        iteration = 0
        while not self.stopping.is_set():
            started = time.monotonic()
            try:
                result = self.send(number, iteration)
            except (OSError, http.client.HTTPException) as problem:
                result = problem
            with self.lock:
                self.results.append((started, time.monotonic(), result))
            iteration += 1

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *unused):
        self.stopping.set()
        for thread in self.threads:
            thread.join(timeout=40)
