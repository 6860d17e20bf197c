#!/usr/bin/env bash
# Usage: real_platform.sh BUILD_DIR
# Runs the platform's processes as they are deployed: three control hosts and
# two entry hosts. Checks that a planned stop under load breaks off no request
# and ends with status 0, that the configuration survives the loss of a control
# host, and that every log line is a JSON object.
set -euo pipefail
cd "$CHICORY_SOURCE_DIR"
build=$1
work=$(mktemp -d)
base_port=23700
net=7
. tools/cluster.sh
. tests/platform.sh
trap stop_all EXIT
fail() { echo "FAILED: $*"; tail -n 5 "$work"/*.log; exit 1; }

for id in 1 2 3; do start_control "$id"; done
for id in 4 5; do start_entry "$id"; done
for n in 1 2; do start_upstream "$n"; done
write_config
get_config() { curl -sf --max-time 4 "$(control_url "$1")/v1/Config.Get" >"$work/got-config" && grep -q '"version": *7' "$work/got-config"; }
# is_denied ends the wait at any answer but 503: a host that has the routes but
# no configuration lease yet denies nothing and asks the caller to come back.
is_denied() {
	curl -s --max-time 4 "$(entry_url 4)/quick" -H 'Host: h.example' -H 'X-Api-Key: no' -o /dev/null -w '%{http_code}' >"$work/denied" && [ "$(cat "$work/denied")" != 503 ]
}

wait_until 30 put_config || fail "the first configuration was not accepted"
send_heartbeats 2 regina 2 &
pids[heartbeats]=$!
for id in 4 5; do
	wait_until 30 is_entry_ready "$id" || fail "entry host $id is not ready"
	wait_until 30 is_served "$id" || fail "entry host $id does not serve"
done
[ "$(call 4 /quick a1)" = done ] || fail "a plain call got no complete answer"
wait_until 30 is_denied || fail "a request with an unknown API key was not answered with 401: $(cat "$work/denied")"
grep -q 401 "$work/denied" || fail "a request with an unknown API key was answered with $(cat "$work/denied")"
# Read whole before the search: curl fails if grep closes the pipe early.
curl -sf --max-time 4 "http://$(ip_of 4):$ready_port/metrics" >"$work/metrics" || fail "no metrics served"
grep -q '^chicorytack_' "$work/metrics" || fail "no metrics"
# Operators see which build each host is.
name=$("$build/chicorytack" --version | sed 's/^chicorytack //')
grep -F "chicorytack_build_info{build=\"$name\"" "$work/metrics" >/dev/null || fail "metrics lack the build"
curl -sf --max-time 4 "http://$(ip_of 1):$control_port/metrics" | grep -F "chicorytack_build_info{build=\"$name\"" >/dev/null || fail "metrics of the control host lack the build"
for n in 1 4; do
	grep -F '"event":1001' "$work/node-$n.log" | grep -F "build $name, level " >/dev/null || fail "the start event of node $n lacks the build"
	grep -F '"event":4001' "$work/node-$n.log" | grep -F "build $name" >/dev/null || fail "node $n does not log the build of a host that joined"
done

# Entry host 4 is stopped as planned while requests run on it and while the
# other entry host is under load and keeps sending it work reports.
load() { local n; for n in $(seq 200); do call 5 /quick "load-$n" >>"$work/load" || true; done; }
load &
pids[load]=$!
for n in 1 2 3; do call 4 /slow "slow-$n" >"$work/slow-$n" & slow[$n]=$!; done
sleep 0.5
kill -TERM "${pids[node-4]}"
for n in 1 2 3; do
	wait "${slow[$n]}" || true
	[ "$(cat "$work/slow-$n")" = done ] || fail "a running request was broken off: $(cat "$work/slow-$n")"
done
wait "${pids[node-4]}" || fail "the stopped entry host ended with $?"
unset 'pids[node-4]'
grep -q '"event":1003' "$work/node-4.log" || fail "the entry host did not log its end (event 1003)"
wait "${pids[load]}" || true
unset 'pids[load]'
[ "$(grep -o done "$work/load" | wc -l)" = 200 ] || fail "calls to the other entry host were lost during the stop"

# The configuration stays available on the remaining control hosts when one
# control host is killed.
kill -KILL "${pids[node-1]}"
wait "${pids[node-1]}" 2>/dev/null || true
unset 'pids[node-1]'
wait_until 30 get_config 2 || fail "host 2 does not know the configuration"
wait_until 30 get_config 3 || fail "host 3 does not know the configuration"
is_served 5 || fail "no service without one control host"
for id in 5 3 2; do
	kill -TERM "${pids[node-$id]}"
	wait "${pids[node-$id]}" || fail "host $id ended with $?"
	unset "pids[node-$id]"
done
! grep -hv '^{"time":' "$work"/node-*.log || fail "a log line is not a JSON object"
"$build/chicorytack" explain slow-1 "$work"/node-*.log | grep -q "answer was sent to the caller" || fail "slow-1 is not explained"
echo "no request lost in a stop under load, configuration kept without a control host, all stops clean"
