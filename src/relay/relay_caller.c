#include <stdlib.h>
#include <string.h>

#include "relay/relay_parts.h"

/* Largest amount of data that a caller may send before the current request is
 * answered. */
#define PIPELINED_BYTES_MAX 262144
/* Largest amount of answer data queued for a caller that does not read. */
#define QUEUED_BYTES_MAX ((size_t)4 * 1024 * 1024)
/* Largest amount queued for all callers together, from which those with more than
 * QUEUED_BYTES_SHARE each count as not reading. */
#define QUEUED_BYTES_TOTAL_MAX ((size_t)32 * 1024 * 1024)
#define QUEUED_BYTES_SHARE     ((size_t)256 * 1024)
/* How long a count of what is queued for all callers is used. */
#define QUEUED_COUNT_MS 10
/* Time for a caller to read the last answer before the connection closes. */
#define LINGER_MS 1000
/* Largest header field that another host adds to a forwarded request, with those
 * that it sets anew. */
#define FORWARD_FIELD_BYTES_MAX 2048u
#define STATUS_BAD		400
#define STATUS_TIMEOUT		408
#define STATUS_LARGE_BODY	413
#define STATUS_LARGE_HEAD	431

static const char continue_line[] = "HTTP/1.1 100 Continue\r\n\r\n";

static size_t count_queued(struct relay *relay);
static void on_received(void *context, const char *data, size_t size);
static void on_ended(void *context, bool is_clean);
static void on_closed(void *context);
static bool on_head(void *context, struct http_head *head);
static void on_body(void *context, const char *data, size_t size);
static void on_end(void *context);
static void feed_reader(
    struct relay_caller *caller, const char *data, size_t size);
static void read_pipelined(struct relay_caller *caller);
static void begin_answer(struct relay_caller *caller);
static void refuse(struct relay_caller *caller, uint32_t status);
static void end_connection(struct relay_caller *caller);
static void close_caller(struct relay_caller *caller);
static void set_timer(struct relay_caller *caller, int64_t delay_ms);
static void on_timeout(void *context);
static const struct route_limits *caller_limits(
    const struct relay_caller *caller);
static uint32_t head_bytes_max(const struct relay_caller *caller);
static bool has_single_host(const struct http_head *head);

/* Limits until a route table is known. Requests are refused without a table, so
 * these limits only have to let them be read. */
static const struct route_limits default_limits = {
    .head_bytes_max = 16384,
    .body_bytes_max = 4194304,
    .head_timeout_ms = 3000,
    .idle_timeout_ms = 15000,
};

void
relay_caller_accept(
    struct relay *relay, uv_stream_t *listener, enum caller_kind kind)
{
	struct http_reader_ops reader_ops = {
	    .on_head = on_head, .on_body = on_body, .on_end = on_end};
	struct tcp_link_ops link_ops = {
	    .on_received = on_received,
	    .on_ended = on_ended,
	    .on_closed = on_closed,
	};
	struct relay_caller *caller;

	caller = g_new0(struct relay_caller, 1);
	caller->relay = relay;
	caller->kind = kind;
	caller->body = g_byte_array_new();
	caller->pipelined = g_byte_array_new();
	reader_ops.context = caller;
	link_ops.context = caller;
	http_reader_init(&caller->reader, true, &reader_ops);
	caller->reader.head_bytes_max = head_bytes_max(caller);
	g_hash_table_add(relay->callers, caller);
	if (tcp_link_accept(&caller->link, listener, &link_ops) != ERROR_NONE) {
		caller->state = CALLER_CLOSED;
		return;
	}
	set_timer(caller, caller_limits(caller)->idle_timeout_ms);
	if (kind != CALLER_MONITOR &&
	    g_hash_table_size(relay->callers) > relay->settings.connections_max)
		close_caller(caller);
}

void
relay_caller_done(struct relay_caller *caller)
{
	caller->exchange = NULL;
	if (caller->state != CALLER_ANSWERING)
		return;
	if (caller->closes_after_answer) {
		end_connection(caller);
		return;
	}
	caller->state = CALLER_READING;
	g_byte_array_set_size(caller->body, 0);
	http_reader_next(&caller->reader);
	caller->reader.head_bytes_max = head_bytes_max(caller);
	set_timer(caller, caller_limits(caller)->idle_timeout_ms);
	read_pipelined(caller);
}

