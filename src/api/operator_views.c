#include "api/operator_views.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/build_name.h"
#include "base/monotonic_clock.h"
#include "state/state_level.h"

/* Size of the text of a hexadecimal number in bytes. */
#define ID_TEXT_SIZE 32
/* Size of the text of a host's HTTP address in bytes. */
#define ADDRESS_TEXT_SIZE 128
#define US_PER_MS	  1000
/* Start of the configuration keys of takeouts. */
#define TAKEOUT_PREFIX "takeout/"
/* Build of a host that states none. */
#define BUILD_UNKNOWN "unknown"

/* Numbers of upstreams by warmth and state. Each upstream counts as one of
 * cold, warming, warm or leaving; it may also be ejected or taken out. Those
 * owned by other hosts count as cold, since this host doesn't know better. */
struct upstream_counts {
	struct host *host;
	json_int_t cold;
	json_int_t warming;
	json_int_t warm;
	json_int_t leaving;
	json_int_t ejected;
	json_int_t taken_out;
};

struct upstream_list {
	struct host *host;
	const struct selector *selector;
	json_t *items;
};

struct order_list {
	struct host *host;
	json_t *items;
};

struct quarantine_count {
	int64_t now_ms;
	json_int_t count;
};

static void add_voters(struct host *host, json_t *reply);
static void add_takeout(void *visitor, const struct config_entry *entry);
static void add_bands(struct host *host, json_t *reply);
static void count_upstream(void *visitor, const struct upstream_record *record);
static const char *warmth_name(
    struct host *host, const struct upstream_record *record);
static bool is_ejected(struct host *host, uint64_t id);
static void add_upstream(void *visitor, const struct upstream_record *record);
static const char *upstream_state_name(enum upstream_state state);
static void add_entry(void *visitor, const struct config_entry *entry);
static void add_host(void *visitor, const struct host_record *record);
static const char *host_state_name(enum host_state state);
static void count_quarantined(
    void *context, const struct quarantine_record *record);
static void add_quarantined(
    void *context, const struct quarantine_record *record);
static void add_part(void *context, const struct part_record *record);
static void add_order(void *context, const struct order_record *order);
static const char *service_state_name(struct host *host);
static void add_build(struct host *host, json_t *reply);

enum error_code
view_status(struct host *host, json_t *argument, json_t *reply)
{
	struct upstream_counts counts = {.host = host};
	struct quarantine_count quarantined = {
	    .now_ms = clock_wall_us() / US_PER_MS};
	struct config_source source;
	json_t *takeouts;
	char incarnation[ID_TEXT_SIZE];

	(void)argument;
	upstream_directory_for_each(&host->directory, count_upstream, &counts);
	replicated_state_for_each_quarantine(
	    host_state(host), count_quarantined, &quarantined);
	takeouts = json_array();
	source = replicated_state_config(host_state(host));
	source.for_each(source.context, TAKEOUT_PREFIX, add_takeout, takeouts);
	snprintf(incarnation, sizeof(incarnation), "%" PRIx64,
	    host->has_disk ? consensus_self(&host->consensus).incarnation : 0);
	json_object_update_new(reply,
	    json_pack("{s:s,s:I,s:s,s:s,s:I,s:I,s:I,s:I,s:I,s:o,s:I,s:s}",
		"host_name", host->settings.host_name, "host_id",
		(json_int_t)host->settings.host_id, "data_centre",
		host->settings.data_centre, "state", service_state_name(host),
		"revision", (json_int_t)host_state(host)->revision, "sequence",
		(json_int_t)host->published_sequence, "sequence_in_force",
		(json_int_t)config_feed_in_force_index(&host->feed),
		"lease_remaining_ms",
		(json_int_t)host_lease_remaining(host, host_now_ms()),
		"quarantined", quarantined.count, "takeouts", takeouts, "epoch",
		(json_int_t)host_state(host)->epoch, "voter_incarnation",
		incarnation));
	json_object_update_new(
	    reply, json_pack("{s:{s:I,s:I,s:I,s:I,s:I,s:I},s:I,s:I}",
		       "upstreams", "cold", counts.cold, "warming",
		       counts.warming, "warm", counts.warm, "leaving",
		       counts.leaving, "suspect", counts.ejected, "taken_out",
		       counts.taken_out, "requests_running",
		       (json_int_t)atomic_load(&host->running_requests),
		       "requests_waiting",
		       (json_int_t)atomic_load(&host->wait_line.waiting)));
	add_build(host, reply);
	add_voters(host, reply);
	add_bands(host, reply);
	return ERROR_NONE;
}

