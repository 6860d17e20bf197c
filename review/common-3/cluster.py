"""Starts a small deployment on loopback for the cases of review 3.

Control hosts and entry hosts are the project's own program, with the commands
of deploy/system.toml. Replicas, clients, the operator and the platform are
small stand-ins of this file. They write what they send, answer and run to the
record. Everything runs in one asyncio loop, except for the processes of the
project.
"""

import asyncio
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
REPOSITORY = os.path.abspath(
    os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
ZONES = ("regina", "saskatoon", "winnipeg")
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HEARTBEAT_S = 1.0


class CannotRun(Exception):
    """The case could not be set up, so it shows nothing."""


class Record:
    """Writes one line per event, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def add(self, *words):
        line = "%8.3f  %s" % (time.monotonic() - self.began,
                              " ".join(str(word) for word in words))
        self.file.write(line + "\n")
        self.file.flush()


def read_commands():
    """Returns the command of each role of the deploy file, by what it serves."""
    with open(os.path.join(REPOSITORY, "deploy", "system.toml"), "rb") as file:
        roles = tomllib.load(file)["roles"]
    return {role["serves"][0]: role["run"].split() for role in roles.values()}


def free_port(address):
    """Returns a port that is free at the address."""
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


class Answer:
    """An HTTP answer as a client has received it."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_whole = False
        self.problem = ""


async def read_head(reader):
    """Reads the head of a message; returns its first line and its headers, or
    None if the connection ends before."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Reads the body of a message. Raises IncompleteReadError if the connection
    ends before."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        piece = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += piece[:-2]


class Replica:
    """A server that follows PROTOCOL.md. Requests are answered by the function
    `serve(replica, writer, headers, line, body)`, which plain_answer() is by
    default."""

    def __init__(self, cluster, name, service, zone, serve=None, slots=16):
        self.cluster, self.name, self.service = cluster, name, service
        self.zone, self.slots = zone, slots
        self.serve = serve or plain_answer
        self.ip = "127.%d.%d.%d" % (
            cluster.net, 100 + ZONES.index(zone), next(cluster.numbers))
        self.port = free_port(self.ip)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.ran = []  # (attempt id, headers, time)
        self.state = "ready"

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    async def start(self):
        self.server = await asyncio.start_server(
            self.on_connection, self.ip, self.port)
        self.pings = asyncio.create_task(self.ping_forever())

    async def ping_forever(self):
        hosts = list(self.cluster.controls)
        while True:
            self.sequence += 1
            body = {"service": self.service, "address": self.address,
                    "zone": self.zone, "version": "v1", "slots": self.slots,
                    "state": self.state, "coldLeftMs": 0,
                    "seq": self.sequence, "born": self.born}
            for _ in hosts:
                answer = await self.cluster.call(
                    hosts[0], "POST", "/v1/Replicas.Heartbeat/" + self.name,
                    body, limit_s=1.0)
                if 200 <= answer.status < 300:
                    break
                hosts.append(hosts.pop(0))
            await asyncio.sleep(HEARTBEAT_S)

    async def on_connection(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                body = await self.read_body(reader, headers)
                if line.startswith("GET /health"):
                    self.reply(writer, 200, {"Replica-Id": self.name}, b"ok")
                elif headers.get("target-instance", self.name) != self.name:
                    self.reply(writer, 421, {"Not-Executed": "1"}, b"",
                               headers)
                else:
                    attempt = headers.get("attempt-id", "")
                    self.ran.append((attempt, headers, time.monotonic()))
                    self.cluster.record.add("replica", self.name, "runs",
                                            attempt, line)
                    await self.serve(self, writer, headers, line, body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.CancelledError):
            pass  # The channel, or the run of the case, has ended.
        finally:
            writer.close()

    async def read_body(self, reader, headers):
        return await read_body(reader, headers)

    def reply(self, writer, status, extra, body, headers=None):
        lines = ["HTTP/1.1 %d Answer" % status,
                 "Content-Length: %d" % len(body)]
        if headers and "attempt-id" in headers:
            lines.append("Attempt-Id: " + headers["attempt-id"])
        lines += ["%s: %s" % item for item in extra.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


async def plain_answer(replica, writer, headers, line, body):
    await asyncio.sleep(0.02)
    replica.reply(writer, 200, {"Response-Seal": "seal-" + replica.name},
                  b"done", headers)


class Cluster:
    """Control hosts, of which the first three are the seeds, and entry hosts as
    processes, their replicas, and the operator."""

    def __init__(self, folder, entries=2, memory_mb=260, controls=3,
                 tolerated=1):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.work = tempfile.mkdtemp(prefix="review-3-")
        self.net = random.randint(20, 250)
        self.numbers = itertools.count(2)
        self.processes, self.logs = {}, []
        self.memory_mb = memory_mb
        self.commands = read_commands()
        self.replicas = []
        first = "127.%d.1.2" % self.net
        self.ports = {name: free_port(first)
                      for name in ("front", "ready", "control")}
        self.internal = free_port(first)
        self.controls = ["127.%d.1.%d" % (self.net, 2 + i)
                         for i in range(controls)]
        self.seeds = self.controls[:3]
        self.tolerated = tolerated
        self.entries = ["127.%d.2.%d" % (self.net, 2 + i)
                        for i in range(entries)]
        self.attempts = itertools.count(1)

    # Processes of the project

    def settings(self, ip, index, is_entry, is_first=True):
        lines = {
            "nodeName": "%s-%d" % ("front" if is_entry else "core", index),
            "role": "entry" if is_entry else "control",
            "machineClass": "front" if is_entry else "core",
            "serves": "front" if is_entry else "control",
            "ip": ip, "zone": ZONES[index % 3], "region": "prairie",
            "internalPorts": "%d,%d" % (self.internal, self.internal + 15),
            "seeds": ",".join("%s:%d" % (seed, self.ports["control"])
                              for seed in self.seeds),
            "bootstrap": str(is_first).lower(), "lossCounts": str(not is_entry).lower(),
            "limits.cpuShare": "0.25", "limits.cores": "1",
            "limits.memoryMb": str(self.memory_mb), "limits.maxFds": "4100",
            "limits.linkMbps": "1000.0", "limits.diskMb": "128",
            "discovery": "registry", "entry": "vip", "heartbeatMs": "1000",
            "contracts": "base,drain,config,cost,retry,recover,engine,"
                         "stream,tenants,places,spans",
            "faultTolerance.machines": str(self.tolerated),
            "faultTolerance.zones": "1",
            "bounds.contactMs": "3000", "bounds.drainMs": "2000",
            "bounds.graceS": "8", "bounds.configMs": "2000",
            "bounds.retryBudgetRatio": "0.2", "bounds.budgetWindowS": "10",
            "bounds.budgetSlack": "104", "bounds.coldOvershoot": "1.5",
            "bounds.coldSlack": "5", "configMode": "highest",
        }
        lines.update({"zones." + zone: "prairie" for zone in ZONES})
        if is_entry:
            lines["listen.front"] = "%s:%d" % (ip, self.ports["front"])
            lines["listen.readinessAddr"] = "%s:%d" % (ip, self.ports["ready"])
        else:
            lines["listen.control"] = "%s:%d" % (ip, self.ports["control"])
            lines["dataDir"] = os.path.join(self.work, "data-" + ip)
        path = os.path.join(self.work, ip + ".conf")
        with open(path, "w", encoding="utf-8") as file:
            file.writelines("%s=%s\n" % item for item in lines.items())
        return path

    def start_host(self, ip, is_first=True):
        """Starts a host; is_first says whether the whole system starts for the
        first time."""
        is_entry = ip in self.entries
        hosts = self.entries if is_entry else self.controls
        path = os.path.join(self.work, ip + ".conf")
        if not os.path.exists(path):
            path = self.settings(ip, hosts.index(ip), is_entry, is_first)
            if not is_entry:
                os.mkdir(os.path.join(self.work, "data-" + ip))
        command = self.commands["front" if is_entry else "control"]
        log = open(os.path.join(self.work, ip + ".log"), "ab")
        self.logs.append(log)
        self.processes[ip] = subprocess.Popen(
            command, cwd=REPOSITORY, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "HOME": self.work,
                 "CHICORYTACK_SETTINGS": path})
        self.record.add("started", ip, " ".join(command))

    def signal(self, ip, number):
        self.record.add("signal", signal.Signals(number).name, "to", ip)
        self.processes[ip].send_signal(number)

    # The operator, and calls to control

    async def call(self, ip, method, path, body=None, limit_s=1.0):
        answer = Answer()
        try:
            async with asyncio.timeout(limit_s):
                reader, writer = await asyncio.open_connection(
                    ip, self.ports["control"])
                try:
                    data = b"" if body is None else json.dumps(body).encode()
                    writer.write((
                        "%s %s HTTP/1.1\r\nHost: control\r\n"
                        "Content-Type: application/json\r\n"
                        "Connection: close\r\nContent-Length: %d\r\n\r\n"
                        % (method, path, len(data))).encode() + data)
                    head = await read_head(reader)
                    if head is not None:
                        answer.headers = head[1]
                        answer.body = await read_body(reader, head[1])
                        answer.status = int(head[0].split()[1])
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            answer.problem = type(error).__name__
        return answer

    async def order(self, method, path, body=None, limit_s=20):
        """Gives an order as the operator does: to one control host after the
        other, until one answers clearly. Returns the answer."""
        until = time.monotonic() + limit_s
        for ip in itertools.cycle(self.controls):
            answer = await self.call(ip, method, path, body, limit_s=2.0)
            if 200 <= answer.status < 500:
                self.record.add("operator", method, path, "at", ip, "->",
                                answer.status)
                return answer
            if time.monotonic() > until:
                raise CannotRun("no answer to " + path)
            await asyncio.sleep(0.2)

    def config(self, version, routes, **changes):
        document = {
            "version": version,
            "routes": routes,
            "services": [{"name": name, "healthPath": "/health",
                          "maxConns": 224, "protocol": "h1", "tls": False,
                          "coldStartS": 0.0, "coldPerS": 0.0}
                         for name in sorted({route["service"]
                                             for route in routes})],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
        }
        document.update(changes)
        return document

    # Start and end

    async def start(self, config, replicas):
        for ip in self.controls + self.entries:
            self.start_host(ip)
        self.replicas = replicas
        answer = await self.order("POST", "/v1/Config.Put", config, 30)
        if answer.status != 200:
            raise CannotRun("the first config was refused")
        for replica in replicas:
            await replica.start()
        for ip in self.entries:
            await self.until_serving(ip)

    async def is_ready(self, ip):
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    ip, self.ports["ready"])
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n"
                             b"Connection: close\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                return head is not None and " 200 " in head[0] + " "
        except (OSError, TimeoutError):
            return False

    async def until_serving(self, ip, limit_s=30):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if await self.is_ready(ip):
                client = Client(self, ip)
                answer = await client.request("GET", "/lohu930/warm")
                client.close()
                if answer.status == 200:
                    return
            await asyncio.sleep(0.2)
        raise CannotRun("%s does not serve" % ip)

    def finish(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for log in self.logs:
            log.close()
        if os.environ.get("KEEP"):
            print("kept", self.work)
        else:
            shutil.rmtree(self.work, ignore_errors=True)


class Client:
    """A client with one channel to an entry host. `slow` is set for a client
    that reads slowly: its channel has a small window and small packets, as a
    channel across a network has."""

    def __init__(self, cluster, ip, slow=False):
        self.cluster, self.ip, self.slow = cluster, ip, slow
        self.reader = self.writer = None

    async def connect(self):
        if self.writer is not None:
            return
        channel = socket.socket()
        if self.slow:
            channel.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
            channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1400)
        channel.setblocking(False)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(1):
            await loop.sock_connect(
                channel, (self.ip, self.cluster.ports["front"]))
        self.reader, self.writer = await asyncio.open_connection(
            sock=channel, limit=16384 if self.slow else 2 ** 20)

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def send(self, method, path, body=b"", deadline_ms=5000, key=KEY,
                   extra=()):
        """Sends a request and returns its attempt id."""
        await self.connect()
        attempt = "%016x" % (random.getrandbits(40) << 24
                             | next(self.cluster.attempts))
        lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + HOST,
                 "Attempt-Id: " + attempt, "Deadline-Ms: %d" % deadline_ms]
        if key:
            lines.append("X-Api-Key: " + key)
        if body:
            lines.append("Content-Length: %d" % len(body))
        lines += extra
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return attempt

    async def receive(self, attempt, limit_s=6.0, bytes_per_s=None):
        """Receives an answer. A slow client takes bytes_per_s of its body."""
        answer = Answer()
        answer.attempt = attempt
        try:
            async with asyncio.timeout(limit_s):
                head = await read_head(self.reader)
                if head is None:
                    answer.problem = "channel ended before an answer"
                else:
                    answer.headers = head[1]
                    answer.status = int(head[0].split()[1])
                    if bytes_per_s is None:
                        answer.body = await read_body(self.reader, head[1])
                        answer.is_whole = True
                    else:
                        await self.read_slowly(answer, bytes_per_s)
        except asyncio.IncompleteReadError as error:
            answer.problem = "channel ended within the answer"
            answer.body = answer.body or error.partial
        except (OSError, TimeoutError) as error:
            answer.problem = type(error).__name__
        self.cluster.record.add(
            "client of", self.ip, attempt, "got", answer.status,
            len(answer.body), "bytes",
            "whole" if answer.is_whole else "not whole: " + answer.problem)
        return answer

    async def read_slowly(self, answer, bytes_per_s):
        size = int(answer.headers.get("content-length", 0))
        pieces, count = [], 0
        piece_size = max(1024, bytes_per_s // 50)
        try:
            while count < size:
                piece = await self.reader.read(min(piece_size, size - count))
                if not piece:
                    answer.problem = "channel ended within the answer"
                    return
                pieces.append(piece)
                count += len(piece)
                await asyncio.sleep(len(piece) / bytes_per_s)
            answer.is_whole = True
        finally:
            answer.body = b"".join(pieces)

    async def request(self, method, path, body=b"", **options):
        """Sends a request on the channel and returns its answer."""
        limit_s = options.pop("limit_s", 6.0)
        try:
            attempt = await self.send(method, path, body, **options)
        except (OSError, TimeoutError) as error:
            self.close()
            answer = Answer()
            answer.problem = "no channel: " + type(error).__name__
            return answer
        answer = await self.receive(attempt, limit_s)
        if not answer.is_whole or \
                answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer


def route(prefix, kind, service, **changes):
    """Returns a route of the config."""
    entry = {"name": "r" + prefix.replace("/", "-").rstrip("-"), "host": HOST,
             "pathPrefix": prefix, "kind": kind, "timeoutMs": 10000,
             "sloMs": 300, "priority": 1, "service": service,
             "maxAttempts": 2, "public": False}
    entry.update(changes)
    return entry


def run(folder, case):
    """Runs `case(folder, has_trouble)`, a coroutine that returns HELD or BROKEN,
    and exits with its result. TROUBLE=0 in the environment asks for the same
    without the disruption."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        code = asyncio.run(asyncio.wait_for(case(folder, has_trouble), 110))
    except (CannotRun, TimeoutError, OSError) as error:
        print("could not run: %s %s" % (type(error).__name__, error))
        code = CANNOT_RUN
    print({HELD: "the rule held", BROKEN: "the rule was broken",
           CANNOT_RUN: "could not run"}[code])
    sys.exit(code)