void
relay_caller_reset(struct relay_caller *caller)
{
	caller->exchange = NULL;
	if (caller->state == CALLER_CLOSED)
		return;
	caller->state = CALLER_CLOSED;
	timer_cancel(&caller->relay->timers, &caller->timer);
	tcp_link_reset(&caller->link);
}

void
relay_caller_end_unanswered(struct relay_caller *caller)
{
	if (caller->exchange != NULL)
		relay_exchange_end_at_stop(caller->exchange);
}

bool
relay_caller_is_overloaded(const struct relay_caller *caller)
{
	size_t queued = tcp_link_queued(&caller->link);

	return queued > QUEUED_BYTES_MAX ||
	       (queued > QUEUED_BYTES_SHARE &&
		   count_queued(caller->relay) > QUEUED_BYTES_TOTAL_MAX);
}

void
relay_caller_close_idle(struct relay_caller *caller)
{
	if (caller->state == CALLER_READING && !caller->reader.has_begun)
		end_connection(caller);
}

/* Returns the amount of answer data queued for all callers. */
static size_t
count_queued(struct relay *relay)
{
	struct relay_caller *caller;
	GHashTableIter iterator;
	int64_t now_ms = host_now_ms();
	size_t total = 0;
	gpointer key;

	if (now_ms - relay->queued_counted_ms < QUEUED_COUNT_MS)
		return (size_t)atomic_load(&relay->counters.queued_bytes);
	g_hash_table_iter_init(&iterator, relay->callers);
	while (g_hash_table_iter_next(&iterator, &key, NULL)) {
		caller = key;
		total += tcp_link_queued(&caller->link);
	}
	relay->queued_counted_ms = now_ms;
	atomic_store(&relay->counters.queued_bytes, total);
	return total;
}

static void
on_received(void *context, const char *data, size_t size)
{
	struct relay_caller *caller = context;

	switch (caller->state) {
	case CALLER_READING:
		feed_reader(caller, data, size);
		break;
	case CALLER_ANSWERING:
		if (caller->pipelined->len + size > PIPELINED_BYTES_MAX ||
		    relay_caller_is_overloaded(caller)) {
			close_caller(caller);
			break;
		}
		g_byte_array_append(
		    caller->pipelined, (const guint8 *)data, (guint)size);
		break;
	default:
		break;
	}
}

static void
on_ended(void *context, bool is_clean)
{
	(void)is_clean;
	close_caller(context);
}

static void
on_closed(void *context)
{
	struct relay_caller *caller = context;
	struct relay *relay = caller->relay;

	g_hash_table_remove(relay->callers, caller);
	http_reader_finish(&caller->reader);
	g_byte_array_unref(caller->body);
	g_byte_array_unref(caller->pipelined);
	g_free(caller);
	relay_on_caller_closed(relay);
}

static bool
on_head(void *context, struct http_head *head)
{
	struct relay_caller *caller = context;
	const struct route_limits *limits = caller_limits(caller);

	set_timer(caller, limits->idle_timeout_ms);
	if (!has_single_host(head) || head->target->str[0] != '/')
		caller->refusal_status = STATUS_BAD;
	else if (head->has_length &&
		 caller->reader.parser.content_length > limits->body_bytes_max)
		caller->refusal_status = STATUS_LARGE_BODY;
	else if (head->expects_continue)
		tcp_link_write(
		    &caller->link, continue_line, sizeof(continue_line) - 1);
	return false;
}

static void
on_body(void *context, const char *data, size_t size)
{
	struct relay_caller *caller = context;

	if (caller->refusal_status != 0)
		return;
	if (caller->body->len + size > caller_limits(caller)->body_bytes_max) {
		caller->refusal_status = STATUS_LARGE_BODY;
		return;
	}
	g_byte_array_append(caller->body, (const guint8 *)data, (guint)size);
}

/* Does nothing: feed_reader() checks has_ended after the reader has returned,
 * when the number of bytes used is known. */
static void
on_end(void *context)
{
	(void)context;
}

