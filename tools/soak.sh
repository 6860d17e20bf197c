#!/usr/bin/env bash
# Usage: soak.sh BUILD_DIR
# Runs the tests that draw random schedules, with many more schedules than
# usual. CHICORY_SOAK_SCHEDULES sets how many each test runs (20000 by default).
set -euo pipefail
build=$1
export CHICORY_SOAK_SCHEDULES=${CHICORY_SOAK_SCHEDULES:-20000}
tests=$(grep -l CHICORY_SOAK_SCHEDULES tests/test_*.c | xargs -n1 basename | sed 's/\.c$//')
for test in $tests; do
	echo "== $test with $CHICORY_SOAK_SCHEDULES schedules"
	"$build/$test"
done
