#!/bin/bash
# Samples of what earlier builds write, for tests/test_corpus.c.
#
#   tools/corpus.sh write COMMIT [FOLDER]   writes tests/corpus/COMMIT, or FOLDER
#   tools/corpus.sh read COMMIT FOLDER KNOWN
#       reads the samples in FOLDER with the build of COMMIT. KNOWN is what
#       their writer knew: the sum of the bits in corpus_messages.h.
#
# COMMIT is built in a folder of its own below CORPUS_SCRATCH, which is kept
# (default: /tmp/chicorytack-corpus); HEAD stands for the working tree.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
scratch=${CORPUS_SCRATCH:-/tmp/chicorytack-corpus}
[ $# -ge 2 ] || { sed -n '2,11s/^# \{0,1\}//p' "$0"; exit 2; }
action=$1
commit=$2

# Builds the library of a commit.
build_commit() {
	if [ "$commit" = HEAD ]; then
		tree=$root
		build=$scratch/HEAD-build
	else
		tree=$scratch/$commit
		build=$tree/build
		if [ ! -d "$tree" ]; then
			mkdir -p "$tree"
			git -C "$root" archive "$commit" | tar -x -C "$tree"
		fi
	fi
	cmake -S "$tree" -B "$build" -DCHICORY_TESTS=OFF >/dev/null
	cmake --build "$build" -j 3 --target chicorytack_core >/dev/null
}

# Finds out what the commit's messages hold; the bits are those of
# corpus_messages.h.
probe() {
	known=0
	has() { grep -qs "$2" "$tree/src/$3" && known=$((known + $1)) || true; }
	has 1 report_batch_write protocol/report_batch_message.h
	has 2 QUARANTINE_FIELD_HOST state/command.c
	has 4 work_notice protocol/work_message.h
	has 8 gossip_checksum_write protocol/gossip_message.h
	has 16 COMMAND_PARTS_CRASHED state/command.h
	has 32 'uint64_t generation' protocol/handshake_message.h
	has 64 forward_request_format protocol/forward_message.h
	has 128 read_kind coordination/consensus.h
	has 256 'char build' protocol/membership_message.h
	names=()
	if ! grep -qs message_begin_map "$tree/src/protocol/codec.h"; then
		names=(-include "$root/tests/corpus/names_before_wording.h")
	fi
}

# Compiles the program that writes and reads samples with that library.
compile_tool() {
	tool=$build/corpus_tool
	# shellcheck disable=SC2046
	cc -std=c17 -D_DEFAULT_SOURCE -D_POSIX_C_SOURCE=200809L \
		-DCORPUS_KNOWN=${known}u "${names[@]}" -I"$tree/src" \
		-I"$root/tests/corpus" "$root"/tests/corpus/*.c -o "$tool" \
		"$build/libchicorytack_core.a" \
		$(pkg-config --cflags --libs libulfius libmicrohttpd libcurl \
			msgpack liburcu-bp jansson glib-2.0 libxxhash \
			libsodium libuv zlib) -lhttp_parser -lpthread -lm
}

build_commit
probe
compile_tool
case $action in
write)
	folder=${3:-$root/tests/corpus/$commit}
	rm -rf "$folder"
	mkdir -p "$folder"
	"$tool" write "$folder"
	echo "$commit knows $known"
	;;
read)
	copy=$(mktemp -d)
	trap 'rm -rf "$copy"' EXIT
	cp -r "$3"/. "$copy"
	"$tool" read "$copy" "$4"
	;;
esac
