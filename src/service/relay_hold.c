#include "service/relay_hold.h"

#include <inttypes.h>
#include <string.h>

#include "base/event_log.h"
#include "service/relay_parts.h"

#define STATUS_OK	 200
#define HOLD_MS		 3500 /* Runs out after that without renewal. */
#define RESERVE_MS	 500 /* All must be there by then; routes may change. */
#define RENEW_MS	 1000 /* Between renewals; two may be lost. */
#define RELEASE_TRIES	 3
#define RELEASE_PAUSE_MS 300 /* Between them. */

/* One reservation. It lives on, without its holds, until it is released. */
struct hold {
	struct relay *relay;
	struct relay_holds *holds; /* NULL once it is being released. */
	char id[RELAY_HOLD_ID_SIZE];
	char upstream[NAME_SIZE_MAX];
	uint64_t place;
	uint64_t tokens;
	struct upstream_call *call; /* Order under way, or NULL. */
	uint32_t status;	    /* Of its answer. */
	uint32_t tries;		    /* Of the release. */
	bool is_held;
	struct handle timer; /* Until a failure is told, or the next try. */
};

static struct hold *add_hold(struct relay_holds *holds, struct relay *relay,
    const struct placement_choice *choice, uint32_t index);
static void reserve(struct hold *hold);
static void release(struct hold *hold);
static void order(struct hold *hold, char *text);
static void note_sent(void *context);
static void note_head(void *context, struct http_head *head);
static void note_body(void *context, const char *data, size_t size);
static void note_done(void *context);
static void note_failed(void *context, enum error_code error);
static void note_result(struct hold *hold, enum error_code error);
static void log_missing(const struct hold *hold, enum error_code error);
static void note_missing(struct hold *hold, enum error_code error);
static void note_released(struct hold *hold, enum error_code error);
static bool are_all_held(const struct relay_holds *holds);
static void plan_renewal(struct relay_holds *holds, struct relay *relay);
static void run_renewal(void *context);
static void run_too_slow(void *context);
static void run_release(void *context);
static void run_no_connection(void *context);
static void free_hold(struct hold *hold);

void
relay_holds_begin(struct relay_holds *holds, struct relay *relay,
    const struct placement_choice *choice,
    void (*done)(void *context, enum error_code error), void *context)
{
	uint32_t i;

	holds->list = g_ptr_array_new();
	holds->done = done;
	holds->context = context;
	for (i = 0; i < choice->holder_count; i++)
		g_ptr_array_add(holds->list, add_hold(holds, relay, choice, i));
	/* Without a timer the attempt's own time limit ends it. */
	(void)timer_subscribe_once(&relay->timers, RESERVE_MS,
	    (struct timer_callback){run_too_slow, holds}, &holds->timer);
	for (i = 0; i < holds->list->len; i++)
		reserve(g_ptr_array_index(holds->list, i));
}

void
relay_holds_end(struct relay_holds *holds, struct relay *relay)
{
	GPtrArray *list = holds->list;
	struct hold *hold;
	guint i;

	if (list == NULL)
		return;
	holds->list = NULL;
	timer_cancel(&relay->timers, &holds->timer);
	for (i = 0; i < list->len; i++) {
		hold = g_ptr_array_index(list, i);
		hold->holds = NULL;
		if (hold->call != NULL)
			upstream_call_cancel(hold->call);
		hold->call = NULL;
		timer_cancel(&relay->timers, &hold->timer);
		/* A host that closes sends nothing more; it runs out. */
		if (atomic_load(&relay->is_stopping)) {
			g_free(hold);
			continue;
		}
		g_hash_table_add(relay->releases, hold);
		release(hold);
	}
	g_ptr_array_unref(list);
}

const char *
relay_holds_id(const struct relay_holds *holds, uint32_t index)
{
	const struct hold *hold;

	if (holds->list == NULL || index >= holds->list->len)
		return NULL;
	hold = g_ptr_array_index(holds->list, index);
	return hold->id;
}

void
relay_holds_forget(struct relay *relay)
{
	struct hold *hold;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, relay->releases);
	while (g_hash_table_iter_next(&iter, (gpointer *)&hold, NULL)) {
		if (hold->call != NULL)
			upstream_call_cancel(hold->call);
		timer_cancel(&relay->timers, &hold->timer);
		g_free(hold);
		g_hash_table_iter_remove(&iter);
	}
}

static struct hold *
add_hold(struct relay_holds *holds, struct relay *relay,
    const struct placement_choice *choice, uint32_t index)
{
	const struct placement_upstream *upstream;
	struct hold *hold;

	hold = g_new0(struct hold, 1);
	hold->relay = relay;
	hold->holds = holds;
	hold->place = choice->helper_places[index];
	hold->tokens = choice->held_tokens[index];
	g_snprintf(hold->id, sizeof(hold->id), "%016" PRIx64,
	    random_word(&relay->random));
	upstream = g_hash_table_lookup(
	    relay->placement.upstreams, &choice->helpers[index]);
	if (upstream != NULL)
		g_strlcpy(
		    hold->upstream, upstream->name, sizeof(hold->upstream));
	return hold;
}

static void
reserve(struct hold *hold)
{
	order(hold, hold->relay->settings.dialect.reserve_text(
			hold->id, hold->tokens, HOLD_MS));
}

static void
release(struct hold *hold)
{
	hold->tries++;
	order(hold, hold->relay->settings.dialect.release_text(hold->id));
}

