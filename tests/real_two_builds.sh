#!/usr/bin/env bash
# Usage: real_two_builds.sh BUILD_DIR [FIRST_SLOT]
# Runs the soak with hosts of an earlier commit beside those of this build: one
# seed replaces the earlier hosts one after the other, one runs both builds all
# the time. The earlier commit comes from the history of the repository, which
# must have it, and is built once, below BUILD_DIR. Time limits are twice
# the usual because builds with sanitizers are slow.
set -euo pipefail
cd "$CHICORY_SOURCE_DIR"
earlier=5e30e15
up_seed=1
mix_seed=2
build=$1
slot=${2:-0}
folder=$build/earlier/$earlier

if ! git rev-parse --quiet --verify "$earlier^{commit}" >/dev/null; then
	echo "real_two_builds: the history here lacks commit $earlier, which is to run beside this build." \
		"Clone the repository with its history (git fetch --unshallow)."
	exit 1
fi
if [ ! -d "$folder/tree" ]; then
	rm -rf "$folder/unpacked"
	mkdir -p "$folder/unpacked"
	git archive "$earlier" | tar -x -C "$folder/unpacked"
	mv "$folder/unpacked" "$folder/tree"
fi
cmake -S "$folder/tree" -B "$folder/build" -DCMAKE_BUILD_TYPE=Debug >/dev/null
cmake --build "$folder/build" -j "${JOBS:-4}" --target chicorytack-soak >/dev/null

# play MODE SEED SLOT
play() {
	python3 tests/soak/soak.py "$build" --old "$folder/build" --upgrade "$1" \
		--seeds "$2" 1 --jobs 1 --slot "$3" --patience 2
}
play up $up_seed "$slot" &
up=$!
status=0
play mix $mix_seed $((slot + 1)) || status=1
wait $up || status=1
exit $status
