#!/usr/bin/env bash
# Usage: real_upgrade.sh BUILD_DIR
# Three hosts are restarted one after the other while prompts go on, as in an
# upgrade. Checks that "upgrade check" lets the next host be restarted only
# while all voters are sound, that it names the build of each host, and that no
# prompt is lost: each is answered, or refused as not run and then answered
# through another host.
set -euo pipefail
cd "$CHICORY_SOURCE_DIR"
build=$1
work=$(mktemp -d)
base_port=28000
. tools/cluster.sh
loads=()
# finish: ends the callers, which would go on asking, and then all processes.
finish() {
	[ ${#loads[@]} = 0 ] || kill "${loads[@]}" 2>/dev/null || true
	stop_all
}
trap finish EXIT
fail() { echo "FAILED: $*"; tail -n 8 "$work"/host-*.log; exit 1; }

# ask N: sends prompt N through one host after the other until one answers it.
# Only a host that accepts no connection, or says that the prompt did not run,
# may be followed by another one; any other end is a lost prompt.
ask() {
	local n=$1 host answer status try
	for try in $(seq 1 150); do
		host=$((1 + (n + try) % 3))
		status=0
		answer=$(send_prompt "$host" s3cret small-7b "prompt $n") || status=$?
		case $answer in
		*'"text"'*) echo "$n $host" >>"$work/answered"; return ;;
		*'"not_run"'*) ;;
		*) [ $status = 7 ] || { echo "$n through $host: exit $status: $answer" >>"$work/lost"; return; } ;;
		esac
		sleep 0.2
	done
	echo "$n: never answered: exit $status: $answer" >>"$work/lost"
}
# load FIRST: sends prompts FIRST, FIRST + 3, ... until the file stop-load
# exists.
load() {
	local n=$1
	while [ ! -e "$work/stop-load" ]; do
		echo "$n" >>"$work/sent"
		ask "$n"
		n=$((n + 3))
	done
}
# check HOST_ID: runs the check against one host and keeps its output.
check() { operator "$1" upgrade check >"$work/check" 2>&1; }
status_of() { local status=0; "$@" || status=$?; echo $status; }
answered() { wc -l <"$work/answered"; }
has_answered() { [ "$(answered)" -ge "$1" ]; }

centres=([1]=regina [2]=saskatoon [3]=winnipeg)
start_hosts 1,2,3
operator 1 account add spa-desk s3cret >/dev/null || fail "cannot add the client account"
for n in 1 2 3; do start_standin "$n" "engine-$n" "${centres[$n]}" 1,2,3 --model small-7b; done
for id in 1 2 3; do wait_until 30 has_upstreams "$id" 3 || fail "host $id does not list 3 upstreams"; done

# Every place that names the build agrees with the program.
name=$("$build/chicorytack" --version | sed 's/^chicorytack //')
wait_until 30 check 1 || fail "check before: $(cat "$work/check")"
grep -qF "builds      $name, level " "$work/check" || fail "no build $name in: $(cat "$work/check")"
grep -qF ": 3 hosts: 1 2 3" "$work/check" || fail "not three hosts of one build: $(cat "$work/check")"
grep -qF "3 of 3 sound" "$work/check" || fail "not all voters are sound: $(cat "$work/check")"
[ "$(operator 2 hosts list | grep -cF " $name")" = 3 ] || fail "hosts list lacks builds: $(operator 2 hosts list)"
operator 3 status | grep -F "build       $name, level" >/dev/null || fail "status lacks the build"
curl -s "$(host_url 1)/metrics" | grep -F "chicorytack_build_info{build=\"$name\"" >/dev/null || fail "metrics lack the build"
grep -F '"event":1001' "$work/host-1.log" | grep -F "build $name" >/dev/null || fail "the start event lacks the build"
# The level in force is that of the build, once all hosts have stated theirs.
level=$(sed -n 's/.*, level \([0-9]*\): 3 hosts.*/\1/p' "$work/check")
has_level() { check 2 && grep -qF "in force: $level; with all hosts as $name it stays" "$work/check"; }
wait_until 30 has_level || fail "level $level is not in force: $(cat "$work/check")"
grep -qF "open now, open once all hosts are upgraded" "$work/check" || fail "no way back: $(cat "$work/check")"
operator 1 upgrade check --json | grep -F '"result":"none"' >/dev/null || fail "JSON: $(operator 1 upgrade check --json)"

# The view needs an operator's token, and an unknown host is a typed error.
[ "$(status_of "$build/chicorytack" upgrade check --host "$(host_url 1)" --token wrong 2>"$work/check")" = 6 ] || fail "wrong token: $(cat "$work/check")"
[ "$(status_of "$build/chicorytack" upgrade check --host "http://127.0.0.1:$((base_port + 99))" 2>"$work/check")" = 7 ] || fail "no host: $(cat "$work/check")"
grep -q "connection" "$work/check" || fail "no typed error: $(cat "$work/check")"
[ "$(status_of operator 1 upgrade later 2>/dev/null)" = 2 ] || fail "upgrade without check is accepted"

touch "$work/answered" "$work/lost"
for n in 1 2 3; do load "$n" & loads+=($!); done
wait_until 30 has_answered 10 || fail "no prompt is answered"
for id in 3 1 2; do
	other=$((1 + id % 3))
	kill -TERM "${pids[host-$id]}"
	ended=0
	wait "${pids[host-$id]}" || ended=$?
	unset "pids[host-$id]"
	[ "$ended" = 0 ] || fail "host $id ended with $ended"
	# With one voter away, no other one may be.
	[ "$(status_of check $other)" = 7 ] || fail "check while host $id is down: $(cat "$work/check")"
	grep -qE "2 of 3 sound, leader [1-3]; one of them may not be lost" "$work/check" || fail "check while host $id is down: $(cat "$work/check")"
	grep -qE "host $id: no answer: connection" "$work/check" || fail "check does not name host $id: $(cat "$work/check")"
	before=$(answered)
	start_host "$id"
	wait_until 30 is_ready "$id" || fail "host $id is not ready again"
	wait_until 30 check "$other" || fail "check after host $id: $(cat "$work/check")"
	wait_until 30 has_answered $((before + 10)) || fail "prompts stopped after host $id"
done
check 1 || fail "check after: $(cat "$work/check")"
touch "$work/stop-load"
for pid in "${loads[@]}"; do wait "$pid"; done
loads=()
[ ! -s "$work/lost" ] || fail "lost prompts: $(head -5 "$work/lost")"
[ "$(answered)" = "$(wc -l <"$work/sent")" ] || fail "$(answered) of $(wc -l <"$work/sent") prompts answered"
cat "$work/check"
echo "three hosts were restarted one after the other; $(answered) prompts, none lost"