static void
feed_reader(struct relay_caller *caller, const char *data, size_t size)
{
	enum error_code error;
	size_t used;

	if (!caller->reader.has_begun && size > 0) {
		caller->first_byte_ms = host_now_ms();
		set_timer(caller, caller_limits(caller)->head_timeout_ms);
	}
	error = http_reader_feed(&caller->reader, data, size, &used);
	if (error == ERROR_TOO_LARGE && caller->refusal_status == 0)
		caller->refusal_status = STATUS_LARGE_HEAD;
	else if (error != ERROR_NONE && caller->refusal_status == 0)
		caller->refusal_status = STATUS_BAD;
	if (caller->refusal_status != 0) {
		refuse(caller, caller->refusal_status);
		return;
	}
	if (!caller->reader.has_ended)
		return;
	if (size > used)
		g_byte_array_append(caller->pipelined,
		    (const guint8 *)data + used, (guint)(size - used));
	begin_answer(caller);
}

/* Reads the requests that have come meanwhile. One that is answered at once gets
 * here again and leaves the next one to the first call, so that the stack doesn't
 * grow with their number. */
static void
read_pipelined(struct relay_caller *caller)
{
	GByteArray *bytes;

	if (caller->is_reading_pipelined)
		return;
	caller->is_reading_pipelined = true;
	while (caller->state == CALLER_READING && caller->pipelined->len > 0) {
		bytes = caller->pipelined;
		caller->pipelined = g_byte_array_new();
		feed_reader(caller, (const char *)bytes->data, bytes->len);
		g_byte_array_unref(bytes);
	}
	caller->is_reading_pipelined = false;
}

static void
begin_answer(struct relay_caller *caller)
{
	caller->state = CALLER_ANSWERING;
	timer_cancel(&caller->relay->timers, &caller->timer);
	caller->closes_after_answer = !caller->reader.head.keeps_connection ||
				      atomic_load(&caller->relay->is_draining);
	if (caller->kind == CALLER_MONITOR)
		relay_answer_monitor(caller);
	else
		relay_exchange_begin(caller);
}

/* Answers a malformed, too large or too slow request with an error and closes
 * the connection, because the start of the next request is unknown. */
static void
refuse(struct relay_caller *caller, uint32_t status)
{
	caller->state = CALLER_ANSWERING;
	caller->closes_after_answer = true;
	atomic_fetch_add(&caller->relay->counters.denied, 1);
	relay_answer_json(caller, status, "the request can't be read", 0);
	relay_caller_done(caller);
}

/* Ends the sending side and waits for the caller to close. Closing at once with
 * unread input would reset the connection, and the caller could lose the
 * answer. */
static void
end_connection(struct relay_caller *caller)
{
	caller->state = CALLER_LINGERING;
	tcp_link_end(&caller->link);
	set_timer(caller, LINGER_MS);
}

static void
close_caller(struct relay_caller *caller)
{
	struct relay_exchange *exchange = caller->exchange;

	if (caller->state == CALLER_CLOSED)
		return;
	caller->state = CALLER_CLOSED;
	timer_cancel(&caller->relay->timers, &caller->timer);
	caller->exchange = NULL;
	if (exchange != NULL)
		relay_exchange_cancel(exchange);
	tcp_link_close(&caller->link);
}

static void
set_timer(struct relay_caller *caller, int64_t delay_ms)
{
	timer_cancel(&caller->relay->timers, &caller->timer);
	/* If no timer is free, the connection has no timeout. */
	(void)timer_subscribe_once(&caller->relay->timers, delay_ms,
	    (struct timer_callback){on_timeout, caller}, &caller->timer);
}

static void
on_timeout(void *context)
{
	struct relay_caller *caller = context;

	if (caller->state == CALLER_READING && caller->reader.has_begun)
		refuse(caller, STATUS_TIMEOUT);
	else if (caller->state == CALLER_READING)
		end_connection(caller);
	else
		close_caller(caller);
}

static const struct route_limits *
caller_limits(const struct relay_caller *caller)
{
	return caller->relay->table == NULL ? &default_limits
					    : &caller->relay->table->limits;
}

/* Largest head of a request. Another host adds a field to the caller's head. */
static uint32_t
head_bytes_max(const struct relay_caller *caller)
{
	uint32_t limit = caller_limits(caller)->head_bytes_max;

	return caller->kind == CALLER_HOST ? limit + FORWARD_FIELD_BYTES_MAX
					   : limit;
}

static bool
has_single_host(const struct http_head *head)
{
	uint32_t count;
	guint i;

	count = 0;
	for (i = 0; i < head->fields->len; i++) {
		if (g_ascii_strcasecmp(http_head_name(head, i), "host") == 0)
			count++;
	}
	return count == 1;
}
