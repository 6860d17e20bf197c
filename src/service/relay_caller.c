#include <stdlib.h>
#include <string.h>

#include "service/relay_parts.h"

#define AHEAD_BYTES_MAX 262144 /* Requests sent before their turn. */
#define QUEUED_BYTES_MAX                                                       \
	((size_t)8 * 1024 * 1024) /* A caller that never reads. */
#define LINGER_MS	  1000	  /* A caller's time to read our last words. */
#define STATUS_BAD	  400
#define STATUS_TIMEOUT	  408
#define STATUS_LARGE_BODY 413
#define STATUS_LARGE_HEAD 431

static const char continue_line[] = "HTTP/1.1 100 Continue\r\n\r\n";

static void note_received(void *context, const char *data, size_t size);
static void note_ended(void *context, bool is_clean);
static void note_closed(void *context);
static bool note_head(void *context, struct http_head *head);
static void note_body(void *context, const char *data, size_t size);
static void note_end(void *context);
static void feed(struct relay_caller *caller, const char *data, size_t size);
static void begin_answer(struct relay_caller *caller);
static void refuse(struct relay_caller *caller, uint32_t status);
static void end_connection(struct relay_caller *caller);
static void close_caller(struct relay_caller *caller);
static void set_timer(struct relay_caller *caller, int64_t delay_ms);
static void run_timer(void *context);
static const struct route_limits *limits_of(const struct relay_caller *caller);
static bool has_one_host(const struct http_head *head);

/* Until a table is known; a request is then refused anyway. */
static const struct route_limits default_limits = {
    .head_bytes_max = 16384,
    .body_bytes_max = 4194304,
    .head_timeout_ms = 3000,
    .idle_timeout_ms = 15000,
};

void
relay_caller_accept(struct relay *relay, uv_stream_t *listener, bool is_monitor)
{
	struct http_reader_ops reader_ops = {
	    .head = note_head, .body = note_body, .end = note_end};
	struct tcp_link_ops link_ops = {
	    .received = note_received,
	    .ended = note_ended,
	    .closed = note_closed,
	};
	struct relay_caller *caller;

	caller = g_new0(struct relay_caller, 1);
	caller->relay = relay;
	caller->is_monitor = is_monitor;
	caller->body = g_byte_array_new();
	caller->ahead = g_byte_array_new();
	reader_ops.context = caller;
	link_ops.context = caller;
	http_reader_init(&caller->reader, true, &reader_ops);
	caller->reader.head_bytes_max = limits_of(caller)->head_bytes_max;
	g_hash_table_add(relay->callers, caller);
	if (tcp_link_accept(&caller->link, listener, &link_ops) != ERROR_NONE) {
		caller->state = CALLER_CLOSED;
		return;
	}
	set_timer(caller, limits_of(caller)->idle_timeout_ms);
	if (!is_monitor &&
	    g_hash_table_size(relay->callers) > relay->settings.connections_max)
		close_caller(caller);
}

void
relay_caller_done(struct relay_caller *caller)
{
	GByteArray *ahead;

	caller->exchange = NULL;
	if (caller->state != CALLER_ANSWERING)
		return;
	if (caller->closes) {
		end_connection(caller);
		return;
	}
	caller->state = CALLER_READING;
	g_byte_array_set_size(caller->body, 0);
	http_reader_next(&caller->reader);
	caller->reader.head_bytes_max = limits_of(caller)->head_bytes_max;
	set_timer(caller, limits_of(caller)->idle_timeout_ms);
	if (caller->ahead->len == 0)
		return;
	ahead = caller->ahead;
	caller->ahead = g_byte_array_new();
	feed(caller, (const char *)ahead->data, ahead->len);
	g_byte_array_unref(ahead);
}

void
relay_caller_break(struct relay_caller *caller)
{
	caller->exchange = NULL;
	if (caller->state == CALLER_CLOSED)
		return;
	caller->state = CALLER_CLOSED;
	timer_cancel(&caller->relay->timers, &caller->timer);
	tcp_link_reset(&caller->link);
}

void
relay_caller_close_idle(struct relay_caller *caller)
{
	if (caller->state == CALLER_READING && !caller->reader.has_begun)
		end_connection(caller);
}

