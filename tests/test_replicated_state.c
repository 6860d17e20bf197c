/*
 * Tests of the replicated state machine: claims, live hosts, orders, feeds and
 * documents.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "state_commands.h"

/* A command on one idempotency key and its expected result. */
struct claim_case {
	enum command_type type;
	uint32_t host_id;
	uint64_t fingerprint;
	uint64_t request_id;
	int64_t created_ms; /* Key's creation after START_MS, 0 for none. */
	int64_t at_ms;	    /* Time of the command after START_MS. */
	enum request_outcome outcome;	    /* Outcome that FINISH reports. */
	enum error_code error;		    /* Expected error. */
	enum claim_state state;		    /* Expected state of the claim. */
	enum request_outcome claim_outcome; /* Expected outcome in the claim. */
};

#define BEGIN	     COMMAND_CLAIM_BEGIN
#define FINISH	     COMMAND_CLAIM_FINISH
#define NOT_RUN	     REQUEST_OUTCOME_NOT_RUN
#define DONE	     REQUEST_OUTCOME_DONE
#define RUNNING	     CLAIM_STATE_RUNNING
#define ENDED	     CLAIM_STATE_ENDED
#define CLAIM_WINDOW (24 * HOUR_MS)

static void
test_idempotency_key_is_claimed_by_one_request(void **state)
{
	static const struct claim_case cases[] = {
	    {BEGIN, 1, 9, 11, 0, 0, 0, ERROR_NONE, RUNNING, 0},
	    /* The same command sent again returns the same claim. */
	    {BEGIN, 1, 9, 11, 0, 1, 0, ERROR_NONE, RUNNING, 0},
	    {BEGIN, 2, 9, 11, 0, 2, 0, ERROR_DUPLICATE_REQUEST, RUNNING, 0},
	    {BEGIN, 2, 8, 12, 0, 2, 0, ERROR_INVALID_ARGUMENT, RUNNING, 0},
	    {FINISH, 2, 9, 11, 0, 3, DONE, ERROR_STALE, RUNNING, 0},
	    {FINISH, 1, 9, 11, 0, 3, NOT_RUN, ERROR_NONE, ENDED, NOT_RUN},
	    {BEGIN, 1, 9, 11, 0, 4, 0, ERROR_DUPLICATE_REQUEST, ENDED, NOT_RUN},
	    /* The first request did not run, so another may claim the key. */
	    {BEGIN, 2, 9, 21, 0, 5, 0, ERROR_NONE, RUNNING, 0},
	    {FINISH, 1, 9, 11, 0, 6, NOT_RUN, ERROR_STALE, RUNNING, 0},
	    {FINISH, 2, 9, 21, 0, 7, DONE, ERROR_NONE, ENDED, DONE},
	    {FINISH, 2, 9, 21, 0, 7, DONE, ERROR_NONE, ENDED, DONE},
	    {FINISH, 2, 9, 21, 0, 8, NOT_RUN, ERROR_STALE, ENDED, DONE},
	    {BEGIN, 3, 9, 31, 0, 9, 0, ERROR_DUPLICATE_REQUEST, ENDED, DONE},
	    {BEGIN, 3, 9, 32, 1, CLAIM_WINDOW - 1, 0, ERROR_DUPLICATE_REQUEST,
		ENDED, DONE},
	    /* The claim is forgotten after the window, and a key created that
	     * long ago is refused as expired. */
	    {BEGIN, 3, 9, 33, 1, CLAIM_WINDOW + 1, 0, ERROR_KEY_EXPIRED, 0, 0},
	    {BEGIN, 3, 9, 34, CLAIM_WINDOW + 2 * HOUR_MS, CLAIM_WINDOW + 2, 0,
		ERROR_INVALID_ARGUMENT, 0, 0},
	    {BEGIN, 3, 9, 35, CLAIM_WINDOW + HOUR_MS / 2, CLAIM_WINDOW + 3, 0,
		ERROR_NONE, RUNNING, 0},
	    /* A claim is remembered until its key expires. That is later than
	     * a window after the claim if the key's creation time was ahead. */
	    {BEGIN, 4, 9, 41, CLAIM_WINDOW + HOUR_MS / 2, 2 * CLAIM_WINDOW + 4,
		0, ERROR_DUPLICATE_REQUEST, RUNNING, 0},
	};
	struct command command = {0};
	struct command_result result;
	struct replicated_state machine;
	const struct claim_case *step;
	size_t i;

	(void)state;
	replicated_state_init(&machine, NULL);
	snprintf(command.body.claim.client_account,
	    sizeof(command.body.claim.client_account), "%s", "kilima-joto");
	snprintf(command.body.claim.idempotency_key,
	    sizeof(command.body.claim.idempotency_key), "%s", "fee-1");
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		step = &cases[i];
		command.type = step->type;
		command.body.claim.fingerprint = step->fingerprint;
		command.body.claim.host_id = step->host_id;
		command.body.claim.request_id = step->request_id;
		command.body.claim.created_ms =
		    step->created_ms == 0 ? 0 : START_MS + step->created_ms;
		command.body.claim.outcome = step->outcome;
		result =
		    state_apply(&machine, &command, START_MS + step->at_ms);
		if (result.error != step->error)
			fail_msg("case %zu: %s", i, error_name(result.error));
		assert_int_equal(result.claim_state, step->state);
		assert_int_equal(result.claim_outcome, step->claim_outcome);
	}
	replicated_state_finish(&machine);
}

