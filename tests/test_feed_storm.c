/*
 * Test of the configuration feed under a storm of document versions on 300
 * hosts with slow links and processors: each version, or a later one, is in use
 * on every host in time, since a host that is behind skips versions.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "coordination/config_feed.h"
#include "fake_net.h"
#include "protocol/public_entry_message.h"

#define HOSTS		    300
#define VOTERS		    5
#define VERSIONS	    100	  /* Versions written in the storm. */
#define WRITE_PERIOD_MS	    60	  /* Time between two versions. */
#define DOCUMENT_SIZE	    20000 /* Thousands of routes, compressed. */
#define USE_MS		    115	  /* Time in which a host takes one into use. */
#define UPLINK_BYTES_PER_MS 2500
#define IN_USE_MS	    2500 /* Target for a version to be in use everywhere. */
#define STEP_MS		    5
#define SETTLE_MS	    10000

struct storm;

/* A host with its state and feed. */
struct node {
	struct storm *storm;
	uint32_t id;
	struct config_feed feed;
	struct replicated_state state;
	uint64_t published; /* Sequence that its feed may pass on. */
	uint64_t used;	    /* Version of the document in use. */
	uint32_t uses;	    /* Documents that it took into use. */
	int64_t busy_until_ms;
	bool is_frozen;
};

struct storm {
	struct fake_net net;
	struct node *nodes;
	uint64_t log_index;
	int64_t written_ms[VERSIONS + 1]; /* Net time at which each version was
					     written. */
};

static bool
is_leader(void *context)
{
	return ((struct node *)context)->id == 1;
}

static uint64_t
term(void *context)
{
	(void)context;
	return 1;
}

static uint32_t
leader_id(void *context)
{
	return ((struct node *)context)->id <= VOTERS ? 1 : 0;
}

static uint32_t
voters(void *context, uint32_t *host_ids, uint32_t max)
{
	uint32_t i;

	(void)context;
	for (i = 0; i < VOTERS && i < max; i++)
		host_ids[i] = i + 1;
	return i;
}

static int64_t
confirmed_ms(void *context)
{
	return fake_net_now(&((struct node *)context)->storm->net);
}

static uint64_t
applied_index(void *context)
{
	return ((struct node *)context)->published;
}

static enum error_code
read_entries(
    void *context, uint64_t from, size_t max, GByteArray *bytes, uint64_t *last)
{
	struct node *node = context;

	return public_entries_read(
	    &node->state, from, node->published, max, bytes, last);
}

static enum error_code
read_snapshot(void *context, GByteArray *bytes, uint64_t *index)
{
	struct node *node = context;
	GByteArray *saved;

	saved = replicated_state_save(&node->state, true);
	g_byte_array_append(bytes, saved->data, saved->len);
	g_byte_array_unref(saved);
	*index = node->state.sequence;
	return ERROR_NONE;
}

/* The host's clock runs on while it is busy, though its timers don't. */
static int64_t
clock_now(void *context)
{
	struct node *node = context;

	return MAX(fake_net_now(&node->storm->net), node->busy_until_ms);
}

/* Makes the host busy for as long as it takes the document into use. */
static void
begin_use(struct node *node)
{
	int64_t now_ms = fake_net_now(&node->storm->net);

	node->published = node->state.sequence;
	node->uses++;
	node->busy_until_ms = MAX(node->busy_until_ms, now_ms) + USE_MS;
}

static enum error_code
apply_entries(
    void *context, uint64_t from, uint64_t last, const void *bytes, size_t size)
{
	struct node *node = context;

	(void)from;
	(void)last;
	assert_int_equal(
	    public_entries_apply(&node->state, bytes, size), ERROR_NONE);
	begin_use(node);
	return ERROR_NONE;
}

static enum error_code
install_snapshot(void *context, uint64_t index, const void *bytes, size_t size)
{
	struct node *node = context;

	(void)index;
	assert_int_equal(
	    replicated_state_load(&node->state, bytes, size), ERROR_NONE);
	begin_use(node);
	return ERROR_NONE;
}

static uint32_t
list_hosts(void *context, uint32_t *host_ids, uint32_t max)
{
	struct node *node = context;
	uint32_t id, count = 0;

	for (id = 1; id <= HOSTS && count < max; id++) {
		if (id != node->id)
			host_ids[count++] = id;
	}
	return count;
}

static void
receive(void *context, uint32_t from_host, enum peer_channel channel,
    const void *body, size_t size)
{
	struct node *node = context;

	(void)channel;
	(void)config_feed_receive(&node->feed, from_host, body, size);
}

static void
start_node(struct storm *storm, uint32_t id)
{
	struct node *node = &storm->nodes[id - 1];
	struct config_feed_settings settings = {
	    .host_id = id, .incarnation = 1};
	struct config_feed_source source = {is_leader, term, leader_id, voters,
	    confirmed_ms, applied_index, read_entries, read_snapshot, node};
	struct config_feed_sink sink = {apply_entries, install_snapshot, node};
	struct config_feed_ops ops = {
	    .list_hosts = list_hosts, .context = node};

	node->storm = storm;
	node->id = id;
	replicated_state_init(&node->state, NULL);
	if (id <= VOTERS)
		memset(&sink, 0, sizeof(sink));
	fake_net_start(
	    &storm->net, id, 0, (struct fake_receiver){receive, node});
	fake_net_host(&storm->net, id)->uplink_bytes_per_ms =
	    UPLINK_BYTES_PER_MS;
	fake_net_timers(&storm->net, id)->clock =
	    (struct timer_clock){clock_now, node};
	assert_int_equal(config_feed_init(&node->feed, &settings,
			     fake_net_timers(&storm->net, id), id,
			     fake_net_port(&storm->net, id), source, sink, ops),
	    ERROR_NONE);
}

