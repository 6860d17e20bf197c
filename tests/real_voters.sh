#!/usr/bin/env bash
# Usage: real_voters.sh BUILD_DIR
# Operators replace a voter whose disk is lost, as described in
# docs/OPERATIONS.md, and a second voter fails right after that. Checks that no
# accepted change is lost.
set -euo pipefail
cd "$CHICORY_SOURCE_DIR"
build=$1
work=$(mktemp -d)
base_port=21700
. tools/cluster.sh
trap stop_all EXIT
fail() { echo "FAILED: $*"; tail -n 8 "$work"/host-*.log; exit 1; }
value() { operator "$1" config get setting/mark --json | sed 's/.*"value":"\([^"]*\)".*/\1/'; }
has_value() { [ "$(value "$1")" = "$2" ]; }

centres=([1]=regina [2]=saskatoon [3]=winnipeg [4]=regina)
for id in 1 2 3 4; do
	with_disk=$([ "$id" = 4 ] && echo yes || true)
	write_settings "$id" "${centres[$id]}" 1,2,3
	start_host "$id"
done
for id in 1 2 3 4; do wait_until 30 is_ready "$id" || fail "host $id not ready"; done
for n in $(seq 1 30); do operator $((1 + n % 4)) config put setting/mark "$n" >/dev/null || fail "put $n"; done

# Host 3 loses its disk and is replaced by host 4.
kill -KILL "${pids[host-3]}"
rm -rf "$work/data-3"
operator 1 hosts replace-voter 3 4 >"$work/replace" 2>&1 || fail "replace: $(cat "$work/replace")"
operator 2 hosts list
operator 2 config put setting/mark after-replace >/dev/null || fail "no change after the replacement"

# Host 1 fails permanently right after the replacement; hosts 2 and 4 must
# continue with all accepted changes.
kill -KILL "${pids[host-1]}"
changed() { operator 4 config put setting/mark after-second --timeout-ms 5000 --wait accepted; }
wait_until 30 changed || fail "no change after the second failure"
wait_until 30 has_value 2 after-second || fail "host 2 has $(value 2)"

# Host 3 starts again with an empty disk. It must not vote under its earlier
# identity, because the votes that it gave then are lost with the disk.
start_host 3
wait_until 30 is_ready 3 || fail "host 3 is not ready again"
wait_until 30 has_value 3 after-second || fail "host 3 has $(value 3)"
operator 2 hosts list | awk '$1 == 3 {print $4}' | grep -q no || fail "host 3 became a voter without an operator's order"
operator 2 hosts replace-voter 1 3 >"$work/replace" 2>&1 || fail "second replacement: $(cat "$work/replace")"
operator 4 config put setting/mark last >/dev/null || fail "no change at the end"
for id in 2 3 4; do wait_until 30 has_value "$id" last || fail "host $id has $(value "$id")"; done
echo "two voters replaced, one by a host that lost its disk; no accepted change was lost"
