#!/usr/bin/env bash
# Usage: real_claims.sh BUILD_DIR
# Checks that a call with an idempotency key runs at most once when it is resent
# through every host, when its host is killed while it runs, and when a voter is
# down. Runs are counted in a log that the stand-in service writes.
set -euo pipefail
cd "$CHICORY_SOURCE_DIR"
build=$1
work=$(mktemp -d)
base_port=24200
. tools/cluster.sh
trap stop_all EXIT
fail() { echo "FAILED: $*"; tail -n 8 "$work"/host-*.log; exit 1; }
# runs KEY: prints how often the service ran the call with this key.
runs() { grep -c -- "$1" "$work/runs" 2>/dev/null || true; }
# deposit HOST KEY: sends a call with an idempotency key through a host and
# prints the answer.
deposit() {
	curl -s --max-time 20 "$(host_url "$1")/v1/services/ledger/deposit" -H 'Authorization: Bearer s3cret' \
	    -H "Idempotency-Key: $2" -H 'X-Request-Deadline-Ms: 15000' -d "amount 5 for $2"
	echo
}

centres=([1]=dodoma-a [2]=arusha-b [3]=mbeya-c)
start_hosts 1,2,3
operator 1 account add kilima-joto s3cret >/dev/null || fail "cannot add the client account"
start_standin 1 ledger-1 dodoma-a 1,2,3 --service --model ledger --service-ms 1500 --run-log "$work/runs"
for id in 1 2 3; do wait_until 30 has_upstreams "$id" 1 || fail "host $id does not list the upstream"; done

deposit 1 key-one >"$work/one"
[ "$(runs key-one)" = 1 ] || fail "key-one ran $(runs key-one) times: $(cat "$work/one")"
for id in 1 2 3; do
	deposit "$id" key-one >"$work/again"
	grep -q duplicate_request "$work/again" || fail "a resend through host $id got $(cat "$work/again")"
done
[ "$(runs key-one)" = 1 ] || fail "key-one ran $(runs key-one) times after resends"

# A caller that closes its connection during the call and then resends the call
# must not cause a second run.
curl -s --max-time 1 "$(host_url 1)/v1/services/ledger/deposit" -H 'Authorization: Bearer s3cret' \
    -H 'Idempotency-Key: key-gone' -H 'X-Request-Deadline-Ms: 15000' -d "amount 5" >/dev/null 2>&1 || true
sleep 2
for id in 1 2 3; do
	deposit "$id" key-gone >"$work/again"
	grep -q '"outcome":"not_run"' "$work/again" && fail "key-gone ran, and host $id says not_run"
done
[ "$(runs key-gone)" = 1 ] || fail "key-gone ran $(runs key-gone) times: $(cat "$work/again")"

# The host is killed while the call runs. Resent calls must neither run it again
# nor be answered with "not_run".
deposit 2 key-two >"$work/two" 2>&1 & sender=$!
wait_until 20 grep -q key-two "$work/runs" || fail "key-two did not begin"
kill -KILL "${pids[host-2]}"
wait "$sender" || true
for _ in 1 2 3; do
	for id in 1 3; do
		deposit "$id" key-two >"$work/again"
		grep -q '"outcome":"not_run"' "$work/again" && fail "host $id says that key-two did not run: $(cat "$work/again")"
	done
done
[ "$(runs key-two)" = 1 ] || fail "key-two ran $(runs key-two) times"

# Five calls with the same key are sent at once through two hosts while one
# voter is down; only one of them may run.
senders=()
for n in 1 2 3 4 5; do
	deposit $((n % 2 * 2 + 1)) key-three >"$work/race-$n" 2>&1 & senders+=($!)
done
for pid in "${senders[@]}"; do wait "$pid" || true; done
[ "$(runs key-three)" = 1 ] || fail "key-three ran $(runs key-three) times: $(cat "$work"/race-*)"
echo "each key ran once: resent through three hosts, after its host was killed, and in a race"
