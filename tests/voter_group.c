#include "voter_group.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <xxhash.h>

#define CLUSTER_ID	    77
#define WALL_CLOCK_START_MS 1700000000000
#define SNAPSHOT_END	    8	     /* Kind of the last part of a snapshot. */
#define CLOCK_START_MAX_MS  1000000u /* Largest start value of a clock. */

static void check_same(GHashTable *table, uint64_t key, uint64_t value);
static GLogWriterOutput discard_log(GLogLevelFlags level,
    const GLogField *fields, gsize count, gpointer context);

static void
receive(void *context, uint32_t from_host, enum peer_channel channel,
    const void *body, size_t size)
{
	struct group_host *host = context;

	if (channel == PEER_CHANNEL_COMMAND)
		command_client_receive(&host->client, from_host, body, size);
	else if (host->id != GROUP_LEARNER)
		consensus_receive(&host->consensus, from_host, body, size);
}

static enum error_code
read_kind(void *context, const void *command, size_t size, uint64_t *kind)
{
	struct group_host *host = context;
	enum error_code error;

	error = command_read_type(command, size, kind);
	if (error == ERROR_NOT_SUPPORTED && host->is_newer &&
	    (*kind == GROUP_NEWER_TYPE || *kind == COMMAND_DOCUMENT))
		return ERROR_NONE;
	return error;
}

static enum error_code
check_proposal(void *context, uint64_t kind)
{
	const struct group_host *host = context;

	return kind != 0 && kind == host->refused_kind ? ERROR_NOT_SUPPORTED
						       : ERROR_NONE;
}

static enum error_code
apply(void *context, const struct consensus_entry *entry, const void **result,
    size_t *result_size)
{
	struct replicated_entry applied = {
	    entry->index, entry->time_ms, entry->data, entry->size};
	struct group_host *host = context;
	struct command_result outcome;
	struct message_writer writer;
	enum error_code error;
	uint64_t kind;

	/* The time of log entries never decreases. */
	assert_true(entry->time_ms >= host->state.time_ms);
	error = replicated_state_apply(&host->state, &applied, &outcome);
	if (error != ERROR_NONE) {
		if (read_kind(host, entry->data, entry->size, &kind) !=
		    ERROR_NONE)
			return error;
		memset(&outcome, 0, sizeof(outcome));
		host->state.applied_index = entry->index;
		host->newer_count++;
	}
	check_same(host->group->entry_hashes, entry->index,
	    XXH64(entry->data, entry->size, (uint64_t)entry->time_ms));
	check_same(host->group->content_hashes, host->state.revision,
	    host->state.content_hash);
	message_writer_init(&writer);
	command_result_encode(&outcome, &writer);
	g_byte_array_set_size(host->result, 0);
	g_byte_array_append(
	    host->result, message_data(&writer), (guint)message_size(&writer));
	message_writer_finish(&writer);
	*result = host->result->data;
	*result_size = host->result->len;
	return ERROR_NONE;
}

/* Appends a part of a snapshot that holds one number. */
static void
append_part(GByteArray *bytes, uint64_t kind, uint64_t number)
{
	struct message_writer writer;
	uint32_t length;

	message_writer_init(&writer);
	message_begin_map(&writer, 3);
	message_put_uint(&writer, 0, 1);
	message_put_uint(&writer, 1, kind);
	message_put_uint(&writer, 4, number);
	length = GUINT32_TO_LE((uint32_t)message_size(&writer));
	g_byte_array_append(bytes, (const guint8 *)&length, sizeof(length));
	g_byte_array_append(
	    bytes, message_data(&writer), (guint)message_size(&writer));
	message_writer_finish(&writer);
}

/* Copies a snapshot without parts of GROUP_NEWER_TYPE, whose number goes to
 * found. Before its end comes one with the number added, unless that is 0. */
static GByteArray *
copy_snapshot(
    const unsigned char *data, size_t size, uint64_t added, uint64_t *found)
{
	GByteArray *copy = g_byte_array_new();
	struct message_reader reader;
	uint64_t kind, parts;
	uint32_t length;
	size_t at;

	parts = 0;
	*found = 0;
	for (at = 0; at < size; at += sizeof(length) + length) {
		memcpy(&length, data + at, sizeof(length));
		length = GUINT32_FROM_LE(length);
		assert_int_equal(message_reader_init(&reader,
				     data + at + sizeof(length), length),
		    ERROR_NONE);
		assert_int_equal(
		    message_get_uint(&reader, 1, &kind), ERROR_NONE);
		if (kind == GROUP_NEWER_TYPE)
			assert_int_equal(
			    message_get_uint(&reader, 4, found), ERROR_NONE);
		message_reader_finish(&reader);
		if (kind == GROUP_NEWER_TYPE || kind == SNAPSHOT_END)
			continue;
		g_byte_array_append(copy, data + at, sizeof(length) + length);
		parts++;
	}
	if (added > 0)
		append_part(copy, GROUP_NEWER_TYPE, added);
	append_part(copy, SNAPSHOT_END, parts + (added > 0));
	return copy;
}

