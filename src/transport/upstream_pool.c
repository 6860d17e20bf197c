#include "transport/upstream_pool.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "transport/tcp_link.h"

/* A TCP handshake takes a few milliseconds; an upstream that takes this long
 * counts as unreachable. */
#define CONNECT_TIMEOUT_MS 400
/* Idle time of a connection if the answer has no Keep-Alive timeout. */
#define IDLE_TIMEOUT_DEFAULT_MS 2500
/* Longest idle time, whatever the Keep-Alive timeout is. */
#define IDLE_TIMEOUT_MAX_MS 8000
/* Closes an idle connection this long before the upstream itself would, so that
 * no request is sent on a connection that is just being closed. */
#define IDLE_TIMEOUT_MARGIN_MS 600
/* Most idle connections to an upstream; further ones are closed. */
#define IDLE_PER_UPSTREAM_MAX 24u
/* Limits of what may come before the body of an answer. */
#define HEAD_BYTES_MAX	    65536
#define INTERIM_ANSWERS_MAX 16
/* Answers to earlier requests that a call passes over. */
#define DISCARDED_ANSWERS_MAX 4
#define PORT_BITS	      16
#define MS_PER_S	      1000
#define STATUS_CONTINUE	      100
#define STATUS_OK	      200

/* State of a connection. */
enum call_state {
	CALL_CONNECTING,
	CALL_BUSY, /* A request was sent and its answer is being read. */
	CALL_IDLE, /* Kept in the pool for another call. */
	CALL_CLOSED,
};

/* A connection and the call that it carries, if any. */
struct pool_call {
	struct upstream_pool *pool;
	struct tcp_link link;
	struct http_reader reader;
	struct pool_call_ops ops;
	enum call_state state;
	uint64_t address; /* Packed IP address and port of the upstream. */
	/* Reports the result of a probe; NULL for a call. */
	void (*on_probe_done)(void *context, enum error_code error);
	void *probe_context;
	struct request_history history; /* What the connection has carried. */
	char *request_id; /* Id of the current request, or NULL. */
	bool is_head_method;
	bool is_interim;	  /* The answer being read is a 1xx one. */
	uint32_t interim_count;	  /* Such answers to the current request. */
	bool is_discarded;	  /* The answer being read is passed over. */
	uint32_t discarded_count; /* Such answers to the current request. */
	size_t body_bytes;	  /* Bytes of the answer's body so far. */
	bool is_reusable; /* May be kept for another call after this one. */
	int64_t idle_limit_ms; /* Longest time to stay idle. */
	int64_t idle_since_ms;
	struct handle timer; /* Timeout while connecting or idle. */
};

static struct sockaddr_in to_socket_address(uint64_t address);
static struct pool_call *pop_idle(struct upstream_pool *pool, uint64_t address,
    const struct pool_request *request);
static bool is_usable(
    const struct pool_call *call, const struct pool_request *request);
static struct pool_call *open_call(
    struct upstream_pool *pool, uint64_t address);
static void send_request(struct pool_call *call);
static void close_call(struct pool_call *call);
static void fail_call(struct pool_call *call, enum error_code error);
static void keep_idle(struct pool_call *call);
static void end_probe(struct pool_call *call, enum error_code error);
static void on_connect_timeout(void *context);
static void on_idle_timeout(void *context);
static void on_opened(void *context, enum error_code error);
static void on_received(void *context, const char *data, size_t size);
static void on_ended(void *context, bool is_clean);
static void on_closed(void *context);
static bool on_head(void *context, struct http_head *head);
static void discard_answer(
    struct pool_call *call, const struct http_head *head);
static void on_body(void *context, const char *data, size_t size);
static void on_chunk_end(void *context);
static void on_end(void *context);
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
upstream_address_parse(const char *text)
{
	struct in_addr ip_address;
	const char *colon;
	char *ip, *rest;
	uint64_t address;
	long port;

	colon = strrchr(text, ':');
	if (colon == NULL)
		return 0;
	ip = g_strndup(text, (gsize)(colon - text));
	port = strtol(colon + 1, &rest, 10);
	address = 0;
	if (inet_pton(AF_INET, ip, &ip_address) == 1 && *rest == '\0' &&
	    g_ascii_isdigit(colon[1]) && port > 0 && port <= UINT16_MAX)
		address = (uint64_t)ntohl(ip_address.s_addr) << PORT_BITS |
			  (uint64_t)port;
	g_free(ip);
	return address;
}

