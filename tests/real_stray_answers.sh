#!/usr/bin/env bash
# Usage: real_stray_answers.sh BUILD_DIR
# Scripted upstreams refuse for other requests, refuse what they run, stop in the
# head of an answer, and break streams off whose continuation is an error.
# Checks that no caller is told "not run" of what ran, nothing runs twice under
# a key, no broken stream ends as complete, and no error text of an upstream
# reaches a caller.
set -euo pipefail
cd "$CHICORY_SOURCE_DIR"
build=$1
work=$(mktemp -d)
base_port=26400
. tools/cluster.sh
trap stop_all EXIT
fail() { echo "FAILED: $*"; tail -n 8 "$work"/host-*.log; exit 1; }
centres=([1]=regina)
start_hosts 1
operator 1 account add spa-desk s3cret >/dev/null || fail "cannot add the client account"
python3 tests/stub/stray_answers.py "$(host_url 1)" "$(standin_port 1)" s3cret || fail "callers got what they must not"
