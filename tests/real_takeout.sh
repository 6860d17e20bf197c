#!/usr/bin/env bash
# Usage: real_takeout.sh BUILD_DIR
# On 8 hosts, an operator takes a data centre out of service through one host,
# the leader is killed meanwhile, and the order is resent through another host.
# Checks that no upstream of the data centre begins a run once the takeout is in
# force.
set -euo pipefail
cd "$CHICORY_SOURCE_DIR"
build=$1
work=$(mktemp -d)
base_port=23000
. tools/cluster.sh
trap stop_all EXIT

fail() { echo "FAILED: $*"; tail -n 5 "$work"/host-*.log; exit 1; }
# runs_in DATA_CENTRE: prints how many runs the stand-ins of the data centre
# have logged.
runs_in() { cat "$work"/runs-"$1"-* 2>/dev/null | wc -l; }
leader() { operator "$1" status --json | sed 's/.*"leader":\([0-9]*\).*/\1/'; }
has_leader() { [ "$(leader "$1")" -gt 0 ]; }
revision() { operator "$1" status --json | sed 's/.*"revision":\([0-9]*\).*/\1/'; }

centres=([1]=regina [2]=saskatoon [3]=winnipeg [4]=regina [5]=saskatoon [6]=winnipeg [7]=regina [8]=saskatoon)
start_hosts 1,2,3,4,5
operator 6 account add spa-desk s3cret >/dev/null || fail "cannot add the client account"
number=0
for id in 1 2 3; do
	for copy in a b; do
		number=$((number + 1))
		start_standin "$number" "${centres[$id]}-$copy" "${centres[$id]}" "$id,6,7,8" --model small-7b \
		    --run-log "$work/runs-${centres[$id]}-$copy"
	done
done
for id in 6 7 8; do wait_until 30 has_upstreams "$id" 6 || fail "host $id does not list 6 upstreams"; done

# Requests are sent through the hosts that are not voters (6, 7 and 8) during
# the whole test.
load() {
	local n=0
	while [ ! -e "$work/stop-load" ]; do
		n=$((n + 1))
		send_prompt $((6 + n % 3)) s3cret small-7b "prompt $n" >>"$work/answers" || true
		echo >>"$work/answers"
	done
}
load & load_pid=$!
wait_until 30 test -s "$work/answers"

# The order goes to host 7; the leader is killed while the order is under way.
victim=$(leader 1)
operator 7 takeout regina-down data_centre=regina --operation-id op-1 --timeout-ms 8000 >"$work/first" 2>&1 & first=$!
kill -KILL "${pids[host-$victim]}"
first_status=0
wait "$first" || first_status=$?
echo "first answer: exit $first_status: $(cat "$work/first")"
# The order is resent through another host with the same operation id until the
# command reports that it is in force.
survivor=6
in_force=no
for _ in 1 2 3 4 5 6; do
	if operator $survivor takeout regina-down data_centre=regina --operation-id op-1 --timeout-ms 8000 >"$work/second" 2>&1; then
		in_force=yes
		break
	fi
done
[ $in_force = yes ] || fail "the takeout did not come into force: $(cat "$work/second")"
before=$(runs_in regina)
total_before=$(runs_in saskatoon)
wait_until 30 test -s "$work/answers"
for _ in $(seq 1 40); do send_prompt 8 s3cret small-7b "after $_" >>"$work/answers"; echo >>"$work/answers"; done
after=$(runs_in regina)
[ "$before" = "$after" ] || fail "regina began $((after - before)) runs after the takeout was in force"
[ "$(runs_in saskatoon)" -gt "$total_before" ] || fail "nothing was served elsewhere"
# All remaining hosts have the same configuration revision.
expected=$(revision 6)
for id in 1 2 3 4 5 6 7 8; do
	[ "$id" = "$victim" ] && continue
	[ "$(revision "$id")" = "$expected" ] || fail "host $id is at revision $(revision "$id"), not $expected"
done
touch "$work/stop-load"
wait "$load_pid"
grep -q '"text"' "$work/answers" || fail "no answer at all"
echo "takeout held: $before runs in regina before and after; $(grep -c '"text"' "$work/answers") answers, $(grep -c '"error"' "$work/answers" || true) errors"
