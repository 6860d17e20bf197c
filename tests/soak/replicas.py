"""Stand-in replicas of the soak.

They send heartbeats to the control hosts, answer requests, record their runs
in the ledger, and answer wrongly at random, drawn from the seed.
"""

import asyncio
import hashlib
import json

import http1
import wrong_answers
from proxy import Proxy, reset_connection
from wrong_answers import Connection

SLOTS = 16
# Share of events at which a stream breaks off, and of those with which one is resumed.
BREAK = 0.02
BREAK_RESUMED = 0.15
# Path prefixes of requests whose answer is a stream.
STREAM_PATHS = ("/s/", "/t/", "/m/")
STREAM_EVENTS = 12
HEARTBEAT_S = 0.6
# A heartbeat that isn't answered in this time is sent to another control host.
HEARTBEAT_TIMEOUT_S = 1.0
# Body of the request that crashes each replica that runs it, and the time after
# which the replica is back.
CRASH_BODY = b"crash"
CRASH_S = 1.0
# Time for which a reservation is kept beyond its expiry before it counts as expired.
LEASE_MARGIN_S = 0.2


def plain_body(path, body):
    """Returns the complete answer to a request that isn't streamed."""
    return hashlib.sha256(path.encode() + body).hexdigest().encode() * 4


def event_text(path, number):
    """Returns the server-sent event with this number of a streamed answer."""
    data = hashlib.sha256(f"{path} {number}".encode()).hexdigest()
    return f"id: {number}\ndata: {data}\n\n".encode()


