/*
 * Finds requests of this host that crash upstreams. Collects the requests that
 * were running on a crashed upstream, passes them to the quarantine, commits
 * its decisions to the replicated state and applies those of all hosts.
 */
#include "host/host.h"

#include <stdio.h>

#include <jansson.h>

#include "base/event_log.h"
#include "base/monotonic_clock.h"
#include "coordination/rendezvous.h"

/* Time from the first report of a crash until its evaluation. By then, all
 * requests that were running on the upstream should have been reported. */
#define CRASH_COLLECT_MS 200
/* Longest time for which the commit of a quarantine entry is tried. */
#define QUARANTINE_TIMEOUT_MS 5000
/* Time for which a host is the one to try quarantined parts of prompts. */
#define TRIAL_TURN_MS 10000
/* One in so many hosts may try a part at the same time. */
#define HOSTS_PER_TRIAL 8
#define US_PER_MS	1000

/* A crashed upstream and this host's requests that were running on it. */
struct pending_crash {
	struct host *host;
	uint64_t upstream_id;
	uint64_t incarnation;
	char data_centre[NAME_SIZE_MAX];
	GArray *keys; /* struct request_key of each request. */
};

/* A quarantine entry that is being committed. */
struct pending_commit {
	struct host *host;
	uint64_t fingerprint;
};

/* What was found out about parts of prompts, while it is being committed. */
struct pending_parts {
	struct host *host;
	uint64_t id;
};

static void commit_quarantine(
    void *context, const struct quarantine_entry *entries, uint32_t count);
static void commit_entry(
    struct host *host, const struct quarantine_entry *entry);
static void on_quarantine_committed(
    void *context, const struct command_result *result);
static void end_commit(struct pending_commit *pending, bool is_committed);
static void commit_parts(void *context, uint64_t id, enum command_type type,
    const struct command_parts *parts);
static bool may_commit_parts(void *context);
static void on_parts_committed(
    void *context, const struct command_result *result);
static void end_parts(struct pending_parts *pending, enum error_code error);
static void apply_quarantine(
    void *context, const struct quarantine_record *record);
static void apply_part(void *context, const struct part_record *record);
static bool is_trial_host(void *context, uint64_t part);
static void evaluate_crash(void *context);
static void log_crash(struct host *host, const struct quarantine_crash *crash);
static uint32_t count_other_hosts_requests(
    struct host *host, const struct pending_crash *pending);
static void free_crash(gpointer memory);

enum error_code
host_suspects_init(struct host *host)
{
	struct quarantine_settings settings;
	struct quarantine_ops ops = {
	    .commit = commit_quarantine, .context = host};
	struct part_suspects_ops part_ops = {
	    .commit = commit_parts,
	    .may_commit = may_commit_parts,
	    .is_trial_host = is_trial_host,
	    .context = host,
	};
	enum error_code error;

	host->crashes = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_crash);
	settings = quarantine_default_settings();
	settings.host_id = host->settings.host_id;
	error =
	    quarantine_init(&host->quarantine, &settings, &ops, &host->timers);
	if (error != ERROR_NONE)
		return error;
	return part_suspects_init(
	    &host->part_suspects, &part_ops, &host->timers);
}

void
host_suspects_finish(struct host *host)
{
	part_suspects_finish(&host->part_suspects);
	quarantine_finish(&host->quarantine);
	quarantine_view_finish(&host->quarantine_view);
	g_hash_table_destroy(host->crashes);
}

void
host_suspects_on_loop_pass(struct host *host)
{
	quarantine_view_publish(
	    &host->quarantine_view, &host->quarantine, &host->part_suspects);
}

void
host_suspects_apply(struct host *host)
{
	quarantine_sync_begin(&host->quarantine);
	replicated_state_for_each_quarantine(
	    host_state(host), apply_quarantine, host);
	quarantine_sync_end(&host->quarantine);
	part_suspects_sync_begin(&host->part_suspects);
	replicated_state_for_each_part(host_state(host), apply_part, host);
	part_suspects_sync_end(&host->part_suspects);
}

