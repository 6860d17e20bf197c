/*
 * Commands of a level on a host: held back while another host's build may not
 * know them, allowed once the level is in force.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "host/host.h"
#include "protocol/gossip_message.h"
#include "state/state_level.h"
#include "transport/peer_link_parts.h"

#define OWN_ID	  1
#define OTHER_ID  2
#define THIRD_ID  3
#define OTHER_INC 70
#define ENTRY_MS  INT64_C(1764900000000)

static void
send_nothing(void *context, uint32_t host_id, enum peer_channel channel,
    const void *body, size_t size)
{
	(void)context;
	(void)host_id;
	(void)channel;
	(void)body;
	(void)size;
}

static void
dial_no_seed(void *context, const char *ip, uint16_t port)
{
	(void)context;
	(void)ip;
	(void)port;
}

static void
add_no_host(void *context, uint32_t host_id, const char *ip, uint16_t port)
{
	(void)context;
	(void)host_id;
	(void)ip;
	(void)port;
}

/* Starts what the level depends on, of a host that follows the voters. */
static struct host *
start_host(void)
{
	struct membership_settings settings = {
	    .self = {
		.id = OWN_ID, .ip = "10.0.0.1", .level = STATE_LEVEL_LATEST}};
	struct membership_ops ops = {
	    .dial_seed = dial_no_seed, .add_host = add_no_host};
	struct peer_port port = {send_nothing, NULL};
	struct host *host;

	host = g_new0(struct host, 1);
	timer_init(&host->timers, 64, 0);
	assert_int_equal(membership_init(&host->membership, &settings,
			     &host->timers, 1, port, ops),
	    ERROR_NONE);
	replicated_state_init(&host->voter_state, NULL);
	replicated_state_init(&host->learner_state, NULL);
	host->links.peers = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return host;
}

static void
stop_host(struct host *host)
{
	g_hash_table_destroy(host->links.peers);
	replicated_state_finish(&host->voter_state);
	replicated_state_finish(&host->learner_state);
	membership_finish(&host->membership);
	timer_finish(&host->timers);
	g_free(host);
}

/* Passes the record of another host to this one. */
static void
add_member(
    struct host *host, uint32_t host_id, uint32_t level, enum host_state state)
{
	const struct host_record record = {.id = host_id,
	    .ip = "10.0.0.2",
	    .incarnation = OTHER_INC,
	    .refutation = state,
	    .state = state,
	    .level = level};
	const struct gossip_version version = {
	    record.incarnation, record.refutation, record.state, 0};
	struct message_writer body, message;

	message_writer_init(&body);
	message_writer_init(&message);
	host_record_write(&body, &record);
	gossip_items_open(&message, MEMBERSHIP_TYPE_GOSSIP, 1);
	gossip_items_add(&message, record.id, &version, message_data(&body),
	    message_size(&body));
	assert_int_equal(membership_receive(&host->membership, host_id,
			     message_data(&message), message_size(&message)),
	    ERROR_NONE);
	message_writer_finish(&body);
	message_writer_finish(&message);
}

/* Makes the other host one whose links have numbers. */
static void
add_numbering_link(struct host *host, uint32_t host_id)
{
	struct peer *peer;

	peer = g_new0(struct peer, 1);
	peer->id = host_id;
	peer->linked_incarnation = OTHER_INC;
	peer->is_numbering = true;
	g_hash_table_insert(host->links.peers, GUINT_TO_POINTER(host_id), peer);
}

static void
apply(struct replicated_state *state, const struct command *command)
{
	struct replicated_entry entry = {
	    .index = state->applied_index + 1, .time_ms = ENTRY_MS};
	struct command_result result;
	struct message_writer writer;

	message_writer_init(&writer);
	assert_int_equal(command_encode(command, &writer), ERROR_NONE);
	entry.data = message_data(&writer);
	entry.size = message_size(&writer);
	assert_int_equal(
	    replicated_state_apply(state, &entry, &result), ERROR_NONE);
	assert_int_equal(result.error, ERROR_NONE);
	message_writer_finish(&writer);
}

static void
put_level(struct replicated_state *state, uint64_t level)
{
	struct command command = {.type = COMMAND_DOCUMENT};

	snprintf(command.body.document.name, NAME_SIZE_MAX, "%s",
	    STATE_LEVEL_DOCUMENT);
	command.body.document.version = level;
	command.body.document.data = "x";
	command.body.document.size = 1;
	apply(state, &command);
}

