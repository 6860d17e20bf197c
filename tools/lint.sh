#!/usr/bin/env bash
# Runs clang-tidy and cppcheck over the project's C files: lint.sh BUILD_DIR
set -euo pipefail
build=$1
# Files whose text, settings and headers have not changed are not linted again.
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
printf "%s\n" src/*/*.c platform/*.c standin/*.c bench/*.c tests/*.c tests/stub/*.c tests/soak/*.c examples/*.c |
    xargs -P "${JOBS:-8}" -I{} bash -c 'lint_one {} '"$stamps $headers $build"
# cppcheck does not read jansson's headers; the file spells its loops out.
cppcheck --quiet --std=c11 --error-exitcode=1 --inline-suppr -j "${JOBS:-8}" \
    --enable=warning,portability --suppress=missingIncludeSystem -I src -I platform \
    --library=tools/jansson.cfg src platform \
    standin bench
# Only platform/ knows the users' platform's names on the wire.
platform_names='Attempt-Id|Response-Seal|Not-Executed|Token-Counts|Prefix-Hash|Target-Instance|Request-Priority|At-Server'
platform_names+='|X-Api-Key|Replicas\.|Evacuations\.|Config\.(Put|Get)|kvCapacityTokens|targetGapMs|holdMs|heartbeatMs|graceS'
if grep -rnE "$platform_names" src; then
	echo "lint: names of the platform outside platform/"
	exit 1
fi
doxygen docs/Doxyfile >/dev/null
echo "lint: clean"
