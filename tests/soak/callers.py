"""Simulated callers of the soak.

A caller sends requests over a kept connection and compares every byte of the
answers with the expected answer. Deviations are recorded in the ledger.
"""

import asyncio
import itertools

import http1
from replicas import STREAM_EVENTS, event_text, plain_body

# HTTP statuses by which a host promises that the request did not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
DEADLINE_MS = 4000
# Kinds of requests and the path prefixes of their routes: not idempotent,
# idempotent, streamed, and a long prompt streamed by a model service.
KINDS = {"once": "/p/", "again": "/i/", "stream": "/s/", "large": "/m/"}
# How often each kind is drawn, relative to the others, in the order of KINDS.
WEIGHTS = (5, 3, 4, 1)


class Caller:
    """One caller, which sends one request at a time until a given time."""

    def __init__(self, fixture, number):
        self.fixture = fixture
        self.name = f"c{number}"
        self.random = fixture.random_of(f"caller {number}")
        self.numbers = itertools.count()
        self.connection = None
        self.pause_s = (0.02, 0.25)

    async def run(self, until):
        while self.fixture.now() < until:
            await self._send_request()
            await asyncio.sleep(self.random.uniform(*self.pause_s))
        self._close()

    async def _send_request(self):
        ledger = self.fixture.ledger
        kind = self.random.choices(list(KINDS), WEIGHTS)[0]
        attempt = f"{self.name}-{next(self.numbers)}"
        path = f"{KINDS[kind]}{attempt}?q={self.random.randrange(9)}"
        body = self.random.randbytes(self.random.randrange(1, 300))
        ledger.kinds[attempt] = kind
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + 1):
                outcome = await self._exchange(kind, attempt, path, body)
        except (OSError, TimeoutError, http1.BadMessage) as error:
            outcome = type(error).__name__
            self._close()
        ledger.outcomes[f"{kind} {outcome}"] += 1

    async def _exchange(self, kind, attempt, path, body):
        """Sends a request and checks the answer. Returns "answered" for an answer of a
        replica, otherwise the status with which a host refused the request."""
        if self.connection is None or self.random.random() < 0.05:
            self._close()
            self.host = self.random.choice(self.fixture.entry_hosts)
            self.connection = await asyncio.open_connection(*self.host.front.listen)
        reader, writer = self.connection
        fields = {
            "Host": "h.example",
            "X-Api-Key": "k1",
            "Attempt-Id": attempt,
            "Deadline-Ms": DEADLINE_MS,
        }
        if kind in ("stream", "large"):
            fields["Token-Counts"] = "600000,10" if kind == "large" else "900,40"
        writer.write(http1.write_message(f"POST {path} HTTP/1.1", fields, body))
        head = await http1.read_head(reader)
        if head is None:
            raise http1.BadMessage("connection closed without an answer")
        status, answer = int(head[0][1]), head[1]
        if "response-seal" not in answer:
            await http1.read_body(reader, answer)
            if status in NOT_RUN_STATUSES:
                self.fixture.ledger.record_refusal(attempt, status, self.host.name)
            result = str(status)
        elif kind in ("stream", "large"):
            result = await self._read_stream(reader, answer, attempt, path)
        else:
            result = await self._read_plain(reader, answer, attempt, path, body)
        if answer.get("connection", "").lower() == "close":
            self._close()
        return result

    async def _read_plain(self, reader, answer, attempt, path, body):
        whole = await http1.read_body(reader, answer)
        if answer.get("attempt-id") != attempt or whole != plain_body(path, body):
            self.fixture.ledger.record_violation(
                "the right caller gets the whole answer",
                f"{attempt} at {self.host.name} got one for {answer.get('attempt-id')}",
            )
        return "answered"

    async def _read_stream(self, reader, answer, attempt, path):
        expected = b"".join(event_text(path, n) for n in range(1, STREAM_EVENTS + 1))
        seen = b""
        async for piece in http1.read_pieces(reader, answer):
            seen += piece
            if not expected.startswith(seen):
                self.fixture.ledger.record_violation(
                    "events come in order, each once",
                    f"{attempt} at {self.host.name} after {len(seen)} bytes",
                )
                raise http1.BadMessage("wrong events")
        if seen != expected or answer.get("attempt-id") != attempt:
            self.fixture.ledger.record_violation(
                "the right caller gets the whole answer",
                f"{attempt} at {self.host.name} got {len(seen)} of {len(expected)} bytes",
            )
        return "answered"

    def _close(self):
        if self.connection is not None:
            self.connection[1].close()
            self.connection = None
