#!/usr/bin/env python3
"""Injects faults drawn from seeds into the real programs; see docs/PROOFS.md.

    soak.py BUILD_DIR --seeds FIRST COUNT [--jobs N] [--keep]
    soak.py BUILD_DIR --seed N            runs one seed and prints its schedule
    soak.py BUILD_DIR --file FILE         runs the seeds of a file, one per line
    soak.py BUILD_DIR --old DIR --upgrade MODE --seeds FIRST COUNT
                                          hosts of two builds, see builds.py

A seed determines the number of hosts, the requests of callers and the operator,
and the faults with their times. The exit status is 0 if no guarantee was
violated.
"""

import argparse
import asyncio
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time

import builds
import faults
import http1
from callers import Caller
from cluster import ZONES, Host
from ledger import Ledger
from operator_calls import Operator
from replicas import CRASH_BODY, Replica

FAULT_PHASE_S = 10.0  # Length of the phase in which faults start.
RECOVERY_MAX_S = 15.0  # From the end of the last fault until all hosts are healthy.
ORDER_MAX_S = 5.0  # Until an evacuation or a drain is acknowledged.
IN_FORCE_MAX_S = 2.0  # From the acknowledgement until no request arrives any more.
CRASHING_S = 6.0  # For which a request that crashes replicas is sent.
CRASHES_SEEN_MAX_S = 3.0  # From its third crash until it is sent on three times at most.
OBSERVATION_S = 1.5  # How long arriving requests are watched for after that.
# Numbers of control hosts and entry hosts, of which a seed draws one pair.
HOST_COUNTS = ((3, 2), (3, 3), (5, 2), (5, 4))
REPLICA_PORT = 26000  # Port of the plain replicas; the model ones use it plus 10.


class Fixture:
    """The hosts, replicas, operator and ledger of one seed.

    `slot` distinguishes seeds that run at the same time by their IP addresses.
    """

    def __init__(self, programs, seed, slot, folder, patience):
        self.builds = builds.Builds(*programs)
        self.patience = patience  # Factor by which time limits are multiplied.
        self.seed = seed
        self.slot = slot
        self.folder = folder
        self.started = time.monotonic()
        # Time at which all hosts were healthy again after the last fault.
        self.recovered_at = float("inf")
        self.ledger = Ledger(self.now)
        shape = self.random_of("shape")
        controls, entries = shape.choice(HOST_COUNTS)
        self.control_hosts = [Host(self, n, "control") for n in range(1, controls + 1)]
        first = controls + 1
        self.entry_hosts = [Host(self, n, "entry") for n in range(first, first + entries)]
        self.hosts = self.control_hosts + self.entry_hosts
        self.replicas = [
            Replica(self, f"{service[0]}{n}", service, ZONES[n % 3], self.ip(100 + n), port)
            for service, port, count in (
                ("plain", REPLICA_PORT, 6),
                ("model", REPLICA_PORT + 10, 6),
            )
            for n in range(count)
        ]
        self.operator = Operator(self)

    def now(self):
        return time.monotonic() - self.started

    def wall_ms(self):
        return int(time.time() * 1000)

    def random_of(self, purpose):
        """Returns a random generator of its own for each purpose, so that draws for
        one purpose don't change those for another."""
        return random.Random(f"{self.seed} {purpose}")

    def ip(self, number):
        return f"127.{100 + self.slot}.7.{number}"

    def host(self, name):
        return next(host for host in self.hosts if host.name == name)

    def replica(self, name):
        return next(replica for replica in self.replicas if replica.name == name)

    def control_addresses(self, source):
        """Returns the addresses of all control hosts, shuffled by the generator `source`."""
        hosts = list(self.control_hosts)
        source.shuffle(hosts)
        return [host.control.listen for host in hosts]

    async def start_again(self, host):
        """Starts a host that is down, unless a planned stop of it is under way or
        another fault's end is just starting the host."""
        if host.is_stopped or host.is_starting or host.process.returncode is None:
            return
        await host.start()


async def run_scenario(programs, seed, slot, folder, patience, prints):
    """Runs the phases of one seed: start, faults, recovery, planned stops. Returns
    the ledger; all processes have ended by then."""
    fixture = Fixture(programs, seed, slot, folder, patience)
    length_s = builds.FAULT_PHASE_S if fixture.builds.is_mixed else FAULT_PHASE_S
    schedule = faults.draw_schedule(fixture.random_of("faults"), fixture, length_s)
    if prints:
        print(f"{len(fixture.control_hosts)} control hosts, {len(fixture.entry_hosts)} entry hosts")
        for at, name, target, seconds in schedule:
            print(f"  {at:6.2f} s {name} {target} for {seconds:.2f} s")
    try:
        await start_all(fixture)
        if not fixture.ledger.violations:
            await run_with_faults(fixture, schedule, length_s)
            await run_after_faults(fixture)
            await check_end(fixture)
    finally:
        await asyncio.gather(*(host.kill() for host in fixture.hosts))
    fixture.ledger.check_runs()
    check_logs(fixture)
    return fixture.ledger


