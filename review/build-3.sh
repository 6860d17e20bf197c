#!/bin/sh
# Builds what the scripts of review 3 start besides the programs of the deploy
# file. Their stand-ins (review/common-3, review/N/run.py) are Python programs,
# which need no build; this checks that they can be read by the python3 here.
set -eu
cd "$(dirname "$0")/.."
test -x target/chicorytack || {
	echo "target/chicorytack is missing: run the build of deploy/system.toml" >&2
	exit 1
}
for file in review/common-3/cluster.py review/1[1-5]/run.py; do
	python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
python3 -c 'import asyncio, sys, tomllib; sys.exit(not hasattr(asyncio, "timeout"))'
