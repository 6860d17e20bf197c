#!/usr/bin/env bash
# Usage: real_faulty_upstreams.sh BUILD_DIR
# Upstreams break streams off, send pieces twice and send them out of order.
# Checks that every caller still gets the whole answer to its own request,
# streamed or not.
set -euo pipefail
cd "$CHICORY_SOURCE_DIR"
build=$1
work=$(mktemp -d)
base_port=22600
. tools/cluster.sh
trap stop_all EXIT
fail() { echo "FAILED: $*"; tail -n 8 "$work"/host-*.log; exit 1; }
centres=([1]=regina [2]=saskatoon [3]=winnipeg)
start_hosts 1,2,3
operator 1 account add spa-desk s3cret >/dev/null || fail "cannot add the client account"
for n in 1 2 3 4; do
	start_standin "$n" "engine-$n" "${centres[$((n % 3 + 1))]}" 1,2,3 --model small-7b --cold-requests 16 \
	    --break-every 7 --duplicate-every 3 --reorder-every 4
done
for id in 1 2 3; do wait_until 30 has_upstreams "$id" 4 || fail "host $id does not list 4 upstreams"; done
"$build/bench_load" --host "$(host_url 1)" --host "$(host_url 2)" --host "$(host_url 3)" --seed 11 --requests 150 \
    --concurrency 6 --model small-7b --token s3cret --bands 1,0,0,0 --stream-percent 50 --deadline-ms 30000 >"$work/load" \
    || fail "lost or wrong answers: $(grep '"all"' "$work/load")"
grep '"all"' "$work/load"
grep '"all"' "$work/load" | grep -q '"done":150,"refused":0,"failed":0,"lost":0,"wrong":0' || fail "not all requests got a complete answer: $(grep -h E600 "$work"/host-*.log | tail -5)"
echo "150 complete answers from upstreams that break off, repeat and reorder streams"
