#!/usr/bin/env bash
# Usage: real_stale_order.sh BUILD_DIR
# Guards against an order that a control host carries out after its caller has
# given it, and a newer one, to another host: an operator ends the evacuation of
# a zone over a frozen control host and then over another one, and evacuates the
# zone again. When the frozen host wakes up, the zone must stay evacuated.
set -euo pipefail
cd "$CHICORY_SOURCE_DIR"
build=$1
work=$(mktemp -d)
base_port=24100
net=9
. tools/cluster.sh
. tests/platform.sh
trap stop_all EXIT
fail() { echo "FAILED: $*"; grep -h '"event":1013' "$work"/*.log; exit 1; }

for id in 1 2 3; do start_control "$id"; done
start_entry 4
start_upstream 1
write_config
wait_until 30 put_config || fail "the configuration was not accepted"
send_heartbeats 2 regina 1 &
pids[heartbeats]=$!
wait_until 30 is_entry_ready 4 || fail "the entry host is not ready"
wait_until 30 is_served 4 || fail "the entry host does not serve"
is_refused() { ! is_served 4; }
# decided HOST: how many orders about the zone the host has decided.
decided() { grep -c '"event":1013' "$work/node-$1.log" || true; }
has_decided() { [ "$(decided "$1")" -gt "$2" ]; }

order 2 /v1/Evacuations.Start/regina || fail "the evacuation was not acknowledged"
wait_until 10 is_refused || fail "the evacuated zone is used"
for round in 1 2 3; do
	before=$(decided 3)
	kill -STOP "${pids[node-3]}"
	! order 3 /v1/Evacuations.End/regina || fail "a frozen host has answered"
	order 2 /v1/Evacuations.End/regina || fail "the end was not acknowledged"
	wait_until 10 is_served 4 || fail "the zone is not used although its evacuation has ended"
	order 2 /v1/Evacuations.Start/regina || fail "the newer evacuation was not acknowledged"
	wait_until 10 is_refused || fail "the evacuated zone is used"
	kill -CONT "${pids[node-3]}"
	# The order that the host was given is decided before the zone is judged.
	wait_until 10 has_decided 3 "$before" || fail "the host that woke up has not decided the order"
	for n in $(seq 20); do
		is_refused || fail "round $round: a request was served in the evacuated zone"
		sleep 0.1
	done
done
order 3 /v1/Evacuations.End/regina || fail "the host that woke up takes no new orders"
wait_until 10 is_served 4 || fail "the zone is not used although its evacuation has ended"
echo "three stale orders left the newer evacuation in force"
