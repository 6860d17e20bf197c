/*
 * Samples of commands, their results, the consensus and the replicated state.
 */
#include <string.h>

#include <glib.h>

#include "corpus_parts.h"
#include "protocol/command_message.h"
#include "protocol/consensus_message.h"
#include "protocol/public_entry_message.h"
#include "state/command.h"
#include "state/replicated_state.h"

#define FINGERPRINT  0xabcdef0123456789u /* Request of most samples. */
#define ENTRY_GAP_MS 10 /* Time between the entries of the state. */

/* Variants of document samples, beside the type of the command. */
#define VARIANT_NEWER_DOCUMENT 108u

/* Variants of results. */
#define VARIANT_DONE	  0u
#define VARIANT_DUPLICATE 1u
#define VARIANT_EXPIRED	  2u

/* Fills in a command whose contents are all in the command itself. */
static void
fill_command(struct command *command, uint32_t variant, uint32_t known)
{
	struct command_claim *claim = &command->body.claim;
	struct command_order *order = &command->body.order;

	switch (variant) {
	case COMMAND_CLAIM_FINISH:
		claim->outcome = REQUEST_OUTCOME_DONE;
		/* fallthrough */
	case COMMAND_CLAIM_BEGIN:
		strcpy(claim->client_account, "spa-desk");
		strcpy(claim->idempotency_key, "key-1");
		claim->fingerprint = FINGERPRINT;
		claim->host_id = 4711;
		claim->host_incarnation = 9;
		claim->request_id = (uint64_t)1 << 62;
		claim->created_ms = CORPUS_TIME_MS - 1000;
		break;
	case COMMAND_QUARANTINE:
		command->body.quarantine.fingerprint = FINGERPRINT;
		command->body.quarantine.until_ms = CORPUS_TIME_MS + 60000;
		command->body.quarantine.must_run_alone = true;
		command->body.quarantine.crashes = 2;
		command->body.quarantine.weight_permille = 1500;
#if CORPUS_KNOWN & CORPUS_QUARANTINE_HOSTS
		if (known & CORPUS_QUARANTINE_HOSTS)
			command->body.quarantine.host_id = 4711;
#endif
		break;
	case COMMAND_ORDER_FINISH:
		order->fencing_number = 1;
		order->outcome = 2;
		/* fallthrough */
	case COMMAND_ORDER_BEGIN:
		order->upstream_id = FINGERPRINT + 1;
		order->kind = 3;
		strcpy(order->argument, "small-7b");
		order->host_id = 4711;
		break;
	}
	(void)known;
}

#if CORPUS_KNOWN & CORPUS_PARTS
static void
fill_parts(struct command_parts *parts)
{
	parts->crash_id = FINGERPRINT + 2;
	parts->age_ms = 15;
	parts->count = 1;
	parts->evidence[0].part = FINGERPRINT + 3;
	parts->evidence[0].request = FINGERPRINT;
	parts->evidence[0].companion_count = 2;
	parts->evidence[0].companions[0] = 5;
	parts->evidence[0].companions[1] = FINGERPRINT + 4;
}
#endif

void
corpus_write_command(
    struct message_writer *writer, uint32_t variant, uint32_t known)
{
	struct config_change changes[] = {
	    {.key = "takeout/arusha", .value = "data_centre=arusha-b"},
	    {.is_delete = true, .key = "setting/gone"},
	};
	struct live_host hosts[] = {{4711, 9}, {4712, 0}};
	struct command command = {.operation_id = "op-1"};

	command.type = (enum command_type)variant;
	fill_command(&command, variant, known);
	switch (variant) {
	case COMMAND_CONFIG:
		command.body.config.expected_revision = REVISION_ANY;
		command.body.config.change_count = 2;
		command.body.config.changes = changes;
		break;
	case COMMAND_SET_LIVE_HOSTS:
		command.body.hosts.count = 2;
		command.body.hosts.hosts = hosts;
		break;
	case VARIANT_NEWER_DOCUMENT:
	case COMMAND_DOCUMENT:
		command.type = COMMAND_DOCUMENT;
		strcpy(command.body.document.name, "routes");
		command.body.document.version = variant;
		command.body.document.data = "contents";
		command.body.document.size = 8;
		break;
#if CORPUS_KNOWN & CORPUS_PARTS
	case COMMAND_PARTS_CLEARED:
	case COMMAND_PARTS_CRASHED:
		fill_parts(&command.body.parts);
		break;
#endif
	}
	command.operation_id[3] = (char)('a' + variant % 20);
	(void)command_encode(&command, writer);
}

enum error_code
corpus_rewrite_command(const void *data, size_t size, uint32_t variant,
    struct message_writer *writer)
{
	struct command command;
	enum error_code error;

