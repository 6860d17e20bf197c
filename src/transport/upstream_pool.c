#include "transport/upstream_pool.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "transport/tcp_link.h"

#define CONNECT_TIMEOUT_MS 400	/* A handshake takes a few; else it is dark. */
#define IDLE_DEFAULT_MS	   2500 /* Kept without a word of the upstream's. */
#define IDLE_LONGEST_MS	   8000 /* Kept at most. */
#define IDLE_MARGIN_MS	   600	/* Before the upstream itself closes. */
#define IDLE_PER_PLACE	   24u	/* More are closed. */
#define PORT_BITS	   16
#define MS_PER_S	   1000
#define STATUS_CONTINUE	   100
#define STATUS_OK	   200

/* Where a connection stands. */
enum call_state {
	CALL_CONNECTING,
	CALL_BUSY,
	CALL_IDLE,
	CALL_CLOSED,
};

struct upstream_call {
	struct upstream_pool *pool;
	struct tcp_link link;
	struct http_reader reader;
	struct upstream_call_ops ops;
	enum call_state state;
	uint64_t place;
	GBytes *request;
	void (*probed)(void *context, enum error_code error);
	void *probe_context;
	bool is_head_method;
	bool is_interim;  /* Reads a 1xx answer. */
	bool may_be_kept; /* So far nothing speaks against it. */
	int64_t keep_ms;  /* How long it may stay idle. */
	int64_t idle_since_ms;
	struct handle timer; /* Connecting or idle. */
};

static struct sockaddr_in address_of(uint64_t place);
static struct upstream_call *take_idle(
    struct upstream_pool *pool, uint64_t place, int64_t idle_max_ms);
static struct upstream_call *open_call(
    struct upstream_pool *pool, uint64_t place);
static void send_request(struct upstream_call *call);
static void close_call(struct upstream_call *call);
static void fail(struct upstream_call *call, enum error_code error);
static void keep(struct upstream_call *call);
static void end_probe(struct upstream_call *call, enum error_code error);
static void run_connect_timeout(void *context);
static void run_idle_timeout(void *context);
static void note_opened(void *context, enum error_code error);
static void note_received(void *context, const char *data, size_t size);
static void note_ended(void *context, bool is_clean);
static void note_closed(void *context);
static bool note_head(void *context, struct http_head *head);
static void note_body(void *context, const char *data, size_t size);
static void note_end(void *context);
static int64_t read_keep_alive(const struct http_head *head);
static void free_queue(gpointer queue);

void
upstream_pool_init(
    struct upstream_pool *pool, uv_loop_t *loop, struct timer_service *timers)
{
	memset(pool, 0, sizeof(*pool));
	pool->loop = loop;
	pool->timers = timers;
	pool->idle = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, free_queue);
	pool->all = g_hash_table_new(NULL, NULL);
}

void
upstream_pool_close(struct upstream_pool *pool)
{
	GList *calls, *link;

	calls = g_hash_table_get_keys(pool->all);
	for (link = calls; link != NULL; link = link->next)
		close_call(link->data);
	g_list_free(calls);
}

void
upstream_pool_finish(struct upstream_pool *pool)
{
	g_hash_table_unref(pool->idle);
	g_hash_table_unref(pool->all);
}

uint64_t
upstream_place(const char *text)
{
	struct in_addr address;
	const char *mark;
	char *ip;
	uint64_t place;
	long port;

	mark = strrchr(text, ':');
	if (mark == NULL)
		return 0;
	ip = g_strndup(text, (gsize)(mark - text));
	port = strtol(mark + 1, NULL, 10);
	place = 0;
	if (inet_pton(AF_INET, ip, &address) == 1 && port > 0 &&
	    port <= UINT16_MAX)
		place = (uint64_t)ntohl(address.s_addr) << PORT_BITS |
			(uint64_t)port;
	g_free(ip);
	return place;
}

void
upstream_place_write(uint64_t place, char text[UPSTREAM_PLACE_SIZE])
{
	struct sockaddr_in address = address_of(place);
	char ip[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &address.sin_addr, ip, sizeof(ip));
	g_snprintf(text, UPSTREAM_PLACE_SIZE, "%s:%u", ip,
	    (unsigned int)ntohs(address.sin_port));
}

