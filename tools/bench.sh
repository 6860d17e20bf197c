#!/usr/bin/env bash
# Usage: bench.sh BUILD_DIR
# Runs every benchmark, collects the JSON lines of their results in
# BUILD_DIR/bench.json, and updates docs/CAPACITY.md. BENCH_ONLY=NAME runs only
# one benchmark, "real" those with real processes, and leaves the page as it is.
set -euo pipefail
build=$1
out=$build/bench.json
lines=$build/bench.jsonl
: >"$lines"
for program in "$build"/bench_*; do
	name=$(basename "$program")
	[ -x "$program" ] && [ -f "$program" ] || continue
	[ "$name" = bench_load ] && continue
	[ -n "${BENCH_ONLY:-}" ] && [ "$name" != "$BENCH_ONLY" ] && continue
	echo "== $name" >&2
	"$program" | tee -a "$lines"
done
if [ -z "${BENCH_ONLY:-}" ] || [ "$BENCH_ONLY" = real ]; then
	for script in tools/bench_*.sh; do
		[ -e "$script" ] || continue
		echo "== $script" >&2
		bash "$script" "$build" | tee -a "$lines"
	done
fi
python3 - "$lines" "$out" <<'PY'
import json, sys
rows = [json.loads(line) for line in open(sys.argv[1]) if line.startswith("{")]
json.dump({"rows": rows}, open(sys.argv[2], "w"), indent=1)
print(f"{len(rows)} rows in {sys.argv[2]}", file=sys.stderr)
PY
[ -n "${BENCH_ONLY:-}" ] || python3 tools/capacity_table.py "$out" docs/CAPACITY.md
