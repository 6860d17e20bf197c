"""Two scripted upstreams and their callers, for real_stray_answers.sh.

Usage: stray_answers.py HOST_URL PORT TOKEN

The upstreams answer the first attempt of a prompt or call as its marker says,
and each later one properly. They count what they run, so that a broken promise
and a second run show. Exits with 1 if a caller got something that it must not.
"""
import http.client
import json
import re
import socketserver
import sys
import threading
import time
import urllib.parse

HOST = urllib.parse.urlsplit(sys.argv[1])
PORT = int(sys.argv[2])
TOKEN = sys.argv[3]
NAMES = ("engine-a", "engine-b")
SECRET = "text of an upstream's error"
STREAM = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
OTHER = "00000000deadbeef"


def event(name, fields):
    head = f"event: {name}\n" if name else ""
    return f"{head}data: {json.dumps(fields)}\n\n"


def error_body(outcome, kind="no_capacity"):
    """An error as the interface wants it, with a text that no caller may see."""
    return {"error": {"type": kind, "message": SECRET, "outcome": outcome, "retry_after_ms": 0}}


def reply(status, body, fields=""):
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{fields}Connection: close\r\n\r\n{body}"


class Answer:
    """What one attempt is sent: pieces and events of its own."""

    def __init__(self, request, attempt):
        self.names = {"request": request, "attempt": attempt}

    def piece(self, sequence):
        return event("", {**self.names, "sequence": sequence, "text": f"w{sequence} ", "tokens": 1})

    def pieces(self, first, end):
        return "".join(self.piece(sequence) for sequence in range(first, end))

    def end(self):
        return event("end", {**self.names, "pieces": 4, "prompt_tokens": 3, "answer_tokens": 4, "finish": "stop"})

    def whole(self, first=0):
        return STREAM + self.pieces(first, 4) + self.end()

    def error(self, outcome, names=None):
        return event("error", {**(names or self.names), **error_body(outcome)})


# First answers to a prompt. Each of these engines runs the prompt, whatever it says.
PROMPTS = {
    "refused-for-another": lambda a: STREAM + a.error("not_run", {"request": OTHER, "attempt": 1}),
    "refused-by-body-of-another": lambda a: reply(
        "429 Busy", json.dumps({"request": OTHER, "attempt": 1, **error_body("not_run")})),
    "refused-after-a-piece": lambda a: STREAM + a.piece(0) + a.error("not_run"),
    "cut-head": lambda a: "HTTP/1.1 200 OK\r\nContent-Ty",
    "cut-refusal": lambda a: "HTTP/1.1 429 Busy\r\nX-Request-Outcome: not_run\r\n",
    "busy-without-a-word": lambda a: reply("503 Busy", json.dumps(error_body("unknown", "shutting_down"))),
    "failed-without-a-word": lambda a: reply("500 No", "no"),
    "closed": lambda a: "",
}

# Answers to each resume of a stream that broke off after two pieces.
RESUMES = {
    "status": lambda a: reply("500 No", json.dumps(error_body("failed", "internal"))),
    "refusal": lambda a: reply("404 No", json.dumps(error_body("not_run", "not_found"))),
    "event": lambda a: STREAM + a.error("failed"),
    "head-in-stream": lambda a: STREAM + a.piece(2) + "HTTP/1.1 500 No\r\nContent-Length: 4\r\n\r\n" + SECRET + "\n\n",
    "cut-head": lambda a: "HTTP/1.1 200 OK\r\nContent-Type: text/ev",
    "no-end": lambda a: STREAM + a.pieces(2, 4),
    "end-of-another": lambda a: STREAM + a.pieces(2, 4) + Answer(OTHER, 1).end(),
}

# First answers of a plain service that runs the call.
CALLS = {
    "cut-head": "HTTP/1.1 200 OK\r\n",
    "cut-refusal": "HTTP/1.1 429 Busy\r\nX-Request-Outcome: not_run\r\n",
    "no-length": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nsho",
    "refused-for-another": reply("429 Busy", "", f"X-Request-Outcome: not_run\r\nX-Request-Id: {OTHER}\r\n"),
    "answer-to-another": reply("200 OK", "another", f"X-Request-Id: {OTHER}\r\n"),
}


