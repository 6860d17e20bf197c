#!/usr/bin/env bash
# Usage: real_majority.sh BUILD_DIR
# Checks that without a majority of the voters no host begins new work and that
# it refuses requests with "not_run"; that an operator's override makes one host
# ready until the override is cleared; and that all hosts serve again once the
# majority is back.
set -euo pipefail
cd "$CHICORY_SOURCE_DIR"
build=$1
work=$(mktemp -d)
base_port=21300
. tools/cluster.sh
trap stop_all EXIT
fail() { echo "FAILED: $*"; tail -n 8 "$work"/host-*.log; exit 1; }
runs() { cat "$work/runs" 2>/dev/null | wc -l; }
is_unready() { ! is_ready "$1"; }
served() { send_prompt "$1" s3cret small-7b "a prompt" -H 'X-Request-Deadline-Ms: 8000' | grep -q '"text"'; }

centres=([1]=regina [2]=saskatoon [3]=winnipeg)
start_hosts 1,2,3
operator 1 account add spa-desk s3cret >/dev/null || fail "cannot add the client account"
start_standin 1 engine-1 regina 1,2,3 --model small-7b --run-log "$work/runs"
for id in 1 2 3; do wait_until 30 has_upstreams "$id" 1 || fail "host $id does not list the upstream"; done
wait_until 30 served 3 || fail "host 3 does not serve at first"

kill -KILL "${pids[host-1]}" "${pids[host-2]}"
wait_until 30 is_unready 3 || fail "host 3 is still ready"
before=$(runs)
send_prompt 3 s3cret small-7b "lost majority" >"$work/refused"
grep -q '"outcome":"not_run"' "$work/refused" || fail "the answer was $(cat "$work/refused")"
[ "$(runs)" = "$before" ] || fail "the refused request ran"
# The token may belong to an account that was added since the lease ran out.
send_prompt 3 unknown small-7b "unknown token" >"$work/unknown"
grep -q lease_expired "$work/unknown" || fail "an unknown token got $(cat "$work/unknown")"
operator 3 config put setting/x 1 --timeout-ms 3000 >/dev/null 2>&1 && fail "a change was accepted without a majority"

operator 3 override serve-unconfirmed 600 >/dev/null || fail "cannot set the override"
wait_until 5 is_ready 3 || fail "host 3 is not ready under the override"
operator 3 override clear >/dev/null || fail "cannot clear the override"
wait_until 10 is_unready 3 || fail "host 3 is still ready after the override was cleared"

start_host 1
start_host 2
for id in 1 2 3; do wait_until 30 is_ready "$id" || fail "host $id not ready again"; done
wait_until 30 served 3 || fail "host 3 does not serve at the end"
echo "no new work without a majority; the override held until it was cleared; all hosts serve with the majority back"
