"""A configuration with a route that has no name is acknowledged, and each request
on that route ends the entry host that gets it."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import fleet as f  # noqa: E402

CLIENTS = 4          # for each entry host, each with a kept connection
LOST_ALLOWED = 3     # RULES.md, LOST: "more than three times"
WORK_S = 0.8         # of a replica on a booking
ENGINE = {"slots": 16, "kvCapacityTokens": 405000, "kvTokenBytes": 163840,
          "linkMbps": 400000.0, "stride": 34, "models": [{"name": "m"}],
          "step_ms": 1.31, "per_seq_ms": 0.000917, "context_per_k": 0.00213,
          "read_per_s": 154000.0, "pairs_per_m": 0.162, "chunk": 2048,
          "report_lag_ms": 200.0, "loadsPerS": 0.0, "loads_at_once": 8,
          "usual": {"prompt": 11316, "answer": 1266}, "hopMs": 0.1}
STREAM = {"affinity": True, "resumable": True, "targetGapMs": 250}


class Worker(f.Replica):
    async def run(self, line, fields, reader, writer):
        await self.read_body(reader, fields)
        self.note_run(fields)
        await asyncio.sleep(WORK_S)
        self.answer(writer, 200, fields, b"done", {})


class Engine(f.Replica):
    async def run(self, line, fields, reader, writer):
        await self.read_body(reader, fields)
        self.note_run(fields)
        events = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, 4))
        self.answer(writer, 200, fields, events,
                    {"Content-Type": "text/event-stream"})


async def book(fleet, entry, number, until, lost):
    client = f.Client(fleet, entry, "book%d-%d" % (entry, number))
    while time.monotonic() < until:
        try:
            if client.writer is None:
                await client.connect()
        except OSError:
            await asyncio.sleep(0.2)
            continue
        status, _ = await client.call("/book/", b"x" * 200)
        attempt = "%s-%d" % (client.name, client.count)
        if status == 0 and any(r[1] == attempt for r in fleet.worker.runs):
            lost.append(attempt)
        if status == 503:
            await asyncio.sleep(0.4)


async def play(fleet, trouble):
    record = fleet.record
    routes = [("/book/", "non_idempotent", "wuno96b", {"maxAttempts": 1}),
              ("/chat/", "streaming", "huvo11a", STREAM)]
    services = [("huvo11a", {"engine": ENGINE}), ("wuno96b", {})]
    await asyncio.to_thread(
        fleet.put_config, f.make_config(3, routes, services))
    fleet.worker = Worker(fleet, "i-work", "wuno96b", fleet.ip(101), "regina")
    engine = Engine(fleet, "i-engine", "huvo11a", fleet.ip(102), "saskatoon")
    tasks = []
    for replica in (fleet.worker, engine):
        await replica.listen()
        tasks.append(asyncio.create_task(replica.keep_pinging()))
    await asyncio.to_thread(fleet.await_ready)
    await asyncio.sleep(5)
    lost = []
    until = time.monotonic() + 12
    calls = [asyncio.create_task(book(fleet, entry, n, until, lost))
             for entry in fleet.entries for n in range(CLIENTS)]
    await asyncio.sleep(2)

    # The change adds a route. Its entry has no name, or one if TROUBLE=0.
    config = f.make_config(
        5, routes + [("/digest/", "streaming", "huvo11a", STREAM)], services)
    if trouble:
        del config["routes"][2]["name"]
    status = 0
    for number in fleet.controls:
        status, _ = await asyncio.to_thread(
            fleet.call_control, number, "POST", "/v1/Config.Put",
            f.json.dumps(config), 2.0)
        record.write("config 5 sent to host %d: %d" % (number, status))
        if status == 200 or 400 <= status < 500:
            break
    await asyncio.sleep(3)
    served = []
    for entry in fleet.entries:
        client = f.Client(fleet, entry, "digest%d" % entry)
        try:
            answer, _ = await client.call("/digest/", b"p" * 1200, extra=[
                ("Model", "m"), ("Token-Counts", "1460,80"),
                ("Prefix-Hash", "5c1e07a2:800,91bd3f06:410,e4402b7d:250")])
            served.append(answer)
        except OSError:
            served.append(0)
        client.close()
        await asyncio.sleep(0.5)
    await asyncio.gather(*calls)
    for task in tasks:
        task.cancel()
    ended = {n: p.poll() for n, p in fleet.processes.items()
             if p.poll() is not None}
    record.write("requests on the new route were answered %s" % served)
    record.write("hosts that ended by themselves, with status: %s" % ended)
    if len(fleet.worker.runs) < 10 or (not trouble and 0 in served):
        raise f.CannotRun("too little was served")
    if len(lost) > LOST_ALLOWED:
        return ("config 5 was answered %d; hosts %s ended by themselves, and %d"
                " requests on kept connections that a sound replica ran were "
                "not answered" % (status, ended, len(lost)))
    return None


sys.exit(f.run_case(HERE, play, entries=3))