class State:
    lock = threading.Lock()
    runs = {}  # Marker: runs.
    first = {}  # Request: attempt that began its answer.
    names = {}  # Request: marker.
    resumes = {}  # Request: resumes so far.

    @classmethod
    def run(cls, marker, request, attempt):
        """Counts a run, and tells how many the marker had before."""
        with cls.lock:
            before = cls.runs.get(marker, 0)
            cls.runs[marker] = before + 1
            cls.first[request] = attempt
            cls.names[request] = marker
            return before


class Upstream(socketserver.StreamRequestHandler):
    def handle(self):
        line = self.rfile.readline().decode()
        size = 0
        fields = {}
        while (field := self.rfile.readline().decode().strip()):
            name, value = field.split(":", 1)
            fields[name.lower()] = value.strip()
        size = int(fields.get("content-length", "0"))
        body = self.rfile.read(size).decode()
        if not line:
            return
        url = urllib.parse.urlsplit(line.split()[1])
        query = {key: value[0] for key, value in urllib.parse.parse_qs(url.query).items()}
        self.wfile.write(self.answer(url.path, query, fields, body).encode())

    def answer(self, path, query, fields, body):
        if path.endswith("/generate"):
            return self.generate(Answer(query["request"], int(query["attempt"])), body)
        if path.endswith("/resume"):
            return self.resume(Answer(query["request"], int(query["attempt"])), query)
        if path.startswith("/service/"):
            return self.call(fields, body)
        return reply("200 OK", '{"state":"done"}')

    def generate(self, answer, prompt):
        marker = re.search("#(.*)#", prompt)[1]
        before = State.run(marker, answer.names["request"], answer.names["attempt"])
        kind, name = marker.split(":")[:2]
        if kind == "resume":
            return STREAM + answer.pieces(0, 2)
        if before == 0:
            return PROMPTS[name](answer)
        return answer.whole()

    def resume(self, answer, query):
        request = query["request"]
        name = State.names[request].split(":")[1]
        with State.lock:
            count = State.resumes[request] = State.resumes.get(request, 0) + 1
        if name == "later":
            # An engine knows a stream by the attempt that began it.
            if count == 1:
                return RESUMES["status"](answer)
            if int(query["from_attempt"]) != State.first[request]:
                return RESUMES["refusal"](answer)
            return answer.whole(int(query["position"]))
        return RESUMES.get(name, RESUMES["refusal"])(answer)

    def call(self, fields, body):
        before = State.run(body, fields["x-request-id"], 1)
        whole = reply("200 OK", "whole")
        return CALLS.get(body.split(":")[1], whole) if before == 0 else whole


class Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True


def ask(path, body, fields=None):
    link = http.client.HTTPConnection(HOST.hostname, HOST.port, timeout=30)
    headers = {"Authorization": f"Bearer {TOKEN}", "X-Request-Deadline-Ms": "12000", **(fields or {})}
    link.request("POST", path, body, headers)
    answer = link.getresponse()
    text = answer.read().decode()
    link.close()
    return answer.status, text


def announce():
    limits = {"cold_requests": 64, "warm_requests": 64, "cold_prefill_tokens": 100000, "warm_prefill_tokens": 100000,
              "kv_tokens": 400000, "prefill_tokens_per_s": 100000, "decode_us_per_token": 1000}
    start = time.time_ns() // 1000
    upstreams = [(name, PORT + at, "model", "small-7b") for at, name in enumerate(NAMES)]
    upstreams += [(f"ledger-{at}", PORT + at, "service", "ledger") for at in range(2)]
    for name, port, kind, model in upstreams:
        ask("/upstream/v1/announce", json.dumps({
            "name": name, "incarnation": start, "sequence": 1, "url": f"http://127.0.0.1:{port}",
            "data_centre": "regina", "kind": kind, "models": [model], "limits": limits}))

    def renew():
        while True:
            for name, *_ in upstreams:
                ask("/upstream/v1/renew", json.dumps({"name": name, "incarnation": start}))
            time.sleep(0.15)

    threading.Thread(target=renew, daemon=True).start()


