# Functions that start hosts and stand-ins as real processes on loopback, for
# demo.sh, bench.sh and tests/real_*.sh. Source it after setting:
#   build      folder with the programs
#   work       folder for settings, data and logs
#   base_port  first of 300 ports on 127.0.0.1
# shellcheck shell=bash

peer_key=000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f
operator_token=demo-admin
declare -A pids=()

peer_port() { echo $((base_port + $1)); }
http_port() { echo $((base_port + 100 + $1)); }
standin_port() { echo $((base_port + 200 + $1)); }
host_url() { echo "http://127.0.0.1:$(http_port "$1")"; }

# write_settings ID DATA_CENTRE VOTERS [EXTRA_JSON]: voters as "1,2,3".
write_settings() {
	local id=$1 data_centre=$2 voters=$3 extra=${4:-} seeds="" voter data_dir=""
	for voter in ${voters//,/ }; do
		seeds+="{\"id\":$voter,\"address\":\"127.0.0.1\",\"port\":$(peer_port "$voter")},"
		[ "$voter" = "$id" ] && data_dir="$work/data-$id"
	done
	[ "${with_disk:-}" = yes ] && data_dir="$work/data-$id"
	cat >"$work/host-$id.json" <<-JSON
	{
	  "cluster": "demo",
	  "host": {"id": $id, "name": "$data_centre-$id", "data_centre": "$data_centre", "region": "prairie"},
	  "listen": {"http_port": $(http_port "$id"), "peer_port": $(peer_port "$id")},
	  "data_dir": "$data_dir",
	  "trace_file": "$work/spans-$id.jsonl",
	  "voters": [$voters],
	  "seeds": [${seeds%,}],
	  "peer_keys": [{"id": 1, "key": "$peer_key"}],
	  "operators": [
	    {"name": "admin", "token": "$operator_token", "role": "admin"},
	    {"name": "viewer", "token": "demo-viewer", "role": "reader"}
	  ]$extra
	}
	JSON
}

# start_host ID: runs it in the background and notes its process id.
start_host() {
	"$build/chicorytack" serve --config "$work/host-$1.json" >>"$work/host-$1.log" 2>&1 &
	pids[host-$1]=$!
}

# start_standin N NAME DATA_CENTRE HOST_IDS [OPTIONS]: announces to those hosts.
start_standin() {
	local number=$1 name=$2 data_centre=$3 hosts=$4 host options=()
	shift 4
	for host in ${hosts//,/ }; do
		options+=(--host "$(host_url "$host")")
	done
	"$build/chicorytack-standin" --name "$name" --data-centre "$data_centre" \
	    --port "$(standin_port "$number")" "${options[@]}" "$@" >>"$work/$name.log" 2>&1 &
	pids[$name]=$!
}

# wait_until SECONDS COMMAND...: tries until it succeeds.
wait_until() {
	local tries=$(($1 * 10))
	shift
	while ! "$@" >/dev/null 2>&1; do
		tries=$((tries - 1))
		[ $tries -gt 0 ] || { echo "gave up waiting for: $*" >&2; return 1; }
		sleep 0.1
	done
}

is_ready() { curl -sf "$(host_url "$1")/readyz"; }

# start_hosts VOTERS: one for each id in the array centres; waits until all are
# ready, and calls the test's own fail if one is not.
start_hosts() {
	local id
	for id in "${!centres[@]}"; do
		write_settings "$id" "${centres[$id]}" "$1"
		start_host "$id"
	done
	for id in "${!centres[@]}"; do wait_until 30 is_ready "$id" || fail "host $id not ready"; done
}

# operator HOST_ID VERB...: an operator's verb against that host.
operator() {
	local host=$1
	shift
	"$build/chicorytack" "$@" --host "$(host_url "$host")" --token "$operator_token"
}

# has_upstreams HOST_ID COUNT: true once the host lists so many.
has_upstreams() {
	[ "$(operator "$1" upstreams --json | grep -o '"name"' | wc -l)" -ge "$2" ]
}

# ask HOST_ID TOKEN MODEL PROMPT [CURL_OPTIONS]: a completion, whole.
ask() {
	local host=$1 token=$2 model=$3 prompt=$4
	shift 4
	curl -s --max-time "${ask_seconds:-30}" "$(host_url "$host")/v1/completions" -H "Authorization: Bearer $token" \
	    -H 'Content-Type: application/json' "$@" \
	    -d "{\"model\":\"$model\",\"prompt\":\"$prompt\",\"max_tokens\":8}"
}

# stop NAME: planned stop of one process, waited for.
stop() {
	kill -TERM "${pids[$1]}" 2>/dev/null || true
	wait "${pids[$1]}" 2>/dev/null || true
	unset "pids[$1]"
}

# stop_all: ends only what this shell started; fails if a sanitizer reported.
stop_all() {
	local name reports
	for name in "${!pids[@]}"; do
		kill -CONT "${pids[$name]}" 2>/dev/null || true
		kill -KILL "${pids[$name]}" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	reports=$(grep -lE "Sanitizer|runtime error:" "$work"/*.log 2>/dev/null || true)
	if [ -n "$reports" ]; then
		echo "FAILED: a sanitizer reported:"
		grep -hE -A20 "Sanitizer|runtime error:" $reports | head -60
		exit 1
	fi
}
