"""Which faults come when: drawn from the seed, printed, played."""

import asyncio
import signal

QUIET_AFTER_WIPE_S = 6.0  # A voter that lost its disk is caught up by then.

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


def draw_schedule(random, world, length_s):
    """A list of (time, fault, target, seconds), in order of time."""
    schedule = []
    controls = [host.name for host in world.control_hosts]
    entries = [host.name for host in world.entry_hosts]
    replicas = [replica.name for replica in world.replicas]
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
    return sorted(schedule)


async def play(world, schedule):
    """Plays a schedule; faults overlap, this ends when all have ended."""
    tasks = []
    for time, name, target, seconds in schedule:
        await asyncio.sleep(max(0.0, time - world.now()))
        tasks.append(asyncio.create_task(FAULTS[name](world, target, seconds)))
    await asyncio.gather(*tasks)


async def kill(world, target, seconds):
    host = world.host(target)
    await host.kill()
    await asyncio.sleep(seconds)
    await world.start_again(host)


async def kill_some(world, hosts, seconds):
    for host in hosts:
        host.signal(signal.SIGKILL)
    await asyncio.gather(*(host.kill() for host in hosts))
    await asyncio.sleep(seconds)
    for host in hosts:
        await world.start_again(host)


async def kill_control(world, _, seconds):
    await kill_some(world, world.control_hosts, seconds)


async def kill_entry(world, _, seconds):
    await kill_some(world, world.entry_hosts, seconds)


async def kill_all(world, _, seconds):
    await kill_some(world, world.hosts, seconds)


async def wipe(world, target, seconds):
    """Power and disk are lost right after an order was acknowledged."""
    host = world.host(target)
    await world.operator.put_next(world.now() + 2.0)
    await host.wipe()
    await asyncio.sleep(seconds)
    await world.start_again(host)


async def pause(world, target, seconds):
    await world.host(target).pause(seconds)


async def stop(world, target, seconds):
    host = world.host(target)
    if host.is_stopped or host.process.returncode is not None:
        return
    host.is_stopped = True
    await host.stop()
    host.is_stopped = False
    await asyncio.sleep(seconds / 4)
    await world.start_again(host)


async def reload(world, target, _):
    host = world.host(target)
    host.write_settings(False)
    host.signal(signal.SIGHUP)


async def with_faults(world, target, seconds, **faults):
    host = world.host(target)
    host.set_faults(**faults)
    await asyncio.sleep(seconds)
    host.set_faults()


async def disk_slow(world, target, seconds):
    await with_faults(world, target, seconds, sync_ms=int(seconds * 100))


async def disk_full(world, target, seconds):
    await with_faults(world, target, seconds, is_full=1)


async def clock(world, target, seconds):
    await with_faults(world, target, seconds, clock_ms=int((seconds - 1) * 60000))


async def with_proxies(proxies, seconds, **settings):
    for proxy in proxies:
        for name, value in settings.items():
            setattr(proxy, name, value)
    await asyncio.sleep(seconds)
    for proxy in proxies:
        proxy.heal()


async def peer_reset(world, target, _):
    for proxy in world.host(target).proxies():
        proxy.reset()


async def peer_delay(world, target, seconds):
    await with_proxies(world.host(target).proxies(), seconds, delay_s=seconds / 10)


async def peer_cut(world, target, seconds):
    proxies = world.host(target).proxies()
    await with_proxies(proxies, seconds * 1.5, holds_up=True, holds_down=True)


async def peer_cut_up(world, target, seconds):
    await with_proxies(world.host(target).proxies(), seconds * 1.5, holds_up=True)


async def peer_cut_down(world, target, seconds):
    await with_proxies(world.host(target).proxies(), seconds * 1.5, holds_down=True)


async def front_reset(world, target, _):
    world.host(target).front.reset()


async def front_delay(world, target, seconds):
    await with_proxies([world.host(target).front], seconds, delay_s=seconds / 20)


async def control_reset(world, target, seconds):
    proxy = world.host(target).control
    proxy.reset()
    await with_proxies([proxy], seconds, refuses=True)


async def replica_crash(world, target, seconds):
    replica = world.replica(target)
    replica.crash()
    await asyncio.sleep(seconds)
    replica.restart()


async def replica_drain(world, target, seconds):
    replica = world.replica(target)
    replica.is_draining = True
    await asyncio.sleep(1.0 + seconds)
    replica.crash()
    await asyncio.sleep(seconds / 2)
    replica.restart()


async def replica_reset(world, target, _):
    world.replica(target).proxy.reset()


async def replica_hold(world, target, seconds):
    await with_proxies([world.replica(target).proxy], seconds, holds_up=True, holds_down=True)


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
