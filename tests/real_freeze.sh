#!/usr/bin/env bash
# A host that was frozen through a takeout gives no new work in that data
# centre when it wakes up, and the order is in force without it meanwhile.
# The leader is frozen as well, and the next one takes orders.
# real_freeze.sh BUILD_DIR
set -euo pipefail
cd "$CHICORY_SOURCE_DIR"
build=$1
work=$(mktemp -d)
base_port=24600
. tools/cluster.sh
trap stop_all EXIT
fail() { echo "FAILED: $*"; tail -n 8 "$work"/host-*.log; exit 1; }
runs_in() { cat "$work"/runs-"$1" 2>/dev/null | wc -l; }
leader() { operator "$1" status --json | sed 's/.*"leader":\([0-9]*\).*/\1/'; }
other_leader() { local now; now=$(leader "$1"); [ "$now" -gt 0 ] && [ "$now" != "$2" ]; }

centres=([1]=regina [2]=saskatoon [3]=winnipeg [4]=regina)
start_hosts 1,2,3
operator 4 account add spa-desk s3cret >/dev/null || fail account
start_standin 1 engine-r regina 1,2,3,4 --model small-7b --run-log "$work/runs-regina"
start_standin 2 engine-s saskatoon 1,2,3,4 --model small-7b --run-log "$work/runs-saskatoon"
for id in 1 2 3 4; do wait_until 30 has_upstreams "$id" 2 || fail upstreams; done
# Host 4 stands in regina and works there first, so its grants are warm.
uses_regina() { ask 4 s3cret small-7b "before" | grep -q '"text"' && [ "$(runs_in regina)" -gt 0 ]; }
wait_until 30 uses_regina || fail "host 4 did not use regina"

kill -STOP "${pids[host-4]}"
operator 1 takeout regina-down data_centre=regina --timeout-ms 20000 || fail "not in force while a host is frozen"
before=$(runs_in regina)
# Asked while it is frozen, so that the request waits in its socket.
ask 4 s3cret small-7b "while frozen" >"$work/frozen" 2>&1 & asker=$!
sleep 1
kill -CONT "${pids[host-4]}"
wait "$asker" || true
for n in 1 2 3 4 5; do ask 4 s3cret small-7b "after $n" >>"$work/after" || true; done
[ "$(runs_in regina)" = "$before" ] || fail "the woken host began $(($(runs_in regina) - before)) runs in regina: $(cat "$work/frozen")"
wait_until 20 is_ready 4 || fail "host 4 does not come back"
ask 4 s3cret small-7b "at last" | grep -q '"text"' || fail "host 4 does not serve elsewhere"

old=$(leader 2)
kill -STOP "${pids[host-$old]}"
survivor=$((old % 3 + 1))
wait_until 20 other_leader $survivor "$old" || fail "no new leader"
operator $survivor bring-back regina-down --timeout-ms 20000 || fail "no order under the new leader"
kill -CONT "${pids[host-$old]}"
back() { [ "$(operator "$old" status --json | sed 's/.*"revision":\([0-9]*\).*/\1/')" = "$(operator $survivor status --json | sed 's/.*"revision":\([0-9]*\).*/\1/')" ]; }
wait_until 30 back || fail "the woken leader does not follow"
[ "$(leader "$survivor")" != "$old" ] || fail "the woken leader leads again"
echo "frozen host and frozen leader did no harm"