void
upstream_address_write(uint64_t address, char text[UPSTREAM_ADDRESS_SIZE])
{
	struct sockaddr_in socket_address = to_socket_address(address);
	char ip[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &socket_address.sin_addr, ip, sizeof(ip));
	g_snprintf(text, UPSTREAM_ADDRESS_SIZE, "%s:%u", ip,
	    (unsigned int)ntohs(socket_address.sin_port));
}

struct pool_call *
upstream_pool_call(struct upstream_pool *pool, uint64_t address,
    const struct pool_request *request, const struct pool_call_ops *ops)
{
	struct pool_call *call;

	call = pop_idle(pool, address, request);
	if (call == NULL)
		call = open_call(pool, address);
	if (call == NULL)
		return NULL;
	call->ops = *ops;
	call->request_id = g_strdup(request->id);
	call->is_head_method = request->is_head_method;
	if (call->state == CALL_IDLE) {
		call->state = CALL_BUSY;
		send_request(call);
	}
	return call;
}

struct pool_call *
upstream_pool_probe(struct upstream_pool *pool, uint64_t address,
    void (*done)(void *context, enum error_code error), void *context)
{
	struct pool_call *call;

	call = open_call(pool, address);
	if (call == NULL)
		return NULL;
	call->on_probe_done = done;
	call->probe_context = context;
	return call;
}

enum answer_owner
pool_call_attribute(const struct pool_call *call, const char *id)
{
	return request_history_attribute(&call->history, id);
}

uint32_t
pool_call_requests_before(const struct pool_call *call)
{
	return call->history.count - 1;
}

void
pool_call_cancel(struct pool_call *call)
{
	close_call(call);
}

static struct sockaddr_in
to_socket_address(uint64_t address)
{
	struct sockaddr_in result = {.sin_family = AF_INET};

	result.sin_addr.s_addr = htonl((uint32_t)(address >> PORT_BITS));
	result.sin_port = htons((uint16_t)address);
	return result;
}

/* Takes the most recently used idle connection that can carry the request, since
 * the upstream is least likely to close it soon. Returns NULL if there is none.
 * Connections that turn out to be unusable for any request are closed. */
static struct pool_call *
pop_idle(struct upstream_pool *pool, uint64_t address,
    const struct pool_request *request)
{
	struct pool_call *call;
	GQueue *queue;
	GList *link, *next;
	int64_t now_ms, idle_ms;

	queue = g_hash_table_lookup(pool->idle, &address);
	if (queue == NULL)
		return NULL;
	now_ms = timer_now(pool->timers);
	for (link = queue->head; link != NULL; link = next) {
		next = link->next;
		call = link->data;
		idle_ms = now_ms - call->idle_since_ms;
		if (idle_ms > request->idle_max_ms)
			return NULL;
		if (!is_usable(call, request))
			continue;
		/* What arrived since the loop last read belongs to no call. A
		 * loop that comes late reads before it runs its timers, so the
		 * connection may be past its idle time, too. */
		if (tcp_link_has_input(&call->link) ||
		    idle_ms >= call->idle_limit_ms) {
			close_call(call);
			continue;
		}
		g_queue_delete_link(queue, link);
		timer_cancel(pool->timers, &call->timer);
		return call;
	}
	return NULL;
}

static bool
is_usable(const struct pool_call *call, const struct pool_request *request)
{
	return request_history_accepts(&call->history, request->id);
}

static struct pool_call *
open_call(struct upstream_pool *pool, uint64_t address)
{
	struct http_reader_ops reader_ops = {
	    .on_head = on_head,
	    .on_body = on_body,
	    .on_chunk_end = on_chunk_end,
	    .on_end = on_end,
	};
	struct tcp_link_ops link_ops = {
	    .on_opened = on_opened,
	    .on_received = on_received,
	    .on_ended = on_ended,
	    .on_closed = on_closed,
	};
	struct sockaddr_in socket_address = to_socket_address(address);
	struct pool_call *call;

	call = g_new0(struct pool_call, 1);
	call->pool = pool;
	call->address = address;
	call->state = CALL_CONNECTING;
	reader_ops.context = call;
	link_ops.context = call;
	http_reader_init(&call->reader, false, &reader_ops);
	call->reader.head_bytes_max = HEAD_BYTES_MAX;
	g_hash_table_add(pool->all, call);
	if (tcp_link_connect(&call->link, pool->loop, &socket_address,
		&link_ops) != ERROR_NONE) {
		call->state = CALL_CLOSED;
		return NULL;
	}
	/* If no timer is free, the time limit of the request still applies. */
	(void)timer_subscribe_once(pool->timers, CONNECT_TIMEOUT_MS,
	    (struct timer_callback){on_connect_timeout, call}, &call->timer);
	return call;
}