enum error_code
view_upstreams(struct host *host, json_t *argument, json_t *reply)
{
	struct upstream_list list = {.host = host};
	struct selector *selector;
	enum error_code error;

	selector = g_new(struct selector, 1);
	error = selector_parse(selector, json_string_value(argument), NULL);
	if (error == ERROR_NONE) {
		list.selector = selector;
		list.items = json_array();
		upstream_directory_for_each(
		    &host->directory, add_upstream, &list);
		json_object_set_new(reply, "upstreams", list.items);
	}
	g_free(selector);
	return error;
}

enum error_code
view_config(struct host *host, json_t *argument, json_t *reply)
{
	struct config_source source;
	json_t *entries;

	entries = json_array();
	source = replicated_state_config(host_state(host));
	source.for_each(
	    source.context, json_string_value(argument), add_entry, entries);
	json_object_set_new(reply, "entries", entries);
	json_object_set_new(reply, "revision",
	    json_integer((json_int_t)host_state(host)->revision));
	return ERROR_NONE;
}

enum error_code
view_config_entry(struct host *host, json_t *argument, json_t *reply)
{
	struct config_entry entry;
	enum error_code error;
	json_t *entries;

	error = replicated_state_get(
	    host_state(host), json_string_value(argument), &entry);
	if (error != ERROR_NONE)
		return error;
	entries = json_array();
	add_entry(entries, &entry);
	json_object_set_new(reply, "entries", entries);
	json_object_set_new(reply, "revision",
	    json_integer((json_int_t)host_state(host)->revision));
	return ERROR_NONE;
}

enum error_code
view_hosts(struct host *host, json_t *argument, json_t *reply)
{
	json_t *hosts;

	(void)argument;
	hosts = json_array();
	membership_for_each(&host->membership, add_host, hosts);
	json_object_set_new(reply, "hosts", hosts);
	add_voters(host, reply);
	return ERROR_NONE;
}

enum error_code
view_quarantine(struct host *host, json_t *argument, json_t *reply)
{
	json_t *items;

	(void)argument;
	items = json_array();
	replicated_state_for_each_quarantine(
	    host_state(host), add_quarantined, items);
	replicated_state_for_each_part(host_state(host), add_part, items);
	json_object_set_new(reply, "quarantined", items);
	return ERROR_NONE;
}

enum error_code
view_orders(struct host *host, json_t *argument, json_t *reply)
{
	struct order_list list = {.host = host};

	(void)argument;
	list.items = json_array();
	replicated_state_for_each_order(host_state(host), add_order, &list);
	json_object_set_new(reply, "orders", list.items);
	return ERROR_NONE;
}

/* Adds the voters, the leader and the term. A host without a disk knows them
 * only from its command client, without the term. */
static void
add_voters(struct host *host, json_t *reply)
{
	const struct voter_set *voters;
	uint32_t i, leader;
	json_t *ids;

	ids = json_array();
	if (host->has_disk) {
		leader = consensus_leader(&host->consensus);
		voters = consensus_voters(&host->consensus);
		for (i = 0; i < voters->count; i++)
			json_array_append_new(
			    ids, json_integer(voters->voters[i].host_id));
	} else {
		leader = host->commands.leader_id;
		for (i = 0; i < host->commands.voter_count; i++)
			json_array_append_new(
			    ids, json_integer(host->commands.voters[i]));
	}
	json_object_set_new(reply, "voters", ids);
	json_object_set_new(reply, "leader", json_integer(leader));
	json_object_set_new(reply, "term",
	    json_integer(host->has_disk
			     ? (json_int_t)host->consensus.identity.term
			     : 0));
}