struct upstream_call *
upstream_pool_call(struct upstream_pool *pool, uint64_t place, GBytes *request,
    bool is_head_method, int64_t idle_max_ms,
    const struct upstream_call_ops *ops)
{
	struct upstream_call *call;

	call = take_idle(pool, place, idle_max_ms);
	if (call == NULL)
		call = open_call(pool, place);
	if (call == NULL)
		return NULL;
	call->ops = *ops;
	call->request = g_bytes_ref(request);
	call->is_head_method = is_head_method;
	if (call->state == CALL_IDLE) {
		call->state = CALL_BUSY;
		send_request(call);
	}
	return call;
}

struct upstream_call *
upstream_pool_probe(struct upstream_pool *pool, uint64_t place,
    void (*done)(void *context, enum error_code error), void *context)
{
	struct upstream_call *call;

	call = open_call(pool, place);
	if (call == NULL)
		return NULL;
	call->probed = done;
	call->probe_context = context;
	return call;
}

void
upstream_call_cancel(struct upstream_call *call)
{
	close_call(call);
}

static struct sockaddr_in
address_of(uint64_t place)
{
	struct sockaddr_in address = {.sin_family = AF_INET};

	address.sin_addr.s_addr = htonl((uint32_t)(place >> PORT_BITS));
	address.sin_port = htons((uint16_t)place);
	return address;
}

/* The one used last goes first: it is the least likely to be closed. */
static struct upstream_call *
take_idle(struct upstream_pool *pool, uint64_t place, int64_t idle_max_ms)
{
	struct upstream_call *call;
	GQueue *queue;

	queue = g_hash_table_lookup(pool->idle, &place);
	if (queue == NULL)
		return NULL;
	call = g_queue_peek_head(queue);
	if (call == NULL ||
	    timer_now(pool->timers) - call->idle_since_ms > idle_max_ms)
		return NULL;
	g_queue_pop_head(queue);
	timer_cancel(pool->timers, &call->timer);
	return call;
}

static struct upstream_call *
open_call(struct upstream_pool *pool, uint64_t place)
{
	struct http_reader_ops reader_ops = {
	    .head = note_head, .body = note_body, .end = note_end};
	struct tcp_link_ops link_ops = {
	    .opened = note_opened,
	    .received = note_received,
	    .ended = note_ended,
	    .closed = note_closed,
	};
	struct sockaddr_in address = address_of(place);
	struct upstream_call *call;

	call = g_new0(struct upstream_call, 1);
	call->pool = pool;
	call->place = place;
	call->state = CALL_CONNECTING;
	reader_ops.context = call;
	link_ops.context = call;
	http_reader_init(&call->reader, false, &reader_ops);
	g_hash_table_add(pool->all, call);
	if (tcp_link_connect(&call->link, pool->loop, &address, &link_ops) !=
	    ERROR_NONE) {
		call->state = CALL_CLOSED;
		return NULL;
	}
	/* Without a timer the request's own time limit still holds. */
	(void)timer_subscribe_once(pool->timers, CONNECT_TIMEOUT_MS,
	    (struct timer_callback){run_connect_timeout, call}, &call->timer);
	return call;
}

static void
send_request(struct upstream_call *call)
{
	gsize size;
	const void *data;

	call->may_be_kept = true;
	call->is_interim = false;
	http_reader_next(&call->reader);
	data = g_bytes_get_data(call->request, &size);
	/* From here on the request may run. */
	call->ops.sent(call->ops.context);
	tcp_link_write(&call->link, data, size);
}

static void
close_call(struct upstream_call *call)
{
	GQueue *queue;

	if (call->state == CALL_CLOSED)
		return;
	if (call->state == CALL_IDLE) {
		queue = g_hash_table_lookup(call->pool->idle, &call->place);
		g_queue_remove(queue, call);
	}
	call->state = CALL_CLOSED;
	timer_cancel(call->pool->timers, &call->timer);
	tcp_link_close(&call->link);
}

static void
fail(struct upstream_call *call, enum error_code error)
{
	struct upstream_call_ops ops = call->ops;
	enum call_state state = call->state;

	close_call(call);
	if (call->probed != NULL)
		end_probe(call, error);
	else if (state == CALL_CONNECTING || state == CALL_BUSY)
		ops.failed(ops.context, error);
}

static void
keep(struct upstream_call *call)
{
	GQueue *queue;
	uint64_t *key;

	queue = g_hash_table_lookup(call->pool->idle, &call->place);
	if (queue == NULL) {
		key = g_new(uint64_t, 1);
		*key = call->place;
		queue = g_queue_new();
		g_hash_table_insert(call->pool->idle, key, queue);
	}
	if (!call->may_be_kept || call->keep_ms <= 0 ||
	    g_queue_get_length(queue) >= IDLE_PER_PLACE ||
	    tcp_link_queued(&call->link) > 0 ||
	    timer_subscribe_once(call->pool->timers, call->keep_ms,
		(struct timer_callback){run_idle_timeout, call},
		&call->timer) != ERROR_NONE) {
		call->state = CALL_BUSY;
		close_call(call);
		return;
	}
	call->state = CALL_IDLE;
	call->idle_since_ms = timer_now(call->pool->timers);
	g_queue_push_head(queue, call);
}