static void
send_request(struct pool_call *call)
{
	const void *data;
	GBytes *request;
	gsize size;

	/* A later answer to a request without an id could not be attributed, nor
	 * could the length of one to a HEAD request be told. */
	call->is_reusable = call->request_id != NULL && !call->is_head_method;
	call->is_interim = false;
	call->interim_count = 0;
	call->is_discarded = false;
	call->discarded_count = 0;
	call->body_bytes = 0;
	request_history_add(&call->history, call->request_id);
	http_reader_next(&call->reader);
	request = call->ops.make_request(call->ops.context);
	data = g_bytes_get_data(request, &size);
	/* Reported before the write, because the upstream may run the request
	 * as soon as its first bytes leave. */
	call->ops.on_sent(call->ops.context);
	tcp_link_write(&call->link, data, size);
	g_bytes_unref(request);
}

static void
close_call(struct pool_call *call)
{
	GQueue *queue;

	if (call->state == CALL_CLOSED)
		return;
	if (call->state == CALL_IDLE) {
		queue = g_hash_table_lookup(call->pool->idle, &call->address);
		g_queue_remove(queue, call);
	}
	call->state = CALL_CLOSED;
	timer_cancel(call->pool->timers, &call->timer);
	tcp_link_close(&call->link);
}

static void
fail_call(struct pool_call *call, enum error_code error)
{
	struct pool_call_ops ops = call->ops;
	enum call_state state = call->state;

	close_call(call);
	if (call->on_probe_done != NULL)
		end_probe(call, error);
	else if (state == CALL_CONNECTING || state == CALL_BUSY)
		ops.on_failed(ops.context, error);
}