async def start_all(fixture):
    for host in fixture.hosts:
        host.set_faults()
        await host.start_proxies()
    for replica in fixture.replicas:
        await replica.start()
    await asyncio.gather(*(host.start(is_first=True) for host in fixture.hosts))
    await fixture.operator.put_next_config(fixture.now() + RECOVERY_MAX_S * fixture.patience)
    if not await wait_until_healthy(fixture):
        fixture.ledger.record_violation("all hosts serve at the start", describe_unhealthy(fixture))


async def run_with_faults(fixture, schedule, until):
    """Injects the scheduled faults while callers send requests and the operator
    changes configurations and checks which ones are in force."""
    fixture.started = time.monotonic()
    callers = [Caller(fixture, n) for n in range(12)]
    await asyncio.gather(
        faults.run_schedule(fixture, schedule),
        builds.change_hosts(fixture, schedule),
        fixture.operator.change_configuration(until),
        change_evacuation(fixture, until),
        fixture.operator.check_reads(until + 2),
        fixture.operator.check_entry_hosts(until + 2),
        *(caller.run(until + 2) for caller in callers),
    )


async def change_evacuation(fixture, until):
    """Lets the operator evacuate a zone and end that while faults happen. Hosts of
    earlier builds carry out orders that their callers have given up."""
    if fixture.builds.is_mixed:
        return
    zone = fixture.random_of("evacuations").choice(ZONES)
    latest = until + RECOVERY_MAX_S * fixture.patience
    await fixture.operator.change_evacuation(zone, until, latest)


async def check_stays_evacuated(fixture):
    """Checks, with all hosts healthy, that the last order about an evacuation during
    the faults is in force, and ends that evacuation."""
    zone = fixture.operator.evacuated
    if zone is None:
        return
    began = max(fixture.now(), fixture.operator.evacuated_at)
    until = began + IN_FORCE_MAX_S * fixture.patience + OBSERVATION_S
    await asyncio.gather(
        check_zone_gets_nothing(fixture, "an evacuation is not undone", zone, began),
        *(Caller(fixture, 300 + n).run(until) for n in range(6)),
    )
    until = fixture.now() + ORDER_MAX_S * fixture.patience
    if not await fixture.operator.order(f"/v1/Evacuations.End/{zone}", until=until):
        fixture.ledger.record_violation("an evacuation's end is acknowledged", zone)


async def run_after_faults(fixture):
    """Ends all faults and checks that all hosts become healthy in time, then that an
    evacuation and a drain take effect while callers send requests."""
    for host in fixture.hosts:
        host.set_faults()
        host.signal(signal.SIGCONT)
        await fixture.start_again(host)
        for proxy in host.proxies() + [host.front, host.control]:
            proxy.heal()
    for replica in fixture.replicas:
        replica.proxy.heal()
        replica.is_faulty = False
        if replica.is_down:
            replica.restart()
    if not await wait_until_healthy(fixture):
        fixture.ledger.record_violation(
            "all hosts serve again in time", describe_unhealthy(fixture)
        )
        return
    await check_stays_evacuated(fixture)
    if not await builds.finish(fixture, wait_until_healthy):
        fixture.ledger.record_violation(
            "all hosts serve after their replacement", describe_unhealthy(fixture)
        )
        return
    await builds.check(fixture)
    await check_crashing_request(fixture)
    if not await wait_until_healthy(fixture):
        fixture.ledger.record_violation(
            "all hosts serve after a request crashed replicas", describe_unhealthy(fixture)
        )
        return
    await builds.check_state_after_crashes(fixture, wait_until_healthy)
    fixture.recovered_at = fixture.now()
    until = fixture.now() + (ORDER_MAX_S + IN_FORCE_MAX_S) * fixture.patience + OBSERVATION_S
    callers = [Caller(fixture, 100 + n) for n in range(6)]
    zones = list(ZONES)
    fixture.random_of("zones").shuffle(zones)
    leaving = next(replica for replica in fixture.replicas if replica.zone == zones[1])
    await asyncio.gather(
        evacuate(fixture, zones[0]),
        drain(fixture, leaving),
        *(caller.run(until) for caller in callers),
    )


