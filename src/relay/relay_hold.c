#include "relay/relay_hold.h"

#include <inttypes.h>
#include <string.h>

#include "base/event_log.h"
#include "relay/relay_parts.h"

#define STATUS_OK 200
/* Time after which a reservation expires without renewal. */
#define RESERVATION_EXPIRY_MS 3500
/* Largest answer to an order. */
#define ORDER_ANSWER_BYTES_MAX 65536
/* Time limit for making all reservations. It is short because the route table
 * may change meanwhile. */
#define RESERVE_TIMEOUT_MS 500
/* Period of renewals. Two renewals in a row may be lost before a reservation
 * expires. */
#define RENEWAL_PERIOD_MS 1000
/* Largest number of attempts to release a reservation. */
#define RELEASE_ATTEMPTS_MAX 3
/* Delay between attempts to release a reservation. */
#define RELEASE_RETRY_DELAY_MS 300

/* One reservation at one helper. It outlives its relay_holds until it is
 * released. */
struct hold {
	struct relay *relay;
	struct relay_holds *holds; /* NULL once the release has begun. */
	char id[RELAY_HOLD_ID_SIZE];
	char upstream[NAME_SIZE_MAX];
	uint64_t upstream_address;
	uint64_t tokens; /* Prompt tokens whose memory is reserved. */
	/* Call of the current order, or NULL. */
	struct pool_call *call;
	uint32_t status; /* HTTP status of the last order, 0 if unanswered. */
	uint32_t release_attempts; /* Number of release orders sent. */
	bool is_held;		   /* True once the helper has confirmed it. */
	struct handle timer; /* Deferred connection failure or next release. */
};

static struct hold *add_hold(struct relay_holds *holds, struct relay *relay,
    const struct placement_choice *choice, uint32_t index);
static void release(struct hold *hold);
static void order(struct hold *hold);
static GBytes *make_order(void *context);
static void on_sent(void *context);
static enum pool_answer on_head(void *context, struct http_head *head);
static void on_body(void *context, const char *data, size_t size);
static void on_done(void *context);
static void on_failed(void *context, enum error_code error);
static void on_result(struct hold *hold, enum error_code error);
static void log_reserve_failure(const struct hold *hold, enum error_code error);
static void record_reserve_failure(struct hold *hold, enum error_code error);
static void on_release_result(struct hold *hold, enum error_code error);
static bool are_all_held(const struct relay_holds *holds);
static void schedule_renewal(struct relay_holds *holds, struct relay *relay);
static void run_renewal(void *context);
static void on_reserve_timeout(void *context);
static void on_release_timeout(void *context);
static void on_no_connection_timeout(void *context);
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
	for (i = 0; i < choice->reservation_count; i++)
		g_ptr_array_add(holds->list, add_hold(holds, relay, choice, i));
	/* If no timer is free, the request's own deadline ends the attempt. */
	(void)timer_subscribe_once(&relay->timers, RESERVE_TIMEOUT_MS,
	    (struct timer_callback){on_reserve_timeout, holds}, &holds->timer);
	for (i = 0; i < holds->list->len; i++)
		order(g_ptr_array_index(holds->list, i));
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
			pool_call_cancel(hold->call);
		hold->call = NULL;
		timer_cancel(&relay->timers, &hold->timer);
		/* A stopping relay sends no orders; the reservation expires. */
		if (atomic_load(&relay->is_stopping)) {
			g_free(hold);
			continue;
		}
		g_hash_table_add(relay->pending_releases, hold);
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
relay_holds_cancel_releases(struct relay *relay)
{
	struct hold *hold;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, relay->pending_releases);
	while (g_hash_table_iter_next(&iter, (gpointer *)&hold, NULL)) {
		if (hold->call != NULL)
			pool_call_cancel(hold->call);
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
	hold->upstream_address = choice->helper_addresses[index];
	hold->tokens = choice->reserved_tokens[index];
	g_snprintf(hold->id, sizeof(hold->id), "%016" PRIx64,
	    random_uint64(&relay->random));
	upstream = g_hash_table_lookup(
	    relay->placement.upstreams, &choice->helpers[index]);
	if (upstream != NULL)
		g_strlcpy(
		    hold->upstream, upstream->name, sizeof(hold->upstream));
	return hold;
}

static void
release(struct hold *hold)
{
	hold->release_attempts++;
	order(hold);
}

/* Orders the reservation from the helper, or its release once that has begun. */
static void
order(struct hold *hold)
{
	struct pool_call_ops ops = {
	    .make_request = make_order,
	    .on_sent = on_sent,
	    .on_head = on_head,
	    .on_body = on_body,
	    .on_done = on_done,
	    .on_failed = on_failed,
	    .context = hold,
	    .body_bytes_max = ORDER_ANSWER_BYTES_MAX,
	};
	struct pool_request request = {0};

	hold->status = 0;
	hold->call = upstream_pool_call(
	    &hold->relay->pool, hold->upstream_address, &request, &ops);
	/* Report a failed connection later, so that done() is never called
	 * while its caller is still sending orders. If no timer is free, the
	 * order stays unanswered until the request's own deadline. */
	if (hold->call == NULL)
		(void)timer_subscribe_once(&hold->relay->timers, 1,
		    (struct timer_callback){on_no_connection_timeout, hold},
		    &hold->timer);
}

