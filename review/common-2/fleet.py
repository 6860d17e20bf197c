"""Starts a small deployment on loopback for the scripts of review/6 to 10.

Control hosts and entry hosts are the project's programs, started with the
commands of deploy/system.toml. Replicas, clients and the operator are small
stand-ins that follow PROTOCOL.md.
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
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
ZONES = ["regina", "saskatoon", "winnipeg"]
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HOST = "ficu95.example"
START_LIMIT_S = 30


class CannotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Record:
    """Writes record.txt: a line for each thing sent, answered or run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (self.now(), text))
            self.file.flush()

    def close(self):
        self.file.close()


def read_commands():
    """Returns the command of each class of machines in the deploy file."""
    text = open(os.path.join(ROOT, "deploy", "system.toml")).read()
    commands = {}
    for block in text.split("[roles.")[1:]:
        run = re.search(r'^run = "([^"]*)"', block, re.M).group(1)
        on = re.search(r'^on = "([^"]*)"', block, re.M).group(1)
        commands[on] = run.split()
    return commands


class Fleet:
    """Processes of the system, each with a loopback address of its own."""

    def __init__(self, record, controls=5, entries=2, memory_mb=260,
                 extra=""):
        self.record = record
        self.work = tempfile.mkdtemp(prefix="chicorytack-review-")
        self.memory_mb = memory_mb
        self.extra = extra
        self.commands = read_commands()
        self.processes = {}
        self.controls = list(range(1, controls + 1))
        self.entries = list(range(31, 31 + entries))
        self.net = self.pick_net()
        self.control_port, self.entry_port = 24311, 24312
        self.ready_port, self.peer_port = 24313, 24320
        self.replica_port = 24400

    def pick_net(self):
        """Returns a /24 of the loopback range whose ports are free."""
        for _ in range(50):
            net = "127.%d.%d" % (random.randrange(20, 250),
                                 random.randrange(1, 250))
            try:
                for port in (24311, 24312, 24320):
                    probe = socket.socket()
                    probe.bind(("%s.1" % net, port))
                    probe.close()
                return net
            except OSError:
                continue
        raise CannotRun("no free ports")

    def ip(self, number):
        return "%s.%d" % (self.net, number)

    def zone(self, number):
        return ZONES[(number - 1) % len(ZONES)]

    def write_settings(self, number, machine_class, bootstrap):
        ip = self.ip(number)
        seeds = ",".join("%s:%d" % (self.ip(n), self.control_port)
                         for n in self.controls[:3])
        lines = [
            "nodeName=%s-%d" % (machine_class, number),
            "role=%s" % ("entry" if machine_class == "front" else "control"),
            "machineClass=%s" % machine_class,
            "ip=%s" % ip, "zone=%s" % self.zone(number), "region=prairie",
            "internalPorts=%d,%d" % (self.peer_port, self.peer_port + 15),
            "seeds=%s" % seeds,
            "bootstrap=%s" % ("true" if bootstrap else "false"),
            "lossCounts=%s" % ("true" if machine_class == "core" else "false"),
            "limits.cpuShare=0.25", "limits.cores=1",
            "limits.memoryMb=%d" % self.memory_mb, "limits.maxFds=4100",
            "discovery=registry", "entry=vip", "heartbeatMs=1200",
            "faultTolerance.machines=2", "faultTolerance.zones=1",
            "bounds.seedLagS=3", "bounds.reuseAfterS=2",
            "bounds.contactMs=3000", "bounds.ackMs=4000",
            "bounds.catchUpS=4", "bounds.drainMs=2000", "bounds.graceS=8",
            "bounds.lossSlackMs=200", "bounds.configMs=2000",
            "bounds.downgradeMs=250", "bounds.outerMs=5000",
            "bounds.retryBudgetRatio=0.2", "bounds.budgetWindowS=10",
            "bounds.budgetSlack=104", "bounds.coldOvershoot=1.5",
            "bounds.coldSlack=5", "bounds.evacuationMs=5000",
            "bounds.recoveryS=12", "bounds.passMs=120",
            "bounds.stall_ms=1500", "bounds.holdMaxMs=20000",
            "bounds.freeMs=4000", "bounds.idleMaxMs=9000",
            "configMode=highest"]
        if machine_class == "front":
            lines += ["serves=front",
                      "listen.front=%s:%d" % (ip, self.entry_port),
                      "listen.readinessAddr=%s:%d" % (ip, self.ready_port)]
        else:
            data = os.path.join(self.work, "data-%d" % number)
            os.makedirs(data, exist_ok=True)
            lines += ["serves=control", "dataDir=%s" % data,
                      "listen.control=%s:%d" % (ip, self.control_port)]
        path = os.path.join(self.work, "node-%d.conf" % number)
        with open(path, "w") as out:
            out.write("\n".join(lines) + "\n" + self.extra)
        return path

    def start(self, number, machine_class, bootstrap=False):
        path = self.write_settings(number, machine_class, bootstrap)
        command = self.commands[machine_class]
        program = os.path.join(ROOT, command[0])
        if not os.access(program, os.X_OK):
            raise CannotRun("%s is not built" % command[0])
        log = open(os.path.join(self.work, "node-%d.log" % number), "a")
        environment = {"CHICORYTACK_SETTINGS": path,
                       "PATH": os.environ.get("PATH", ""),
                       "HOME": self.work, "LANG": "C"}
        self.processes[number] = subprocess.Popen(
            [program] + command[1:], cwd=ROOT, env=environment,
            stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    def start_all(self):
        for number in self.controls:
            self.start(number, "core", bootstrap=True)
        for number in self.entries:
            self.start(number, "front", bootstrap=True)

    def signal(self, number, which):
        self.record.write("signal %s to host %d" % (which.name, number))
        self.processes[number].send_signal(which)

    def kill(self, number):
        self.signal(number, signal.SIGKILL)
        self.processes[number].wait()

    def rss_mb(self, number):
        """Resident memory of a host in MB, 0 once it has ended."""
        try:
            with open("/proc/%d/status" % self.processes[number].pid) as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024.0
        except OSError:
            pass
        return 0.0

    def stop_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.work)
        else:
            shutil.rmtree(self.work, ignore_errors=True)

    # The operator.

    def call_control(self, number, method, path, body=None, timeout_s=1.0):
        """Returns (status, body) of a call; status 0 without an answer."""
        return http_call(self.ip(number), self.control_port, method, path,
                         body, timeout_s)

    def put_config(self, config):
        """Sends a configuration until a control host acknowledges it."""
        until = time.monotonic() + START_LIMIT_S
        body = json.dumps(config)
        while time.monotonic() < until:
            for number in self.controls:
                status, _ = self.call_control(
                    number, "POST", "/v1/Config.Put", body, 2.0)
                if status == 200:
                    self.record.write("config %d acknowledged by host %d" %
                                      (config["version"], number))
                    return
            time.sleep(0.2)
        raise CannotRun("the configuration was not acknowledged")

    def await_ready(self):
        until = time.monotonic() + START_LIMIT_S
        for number in self.entries:
            while True:
                status, _ = http_call(self.ip(number), self.ready_port, "GET",
                                      "/v1/ready", None, 1.0)
                if status == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRun("entry host %d is not ready" % number)
                time.sleep(0.1)
        self.record.write("all entry hosts are ready")


