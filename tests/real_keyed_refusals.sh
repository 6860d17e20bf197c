#!/usr/bin/env bash
# Usage: real_keyed_refusals.sh BUILD_DIR
# A call with an idempotency key has run, or may have. Checks that no resend under
# the key is told "not_run", also by a host that refuses it for another reason.
set -euo pipefail
cd "$CHICORY_SOURCE_DIR"
build=$1
work=$(mktemp -d)
base_port=28000
. tools/cluster.sh
trap stop_all EXIT
fail() { echo "FAILED: $*"; tail -n 8 "$work"/host-*.log; exit 1; }
runs() { grep -c -- "$1" "$work/runs" 2>/dev/null || true; }
deposit() {
	curl -s --max-time 20 "$(host_url "$1")/v1/services/ledger/deposit" -H 'Authorization: Bearer s3cret' \
	    -H "Idempotency-Key: $2" -H 'X-Request-Deadline-Ms: 15000' -d "amount 5 for $2"
	echo
}
told_not_run=0
# resend CASE HOST: sends the call that ran again, and counts a wrong answer.
resend() {
	deposit "$2" key-one >"$work/again"
	grep -q '"outcome":"not_run"' "$work/again" || return 0
	told_not_run=$((told_not_run + 1))
	echo "$1: key-one ran, and host $2 says $(cat "$work/again")"
}
# refuses HOST TYPE: whether the host refuses a call under a new key so.
refuses() { deposit "$1" "key-$RANDOM-$RANDOM" | grep -q "\"$2\""; }

centres=([1]=dodoma-a [2]=arusha-b [3]=mbeya-c)
start_hosts 1,2,3
operator 1 account add kilima-joto s3cret >/dev/null || fail "cannot add the client account"
start_standin 1 ledger-1 dodoma-a 1,2,3 --service --model ledger --service-ms 100 --run-log "$work/runs"
for id in 1 2 3; do wait_until 30 has_upstreams "$id" 1 || fail "host $id does not list the upstream"; done
deposit 1 key-one >"$work/one"
[ "$(runs key-one)" = 1 ] || fail "key-one ran $(runs key-one) times: $(cat "$work/one")"
resend "served" 2

kill -KILL "${pids[ledger-1]}"
wait_until 30 refuses 1 no_upstream || fail "host 1 refuses nothing without an upstream"
resend "no upstream" 1

kill -KILL "${pids[host-2]}" "${pids[host-3]}"
wait_until 30 refuses 1 lease_expired || fail "host 1 refuses nothing without a majority"
resend "no majority" 1
[ "$told_not_run" = 0 ] || fail "$told_not_run resends of a call that ran were told that it did not run"
echo "no resend of a call that ran was told that it did not run"
