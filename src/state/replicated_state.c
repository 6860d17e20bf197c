/**
 * @file replicated_state.c
 * Applies commands to the replicated state and answers reads from it.
 */
#include "state/replicated_state.h"

#include <string.h>

#include <xxhash.h>

#include "state/replicated_parts.h"
#include "state/state_level.h"

/* Largest number of upstreams whose last order is remembered. Orders of
 * upstreams that are gone stay, so there may be more than UPSTREAMS_MAX. */
#define ORDERS_MAX (4 * UPSTREAMS_MAX)

static void set_defaults(struct replicated_state *state);
static void apply_command(struct replicated_state *state,
    const struct command *command, struct command_result *result);
static void apply_config(struct replicated_state *state,
    const struct command_config *config, struct command_result *result);
static uint64_t hash_change(uint64_t hash, const struct config_change *change);
static void apply_order_begin(struct replicated_state *state,
    const struct command_order *order, struct command_result *result);
static void apply_order_finish(struct replicated_state *state,
    const struct command_order *order, struct command_result *result);
static void apply_live_hosts(struct replicated_state *state,
    const struct command_hosts *hosts, struct command_result *result);
static void append_public_entry(struct replicated_state *state,
    const struct replicated_entry *entry, const struct command *command);
static void supersede_document(
    struct replicated_state *state, const struct document *document);
static void empty_document_entry(struct replicated_state *state,
    struct public_entry *entry, const char *name);
static uint64_t hash_document_name(const char *name);
static bool is_superseded_document(const struct command *command);
static void expire_operations(struct replicated_state *state);
static void fill_result(const struct replicated_state *state, uint64_t index,
    struct command_result *result);
static void visit_config(void *context, const char *prefix,
    void (*visit)(void *visitor, const struct config_entry *entry),
    void *visitor);
static gint compare_keys(
    gconstpointer left, gconstpointer right, gpointer context);
static gint compare_hosts(gconstpointer left, gconstpointer right);
static void free_value(gpointer value);
static void free_public(gpointer entry);
static void free_document(gpointer document);

void
replicated_state_init(struct replicated_state *state,
    const struct replicated_state_settings *settings)
{
	memset(state, 0, sizeof(*state));
	if (settings != NULL)
		state->settings = *settings;
	set_defaults(state);
	state->config = g_tree_new_full(compare_keys, NULL, g_free, free_value);
	state->operations = g_hash_table_new(g_str_hash, g_str_equal);
	state->operation_order = g_queue_new();
	state->claims = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, replicated_free_claim);
	state->claim_order = g_sequence_new(NULL);
	state->quarantine =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	state->parts =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	state->orders =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	state->live_hosts = g_array_new(FALSE, TRUE, sizeof(struct live_host));
	state->documents =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_document);
	state->public_entries = g_queue_new();
}

void
replicated_state_finish(struct replicated_state *state)
{
	if (state->config == NULL)
		return;
	g_tree_unref(state->config);
	g_hash_table_unref(state->operations);
	g_queue_free_full(state->operation_order, g_free);
	g_sequence_free(state->claim_order);
	g_hash_table_unref(state->claims);
	g_hash_table_unref(state->quarantine);
	g_hash_table_unref(state->parts);
	g_hash_table_unref(state->orders);
	g_array_unref(state->live_hosts);
	g_hash_table_unref(state->documents);
	g_queue_free_full(state->public_entries, free_public);
	memset(state, 0, sizeof(*state));
}