/* Running claims of a host that is no longer live get an unknown outcome. */
static void
test_claims_of_dead_host_get_unknown_outcome(void **state)
{
	struct live_host hosts[] = {{1, 100}, {2, 200}};
	struct command claim = {.type = COMMAND_CLAIM_BEGIN};
	struct command live = {.type = COMMAND_SET_LIVE_HOSTS};
	struct replicated_state machine;
	struct command_result result;

	(void)state;
	replicated_state_init(&machine, NULL);
	live.body.hosts.hosts = hosts;
	live.body.hosts.count = 2;
	assert_int_equal(state_apply(&machine, &live, START_MS).epoch, 1);
	snprintf(claim.body.claim.client_account,
	    sizeof(claim.body.claim.client_account), "%s", "a");
	snprintf(claim.body.claim.idempotency_key,
	    sizeof(claim.body.claim.idempotency_key), "%s", "k");
	claim.body.claim.host_id = 1;
	claim.body.claim.host_incarnation = 100;
	claim.body.claim.request_id = 5;
	assert_int_equal(
	    state_apply(&machine, &claim, START_MS).error, ERROR_NONE);
	/* A delayed copy of the command with the previous epoch is refused. */
	assert_int_equal(state_apply(&machine, &live, START_MS).error,
	    ERROR_REVISION_CONFLICT);
	hosts[0].incarnation = 101;
	live.body.hosts.expected_epoch = 1;
	assert_int_equal(
	    state_apply(&machine, &live, START_MS).error, ERROR_NONE);
	assert_int_equal(
	    replicated_state_live_host(&machine, 1)->incarnation, 101);
	assert_null(replicated_state_live_host(&machine, 3));
	claim.body.claim.host_id = 2;
	claim.body.claim.host_incarnation = 200;
	result = state_apply(&machine, &claim, START_MS);
	assert_int_equal(result.error, ERROR_DUPLICATE_REQUEST);
	assert_int_equal(result.claim_outcome, REQUEST_OUTCOME_UNKNOWN);
	replicated_state_finish(&machine);
}

static void
test_orders_are_fenced(void **state)
{
	struct command begin = {.type = COMMAND_ORDER_BEGIN};
	struct command finish = {.type = COMMAND_ORDER_FINISH};
	struct replicated_state machine;
	struct command_result result;

	(void)state;
	replicated_state_init(&machine, NULL);
	snprintf(
	    begin.operation_id, sizeof(begin.operation_id), "%s", "load-1");
	begin.body.order.upstream_id = 7;
	begin.body.order.host_id = 1;
	assert_int_equal(
	    state_apply(&machine, &begin, START_MS).fencing_number, 1);
	assert_int_equal(
	    state_apply(&machine, &begin, START_MS).fencing_number, 1);
	snprintf(
	    begin.operation_id, sizeof(begin.operation_id), "%s", "load-2");
	result = state_apply(&machine, &begin, START_MS);
	assert_int_equal(result.error, ERROR_CHANGE_PENDING);
	assert_int_equal(result.fencing_number, 1);
	snprintf(
	    begin.operation_id, sizeof(begin.operation_id), "%s", "load-3");
	begin.body.order.supersedes = 1;
	assert_int_equal(
	    state_apply(&machine, &begin, START_MS).fencing_number, 2);
	finish.body.order.upstream_id = 7;
	finish.body.order.fencing_number = 1;
	finish.body.order.outcome = 1;
	assert_int_equal(
	    state_apply(&machine, &finish, START_MS).error, ERROR_STALE);
	finish.body.order.fencing_number = 2;
	assert_int_equal(
	    state_apply(&machine, &finish, START_MS).error, ERROR_NONE);
	assert_int_equal(replicated_state_order(&machine, 7)->outcome, 1);
	snprintf(
	    begin.operation_id, sizeof(begin.operation_id), "%s", "load-4");
	begin.body.order.supersedes = 0;
	assert_int_equal(
	    state_apply(&machine, &begin, START_MS).fencing_number, 3);
	replicated_state_finish(&machine);
}

