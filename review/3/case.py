"""Entry hosts are stopped as planned and started again, two of the three of a zone at a time.
A host that has found itself idle ends, although a request has come in meanwhile and was passed
on to a replica: its channel is reset without an answer."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "tools"))

import fleet as deployment
import http1

ROUNDS = 13
GAP_S = 1.0  # Between two stops of a round, as on the site.
RESTART_S = 0.5
CALM_S = 1.5  # Between two rounds.
CLIENTS = 20
PAUSE_S = 0.3  # Of a client between two requests, on average.


class Balancer:
    """The platform's entry: probes readiness once a second, and spreads new channels."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.misses = {host: 0 for host in fleet.entries}

    async def probe(self, host):
        while True:
            began = self.fleet.now()
            status, _, _ = await http1.call(host.readiness, "GET", "/v1/ready")
            misses = 0 if status == 200 else self.misses[host] + 1
            if (misses < 2) != (self.misses[host] < 2):
                self.fleet.note(f"{host.name} is {'in' if misses < 2 else 'out of'} rotation")
            self.misses[host] = misses
            await asyncio.sleep(max(0, began + 1 - self.fleet.now()))

    def pick(self):
        hosts = self.fleet.entries
        ready = [host for host in hosts if self.misses[host] < 2]
        # With fewer than half of them in rotation all hosts of the zone are used.
        return self.fleet.random.choice(ready if 2 * len(ready) >= len(hosts) else hosts)


class Stops:
    """When which host got SIGTERM."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.at = {}

    async def restart(self, host):
        self.at[host] = self.fleet.now()
        host.signal(signal.SIGTERM)
        await asyncio.wait_for(host.process.wait(), deployment.GRACE_S + 1)
        self.fleet.note(f"{host.name} ended with {host.process.returncode}")
        await asyncio.sleep(RESTART_S)
        await host.start()
        while (await http1.call(host.readiness, "GET", "/v1/ready"))[0] != 200:
            await asyncio.sleep(0.1)


async def case(fleet, has_trouble):
    balancer, stops, lost = Balancer(fleet), Stops(fleet), []

    async def run_client():
        while True:
            await asyncio.sleep(fleet.random.uniform(0, 2 * PAUSE_S))
            host = balancer.pick()
            attempt, status = await fleet.request(host, "/book/2f")
            stopped = stops.at.get(host)
            if status != 0 or stopped is None:
                continue
            ran = [run for replica in fleet.replicas for run in replica.runs if run[1] == attempt]
            since = fleet.now() - stopped
            if ran and since < deployment.GRACE_S + 1:
                fleet.note(f"{attempt} ran and got no answer, {since:.3f} s after the SIGTERM")
                lost.append(since)

    await fleet.begin_traffic(6)
    fleet.traffic_task.cancel()
    tasks = [asyncio.create_task(balancer.probe(host)) for host in fleet.entries]
    tasks += [asyncio.create_task(run_client()) for _ in range(CLIENTS)]
    try:
        await asyncio.sleep(2 * deployment.CONTACT_S)
        for number in range(ROUNDS):
            pair = [fleet.entries[(number + n) % 3] for n in range(2)]
            restarts = []
            for host in pair if has_trouble else ():
                restarts.append(asyncio.create_task(stops.restart(host)))
                await asyncio.sleep(GAP_S)
            await asyncio.gather(*restarts)
            await asyncio.sleep(CALM_S)
    finally:
        for task in tasks:
            task.cancel()
    if lost:
        return f"LOST: {len(lost)} requests were passed on and got no answer, {lost[0]:.2f} s after a SIGTERM"
    return None


deployment.run(HERE, case, entry_zones=("regina", "regina", "regina"))
