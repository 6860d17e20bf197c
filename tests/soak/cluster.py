"""Control hosts and entry hosts as real processes, with proxies on all
connections to them and between them, at which faults are injected."""

import asyncio
import os
import shutil
import signal

import http1
from proxy import Proxy

# A host listens for its peers at PEER_PORT, and for the requests that they forward
# at the port after it. It connects to a peer at PAIR_PORT plus its own number
# (SOAK_PORT_SHIFT), where a proxy of this pair of hosts listens.
PEER_PORT = 25000
PAIR_PORT = 25010
# The programs listen at these ports; the proxies of the first two listen at the
# next higher port.
CONTROL_PORT = 25100
FRONT_PORT = 25200
READY_PORT = 25300
# Time that running requests get in a planned stop (bounds.graceS), in seconds.
GRACE_S = 8
ZONES = ("east", "west", "north")


class Host:
    """A host: its settings, its process and the proxies in front of it."""

    def __init__(self, fixture, number, role):
        self.fixture = fixture
        self.number = number
        self.role = role
        self.name = f"{role}-{number}"
        self.ip = fixture.ip(number)
        self.zone = ZONES[number % len(ZONES)]
        self.process = None
        self.starts = 0
        self.is_killed = False
        self.is_stopped = False
        self.is_starting = False
        self.faults_path = f"{fixture.folder}/{self.name}.faults"
        self.front = Proxy((self.ip, FRONT_PORT + 1), (self.ip, FRONT_PORT))
        self.control = Proxy((self.ip, CONTROL_PORT + 1), (self.ip, CONTROL_PORT))
        self.peers = {}  # Number of the connecting host: proxy for its connections.

    @property
    def data(self):
        return f"{self.fixture.folder}/data-{self.number}"

    def write_settings(self, is_first):
        """Writes the settings file; `is_first` makes a control host found the cluster."""
        seeds = ",".join(f"{host.ip}:{CONTROL_PORT}" for host in self.fixture.control_hosts[:3])
        lines = {
            "nodeName": self.name,
            "role": self.role,
            "ip": self.ip,
            "zone": self.zone,
            "region": "prairie",
            "internalPorts": f"{PEER_PORT},{PEER_PORT + 1}",
            "seeds": seeds,
            "heartbeatMs": int(1000 * 0.6),
            "faultTolerance.machines": (len(self.fixture.control_hosts) - 1) // 2,
            "bounds.graceS": GRACE_S,
            "bounds.retryBudgetRatio": 0.5,
            "bounds.budgetWindowS": 10,
            "bounds.budgetSlack": 200,
        }
        if self.role == "control":
            lines["listen.control"] = f"{self.ip}:{CONTROL_PORT}"
            lines["dataDir"] = self.data
            lines["bootstrap"] = "true" if is_first else "false"
            os.makedirs(self.data, exist_ok=True)
        else:
            lines["listen.front"] = f"{self.ip}:{FRONT_PORT}"
            lines["listen.readinessAddr"] = f"{self.ip}:{READY_PORT}"
        with open(f"{self.fixture.folder}/{self.name}.conf", "w", encoding="ascii") as file:
            file.writelines(f"{name}={value}\n" for name, value in lines.items())

    def set_faults(self, sync_ms=0, is_full=0, clock_ms=0, no_path=0):
        """Sets the faults inside the process: the delay of each disk sync in ms, a full
        disk, a shift of the wall clock in ms, and that no new connection to a replica
        is made; without arguments none.
        The file is replaced as a whole so that the process never reads half of it."""
        with open(self.faults_path + ".new", "w", encoding="ascii") as file:
            file.write(f"{sync_ms} {is_full} {clock_ms} {no_path}\n")
        os.replace(self.faults_path + ".new", self.faults_path)

    async def start(self, is_first=False):
        self.is_starting = True
        self.write_settings(is_first)
        program = self.fixture.builds.start(self)
        self.starts += 1
        self.is_killed = False
        environment = {
            "PATH": os.environ["PATH"],
            "CHICORYTACK_SETTINGS": f"{self.fixture.folder}/{self.name}.conf",
            "SOAK_PORT_SHIFT": str(PAIR_PORT - PEER_PORT + self.number),
            "SOAK_FAULTS": self.faults_path,
        }
        # Tells GLib to use malloc, which sanitizers can follow.
        if "G_SLICE" in os.environ:
            environment["G_SLICE"] = os.environ["G_SLICE"]
        with open(f"{self.fixture.folder}/{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                program,
                "serve-platform",
                *self.fixture.builds.features(program),
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.is_starting = False

    def signal(self, number):
        """Sends a signal to the process that this soak started, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.is_killed = True
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def pause(self, seconds):
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.signal(signal.SIGCONT)

    async def stop(self):
        """Stops the host as planned (SIGTERM). The process must exit with status 0
        within the grace time plus 1 s; both are multiplied by the patience."""
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout((GRACE_S + 1) * self.fixture.patience):
                code = await self.process.wait()
        except TimeoutError:
            self.fixture.ledger.record_violation(
                "a planned stop ends", f"{self.name} still runs after its grace time"
            )
            await self.kill()
            return
        if code != 0 and not self.is_killed:
            self.fixture.ledger.record_violation(
                "a planned stop ends", f"{self.name} ended with {code}"
            )

    async def wipe(self):
        """Kills the process and deletes its data folder."""
        await self.kill()
        self.fixture.builds.wiped ^= {self.number}
        shutil.rmtree(self.data, ignore_errors=True)

    async def is_ready(self):
        status, _ = await http1.send_request((self.ip, READY_PORT), "GET", "/v1/ready")
        return status == 200

    def proxies(self):
        """Returns the proxies between this host and the others, in both directions."""
        dialled = [host.peers[self.number] for host in self.fixture.hosts if host is not self]
        return list(self.peers.values()) + dialled

    async def start_proxies(self):
        for host in self.fixture.hosts:
            if host is not self:
                address = (self.ip, PAIR_PORT + host.number)
                self.peers[host.number] = Proxy(address, (self.ip, PEER_PORT))
                await self.peers[host.number].start()
        if self.role == "control":
            await self.control.start()
        else:
            await self.front.start()
