#!/usr/bin/env bash
# Usage: [TROUBLE=0] review/4/run.sh
# Exits with 1 if the rule is broken, 0 if it holds, 2 if the case can't run.
# TROUBLE=0 leaves out the freeze; all else is the same, and the rule holds.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
exec python3 review/4/case.py
