"""The control hosts are stopped as planned and started again, one after the other. Each
stop comes right after its host has acknowledged that a replica leaves. The host ends
without telling the others, so entry hosts go on sending requests to that replica."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "tools"))

import fleet as deployment

RESTART_S = 0.5  # Between the end of a process and its next start.
WATCH_S = 3.0


async def stop_and_start(host):
    host.signal(signal.SIGTERM)
    await asyncio.wait_for(host.process.wait(), deployment.GRACE_S + 1)
    host.fleet.note(f"{host.name} ended with {host.process.returncode}")
    await asyncio.sleep(RESTART_S)
    await host.start()


async def leave(fleet, host, replica, has_trouble):
    """Lets a replica leave over this host. Returns how many requests ran on it late."""
    acked_by = await replica.deregister()
    acked_at = fleet.now()
    if acked_by is not host:
        raise deployment.CannotRun("another host has acknowledged the deregistration")
    if has_trouble:
        await stop_and_start(host)
    fleet.note(f"{replica.id} was deregistered at {acked_at:.3f}, acknowledged by {host.name}")
    judged_from = max(acked_at + deployment.DRAIN_S, fleet.now() + deployment.CONTACT_S)
    await asyncio.sleep(judged_from + WATCH_S - fleet.now())
    late = [run for run in replica.runs if run[0] > judged_from]
    served = sum(1 for other in fleet.replicas for run in other.runs if run[0] > judged_from)
    fleet.note(f"{len(late)} of {served} requests after {judged_from:.3f} ran on {replica.id}")
    if served == 0:
        raise deployment.CannotRun("no request is served")
    await replica.stop()
    return len(late)


async def case(fleet, has_trouble):
    leaving = fleet.replicas[: len(fleet.controls)]
    for host, replica in zip(fleet.controls, leaving):
        # The replica keeps to the host that acknowledges its heartbeats.
        replica.controls.remove(host)
        replica.controls.insert(0, host)
    await fleet.begin_traffic(20)
    await asyncio.sleep(2 * deployment.CONTACT_S)
    late = {}
    for host, replica in zip(fleet.controls, leaving):
        late[replica.id] = await leave(fleet, host, replica, has_trouble)
    broken = {name: count for name, count in late.items() if count}
    if broken:
        return f"DRAIN: requests that ran on replicas that had left: {broken}"
    return None


deployment.run(HERE, case, replicas_per_zone=3)