async def check_crashing_request(fixture):
    """Sends a request that crashes each replica that runs it to one entry host after
    the other, beside other callers. Checks that it is soon refused everywhere."""
    until = fixture.now() + CRASHING_S * fixture.patience
    callers = [Caller(fixture, 200 + n) for n in range(4)]
    tasks = [asyncio.create_task(caller.run(until)) for caller in callers]
    statuses = {}
    number = 0
    while fixture.now() < until:
        host = fixture.entry_hosts[number % len(fixture.entry_hosts)]
        number += 1
        fields = {
            "Host": "h.example",
            "X-Api-Key": "k1",
            "Attempt-Id": f"crash-{number}",
            "Deadline-Ms": 4000,
        }
        status, _ = await http1.send_request(
            host.front.listen, "POST", "/i/crash?q=1", fields, CRASH_BODY, 5.0
        )
        statuses[host.name] = status
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    crashes = fixture.ledger.crashes
    bound = CRASHES_SEEN_MAX_S * fixture.patience + (crashes[2] if len(crashes) > 2 else 0)
    late = [at for at in crashes[3:] if at > bound]
    if len(late) > 3 or set(statuses.values()) != {503}:
        fixture.ledger.record_violation(
            "a request that crashes replicas is refused",
            f"{len(crashes)} crashes, {len(late)} of them late, last answers {statuses}",
        )


async def drain(fixture, replica):
    """Checks that a replica that announces that it drains is acknowledged, and soon
    afterwards gets no more requests."""
    until = fixture.now() + ORDER_MAX_S * fixture.patience
    replica.is_draining = True
    while replica.drain_acked_at is None:
        if fixture.now() > until:
            fixture.ledger.record_violation("a leaving replica is answered", replica.id)
            return
        await asyncio.sleep(0.05)
    await check_gets_nothing(
        fixture, "a leaving replica gets nothing", replica, replica.drain_acked_at
    )


async def evacuate(fixture, zone):
    """Checks that an evacuation of a zone is acknowledged in time, and that soon
    afterwards its replicas get no more requests."""
    until = fixture.now() + ORDER_MAX_S * fixture.patience
    if not await fixture.operator.order(f"/v1/Evacuations.Start/{zone}", until=until):
        fixture.ledger.record_violation("an evacuation is acknowledged", f"{zone} was not")
        return
    await check_zone_gets_nothing(
        fixture, "an evacuated zone gets nothing", zone, fixture.now()
    )


async def check_zone_gets_nothing(fixture, promise, zone, acked):
    await asyncio.gather(
        *(
            check_gets_nothing(fixture, promise, replica, acked)
            for replica in fixture.replicas
            if replica.zone == zone
        )
    )


async def check_gets_nothing(fixture, promise, replica, acked):
    """Checks that no request arrives at a replica later than IN_FORCE_MAX_S after the
    acknowledgement at the time `acked`."""
    in_force_max_s = IN_FORCE_MAX_S * fixture.patience
    await asyncio.sleep(max(0.0, acked + in_force_max_s + OBSERVATION_S - fixture.now()))
    late = [at for at in replica.arrivals if at > acked + in_force_max_s]
    if late:
        fixture.ledger.record_violation(
            promise,
            f"{replica.id} got {len(late)} requests, the first {late[0] - acked:.2f} s"
            " after the acknowledgement",
        )


async def wait_until_healthy(fixture):
    """Waits until all hosts are healthy; returns False if that takes too long."""
    until = fixture.now() + RECOVERY_MAX_S * fixture.patience
    while fixture.now() < until:
        if all(await asyncio.gather(*(is_healthy(fixture, host) for host in fixture.hosts))):
            return True
        await asyncio.sleep(0.2)
    return False


async def is_healthy(fixture, host):
    """Returns whether a host has the newest acknowledged configuration and, if it is
    an entry host, reports itself ready."""
    if host.role == "control":
        return await fixture.operator.read_config(host)
    version = max(1, fixture.ledger.acked_version)
    return await host.is_ready() and await fixture.operator.has_version(host, version)


def describe_unhealthy(fixture):
    states = [
        f"{host.name} {'runs' if host.process.returncode is None else 'has ended'}"
        for host in fixture.hosts
    ]
    return f"version {fixture.ledger.acked_version}; " + ", ".join(states)


