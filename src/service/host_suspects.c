#include "service/host.h"

#include <stdio.h>

#include "base/monotonic_clock.h"

#define CRASH_GATHER_MS	      200  /* Until all its requests were heard of. */
#define QUARANTINE_TIMEOUT_MS 5000 /* Longest wait for its commit. */
#define US_PER_MS	      1000

/* An upstream that broke off, and what this host had on board. */
struct gathered_crash {
	struct host *host;
	uint64_t upstream_id;
	uint64_t incarnation;
	char data_centre[NAME_SIZE_MAX];
	GArray *fingerprints;
};

static void commit_quarantine(
    void *context, const struct quarantine_entry *entries, uint32_t count);
static void note_quarantine_committed(
    void *context, const struct command_result *result);
static void apply_quarantine(
    void *context, const struct quarantine_record *record);
static void weigh_crash(void *context);
static uint32_t count_beside(
    struct host *host, const struct gathered_crash *gathered);
static void free_crash(gpointer memory);

enum error_code
host_suspects_init(struct host *host)
{
	struct quarantine_settings settings;
	struct quarantine_ops ops = {
	    .commit = commit_quarantine, .context = host};

	host->crashes = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_crash);
	settings = quarantine_default_settings();
	return quarantine_init(
	    &host->quarantine, &settings, &ops, &host->timers);
}

void
host_suspects_finish(struct host *host)
{
	quarantine_finish(&host->quarantine);
	g_hash_table_destroy(host->crashes);
}

void
host_suspects_apply(struct host *host)
{
	replicated_state_each_quarantine(
	    host_state(host), apply_quarantine, host);
}

void
host_suspects_note_crash(struct host *host, uint64_t upstream_id,
    uint64_t incarnation, const char *data_centre, uint64_t fingerprint)
{
	struct gathered_crash *gathered;

	gathered = g_hash_table_lookup(host->crashes, &upstream_id);
	if (gathered == NULL) {
		gathered = g_new0(struct gathered_crash, 1);
		gathered->host = host;
		gathered->upstream_id = upstream_id;
		gathered->incarnation = incarnation;
		snprintf(gathered->data_centre, sizeof(gathered->data_centre),
		    "%s", data_centre);
		gathered->fingerprints =
		    g_array_new(FALSE, FALSE, sizeof(uint64_t));
		g_hash_table_insert(
		    host->crashes, &gathered->upstream_id, gathered);
		timer_subscribe_once(&host->timers, CRASH_GATHER_MS,
		    (struct timer_callback){weigh_crash, gathered}, NULL);
	}
	g_array_append_val(gathered->fingerprints, fingerprint);
}

static void
commit_quarantine(
    void *context, const struct quarantine_entry *entries, uint32_t count)
{
	struct command command = {.type = COMMAND_QUARANTINE};
	struct command_quarantine *body = &command.body.quarantine;
	struct host *host = context;
	uint32_t i;

	for (i = 0; i < count; i++) {
		body->fingerprint = entries[i].fingerprint;
		body->must_run_alone =
		    entries[i].verdict == QUARANTINE_RUN_ALONE;
		body->crashes = entries[i].crashes;
		body->weight_permille = entries[i].weight_permille;
		body->until_ms =
		    entries[i].verdict == QUARANTINE_RUN
			? 0
			: clock_wall_us() / US_PER_MS + entries[i].remaining_ms;
		command_client_submit(&host->commands, &command,
		    QUARANTINE_TIMEOUT_MS,
		    (struct command_callback){note_quarantine_committed, host});
	}
}

static void
note_quarantine_committed(void *context, const struct command_result *result)
{
	(void)context;
	(void)result;
}

static void
apply_quarantine(void *context, const struct quarantine_record *record)
{
	struct quarantine_entry entry = {
	    .fingerprint = record->fingerprint,
	    .crashes = record->crashes,
	    .weight_permille = record->weight_permille,
	};
	struct host *host = context;

	entry.verdict =
	    record->must_run_alone ? QUARANTINE_RUN_ALONE : QUARANTINE_REFUSE;
	entry.remaining_ms = record->until_ms - clock_wall_us() / US_PER_MS;
	if (entry.remaining_ms <= 0)
		return;
	quarantine_apply(&host->quarantine, &entry);
	atomic_fetch_add(&host->suspects, 1);
}

static void
weigh_crash(void *context)
{
	struct gathered_crash *gathered = context;
	struct quarantine_crash crash = {0};
	struct host *host = gathered->host;

	crash.upstream_id = gathered->upstream_id;
	crash.incarnation = gathered->incarnation;
	crash.data_centre = gathered->data_centre;
	crash.fingerprints = (const uint64_t *)gathered->fingerprints->data;
	crash.count = gathered->fingerprints->len;
	crash.other_hosts_requests = count_beside(host, gathered);
	quarantine_record_crash(&host->quarantine, &crash);
	g_hash_table_remove(host->crashes, &gathered->upstream_id);
}

/* Other hosts' requests, by the last load report. */
static uint32_t
count_beside(struct host *host, const struct gathered_crash *gathered)
{
	const struct fleet_entry *entry;
	const struct fleet_view *view;
	uint32_t requests, own;

	requests = 0;
	own = 0;
	view = fleet_lock(&host->fleet);
	entry = fleet_view_find(view, gathered->upstream_id);
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
	struct gathered_crash *gathered = memory;

	g_array_free(gathered->fingerprints, TRUE);
	g_free(gathered);
}
