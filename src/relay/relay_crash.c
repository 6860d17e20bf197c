/*
 * Finds upstreams that crashed under requests, and asks the quarantine before a
 * request is sent. A broken connection alone does not show a crash: an upstream
 * or a link may reset single connections. So the upstream is probed, and only
 * if it accepts no connection any more its requests are reported as suspects. A
 * host that has lost its own path to the upstreams sees the same, so it waits
 * until it knows which of both it is.
 */
#include <jansson.h>

#include "base/event_log.h"
#include "host/host_calls.h"
#include "protocol/prefix_hash.h"
#include "relay/relay_parts.h"

/* A request crashes its upstream when it begins to run. So one whose answer has
 * been arriving for this long is not a suspect. */
#define BEGINNING_MS 500
/* Time after which a crash is reported unless the path is lost. If it is, the
 * connections to other upstreams fail within this time, too. */
#define PATH_DECISION_MS 100

/* An upstream that may have crashed. */
struct crash_check {
	struct relay *relay;
	uint64_t upstream_id;
	uint64_t incarnation;
	char data_centre[NAME_SIZE_MAX];
	GArray *keys;	     /* struct request_key of this host's suspects. */
	struct handle timer; /* Next look at the state of the path. */
};

static bool is_suspect(const struct relay_exchange *exchange);
static struct crash_check *find_or_add_check(
    const struct relay_exchange *exchange);
static void on_probed(
    struct relay *relay, uint64_t upstream_id, enum error_code error);
static void await_path_state(struct crash_check *check);
static void on_path_timeout(void *context);
static void end_check(struct crash_check *check);
static void report_crash(const struct crash_check *check);
static bool find_data_centre(
    const struct relay_exchange *exchange, char data_centre[NAME_SIZE_MAX]);
static const struct request_key *full_key(struct relay_exchange *exchange);
static void free_check(gpointer memory);

void
relay_crashes_init(struct relay *relay)
{
	relay->crash_checks = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_check);
}

void
relay_crashes_finish(struct relay *relay)
{
	g_hash_table_unref(relay->crash_checks);
}

void
relay_crash_suspect(struct relay_exchange *exchange)
{
	struct crash_check *check;

	if (!is_suspect(exchange))
		return;
	check = find_or_add_check(exchange);
	if (check != NULL)
		g_array_append_vals(check->keys, full_key(exchange), 1);
}

enum quarantine_action
relay_crash_verdict(struct relay_exchange *exchange, int64_t *remaining_ms)
{
	struct host *host = exchange->relay->host;
	enum quarantine_action action;

	if (quarantine_view_is_empty(&host->quarantine_view))
		return QUARANTINE_RUN;
	action = host_check_quarantine(host, full_key(exchange), remaining_ms);
	if (action != QUARANTINE_TRY)
		return action;
	if (exchange->attempts_sent > 0)
		return QUARANTINE_REFUSE;
	if (!exchange->is_trial)
		exchange->is_trial = host_take_trial(host);
	return exchange->is_trial ? QUARANTINE_RUN : QUARANTINE_REFUSE;
}

void
relay_crash_clear(struct relay_exchange *exchange)
{
	struct host *host = exchange->relay->host;

	if (quarantine_view_is_empty(&host->quarantine_view))
		host_report_survived(host, &exchange->key);
	else
		host_report_completed(host, full_key(exchange));
}

void
relay_crash_note_progress(struct relay_exchange *exchange)
{
	if (exchange->has_survived ||
	    host_now_ms() - exchange->progress_began_ms < BEGINNING_MS)
		return;
	exchange->has_survived = true;
	host_report_survived(exchange->relay->host, &exchange->key);
}

static bool
is_suspect(const struct relay_exchange *exchange)
{
	return exchange->is_sent &&
	       (!exchange->has_progress ||
		   host_now_ms() - exchange->progress_began_ms < BEGINNING_MS);
}

/* Returns the check of the exchange's upstream. A new one begins to probe it;
 * NULL if that is not possible. */
