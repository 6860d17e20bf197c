/*
 * Writes and opens the data folder of a voter, by a cluster of one voter in
 * virtual time. Its state machine records the commands that it applies.
 */
#include "corpus_disk.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "coordination/consensus.h"
#include "corpus_messages.h"
#include "transport/timer.h"

#define COMMANDS	9	/* Commands that are proposed. */
#define COMPACT_ENTRIES 4	/* Entries after which a snapshot comes. */
#define STEP_MS		10	/* Step of the virtual time. */
#define STEPS_MAX	1000	/* Steps until the voter must lead. */
#define CLUSTER_ID	0xc1u	/* Id of the cluster. */
#define INCARNATION	0x1234u /* Incarnation of the data folder. */

/* A voter with its disk and time. */
struct sole_voter {
	struct disk_folder folder;
	struct timer_service timers;
	struct consensus consensus;
	GByteArray *applied; /* A line for each command. */
	int64_t now_ms;
};

/* The result type of apply() in the library that this is compiled with. */
#if CORPUS_KNOWN & CORPUS_ENTRY_KINDS
#define APPLY_TYPE   enum error_code
#define APPLY_RESULT ERROR_NONE
#else
#define APPLY_TYPE void
#define APPLY_RESULT
#endif

static APPLY_TYPE
apply(void *context, const struct consensus_entry *entry, const void **result,
    size_t *result_size)
{
	struct sole_voter *voter = context;
	char line[128];

	snprintf(line, sizeof(line), "%" PRIu64 " %" PRIu64 " %.*s\n",
	    entry->index, entry->term, (int)entry->size,
	    (const char *)entry->data);
	g_byte_array_append(
	    voter->applied, (const guint8 *)line, (guint)strlen(line));
	*result = NULL;
	*result_size = 0;
	return APPLY_RESULT;
}

#if CORPUS_KNOWN & CORPUS_ENTRY_KINDS
/* All commands of the samples are of one kind. */
static enum error_code
read_kind(void *context, const void *command, size_t size, uint64_t *kind)
{
	(void)context;
	(void)command;
	(void)size;
	*kind = 1;
	return ERROR_NONE;
}
#endif

static GByteArray *
save(void *context)
{
	const struct sole_voter *voter = context;
	GByteArray *copy;

	copy = g_byte_array_new();
	g_byte_array_append(copy, voter->applied->data, voter->applied->len);
	return copy;
}

static enum error_code
load(void *context, const void *data, size_t size)
{
	struct sole_voter *voter = context;

	g_byte_array_set_size(voter->applied, 0);
	g_byte_array_append(voter->applied, data, (guint)size);
	return ERROR_NONE;
}

static int64_t
wall_ms(void *context)
{
	const struct sole_voter *voter = context;

	return CORPUS_TIME_MS + voter->now_ms;
}

static void
drop_message(void *context, uint32_t host_id, enum peer_channel channel,
    const void *body, size_t size)
{
	(void)context;
	(void)host_id;
	(void)channel;
	(void)body;
	(void)size;
}

static void
ignore_result(void *context, enum error_code error, uint64_t index,
    const void *result, size_t result_size)
{
	(void)context;
	(void)error;
	(void)index;
	(void)result;
	(void)result_size;
}

static void
stop_voter(struct sole_voter *voter)
{
	consensus_finish(&voter->consensus);
	timer_finish(&voter->timers);
	disk_folder_close(&voter->folder);
	g_byte_array_unref(voter->applied);
}

/* Starts a voter in a folder and waits until it leads. */
static enum error_code
start_voter(struct sole_voter *voter, const char *folder)
{
	const struct consensus_settings settings = {.host_id = 1,
	    .cluster_id = CLUSTER_ID,
	    .fresh_incarnation = INCARNATION,
	    .initial_count = 1,
	    .initial_voters = {1},
	    .compact_entries = COMPACT_ENTRIES,
	    .seed = 1};
	const struct consensus_ops ops = {
		.apply = apply,
#if CORPUS_KNOWN & CORPUS_ENTRY_KINDS
		.read_kind = read_kind,
#endif
		.save = save,
		.load = load,
		.wall_ms = wall_ms,
		.context = voter
	};
	const struct peer_port port = {drop_message, NULL};
	enum error_code error;
	struct disk disk;
	int step;

	memset(voter, 0, sizeof(*voter));
	error = disk_folder_open(&voter->folder, folder);
	if (error != ERROR_NONE)
		return error;
	disk = disk_folder_disk(&voter->folder);
	voter->applied = g_byte_array_new();
	timer_init(&voter->timers, 64, 0);
	error = consensus_init(
	    &voter->consensus, &settings, &disk, &voter->timers, port, &ops);
	if (error != ERROR_NONE) {
		timer_finish(&voter->timers);
		disk_folder_close(&voter->folder);
		g_byte_array_unref(voter->applied);
		return error;
	}
	for (step = 0; step < STEPS_MAX; step++) {
		voter->now_ms += STEP_MS;
		timer_advance(&voter->timers, voter->now_ms);
		if (consensus_is_leader(&voter->consensus))
			return ERROR_NONE;
	}
	stop_voter(voter);
	return ERROR_TIMEOUT;
}

enum error_code
corpus_disk_write(const char *folder)
{
	const struct consensus_callback callback = {ignore_result, NULL};
	struct sole_voter voter;
	enum error_code error;
	char command[32];
	int i;

	error = start_voter(&voter, folder);
	if (error != ERROR_NONE)
		return error;
	for (i = 0; error == ERROR_NONE && i < COMMANDS; i++) {
		snprintf(command, sizeof(command), "command %d", i);
		error = consensus_propose(
		    &voter.consensus, command, strlen(command), callback);
		voter.now_ms += STEP_MS;
		timer_advance(&voter.timers, voter.now_ms);
	}
	stop_voter(&voter);
	return error;
}

enum error_code
corpus_disk_read(const char *folder, GByteArray *found)
{
	const struct voter_set *voters;
	struct sole_voter voter;
	enum error_code error;
	char line[128];
	uint32_t i;

	error = start_voter(&voter, folder);
	if (error != ERROR_NONE)
		return error;
	g_byte_array_append(found, voter.applied->data, voter.applied->len);
	voters = consensus_voters(&voter.consensus);
	for (i = 0; i < voters->count; i++) {
		snprintf(line, sizeof(line), "voter %u %" PRIx64 "\n",
		    voters->voters[i].host_id, voters->voters[i].incarnation);
		g_byte_array_append(
		    found, (const guint8 *)line, (guint)strlen(line));
	}
	snprintf(line, sizeof(line), "self %u %" PRIx64 " term %" PRIu64 "\n",
	    voter.consensus.identity.self.host_id,
	    voter.consensus.identity.self.incarnation,
	    voter.consensus.identity.term);
	g_byte_array_append(found, (const guint8 *)line, (guint)strlen(line));
	stop_voter(&voter);
	return ERROR_NONE;
}
