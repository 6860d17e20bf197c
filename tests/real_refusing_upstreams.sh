#!/usr/bin/env bash
# Usage: real_refusing_upstreams.sh BUILD_DIR
# Engines run requests and answer with earlier refusals, refuse other requests
# within a stream, refuse after the first pieces, and stop in the head of answers.
# Checks that callers whose prompts may be repeated get whole answers, and that a
# prompt with a key runs at most once and never after "not run" was said of it.
set -euo pipefail
cd "$CHICORY_SOURCE_DIR"
build=$1
work=$(mktemp -d)
base_port=26700
. tools/cluster.sh
trap stop_all EXIT
fail() { echo "FAILED: $*"; tail -n 8 "$work"/host-*.log; exit 1; }
# runs KEY: prints how often the engines ran the prompt with this key.
runs() { cat "$work"/runs-* | grep -c "^$1 " || true; }

centres=([1]=regina [2]=saskatoon [3]=winnipeg)
start_hosts 1,2,3
operator 1 account add spa-desk s3cret >/dev/null || fail "cannot add the client account"
for n in 1 2 3 4; do
	start_standin "$n" "engine-$n" "${centres[$((n % 3 + 1))]}" 1,2,3 --model small-7b --cold-requests 16 \
	    --run-log "$work/runs-$n" --refuse-other-every 3 --refuse-earlier-every 11 --error-every 13 --cut-head-every 17
done
for id in 1 2 3; do wait_until 30 has_upstreams "$id" 4 || fail "host $id does not list 4 upstreams"; done

"$build/bench_load" --host "$(host_url 1)" --host "$(host_url 2)" --host "$(host_url 3)" --seed 12 --requests 150 \
    --concurrency 6 --model small-7b --token s3cret --bands 1,0,0,0 --stream-percent 50 --deadline-ms 30000 >"$work/load" \
    || fail "lost or wrong answers: $(grep '"all"' "$work/load")"
grep '"all"' "$work/load"
grep '"all"' "$work/load" | grep -q '"done":150,"refused":0,"failed":0,"lost":0,"wrong":0' || fail "not all requests got a complete answer: $(grep -h E600 "$work"/host-*.log | tail -5)"

not_run=0
open=0
for n in $(seq 60); do
	send_prompt $((n % 3 + 1)) s3cret small-7b "keyed prompt $n" -H "Idempotency-Key: key-$n" >"$work/answer"
	count=$(runs "key-$n")
	[ "$count" -le 1 ] || fail "key-$n ran $count times: $(cat "$work/answer")"
	if grep -q '"outcome":"not_run"' "$work/answer"; then
		not_run=$((not_run + 1))
		[ "$count" = 0 ] || fail "key-$n ran, and its caller was told not_run: $(cat "$work/answer")"
	elif grep -q '"outcome"' "$work/answer"; then
		open=$((open + 1))
	else
		grep -q '"finish_reason"' "$work/answer" || fail "key-$n has no whole answer: $(cat "$work/answer")"
	fi
done
[ "$open" -gt 0 ] || fail "no prompt with a key met a fault"
echo "150 complete answers; of 60 prompts with a key none ran twice, $open ended open, $not_run were refused"
