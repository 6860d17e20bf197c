"""A small deployment on loopback: the project's programs as separate processes, and
stand-ins for the replicas of one plain service, the operator and the clients.

Sizes and bounds are those of spa-desk.toml, with one entry host a zone.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

import http1

PROGRAM = ["target/chicorytack", "serve-platform"]
ZONES = ("regina", "saskatoon", "winnipeg")
# Zones of the five control hosts, as on the site.
CONTROL_ZONES = ("regina", "saskatoon", "winnipeg", "regina", "saskatoon")
SERVICE = "booking-api"
HOST_NAME = "desk.example"
API_KEY = "n2ctnfzs989anu6wsjnb"
HEARTBEAT_S = 1.2
# Bounds of the site, in seconds.
CONTACT_S = 3.0
DRAIN_S = 2.0
EVACUATION_S = 5.0
OUTER_S = 5.0
CONFIG_S = 2.0
GRACE_S = 8.0
CATCH_UP_S = 4.0
RECOVERY_S = 12.0
CALLER_TIMEOUT_S = 1.0  # After so long without an answer a caller goes to another host.

SETTINGS = """\
nodeName={name}
role={role}
machineClass={machine}
serves={serves}
ip={ip}
zone={zone}
region=prairie
zones.regina=prairie
zones.saskatoon=prairie
zones.winnipeg=prairie
internalPorts={internal},{internal_end}
seeds={seeds}
bootstrap={bootstrap}
lossCounts={loss_counts}
limits.cpuShare=0.3
limits.cores=1
limits.memoryMb={memory}
limits.maxFds=4096
limits.linkMbps=170.0
limits.diskMb=128
discovery=registry
entry=vip
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,spans
faultTolerance.machines=2
faultTolerance.zones=1
faultTolerance.regions=0
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.contactMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configMs=2000
bounds.downgradeMs=250
bounds.outerMs=5000
bounds.strictRevoke=false
bounds.revokeMs=5000
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetSlack=104
bounds.coldOvershoot=1.5
bounds.coldSlack=5
bounds.evacuationMs=5000
bounds.recoveryS=12
bounds.passMs=120
bounds.retryAfterS=0
bounds.stall_ms=1500
bounds.holdMaxMs=20000
bounds.freeMs=4000
bounds.idleMaxMs=9000
configMode=highest
"""


class CannotRun(Exception):
    """The deployment doesn't come up, so the case says nothing."""