	error = command_decode(&command, data, size);
	if (error != ERROR_NONE)
		return error;
	if (variant != VARIANT_NEWER_DOCUMENT &&
	    (uint32_t)command.type != variant)
		error = ERROR_WRONG_TYPE;
	if (error == ERROR_NONE)
		error = command_encode(&command, writer);
	command_finish(&command);
	return error;
}

void
corpus_write_result(
    struct message_writer *writer, uint32_t variant, uint32_t known)
{
	struct command_result result = {.index = 31,
	    .sequence = 29,
	    .revision = 12,
	    .fencing_number = 3,
	    .epoch = 4};

	(void)known;
	if (variant == VARIANT_DUPLICATE) {
		result.error = ERROR_DUPLICATE_REQUEST;
		result.claim_state = CLAIM_STATE_ENDED;
		result.claim_outcome = REQUEST_OUTCOME_DONE;
		result.claim_host = 4711;
	}
	if (variant == VARIANT_EXPIRED)
		result.error = ERROR_KEY_EXPIRED;
	command_result_encode(&result, writer);
}

enum error_code
corpus_rewrite_result(const void *data, size_t size, uint32_t variant,
    struct message_writer *writer)
{
	struct command_result result;
	enum error_code error;

	(void)variant;
	error = command_result_decode(&result, data, size);
	if (error == ERROR_NONE)
		command_result_encode(&result, writer);
	return error;
}

void
corpus_write_command_message(
    struct message_writer *writer, uint32_t variant, uint32_t known)
{
	struct command_message message = {
	    .type = (enum command_message_type)variant,
	    .session = (uint64_t)1 << 55,
	    .number = (uint64_t)1 << 33,
	    .attempt = 2,
	    .data = "data",
	    .data_size = 4,
	};

	(void)known;
	if (variant == COMMAND_MESSAGE_REPLY) {
		message.error = ERROR_NOT_LEADER;
		message.leader_id = 4712;
	}
	command_message_encode(&message, writer);
}

enum error_code
corpus_rewrite_command_message(const void *data, size_t size, uint32_t variant,
    struct message_writer *writer)
{
	struct command_message message;
	enum error_code error;

	error = command_message_decode(&message, data, size);
	if (error != ERROR_NONE)
		return error;
	if ((uint32_t)message.type != variant)
		error = ERROR_WRONG_TYPE;
	command_message_encode(&message, writer);
	command_message_finish(&message);
	return error;
}

void
corpus_write_consensus(
    struct message_writer *writer, uint32_t variant, uint32_t known)
{
	static unsigned char first[] = "first", second[] = "second";
	struct journal_entry entries[] = {
	    {.index = 8, .term = 3, .size = sizeof(first), .data = first},
	    {.index = 9, .term = 4, .size = sizeof(second), .data = second},
	};
	struct consensus_message message = {
	    .type = (enum consensus_message_type)variant,
	    .cluster_id = (uint64_t)1 << 50,
	    .from_incarnation = (uint64_t)1 << 61,
	    .to_incarnation = (uint64_t)1 << 60,
	    .term = 4,
	    .is_granted = true,
	    .is_pre_vote = variant == CONSENSUS_VOTE_REQUEST,
	    .has_time_reference = variant == CONSENSUS_VOTE_REPLY,
	    .is_transfer = variant == CONSENSUS_VOTE_REQUEST,
	    .index = 7,
	    .log_term = 3,
	    .commit_index = 6,
	    .sent_ms = 1u << 30,
	    .time_ms = CORPUS_TIME_MS,
	};

	(void)known;
	if (variant == CONSENSUS_APPEND) {
		message.entries = entries;
		message.entry_count = 2;
	}
	if (variant == CONSENSUS_SNAPSHOT) {
		message.offset = 1u << 18;
		message.total_size = 1u << 19;
		message.data = "piece";
		message.data_size = 5;
		message.voters.count = 2;
		message.voters.voters[0] = (struct voter){4711, 1};
		message.voters.voters[1] =
		    (struct voter){4712, (uint64_t)1 << 60};
	}
	consensus_message_encode(&message, writer);
}

enum error_code
corpus_rewrite_consensus(const void *data, size_t size, uint32_t variant,
    struct message_writer *writer)
{
	struct consensus_message message;
	struct journal_entry entries[4];
	enum error_code error;
	uint32_t i;

	error = consensus_message_decode(&message, data, size);
	if (error != ERROR_NONE)
		return error;
	if ((uint32_t)message.type != variant || message.entry_count > 4)
		error = ERROR_WRONG_TYPE;
	for (i = 0; error == ERROR_NONE && i < message.entry_count; i++)
		error = consensus_message_read_entry(&message, i, &entries[i]);
	message.entries = entries;
	if (error == ERROR_NONE)
		consensus_message_encode(&message, writer);
	consensus_message_finish(&message);
	return error;
}

