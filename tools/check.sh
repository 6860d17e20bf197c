#!/usr/bin/env bash
# Builds with sanitizers and runs the tests: check.sh BUILD_DIR SANITIZERS REGEX
# Tests named in KNOWN-RED.txt ("test: NAME") are run last and printed, but do
# not decide the verdict.
set -euo pipefail
build=$1
sanitize=$2
only=$3
cmake -S . -B "$build" -DCMAKE_BUILD_TYPE=Debug -DCMAKE_C_FLAGS=-O1 \
    -DCMAKE_CXX_FLAGS=-O1 -DCHICORY_SANITIZE="$sanitize" >/dev/null
cmake --build "$build" -j "${JOBS:-8}" -- --no-print-directory | grep -v '^\[' || true
cmake --build "$build" -j "${JOBS:-8}" -- --no-print-directory >/dev/null
# GLib's own allocator hides its memory from the sanitizers.
export G_SLICE=always-malloc
red=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' || true)
options=(--test-dir "$build" --output-on-failure -j "${TEST_JOBS:-4}")
[ -n "$only" ] && options+=(-R "$only")
status=0
ctest "${options[@]}" ${red:+-E "^($red)\$"} || status=$?
if [ -n "$red" ]; then
	echo "Known red, not counted:"
	ctest --test-dir "$build" -R "^($red)\$" || true
fi
exit "$status"
