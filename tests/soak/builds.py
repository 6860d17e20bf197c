"""Two builds side by side in one soak: which host runs which, and the upgrade or
downgrade of one host after the other during the faults."""

import asyncio
import hashlib
import json
import os
import re

import http1
from cluster import ZONES
from replicas import CRASH_BODY

MODES = ("mix", "up", "down", "back")
# Length of the phase of faults with two builds, during which each host is replaced.
FAULT_PHASE_S = 20.0
FIRST_AT_S = 1.5
KILLED = 0.3  # Share of hosts that are killed for their replacement.
HEALTHY_MAX_S = 15.0
IN_FORCE_MAX_S = 2.0
# Requests with common parts of their prompts that crash the replicas that run them.
CRASHING_PROMPTS = 8
# Wrong answers that the earlier builds were made for. The others, which came with
# issue 37, break rules on those builds alone and so say nothing about two builds.
FAULTS_OF_EARLIER = ("cut answer", "no answer", "broken stream", "event again")


def find_program(folder):
    """Returns the program of an earlier build: that of the soak or, if the commit has
    none, the plain one, whose disk, clock and peer connections get no faults."""
    names = ("chicorytack-soak", "chicorytack")
    paths = [os.path.abspath(f"{folder}/{name}") for name in names]
    return next(path for path in paths if os.path.exists(path))


# Features of placement, which builds before them refuse.
FEATURES = ("guard-pauses", "queue-large", "share-slots", "weigh-borders")


class Builds:
    """The present build, the earlier one or None, and how the hosts change between them."""

    def __init__(self, present, earlier, mode):
        self.present = present
        self.earlier = earlier
        self.mode = mode
        self.wiped = set()  # Numbers of the hosts that lost their disk.
        self.is_second_half = False
        self.evacuated = None  # Zone that is evacuated while both builds run.
        self.started = {}  # Number of the host: program of its last start.

    @property
    def is_mixed(self):
        return self.earlier is not None

    def allows(self, fault):
        """Returns whether replicas answer wrongly in this way."""
        return not self.is_mixed or fault in FAULTS_OF_EARLIER

    def next_program(self, host):
        """Returns the program that the next start of a host runs."""
        if not self.is_mixed:
            return self.present
        if self.mode == "mix":
            # A voter that lost its disk comes back as the other build.
            is_earlier = (host.number % 2 == 1) != (host.number in self.wiped)
        else:
            is_earlier = (host.starts == 0) != (self.mode == "down")
            if self.mode == "back":
                is_earlier = host.starts == 0 or self.is_second_half
        return self.earlier if is_earlier else self.present

    def start(self, host):
        """Returns the program of a host that starts now."""
        program = self.next_program(host)
        self.started[host.number] = program
        if self.is_mixed:
            name = "present" if program == self.present else "earlier"
            host.fixture.ledger.faults[f"start of {name} {host.role}"] += 1
        return program

    def features(self, program):
        """Returns the features of placement that the program is started with."""
        return FEATURES if program == self.present else ()

    def is_replaced(self, host):
        """Returns whether a restart of the host would change nothing."""
        return self.started[host.number] == self.next_program(host)


async def replace(fixture, host, is_killed):
    """Restarts a host that still runs the build it is to be changed from."""
    if fixture.builds.is_replaced(host) or host.is_stopped or host.is_starting:
        return
    host.is_stopped = True
    await (host.kill() if is_killed else host.stop())
    host.is_stopped = False
    await fixture.start_again(host)


