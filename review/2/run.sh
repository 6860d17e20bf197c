#!/usr/bin/env bash
# Usage: [TROUBLE=0] review/2/run.sh
# Exits with 1 if the rule is broken, 0 if it holds, 2 if the case can't run.
# TROUBLE=0 leaves out the losses of disks; all else is the same, and the rule holds.
# With TROUBLE=2 the disks are lost 8 s later.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
exec python3 review/2/case.py
