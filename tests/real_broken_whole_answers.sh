#!/usr/bin/env bash
# Usage: real_broken_whole_answers.sh BUILD_DIR
# Every engine breaks each answer off halfway and keeps the rest for a while.
# Checks that callers who wait for the whole answer get it, as callers of streams
# do: each run is continued where it broke off, none is begun again.
set -euo pipefail
cd "$CHICORY_SOURCE_DIR"
build=$1
work=$(mktemp -d)
base_port=27500
. tools/cluster.sh
trap stop_all EXIT
fail() { echo "FAILED: $*"; tail -n 8 "$work"/host-*.log; exit 1; }
centres=([1]=regina [2]=saskatoon [3]=winnipeg)
start_hosts 1,2,3
operator 1 account add spa-desk s3cret >/dev/null || fail "cannot add the client account"
for n in 1 2 3 4; do
	start_standin "$n" "engine-$n" "${centres[$((n % 3 + 1))]}" 1,2,3 --model small-7b --run-log "$work/runs-$n" --break-every 1
done
for id in 1 2 3; do wait_until 30 has_upstreams "$id" 4 || fail "host $id does not list 4 upstreams"; done
for n in $(seq 12); do
	send_prompt $((n % 3 + 1)) s3cret small-7b "prompt $n" >"$work/answer"
	grep -q '"finish_reason"' "$work/answer" || fail "prompt $n has no whole answer: $(cat "$work/answer")"
done
runs=$(cat "$work"/runs-* | wc -l)
[ "$runs" = 12 ] || fail "12 prompts ran $runs times"
echo "12 whole answers of engines that break each answer off, from 12 runs"