async def change_hosts(fixture, schedule):
    """Replaces the hosts one after the other during the faults, and starts an
    evacuation in between. "back" replaces half of them and then goes back."""
    builds = fixture.builds
    if not builds.is_mixed:
        return
    random = fixture.random_of("builds")
    order = random.sample(fixture.hosts, len(fixture.hosts))
    if builds.mode == "back":
        order = order[: len(order) // 2 + 1] * 2
    builds.evacuated = random.choice(ZONES)
    wipes = [at for at, name, _, _ in schedule if name == "wipe"]
    step = (FAULT_PHASE_S - FIRST_AT_S) / len(order)
    for number, host in enumerate(order):
        await asyncio.sleep(max(0.0, FIRST_AT_S + number * step - fixture.now()))
        if number == len(order) // 2:
            await fixture.operator.order(f"/v1/Evacuations.Start/{builds.evacuated}")
            builds.is_second_half = True
        if builds.mode == "mix":
            continue
        # A second voter must not be lost while one is without its data.
        if host.role == "control" and any(abs(at - fixture.now()) < 6 for at in wipes):
            continue
        await replace(fixture, host, random.random() < KILLED)


async def finish(fixture, wait_until_healthy):
    """Replaces the hosts that the faults left, once all are healthy, each when the
    one before is healthy again. Returns whether all are healthy."""
    if not fixture.builds.is_mixed:
        return True
    for host in fixture.hosts:
        if fixture.builds.is_replaced(host):
            continue
        await replace(fixture, host, False)
        if not await wait_until_healthy(fixture):
            return False
    return True


async def check(fixture):
    """Checks, with all hosts healthy, that the evacuation that began during the change
    of builds holds on each host, and the state of all hosts."""
    if fixture.builds.is_mixed:
        await check_evacuation(fixture)
        await check_state(fixture)


async def check_state_after_crashes(fixture, wait_until_healthy):
    """Lets requests that share parts of their prompts crash replicas, so that the
    hosts that know of parts commit them, and checks the state of all hosts then."""
    if not fixture.builds.is_mixed:
        return
    for number in range(CRASHING_PROMPTS):
        host = fixture.entry_hosts[number % len(fixture.entry_hosts)]
        fields = {
            "Host": "h.example",
            "X-Api-Key": "k1",
            "Attempt-Id": f"parts-{number}",
            "Deadline-Ms": 2000,
            "Token-Counts": "900,40",
            "Prefix-Hash": f"5c1e07a2:450,91bd3f06:410,{number:08x}:40",
        }
        path = f"/i/parts{number}"
        await http1.send_request(host.front.listen, "POST", path, fields, CRASH_BODY, 3.0)
    if not await wait_until_healthy(fixture):
        fixture.ledger.record_violation("all hosts serve after prompts crashed replicas", "")
        return
    await check_state(fixture)


async def check_state(fixture):
    """Checks that a new configuration reaches all hosts, that a key that it no longer
    has is refused, and that all voters hold the same state."""
    await check_keys(fixture)
    await compare_voters(fixture)


async def check_evacuation(fixture):
    zone = fixture.builds.evacuated
    since = fixture.now()
    tasks = [look(fixture, host, n) for host in fixture.entry_hosts for n in range(24)]
    statuses = await asyncio.gather(*tasks)
    if not any(status == 200 for status in statuses):
        fixture.ledger.record_violation("the other zones serve", f"{statuses}")
    for replica in fixture.replicas:
        late = [at for at in replica.arrivals if at > since]
        if replica.zone == zone and late:
            fixture.ledger.record_violation(
                "an evacuated zone gets nothing",
                f"{replica.id} got {len(late)} requests after the change of builds",
            )
    if not await fixture.operator.order(
        f"/v1/Evacuations.End/{zone}", until=fixture.now() + HEALTHY_MAX_S
    ):
        fixture.ledger.record_violation("an evacuation's end is acknowledged", zone)


async def look(fixture, host, number, key="k1"):
    """Sends an idempotent request of its own to an entry host; returns the status."""
    attempt = f"look-{key}-{host.name}-{number}"
    fixture.ledger.kinds[attempt] = "again"
    fields = {"Host": "h.example", "X-Api-Key": key, "Attempt-Id": attempt, "Deadline-Ms": 3000}
    status, _ = await http1.send_request(host.front.listen, "POST", f"/i/{attempt}", fields, b"x")
    return status


async def check_keys(fixture):
    """Each configuration has one key that no other has."""
    operator = fixture.operator
    if not await operator.put_next_config(fixture.now() + HEALTHY_MAX_S):
        fixture.ledger.record_violation("a configuration is acknowledged", "after the change")
        return
    await asyncio.sleep(IN_FORCE_MAX_S * fixture.patience)
    version = fixture.ledger.acked_version
    for host in fixture.entry_hosts:
        now = await look(fixture, host, 0, f"r{version}")
        before = await look(fixture, host, 0, f"r{version - 1}")
        if now != 200 or before != 401:
            fixture.ledger.record_violation(
                "a revoked key is refused",
                f"{host.name} answered {now} for the key of {version}, {before} for the last",
            )


async def compare_voters(fixture):
    """Compares what each control host answers for the configuration. All must answer
    within the time that hosts get to become healthy."""
    until = fixture.now() + HEALTHY_MAX_S * fixture.patience
    while True:
        answers = {}
        for host in fixture.control_hosts:
            status, text = await fixture.operator.call(
                "GET", "/v1/Config.Get", address=host.control.listen
            )
            answers[host.name] = (status, text)
        if {status for status, _ in answers.values()} == {200}:
            break
        if fixture.now() > until:
            shown = {name: status for name, (status, _) in answers.items()}
            fixture.ledger.record_violation("all voters answer a read", f"{shown}")
            return
        await asyncio.sleep(0.2)
    texts = {
        name: json.dumps(json.loads(text), sort_keys=True) for name, (_, text) in answers.items()
    }
    if len(set(texts.values())) != 1:
        shown = {name: hashlib.sha256(text.encode()).hexdigest() for name, text in texts.items()}
        fixture.ledger.record_violation("all voters hold the same configuration", f"{shown}")
    compare_sequences(fixture)


def compare_sequences(fixture):
    """Compares the number of the last public entry that each control host logged.
    Hosts tell orders apart by these numbers. No view on the platform shows them."""
    sequences = {}
    for host in fixture.control_hosts:
        with open(f"{fixture.folder}/{host.name}.log", encoding="utf-8", errors="replace") as file:
            found = re.findall(r"revision [0-9]+ sequence ([0-9]+)", file.read())
        sequences[host.name] = found[-1] if found else None
    if len(set(sequences.values())) != 1:
        fixture.ledger.record_violation("all voters count the same entries", f"{sequences}")
