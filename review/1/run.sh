#!/usr/bin/env bash
# Usage: [TROUBLE=0] review/1/run.sh
# Exits with 1 if the rule is broken, 0 if it holds, 2 if the case can't run.
# TROUBLE=0 leaves out all losses of disks; all else is the same, and the rule holds.
# TROUBLE=2 leaves out only the repeated losses of the first disk.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
exec python3 review/1/case.py
