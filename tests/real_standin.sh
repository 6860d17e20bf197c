#!/usr/bin/env bash
# Usage: real_standin.sh BUILD_DIR
# Checks that the stand-in engine behaves as docs/INTERFACES.md specifies: the
# answer depends only on the prompt, a prompt in segments has the same answer as
# the whole prompt, refused requests have not run, and a planned stop breaks off
# no stream.
set -euo pipefail
build=$1
work=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait; rm -rf "$work"' EXIT
fail() { echo "FAILED: $*" >&2; exit 1; }

# start PORT OPTIONS...: starts a stand-in, waits until it answers, and appends
# its process id to the array pids.
start() {
	local port=$1
	shift
	"$build/chicorytack-standin" --name "e$port" --port "$port" --model m1 \
	    --data-centre regina --decode-us-per-token 1000 "$@" >>"$work/$port.log" 2>&1 &
	pids+=($!)
	for _ in $(seq 100); do
		curl -sf "$(url "$port")/healthz" >/dev/null && return
		sleep 0.1
	done
	fail "stand-in on $port does not answer"
}
url() { echo "http://127.0.0.1:$1"; }
# generate PORT REQUEST TOKENS PROMPT [QUERY]: sends a prompt and prints the
# event stream of the answer, including its end event.
generate() {
	curl -sN --max-time 60 -H 'Content-Type: text/plain' --data-binary "$4" \
	    "$(url "$1")/engine/v1/generate?request=$2&attempt=1&model=m1&answer_tokens_max=$3${5:-}"
}
text() { grep -o '"text":"[^"]*"' | tr -d '\n'; }
post() { curl -s --max-time 60 -d "$3" "$(url "$1")/engine/v1/$2"; }
counter() { curl -s "$(url "$1")/standin/v1/counters" | grep -o "\"$2\":[^,]*" | cut -d: -f2; }
expect() { [ "$1" = "$2" ] || fail "$3: expected $2, got $1"; }

start 21460 --run-log "$work/runs" --cold-ms 0 --honours-fencing
start 21461 --cold-ms 600000 --cold-requests 1 --cold-prefill-tokens 100
start 21462 --cold-ms 600000 --cold-requests 1 --cold-prefill-tokens 100 --cold-crashes
start 21463 --drain-ms 20000 --answer-tokens 3000

# With eight concurrent callers, each caller gets the complete answer to its own
# prompt.
"$build/bench_load" --direct "$(url 21460)" --requests 60 --concurrency 8 \
    --prompt-tokens-max 40000 >"$work/load" || fail "a wrong or lost answer: $(cat "$work/load")"
expect "$(grep -c . "$work/runs")" 60 "lines in the run log"
expect "$(counter 21460 kv_tokens_held)" 0 "memory held after the load"

# A prompt split into two segments on two engines gets the same answer as the
# whole prompt on one engine.
whole=$(generate 21460 a1 6 "onetwo!!" | text)
a='{"reservation":"00000000000000b1","incarnation":0'
b='{"reservation":"00000000000000b2","incarnation":0'
post 21460 kv/reserve "$a,\"tokens\":10}" | grep -q done || fail "reserve"
post 21463 kv/reserve "$b,\"tokens\":20}" | grep -q done || fail "reserve"
generate 21460 a2 0 "onetwo" "&reservation=00000000000000b1" | grep -q '"pieces":0' || fail "prefill only"
export=$(post 21460 kv/export "$a}")
post 21463 kv/import "$b,${export#?}" | grep -q done || fail "import"
parts=$(generate 21463 a3 6 "!!" "&reservation=00000000000000b2" | text)
expect "$parts" "$whole" "answer from segments"
post 21463 kv/reserve "$b,\"tokens\":21}" | grep -q already_exists || fail "reserve anew with other tokens"
post 21460 kv/reserve '{"reservation":"00000000000000b3","incarnation":0,"tokens":999999999}' |
    grep -q no_capacity || fail "reserve over the memory limit"
for _ in 1 2; do post 21460 kv/release "$a}" >/dev/null; done
post 21463 kv/release "$b}" >/dev/null
expect "$(counter 21460 kv_tokens_held)" 0 "memory held after release"

# A refused request has not run, and its error says "not_run".
generate 21460 a4 1 x "&incarnation=7" | grep -q '"type":"stale".*"not_run"' || fail "old incarnation"
generate 21460 a1 6 "again" | grep -q '"type":"already_exists".*"not_run"' || fail "same attempt"
generate 21461 c1 1 "$(head -c 800 /dev/zero | tr '\0' a)" | grep -q '"type":"no_capacity".*"not_run"' || fail "cold load"
expect "$(counter 21461 runs)" 0 "runs of the overloaded engine"
expect "$(counter 21461 overloads)" 1 "overloads"

# An order with an older fencing number is refused; an order that is resent is
# carried out only once.
order='"verb":"set_role","subject":"prefill","value":"","incarnation":0}'
post 21460 order "{\"order\":\"o1\",\"fencing\":5,$order" | grep -q running || fail "order"
post 21460 order "{\"order\":\"o1\",\"fencing\":5,$order" | grep -Eq 'running|done' || fail "resent order"
post 21460 order "{\"order\":\"o2\",\"fencing\":4,$order" | grep -q stale || fail "old fencing number"
expect "$(curl -s "$(url 21460)/standin/v1/counters" | grep -o '"order":' | grep -c .)" 1 "orders taken"

# An engine started with --cold-crashes exits when its cold limit is exceeded;
# any engine exits when a prompt contains the crash marker.
generate 21462 d1 1 "$(head -c 800 /dev/zero | tr '\0' a)" >/dev/null && fail "the engine did not crash over its cold limit"
wait "${pids[2]}" && fail "the engine exited with status 0 over its cold limit"
generate 21461 d2 1 "#crash#" >/dev/null && fail "the engine did not crash on the marked prompt"
wait "${pids[1]}" && fail "the engine exited with status 0 on the marked prompt"

# On a planned stop (SIGTERM) the running stream is completed before the process
# ends with status 0.
generate 21463 e1 3000 "stay" >"$work/stream" &
stream=$!
until [ -s "$work/stream" ]; do sleep 0.05; done
kill -TERM "${pids[3]}"
wait "$stream" || fail "the stream was broken off"
grep -q 'event: end' "$work/stream" || fail "the stream has no end event"
wait "${pids[3]}" || fail "the engine did not exit with status 0 after the stop"
echo "stand-in: all checks passed"
