"""Draws a schedule of faults from the seed and injects them at their times.

The names of the functions that inject faults are the names of the faults in
schedules and in the output.
"""

import asyncio
import signal

# Within this time before and after the loss of a control host's disk, the draws of
# faults for control hosts, for the connections between hosts and for all hosts at
# once go to replicas instead. The voter without its data has caught up by then.
QUIET_AFTER_WIPE_S = 6.0

# Faults for each kind of target. A name that is listed twice is drawn twice as
# often.
ENTRY_FAULTS = ("kill", "kill", "pause", "stop", "reload", "front_reset", "front_delay", "clock")
CONTROL_FAULTS = (
    "kill",
    "kill",
    "pause",
    "stop",
    "reload",
    "disk_slow",
    "disk_full",
    "clock",
    "control_reset",
)
PEER_FAULTS = ("peer_reset", "peer_delay", "peer_cut", "peer_cut_up", "peer_cut_down")
REPLICA_FAULTS = ("replica_crash", "replica_drain", "replica_reset", "replica_hold")
ALL_FAULTS = ("kill_control", "kill_entry", "kill_all")


def draw_schedule(random, fixture, length_s):
    """Returns a list of (time, fault, target, duration), ordered by time.

    Times and durations are in seconds. At most one fault is the loss of a
    control host's disk.
    """
    schedule = []
    controls = [host.name for host in fixture.control_hosts]
    entries = [host.name for host in fixture.entry_hosts]
    replicas = [replica.name for replica in fixture.replicas]
    wipe_at = random.uniform(2.0, length_s - 3.0) if random.random() < 0.4 else None
    if wipe_at is not None:
        schedule.append((wipe_at, "wipe", random.choice(controls), random.uniform(0.1, 1.0)))
    time = 0.5
    while (time := time + random.expovariate(1.6)) < length_s:
        kind = random.choices(("entry", "control", "peer", "replica", "all"), (4, 4, 4, 4, 1))[0]
        spared = wipe_at is not None and abs(time - wipe_at) < QUIET_AFTER_WIPE_S
        if spared and kind in ("control", "peer", "all"):
            kind = "replica"
        target, names = {
            "entry": (entries, ENTRY_FAULTS),
            "control": (controls, CONTROL_FAULTS),
            "peer": (controls + entries, PEER_FAULTS),
            "replica": (replicas, REPLICA_FAULTS),
            "all": (["-"], ALL_FAULTS),
        }[kind]
        item = (time, random.choice(names), random.choice(target), random.uniform(0.2, 2.0))
        schedule.append(item)
    # Drawn apart, so that the faults of the recorded seeds stay what they are.
    path = fixture.random_of("path")
    for _ in range(path.randrange(3)):
        item = (path.uniform(0.5, length_s), "no_path", path.choice(entries), path.uniform(0.5, 2))
        schedule.append(item)
    return sorted(schedule)


async def run_schedule(fixture, schedule):
    """Injects the faults of a schedule, which may overlap, and waits until all of
    them have ended."""
    tasks = []
    for time, name, target, seconds in schedule:
        await asyncio.sleep(max(0.0, time - fixture.now()))
        tasks.append(asyncio.create_task(FAULTS[name](fixture, target, seconds)))
    await asyncio.gather(*tasks)


async def kill(fixture, target, seconds):
    host = fixture.host(target)
    await host.kill()
    await asyncio.sleep(seconds)
    await fixture.start_again(host)


async def kill_some(fixture, hosts, seconds):
    """Kills hosts at the same time and starts them again after some seconds."""
    for host in hosts:
        host.signal(signal.SIGKILL)
    await asyncio.gather(*(host.kill() for host in hosts))
    await asyncio.sleep(seconds)
    for host in hosts:
        await fixture.start_again(host)


async def kill_control(fixture, _, seconds):
    await kill_some(fixture, fixture.control_hosts, seconds)


async def kill_entry(fixture, _, seconds):
    await kill_some(fixture, fixture.entry_hosts, seconds)


async def kill_all(fixture, _, seconds):
    await kill_some(fixture, fixture.hosts, seconds)