void
host_suspects_record_crash(struct host *host, uint64_t upstream_id,
    uint64_t incarnation, const char *data_centre,
    const struct request_key *key)
{
	struct pending_crash *pending;

	pending = g_hash_table_lookup(host->crashes, &upstream_id);
	if (pending == NULL) {
		pending = g_new0(struct pending_crash, 1);
		pending->host = host;
		pending->upstream_id = upstream_id;
		pending->incarnation = incarnation;
		snprintf(pending->data_centre, sizeof(pending->data_centre),
		    "%s", data_centre);
		pending->keys =
		    g_array_new(FALSE, FALSE, sizeof(struct request_key));
		g_hash_table_insert(
		    host->crashes, &pending->upstream_id, pending);
		timer_subscribe_once(&host->timers, CRASH_COLLECT_MS,
		    (struct timer_callback){evaluate_crash, pending}, NULL);
	}
	g_array_append_vals(pending->keys, key, 1);
}

static void
commit_quarantine(
    void *context, const struct quarantine_entry *entries, uint32_t count)
{
	struct host *host = context;
	uint32_t i;

	for (i = 0; i < count; i++)
		commit_entry(host, &entries[i]);
}

static void
commit_entry(struct host *host, const struct quarantine_entry *entry)
{
	struct command command = {.type = COMMAND_QUARANTINE};
	struct command_quarantine *body = &command.body.quarantine;
	struct command_callback callback = {on_quarantine_committed, NULL};
	struct pending_commit *pending;

	body->host_id = host->settings.host_id;
	body->fingerprint = entry->fingerprint;
	body->must_run_alone = entry->action == QUARANTINE_RUN_ALONE;
	body->crashes = entry->crashes;
	body->weight_permille = entry->weight_permille;
	if (entry->action != QUARANTINE_RUN)
		body->until_ms =
		    clock_wall_us() / US_PER_MS + entry->remaining_ms;
	pending = g_new(struct pending_commit, 1);
	pending->host = host;
	pending->fingerprint = entry->fingerprint;
	callback.context = pending;
	if (command_client_submit(&host->commands, &command,
		QUARANTINE_TIMEOUT_MS, callback) != ERROR_NONE)
		end_commit(pending, false);
}

static void
on_quarantine_committed(void *context, const struct command_result *result)
{
	struct pending_commit *pending = context;

	if (result->error != ERROR_NONE)
		event_log_write(EVENT_QUARANTINE_NOT_COMMITTED,
		    "fingerprint=%016" G_GINT64_MODIFIER "x: %s",
		    (guint64)pending->fingerprint, error_name(result->error));
	end_commit(pending, result->error == ERROR_NONE);
}

/* Tells the quarantine, which commits again what was not committed. A committed
 * entry is applied like those of other hosts, by host_suspects_apply(). */
static void
end_commit(struct pending_commit *pending, bool is_committed)
{
	quarantine_record_commit(
	    &pending->host->quarantine, pending->fingerprint, is_committed);
	g_free(pending);
}

static void
commit_parts(void *context, uint64_t id, enum command_type type,
    const struct command_parts *parts)
{
	struct command command = {.type = type};
	struct command_callback callback = {on_parts_committed, NULL};
	struct pending_parts *pending;
	struct host *host = context;
	enum error_code error;

	command.body.parts = *parts;
	pending = g_new(struct pending_parts, 1);
	pending->host = host;
	pending->id = id;
	callback.context = pending;
	error = command_client_submit(
	    &host->commands, &command, QUARANTINE_TIMEOUT_MS, callback);
	if (error != ERROR_NONE)
		end_parts(pending, error);
}

static bool
may_commit_parts(void *context)
{
	return host_level_allows(context, COMMAND_PARTS_CRASHED);
}

static void
on_parts_committed(void *context, const struct command_result *result)
{
	if (result->error != ERROR_NONE)
		event_log_write(EVENT_QUARANTINE_NOT_COMMITTED,
		    "parts of prompts: %s", error_name(result->error));
	end_parts(context, result->error);
}

static void
end_parts(struct pending_parts *pending, enum error_code error)
{
	part_suspects_record_commit(
	    &pending->host->part_suspects, pending->id, error);
	g_free(pending);
}

