#!/usr/bin/env bash
# A short seeded soak of the real programs: the seeds that ever failed.
# Bounds of time are four times as long: builds with sanitizers are slow.
# real_soak.sh BUILD_DIR
set -euo pipefail
cd "$CHICORY_SOURCE_DIR"
python3 tests/soak/soak.py "$1" --file tests/soak/seeds.txt --jobs 2 --patience 4
