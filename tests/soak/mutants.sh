#!/usr/bin/env bash
# Usage: mutants.sh [MECHANISM...]
# Checks that the soak detects faults: disables one protective mechanism at a
# time in a copy of the sources and runs the soak on it until a seed fails.
# Exits with status 1 if no seed fails for one of them. Without arguments all
# mechanisms are tried. MUTANT_JOBS sets the number of seeds run at a time (4 by
# default) and of compilers, MUTANT_SLOT the first slot of the soak (0).
set -euo pipefail
cd "$(dirname "$0")/../.."
seeds_max=50
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

# Each entry: name of the mechanism | source file | Perl substitution that
# disables the mechanism in the file.
mechanisms=(
	'answer_attribution|src/relay/relay_head.c|s/facts->owner = pool_call_attribute\(.*?\);/facts->owner = ANSWER_OF_REQUEST;/s'
	'unfounded_promises|src/coordination/relay_rules.c|s/if \(status_promises_not_run\(facts->status\)\)\s*return ANSWER_UNFOUNDED;//'
	'resumed_by_other_type|src/relay/relay_attempt.c|s/if \(exchange->is_answering\) \{\s*\/\* The caller has/if (false) { \/* The caller has/'
	'at_most_once|src/coordination/relay_rules.c|s/!state->may_have_run \|\|/true ||/'
	'order_of_events|src/relay/relay_events.c|s/number <= events->last_number/false/'
	'quorum_read|src/host/host_documents.c|s/error = first_error\(\s*host_submit\(host, &command, timeout_ms, &result\), &result\);/(void)command; result.sequence = 0; error = ERROR_NONE;/'
	'disk_sync|src/state/journal.c|s/error = ops->sync\(context, name\);/(void)0;/'
	'quorum_commit|src/coordination/consensus_leader.c|s/i = MAX\(i, MIN\(copies, consensus->voters.count\)\);/i = 1; (void)copies;/'
	'release_of_reservations|src/relay/relay_hold.c|s/order\(hold, hold->relay->settings.dialect.release_order\(hold->id\)\);/(void)order;/'
	'evacuation|src/relay/relay.c|s/ && !entry->is_taken_out//'
	'crashing_request|src/relay/relay_crash.c|s/action = host_check_quarantine\(host, full_key\(exchange\), remaining_ms\);/(void)remaining_ms; action = QUARANTINE_RUN;/'
	'drain|src/relay/relay.c|s/upstream->state == UPSTREAM_STATE_ACTIVE && //'
)

# find_by_soak NAME FILE EDIT: succeeds if a seed fails while the mechanism is
# disabled. Fails also if the substitution matches nothing or the copy doesn't
# compile.
find_by_soak() {
	local name=$1 file=$2 edit=$3 tree="$scratch/tree"
	git checkout-index -a -f --prefix="$tree/"
	perl -0pi -e "$edit" "$tree/$file"
	if cmp -s "$file" "$tree/$file"; then
		echo "$name: the edit changes nothing in $file"
		return 1
	fi
	cmake -S "$tree" -B "$scratch/build" -DCMAKE_BUILD_TYPE=Release >/dev/null
	cmake --build "$scratch/build" -j "${MUTANT_JOBS:-4}" --target chicorytack-soak >"$scratch/build.out" 2>&1 || {
		cat "$scratch/build.out"
		return 1
	}
	if python3 tests/soak/soak.py "$scratch/build" --seeds 1 $seeds_max --jobs "${MUTANT_JOBS:-4}" --slot "${MUTANT_SLOT:-0}" --until-failure >"$scratch/soak.out" 2>&1; then
		echo "$name: NOT found within $seeds_max seeds"
		return 1
	fi
	echo "$name: found"
	grep -A 2 -m 1 '[1-9][0-9]* broken' "$scratch/soak.out"
}

failed=0
for mechanism in "${mechanisms[@]}"; do
	IFS='|' read -r name file edit <<<"${mechanism//\\|/$'\x01'}"
	[ $# = 0 ] || [[ " $* " == *" $name "* ]] || continue
	find_by_soak "$name" "$file" "${edit//$'\x01'/\\|}" || failed=1
done
exit $failed