async def check_end(fixture):
    """Checks that reservations made after the recovery were released, and that
    planned stops of all hosts end cleanly."""
    await asyncio.sleep(1.0)
    for replica in fixture.replicas:
        # Reservations made before the recovery aren't checked: a host that was killed
        # can't release its reservations, so that they expire instead.
        made = replica.expired_reservations + [made for made, _ in replica.reserved.values()]
        late = [at for at in made if at > fixture.recovered_at]
        if late:
            fixture.ledger.record_violation(
                "reserved memory is given back",
                f"{replica.id} holds {list(replica.reserved)}, made at {late}",
            )
    await asyncio.gather(*(host.stop() for host in fixture.hosts))


def check_logs(fixture):
    """Checks that every complete line in the hosts' logs begins as a log record; a
    last line without a line end may be cut short by a kill."""
    for host in fixture.hosts:
        with open(f"{fixture.folder}/{host.name}.log", encoding="utf-8", errors="replace") as file:
            for line in file:
                if not line.startswith('{"time":') and line.endswith("\n"):
                    fixture.ledger.record_violation(
                        "logs are JSON lines", f"{host.name}: {line[:200]}"
                    )
                    break


def run_seed(programs, seed, slot, arguments, prints):
    """Runs one seed and prints the violations; returns True if there were none.
    With `prints` the schedule and the outcomes of requests are printed as well."""
    folder = tempfile.mkdtemp(prefix=f"soak-{seed}-")
    ledger = asyncio.run(run_scenario(programs, seed, slot, folder, arguments.patience, prints))
    counts = ledger.outcomes + ledger.faults
    outcomes = json.dumps(dict(sorted(counts.items()))) if prints else ""
    print(f"seed {seed}: {len(ledger.runs)} runs, {len(ledger.violations)} broken {outcomes}")
    for violation in ledger.violations[:12]:
        print(f"    {violation}")
    if ledger.violations or arguments.keep:
        print(f"    logs in {folder}")
    else:
        shutil.rmtree(folder)
    sys.stdout.flush()
    return not ledger.violations


def run_all(arguments, programs, seeds):
    """Runs each seed in a process of its own, at most `arguments.jobs` at a time.
    Returns True if no seed failed."""
    failed = []
    running = {}
    queue = list(seeds)
    slots = [arguments.slot + job for job in range(arguments.jobs)]
    while running or (queue and not (failed and arguments.until_failure)):
        while queue and slots and not (failed and arguments.until_failure):
            slot, seed = slots.pop(), queue.pop(0)
            child = os.fork()
            if child == 0:
                os._exit(0 if run_seed(programs, seed, slot, arguments, False) else 1)
            running[child] = (slot, seed)
        child, status = os.wait()
        slot, seed = running.pop(child)
        slots.append(slot)
        if status != 0:
            failed.append(seed)
    print(f"{len(seeds) - len(queue)} seeds, {len(failed)} failed: {failed}")
    return not failed


def read_seeds(path):
    with open(path, encoding="utf-8") as file:
        return [int(line.split()[0]) for line in file if line.strip() and line[0] != "#"]


def main():
    parser = argparse.ArgumentParser(
        description="Injects faults drawn from seeds into the real programs."
    )
    parser.add_argument("build")
    parser.add_argument("--seed", type=int)
    parser.add_argument("--old", metavar="DIR", help="build folder of an earlier commit")
    parser.add_argument("--upgrade", choices=builds.MODES, default="mix")
    parser.add_argument("--seeds", type=int, nargs=2, metavar=("FIRST", "COUNT"))
    parser.add_argument("--file")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument(
        "--slot", type=int, default=0, help="first slot; soaks side by side need others"
    )
    parser.add_argument(
        "--patience",
        type=float,
        default=1,
        help="factor for all time limits, for slow builds and machines",
    )
    parser.add_argument("--keep", action="store_true", help="keep logs of passed seeds too")
    parser.add_argument(
        "--until-failure", action="store_true", help="start no more seeds after a failed one"
    )
    arguments = parser.parse_args()
    present = os.path.abspath(f"{arguments.build}/chicorytack-soak")
    earlier = arguments.old and builds.find_program(arguments.old)
    programs = (present, earlier, arguments.upgrade)
    if arguments.seed is not None:
        return run_seed(programs, arguments.seed, arguments.slot, arguments, True)
    if arguments.file is not None:
        return run_all(arguments, programs, read_seeds(arguments.file))
    first, count = arguments.seeds or (1, 4)
    return run_all(arguments, programs, range(first, first + count))


if __name__ == "__main__":
    sys.exit(0 if main() else 1)