static GBytes *
make_order(void *context)
{
	const struct hold *hold = context;
	const struct relay_dialect *dialect = &hold->relay->settings.dialect;
	char *text, *bytes;

	if (hold->holds == NULL)
		text = dialect->release_order(hold->id);
	else
		text = dialect->reserve_order(
		    hold->id, hold->tokens, RESERVATION_EXPIRY_MS);
	bytes = g_strdup_printf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n"
				"Content-Type: application/json\r\n"
				"Content-Length: %zu\r\n\r\n%s",
	    dialect->order_path, hold->upstream, dialect->target,
	    hold->upstream, strlen(text), text);
	g_free(text);
	return g_bytes_new_take(bytes, strlen(bytes));
}

static void
on_no_connection_timeout(void *context)
{
	on_result(context, ERROR_CONNECTION);
}

static void
on_sent(void *context)
{
	(void)context;
}

static enum pool_answer
on_head(void *context, struct http_head *head)
{
	struct hold *hold = context;

	hold->status = head->status;
	return POOL_ANSWER_TAKE;
}

static void
on_body(void *context, const char *data, size_t size)
{
	(void)context;
	(void)data;
	(void)size;
}

static void
on_done(void *context)
{
	struct hold *hold = context;

	on_result(
	    hold, hold->status == STATUS_OK ? ERROR_NONE : ERROR_NO_CAPACITY);
}

static void
on_failed(void *context, enum error_code error)
{
	on_result(context, error);
}

static void
on_result(struct hold *hold, enum error_code error)
{
	struct relay_holds *holds = hold->holds;

	hold->call = NULL;
	if (holds == NULL) {
		on_release_result(hold, error);
		return;
	}
	if (hold->is_held) {
		/* A renewal failed; the next one may succeed. */
		if (error != ERROR_NONE)
			log_reserve_failure(hold, error);
		return;
	}
	hold->is_held = error == ERROR_NONE;
	if (!hold->is_held) {
		record_reserve_failure(hold, error);
		holds->done(holds->context, error);
		return;
	}
	if (!are_all_held(holds))
		return;
	timer_cancel(&hold->relay->timers, &holds->timer);
	schedule_renewal(holds, hold->relay);
	holds->done(holds->context, ERROR_NONE);
}

/* Logs a failed reservation. A helper without free memory is healthy; any other
 * failure is recorded in placement, which avoids the helper for a while. */
static void
record_reserve_failure(struct hold *hold, enum error_code error)
{
	struct relay *relay = hold->relay;

	log_reserve_failure(hold, error);
	if (error == ERROR_NO_CAPACITY)
		return;
	placement_eject_address(
	    &relay->placement, hold->upstream_address, host_now_ms());
	relay_schedule_report(relay);
}

static void
log_reserve_failure(const struct hold *hold, enum error_code error)
{
	event_log_write_fields(EVENT_RESERVATION_FAILED, "{s:s,s:s,s:I,s:b}",
	    "upstream", hold->upstream, "why", error_name(error), "status",
	    (json_int_t)hold->status, "was_held", hold->is_held);
}

/* Frees the reservation, or schedules another release order if the helper did
 * not answer. A reservation that can't be released expires at the helper. */
static void
on_release_result(struct hold *hold, enum error_code error)
{
	if (error != ERROR_NONE && hold->status == 0 &&
	    hold->release_attempts < RELEASE_ATTEMPTS_MAX &&
	    timer_subscribe_once(&hold->relay->timers, RELEASE_RETRY_DELAY_MS,
		(struct timer_callback){on_release_timeout, hold},
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
schedule_renewal(struct relay_holds *holds, struct relay *relay)
{
	/* If no timer is free, the reservations expire and the attempt
	 * fails. */
	(void)timer_subscribe_once(&relay->timers, RENEWAL_PERIOD_MS,
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
			order(hold);
	}
	hold = g_ptr_array_index(holds->list, 0);
	schedule_renewal(holds, hold->relay);
}

static void
on_reserve_timeout(void *context)
{
	struct relay_holds *holds = context;
	struct hold *hold;
	guint i;

	memset(&holds->timer, 0, sizeof(holds->timer));
	for (i = 0; i < holds->list->len; i++) {
		hold = g_ptr_array_index(holds->list, i);
		if (!hold->is_held)
			record_reserve_failure(hold, ERROR_TIMEOUT);
	}
	holds->done(holds->context, ERROR_TIMEOUT);
}

static void
on_release_timeout(void *context)
{
	release(context);
}

static void
free_hold(struct hold *hold)
{
	g_hash_table_remove(hold->relay->pending_releases, hold);
	g_free(hold);
}