static void
keep_idle(struct pool_call *call)
{
	GQueue *queue;
	uint64_t *key;

	queue = g_hash_table_lookup(call->pool->idle, &call->address);
	if (queue == NULL) {
		key = g_new(uint64_t, 1);
		*key = call->address;
		queue = g_queue_new();
		g_hash_table_insert(call->pool->idle, key, queue);
	}
	if (!call->is_reusable || call->idle_limit_ms <= 0 ||
	    call->history.count >= REQUEST_HISTORY_MAX ||
	    g_queue_get_length(queue) >= IDLE_PER_UPSTREAM_MAX ||
	    tcp_link_queued(&call->link) > 0 ||
	    timer_subscribe_once(call->pool->timers, call->idle_limit_ms,
		(struct timer_callback){on_idle_timeout, call},
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
end_probe(struct pool_call *call, enum error_code error)
{
	void (*on_probe_done)(void *context, enum error_code error) =
	    call->on_probe_done;

	call->on_probe_done = NULL;
	on_probe_done(call->probe_context, error);
}

static void
on_connect_timeout(void *context)
{
	fail_call(context, ERROR_TIMEOUT);
}

static void
on_idle_timeout(void *context)
{
	close_call(context);
}

static void
on_opened(void *context, enum error_code error)
{
	struct pool_call *call = context;

	timer_cancel(call->pool->timers, &call->timer);
	if (error != ERROR_NONE) {
		fail_call(call, error);
		return;
	}
	if (call->on_probe_done != NULL) {
		call->is_reusable = true;
		call->idle_limit_ms = IDLE_TIMEOUT_DEFAULT_MS;
		keep_idle(call);
		end_probe(call, ERROR_NONE);
		return;
	}
	call->state = CALL_BUSY;
	if (call->ops.on_connected != NULL)
		call->ops.on_connected(call->ops.context);
	send_request(call);
}

static void
on_received(void *context, const char *data, size_t size)
{
	struct pool_call *call = context;
	enum error_code error;
	size_t used;

	while (size > 0 && call->state != CALL_CLOSED) {
		/* No call is waiting for an answer, so these bytes can't be
		 * attributed to any request. */
		if (call->state != CALL_BUSY || call->reader.has_ended) {
			fail_call(call, ERROR_MALFORMED);
			return;
		}
		error = http_reader_feed(&call->reader, data, size, &used);
		if (call->state == CALL_CLOSED)
			return;
		if (error != ERROR_NONE) {
			fail_call(call, error);
			return;
		}
		data += used;
		size -= used;
		if (!call->reader.has_ended)
			continue;
		if (call->is_interim || call->is_discarded) {
			if (call->interim_count > INTERIM_ANSWERS_MAX ||
			    call->discarded_count > DISCARDED_ANSWERS_MAX) {
				fail_call(call, ERROR_TOO_LARGE);
				return;
			}
			http_reader_next(&call->reader);
			call->is_interim = false;
			call->is_discarded = false;
			continue;
		}
		if (size > 0)
			call->is_reusable = false;
		g_clear_pointer(&call->request_id, g_free);
		keep_idle(call);
		call->ops.on_done(call->ops.context);
		return;
	}
}

static void
on_ended(void *context, bool is_clean)
{
	struct pool_call *call = context;

	if (call->state != CALL_BUSY) {
		fail_call(call, ERROR_CONNECTION);
		return;
	}
	call->is_reusable = false;
	if (is_clean && call->reader.has_head && !call->is_discarded &&
	    http_reader_close(&call->reader) == ERROR_NONE) {
		struct pool_call_ops ops = call->ops;

		close_call(call);
		ops.on_done(ops.context);
		return;
	}
	fail_call(call, ERROR_INCOMPLETE);
}

static void
on_closed(void *context)
{
	struct pool_call *call = context;

	g_hash_table_remove(call->pool->all, call);
	http_reader_finish(&call->reader);
	g_free(call->request_id);
	request_history_finish(&call->history);
	g_free(call);
}

static bool
on_head(void *context, struct http_head *head)
{
	struct pool_call *call = context;

	call->is_interim =
	    head->status >= STATUS_CONTINUE && head->status < STATUS_OK;
	if (call->is_interim) {
		call->interim_count++;
		return true;
	}
	/* If the answer comes before the request is sent completely, the
	 * connection can't be reused: the upstream would read the rest of this
	 * request as part of the next one. */
	if (!head->keeps_connection || tcp_link_queued(&call->link) > 0)
		call->is_reusable = false;
	/* A body that follows nevertheless belongs to no request. */
	if (http_status_has_no_body(head->status) &&
	    (head->has_length || head->is_chunked))
		call->is_reusable = false;
	call->idle_limit_ms = read_keep_alive(head);
	if (call->ops.on_head(call->ops.context, head) == POOL_ANSWER_TAKE ||
	    call->state == CALL_CLOSED)
		return call->is_head_method;
	discard_answer(call, head);
	return false;
}

/* Passes over an answer to an earlier request. Without a length it would end only
 * with the connection, and hide the answer that the call waits for. */
static void
discard_answer(struct pool_call *call, const struct http_head *head)
{
	call->is_reusable = false;
	call->is_discarded = true;
	call->discarded_count++;
	if (!head->has_length && !head->is_chunked &&
	    !http_status_has_no_body(head->status))
		fail_call(call, ERROR_MALFORMED);
}

static void
on_body(void *context, const char *data, size_t size)
{
	struct pool_call *call = context;

	if (call->state != CALL_BUSY || call->is_discarded)
		return;
	call->body_bytes += size;
	if (call->ops.body_bytes_max > 0 &&
	    call->body_bytes > call->ops.body_bytes_max)
		fail_call(call, ERROR_TOO_LARGE);
	else
		call->ops.on_body(call->ops.context, data, size);
}

static void
on_chunk_end(void *context)
{
	struct pool_call *call = context;

	if (call->state == CALL_BUSY && !call->is_discarded &&
	    call->ops.on_chunk_end != NULL)
		call->ops.on_chunk_end(call->ops.context);
}

/* Does nothing: on_received() checks has_ended of the reader instead. */
static void
on_end(void *context)
{
	(void)context;
}

static int64_t
read_keep_alive(const struct http_head *head)
{
	const char *text, *mark;
	int64_t idle_limit_ms;

	text = http_head_get(head, "Keep-Alive");
	mark = text == NULL ? NULL : strstr(text, "timeout=");
	if (mark == NULL)
		return IDLE_TIMEOUT_DEFAULT_MS;
	idle_limit_ms = strtol(mark + strlen("timeout="), NULL, 10) * MS_PER_S -
			IDLE_TIMEOUT_MARGIN_MS;
	return MIN(idle_limit_ms, IDLE_TIMEOUT_MAX_MS);
}

static void
free_queue(gpointer queue)
{
	g_queue_free(queue);
}
