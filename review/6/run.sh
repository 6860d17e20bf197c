#!/bin/sh
# Plays the case, with the disruption unless TROUBLE=0.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
TROUBLE=${TROUBLE:-1}
export TROUBLE PYTHONDONTWRITEBYTECODE=1
rm -f record.txt
timeout -k 5 118 python3 case.py
status=$?
[ "$status" -eq 0 ] && exit 0
# Python, too, exits with 1 if it fails itself.
[ "$status" -eq 1 ] && grep -q "BROKEN: " record.txt && exit 1
exit 2