/* Commits a version of the document on all voters. */
static void
write_version(struct storm *storm, uint64_t version)
{
	struct command command = {.type = COMMAND_DOCUMENT};
	struct replicated_entry entry = {0};
	struct command_result result;
	struct message_writer writer;
	char text[DOCUMENT_SIZE];
	uint32_t i;

	memset(text, (int)(version % 251), sizeof(text));
	snprintf(command.body.document.name, sizeof(command.body.document.name),
	    "routes");
	command.body.document.version = version;
	command.body.document.data = text;
	command.body.document.size = sizeof(text);
	message_writer_init(&writer);
	assert_int_equal(command_encode(&command, &writer), ERROR_NONE);
	entry.index = ++storm->log_index;
	entry.data = message_data(&writer);
	entry.size = message_size(&writer);
	storm->written_ms[version] = fake_net_now(&storm->net);
	for (i = 0; i < VOTERS; i++) {
		replicated_state_apply(&storm->nodes[i].state, &entry, &result);
		assert_int_equal(result.error, ERROR_NONE);
		storm->nodes[i].published = storm->nodes[i].state.sequence;
		config_feed_on_applied(&storm->nodes[i].feed);
	}
	message_writer_finish(&writer);
}

/* Freezes a learner while it takes a document into use, and notes the version
 * in use afterwards. */
static void
update_use(struct node *node)
{
	const struct document *document;
	int64_t now_ms = fake_net_now(&node->storm->net);

	if (!node->is_frozen && node->busy_until_ms > now_ms) {
		fake_net_freeze(&node->storm->net, node->id);
		node->is_frozen = true;
	} else if (node->is_frozen && node->busy_until_ms <= now_ms) {
		document = replicated_state_document(&node->state, "routes");
		node->used = document->version;
		node->is_frozen = false;
		fake_net_thaw(&node->storm->net, node->id);
	}
}

/* Runs the fleet and returns the longest time for which a learner lacked a
 * version that had been written. */
static int64_t
run(struct storm *storm, int64_t duration_ms, uint64_t written)
{
	int64_t until_ms, now_ms, longest_ms = 0;
	uint64_t missing;
	uint32_t i;

	until_ms = fake_net_now(&storm->net) + duration_ms;
	while ((now_ms = fake_net_now(&storm->net)) < until_ms) {
		fake_net_run(&storm->net, STEP_MS);
		for (i = VOTERS; i < HOSTS; i++) {
			update_use(&storm->nodes[i]);
			missing = storm->nodes[i].used + 1;
			if (missing <= written)
				longest_ms = MAX(longest_ms,
				    now_ms - storm->written_ms[missing]);
		}
	}
	return longest_ms;
}

static void
test_each_version_is_in_use_in_time(void **state)
{
	const struct fake_link link = {1, 3, 0, 0, false};
	struct storm storm = {0};
	int64_t longest_ms = 0, lag_ms;
	uint64_t version;
	uint32_t id, uses_most = 0;

	(void)state;
	storm.nodes = calloc(HOSTS, sizeof(*storm.nodes));
	assert_non_null(storm.nodes);
	fake_net_init(&storm.net, HOSTS, 1, &link);
	for (id = 1; id <= HOSTS; id++)
		start_node(&storm, id);
	write_version(&storm, 1);
	run(&storm, SETTLE_MS, 0);
	for (version = 2; version <= VERSIONS; version++) {
		write_version(&storm, version);
		lag_ms = run(&storm, WRITE_PERIOD_MS, version);
		longest_ms = MAX(longest_ms, lag_ms);
	}
	lag_ms = run(&storm, SETTLE_MS, VERSIONS);
	longest_ms = MAX(longest_ms, lag_ms);
	print_message("longest time to use: %d ms\n", (int)longest_ms);
	assert_true(longest_ms <= IN_USE_MS);
	for (id = VOTERS + 1; id <= HOSTS; id++) {
		assert_int_equal(storm.nodes[id - 1].used, VERSIONS);
		uses_most = MAX(uses_most, storm.nodes[id - 1].uses);
	}
	/* Most of the processor is left to the requests. */
	print_message("busy with documents for %u of %d ms\n",
	    uses_most * USE_MS, VERSIONS * WRITE_PERIOD_MS);
	assert_true(uses_most * USE_MS <= VERSIONS * WRITE_PERIOD_MS * 2 / 5);
	for (id = 1; id <= HOSTS; id++) {
		config_feed_finish(&storm.nodes[id - 1].feed);
		replicated_state_finish(&storm.nodes[id - 1].state);
	}
	fake_net_finish(&storm.net);
	free(storm.nodes);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_each_version_is_in_use_in_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