enum error_code
replicated_state_apply(struct replicated_state *state,
    const struct replicated_entry *entry, struct command_result *result)
{
	struct operation_record *record, fresh = {0};
	struct command command;
	enum error_code error;

	memset(result, 0, sizeof(*result));
	if (entry->index <= state->applied_index) {
		result->error = ERROR_STALE;
		return ERROR_NONE;
	}
	error = command_decode(&command, entry->data, entry->size);
	result->error = error;
	if (error_is_unknown_kind(error))
		return error;
	state->applied_index = entry->index;
	state->time_ms = MAX(state->time_ms, entry->time_ms);
	replicated_expire_claims(state);
	expire_operations(state);
	if (error != ERROR_NONE)
		return ERROR_NONE;
	record =
	    command.operation_id[0] == '\0'
		? NULL
		: g_hash_table_lookup(state->operations, command.operation_id);
	if (record != NULL) {
		*result = record->result;
		command_finish(&command);
		return ERROR_NONE;
	}
	apply_command(state, &command, result);
	if (result->error == ERROR_NONE && command_is_public(command.type))
		append_public_entry(state, entry, &command);
	fill_result(state, entry->index, result);
	if (command.operation_id[0] != '\0') {
		memcpy(fresh.operation_id, command.operation_id,
		    sizeof(fresh.operation_id));
		fresh.time_ms = state->time_ms;
		fresh.result = *result;
		replicated_put_operation(state, &fresh);
	}
	command_finish(&command);
	return ERROR_NONE;
}

enum error_code
replicated_state_apply_public(struct replicated_state *state, uint64_t sequence,
    const struct replicated_entry *entry)
{
	struct command_result result = {0};
	struct command command;
	enum error_code error;

	if (sequence <= state->sequence)
		return ERROR_STALE;
	if (sequence > state->sequence + 1)
		return ERROR_NOT_FOUND;
	error = command_decode(&command, entry->data, entry->size);
	if (error != ERROR_NONE)
		return error;
	state->time_ms = MAX(state->time_ms, entry->time_ms);
	if (!is_superseded_document(&command))
		apply_command(state, &command, &result);
	/* Only commands that succeeded on the voters are public, so a failure
	 * shows that this state differs from theirs. */
	if (result.error == ERROR_NONE) {
		state->applied_index = MAX(state->applied_index, entry->index);
		append_public_entry(state, entry, &command);
	}
	command_finish(&command);
	return result.error == ERROR_NONE ? ERROR_NONE : ERROR_INTERNAL;
}

struct config_source
replicated_state_config(struct replicated_state *state)
{
	return (struct config_source){visit_config, state};
}

enum error_code
replicated_state_get(const struct replicated_state *state, const char *key,
    struct config_entry *entry)
{
	const struct config_value *value;
	gpointer found;

	if (!g_tree_lookup_extended(
		state->config, key, &found, (gpointer *)&value))
		return ERROR_NOT_FOUND;
	entry->key = found;
	entry->value = value->value;
	entry->revision = value->revision;
	return ERROR_NONE;
}

const struct order_record *
replicated_state_order(
    const struct replicated_state *state, uint64_t upstream_id)
{
	return g_hash_table_lookup(state->orders, &upstream_id);
}

void
replicated_state_for_each_order(const struct replicated_state *state,
    void (*visit)(void *context, const struct order_record *order),
    void *context)
{
	struct order_record *record;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, state->orders);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&record))
		visit(context, record);
}

const struct live_host *
replicated_state_live_host(
    const struct replicated_state *state, uint32_t host_id)
{
	const struct live_host *host;
	guint i;

	for (i = 0; i < state->live_hosts->len; i++) {
		host = &g_array_index(state->live_hosts, struct live_host, i);
		if (host->host_id == host_id)
			return host;
	}
	return NULL;
}

enum error_code
replicated_state_for_each_public(const struct replicated_state *state,
    uint64_t sequence,
    void (*visit)(void *context, const struct public_entry *entry),
    void *context)
{
	const struct public_entry *entry;
	const GList *link;

	if (sequence >= state->sequence)
		return ERROR_NONE;
	entry = g_queue_peek_head(state->public_entries);
	if (entry == NULL || entry->sequence > sequence + 1)
		return ERROR_NOT_FOUND;
	/* Searches from the end, as most learners lack only a few commands. */
	link = state->public_entries->tail;
	while (link->prev != NULL &&
	       ((const struct public_entry *)link->prev->data)->sequence >
		   sequence)
		link = link->prev;
	for (; link != NULL; link = link->next)
		visit(context, link->data);
	return ERROR_NONE;
}

void
replicated_put_config(struct replicated_state *state, const char *key,
    const char *value, uint64_t revision)
{
	struct config_value *stored;

	stored = g_new0(struct config_value, 1);
	stored->value = g_strdup(value);
	stored->revision = revision;
	g_tree_replace(state->config, g_strdup(key), stored);
}

