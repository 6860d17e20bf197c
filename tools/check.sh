#!/usr/bin/env bash
# Usage: check.sh BUILD_DIR SANITIZERS REGEX
# Builds with the given sanitizers and runs the tests whose names match REGEX,
# or all tests if it is empty. Tests listed in KNOWN-RED.txt ("test: NAME") run
# last; their results are printed but do not change the exit status.
set -euo pipefail
build=$1
sanitize=$2
only=$3
cmake -S . -B "$build" -DCMAKE_BUILD_TYPE=Debug -DCMAKE_C_FLAGS=-O1 \
    -DCMAKE_CXX_FLAGS=-O1 -DCHICORY_SANITIZE="$sanitize" >/dev/null
cmake --build "$build" -j "${JOBS:-8}" -- --no-print-directory | grep -v '^\[' || true
cmake --build "$build" -j "${JOBS:-8}" -- --no-print-directory >/dev/null
# GLib's slice allocator would hide memory errors from the sanitizers, so GLib
# is told to use malloc.
export G_SLICE=always-malloc
red=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' || true)
options=(--test-dir "$build" --output-on-failure -j "${TEST_JOBS:-4}")
[ -n "$only" ] && options+=(-R "$only")
status=0
ctest "${options[@]}" ${red:+-E "^($red)\$"} || status=$?
if [ -n "$red" ]; then
	echo "Tests listed in KNOWN-RED.txt, not counted in the result:"
	ctest --test-dir "$build" -R "^($red)\$" || true
fi
exit "$status"
