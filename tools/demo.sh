#!/usr/bin/env bash
# Usage: demo.sh BUILD_DIR
# Shows the serving layer in separate processes: three hosts and nine stand-in
# engines answer short and long prompts, a data centre is taken out of service,
# and a host is stopped as planned.
set -euo pipefail
build=$1
work=$(mktemp -d)
base_port=${DEMO_PORT:-20000}
. tools/cluster.sh
trap stop_all EXIT
say() { printf '\n== %s\n' "$*"; }

say "Starting three hosts in three data centres, files in $work"
centres=([1]=regina [2]=saskatoon [3]=winnipeg)
for id in 1 2 3; do
	write_settings "$id" "${centres[$id]}" 1,2,3
	start_host "$id"
done
for id in 1 2 3; do wait_until 20 is_ready "$id"; done

say "An operator adds a client account through host 2"
operator 2 account add spa-desk s3cret

say "Starting nine stand-in engines, each announces itself to one host only"
number=0
for id in 1 2 3; do
	for copy in a b c; do
		number=$((number + 1))
		start_standin "$number" "${centres[$id]}-$copy" "${centres[$id]}" "$id" \
		    --model small-7b --kv-tokens 45000 --cold-prefill-tokens 60000
	done
done
for id in 1 2 3; do wait_until 20 has_upstreams "$id" 9; done
operator 3 upstreams

say "A short prompt through host 1, answered as a stream"
curl -sN --max-time 30 "$(host_url 1)/v1/completions" -H 'Authorization: Bearer s3cret' \
    -d '{"model":"small-7b","prompt":"A massage on Tuesday?","max_tokens":4,"stream":true}'

say "A long prompt through host 2, of about 30,000 tokens"
python3 - <<'PY' >"$work/long.json"
import json
print(json.dumps({"model": "small-7b", "prompt": "well log " * 13000, "max_tokens": 8}))
PY
curl -s --max-time 60 "$(host_url 2)/v1/completions" -H 'Authorization: Bearer s3cret' \
    -d "@$work/long.json"
echo

say "A prompt of 100,000 tokens, more than any engine's memory, through host 3"
python3 - <<'PY' >"$work/dossier.json"
import json
print(json.dumps({"model": "small-7b", "prompt": "dossier " * 50000, "max_tokens": 8}))
PY
curl -s --max-time 60 "$(host_url 3)/v1/completions" -H 'Authorization: Bearer s3cret' \
    -d "@$work/dossier.json"
echo

say "An order on host 3 takes regina out of service, in force on every host"
operator 3 takeout regina-down data_centre=regina
operator 1 status
send_prompt 1 s3cret small-7b "Who answers now?"
echo
operator 2 bring-back regina-down

say "Host 1 stops as planned while a stream runs; the stream is completed"
curl -sN --max-time 60 "$(host_url 1)/v1/completions" -H 'Authorization: Bearer s3cret' \
    -d '{"model":"small-7b","prompt":"stay","max_tokens":200,"stream":true}' >"$work/stream.txt" &
stream=$!
sleep 0.5
stop host-1
wait "$stream"
grep -q '\[DONE\]' "$work/stream.txt" && echo "the stream was completed"
send_prompt 2 s3cret small-7b "Still there?"
echo
say "Done; all processes are being stopped"