void
replicated_put_operation(
    struct replicated_state *state, const struct operation_record *record)
{
	struct operation_record *stored;

	stored = g_new(struct operation_record, 1);
	*stored = *record;
	g_hash_table_replace(state->operations, stored->operation_id, stored);
	g_queue_push_tail(state->operation_order, stored);
}

void
replicated_put_order(
    struct replicated_state *state, const struct order_record *record)
{
	struct order_record *stored;

	stored = g_new(struct order_record, 1);
	*stored = *record;
	g_hash_table_replace(state->orders, &stored->upstream_id, stored);
}

const struct document *
replicated_state_document(
    const struct replicated_state *state, const char *name)
{
	return g_hash_table_lookup(state->documents, name);
}

uint32_t
replicated_state_level(const struct replicated_state *state)
{
	const struct document *document;

	document = replicated_state_document(state, STATE_LEVEL_DOCUMENT);
	if (document == NULL)
		return STATE_LEVEL_BASE;
	return (uint32_t)CLAMP(document->version, STATE_LEVEL_BASE, UINT32_MAX);
}

enum error_code
replicated_put_document(struct replicated_state *state, const char *name,
    uint64_t version, const void *data, size_t size, uint64_t sequence)
{
	struct document *document, *stored;

	document = g_hash_table_lookup(state->documents, name);
	if (document != NULL && version <= document->version)
		return ERROR_NONE;
	if (document == NULL &&
	    g_hash_table_size(state->documents) >= DOCUMENTS_MAX)
		return ERROR_TABLE_FULL;
	stored = g_new0(struct document, 1);
	g_strlcpy(stored->name, name, sizeof(stored->name));
	stored->version = version;
	stored->sequence = sequence;
	stored->previous_sequence = document == NULL ? 0 : document->sequence;
	stored->bytes = g_bytes_new(data, size);
	g_hash_table_replace(state->documents, stored->name, stored);
	return ERROR_NONE;
}

static void
set_defaults(struct replicated_state *state)
{
	if (state->settings.claim_window_ms == 0)
		state->settings.claim_window_ms = CLAIM_WINDOW_MS;
	if (state->settings.claims_max == 0)
		state->settings.claims_max = CLAIMS_MAX;
}

static void
apply_command(struct replicated_state *state, const struct command *command,
    struct command_result *result)
{
	switch (command->type) {
	case COMMAND_CONFIG:
		apply_config(state, &command->body.config, result);
		return;
	case COMMAND_CLAIM_BEGIN:
		replicated_begin_claim(state, &command->body.claim, result);
		return;
	case COMMAND_CLAIM_FINISH:
		replicated_finish_claim(state, &command->body.claim, result);
		return;
	case COMMAND_QUARANTINE:
		replicated_apply_quarantine(
		    state, &command->body.quarantine, result);
		return;
	case COMMAND_ORDER_BEGIN:
		apply_order_begin(state, &command->body.order, result);
		return;
	case COMMAND_ORDER_FINISH:
		apply_order_finish(state, &command->body.order, result);
		return;
	case COMMAND_SET_LIVE_HOSTS:
		apply_live_hosts(state, &command->body.hosts, result);
		return;
	case COMMAND_DOCUMENT:
		result->error = replicated_put_document(state,
		    command->body.document.name, command->body.document.version,
		    command->body.document.data, command->body.document.size,
		    state->sequence + 1);
		return;
	case COMMAND_BARRIER:
		return;
	case COMMAND_PARTS_CRASHED:
		replicated_record_parts(state, &command->body.parts);
		return;
	case COMMAND_PARTS_CLEARED:
		replicated_clear_parts(state, &command->body.parts);
		return;
	}
	result->error = ERROR_NOT_SUPPORTED;
}

