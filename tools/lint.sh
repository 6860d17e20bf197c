#!/usr/bin/env bash
# Usage: lint.sh BUILD_DIR
# Runs clang-tidy and cppcheck over the project's C files, checks that src/
# holds none of the platform's wire names, and checks the doc comments with
# doxygen.
set -euo pipefail
build=$1
# Folder of empty files that record what clang-tidy accepted. A source file is
# not linted again while the file, .clang-tidy and all headers are unchanged.
stamps=$build/lint
mkdir -p "$stamps"
headers=$(cat .clang-tidy $(git ls-files -co --exclude-standard "*.h") | sha256sum | cut -c1-16)
lint_one() {
	local file=$1 stamp
	stamp=$2/$(cat "$file" | sha256sum | cut -c1-24)-$3
	[ -e "$stamp" ] && return 0
	if ! out=$(clang-tidy --quiet -p "$4" "$file" 2>/dev/null); then
		echo "$out"
		return 1
	fi
	touch "$stamp"
}
export -f lint_one
shopt -s nullglob
printf "%s\n" src/*/*.c platform/*.c standin/*.c bench/*.c tests/*.c tests/stub/*.c tests/corpus/*.c tests/soak/*.c examples/*.c |
    xargs -P "${JOBS:-8}" -I{} bash -c 'lint_one {} '"$stamps $headers $build"
# cppcheck doesn't read jansson's headers; tools/jansson.cfg defines the macros
# for jansson's loops.
cppcheck --quiet --std=c11 --error-exitcode=1 --inline-suppr -j "${JOBS:-8}" \
    --enable=warning,portability --suppress=missingIncludeSystem -I src -I platform \
    --library=tools/jansson.cfg src platform \
    standin bench
# Wire names of the users' platform may appear only in platform/, so that src/
# stays independent of that platform.
platform_names='Attempt-Id|Response-Seal|Not-Executed|Token-Counts|Prefix-Hash|Target-Instance|Request-Priority|At-Server'
platform_names+='|X-Api-Key|Replicas\.|Evacuations\.|Config\.(Put|Get)|kvCapacityTokens|targetGapMs|holdMs|heartbeatMs|graceS'
if grep -rnE "$platform_names" src; then
	echo "lint: names of the platform outside platform/"
	exit 1
fi
doxygen docs/Doxyfile >/dev/null
echo "lint: clean"