static GByteArray *
save(void *context)
{
	struct group_host *host = context;
	GByteArray *bytes, *newer;
	uint64_t found;

	bytes = replicated_state_save(&host->state, false);
	if (!host->is_newer)
		return bytes;
	newer =
	    copy_snapshot(bytes->data, bytes->len, host->newer_count, &found);
	g_byte_array_unref(bytes);
	return newer;
}

static enum error_code
load(void *context, const void *data, size_t size)
{
	struct group_host *host = context;
	enum error_code error;
	GByteArray *bytes;
	uint64_t found;

	if (!host->is_newer)
		return replicated_state_load(&host->state, data, size);
	bytes = copy_snapshot(data, size, 0, &found);
	error = replicated_state_load(&host->state, bytes->data, bytes->len);
	if (error == ERROR_NONE)
		host->newer_count = found;
	g_byte_array_unref(bytes);
	return error;
}

static void
on_role_changed(void *context, enum consensus_role role, uint32_t leader_id)
{
	struct group_host *host = context;
	uint64_t term = host->consensus.identity.term;

	if (leader_id != 0)
		command_client_on_leader_changed(&host->client);
	if (role != CONSENSUS_ROLE_LEADER)
		return;
	assert_true(term < G_N_ELEMENTS(host->group->leader_since_ms));
	/* A term has at most one leader. */
	assert_int_equal(host->group->leader_since_ms[term], 0);
	host->group->leader_since_ms[term] =
	    fake_net_now(&host->group->net) + 1;
	host->group->last_led_term = MAX(host->group->last_led_term, term);
}

static int64_t
read_wall_clock(void *context)
{
	struct group_host *host = context;

	return WALL_CLOCK_START_MS + fake_net_now(&host->group->net) +
	       host->wall_offset_ms;
}

void
voter_group_discard_logs(void)
{
	g_log_set_writer_func(discard_log, NULL, NULL);
}

void
voter_group_init(
    struct voter_group *group, uint64_t seed, const struct fake_link *link)
{
	uint32_t id;

	memset(group, 0, sizeof(*group));
	group->compact_entries = 40;
	group->next_seed = seed * 1000;
	random_init(&group->random, seed);
	group->entry_hashes = g_hash_table_new(NULL, NULL);
	group->content_hashes = g_hash_table_new(NULL, NULL);
	fake_net_init(&group->net, GROUP_HOSTS, seed, link);
	for (id = 1; id <= GROUP_HOSTS; id++) {
		group->hosts[id - 1].group = group;
		group->hosts[id - 1].id = id;
		fake_disk_init(&group->hosts[id - 1].disk, seed * 10 + id);
		voter_group_start(group, id);
	}
}

void
voter_group_finish(struct voter_group *group)
{
	uint32_t id;

	for (id = 1; id <= GROUP_HOSTS; id++) {
		voter_group_stop(group, id);
		fake_disk_finish(&group->hosts[id - 1].disk);
	}
	fake_net_finish(&group->net);
	g_hash_table_unref(group->entry_hashes);
	g_hash_table_unref(group->content_hashes);
}

bool
voter_group_start(struct voter_group *group, uint32_t id)
{
	struct disk disk = fake_disk_disk(&group->hosts[id - 1].disk);
	enum error_code error;
	bool is_cleared;

	is_cleared = false;
	error = voter_group_try_start(group, id);
	if (error == ERROR_CORRUPT || error == ERROR_IDENTITY_LOST) {
		is_cleared = true;
		assert_int_equal(consensus_clear_folder(&disk), ERROR_NONE);
		error = voter_group_try_start(group, id);
	}
	assert_int_equal(error, ERROR_NONE);
	return is_cleared;
}