class Host:
    """A machine with one process of the project."""

    def __init__(self, fleet, role, number, zone):
        self.fleet = fleet
        self.role = role
        self.name = f"{role}-{zone}-{number}"
        self.zone = zone
        self.ip = f"127.{fleet.net}.{1 if role == 'control' else 2}.{number}"
        self.process = None
        self.starts = 0

    @property
    def control(self):
        return (self.ip, self.fleet.ports["control"])

    @property
    def front(self):
        return (self.ip, self.fleet.ports["front"])

    @property
    def readiness(self):
        return (self.ip, self.fleet.ports["ready"])

    @property
    def data(self):
        return os.path.join(self.fleet.folder, f"data-{self.name}")

    async def start(self):
        fleet = self.fleet
        is_control = self.role == "control"
        seeds = [host.control for host in fleet.controls[:3]]
        text = SETTINGS.format(
            name=self.name,
            role=self.role,
            machine="core" if is_control else "front",
            serves="control" if is_control else "front",
            ip=self.ip,
            zone=self.zone,
            internal=fleet.ports["internal"],
            internal_end=fleet.ports["internal"] + 15,
            seeds=",".join("%s:%d" % seed for seed in seeds),
            bootstrap="true" if self.starts == 0 and self in fleet.first else "false",
            loss_counts="true" if is_control else "false",
            memory=256 if is_control else 260,
        )
        if is_control:
            os.makedirs(self.data, exist_ok=True)
            text += "listen.control=%s:%d\ndataDir=%s\n" % (*self.control, self.data)
        else:
            text += "listen.front=%s:%d\n" % self.front
            text += "listen.readinessAddr=%s:%d\n" % self.readiness
        path = os.path.join(fleet.folder, f"{self.name}.conf")
        with open(path, "w", encoding="ascii") as file:
            file.write(text)
        environment = {"PATH": os.environ["PATH"], "CHICORYTACK_SETTINGS": path}
        with open(os.path.join(fleet.folder, f"{self.name}.log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *PROGRAM, env=environment, stdout=log, stderr=log
            )
        self.starts += 1
        fleet.note(f"{self.name} started, process {self.process.pid}")

    async def lose_disk(self, down_s):
        """Loses power, silently, and comes back after this time with an empty disk."""
        self.signal(signal.SIGSTOP)
        self.fleet.note(f"{self.name} is without power")
        await asyncio.sleep(down_s)
        self.process.kill()
        await self.process.wait()
        shutil.rmtree(self.data)
        self.fleet.note(f"{self.name} comes back with an empty disk")
        await self.start()

    def signal(self, number):
        self.fleet.note(f"{self.name} gets {signal.Signals(number).name}")
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


class Replica:
    """A sound replica of the plain service. Records what it runs."""

    def __init__(self, fleet, number, zone):
        self.fleet = fleet
        self.zone = zone
        self.id = f"i-{zone}-{number}"
        self.address = (f"127.{fleet.net}.3.{number}", fleet.ports["replica"])
        self.controls = list(fleet.controls)  # The first one gets the heartbeats.
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.is_sending = True
        self.is_gone = False
        self.runs = []  # (time, attempt id)
        self.server = None
        self.task = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, *self.address)
        self.task = asyncio.create_task(self._send_heartbeats())

    async def _send_heartbeats(self):
        while self.is_sending:
            await self.heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    async def heartbeat(self):
        self.sequence += 1
        body = {
            "service": SERVICE,
            "address": "%s:%d" % self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self.sequence,
            "born": self.born_ms,
        }
        return await self._tell(f"/v1/Replicas.Heartbeat/{self.id}", body)

    async def deregister(self):
        """Returns the control host that acknowledged it."""
        self.is_sending = False
        return await self._tell(f"/v1/Replicas.Deregister/{self.id}", {"born": self.born_ms})

    async def _tell(self, path, body):
        """Calls the control hosts in turn until one acknowledges."""
        for _ in range(2 * len(self.controls)):
            host = self.controls[0]
            status, _, _ = await http1.call(
                host.control,
                "POST",
                path,
                {"Content-Type": "application/json"},
                json.dumps(body).encode(),
                CALLER_TIMEOUT_S,
            )
            if 200 <= status < 300:
                return host
            self.controls.append(self.controls.pop(0))
        return None

    async def _serve(self, reader, writer):
        try:
            while message := await http1.read_message(reader):
                words, fields, body = message
                status, answer = await self._answer(words, fields, body)
                writer.write(answer)
                await writer.drain()
                if status == 0:
                    break
        except (http1.Closed, OSError):
            pass
        finally:
            writer.close()

    async def _answer(self, words, fields, body):
        attempt = fields.get("attempt-id", "")
        answer = {"Attempt-Id": attempt} if attempt else {}
        target = fields.get("target-instance")
        if target is not None and target != self.id:
            return 421, http1.message(
                "HTTP/1.1 421 Misdirected Request", {**answer, "Not-Executed": "1"}
            )
        if words[1] == "/health":
            return 200, http1.message("HTTP/1.1 200 OK", {"Replica-Id": self.id})
        self.runs.append((self.fleet.now(), attempt))
        self.fleet.note(f"{self.id} runs {attempt} tenant {fields.get('tenant')}")
        await asyncio.sleep(0.03)
        seal = f"seal.{self.id}.{attempt}"
        return 200, http1.message("HTTP/1.1 200 OK", {**answer, "Response-Seal": seal}, b"x" * 800)

    async def stop(self):
        self.is_sending = False
        self.is_gone = True
        if self.task is not None:
            self.task.cancel()
        if self.server is not None:
            self.server.close()


