#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python programs that need no build, so this
# only checks that they compile and that the deploy file's build is there.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/tools/*.py review/*/case.py; do
	python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
[ -x target/chicorytack ] || echo "target/chicorytack is missing: run the deploy file's build first" >&2
