#!/usr/bin/env bash
# Usage: real_cut_heads.sh BUILD_DIR
# Engines close connections within the head of their answers and live on. Checks
# that a prompt which met two of them isn't taken for one that crashes engines:
# a sound engine still answers it.
set -euo pipefail
cd "$CHICORY_SOURCE_DIR"
build=$1
work=$(mktemp -d)
base_port=27100
. tools/cluster.sh
trap stop_all EXIT
fail() { echo "FAILED: $*"; tail -n 8 "$work"/host-*.log; exit 1; }
centres=([1]=regina [2]=saskatoon [3]=winnipeg)
start_hosts 1,2,3
operator 1 account add spa-desk s3cret >/dev/null || fail "cannot add the client account"
for n in 1 2; do
	start_standin "$n" "engine-$n" "${centres[$n]}" 1,2,3 --model small-7b --cut-head-every 1
done
for id in 1 2 3; do wait_until 30 has_upstreams "$id" 2 || fail "host $id does not list 2 upstreams"; done

for id in 1 2 3; do
	send_prompt "$id" s3cret small-7b 'cut off twice' >"$work/answer"
	! grep -q quarantined "$work/answer" || fail "host $id takes the prompt for one that crashes engines: $(cat "$work/answer")"
	grep -q '"error"' "$work/answer" || fail "no engine can have answered, but host $id did: $(cat "$work/answer")"
done
start_standin 3 engine-3 winnipeg 1,2,3 --model small-7b
for id in 1 2 3; do wait_until 30 has_upstreams "$id" 3 || fail "host $id does not list the sound engine"; done
for id in 1 2 3; do
	send_prompt "$id" s3cret small-7b 'cut off twice' >"$work/answer"
	grep -q '"finish_reason"' "$work/answer" || fail "host $id has no answer to the prompt: $(cat "$work/answer")"
done
! operator 1 quarantine list | grep -q refused || fail "a prompt is refused: $(operator 1 quarantine list)"
echo "a prompt that two living engines cut off was answered by a third one"