static void
add_takeout(void *visitor, const struct config_entry *entry)
{
	json_array_append_new(visitor,
	    json_pack("{s:s,s:s}", "name", entry->key + strlen(TAKEOUT_PREFIX),
		"selector", entry->value));
}

/* Adds the mean time to the first token for each band of prompt lengths. */
static void
add_bands(struct host *host, json_t *reply)
{
	const struct band_totals *totals;
	uint64_t count;
	json_t *bands;
	uint32_t i;

	bands = json_array();
	for (i = 0; i < PROMPT_BAND_COUNT; i++) {
		totals = &host->metrics.bands[i];
		count = atomic_load(&totals->count);
		json_array_append_new(bands,
		    json_pack("{s:s,s:I,s:I}", "band", prompt_band_name(i),
			"count", (json_int_t)count, "mean_ms",
			(json_int_t)(count == 0 ? 0
						: atomic_load(&totals->sum_ms) /
						      count)));
	}
	json_object_set_new(reply, "first_token_ms", bands);
}

static void
count_upstream(void *visitor, const struct upstream_record *record)
{
	struct upstream_counts *counts = visitor;
	const char *warmth, *takeout;

	warmth = warmth_name(counts->host, record);
	if (record->state == UPSTREAM_STATE_LEAVING)
		counts->leaving++;
	else if (strcmp(warmth, "warm") == 0)
		counts->warm++;
	else if (strcmp(warmth, "warming") == 0)
		counts->warming++;
	else
		counts->cold++;
	if (intent_is_taken_out(counts->host->fleet.intent, record, &takeout))
		counts->taken_out++;
	if (is_ejected(counts->host, record->id))
		counts->ejected++;
}

/* Returns how warm an upstream is. Only the host that owns its capacity knows
 * this; any other host returns "elsewhere". */
static const char *
warmth_name(struct host *host, const struct upstream_record *record)
{
	struct capacity_amount cold, warm;
	struct grant_owner_view view;
	uint32_t bound;

	cold = warmup_cold_limit(&record->limits);
	warm = warmup_warm_limit(&record->limits);
	if (grant_owner_view(&host->capacity.owner, record->id, &view) !=
		ERROR_NONE ||
	    !view.is_owned)
		return "elsewhere";
	bound = view.bound.requests;
	if (bound >= warm.requests)
		return "warm";
	return bound > cold.requests ? "warming" : "cold";
}

/* Returns true if this host does not choose the upstream for now, after
 * failures. */
static bool
is_ejected(struct host *host, uint64_t id)
{
	const struct fleet_entry *entry;
	const struct fleet_view *view;
	bool ejected;

	view = fleet_lock(&host->fleet);
	entry = fleet_view_find(view, id);
	ejected =
	    entry != NULL &&
	    atomic_load(&entry->upstream->ejected_until_ms) > host_now_ms();
	fleet_unlock(view);
	return ejected;
}

static void
add_upstream(void *visitor, const struct upstream_record *record)
{
	struct upstream_list *list = visitor;
	const struct intent *intent;
	struct capacity_slot *slot;
	const char *takeout;

	intent = list->host->fleet.intent;
	if (!intent_select(intent, list->selector, record))
		return;
	slot = grant_holder_slot(&list->host->capacity.holder, record->id);
	json_array_append_new(list->items,
	    json_pack("{s:s,s:s,s:s,s:s,s:I,s:I,s:b,s:I,s:s,s:I}", "name",
		record->name, "data_centre", record->data_centre, "state",
		upstream_state_name(record->state), "warmth",
		warmth_name(list->host, record), "granted",
		slot == NULL ? (json_int_t)0
			     : (json_int_t)atomic_load(&slot->granted_requests),
		"used",
		slot == NULL ? (json_int_t)0
			     : (json_int_t)atomic_load(&slot->used_requests),
		"taken_out", intent_is_taken_out(intent, record, &takeout),
		"owner",
		(json_int_t)owner_map_owner(
		    &list->host->capacity.map, record->id),
		"url", record->url, "incarnation",
		(json_int_t)record->incarnation));
}