static void
count_takeout(void *visitor, const struct config_entry *entry)
{
	assert_true(g_str_has_prefix(entry->key, "takeout/"));
	(*(unsigned int *)visitor)++;
}

/* A learner that applies the fed public commands has the same content as the
 * voter. */
static void
test_learner_has_same_content_as_voter(void **state)
{
	struct replicated_state voter, learner;
	struct config_source source;
	unsigned int count;

	(void)state;
	state_init_with_entries(&voter);
	replicated_state_init(&learner, NULL);
	assert_int_equal(replicated_state_for_each_public(
			     &voter, 0, state_apply_public_entry, &learner),
	    ERROR_NONE);
	assert_int_equal(learner.content_hash, voter.content_hash);
	assert_true(replicated_state_is_quarantined(&learner, 3, START_MS));
	assert_false(
	    replicated_state_is_quarantined(&learner, 3, START_MS + HOUR_MS));
	source = replicated_state_config(&learner);
	count = 0;
	source.for_each(source.context, "takeout/", count_takeout, &count);
	assert_int_equal(count, 1);
	replicated_state_finish(&voter);
	replicated_state_finish(&learner);
}

/* A command of an unknown type or version changes nothing and is not passed
 * over; one that no build can read is passed over by all voters alike. */
static void
test_unknown_command_is_not_passed_over(void **state)
{
	static const struct {
		uint64_t version;
		uint64_t type;
		bool has_operation;
		enum error_code error;
	} cases[] = {
	    {1, COMMAND_TYPE_LAST + 1, true, ERROR_NOT_SUPPORTED},
	    {1, COMMAND_TYPE_LAST + 1, false, ERROR_NOT_SUPPORTED},
	    {1, ((uint64_t)1 << 32) + COMMAND_BARRIER, true,
		ERROR_NOT_SUPPORTED},
	    {1, 0, true, ERROR_NOT_SUPPORTED},
	    {2, COMMAND_BARRIER, true, ERROR_UNSUPPORTED_VERSION},
	    {2, COMMAND_CONFIG, false, ERROR_UNSUPPORTED_VERSION},
	    {1, COMMAND_CONFIG, true, ERROR_NONE},
	    {1, COMMAND_BARRIER, false, ERROR_NONE},
	};
	struct replicated_state voter;
	struct command_result result;
	struct message_writer writer;
	uint64_t applied, type;
	size_t i;

	(void)state;
	replicated_state_init(&voter, NULL);
	state_put(&voter, "a", "setting/a", "1", REVISION_ANY);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		applied = voter.applied_index;
		message_writer_init(&writer);
		message_begin_map(&writer, cases[i].has_operation ? 3 : 2);
		message_put_uint(&writer, 0, cases[i].version);
		message_put_uint(&writer, 1, cases[i].type);
		if (cases[i].has_operation)
			message_put_text(&writer, 2, "");
		assert_int_equal(command_read_type(message_data(&writer),
				     message_size(&writer), &type),
		    cases[i].error);
		assert_int_equal(
		    replicated_state_apply(&voter,
			&(struct replicated_entry){applied + 1,
			    START_MS + HOUR_MS, message_data(&writer),
			    message_size(&writer)},
			&result),
		    cases[i].error);
		message_writer_finish(&writer);
		assert_int_equal(voter.applied_index,
		    applied + (cases[i].error == ERROR_NONE));
		assert_int_equal(voter.time_ms, cases[i].error == ERROR_NONE
						    ? START_MS + HOUR_MS
						    : START_MS);
		assert_int_not_equal(result.error, ERROR_NONE);
	}
	replicated_state_finish(&voter);
}

/* A learner does not pass over a public command that it does not know. */
static void
test_learner_waits_at_unknown_command(void **state)
{
	struct replicated_state learner;
	struct message_writer writer;

	(void)state;
	replicated_state_init(&learner, NULL);
	message_writer_init(&writer);
	message_begin_map(&writer, 3);
	message_put_uint(&writer, 0, 1);
	message_put_uint(&writer, 1, COMMAND_TYPE_LAST + 1);
	message_put_text(&writer, 2, "");
	assert_int_equal(replicated_state_apply_public(&learner, 1,
			     &(struct replicated_entry){1, START_MS,
				 message_data(&writer), message_size(&writer)}),
	    ERROR_NOT_SUPPORTED);
	assert_int_equal(learner.sequence, 0);
	message_writer_finish(&writer);
	replicated_state_finish(&learner);
}

