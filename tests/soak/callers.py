"""Simulated callers of the soak.

A caller sends requests over a kept connection and compares every byte of the
answers with the expected answer. Deviations are recorded in the ledger.
"""

import asyncio
import itertools

import http1
from replicas import STREAM_EVENTS, event_text, plain_body
from wrong_answers import failure_body

# HTTP statuses by which a host promises that the request did not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
WHOLE_ANSWER = "the right caller gets the whole answer"
DEADLINE_MS = 4000
# Kinds of requests and the path prefixes of their routes: not idempotent,
# idempotent, streamed, a stream that may not be resumed, and a long prompt
# streamed by a model service.
KINDS = {"once": "/p/", "again": "/i/", "stream": "/s/", "stream_once": "/t/", "large": "/m/"}
# How often each kind is drawn, relative to the others, in the order of KINDS.
WEIGHTS = (5, 3, 3, 1, 1)
STREAM_KINDS = ("stream", "stream_once", "large")


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
            if isinstance(error, http1.WrongBytes):
                self._record("all bytes belong to an answer", attempt, f"got {error}")
            self._close()
        ledger.outcomes[f"{kind} {outcome}"] += 1

    async def _exchange(self, kind, attempt, path, body):
        """Sends a request and checks the answer. Returns "answered" for a success,
        otherwise the status."""
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
        if kind in STREAM_KINDS:
            fields["Token-Counts"] = "600000,10" if kind == "large" else "900,40"
        writer.write(http1.write_message(f"POST {path} HTTP/1.1", fields, body))
        head = await http1.read_head(reader)
        if head is None:
            raise http1.BadMessage("connection closed without an answer")
        status, answer = int(head[0][1]), head[1]
        self._check_head(attempt, status, answer)
        if status in NOT_RUN_STATUSES:
            self.fixture.ledger.record_refusal(attempt, status, self.host.name)
        result = "answered"
        if status != 200:
            await self._read_failure(reader, answer, attempt, status)
            result = str(status)
        elif kind in STREAM_KINDS:
            await self._read_stream(reader, answer, attempt, path)
        else:
            await self._read_plain(reader, answer, attempt, path, body)
        if answer.get("connection", "").lower() == "close":
            self._close()
        return result

    def _record(self, promise, attempt, text):
        self.fixture.ledger.record_violation(promise, f"{attempt} at {self.host.name} {text}")

    def _check_head(self, attempt, status, answer):
        """Checks whose answer it is, that a success has a receipt, and that a receipt
        was given for an answer to this request with this status."""
        owner, seal = answer.get("attempt-id"), answer.get("response-seal")
        if owner != attempt:
            self._record(WHOLE_ANSWER, attempt, f"got one for {owner}")
        if seal is None and 200 <= status < 300:
            self._record(WHOLE_ANSWER, attempt, f"got {status} without a receipt")
        if seal is not None and seal.split(" ")[1:] != [attempt, str(status)]:
            self._record("a receipt stands beside its answer", attempt, f"got {status}, {seal}")

    async def _read_failure(self, reader, answer, attempt, status):
        whole = await http1.read_body(reader, answer)
        if "response-seal" in answer and whole != failure_body(attempt, status):
            self._record(WHOLE_ANSWER, attempt, f"got {status} with {whole[:80]!r}")

    async def _read_plain(self, reader, answer, attempt, path, body):
        if await http1.read_body(reader, answer) != plain_body(path, body):
            self._record(WHOLE_ANSWER, attempt, "got another body")

    async def _read_stream(self, reader, answer, attempt, path):
        expected = b"".join(event_text(path, n) for n in range(1, STREAM_EVENTS + 1))
        seen = b""
        async for piece in http1.read_pieces(reader, answer):
            seen += piece
            if not expected.startswith(seen):
                self._record(
                    "events come in order, each once", attempt, f"{len(seen)} bytes: {piece[:80]!r}"
                )
                raise http1.BadMessage("wrong events")
        if seen != expected:
            self._record(WHOLE_ANSWER, attempt, f"got {len(seen)} of {len(expected)} bytes")

    def _close(self):
        if self.connection is not None:
            self.connection[1].close()
            self.connection = None
