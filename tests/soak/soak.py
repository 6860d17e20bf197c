#!/usr/bin/env python3
"""Seeded faults from outside against the real programs; see docs/PROOFS.md.

    soak.py BUILD_DIR --seeds FIRST COUNT [--jobs N] [--keep]
    soak.py BUILD_DIR --seed N            one seed, with its schedule printed
    soak.py BUILD_DIR --file FILE         the seeds of a file, one a line

Each seed draws how many hosts there are, what callers and the operator do, and
which faults come when. It ends with 0 if every promise was kept.
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

import faults
from callers import Caller
from cluster import ZONES, Host
from ledger import Ledger
from operator_calls import Operator
from replicas import Replica

FAULTS_S = 10.0  # Faults come for so long.
RECOVERY_S = 15.0  # From the last fault until all is well again.
ORDER_S = 5.0  # An evacuation is acknowledged in this time.
DRAIN_S = 2.0  # And in force in this one.
WATCH_S = 1.5
HOSTS = ((3, 2), (3, 3), (5, 2), (5, 4))  # Control hosts and entry hosts.
REPLICA_PORT = 26000


class World:
    """Everything that one seed plays with."""

    def __init__(self, program, seed, slot, folder, patience):
        self.program = program
        self.patience = patience  # Bounds are this many times as long.
        self.seed = seed
        self.slot = slot
        self.folder = folder
        self.started = time.monotonic()
        self.calm_at = float("inf")  # From then on nothing is disturbed.
        self.ledger = Ledger(self.now)
        shape = self.random_of("shape")
        controls, entries = shape.choice(HOSTS)
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
        return random.Random(f"{self.seed} {purpose}")

    def ip(self, number):
        return f"127.{100 + self.slot}.7.{number}"

    def host(self, name):
        return next(host for host in self.hosts if host.name == name)

    def replica(self, name):
        return next(replica for replica in self.replicas if replica.name == name)

    def control_addresses(self, source):
        hosts = list(self.control_hosts)
        source.shuffle(hosts)
        return [host.control.listen for host in hosts]

    async def start_again(self, host):
        """Starts a host that is down, unless another fault keeps it there, or is
        just starting it too."""
        if host.is_stopped or host.is_starting or host.process.returncode is None:
            return
        await host.start()


async def play_seed(program, seed, slot, folder, patience, prints):
    world = World(program, seed, slot, folder, patience)
    schedule = faults.draw_schedule(world.random_of("faults"), world, FAULTS_S)
    if prints:
        print(f"{len(world.control_hosts)} control hosts, {len(world.entry_hosts)} entry hosts")
        for at, name, target, seconds in schedule:
            print(f"  {at:6.2f} s {name} {target} for {seconds:.2f} s")
    try:
        await start_all(world)
        if not world.ledger.violations:
            await trouble(world, schedule)
            await calm(world)
            await judge_end(world)
    finally:
        await asyncio.gather(*(host.kill() for host in world.hosts))
    world.ledger.judge_runs()
    check_logs(world)
    return world.ledger


async def start_all(world):
    for host in world.hosts:
        host.set_faults()
        await host.start_proxies()
    for replica in world.replicas:
        await replica.start()
    await asyncio.gather(*(host.start(is_first=True) for host in world.hosts))
    await world.operator.put_next(world.now() + RECOVERY_S * world.patience)
    if not await wait_until_well(world):
        world.ledger.violate("all hosts serve at the start", describe_unwell(world))


async def trouble(world, schedule):
    world.started = time.monotonic()
    until = FAULTS_S
    callers = [Caller(world, n) for n in range(12)]
    await asyncio.gather(
        faults.play(world, schedule),
        world.operator.change_things(until),
        world.operator.read_back(until + 2),
        world.operator.look_at_entry(until + 2),
        *(caller.run(until + 2) for caller in callers),
    )


async def calm(world):
    """All faults have ended: everything is well again in time, and stays so."""
    for host in world.hosts:
        host.set_faults()
        host.signal(signal.SIGCONT)
        await world.start_again(host)
        for proxy in host.proxies() + [host.front, host.control]:
            proxy.heal()
    for replica in world.replicas:
        replica.proxy.heal()
        replica.is_faulty = False
        if replica.is_down:
            replica.restart()
    if not await wait_until_well(world):
        world.ledger.violate("all hosts serve again in time", describe_unwell(world))
        return
    world.calm_at = world.now()
    until = world.now() + (ORDER_S + DRAIN_S) * world.patience + WATCH_S
    callers = [Caller(world, 100 + n) for n in range(6)]
    zones = list(ZONES)
    world.random_of("zones").shuffle(zones)
    leaving = next(replica for replica in world.replicas if replica.zone == zones[1])
    await asyncio.gather(
        evacuate(world, zones[0]),
        drain(world, leaving),
        *(caller.run(until) for caller in callers),
    )


async def drain(world, replica):
    """A replica that says it leaves gets nothing some time after the answer."""
    until = world.now() + ORDER_S * world.patience
    replica.is_draining = True
    while replica.drain_acked_at is None:
        if world.now() > until:
            world.ledger.violate("a leaving replica is answered", replica.id)
            return
        await asyncio.sleep(0.05)
    await gets_nothing(world, "a leaving replica gets nothing", replica, replica.drain_acked_at)


async def evacuate(world, zone):
    until = world.now() + ORDER_S * world.patience
    if not await world.operator.order(f"/v1/Evacuations.Start/{zone}", until=until):
        world.ledger.violate("an evacuation is acknowledged", f"{zone} was not")
        return
    acked = world.now()
    await asyncio.gather(
        *(
            gets_nothing(world, "an evacuated zone gets nothing", replica, acked)
            for replica in world.replicas
            if replica.zone == zone
        )
    )


async def gets_nothing(world, promise, replica, acked):
    """No request arrives there any more, some time after the acknowledgement."""
    drain_s = DRAIN_S * world.patience
    await asyncio.sleep(max(0.0, acked + drain_s + WATCH_S - world.now()))
    late = [at for at in replica.arrivals if at > acked + drain_s]
    if late:
        world.ledger.violate(
            promise, f"{replica.id} got {len(late)} requests {late[0] - acked:.2f} s after it"
        )


async def wait_until_well(world):
    until = world.now() + RECOVERY_S * world.patience
    while world.now() < until:
        if all(await asyncio.gather(*(is_well(world, host) for host in world.hosts))):
            return True
        await asyncio.sleep(0.2)
    return False


async def is_well(world, host):
    if host.role == "control":
        return await world.operator.read_config(host)
    version = max(1, world.ledger.acked_version)
    return await host.is_ready() and await world.operator.knows_version(host, version)


def describe_unwell(world):
    states = [
        f"{host.name} {'runs' if host.process.returncode is None else 'is gone'}"
        for host in world.hosts
    ]
    return f"version {world.ledger.acked_version}; " + ", ".join(states)


async def judge_end(world):
    """What was set aside is given back; planned stops end cleanly."""
    await asyncio.sleep(1.0)
    for replica in world.replicas:
        # A host that was killed can't give back: its reservations run out.
        made = replica.left_behind + [made for made, _ in replica.reserved.values()]
        late = [at for at in made if at > world.calm_at]
        if late:
            world.ledger.violate(
                "reserved memory is given back",
                f"{replica.id} holds {list(replica.reserved)}, made at {late}",
            )
    await asyncio.gather(*(host.stop() for host in world.hosts))


def check_logs(world):
    for host in world.hosts:
        with open(f"{world.folder}/{host.name}.log", encoding="utf-8", errors="replace") as file:
            for line in file:
                if not line.startswith('{"time":') and line.endswith("\n"):
                    world.ledger.violate("logs are JSON lines", f"{host.name}: {line[:200]}")
                    break


def run_seed(program, seed, slot, arguments, prints):
    """Plays one seed; prints what was broken. True if nothing was."""
    folder = tempfile.mkdtemp(prefix=f"soak-{seed}-")
    ledger = asyncio.run(play_seed(program, seed, slot, folder, arguments.patience, prints))
    outcomes = json.dumps(dict(sorted(ledger.outcomes.items()))) if prints else ""
    print(f"seed {seed}: {len(ledger.runs)} runs, {len(ledger.violations)} broken {outcomes}")
    for violation in ledger.violations[:12]:
        print(f"    {violation}")
    if ledger.violations or arguments.keep:
        print(f"    logs in {folder}")
    else:
        shutil.rmtree(folder)
    sys.stdout.flush()
    return not ledger.violations


def run_all(arguments, program, seeds):
    """Each seed in a process of its own, so many at a time."""
    failed = []
    running = {}
    queue = list(seeds)
    slots = list(range(arguments.jobs))
    while running or (queue and not (failed and arguments.until_failure)):
        while queue and slots and not (failed and arguments.until_failure):
            slot, seed = slots.pop(), queue.pop(0)
            child = os.fork()
            if child == 0:
                os._exit(0 if run_seed(program, seed, slot, arguments, False) else 1)
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
    parser = argparse.ArgumentParser(description="Seeded faults against the real programs.")
    parser.add_argument("build")
    parser.add_argument("--seed", type=int)
    parser.add_argument("--seeds", type=int, nargs=2, metavar=("FIRST", "COUNT"))
    parser.add_argument("--file")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument(
        "--patience", type=float, default=1, help="times the bounds, for slow builds and machines"
    )
    parser.add_argument("--keep", action="store_true", help="keeps logs of good seeds too")
    parser.add_argument("--until-failure", action="store_true", help="begins no seed after it")
    arguments = parser.parse_args()
    program = os.path.abspath(f"{arguments.build}/chicorytack-soak")
    if arguments.seed is not None:
        return run_seed(program, arguments.seed, 0, arguments, True)
    if arguments.file is not None:
        return run_all(arguments, program, read_seeds(arguments.file))
    first, count = arguments.seeds or (1, 4)
    return run_all(arguments, program, range(first, first + count))


if __name__ == "__main__":
    sys.exit(0 if main() else 1)