static struct crash_check *
find_or_add_check(const struct relay_exchange *exchange)
{
	struct relay *relay = exchange->relay;
	struct crash_check *check;

	check =
	    g_hash_table_lookup(relay->crash_checks, &exchange->upstream_id);
	if (check != NULL)
		return check;
	check = g_new0(struct crash_check, 1);
	check->relay = relay;
	check->upstream_id = exchange->upstream_id;
	check->incarnation = exchange->upstream_incarnation;
	check->keys = g_array_new(FALSE, FALSE, sizeof(struct request_key));
	if (!find_data_centre(exchange, check->data_centre) ||
	    !relay_probe_begin(relay, check->upstream_id,
		exchange->upstream_address, on_probed)) {
		free_check(check);
		return NULL;
	}
	g_hash_table_insert(relay->crash_checks, &check->upstream_id, check);
	return check;
}

static void
on_probed(struct relay *relay, uint64_t upstream_id, enum error_code error)
{
	struct crash_check *check;

	check = g_hash_table_lookup(relay->crash_checks, &upstream_id);
	if (error == ERROR_NONE) {
		end_check(check);
		return;
	}
	relay_path_on_unreached(relay, upstream_id);
	await_path_state(check);
}

static void
await_path_state(struct crash_check *check)
{
	/* Without a free timer it stays unknown whether the upstream crashed or
	 * the path was lost, so no request is reported. */
	if (timer_subscribe_once(&check->relay->timers, PATH_DECISION_MS,
		(struct timer_callback){on_path_timeout, check},
		&check->timer) != ERROR_NONE)
		end_check(check);
}

static void
on_path_timeout(void *context)
{
	struct crash_check *check = context;

	check->timer = (struct handle){0};
	switch (check->relay->path.state) {
	case UPSTREAM_PATH_SUSPECTED:
		await_path_state(check);
		return;
	case UPSTREAM_PATH_OPEN:
		report_crash(check);
		break;
	case UPSTREAM_PATH_LOST:
		break;
	}
	end_check(check);
}

static void
end_check(struct crash_check *check)
{
	g_hash_table_remove(check->relay->crash_checks, &check->upstream_id);
}

static void
report_crash(const struct crash_check *check)
{
	guint i;

	for (i = 0; i < check->keys->len; i++)
		host_report_crash(check->relay->host, check->upstream_id,
		    check->incarnation, check->data_centre,
		    &g_array_index(check->keys, struct request_key, i));
}

/* False if the upstream is not known any more. */
static bool
find_data_centre(
    const struct relay_exchange *exchange, char data_centre[NAME_SIZE_MAX])
{
	const struct fleet_entry *entry;
	const struct fleet_view *view;

	view = fleet_lock(&exchange->relay->host->fleet);
	entry = fleet_view_find(view, exchange->upstream_id);
	if (entry != NULL)
		g_strlcpy(data_centre, entry->upstream->record.data_centre,
		    NAME_SIZE_MAX);
	fleet_unlock(view);
	return entry != NULL;
}

/* Returns the key with its fingerprint, a hash of what makes two requests the
 * same: host, path, account and body. Attempts of one caller and requests sent
 * again have the same one. */
static const struct request_key *
full_key(struct relay_exchange *exchange)
{
	const struct http_head *head = &exchange->head;
	struct shared_text *body;
	const char *host;
	char *target;

	if (exchange->key.fingerprint != 0)
		return &exchange->key;
	host = http_head_get(head, "Host");
	target =
	    g_strconcat(host == NULL ? "" : host, " ", head->target->str, NULL);
	body = shared_text_copy(
	    (const char *)exchange->body->data, exchange->body->len);
	exchange->key.fingerprint = request_fingerprint(
	    exchange->account == NULL ? "" : exchange->account->name, target, 0,
	    body, exchange->relay->host->fingerprint_key);
	shared_text_unref(body);
	g_free(target);
	return &exchange->key;
}

static void
free_check(gpointer memory)
{
	struct crash_check *check = memory;

	timer_cancel(&check->relay->timers, &check->timer);
	g_array_unref(check->keys);
	g_free(check);
}
