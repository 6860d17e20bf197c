"""Stand-in replicas: they answer, count their runs, and misbehave by seed."""

import asyncio
import hashlib
import json

import http1
from proxy import Proxy, reset_connection

SLOTS = 16
STREAM_EVENTS = 12
BEAT_S = 0.6
ANSWER_S = 1.0  # A heartbeat that is not answered by then goes elsewhere.
LEASE_MARGIN_S = 0.2


def plain_body(path, body):
    """The whole answer to a plain request."""
    return hashlib.sha256(path.encode() + body).hexdigest().encode() * 4


def event_text(path, number):
    """One event of the answer to a stream."""
    data = hashlib.sha256(f"{path} {number}".encode()).hexdigest()
    return f"id: {number}\ndata: {data}\n\n".encode()


class Replica:
    """One replica behind a proxy; `crash` and `drain` end its lifetime."""

    def __init__(self, world, name, service, zone, address, port):
        self.world = world
        self.name = name
        self.service = service
        self.zone = zone
        self.address = (address, port)
        self.proxy = Proxy((address, port + 1), (address, port))
        self.random = world.random_of(f"replica {name}")
        self.lifetime = 0
        self.beats = 0
        self.is_down = False
        self.is_draining = False
        self.drain_acked_at = None  # When a host took the news that it leaves.
        self.is_faulty = True
        self.running = 0
        self.reserved = {}  # id: (time at which it was made, and runs out)
        self.left_behind = []  # Times at which those were made that ran out.
        self.arrivals = []
        self.open = set()
        self.server = None

    @property
    def id(self):
        return f"{self.name}-{self.lifetime}"

    async def start(self):
        self.server = await asyncio.start_server(self._serve, *self.address)
        await self.proxy.start()
        self.beat_task = asyncio.create_task(self._beat())

    def crash(self):
        """All that runs here is gone; the next start is a new lifetime."""
        self.is_down = True
        self.reserved.clear()
        for writer in list(self.open):
            reset_connection(writer)

    def restart(self):
        self.lifetime += 1
        self.beats = 0
        self.born_ms = self.world.wall_ms()
        self.is_down = False
        self.is_draining = False
        self.drain_acked_at = None

    async def _beat(self):
        self.born_ms = self.world.wall_ms()
        while True:
            await asyncio.sleep(BEAT_S * self.random.uniform(0.8, 1.2))
            if not self.is_down:
                await self._beat_once()

    async def _beat_once(self):
        self.beats += 1
        was_draining = self.is_draining
        lifetime = self.lifetime
        body = {
            "service": self.service,
            "address": "%s:%d" % self.proxy.listen,
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": "draining" if was_draining else "ready",
            "coldLeftMs": 0,
            "born": self.born_ms,
            "seq": self.beats,
        }
        for address in self.world.control_addresses(self.random):
            status, _ = await http1.ask(
                address,
                "POST",
                f"/v1/Replicas.Heartbeat/{self.id}",
                http1.JSON_FIELDS,
                json.dumps(body).encode(),
                ANSWER_S,
            )
            if 200 <= status < 300:
                if was_draining and lifetime == self.lifetime and self.drain_acked_at is None:
                    self.drain_acked_at = self.world.now()
                return

    async def _serve(self, reader, writer):
        self.open.add(writer)
        late = []
        try:
            while head := await http1.read_head(reader):
                (method, path, _), fields = head
                body = await http1.read_body(reader, fields)
                if self.is_down:
                    break
                await self._answer(reader, writer, method, path, fields, body, late)
        except (OSError, http1.BadMessage, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    async def _answer(self, reader, writer, method, path, fields, body, late):
        if path == "/health":
            writer.write(http1.write_message("HTTP/1.1 200 OK", {"Replica-Id": self.id}))
        elif path == "/v1/report":
            writer.write(http1.write_message("HTTP/1.1 200 OK", {}, b'{"stage":"both"}'))
        elif path == "/v1/order":
            self._order(writer, json.loads(body))
        elif fields.get("target-instance", self.id) != self.id:
            self._refuse(writer, 421, fields)
        elif self.running >= SLOTS:
            self._refuse(writer, 503, fields)
        else:
            await self._run(writer, path, fields, body, late)
        await writer.drain()

    def _refuse(self, writer, status, fields):
        answer = {"Attempt-Id": fields.get("attempt-id", ""), "Not-Executed": "1"}
        writer.write(http1.write_message(f"HTTP/1.1 {status} No", answer))

    def _order(self, writer, order):
        now = self.world.now()
        self._lose_expired(now)
        if order["op"] == "reserve":
            made, _ = self.reserved.get(order["id"], (now, now))
            self.reserved[order["id"]] = (made, now + order["holdMs"] / 1000)
        else:
            self.reserved.pop(order["id"], None)
        writer.write(http1.write_message("HTTP/1.1 200 OK", {}, b'{"free":100000}'))

    def _lose_expired(self, now):
        """A reservation that ran out was left behind by whoever made it."""
        for key, (made, end) in list(self.reserved.items()):
            if now > end + LEASE_MARGIN_S:
                self.left_behind.append(made)
                del self.reserved[key]

    async def _run(self, writer, path, fields, body, late):
        attempt = fields.get("attempt-id", "")
        self.arrivals.append(self.world.now())
        self.world.ledger.run(attempt, self.id)
        self.running += 1
        try:
            if late:
                # An answer that an earlier request didn't wait for.
                writer.write(late.pop())
            if path.startswith("/s/") or path.startswith("/m/"):
                await self._stream(writer, path, fields, attempt)
            else:
                await self._plain(writer, path, attempt, body, late)
        finally:
            self.running -= 1

    async def _plain(self, writer, path, attempt, body, late):
        answer = http1.write_message(
            "HTTP/1.1 200 OK",
            {"Attempt-Id": attempt, "Response-Seal": self.id},
            plain_body(path, body),
        )
        await asyncio.sleep(self.random.uniform(0.005, 0.08))
        trouble = self.random.random() if self.is_faulty else 1
        if trouble < 0.02:
            writer.write(answer[: self.random.randrange(len(answer))])
            await writer.drain()
            reset_connection(writer)
        elif trouble < 0.04:
            reset_connection(writer)
        elif trouble < 0.07:
            writer.write(answer)
            late.append(answer)
        else:
            writer.write(answer)

    async def _stream(self, writer, path, fields, attempt):
        head = {
            "Attempt-Id": attempt,
            "Response-Seal": self.id,
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(http1.write_message("HTTP/1.1 200 OK", head))
        first = int(fields.get("last-event-id", "0")) + 1
        for number in range(first, STREAM_EVENTS + 1):
            await asyncio.sleep(self.random.uniform(0.02, 0.08))
            text = event_text(path, number)
            trouble = self.random.random() if self.is_faulty else 1
            if self.is_down or trouble < 0.01:
                writer.write(b"%x\r\n" % len(text) + text[: len(text) // 2])
                await writer.drain()
                reset_connection(writer)
                return
            if trouble < 0.02:
                text = event_text(path, max(number - 1, 1)) + text
            writer.write(b"%x\r\n" % len(text) + text + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
