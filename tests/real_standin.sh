#!/usr/bin/env bash
# The stand-in keeps its side of docs/INTERFACES.md: answers follow from the
# prompt, segments give the whole prompt's answer, refusals come before a run,
# and a planned stop cuts nothing. real_standin.sh BUILD_DIR
set -euo pipefail
build=$1
work=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait; rm -rf "$work"' EXIT
fail() { echo "FAILED: $*" >&2; exit 1; }

# start PORT OPTIONS...: a stand-in; its process id is the last of pids.
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
# generate PORT REQUEST TOKENS PROMPT [QUERY]: pieces and end mark.
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

# Answers are whole and their own, from eight callers at a time.
"$build/bench_load" --direct "$(url 21460)" --requests 60 --concurrency 8 \
    --prompt-tokens-max 40000 >"$work/load" || fail "a wrong or lost answer: $(cat "$work/load")"
expect "$(grep -c . "$work/runs")" 60 "lines in the run log"
expect "$(counter 21460 kv_tokens_held)" 0 "memory held after the load"

# A prompt in two segments on two engines has the whole prompt's answer.
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
    grep -q no_capacity || fail "reserve past the memory"
for _ in 1 2; do post 21460 kv/release "$a}" >/dev/null; done
post 21463 kv/release "$b}" >/dev/null
expect "$(counter 21460 kv_tokens_held)" 0 "memory held after release"

# Refusals come before a run and say so.
generate 21460 a4 1 x "&incarnation=7" | grep -q '"type":"stale".*"not_run"' || fail "old incarnation"
generate 21460 a1 6 "again" | grep -q '"type":"already_exists".*"not_run"' || fail "same attempt"
generate 21461 c1 1 "$(head -c 800 /dev/zero | tr '\0' a)" | grep -q '"type":"no_capacity".*"not_run"' || fail "cold load"
expect "$(counter 21461 runs)" 0 "runs of the overloaded engine"
expect "$(counter 21461 overloads)" 1 "overloads"

# Orders: an old number is refused, a resend runs nothing again.
order='"verb":"set_role","subject":"prefill","value":"","incarnation":0}'
post 21460 order "{\"order\":\"o1\",\"fencing\":5,$order" | grep -q running || fail "order"
post 21460 order "{\"order\":\"o1\",\"fencing\":5,$order" | grep -Eq 'running|done' || fail "resent order"
post 21460 order "{\"order\":\"o2\",\"fencing\":4,$order" | grep -q stale || fail "old fencing number"
expect "$(curl -s "$(url 21460)/standin/v1/counters" | grep -o '"order":' | grep -c .)" 1 "orders taken"

# Over its cold load the other one dies, and so does a marked prompt's engine.
generate 21462 d1 1 "$(head -c 800 /dev/zero | tr '\0' a)" >/dev/null && fail "it should have died"
wait "${pids[2]}" && fail "exit status of the fall"
generate 21461 d2 1 "#crash#" >/dev/null && fail "it should have crashed"
wait "${pids[1]}" && fail "exit status of the crash"

# A planned stop refuses new work, ends the running stream and then the process.
generate 21463 e1 3000 "stay" >"$work/stream" &
stream=$!
until [ -s "$work/stream" ]; do sleep 0.05; done
kill -TERM "${pids[3]}"
wait "$stream" || fail "the stream was cut"
grep -q 'event: end' "$work/stream" || fail "the stream has no end"
wait "${pids[3]}" || fail "exit status of the stop"
echo "stand-in: held"