static const char *
upstream_state_name(enum upstream_state state)
{
	switch (state) {
	case UPSTREAM_STATE_ACTIVE:
		return "active";
	case UPSTREAM_STATE_LEAVING:
		return "leaving";
	case UPSTREAM_STATE_GONE:
		break;
	}
	return "gone";
}

static void
add_entry(void *visitor, const struct config_entry *entry)
{
	json_array_append_new(visitor,
	    json_pack("{s:s,s:s,s:I}", "key", entry->key, "value", entry->value,
		"revision", (json_int_t)entry->revision));
}

static void
add_host(void *visitor, const struct host_record *record)
{
	char address[ADDRESS_TEXT_SIZE];

	snprintf(address, sizeof(address), "http://%s:%u", record->http_ip,
	    record->http_port);
	json_array_append_new(visitor,
	    json_pack("{s:I,s:s,s:s,s:b,s:b,s:s,s:s,s:I}", "id",
		(json_int_t)record->id, "data_centre", record->data_centre,
		"state", host_state_name(record->state), "voter",
		(record->flags & HOST_FLAG_VOTER) != 0, "draining",
		(record->flags & HOST_FLAG_DRAINING) != 0, "address", address,
		"build",
		record->build[0] == '\0' ? BUILD_UNKNOWN : record->build,
		"level", (json_int_t)record->level));
}

static const char *
host_state_name(enum host_state state)
{
	switch (state) {
	case HOST_STATE_ALIVE:
		return "alive";
	case HOST_STATE_SUSPECTED:
		return "suspected";
	case HOST_STATE_DEAD:
		return "dead";
	case HOST_STATE_LEFT:
		break;
	}
	return "left";
}

static void
count_quarantined(void *context, const struct quarantine_record *record)
{
	struct quarantine_count *counted = context;

	if (!record->must_run_alone && record->until_ms > counted->now_ms)
		counted->count++;
}

static void
add_quarantined(void *context, const struct quarantine_record *record)
{
	char text[ID_TEXT_SIZE];

	snprintf(text, sizeof(text), "%016" PRIx64, record->fingerprint);
	json_array_append_new(
	    context, json_pack("{s:s,s:I,s:s,s:I}", "fingerprint", text,
			 "until_ms", (json_int_t)record->until_ms, "state",
			 record->must_run_alone ? "runs alone" : "refused",
			 "crashes", (json_int_t)record->crashes));
}

static void
add_part(void *context, const struct part_record *record)
{
	char text[ID_TEXT_SIZE];

	snprintf(text, sizeof(text), "%016" PRIx64, record->part);
	json_array_append_new(
	    context, json_pack("{s:s,s:I,s:s,s:I,s:i}", "fingerprint", text,
			 "until_ms", (json_int_t)record->until_ms, "state",
			 part_record_is_quarantined(record) ? "part refused"
							    : "part suspected",
			 "crashes", (json_int_t)record->event_count,
			 "companions", (int)record->companion_count));
}

static void
add_order(void *context, const struct order_record *order)
{
	const struct upstream_record *record;
	struct order_list *list = context;
	char id[ID_TEXT_SIZE];

	snprintf(id, sizeof(id), "%016" PRIx64, order->upstream_id);
	record =
	    upstream_directory_find(&list->host->directory, order->upstream_id);
	json_array_append_new(list->items,
	    json_pack("{s:s,s:I,s:s,s:s,s:s}", "upstream",
		record == NULL ? id : record->name, "fencing",
		(json_int_t)order->fencing_number, "kind",
		host_order_kind_name(order->kind), "argument", order->argument,
		"state",
		order->outcome == 0 ? "running"
		: order->outcome == 1
		    ? "done"
		    : error_name((enum error_code)(order->outcome - 1))));
}

static const char *
service_state_name(struct host *host)
{
	if (atomic_load(&host->is_draining))
		return "stopping";
	return host_may_start(host) ? "serving" : "unconfirmed";
}

/* Adds what this host's program is, and which levels of the replicated state it
 * knows and uses. */
static void
add_build(struct host *host, json_t *reply)
{
	(void)host;
	json_object_update_new(
	    reply, json_pack("{s:s,s:i}", "build", build_name(), "level",
		       (int)STATE_LEVEL_LATEST));
}