static void
apply_config(struct replicated_state *state,
    const struct command_config *config, struct command_result *result)
{
	const struct config_change *change;
	uint64_t hash;
	uint32_t i;

	if (config->expected_revision != REVISION_ANY &&
	    config->expected_revision != state->revision) {
		result->error = ERROR_REVISION_CONFLICT;
		return;
	}
	if ((uint32_t)g_tree_nnodes(state->config) + config->change_count >
	    CONFIG_ENTRIES_MAX) {
		result->error = ERROR_TABLE_FULL;
		return;
	}
	state->revision++;
	hash = XXH64(
	    &state->revision, sizeof(state->revision), state->content_hash);
	for (i = 0; i < config->change_count; i++) {
		change = &config->changes[i];
		hash = hash_change(hash, change);
		if (change->is_delete)
			g_tree_remove(state->config, change->key);
		else
			replicated_put_config(
			    state, change->key, change->value, state->revision);
	}
	state->content_hash = hash;
}

static uint64_t
hash_change(uint64_t hash, const struct config_change *change)
{
	hash = XXH64(change->key, strlen(change->key) + 1, hash);
	if (change->is_delete)
		return hash;
	return XXH64(change->value, strlen(change->value) + 1, hash);
}

static void
apply_order_begin(struct replicated_state *state,
    const struct command_order *order, struct command_result *result)
{
	const struct order_record *last;
	struct order_record record = {0};

	last = replicated_state_order(state, order->upstream_id);
	if (last != NULL && last->outcome == 0 &&
	    last->fencing_number != order->supersedes) {
		result->error = ERROR_CHANGE_PENDING;
		result->fencing_number = last->fencing_number;
		return;
	}
	if (last == NULL && g_hash_table_size(state->orders) >= ORDERS_MAX) {
		result->error = ERROR_TABLE_FULL;
		return;
	}
	record.upstream_id = order->upstream_id;
	record.fencing_number = last == NULL ? 1 : last->fencing_number + 1;
	record.kind = order->kind;
	record.host_id = order->host_id;
	record.begun_ms = state->time_ms;
	memcpy(record.argument, order->argument, sizeof(record.argument));
	replicated_put_order(state, &record);
	result->fencing_number = record.fencing_number;
}

static void
apply_order_finish(struct replicated_state *state,
    const struct command_order *order, struct command_result *result)
{
	struct order_record *record;

	record = g_hash_table_lookup(state->orders, &order->upstream_id);
	if (order->outcome == 0)
		result->error = ERROR_INVALID_ARGUMENT;
	else if (record == NULL)
		result->error = ERROR_NOT_FOUND;
	else if (record->fencing_number != order->fencing_number)
		result->error = ERROR_STALE;
	if (record != NULL)
		result->fencing_number = record->fencing_number;
	if (result->error == ERROR_NONE && record->outcome == 0)
		record->outcome = order->outcome;
}

static void
apply_live_hosts(struct replicated_state *state,
    const struct command_hosts *hosts, struct command_result *result)
{
	if (hosts->expected_epoch != state->epoch) {
		result->error = ERROR_REVISION_CONFLICT;
		return;
	}
	state->epoch++;
	g_array_set_size(state->live_hosts, 0);
	g_array_append_vals(state->live_hosts, hosts->hosts, hosts->count);
	g_array_sort(state->live_hosts, compare_hosts);
	replicated_end_orphaned_claims(state);
}

static void
append_public_entry(struct replicated_state *state,
    const struct replicated_entry *entry, const struct command *command)
{
	const struct document *document;
	struct public_entry *published;

	published = g_new0(struct public_entry, 1);
	published->sequence = ++state->sequence;
	published->index = entry->index;
	published->time_ms = entry->time_ms;
	published->command = g_bytes_new(entry->data, entry->size);
	g_queue_push_tail(state->public_entries, published);
	state->public_bytes += entry->size;
	if (command->type == COMMAND_DOCUMENT) {
		published->document_hash =
		    hash_document_name(command->body.document.name);
		document = g_hash_table_lookup(
		    state->documents, command->body.document.name);
		if (document != NULL && document->sequence == state->sequence)
			supersede_document(state, document);
	}
	/* Drops the oldest commands; a host that lacks them gets a snapshot. */
	while (g_queue_get_length(state->public_entries) > PUBLIC_ENTRIES_MAX ||
	       (state->public_bytes > PUBLIC_BYTES_MAX &&
		   g_queue_get_length(state->public_entries) > 1)) {
		published = g_queue_pop_head(state->public_entries);
		state->public_bytes -= g_bytes_get_size(published->command);
		free_public(published);
	}
}