async def wipe(fixture, target, seconds):
    """Kills a control host and deletes its disk right after a new configuration was
    acknowledged: the acknowledged configuration must not be lost with it."""
    host = fixture.host(target)
    await fixture.operator.put_next_config(fixture.now() + 2.0)
    await host.wipe()
    await asyncio.sleep(seconds)
    await fixture.start_again(host)


async def pause(fixture, target, seconds):
    await fixture.host(target).pause(seconds)


async def stop(fixture, target, seconds):
    host = fixture.host(target)
    if host.is_stopped or host.process.returncode is not None:
        return
    host.is_stopped = True
    await host.stop()
    host.is_stopped = False
    await asyncio.sleep(seconds / 4)
    await fixture.start_again(host)


async def reload(fixture, target, _):
    host = fixture.host(target)
    host.write_settings(False)
    host.signal(signal.SIGHUP)


async def with_faults(fixture, target, seconds, **faults):
    """Sets faults inside a host's process for some seconds; see Host.set_faults()."""
    host = fixture.host(target)
    host.set_faults(**faults)
    await asyncio.sleep(seconds)
    host.set_faults()


async def disk_slow(fixture, target, seconds):
    await with_faults(fixture, target, seconds, sync_ms=int(seconds * 100))


async def disk_full(fixture, target, seconds):
    await with_faults(fixture, target, seconds, is_full=1)


async def clock(fixture, target, seconds):
    await with_faults(fixture, target, seconds, clock_ms=int((seconds - 1) * 60000))


async def no_path(fixture, target, seconds):
    await with_faults(fixture, target, seconds, no_path=1)


async def with_proxies(proxies, seconds, **settings):
    """Sets attributes of proxies for some seconds, then ends all their faults."""
    for proxy in proxies:
        for name, value in settings.items():
            setattr(proxy, name, value)
    await asyncio.sleep(seconds)
    for proxy in proxies:
        proxy.heal()


async def peer_reset(fixture, target, _):
    for proxy in fixture.host(target).proxies():
        proxy.reset()


async def peer_delay(fixture, target, seconds):
    await with_proxies(fixture.host(target).proxies(), seconds, delay_s=seconds / 10)


async def peer_cut(fixture, target, seconds):
    proxies = fixture.host(target).proxies()
    await with_proxies(proxies, seconds * 1.5, holds_up=True, holds_down=True)


async def peer_cut_up(fixture, target, seconds):
    await with_proxies(fixture.host(target).proxies(), seconds * 1.5, holds_up=True)


async def peer_cut_down(fixture, target, seconds):
    await with_proxies(fixture.host(target).proxies(), seconds * 1.5, holds_down=True)


async def front_reset(fixture, target, _):
    fixture.host(target).front.reset()


async def front_delay(fixture, target, seconds):
    await with_proxies([fixture.host(target).front], seconds, delay_s=seconds / 20)


async def control_reset(fixture, target, seconds):
    proxy = fixture.host(target).control
    proxy.reset()
    await with_proxies([proxy], seconds, refuses=True)


async def replica_crash(fixture, target, seconds):
    replica = fixture.replica(target)
    replica.crash()
    await asyncio.sleep(seconds)
    replica.restart()


async def replica_drain(fixture, target, seconds):
    replica = fixture.replica(target)
    replica.is_draining = True
    await asyncio.sleep(1.0 + seconds)
    replica.crash()
    await asyncio.sleep(seconds / 2)
    replica.restart()


async def replica_reset(fixture, target, _):
    fixture.replica(target).proxy.reset()


async def replica_hold(fixture, target, seconds):
    await with_proxies([fixture.replica(target).proxy], seconds, holds_up=True, holds_down=True)


FAULTS = {
    function.__name__: function
    for function in (
        kill,
        kill_control,
        kill_entry,
        kill_all,
        wipe,
        pause,
        stop,
        reload,
        disk_slow,
        disk_full,
        clock,
        no_path,
        peer_reset,
        peer_delay,
        peer_cut,
        peer_cut_up,
        peer_cut_down,
        front_reset,
        front_delay,
        control_reset,
        replica_crash,
        replica_drain,
        replica_reset,
        replica_hold,
    )
}