def http_call(ip, port, method, path, body=None, timeout_s=1.0, headers=()):
    """One call on a connection of its own: (status, body), (0, b"") if no
    complete answer came in time."""
    data = b"" if body is None else (
        body if isinstance(body, bytes) else body.encode())
    head = "%s %s HTTP/1.1\r\nHost: %s:%d\r\n" % (method, path, ip, port)
    if body is not None:
        head += "Content-Type: application/json\r\n"
    if body is not None or method == "POST":
        head += "Content-Length: %d\r\n" % len(data)
    for name, value in headers:
        head += "%s: %s\r\n" % (name, value)
    head += "Connection: close\r\n\r\n"
    until = time.monotonic() + timeout_s
    try:
        with socket.create_connection((ip, port), timeout_s) as link:
            link.sendall(head.encode() + data)
            answer = b""
            while True:
                left = until - time.monotonic()
                if left <= 0:
                    return 0, b""
                link.settimeout(left)
                piece = link.recv(65536)
                if not piece:
                    break
                answer += piece
    except OSError:
        return 0, b""
    first = answer.split(b"\r\n", 1)[0].split()
    if len(first) < 2 or b"\r\n\r\n" not in answer:
        return 0, b""
    return int(first[1]), answer.split(b"\r\n\r\n", 1)[1]


def make_config(version, routes, services):
    """A configuration with one tenant. Routes are (prefix, kind, service,
    changes of fields)."""
    items = []
    for prefix, kind, service, changes in routes:
        item = {"name": "r" + prefix.strip("/"), "host": HOST,
                "pathPrefix": prefix, "kind": kind, "timeoutMs": 10000,
                "sloMs": 300, "priority": 1, "service": service,
                "maxAttempts": 2, "public": False, "affinity": False}
        item.update(changes)
        items.append(item)
    return {"version": version, "routes": items,
            "services": [dict({"name": name, "healthPath": "/health",
                               "maxConns": 434, "protocol": "h1",
                               "tls": False, "coldStartS": 0.0,
                               "coldPerS": 0.0}, **changes)
                         for name, changes in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}]}