void
corpus_write_voter_set(
    struct message_writer *writer, uint32_t variant, uint32_t known)
{
	const struct voter_set voters = {.count = 3,
	    .voters = {{4711, 1}, {4712, 2}, {4713, (uint64_t)1 << 60}}};

	(void)variant;
	(void)known;
	voter_set_encode(&voters, writer);
}

enum error_code
corpus_rewrite_voter_set(const void *data, size_t size, uint32_t variant,
    struct message_writer *writer)
{
	struct voter_set voters = {0};
	enum error_code error;

	(void)variant;
	error = voter_set_decode(&voters, data, size);
	if (error == ERROR_NONE)
		voter_set_encode(&voters, writer);
	return error;
}

/* Applies commands of each type that a build with @p known writes. */
static void
fill_state(struct replicated_state *state, uint32_t known)
{
	static const uint32_t variants[] = {
		COMMAND_CONFIG,
		COMMAND_CLAIM_BEGIN,
		COMMAND_CLAIM_FINISH,
		COMMAND_QUARANTINE,
		COMMAND_ORDER_BEGIN,
		COMMAND_ORDER_FINISH,
		COMMAND_SET_LIVE_HOSTS,
		COMMAND_DOCUMENT,
		VARIANT_NEWER_DOCUMENT,
		COMMAND_BARRIER,
#if CORPUS_KNOWN & CORPUS_PARTS
		COMMAND_PARTS_CRASHED
#endif
	};
	struct replicated_entry entry;
	struct command_result result;
	struct message_writer writer;
	uint32_t count, i;

	count = sizeof(variants) / sizeof(variants[0]);
#if CORPUS_KNOWN & CORPUS_PARTS
	if (!(known & CORPUS_PARTS))
		count--;
#endif
	for (i = 0; i < count; i++) {
		message_writer_init(&writer);
		corpus_write_command(&writer, variants[i], known);
		entry.index = i + 1;
		entry.time_ms = CORPUS_TIME_MS + (int64_t)i * ENTRY_GAP_MS;
		entry.data = message_data(&writer);
		entry.size = message_size(&writer);
		replicated_state_apply(state, &entry, &result);
		message_writer_finish(&writer);
	}
}

/* Appends the saved state, for learners if @p is_public. */
static void
append_saved(struct message_writer *writer,
    const struct replicated_state *state, bool is_public)
{
	GByteArray *saved;

	saved = replicated_state_save(state, is_public);
	corpus_append(writer, saved->data, saved->len);
	g_byte_array_unref(saved);
}

void
corpus_write_snapshot(
    struct message_writer *writer, uint32_t variant, uint32_t known)
{
	struct replicated_state state;

	replicated_state_init(&state, NULL);
	fill_state(&state, known);
	append_saved(writer, &state, variant != 0);
	replicated_state_finish(&state);
}

enum error_code
corpus_rewrite_snapshot(const void *data, size_t size, uint32_t variant,
    struct message_writer *writer)
{
	struct replicated_state state;
	enum error_code error;

	replicated_state_init(&state, NULL);
	error = replicated_state_load(&state, data, size);
	if (error == ERROR_NONE)
		append_saved(writer, &state, variant != 0);
	replicated_state_finish(&state);
	return error;
}

#if !(CORPUS_KNOWN & CORPUS_BATCHES)
static void
append_entry(void *context, const struct public_entry *entry)
{
	public_entry_write(context, entry);
}
#endif

void
corpus_write_public_entries(
    struct message_writer *writer, uint32_t variant, uint32_t known)
{
	struct replicated_state state;
	GByteArray *bytes;

	(void)variant;
	bytes = g_byte_array_new();
	replicated_state_init(&state, NULL);
	fill_state(&state, known);
#if CORPUS_KNOWN & CORPUS_BATCHES
	uint64_t last;

	(void)public_entries_read(
	    &state, 1, state.sequence, 1u << 20, bytes, &last);
#else
	(void)replicated_state_for_each_public(&state, 0, append_entry, bytes);
#endif
	corpus_append(writer, bytes->data, bytes->len);
	replicated_state_finish(&state);
	g_byte_array_unref(bytes);
}

enum error_code
corpus_rewrite_public_entries(const void *data, size_t size, uint32_t variant,
    struct message_writer *writer)
{
	struct replicated_state state;
	enum error_code error;

	(void)variant;
	replicated_state_init(&state, NULL);
	error = public_entries_apply(&state, data, size);
	append_saved(writer, &state, true);
	replicated_state_finish(&state);
	return error;
}

#define SAMPLE(file, needs, variant, kind)                                     \
	{                                                                      \
		file, needs, variant, corpus_write_##kind,                     \
		    corpus_rewrite_##kind                                      \
	}