static void
end_probe(struct upstream_call *call, enum error_code error)
{
	void (*probed)(void *context, enum error_code error) = call->probed;

	call->probed = NULL;
	probed(call->probe_context, error);
}

static void
run_connect_timeout(void *context)
{
	fail(context, ERROR_TIMEOUT);
}

static void
run_idle_timeout(void *context)
{
	close_call(context);
}

static void
note_opened(void *context, enum error_code error)
{
	struct upstream_call *call = context;

	timer_cancel(call->pool->timers, &call->timer);
	if (error != ERROR_NONE) {
		fail(call, error);
		return;
	}
	if (call->probed != NULL) {
		call->may_be_kept = true;
		call->keep_ms = IDLE_DEFAULT_MS;
		keep(call);
		end_probe(call, ERROR_NONE);
		return;
	}
	call->state = CALL_BUSY;
	send_request(call);
}

static void
note_received(void *context, const char *data, size_t size)
{
	struct upstream_call *call = context;
	enum error_code error;
	size_t used;

	while (size > 0 && call->state != CALL_CLOSED) {
		/* Nothing was asked: whose it is can't be known. */
		if (call->state != CALL_BUSY || call->reader.has_ended) {
			fail(call, ERROR_MALFORMED);
			return;
		}
		error = http_reader_feed(&call->reader, data, size, &used);
		if (call->state == CALL_CLOSED)
			return;
		if (error != ERROR_NONE) {
			fail(call, error);
			return;
		}
		data += used;
		size -= used;
		if (!call->reader.has_ended)
			continue;
		if (call->is_interim) {
			http_reader_next(&call->reader);
			call->is_interim = false;
			continue;
		}
		if (size > 0)
			call->may_be_kept = false;
		g_bytes_unref(call->request);
		call->request = NULL;
		keep(call);
		call->ops.done(call->ops.context);
		return;
	}
}

static void
note_ended(void *context, bool is_clean)
{
	struct upstream_call *call = context;

	if (call->state != CALL_BUSY) {
		fail(call, ERROR_CONNECTION);
		return;
	}
	call->may_be_kept = false;
	if (is_clean && call->reader.has_head &&
	    http_reader_close(&call->reader) == ERROR_NONE) {
		struct upstream_call_ops ops = call->ops;

		close_call(call);
		ops.done(ops.context);
		return;
	}
	fail(call, ERROR_INCOMPLETE);
}

static void
note_closed(void *context)
{
	struct upstream_call *call = context;

	g_hash_table_remove(call->pool->all, call);
	http_reader_finish(&call->reader);
	if (call->request != NULL)
		g_bytes_unref(call->request);
	g_free(call);
}

static bool
note_head(void *context, struct http_head *head)
{
	struct upstream_call *call = context;

	call->is_interim =
	    head->status >= STATUS_CONTINUE && head->status < STATUS_OK;
	if (call->is_interim)
		return true;
	/* An answer before the request was sent whole: what the upstream
	 * still reads would become part of the next one. */
	if (!head->keeps_connection || tcp_link_queued(&call->link) > 0)
		call->may_be_kept = false;
	call->keep_ms = read_keep_alive(head);
	call->ops.head(call->ops.context, head);
	return call->is_head_method;
}

static void
note_body(void *context, const char *data, size_t size)
{
	struct upstream_call *call = context;

	if (call->state == CALL_BUSY)
		call->ops.body(call->ops.context, data, size);
}

/* The caller of the reader sees the end by its flag. */
static void
note_end(void *context)
{
	(void)context;
}

static int64_t
read_keep_alive(const struct http_head *head)
{
	const char *text, *mark;
	int64_t keep_ms;

	text = http_head_get(head, "Keep-Alive");
	mark = text == NULL ? NULL : strstr(text, "timeout=");
	if (mark == NULL)
		return IDLE_DEFAULT_MS;
	keep_ms = strtol(mark + strlen("timeout="), NULL, 10) * MS_PER_S -
		  IDLE_MARGIN_MS;
	return MIN(keep_ms, IDLE_LONGEST_MS);
}

static void
free_queue(gpointer queue)
{
	g_queue_free(queue);
}
