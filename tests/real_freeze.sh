#!/usr/bin/env bash
# Usage: real_freeze.sh BUILD_DIR
# A host is frozen (SIGSTOP) while operators take a data centre out of service.
# Checks that the takeout comes into force without the frozen host, and that the
# host sends no new work to that data centre once it continues. Then the leader
# is frozen; its successor must accept operators' orders.
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
operator 4 account add spa-desk s3cret >/dev/null || fail "cannot add the client account"
start_standin 1 engine-r regina 1,2,3,4 --model small-7b --run-log "$work/runs-regina"
start_standin 2 engine-s saskatoon 1,2,3,4 --model small-7b --run-log "$work/runs-saskatoon"
for id in 1 2 3 4; do wait_until 30 has_upstreams "$id" 2 || fail "host $id does not list 2 upstreams"; done
# Host 4 is in regina and sends its first requests there, so that it holds
# capacity grants for regina when it is frozen.
uses_regina() { send_prompt 4 s3cret small-7b "before" | grep -q '"text"' && [ "$(runs_in regina)" -gt 0 ]; }
wait_until 30 uses_regina || fail "host 4 did not use regina"

kill -STOP "${pids[host-4]}"
operator 1 takeout regina-down data_centre=regina --timeout-ms 20000 || fail "the takeout did not come into force while a host was frozen"
before=$(runs_in regina)
# Sent while host 4 is frozen, so that the request waits in the host's socket
# and is read as soon as the host continues.
send_prompt 4 s3cret small-7b "while frozen" >"$work/frozen" 2>&1 & sender=$!
sleep 1
kill -CONT "${pids[host-4]}"
wait "$sender" || true
for n in 1 2 3 4 5; do send_prompt 4 s3cret small-7b "after $n" >>"$work/after" || true; done
[ "$(runs_in regina)" = "$before" ] || fail "the host that was frozen began $(($(runs_in regina) - before)) runs in regina: $(cat "$work/frozen")"
wait_until 20 is_ready 4 || fail "host 4 is not ready again"
send_prompt 4 s3cret small-7b "at last" | grep -q '"text"' || fail "host 4 does not serve through other data centres"

old=$(leader 2)
kill -STOP "${pids[host-$old]}"
survivor=$((old % 3 + 1))
wait_until 20 other_leader $survivor "$old" || fail "no new leader was elected"
operator $survivor bring-back regina-down --timeout-ms 20000 || fail "the new leader accepted no order"
kill -CONT "${pids[host-$old]}"
has_same_revision() { [ "$(operator "$old" status --json | sed 's/.*"revision":\([0-9]*\).*/\1/')" = "$(operator $survivor status --json | sed 's/.*"revision":\([0-9]*\).*/\1/')" ]; }
wait_until 30 has_same_revision || fail "the former leader does not have the new leader's revision"
[ "$(leader "$survivor")" != "$old" ] || fail "the former leader leads again"
echo "the takeout held with a frozen host, and a new leader replaced the frozen one"