/* Takes the text. */
static void
order(struct hold *hold, char *text)
{
	struct upstream_call_ops ops = {
	    .sent = note_sent,
	    .head = note_head,
	    .body = note_body,
	    .done = note_done,
	    .failed = note_failed,
	    .context = hold,
	};
	const struct relay_dialect *dialect = &hold->relay->settings.dialect;
	GBytes *bytes;
	char *request;

	request = g_strdup_printf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n"
				  "Content-Type: application/json\r\n"
				  "Content-Length: %zu\r\n\r\n%s",
	    dialect->order_path, hold->upstream, dialect->target,
	    hold->upstream, strlen(text), text);
	g_free(text);
	bytes = g_bytes_new_take(request, strlen(request));
	hold->status = 0;
	hold->call = upstream_pool_call(
	    &hold->relay->pool, hold->place, bytes, false, INT64_MAX, &ops);
	g_bytes_unref(bytes);
	/* Told later, so that whoever orders need not expect an end. Without a
	 * timer it stays open until the attempt's own time limit. */
	if (hold->call == NULL)
		(void)timer_subscribe_once(&hold->relay->timers, 1,
		    (struct timer_callback){run_no_connection, hold},
		    &hold->timer);
}

static void
run_no_connection(void *context)
{
	note_result(context, ERROR_CONNECTION);
}

static void
note_sent(void *context)
{
	(void)context;
}

static void
note_head(void *context, struct http_head *head)
{
	struct hold *hold = context;

	hold->status = head->status;
}

static void
note_body(void *context, const char *data, size_t size)
{
	(void)context;
	(void)data;
	(void)size;
}

static void
note_done(void *context)
{
	struct hold *hold = context;

	note_result(
	    hold, hold->status == STATUS_OK ? ERROR_NONE : ERROR_NO_CAPACITY);
}

static void
note_failed(void *context, enum error_code error)
{
	note_result(context, error);
}

static void
note_result(struct hold *hold, enum error_code error)
{
	struct relay_holds *holds = hold->holds;

	hold->call = NULL;
	if (holds == NULL) {
		note_released(hold, error);
		return;
	}
	if (hold->is_held) {
		/* The next renewal may get through. */
		if (error != ERROR_NONE)
			log_missing(hold, error);
		return;
	}
	hold->is_held = error == ERROR_NONE;
	if (!hold->is_held) {
		note_missing(hold, error);
		holds->done(holds->context, error);
		return;
	}
	if (!are_all_held(holds))
		return;
	timer_cancel(&hold->relay->timers, &holds->timer);
	plan_renewal(holds, hold->relay);
	holds->done(holds->context, ERROR_NONE);
}

/* One without room is well; one that doesn't answer is left alone. */
static void
note_missing(struct hold *hold, enum error_code error)
{
	struct relay *relay = hold->relay;

	log_missing(hold, error);
	if (error == ERROR_NO_CAPACITY)
		return;
	placement_note_fault(&relay->placement, hold->place, host_now_ms());
	relay_note_work(relay);
}

static void
log_missing(const struct hold *hold, enum error_code error)
{
	event_log_fields(EVENT_MEMORY_NOT_RESERVED, "{s:s,s:s,s:I,s:b}",
	    "upstream", hold->upstream, "why", error_name(error), "status",
	    (json_int_t)hold->status, "was_held", hold->is_held);
}

/* One that can't be released runs out by itself. */
static void
note_released(struct hold *hold, enum error_code error)
{
	if (error != ERROR_NONE && hold->status == 0 &&
	    hold->tries < RELEASE_TRIES &&
	    timer_subscribe_once(&hold->relay->timers, RELEASE_PAUSE_MS,
		(struct timer_callback){run_release, hold},
		&hold->timer) == ERROR_NONE)
		return;
	free_hold(hold);
}

static bool
are_all_held(const struct relay_holds *holds)
{
	const struct hold *hold;
	guint i;

	for (i = 0; i < holds->list->len; i++) {
		hold = g_ptr_array_index(holds->list, i);
		if (!hold->is_held)
			return false;
	}
	return true;
}

static void
plan_renewal(struct relay_holds *holds, struct relay *relay)
{
	/* Without a timer the memory runs out, and the attempt ends. */
	(void)timer_subscribe_once(&relay->timers, RENEW_MS,
	    (struct timer_callback){run_renewal, holds}, &holds->timer);
}

static void
run_renewal(void *context)
{
	struct relay_holds *holds = context;
	struct hold *hold;
	guint i;

	memset(&holds->timer, 0, sizeof(holds->timer));
	for (i = 0; i < holds->list->len; i++) {
		hold = g_ptr_array_index(holds->list, i);
		if (hold->call == NULL)
			reserve(hold);
	}
	hold = g_ptr_array_index(holds->list, 0);
	plan_renewal(holds, hold->relay);
}

static void
run_too_slow(void *context)
{
	struct relay_holds *holds = context;
	struct hold *hold;
	guint i;

	memset(&holds->timer, 0, sizeof(holds->timer));
	for (i = 0; i < holds->list->len; i++) {
		hold = g_ptr_array_index(holds->list, i);
		if (!hold->is_held)
			note_missing(hold, ERROR_TIMEOUT);
	}
	holds->done(holds->context, ERROR_TIMEOUT);
}

static void
run_release(void *context)
{
	release(context);
}

static void
free_hold(struct hold *hold)
{
	g_hash_table_remove(hold->relay->releases, hold);
	g_free(hold);
}