static void
apply_quarantine(void *context, const struct quarantine_record *record)
{
	struct host *host = context;
	int64_t remaining_ms;

	remaining_ms = record->until_ms - clock_wall_us() / US_PER_MS;
	if (remaining_ms > 0)
		quarantine_sync_record(&host->quarantine, record, remaining_ms);
}

static void
apply_part(void *context, const struct part_record *record)
{
	struct host *host = context;

	part_suspects_sync_record(
	    &host->part_suspects, record, clock_wall_us() / US_PER_MS);
}

/* Some of the live hosts are the ones to try a part, each time others: one of a
 * few hosts, more of many, since a single one would hardly get a request with
 * that part. */
static bool
is_trial_host(void *context, uint64_t part)
{
	struct host *host = context;
	uint32_t hosts[HOSTS_MAX];
	uint32_t count, i;
	uint64_t turn;

	turn = (uint64_t)(clock_wall_us() / US_PER_MS / TRIAL_TURN_MS);
	count = membership_list_live(&host->membership, hosts, HOSTS_MAX - 1);
	hosts[count++] = host->settings.host_id;
	rendezvous_sort(part ^ turn, hosts, count);
	for (i = 0; i <= count / HOSTS_PER_TRIAL; i++) {
		if (hosts[i] == host->settings.host_id)
			return true;
	}
	return false;
}

/* Passes a crash and the requests collected for it to both quarantines. A crash
 * that a quarantined part explains weighs on no request. */
static void
evaluate_crash(void *context)
{
	struct pending_crash *pending = context;
	struct quarantine_crash crash = {0};
	struct host *host = pending->host;
	const struct request_key *keys;
	uint64_t *fingerprints;
	guint i;

	keys = (const struct request_key *)(void *)pending->keys->data;
	fingerprints = g_new(uint64_t, pending->keys->len);
	for (i = 0; i < pending->keys->len; i++)
		fingerprints[i] = keys[i].fingerprint;
	crash.upstream_id = pending->upstream_id;
	crash.incarnation = pending->incarnation;
	crash.data_centre = pending->data_centre;
	crash.fingerprints = fingerprints;
	crash.count = pending->keys->len;
	crash.other_hosts_requests = count_other_hosts_requests(host, pending);
	log_crash(host, &crash);
	if (part_suspects_record_crash(&host->part_suspects,
		pending->upstream_id ^ pending->incarnation, keys, crash.count))
		quarantine_record_crash(&host->quarantine, &crash);
	g_free(fingerprints);
	g_hash_table_remove(host->crashes, &pending->upstream_id);
}

static void
log_crash(struct host *host, const struct quarantine_crash *crash)
{
	const struct fleet_entry *entry;
	const struct fleet_view *view;

	view = fleet_lock(&host->fleet);
	entry = fleet_view_find(view, crash->upstream_id);
	event_log_write_fields(EVENT_UPSTREAM_CRASHED, "{s:s,s:s,s:i,s:i,s:i}",
	    "upstream", entry == NULL ? "" : entry->upstream->record.name,
	    "data_centre", crash->data_centre, "suspects", (int)crash->count,
	    "other_hosts_requests", (int)crash->other_hosts_requests,
	    "weight_permille", (int)quarantine_crash_weight(crash));
	fleet_unlock(view);
}

/* Returns how many requests of other hosts ran on the upstream, according to
 * its last load report. */
static uint32_t
count_other_hosts_requests(
    struct host *host, const struct pending_crash *pending)
{
	const struct fleet_entry *entry;
	const struct fleet_view *view;
	uint32_t requests, own;

	requests = 0;
	own = 0;
	view = fleet_lock(&host->fleet);
	entry = fleet_view_find(view, pending->upstream_id);
	if (entry != NULL) {
		requests = atomic_load(&entry->upstream->load.requests);
		own = atomic_load(&entry->upstream->load.own_requests);
	}
	fleet_unlock(view);
	return requests > own ? requests - own : 0;
}

static void
free_crash(gpointer memory)
{
	struct pending_crash *pending = memory;

	g_array_free(pending->keys, TRUE);
	g_free(pending);
}