static const struct corpus_sample samples[] = {
    SAMPLE("handshake-hello", 0, 1, handshake),
    SAMPLE("handshake-welcome", 0, 2, handshake),
    SAMPLE("handshake-refusal", 0, 3, handshake),
    SAMPLE("frame", 0, 0, frame),
    SAMPLE("ping", 0, 1, ping),
    SAMPLE("ping-request", 0, 2, ping),
    SAMPLE("ping-answer", 0, 3, ping),
    SAMPLE("host-record", 0, 0, host_record),
    SAMPLE("gossip-items", 0, 8, gossip_items),
    SAMPLE("gossip-digest", 0, 8, gossip_digest),
    SAMPLE("gossip-summary", 0, 40, gossip_summary),
    SAMPLE("gossip-checksum", CORPUS_CHECKSUMS, 40, gossip_checksum),
    SAMPLE("feed-renewal", 0, 1, feed),
    SAMPLE("feed-lease", 0, 2, feed),
    SAMPLE("feed-entries", 0, 3, feed),
    SAMPLE("feed-snapshot", 0, 4, feed),
    SAMPLE("feed-refusal", 0, 5, feed),
    SAMPLE("work-report", 0, 0, work_report),
    SAMPLE("batch-collect", CORPUS_BATCHES, 1, report_batch),
    SAMPLE("batch-spread", CORPUS_BATCHES, 2, report_batch),
    SAMPLE("batch-forward", CORPUS_BATCHES, 3, report_batch),
    SAMPLE("forward-request", CORPUS_FORWARDING, 0, forward_request),
    SAMPLE("forward-result", CORPUS_FORWARDING, 0, forward_result),
    SAMPLE("grant-report", 0, 1, grant),
    SAMPLE("grant-offer", 0, 2, grant),
    SAMPLE("grant-use-query", 0, 3, grant),
    SAMPLE("grant-use-answer", 0, 4, grant),
    SAMPLE("grant-ledger", 0, 5, grant),
    SAMPLE("grant-ledger-taken", 0, 6, grant),
    SAMPLE("grant-kv-query", 0, 7, grant),
    SAMPLE("grant-kv-answer", 0, 8, grant),
    SAMPLE("upstream-entry", 0, 0, upstream_entry),
    SAMPLE("upstream-load", 0, 0, upstream_load),
    SAMPLE("upstream-renewal", 0, 32, upstream_notice),
    SAMPLE("upstream-subscription", 0, 34, upstream_notice),
    SAMPLE("command-config", 0, 1, command),
    SAMPLE("command-claim-begin", 0, 2, command),
    SAMPLE("command-claim-finish", 0, 3, command),
    SAMPLE("command-quarantine", 0, 4, command),
    SAMPLE("command-order-begin", 0, 5, command),
    SAMPLE("command-order-finish", 0, 6, command),
    SAMPLE("command-live-hosts", 0, 7, command),
    SAMPLE("command-document", 0, 8, command),
    SAMPLE("command-barrier", 0, 9, command),
    SAMPLE("command-parts-crashed", CORPUS_PARTS, 10, command),
    SAMPLE("command-parts-cleared", CORPUS_PARTS, 11, command),
    SAMPLE("result-done", 0, VARIANT_DONE, result),
    SAMPLE("command-request", 0, 1, command_message),
    SAMPLE("command-reply", 0, 2, command_message),
    SAMPLE("vote-request", 0, 1, consensus),
    SAMPLE("vote-reply", 0, 2, consensus),
    SAMPLE("append", 0, 3, consensus),
    SAMPLE("append-reply", 0, 4, consensus),
    SAMPLE("snapshot-piece", 0, 5, consensus),
    SAMPLE("snapshot-reply", 0, 6, consensus),
    SAMPLE("timeout-now", 0, 7, consensus),
    SAMPLE("voter-hello", 0, 8, consensus),
    SAMPLE("voter-hello-reply", 0, 9, consensus),
    SAMPLE("voter-set", 0, 0, voter_set),
    SAMPLE("state", 0, 0, snapshot),
    SAMPLE("state-public", 0, 1, snapshot),
    SAMPLE("public-entries", 0, 0, public_entries),

};

static const struct corpus_sample error_samples[] = {
    SAMPLE("result-duplicate", 0, VARIANT_DUPLICATE, result),
    SAMPLE("result-key-expired", 0, VARIANT_EXPIRED, result),

};

const struct corpus_sample *
corpus_samples(uint32_t *count)
{
	*count = sizeof(samples) / sizeof(samples[0]);
	return samples;
}

const struct corpus_sample *
corpus_error_samples(uint32_t *count)
{
	*count = sizeof(error_samples) / sizeof(error_samples[0]);
	return error_samples;
}