class Replica:
    """A replica behind a proxy.

    After a crash or a drain, restart() begins a new lifetime under a new id.
    """

    def __init__(self, fixture, name, service, zone, address, port):
        self.fixture = fixture
        self.name = name
        self.service = service
        self.zone = zone
        self.address = (address, port)
        self.proxy = Proxy((address, port + 1), (address, port))
        self.random = fixture.random_of(f"replica {name}")
        self.lifetime = 0
        self.heartbeats = 0
        self.is_down = False
        self.is_draining = False
        # Time at which a control host acknowledged a heartbeat with state draining.
        self.drain_acked_at = None
        self.is_faulty = True
        self.running = 0
        self.reserved = {}  # Reservation id: (time of creation, time of expiry).
        self.expired_reservations = []  # Creation times of expired reservations.
        self.arrivals = []  # Times at which requests began to run here.
        self.open = set()  # Writers of the open connections.
        self.server = None

    @property
    def id(self):
        return f"{self.name}-{self.lifetime}"

    async def start(self):
        self.server = await asyncio.start_server(self._serve, *self.address)
        await self.proxy.start()
        self.heartbeat_task = asyncio.create_task(self._run_heartbeats())

    def crash(self):
        """Loses all running requests and reservations and resets all connections."""
        self.is_down = True
        self.reserved.clear()
        for writer in list(self.open):
            reset_connection(writer)

    def restart(self):
        self.lifetime += 1
        self.heartbeats = 0
        self.started_ms = self.fixture.wall_ms()
        self.is_down = False
        self.is_draining = False
        self.drain_acked_at = None

    async def _crash_for(self, seconds):
        """Ends like a process that crashed, and starts again."""
        self.crash()
        await self.proxy.go_down()
        await asyncio.sleep(seconds)
        await self.proxy.start()
        self.restart()

    async def _run_heartbeats(self):
        self.started_ms = self.fixture.wall_ms()
        while True:
            await asyncio.sleep(HEARTBEAT_S * self.random.uniform(0.8, 1.2))
            if not self.is_down:
                await self._send_heartbeat()

    async def _send_heartbeat(self):
        self.heartbeats += 1
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
            "born": self.started_ms,
            "seq": self.heartbeats,
        }
        for address in self.fixture.control_addresses(self.random):
            status, _ = await http1.send_request(
                address,
                "POST",
                f"/v1/Replicas.Heartbeat/{self.id}",
                http1.JSON_FIELDS,
                json.dumps(body).encode(),
                HEARTBEAT_TIMEOUT_S,
            )
            if 200 <= status < 300:
                if was_draining and lifetime == self.lifetime and self.drain_acked_at is None:
                    self.drain_acked_at = self.fixture.now()
                return

    async def _serve(self, reader, writer):
        self.open.add(writer)
        connection = Connection(self, writer)
        try:
            while head := await http1.read_head(reader):
                (_, path, _), fields = head
                body = await http1.read_body(reader, fields)
                if self.is_down or writer.is_closing():
                    break
                connection.requests += 1
                await self._answer(connection, path, fields, body)
        except (OSError, http1.BadMessage, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    async def _answer(self, connection, path, fields, body):
        writer = connection.writer
        if path == "/health":
            writer.write(http1.write_message("HTTP/1.1 200 OK", {"Replica-Id": self.id}))
        elif path == "/v1/report":
            writer.write(http1.write_message("HTTP/1.1 200 OK", {}, b'{"stage":"both"}'))
        elif path == "/v1/order":
            self._order(writer, json.loads(body))
        else:
            await connection.write_ahead()
            await self._run_or_refuse(connection, path, fields, body)
        await writer.drain()

    async def _run_or_refuse(self, connection, path, fields, body):
        own_id = {"Attempt-Id": fields.get("attempt-id", "")}
        if fields.get("target-instance", self.id) != self.id:
            self._refuse(connection, 421, own_id)
        elif self.running >= SLOTS:
            self._refuse(connection, 503, own_id)
        elif refusal := wrong_answers.draw_refusal(connection, path, fields):
            self._refuse(connection, *refusal)
        else:
            await self._run(connection, path, fields, body)

    def _statements(self):
        """Returns the fields in which the replica says of itself that it leaves."""
        return {"Server-Leaving": "1"} if self.is_draining else {}

    def _refuse(self, connection, status, fields):
        answer = self._statements() | fields | {"Not-Executed": "1"}
        connection.write(http1.write_message(f"HTTP/1.1 {status} No", answer), again=0.4)

    def _order(self, writer, order):
        now = self.fixture.now()
        self._remove_expired(now)
        if order["op"] == "reserve":
            made, _ = self.reserved.get(order["id"], (now, now))
            self.reserved[order["id"]] = (made, now + order["holdMs"] / 1000)
        else:
            self.reserved.pop(order["id"], None)
        writer.write(http1.write_message("HTTP/1.1 200 OK", {}, b'{"free":100000}'))

    def _remove_expired(self, now):
        """Removes expired reservations, which were neither renewed nor released by
        the host that made them, and records them."""
        for key, (made, end) in list(self.reserved.items()):
            if now > end + LEASE_MARGIN_S:
                self.expired_reservations.append(made)
                del self.reserved[key]

    async def _run(self, connection, path, fields, body):
        attempt = fields.get("attempt-id", "")
        self.arrivals.append(self.fixture.now())
        self.fixture.ledger.record_run(attempt, self.id)
        if body == CRASH_BODY:
            self.fixture.ledger.crashes.append(self.fixture.now())
            self.crash_task = asyncio.create_task(self._crash_for(CRASH_S))
            return
        self.running += 1
        try:
            if refusal := wrong_answers.draw_foreign_refusal(connection, attempt):
                connection.write(refusal)
            if path.startswith(STREAM_PATHS):
                await self._stream(connection, path, fields, attempt)
            else:
                await self._plain(connection, path, attempt, body)
        finally:
            self.running -= 1

    def _success(self, attempt):
        return self._statements() | {
            "Attempt-Id": attempt,
            "Response-Seal": wrong_answers.receipt(self.id, attempt, 200),
        }

    async def _plain(self, connection, path, attempt, body):
        answer = http1.write_message(
            "HTTP/1.1 200 OK", self._success(attempt), plain_body(path, body)
        )
        await asyncio.sleep(self.random.uniform(0.005, 0.08))
        if connection.draws(0.02, "cut answer"):
            await connection.break_off(answer[: self.random.randrange(len(answer))])
        elif connection.draws(0.02, "cut head"):
            await connection.break_off(wrong_answers.cut_head(connection, answer))
        elif connection.draws(0.02, "no answer"):
            await connection.break_off(b"")
        else:
            failure = wrong_answers.draw_failure(connection, attempt)
            connection.write(failure or answer, again=0.04)

    async def _stream(self, connection, path, fields, attempt):
        head = http1.write_message(
            "HTTP/1.1 200 OK",
            self._success(attempt)
            | {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"},
        )
        resumed_after = int(fields.get("last-event-id", "0"))
        failure = wrong_answers.draw_failure(connection, attempt)
        if resumed_after > 0:
            failure = wrong_answers.draw_resumed_failure(connection, attempt)
        if failure is not None:
            connection.write(failure, again=0.1)
            return
        if connection.draws(0.01, "cut head"):
            await connection.break_off(wrong_answers.cut_head(connection, head))
            return
        connection.writer.write(head)
        written = head
        for number in range(resumed_after + 1, STREAM_EVENTS + 1):
            await asyncio.sleep(self.random.uniform(0.02, 0.08))
            text = event_text(path, number)
            is_first_resumed = number == resumed_after + 1 > 1
            share = BREAK_RESUMED if is_first_resumed else BREAK
            if self.is_down or connection.draws(share, "broken stream"):
                await connection.break_off(wrong_answers.break_stream(connection, text))
                return
            if connection.draws(0.01, "event again"):
                text = event_text(path, max(number - 1, 1)) + text
            chunk = b"%x\r\n" % len(text) + text + b"\r\n"
            connection.writer.write(chunk)
            written += chunk
            await connection.writer.drain()
        connection.writer.write(b"0\r\n\r\n")
        connection.write_again(written + b"0\r\n\r\n", 0.03)
