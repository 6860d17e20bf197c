#!/usr/bin/env bash
# Exits with 1 if the rule is broken, 0 if it holds, 2 if the case can't run.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/5/case.py