class Checks:
    def __init__(self):
        self.done = 0
        self.wrong = 0

    def expect(self, name, is_right, seen):
        self.done += 1
        if not is_right:
            self.wrong += 1
            print(f"WRONG {name}: {seen}")

    def prompt(self, name, is_stream, key):
        """A first answer that promises or shows too much."""
        marker = f"prompt:{name}:{'stream' if is_stream else 'whole'}:{'key' if key else 'again'}"
        fields = {"Idempotency-Key": marker} if key else {}
        status, text = ask("/v1/completions", json.dumps({
            "model": "small-7b", "prompt": f"#{marker}#", "max_tokens": 4, "stream": is_stream}), fields)
        runs = State.runs.get(marker, 0)
        self.expect(marker, SECRET not in text and "HTTP/1.1" not in text, text)
        self.expect(marker, not ('"outcome":"not_run"' in text and runs), f"{runs} runs, {status} {text}")
        self.expect(marker, status not in (408, 429, 503), f"{status} {text}")
        if key:
            self.expect(marker, runs == 1, f"{runs} runs, {status} {text}")
            self.expect(marker, "w3" not in text, f"{status} {text}")
            word = "failed" if "after-a-piece" in name else "unknown"
            self.expect(marker, f'"outcome":"{word}"' in text, f"{status} {text}")
            self.expect(marker, "[DONE]" not in text and (is_stream or status != 200), f"{status} {text}")
        elif not is_stream or "after-a-piece" not in name:
            self.expect(marker, status == 200 and "w3" in text, f"{status} {text}")

    def resume(self, name):
        """A stream that broke off and whose continuation is no good."""
        marker = f"resume:{name}"
        status, text = ask("/v1/completions", json.dumps({
            "model": "small-7b", "prompt": f"#{marker}#", "max_tokens": 4, "stream": True}))
        events = [part for part in text.split("\n\n") if part and not part.startswith(":")]
        self.expect(marker, status == 200 and "w0" in text and "w1" in text, f"{status} {text}")
        self.expect(marker, SECRET not in text and "HTTP/1.1" not in text, text)
        self.expect(marker, State.runs.get(marker) == 1, f"{State.runs.get(marker)} runs")
        if name == "later":
            self.expect(marker, "w3" in text and "[DONE]" in text, text)
            return
        self.expect(marker, "[DONE]" not in text, text)
        self.expect(marker, events[-1].startswith("event: error"), text)
        self.expect(marker, '"outcome":"failed"' in events[-1], text)

    def call(self, name):
        marker = f"call:{name}"
        status, text = ask("/v1/services/ledger/deposit", marker, {"Idempotency-Key": marker})
        runs = State.runs.get(marker, 0)
        self.expect(marker, status == 502 and '"outcome":"unknown"' in text, f"{status} {text}")
        self.expect(marker, runs == 1, f"{runs} runs, {status} {text}")


def main():
    for at in range(2):
        threading.Thread(target=Server(("127.0.0.1", PORT + at), Upstream).serve_forever, daemon=True).start()
    announce()
    checks = Checks()
    deadline = time.monotonic() + 30
    while ask("/v1/services/ledger/x", "call:ready", {"X-Idempotent": "true"})[0] in (429, 503):
        if time.monotonic() > deadline:
            sys.exit("no upstream is known to the host")
        time.sleep(0.2)
    for name in PROMPTS:
        for is_stream in (False, True):
            checks.prompt(name, is_stream, True)
            checks.prompt(name, is_stream, False)
    for name in [*RESUMES, "later"]:
        checks.resume(name)
    for name in CALLS:
        checks.call(name)
    print(f"{checks.done} checks, {checks.wrong} wrong")
    sys.exit(checks.wrong != 0)


main()
