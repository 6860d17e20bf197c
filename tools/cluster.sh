# Shell functions that run hosts and stand-in engines as real processes on
# loopback, for demo.sh, bench_real.sh and tests/real_*.sh. A script sets these
# variables before it sources this file:
#   build      folder with the programs
#   work       folder for settings, data and logs
#   base_port  first of 300 consecutive ports on 127.0.0.1
# shellcheck shell=bash

peer_key=000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f
operator_token=demo-admin
declare -A pids=()

peer_port() { echo $((base_port + $1)); }
http_port() { echo $((base_port + 100 + $1)); }
standin_port() { echo $((base_port + 200 + $1)); }
host_url() { echo "http://127.0.0.1:$(http_port "$1")"; }

# write_settings ID DATA_CENTRE VOTERS [EXTRA_JSON]: writes the settings file of
# a host. VOTERS lists host ids as in "1,2,3". Voters get a data folder; with
# the variable with_disk=yes, other hosts get one as well. EXTRA_JSON is
# appended to the JSON object and starts with a comma.
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

# start_host ID: starts a host in the background and stores its process id in
# pids[host-ID].
start_host() {
	"$build/chicorytack" serve --config "$work/host-$1.json" >>"$work/host-$1.log" 2>&1 &
	pids[host-$1]=$!
}

# start_standin N NAME DATA_CENTRE HOST_IDS [OPTIONS]: starts stand-in number N
# in the background, which announces itself to the listed hosts, and stores its
# process id in pids[NAME].
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

# wait_until SECONDS COMMAND...: runs the command every 0.1 s until it succeeds;
# fails after SECONDS * 10 tries.
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

# start_hosts VOTERS: starts one host for each id in the array centres, which
# gives its data centre, and waits until all are ready. Calls the function fail
# of the sourcing script if a host is not ready within 30 s.
start_hosts() {
	local id
	for id in "${!centres[@]}"; do
		write_settings "$id" "${centres[$id]}" "$1"
		start_host "$id"
	done
	for id in "${!centres[@]}"; do wait_until 30 is_ready "$id" || fail "host $id not ready"; done
}

# operator HOST_ID VERB...: runs an operator's command against a host.
operator() {
	local host=$1
	shift
	"$build/chicorytack" "$@" --host "$(host_url "$host")" --token "$operator_token"
}

# has_upstreams HOST_ID COUNT: true if the host lists at least COUNT upstreams.
has_upstreams() {
	[ "$(operator "$1" upstreams --json | grep -o '"name"' | wc -l)" -ge "$2" ]
}

# send_prompt HOST_ID TOKEN MODEL PROMPT [CURL_OPTIONS]: requests a completion
# without streaming and prints the answer. The variable ask_seconds limits
# the request's time, by default to 30 s.
send_prompt() {
	local host=$1 token=$2 model=$3 prompt=$4
	shift 4
	curl -s --max-time "${ask_seconds:-30}" "$(host_url "$host")/v1/completions" -H "Authorization: Bearer $token" \
	    -H 'Content-Type: application/json' "$@" \
	    -d "{\"model\":\"$model\",\"prompt\":\"$prompt\",\"max_tokens\":8}"
}

# stop NAME: stops one process as planned (SIGTERM) and waits until it has
# ended.
stop() {
	kill -TERM "${pids[$1]}" 2>/dev/null || true
	wait "${pids[$1]}" 2>/dev/null || true
	unset "pids[$1]"
}

# stop_all: kills all processes that this shell started, also suspended ones,
# and exits with status 1 if a sanitizer reported a fault in a log.
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
