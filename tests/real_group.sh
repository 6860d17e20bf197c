#!/usr/bin/env bash
# Usage: real_group.sh BUILD_DIR
# A prompt that needs more than twice one engine's memory is spread over a group
# of engines. Checks that the answer equals that of one large engine, and that
# all reserved memory is released, also when the host that coordinates the group
# is killed during the request.
set -euo pipefail
cd "$CHICORY_SOURCE_DIR"
build=$1
work=$(mktemp -d)
base_port=23800
. tools/cluster.sh
trap stop_all EXIT
fail() { echo "FAILED: $*"; tail -n 8 "$work"/host-*.log; exit 1; }
text_of() { sed 's/.*"text":"\([^"]*\)".*/\1/'; }
held() { curl -s "http://127.0.0.1:$(standin_port "$1")/engine/v1/kv/held" | sed 's/.*"kv_tokens_used":\([0-9]*\).*/\1/'; }
all_free() { [ "$(held 1)$(held 2)$(held 3)" = 000 ]; }
any_held() { [ "$(held 1)$(held 2)$(held 3)" != 000 ]; }
send() { curl -s --max-time 60 "$(host_url "$1")/v1/completions" -H 'Authorization: Bearer s3cret' -d "@$work/$2.json"; }

centres=([1]=regina [2]=saskatoon [3]=winnipeg)
start_hosts 1,2,3
operator 1 account add spa-desk s3cret >/dev/null || fail "cannot add the client account"
for n in 1 2 3; do
	start_standin "$n" "small-$n" regina 1,2,3 --model small-7b --kv-tokens 60000 \
	    --cold-prefill-tokens 60000 --prefill-tokens-per-s 20000
done
start_standin 4 large winnipeg 1,2,3 --model large-7b --kv-tokens 400000 --cold-prefill-tokens 400000 \
    --prefill-tokens-per-s 100000
for id in 1 2 3; do wait_until 30 has_upstreams "$id" 4 || fail "host $id does not list 4 upstreams"; done
for model in small-7b large-7b; do
	python3 -c "import json;print(json.dumps({'model':'$model','prompt':'dossier page '*45000,'max_tokens':12}))" >"$work/$model.json"
done
over_group=$(send 2 small-7b | text_of)
on_one=$(send 2 large-7b | text_of)
[ -n "$on_one" ] && [ "$over_group" = "$on_one" ] || fail "the group answered '$over_group', one engine '$on_one'"
wait_until 30 all_free || fail "memory is still reserved after the answer: $(held 1) $(held 2) $(held 3)"

send 2 small-7b >"$work/cut" 2>&1 & sender=$!
wait_until 30 any_held || fail "nothing was reserved"
kill -KILL "${pids[host-2]}"
wait "$sender" || true
wait_until 60 all_free || fail "memory is still reserved after the host was killed: $(held 1) $(held 2) $(held 3)"
over_group=$(send 3 small-7b | text_of)
[ "$over_group" = "$on_one" ] || fail "after the host was killed, the group answered '$over_group'"
echo "group and single engine agree; no memory stayed reserved, also after the coordinating host was killed"