async def read_head(reader):
    """Reads a request's or answer's head: (first line, fields in lower case),
    or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


class Replica:
    """A replica that answers plain requests.

    Subclasses change run(). It answers 421 to a request for another replica,
    and echoes the attempt id.
    """

    def __init__(self, fleet, name, service, ip, zone, born=None, slots=16):
        self.fleet, self.record = fleet, fleet.record
        self.name, self.service, self.ip, self.zone = name, service, ip, zone
        self.port, self.slots = fleet.replica_port, slots
        self.born = born or int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs = []  # (time, attempt id)
        self.server = None
        self.writers = set()
        self.receive_buffer = None

    def ping_body(self):
        self.sequence += 1
        return json.dumps({
            "service": self.service, "address": "%s:%d" % (self.ip, self.port),
            "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": self.state, "coldLeftMs": 0, "seq": self.sequence,
            "born": self.born})

    async def listen(self):
        link = socket.socket()
        link.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.receive_buffer:
            link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                            self.receive_buffer)
        link.bind((self.ip, self.port))
        self.server = await asyncio.start_server(self.serve, sock=link,
                                                 backlog=512, limit=65536)

    async def close(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                await self.handle(head, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def read_body(self, reader, fields):
        return await reader.readexactly(int(fields.get("content-length", 0)))

    async def handle(self, head, reader, writer):
        line, fields = head
        if fields.get("target-instance", self.name) != self.name:
            await self.read_body(reader, fields)
            self.answer(writer, 421, fields, b"", {"Not-Executed": "1"})
            return
        if line.startswith("GET /health"):
            self.answer(writer, 200, fields, b"ok", {"Replica-Id": self.name})
            return
        await self.run(line, fields, reader, writer)

    async def run(self, line, fields, reader, writer):
        await self.read_body(reader, fields)
        self.note_run(fields)
        self.answer(writer, 200, fields, b"done", {})

    def note_run(self, fields):
        attempt = fields.get("attempt-id", "")
        self.runs.append((self.record.now(), attempt))
        self.record.write("replica %s runs %s" % (self.name, attempt))

    def answer(self, writer, status, fields, body, extra):
        head = "HTTP/1.1 %d Status\r\nContent-Length: %d\r\n" % (
            status, len(body))
        if "attempt-id" in fields:
            head += "Attempt-Id: %s\r\n" % fields["attempt-id"]
        if status != 421 and status != 503:
            head += "Response-Seal: 3e1b.07.%d.0\r\n" % len(body)
        for name, value in extra.items():
            head += "%s: %s\r\n" % (name, value)
        writer.write(head.encode() + b"\r\n" + body)

    async def ping(self, control, timeout_s=1.0):
        body = self.ping_body()
        loop = asyncio.get_running_loop()
        status, _ = await loop.run_in_executor(
            None, self.fleet.call_control, control, "POST",
            "/v1/Replicas.Heartbeat/%s" % self.name, body, timeout_s)
        return status

    async def ping_until_acked(self):
        """Sends one ping, to the next control host until one accepts it."""
        for _ in range(20):
            control = random.choice(self.fleet.controls)
            if await self.ping(control) == 200:
                return control
            await asyncio.sleep(0.1)
        raise CannotRun("no control host accepts pings")

    async def keep_pinging(self):
        while True:
            try:
                await self.ping_until_acked()
            except CannotRun:
                pass
            await asyncio.sleep(1.2 + random.uniform(-0.1, 0.1))


class Client:
    """A client's kept connection to an entry host."""

    def __init__(self, fleet, entry, name):
        self.fleet, self.entry, self.name = fleet, entry, name
        self.record = fleet.record
        self.reader = self.writer = None
        self.count = 0

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.fleet.ip(self.entry), self.fleet.entry_port, limit=1 << 20)

    async def call(self, path, body=b"", method="POST", deadline_ms=10000,
                   attempt=None, extra=()):
        """Returns (status, body). Status 0: the connection ended without a
        complete answer."""
        self.count += 1
        attempt = attempt or "%s-%d" % (self.name, self.count)
        head = ("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\n"
                "Deadline-Ms: %d\r\nX-Api-Key: %s\r\n") % (
                    method, path, HOST, attempt, deadline_ms, KEY)
        for name, value in extra:
            head += "%s: %s\r\n" % (name, value)
        if body or method == "POST":
            head += "Content-Length: %d\r\n" % len(body)
        self.record.write("client %s sends %s to host %d, %d bytes" % (
            self.name, attempt, self.entry, len(body)))
        status, data = 0, b""
        try:
            if self.writer is None:
                await self.connect()
            self.writer.write(head.encode() + b"\r\n" + body)
            await self.writer.drain()
            answer = await read_head(self.reader)
            if answer is not None:
                data = await self.reader.readexactly(
                    int(answer[1].get("content-length", 0)))
                status = int(answer[0].split()[1])
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        if status == 0 or (answer is not None and
                           answer[1].get("connection") == "close"):
            self.close()
        self.record.write("client %s: %s answered %d" % (
            self.name, attempt, status))
        return status, data

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None


def run_case(folder, play, **fleet_options):
    """Plays a case and returns its exit status: play() returns a text if the
    rule was broken, None if it held."""
    record = Record(folder)
    fleet = None
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def whole():
        fleet.start_all()
        return await asyncio.wait_for(play(fleet, trouble), 110)

    def on_term(*_):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, on_term)
    try:
        fleet = Fleet(record, **fleet_options)
        broken = asyncio.run(whole())
        if broken:
            record.write("BROKEN: " + broken)
            print("BROKEN:", broken)
            return 1
        record.write("held")
        print("held")
        return 0
    except (Exception, KeyboardInterrupt) as error:  # also a fault of ours
        record.write("could not run: %r" % error)
        print("could not run: %r" % error)
        return 2
    finally:
        if fleet is not None:
            fleet.stop_all()
        record.close()