static void
note_received(void *context, const char *data, size_t size)
{
	struct relay_caller *caller = context;

	switch (caller->state) {
	case CALLER_READING:
		feed(caller, data, size);
		break;
	case CALLER_ANSWERING:
		if (caller->ahead->len + size > AHEAD_BYTES_MAX ||
		    tcp_link_queued(&caller->link) > QUEUED_BYTES_MAX) {
			close_caller(caller);
			break;
		}
		g_byte_array_append(
		    caller->ahead, (const guint8 *)data, (guint)size);
		break;
	default:
		break;
	}
}

static void
note_ended(void *context, bool is_clean)
{
	(void)is_clean;
	close_caller(context);
}

static void
note_closed(void *context)
{
	struct relay_caller *caller = context;
	struct relay *relay = caller->relay;

	g_hash_table_remove(relay->callers, caller);
	http_reader_finish(&caller->reader);
	g_byte_array_unref(caller->body);
	g_byte_array_unref(caller->ahead);
	g_free(caller);
	relay_note_closed(relay);
}

static bool
note_head(void *context, struct http_head *head)
{
	struct relay_caller *caller = context;
	const struct route_limits *limits = limits_of(caller);

	set_timer(caller, limits->idle_timeout_ms);
	if (!has_one_host(head) || head->target->str[0] != '/')
		caller->refusal = STATUS_BAD;
	else if (head->has_length &&
		 caller->reader.parser.content_length > limits->body_bytes_max)
		caller->refusal = STATUS_LARGE_BODY;
	else if (head->expects_continue)
		tcp_link_write(
		    &caller->link, continue_line, sizeof(continue_line) - 1);
	return false;
}

static void
note_body(void *context, const char *data, size_t size)
{
	struct relay_caller *caller = context;

	if (caller->refusal != 0)
		return;
	if (caller->body->len + size > limits_of(caller)->body_bytes_max) {
		caller->refusal = STATUS_LARGE_BODY;
		return;
	}
	g_byte_array_append(caller->body, (const guint8 *)data, (guint)size);
}

/* The flag of the reader tells it, after the rest of the input is known. */
static void
note_end(void *context)
{
	(void)context;
}

static void
feed(struct relay_caller *caller, const char *data, size_t size)
{
	enum error_code error;
	size_t used;

	if (!caller->reader.has_begun && size > 0) {
		caller->begun_ms = host_now_ms();
		set_timer(caller, limits_of(caller)->head_timeout_ms);
	}
	error = http_reader_feed(&caller->reader, data, size, &used);
	if (error == ERROR_TOO_LARGE && caller->refusal == 0)
		caller->refusal = STATUS_LARGE_HEAD;
	else if (error != ERROR_NONE && caller->refusal == 0)
		caller->refusal = STATUS_BAD;
	if (caller->refusal != 0) {
		refuse(caller, caller->refusal);
		return;
	}
	if (!caller->reader.has_ended)
		return;
	if (size > used)
		g_byte_array_append(caller->ahead, (const guint8 *)data + used,
		    (guint)(size - used));
	begin_answer(caller);
}

static void
begin_answer(struct relay_caller *caller)
{
	caller->state = CALLER_ANSWERING;
	timer_cancel(&caller->relay->timers, &caller->timer);
	caller->closes = !caller->reader.head.keeps_connection ||
			 atomic_load(&caller->relay->is_draining);
	if (caller->is_monitor)
		relay_monitor_answer(caller);
	else
		relay_exchange_begin(caller);
}

/* What follows a bad request can't be told apart from it. */
static void
refuse(struct relay_caller *caller, uint32_t status)
{
	caller->state = CALLER_ANSWERING;
	caller->closes = true;
	atomic_fetch_add(&caller->relay->counters.denied, 1);
	relay_answer_own(caller, status, "the request can't be read", 0);
	relay_caller_done(caller);
}

/* Closing with unread bytes would reset the connection under our answer. */
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
	/* Without a timer the connection lasts as long as its caller wants. */
	(void)timer_subscribe_once(&caller->relay->timers, delay_ms,
	    (struct timer_callback){run_timer, caller}, &caller->timer);
}

static void
run_timer(void *context)
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
limits_of(const struct relay_caller *caller)
{
	return caller->relay->table == NULL ? &default_limits
					    : &caller->relay->table->limits;
}

static bool
has_one_host(const struct http_head *head)
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
