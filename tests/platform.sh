# Shell functions that run the platform's processes on loopback, for
# tests/real_*.sh. Sourced after tools/cluster.sh; a script sets this variable
# before:
#   net  third number of the addresses, 127.0.NET.ID, which no other test uses
# shellcheck shell=bash

control_port=$((base_port + 1))
entry_port=$((base_port + 2))
ready_port=$((base_port + 3))
upstream_port=$((base_port + 4))
# Zones of the hosts by id.
zones=([1]=regina [2]=saskatoon [3]=winnipeg [4]=regina [5]=saskatoon)
ip_of() { echo "127.0.$net.$1"; }
control_url() { echo "http://$(ip_of "$1"):$control_port"; }
entry_url() { echo "http://$(ip_of "$1"):$entry_port"; }

# write_platform_settings ID ROLE LINES: writes the settings file of a host;
# ROLE is control or entry, LINES are the settings that only this role has.
write_platform_settings() {
	cat >"$work/node-$1.conf" <<-CONF
	nodeName=$2-$1
	role=$2
	ip=$(ip_of "$1")
	zone=${zones[$1]}
	region=prairie
	internalPorts=$((base_port + 10))
	seeds=$(ip_of 1):$control_port,$(ip_of 2):$control_port,$(ip_of 3):$control_port
	heartbeatMs=1000
	faultTolerance.machines=1
	bounds.graceS=8
	$3
	CONF
}

start_platform() {
	CHICORYTACK_SETTINGS="$work/node-$1.conf" "$build/chicorytack" serve-platform >>"$work/node-$1.log" 2>&1 &
	pids[node-$1]=$!
}

# start_control ID: starts a control host with an empty data folder, one of the
# first three.
start_control() {
	mkdir "$work/data-$1"
	write_platform_settings "$1" control "listen.control=$(ip_of "$1"):$control_port
dataDir=$work/data-$1
bootstrap=true"
	start_platform "$1"
}

# start_entry ID: starts an entry host.
start_entry() {
	write_platform_settings "$1" entry "listen.front=$(ip_of "$1"):$entry_port
listen.readinessAddr=$(ip_of "$1"):$ready_port"
	start_platform "$1"
}

# start_upstream N: starts upstream N of service "s".
start_upstream() {
	"$build/platform-upstream" "$(ip_of "$((10 + $1))")" "$upstream_port" >>"$work/upstream-$1.log" 2>&1 &
	pids[upstream-$1]=$!
}

# send_heartbeats CONTROL ZONE COUNT: sends the heartbeats of the upstreams 1 to
# COUNT, which are in ZONE, until it is killed.
send_heartbeats() {
	local n sequence=0
	while :; do
		sequence=$((sequence + 1))
		for n in $(seq "$3"); do
			curl -s --max-time 1 "$(control_url "$1")/v1/Replicas.Heartbeat/u-$n" -d "{\"service\":\"s\",\"address\":\"$(ip_of "$((10 + n))"):$upstream_port\",\"zone\":\"$2\",\"version\":\"v1\",\"slots\":16,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":$sequence}" >/dev/null || true
		done
		sleep 0.3
	done
}

write_config() {
	cat >"$work/config.json" <<-JSON
	{"version": 7, "routes": [{"name": "r", "host": "h.example", "pathPrefix": "/", "kind": "non_idempotent",
	  "timeoutMs": 5000, "sloMs": 300, "maxAttempts": 2, "public": false, "service": "s"}],
	 "services": [{"name": "s", "maxConns": 64, "coldStartS": 0.0, "coldPerS": 0.0}],
	 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	 "tenants": [{"name": "spa-desk", "apiKeys": ["k1"], "priority": 1}]}
	JSON
}
put_config() { curl -sf --max-time 4 "$(control_url 1)/v1/Config.Put" -H 'Content-Type: application/json' -d "@$work/config.json" >/dev/null; }
is_entry_ready() { curl -sf --max-time 2 "http://$(ip_of "$1"):$ready_port/v1/ready" >/dev/null; }
# call ENTRY PATH ID: sends a request with attempt ID through an entry host and
# prints the answer.
call() { curl -s --max-time 8 "$(entry_url "$1")$2" -H 'Host: h.example' -H 'X-Api-Key: k1' -H "Attempt-Id: $3" -d work; }
is_served() { call "$1" /quick "try-$1" | grep -q '^done$'; }
# order CONTROL PATH: sends an operator's order, and waits 1 s for the answer.
order() { curl -sf --max-time 1 -X POST "$(control_url "$1")$2" >/dev/null; }