static struct command_result
put_named_document(struct replicated_state *state, const char *name,
    uint64_t version, const char *text)
{
	struct command command = {.type = COMMAND_DOCUMENT};

	snprintf(command.body.document.name, sizeof(command.body.document.name),
	    "%s", name);
	command.body.document.version = version;
	command.body.document.data = text;
	command.body.document.size = strlen(text);
	return state_apply(state, &command, START_MS);
}

static struct command_result
put_document(struct replicated_state *state, uint64_t version, const char *text)
{
	return put_named_document(state, "routes", version, text);
}

static void
count_part(void *context, const struct part_record *record)
{
	assert_int_equal(record->part, 7);
	assert_int_equal(record->companion_count, 1);
	assert_int_equal(record->companions[0], 8);
	assert_true(part_record_is_quarantined(record));
	(*(uint32_t *)context)++;
}

static uint32_t
count_parts(const struct replicated_state *state)
{
	uint32_t count = 0;

	replicated_state_for_each_part(state, count_part, &count);
	return count;
}

/* What is known against parts of prompts is in snapshots and reaches learners,
 * until it is cleared. */
static void
test_crashing_parts_are_kept_until_cleared(void **state)
{
	struct command crashed = {.type = COMMAND_PARTS_CRASHED};
	struct command cleared = {.type = COMMAND_PARTS_CLEARED};
	struct command_parts *parts = &crashed.body.parts;
	struct replicated_state voter, learner, loaded;
	GByteArray *saved;
	uint32_t i;

	(void)state;
	replicated_state_init(&voter, NULL);
	replicated_state_init(&learner, NULL);
	replicated_state_init(&loaded, NULL);
	parts->count = 1;
	parts->evidence[0].part = 7;
	parts->evidence[0].companions[0] = 8;
	parts->evidence[0].companion_count = 1;
	for (i = 1; i <= PART_EVENTS_TO_QUARANTINE; i++) {
		parts->crash_id = parts->evidence[0].request = i;
		assert_int_equal(
		    state_apply(&voter, &crashed, START_MS + (int64_t)i * 1000)
			.error,
		    ERROR_NONE);
	}
	assert_int_equal(replicated_state_for_each_public(
			     &voter, 0, state_apply_public_entry, &learner),
	    ERROR_NONE);
	saved = replicated_state_save(&voter, true);
	assert_int_equal(
	    replicated_state_load(&loaded, saved->data, saved->len),
	    ERROR_NONE);
	assert_int_equal(count_parts(&voter), 1);
	assert_int_equal(count_parts(&learner), 1);
	assert_int_equal(count_parts(&loaded), 1);
	cleared.body.parts.count = 1;
	cleared.body.parts.evidence[0].part = 7;
	assert_int_equal(
	    state_apply(&voter, &cleared, START_MS + 10000).error, ERROR_NONE);
	assert_int_equal(count_parts(&voter), 0);
	g_byte_array_unref(saved);
	replicated_state_finish(&voter);
	replicated_state_finish(&learner);
	replicated_state_finish(&loaded);
}

/* The highest version of a document is kept, in whatever order versions arrive,
 * and is included in a snapshot. */
static void
test_newest_document_version_is_kept(void **state)
{
	struct command barrier = {.type = COMMAND_BARRIER};
	const struct document *document;
	struct replicated_state first, second;
	struct command_result result;
	GByteArray *saved;
	uint64_t sequence;

	(void)state;
	replicated_state_init(&first, NULL);
	assert_int_equal(put_document(&first, 5, "five").error, ERROR_NONE);
	assert_int_equal(put_document(&first, 4, "four").error, ERROR_NONE);
	assert_int_equal(put_document(&first, 5, "other").error, ERROR_NONE);
	document = replicated_state_document(&first, "routes");
	assert_int_equal(document->version, 5);
	assert_int_equal(g_bytes_get_size(document->bytes), 4);
	assert_null(replicated_state_document(&first, "none"));
	/* A barrier only orders a read. It isn't fed to learners, so the public
	 * sequence number stays. */
	sequence = first.sequence;
	result = state_apply(&first, &barrier, START_MS);
	assert_int_equal(result.error, ERROR_NONE);
	assert_int_equal(result.sequence, sequence);
	assert_int_equal(first.sequence, sequence);
	saved = replicated_state_save(&first, true);
	replicated_state_init(&second, NULL);
	assert_int_equal(
	    replicated_state_load(&second, saved->data, saved->len),
	    ERROR_NONE);
	document = replicated_state_document(&second, "routes");
	assert_int_equal(document->version, 5);
	assert_memory_equal(g_bytes_get_data(document->bytes, NULL), "five", 4);
	g_byte_array_unref(saved);
	replicated_state_finish(&first);
	replicated_state_finish(&second);
}