enum error_code
voter_group_try_start(struct voter_group *group, uint32_t id)
{
	struct group_host *host = &group->hosts[id - 1];
	struct command_client_settings client = {.host_id = id};
	struct consensus_settings settings = {.host_id = id,
	    .cluster_id = CLUSTER_ID,
	    .initial_count = GROUP_VOTERS,
	    .initial_voters = {1, 2, 3},
	    .compact_entries = group->compact_entries};
	const struct consensus_ops ops = {apply, read_kind, check_proposal,
	    save, load, on_role_changed, read_wall_clock, host};
	struct disk disk = fake_disk_disk(&host->disk);
	struct timer_service *timers = fake_net_timers(&group->net, id);
	struct peer_port port = fake_net_port(&group->net, id);
	enum error_code error;

	host->newer_count = 0;
	fake_net_start(&group->net, id,
	    random_below(&group->random, CLOCK_START_MAX_MS),
	    (struct fake_receiver){receive, host});
	replicated_state_init(&host->state, NULL);
	host->result = g_byte_array_new();
	client.seed = group->next_seed++;
	settings.seed = group->next_seed++;
	settings.fresh_incarnation = settings.seed + 1;
	error = ERROR_NONE;
	if (id != GROUP_LEARNER)
		error = consensus_init(
		    &host->consensus, &settings, &disk, timers, port, &ops);
	if (error != ERROR_NONE) {
		fake_net_kill(&group->net, id);
		replicated_state_finish(&host->state);
		g_byte_array_unref(host->result);
		return error;
	}
	command_client_init(&host->client, &client, timers, port,
	    id == GROUP_LEARNER ? NULL : &host->consensus);
	command_client_set_voters(
	    &host->client, (const uint32_t[]){1, 2, 3, 4}, GROUP_HOSTS - 1);
	host->is_up = true;
	return ERROR_NONE;
}

void
voter_group_encode_newer(struct message_writer *writer)
{
	message_begin_map(writer, 3);
	message_put_uint(writer, 0, 1);
	message_put_uint(writer, 1, GROUP_NEWER_TYPE);
	message_put_text(writer, 2, "");
}

void
voter_group_stop(struct voter_group *group, uint32_t id)
{
	struct group_host *host = &group->hosts[id - 1];

	if (!host->is_up)
		return;
	host->is_up = false;
	fake_net_kill(&group->net, id);
	command_client_finish(&host->client);
	if (id != GROUP_LEARNER)
		consensus_finish(&host->consensus);
	replicated_state_finish(&host->state);
	g_byte_array_unref(host->result);
}

struct group_host *
voter_group_leader(struct voter_group *group)
{
	struct group_host *leader, *host;
	uint32_t i;

	leader = NULL;
	for (i = 0; i < GROUP_HOSTS - 1; i++) {
		host = &group->hosts[i];
		if (host->is_up && consensus_is_leader(&host->consensus) &&
		    (leader == NULL || host->consensus.identity.term >
					   leader->consensus.identity.term))
			leader = host;
	}
	return leader;
}

bool
voter_group_wait_leader(struct voter_group *group, int64_t limit_ms)
{
	int64_t end_ms = fake_net_now(&group->net) + limit_ms;

	while (voter_group_leader(group) == NULL) {
		if (fake_net_now(&group->net) >= end_ms)
			return false;
		fake_net_run(&group->net, 10);
	}
	return true;
}

bool
voter_group_agrees(struct voter_group *group)
{
	struct group_host *leader = voter_group_leader(group), *host;
	uint32_t i;

	if (leader == NULL)
		return false;
	for (i = 0; i < GROUP_HOSTS - 1; i++) {
		host = &group->hosts[i];
		if (voter_set_find(&leader->consensus.voters, host->id) == NULL)
			continue;
		if (!host->is_up ||
		    !voter_set_contains(&leader->consensus.voters,
			consensus_self(&host->consensus)) ||
		    host->consensus.applied_index !=
			journal_last_index(&leader->consensus.journal) ||
		    host->state.revision != leader->state.revision ||
		    host->state.content_hash != leader->state.content_hash)
			return false;
	}
	return true;
}

void
voter_group_check_leases(struct voter_group *group)
{
	struct group_host *host;
	uint64_t commit_index, term;
	int64_t at_ms;
	uint32_t i;

	for (i = 0; i < GROUP_HOSTS - 1; i++) {
		host = &group->hosts[i];
		if (!host->is_up || consensus_confirmed_at(&host->consensus,
					&at_ms, &commit_index) != ERROR_NONE)
			continue;
		at_ms -= fake_net_host(&group->net, host->id)->clock_offset_ms;
		for (term = host->consensus.identity.term + 1;
		     term <= group->last_led_term; term++)
			assert_true(group->leader_since_ms[term] == 0 ||
				    group->leader_since_ms[term] > at_ms);
	}
}

struct voter
voter_group_identity(struct voter_group *group, uint32_t id)
{
	return consensus_self(&group->hosts[id - 1].consensus);
}

static void
check_same(GHashTable *table, uint64_t key, uint64_t value)
{
	gpointer seen;

	if (!g_hash_table_lookup_extended(
		table, GSIZE_TO_POINTER(key), NULL, &seen)) {
		g_hash_table_insert(
		    table, GSIZE_TO_POINTER(key), GSIZE_TO_POINTER(value));
		return;
	}
	assert_true(GPOINTER_TO_SIZE(seen) == value);
}

static GLogWriterOutput
discard_log(GLogLevelFlags level, const GLogField *fields, gsize count,
    gpointer context)
{
	(void)level;
	(void)fields;
	(void)count;
	(void)context;
	return G_LOG_WRITER_HANDLED;
}
