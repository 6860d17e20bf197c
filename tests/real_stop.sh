#!/usr/bin/env bash
# Usage: real_stop.sh BUILD_DIR
# Checks that a planned stop of a host breaks off no request: streams that run
# when the host receives SIGTERM are completed, and the process ends with
# status 0 while the other hosts continue to serve and to accept orders.
set -euo pipefail
cd "$CHICORY_SOURCE_DIR"
build=$1
work=$(mktemp -d)
base_port=23400
. tools/cluster.sh
trap stop_all EXIT
fail() { echo "FAILED: $*"; tail -n 5 "$work"/host-*.log; exit 1; }

centres=([1]=regina [2]=saskatoon [3]=winnipeg)
start_hosts 1,2,3
operator 1 account add spa-desk s3cret >/dev/null || fail "cannot add the client account"
for n in 1 2 3; do
	start_standin "$n" "engine-$n" "${centres[$n]}" 2,3 --model small-7b --answer-tokens 150
done
wait_until 30 has_upstreams 1 3 || fail "host 1 does not list 3 upstreams"
streams=()
for n in 1 2 3 4 5 6; do
	curl -sN --max-time 60 "$(host_url 1)/v1/completions" -H 'Authorization: Bearer s3cret' \
	    -d "{\"model\":\"small-7b\",\"prompt\":\"stream $n\",\"max_tokens\":150,\"stream\":true}" >"$work/stream-$n" &
	streams+=($!)
done
for n in 1 2 3 4 5 6; do wait_until 30 grep -q '"text"' "$work/stream-$n" || fail "stream $n did not begin: $(head -c 300 "$work/stream-$n")"; done
kill -TERM "${pids[host-1]}"
wait_until 30 bash -c "! curl -sf $(host_url 1)/readyz" || fail "host 1 is still ready"
for pid in "${streams[@]}"; do wait "$pid" || true; done
for n in 1 2 3 4 5 6; do
	grep -q '\[DONE\]' "$work/stream-$n" || fail "stream $n was broken off: $(tail -c 200 "$work/stream-$n")"
done
wait "${pids[host-1]}" || fail "host 1 ended with $?"
unset 'pids[host-1]'
send_prompt 2 s3cret small-7b "still served" | grep -q '"text"' || fail "host 2 does not serve"
operator 2 takeout x data_centre=nowhere >/dev/null || fail "host 2 accepts no order after the stop"
echo "six streams were completed; the other hosts serve and accept orders"
