"""A replica that restarts under its id and leaves at once is used again, because
a late ping of its new lifetime undoes the acknowledged Deregister."""
import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import fleet as f  # noqa: E402

DRAIN_S = 2.0       # bounds.drainMs
PING_LATE_S = 4.0   # how late the first ping of the new lifetime arrives
SERVES_ON_S = 12.0  # the replica serves on for so long after the ack
CLIENTS = 4


async def delay_proxy(target_ip, target_port, delay_s):
    """A proxy that passes what it gets on after a delay; returns its port."""
    async def serve(reader, writer):
        data = await reader.read(65536)
        await asyncio.sleep(delay_s)
        try:
            there, back = await asyncio.open_connection(target_ip, target_port)
            back.write(data)
            await back.drain()
            answer = await asyncio.wait_for(there.read(65536), 2)
            proxy.answers.append(answer.split(b"\r\n", 1)[0].decode())
            back.close()
            writer.write(answer)
            await writer.drain()
        except (OSError, asyncio.TimeoutError):
            pass
        writer.close()
    proxy = await asyncio.start_server(serve, target_ip, 0)
    proxy.answers = []
    return proxy, proxy.sockets[0].getsockname()[1]


async def load(fleet, name, entry, until):
    client = f.Client(fleet, entry, name)
    served = 0
    while time.monotonic() < until:
        status, _ = await client.call("/book/", b"x" * 200, deadline_ms=2500)
        served += status == 200
        await asyncio.sleep(0.05)
    client.close()
    return served


async def play(fleet, trouble):
    record = fleet.record
    await asyncio.to_thread(fleet.put_config, f.make_config(
        3, [("/book/", "non_idempotent", "huvo11a", {"maxAttempts": 1})],
        [("huvo11a", {})]))
    stays = f.Replica(fleet, "i-stays", "huvo11a", fleet.ip(101), "regina")
    leaves = f.Replica(fleet, "i-leaves", "huvo11a", fleet.ip(102), "regina")
    await stays.listen()
    await leaves.listen()
    tasks = [asyncio.create_task(stays.keep_pinging()),
             asyncio.create_task(leaves.keep_pinging())]
    await asyncio.to_thread(fleet.await_ready)
    await asyncio.sleep(4)

    # The replica crashes and starts again under its id.
    tasks[1].cancel()
    await leaves.close()
    record.write("replica i-leaves crashes")
    await asyncio.sleep(1.5)
    again = f.Replica(fleet, "i-leaves", "huvo11a", fleet.ip(102), "regina")
    again.sequence = 0
    await again.listen()
    record.write("replica i-leaves starts again, born %d" % again.born)

    # Its first ping: late, or at once.
    first, second = fleet.controls[3], fleet.controls[4]
    proxy, port = await delay_proxy(
        fleet.ip(first), fleet.control_port, PING_LATE_S if trouble else 0.0)
    body = again.ping_body()
    ping = asyncio.create_task(asyncio.to_thread(
        f.http_call, fleet.ip(first), port, "POST",
        "/v1/Replicas.Heartbeat/i-leaves", body, 1.0))
    record.write("first ping of the new lifetime sent to host %d" % first)
    await asyncio.sleep(0.5)

    # It is told to leave: it sends Deregister first and serves on.
    until = time.monotonic() + 5
    status = 0
    while status != 200 and time.monotonic() < until:
        status, _ = await asyncio.to_thread(
            fleet.call_control, second, "POST",
            "/v1/Replicas.Deregister/i-leaves",
            json.dumps({"born": again.born}), 1.0)
        record.write("Deregister of i-leaves sent to host %d: %d" %
                     (second, status))
    if status != 200:
        raise f.CannotRun("Deregister was not acknowledged")
    acked = record.now()
    loads = [asyncio.create_task(load(
        fleet, "c%d" % n, fleet.entries[n % len(fleet.entries)],
        time.monotonic() + SERVES_ON_S - 1)) for n in range(CLIENTS)]
    await asyncio.sleep(SERVES_ON_S)
    served = sum([await task for task in loads])
    record.write("the late ping was answered %s" % proxy.answers)
    await again.close()
    tasks[0].cancel()
    if served < 50:
        raise f.CannotRun("only %d requests were served" % served)
    late = [run for run in again.runs if run[0] > acked + DRAIN_S]
    if late:
        return ("%d requests reached i-leaves later than drainMs after its "
                "acknowledged Deregister, the last one %.1f s after the ack" %
                (len(late), late[-1][0] - acked))
    return None


sys.exit(f.run_case(HERE, play))