static void
test_commands_wait_for_their_level(void **state)
{
	struct host *host;

	(void)state;
	host = start_host();
	assert_int_equal(host_level_in_force(host), STATE_LEVEL_BASE);
	assert_true(host_level_allows(host, COMMAND_QUARANTINE));
	assert_false(host_level_allows(host, COMMAND_PARTS_CRASHED));
	assert_int_equal(
	    host_level_check_proposal(host, COMMAND_QUARANTINE), ERROR_NONE);
	assert_int_equal(host_level_check_proposal(host, COMMAND_PARTS_CLEARED),
	    ERROR_NOT_LEADER);
	put_level(&host->learner_state, STATE_LEVEL_PARTS);
	put_level(&host->voter_state, STATE_LEVEL_PARTS);
	assert_true(host_level_allows(host, COMMAND_PARTS_CRASHED));
	assert_int_equal(
	    host_level_check_proposal(host, COMMAND_PARTS_CLEARED), ERROR_NONE);
	stop_host(host);
}

/* A leader whose term has begun refuses for good. */
static void
test_a_leader_refuses_a_command_above_the_level(void **state)
{
	struct host *host;

	(void)state;
	host = start_host();
	host->has_disk = true;
	host->consensus.role = CONSENSUS_ROLE_LEADER;
	host->consensus.term_start_index = 3;
	host->consensus.commit_index = 3;
	assert_int_equal(host_level_check_proposal(host, COMMAND_PARTS_CRASHED),
	    ERROR_NOT_SUPPORTED);
	put_level(&host->voter_state, STATE_LEVEL_PARTS);
	assert_int_equal(
	    host_level_check_proposal(host, COMMAND_PARTS_CRASHED), ERROR_NONE);
	host->has_disk = false;
	stop_host(host);
}

static void
test_the_host_that_knows_least_decides(void **state)
{
	struct command live = {.type = COMMAND_SET_LIVE_HOSTS};
	struct live_host third = {.host_id = THIRD_ID};
	struct host *host;

	(void)state;
	host = start_host();
	assert_int_equal(host_level_lowest(host).level, STATE_LEVEL_LATEST);
	add_member(host, OTHER_ID, 0, HOST_STATE_ALIVE);
	assert_int_equal(host_level_lowest(host).host_id, OTHER_ID);
	assert_int_equal(host_level_lowest(host).level, STATE_LEVEL_BASE);
	add_numbering_link(host, OTHER_ID);
	assert_int_equal(host_level_lowest(host).level, STATE_LEVEL_PARTS);
	/* A committed live host of which membership knows nothing. */
	live.body.hosts.count = 1;
	live.body.hosts.hosts = &third;
	apply(&host->learner_state, &live);
	assert_int_equal(host_level_lowest(host).host_id, THIRD_ID);
	assert_int_equal(host_level_lowest(host).level, 0);
	add_member(host, THIRD_ID, STATE_LEVEL_BASE, HOST_STATE_ALIVE);
	assert_int_equal(host_level_lowest(host).level, STATE_LEVEL_BASE);
	stop_host(host);
}

static void
test_a_host_that_left_does_not_count(void **state)
{
	struct host *host;

	(void)state;
	host = start_host();
	add_member(host, OTHER_ID, STATE_LEVEL_BASE, HOST_STATE_ALIVE);
	assert_int_equal(host_level_lowest(host).level, STATE_LEVEL_BASE);
	/* One that died may come back. */
	add_member(host, OTHER_ID, STATE_LEVEL_BASE, HOST_STATE_DEAD);
	assert_int_equal(host_level_lowest(host).level, STATE_LEVEL_BASE);
	add_member(host, OTHER_ID, STATE_LEVEL_BASE, HOST_STATE_LEFT);
	assert_int_equal(host_level_lowest(host).level, STATE_LEVEL_LATEST);
	stop_host(host);
}

static void
test_a_build_below_the_level_in_force_may_not_vote(void **state)
{
	const struct host_record *record;
	struct host *host;

	(void)state;
	host = start_host();
	add_member(host, OTHER_ID, 0, HOST_STATE_ALIVE);
	record = membership_find(&host->membership, OTHER_ID);
	assert_true(host_level_may_vote(host, record));
	put_level(&host->learner_state, STATE_LEVEL_PARTS);
	assert_false(host_level_may_vote(host, record));
	add_numbering_link(host, OTHER_ID);
	assert_true(host_level_may_vote(host, record));
	stop_host(host);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_commands_wait_for_their_level),
	    cmocka_unit_test(test_a_leader_refuses_a_command_above_the_level),
	    cmocka_unit_test(test_the_host_that_knows_least_decides),
	    cmocka_unit_test(test_a_host_that_left_does_not_count),
	    cmocka_unit_test(
		test_a_build_below_the_level_in_force_may_not_vote),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