/* Empties all earlier entries with the document that the last public entry has
 * just replaced. */
static void
supersede_document(
    struct replicated_state *state, const struct document *document)
{
	const struct public_entry *last;
	struct public_entry *entry;
	const GList *link;

	link = state->public_entries->tail;
	last = link->data;
	for (link = link->prev; link != NULL; link = link->prev) {
		entry = link->data;
		if (entry->sequence < document->previous_sequence)
			return;
		if (entry->document_hash != last->document_hash)
			continue;
		entry->superseded_by = last->sequence;
		empty_document_entry(state, entry, document->name);
	}
}

/* Replaces the document in a public entry by one without contents. */
static void
empty_document_entry(struct replicated_state *state, struct public_entry *entry,
    const char *name)
{
	struct command command = {.type = COMMAND_DOCUMENT};
	struct message_writer writer;

	g_strlcpy(command.body.document.name, name,
	    sizeof(command.body.document.name));
	command.body.document.data = "";
	message_writer_init(&writer);
	if (command_encode(&command, &writer) == ERROR_NONE) {
		state->public_bytes -= g_bytes_get_size(entry->command);
		g_bytes_unref(entry->command);
		entry->command =
		    g_bytes_new(message_data(&writer), message_size(&writer));
		state->public_bytes += g_bytes_get_size(entry->command);
	}
	message_writer_finish(&writer);
}

static uint64_t
hash_document_name(const char *name)
{
	return XXH64(name, strlen(name), 0) | 1;
}

/* True for a document whose contents were left out, since a later command
 * replaces it. */
static bool
is_superseded_document(const struct command *command)
{
	return command->type == COMMAND_DOCUMENT &&
	       command->body.document.size == 0;
}

static void
expire_operations(struct replicated_state *state)
{
	struct operation_record *record;

	for (;;) {
		record = g_queue_peek_head(state->operation_order);
		if (record == NULL ||
		    (g_queue_get_length(state->operation_order) <=
			    OPERATIONS_MAX &&
			record->time_ms + OPERATION_WINDOW_MS > state->time_ms))
			return;
		g_queue_pop_head(state->operation_order);
		g_hash_table_remove(state->operations, record->operation_id);
		g_free(record);
	}
}

static void
fill_result(const struct replicated_state *state, uint64_t index,
    struct command_result *result)
{
	result->index = index;
	result->sequence = state->sequence;
	result->revision = state->revision;
	result->epoch = state->epoch;
}

static void
visit_config(void *context, const char *prefix,
    void (*visit)(void *visitor, const struct config_entry *entry),
    void *visitor)
{
	struct replicated_state *state = context;
	const struct config_value *value;
	struct config_entry entry;
	GTreeNode *node;

	node = g_tree_lower_bound(state->config, prefix);
	for (; node != NULL; node = g_tree_node_next(node)) {
		entry.key = g_tree_node_key(node);
		if (!g_str_has_prefix(entry.key, prefix))
			return;
		value = g_tree_node_value(node);
		entry.value = value->value;
		entry.revision = value->revision;
		visit(visitor, &entry);
	}
}

static gint
compare_keys(gconstpointer left, gconstpointer right, gpointer context)
{
	(void)context;
	return strcmp(left, right);
}

static gint
compare_hosts(gconstpointer left, gconstpointer right)
{
	const struct live_host *first = left, *second = right;

	if (first->host_id == second->host_id)
		return 0;
	return first->host_id < second->host_id ? -1 : 1;
}

static void
free_value(gpointer value)
{
	g_free(((struct config_value *)value)->value);
	g_free(value);
}

static void
free_document(gpointer document)
{
	g_bytes_unref(((struct document *)document)->bytes);
	g_free(document);
}

static void
free_public(gpointer entry)
{
	g_bytes_unref(((struct public_entry *)entry)->command);
	g_free(entry);
}
