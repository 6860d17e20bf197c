#!/usr/bin/env bash
# Runs the random schedules with many more seeds: soak.sh BUILD_DIR
# CHICORY_SOAK_SCHEDULES sets how many schedules each test tries.
set -euo pipefail
build=$1
export CHICORY_SOAK_SCHEDULES=${CHICORY_SOAK_SCHEDULES:-20000}
tests=$(grep -l CHICORY_SOAK_SCHEDULES tests/test_*.c | xargs -n1 basename | sed 's/\.c$//')
for test in $tests; do
	echo "== $test with $CHICORY_SOAK_SCHEDULES schedules"
	"$build/$test"
done