class Fleet:
    """The deployment of a case, with its record."""

    hosts = ()  # All machines, also those that joined later.

    def __init__(self, folder, replicas_per_zone, entry_zones):
        self.record = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.random = random.Random(1)
        self.net, self.ports = find_addresses()
        self.controls = [Host(self, "control", n + 1, zone) for n, zone in enumerate(CONTROL_ZONES)]
        self.entries = [Host(self, "entry", n + 1, zone) for n, zone in enumerate(entry_zones)]
        self.first = self.controls + self.entries
        self.hosts = list(self.first)
        self.replicas = [
            Replica(self, n + 1, zone) for n, zone in enumerate(ZONES * replicas_per_zone)
        ]
        self.version = 0
        self.sent = 0
        self.outcomes = {}
        self.traffic_task = None

    def now(self):
        return time.monotonic() - self.started

    def note(self, text):
        self.record.write(f"{self.now():9.3f} {text}\n")
        self.record.flush()

    def replica_of(self, zone):
        return next(replica for replica in self.replicas if replica.zone == zone)

    def config(self, version, extra_keys=()):
        routes = [
            {
                "name": f"r-{kind}",
                "host": HOST_NAME,
                "pathPrefix": path,
                "kind": kind,
                "timeoutMs": 2500,
                "sloMs": 150,
                "priority": 1,
                "service": SERVICE,
                "maxAttempts": 2,
                "public": False,
                "affinity": False,
                "resumable": False,
            }
            for path, kind in (("/lookup/", "idempotent"), ("/book/", "non_idempotent"))
        ]
        return {
            "version": version,
            "routes": routes,
            "services": [
                {
                    "name": SERVICE,
                    "healthPath": "/health",
                    "maxConns": 110,
                    "protocol": "h1",
                    "tls": False,
                    "coldStartS": 0.0,
                    "coldPerS": 0.0,
                }
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [{"name": "hule930", "apiKeys": [API_KEY, *extra_keys], "priority": 1}],
        }

    async def operator_call(self, method, path, hosts, body=b"", timeout_s=CALLER_TIMEOUT_S):
        """Sends a call to the hosts in this order until one answers clearly. Returns the
        status and the time of the answer."""
        for host in hosts:
            self.note(f"operator sends {method} {path} to {host.name}")
            status, _, answer = await http1.call(
                host.control, method, path, {"Content-Type": "application/json"}, body, timeout_s
            )
            self.note(f"operator gets {status or 'no answer in time'} from {host.name}")
            if status != 0 and status < 500 and status not in (408, 429):
                return status, answer
        return 0, b""

    async def put_config(self, config=None):
        self.version += 1
        body = json.dumps(config or self.config(self.version)).encode()
        deadline = self.now() + 15
        while self.now() < deadline:
            status, _ = await self.operator_call("POST", "/v1/Config.Put", self.controls, body, 3.0)
            if status == 200:
                return
            await asyncio.sleep(0.3)
        raise CannotRun("a configuration was not accepted")

    async def read_config(self):
        """Reads the configuration back from all control hosts by turns, for contactMs at
        least. Returns its version, None if no host gives one."""
        until = self.now() + CONTACT_S
        while True:
            status, body = await self.operator_call("GET", "/v1/Config.Get", self.controls)
            if status == 200:
                return json.loads(body)["version"]
            if self.now() > until:
                return None
            await asyncio.sleep(0.3)

    async def start(self):
        for host in self.first:
            await host.start()
        await self.put_config()
        for replica in self.replicas:
            await replica.start()
        deadline = self.now() + 20
        for host in self.entries:
            while (await http1.call(host.readiness, "GET", "/v1/ready"))[0] != 200:
                if self.now() > deadline:
                    raise CannotRun(f"{host.name} is not ready")
                await asyncio.sleep(0.1)

    async def request(self, entry, path="/lookup/2f", timeout_s=2.5):
        """Sends one request on a new channel. Returns its attempt id and the status, 0
        without a whole answer."""
        self.sent += 1
        attempt = f"{self.random.getrandbits(64):016x}"
        self.note(f"client sends {attempt} to {entry.name}")
        status, fields, body = await http1.call(
            entry.front,
            "POST",
            path,
            {
                "Host": HOST_NAME,
                "Attempt-Id": attempt,
                "Deadline-Ms": "2500",
                "X-Api-Key": API_KEY,
            },
            b"slot?",
            timeout_s,
        )
        self.note(f"client gets {status} for {attempt}")
        self.outcomes[status] = self.outcomes.get(status, 0) + 1
        return attempt, status

    async def _run_traffic(self, per_s):
        running = set()
        number = 0
        while True:
            entry = self.entries[number % len(self.entries)]
            number += 1
            task = asyncio.create_task(self.request(entry))
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(1 / per_s)

    async def begin_traffic(self, per_s=12):
        self.traffic_task = asyncio.create_task(self._run_traffic(per_s))
        await self.wait_for_service()

    async def wait_for_service(self):
        """Waits until each replica has run a request."""
        deadline = self.now() + 20
        while not all(replica.runs for replica in self.replicas):
            if self.now() > deadline:
                raise CannotRun("a replica gets no requests")
            await asyncio.sleep(0.1)

    async def stop(self):
        if self.traffic_task is not None:
            self.traffic_task.cancel()
        for replica in self.replicas:
            await replica.stop()
        for host in self.hosts:
            if host.process is not None and host.process.returncode is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                await host.process.wait()
        self.note(f"all processes ended; sent {self.sent}, answers by status {self.outcomes}")
        self.record.close()
        if os.environ.get("KEEP_LOGS") is None:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("logs:", self.folder)


def find_addresses():
    """Finds a loopback network and ports that are free."""
    source = random.Random()
    for _ in range(50):
        net = source.randrange(20, 250)
        base = source.randrange(20000, 30000, 40)
        names = {"control": 0, "front": 1, "ready": 2, "replica": 3, "internal": 10}
        ports = {name: base + offset for name, offset in names.items()}
        try:
            for offset in range(26):
                with socket.socket() as probe:
                    probe.bind((f"127.{net}.1.1", base + offset))
            return net, ports
        except OSError:
            continue
    raise CannotRun("no free ports")


def run(folder, case, replicas_per_zone=1, entry_zones=ZONES):
    """Runs a case, which returns a text that says how the rule was broken, or None.
    Exits with 1 if it was broken, 0 if it held, 2 if the case couldn't run."""

    async def main():
        fleet = Fleet(folder, replicas_per_zone, entry_zones)
        try:
            async with asyncio.timeout(110):
                await fleet.start()
                return await case(fleet, os.environ.get("TROUBLE", "1") != "0")
        finally:
            await fleet.stop()

    try:
        broken = asyncio.run(main())
    except (CannotRun, TimeoutError, OSError) as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
    with open(os.path.join(folder, "record.txt"), "a", encoding="utf-8") as record:
        record.write(f"verdict: {broken or 'the rule held'}\n")
    print(broken or "the rule held")
    sys.exit(1 if broken else 0)