/* The public commands kept to feed learners stay bounded in bytes when hundreds
 * of large documents are stored under many names. */
static void
test_public_entries_are_bounded_in_bytes(void **state)
{
	struct replicated_state first;
	char *text, name[NAME_SIZE_MAX];
	uint64_t i;

	(void)state;
	replicated_state_init(&first, NULL);
	text = g_strnfill(200000, 'x');
	for (i = 1; i <= 300; i++) {
		snprintf(
		    name, sizeof(name), "document-%u", (unsigned int)i % 60);
		put_named_document(&first, name, i, text);
	}
	assert_true(first.public_bytes <= PUBLIC_BYTES_MAX);
	assert_true(g_queue_get_length(first.public_entries) < 100);
	assert_int_equal(
	    replicated_state_document(&first, "document-0")->version, 300);
	g_free(text);
	replicated_state_finish(&first);
}

/* Applies what public_entries_read() returns, from the learner's sequence on.
 * Returns the number of bytes that were read. */
static size_t
feed_learner(struct replicated_state *learner,
    const struct replicated_state *from, uint64_t published, size_t max)
{
	GByteArray *bytes;
	uint64_t last;
	size_t size;

	bytes = g_byte_array_new();
	assert_int_equal(public_entries_read(from, learner->sequence + 1,
			     published, max, bytes, &last),
	    ERROR_NONE);
	assert_int_equal(
	    public_entries_apply(learner, bytes->data, bytes->len), ERROR_NONE);
	assert_int_equal(learner->sequence, last);
	size = bytes->len;
	g_byte_array_unref(bytes);
	return size;
}

/* A learner that is behind gets the newest version of a document only, and
 * never a state between a superseded version and the one that replaced it, even
 * through another learner. */
static void
test_learner_gets_newest_document_only(void **state)
{
	const size_t size = 100000, read_max = 1000;
	struct replicated_state voter, relay, learner;
	char *text;
	uint64_t i;

	(void)state;
	replicated_state_init(&voter, NULL);
	replicated_state_init(&relay, NULL);
	replicated_state_init(&learner, NULL);
	text = g_strnfill(size, 'x');
	state_put(&voter, "a", "setting/a", "1", REVISION_ANY);
	for (i = 1; i <= 50; i++)
		put_document(&voter, i, text);
	state_put(&voter, "b", "setting/b", "1", REVISION_ANY);
	assert_true(voter.public_bytes < 2 * size);
	/* The entry that replaces version 49 is not published yet. */
	assert_int_equal(feed_learner(&relay, &voter, 50, read_max), 0);
	assert_true(feed_learner(&relay, &voter, 52, read_max) < 2 * size);
	assert_int_equal(
	    replicated_state_document(&relay, "routes")->version, 50);
	feed_learner(&relay, &voter, 52, read_max);
	assert_int_equal(relay.sequence, 52);
	/* The relay passes the same on. */
	assert_int_equal(feed_learner(&learner, &relay, 50, read_max), 0);
	feed_learner(&learner, &relay, 52, read_max);
	feed_learner(&learner, &relay, 52, read_max);
	assert_int_equal(learner.content_hash, voter.content_hash);
	assert_int_equal(
	    replicated_state_document(&learner, "routes")->version, 50);
	assert_int_equal(
	    g_bytes_get_size(
		replicated_state_document(&learner, "routes")->bytes),
	    size);
	g_free(text);
	replicated_state_finish(&voter);
	replicated_state_finish(&relay);
	replicated_state_finish(&learner);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_idempotency_key_is_claimed_by_one_request),
	    cmocka_unit_test(test_claims_of_dead_host_get_unknown_outcome),
	    cmocka_unit_test(test_orders_are_fenced),
	    cmocka_unit_test(test_learner_has_same_content_as_voter),
	    cmocka_unit_test(test_unknown_command_is_not_passed_over),
	    cmocka_unit_test(test_learner_waits_at_unknown_command),
	    cmocka_unit_test(test_crashing_parts_are_kept_until_cleared),
	    cmocka_unit_test(test_newest_document_version_is_kept),
	    cmocka_unit_test(test_public_entries_are_bounded_in_bytes),
	    cmocka_unit_test(test_learner_gets_newest_document_only),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
