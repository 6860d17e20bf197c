"""Long streams through entry hosts that are quiet: each has one client, besides the
platform's questions whether it is ready. See claim.txt.
"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common-3"))
from cluster import (BROKEN, HELD, ZONES, Client, Cluster, Replica, plain_answer,
                     read_body, read_head, route, run)

EVENTS = 38
PAUSE_S = 0.247         # Between two events, so that a stream lasts 9.4 s.
DEADLINE_MS = 10000
STREAMS = 6             # Streams of each client, one after the other.
READY_PERIOD_S = 1.0    # The platform asks each host whether it is ready.
SEND_PHASE_S = 0.9      # From such a question to the sending of a request.
LOST_MAX = 3            # Of one machine, by the rule.


async def serve(replica, writer, headers, line, body):
    if "/stream/" not in line:
        await plain_answer(replica, writer, headers, line, body)
        return
    writer.write((
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        "Attempt-Id: %s\r\nResponse-Seal: seal-%s\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
        % (headers["attempt-id"], replica.name)).encode())
    for number in range(1, EVENTS + 1):
        await asyncio.sleep(PAUSE_S)
        event = b"id: %d\ndata: a slot at %d\n\n" % (number, number)
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
    writer.write(b"0\r\n\r\n")


async def ask_readiness(cluster, ip, asked):
    """Asks like the platform, once per second. asked[ip] is when it last did."""
    while True:
        asked[ip] = time.monotonic()
        await cluster.is_ready(ip)
        await asyncio.sleep(
            READY_PERIOD_S - (time.monotonic() - asked[ip]))


async def read_streams(cluster, ip, asked, outcomes):
    """Requests streams on one channel, which has carried a request before."""
    client = Client(cluster, ip)
    for _ in range(STREAMS):
        if client.writer is None:
            await client.request("GET", "/lohu930/small")
        await asyncio.sleep(READY_PERIOD_S)
        while time.monotonic() - asked[ip] > SEND_PHASE_S / 2:
            await asyncio.sleep(0.01)
        await asyncio.sleep(SEND_PHASE_S - (time.monotonic() - asked[ip]))
        began = time.monotonic()
        attempt = await client.send("POST", "/stream/chat", b"a question",
                                    deadline_ms=DEADLINE_MS)
        events, problem = 0, ""
        try:
            head = await asyncio.wait_for(read_head(client.reader), 11)
            if head is None or " 200 " not in head[0] + " ":
                problem = "no stream: %s" % (head and head[0])
            else:
                body = await asyncio.wait_for(
                    read_body(client.reader, head[1]), 11)
                events = body.count(b"\n\n")
        except (asyncio.IncompleteReadError, OSError, TimeoutError) as error:
            problem = type(error).__name__
        took_s = time.monotonic() - began
        outcomes[ip].append(bool(problem))
        cluster.record.add("client of", ip, attempt, "got",
                           problem or "%d events, whole" % events,
                           "after %.2f s" % took_s)
        print("%s: %s after %.2f s" % (ip, problem or "whole stream", took_s))
        if problem:
            client.close()
    client.close()


async def keep_busy(cluster, ip):
    """Sends a small request every 50 ms."""
    client = Client(cluster, ip)
    while True:
        await client.request("GET", "/lohu930/small")
        await asyncio.sleep(0.05)


async def case(folder, has_trouble):
    cluster = Cluster(folder)
    try:
        await cluster.start(cluster.config(1, [
            route("/lohu930/", "idempotent", "chat"),
            route("/stream/", "streaming", "chat", targetGapMs=250)]),
            [Replica(cluster, "i-%d" % i, "chat", ZONES[i], serve)
             for i in range(3)])
        asked = {}
        outcomes = {ip: [] for ip in cluster.entries}
        asks = [asyncio.create_task(ask_readiness(cluster, ip, asked))
                for ip in cluster.entries]
        if not has_trouble:
            asks += [asyncio.create_task(keep_busy(cluster, ip))
                     for ip in cluster.entries]
        await asyncio.sleep(1)
        await asyncio.gather(*[read_streams(cluster, ip, asked, outcomes)
                               for ip in cluster.entries])
        for task in asks:
            task.cancel()
        lost = [sum(found) for found in outcomes.values()]
        print("broken off: %s of %d streams at each host" % (lost, STREAMS))
        return BROKEN if max(lost) > LOST_MAX else HELD
    finally:
        cluster.finish()


run(os.path.dirname(os.path.abspath(__file__)), case)
