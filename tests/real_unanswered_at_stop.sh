#!/usr/bin/env bash
# Usage: real_unanswered_at_stop.sh BUILD_DIR
# A host stops while prompts of its callers wait for an engine or run on one, and
# its grace time is shorter than they take. Checks that each caller gets an
# answer that tells whether its prompt has run, not a closed connection.
set -euo pipefail
cd "$CHICORY_SOURCE_DIR"
build=$1
work=$(mktemp -d)
base_port=27900
. tools/cluster.sh
trap stop_all EXIT
fail() { echo "FAILED: $*"; tail -n 8 "$work"/host-*.log; exit 1; }
centres=([1]=regina)
write_settings 1 regina 1 ', "timing": {"stop_grace_ms": 1200}'
start_host 1
wait_until 30 is_ready 1 || fail "host 1 not ready"
operator 1 account add spa-desk s3cret >/dev/null || fail "cannot add the client account"
start_standin 1 engine-1 regina 1 --model small-7b --cold-requests 1 --warm-requests 1 --queue-max 0 --run-log "$work/runs" --decode-us-per-token 600000
wait_until 30 has_upstreams 1 1 || fail "host 1 does not list the engine"

ask_seconds=60
callers=()
for n in 1 2 3 4 5 6; do
	send_prompt 1 s3cret small-7b "prompt $n" >"$work/answer-$n" &
	callers+=($!)
done
is_running() { curl -sf "http://127.0.0.1:$(standin_port 1)/standin/v1/counters" | grep -q '"runs": *1'; }
wait_until 30 is_running || fail "no prompt runs: $(curl -s "http://127.0.0.1:$(standin_port 1)/standin/v1/counters")"
kill -TERM "${pids[host-1]}"
for pid in "${callers[@]}"; do wait "$pid" || true; done
wait "${pids[host-1]}" || fail "host 1 ended with $?"
unset 'pids[host-1]'
not_run=0
for n in 1 2 3 4 5 6; do
	grep -q '"type":"shutting_down"' "$work/answer-$n" || fail "prompt $n has no answer: $(cat "$work/answer-$n")"
	if grep -q '"outcome":"not_run"' "$work/answer-$n"; then
		not_run=$((not_run + 1))
	else
		grep -q '"outcome":"unknown"' "$work/answer-$n" || fail "prompt $n: $(cat "$work/answer-$n")"
	fi
done
runs=$(wc -l <"$work/runs")
[ "$runs" = 1 ] || fail "$runs prompts ran on an engine with one slot"
[ "$not_run" = 5 ] || fail "of five prompts that waited, $not_run were told not_run: $(cat "$work"/answer-*)"
echo "one prompt that ran and $not_run that waited were answered before the host ended"
