#!/usr/bin/env bash
# Usage: real_soak.sh BUILD_DIR
# Runs the soak of the real programs with the recorded seeds that failed before.
# Time limits are four times the usual because builds with sanitizers are slow.
set -euo pipefail
cd "$CHICORY_SOURCE_DIR"
python3 tests/soak/soak.py "$1" --file tests/soak/seeds.txt --jobs 4 --patience 4
