#include "transport/http_server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <microhttpd.h>

#include "base/monotonic_clock.h"
#include "protocol/sse.h"

#define ADDRESS_DEFAULT		"127.0.0.1"
#define CONNECTIONS_MAX_DEFAULT 4096
#define IDLE_TIMEOUT_DEFAULT_S	120
#define STREAM_BLOCK_SIZE	32768u /* Bytes read from a stream at a time. */
#define DRAIN_POLL_US		5000   /* Pause between checks in a drain. */
#define STATUS_CUT		500    /* Status of a reply that was cut. */
#define LISTEN_BACKLOG		1024   /* Length of the accept queue. */

struct http_exchange {
	struct http_server *server;
	const struct _u_request *request;
	struct _u_response *response;
	struct MHD_Connection *connection; /* NULL if the lookup failed. */
};

/* Callback data that ulfius passes to handle_request() for a route. */
struct http_route_link {
	struct http_server *server;
	const struct http_route *route;
};

/* A streamed response in progress. */
struct open_stream {
	struct http_stream stream;
	GString *pending; /* Data read from the source. */
	size_t sent;	  /* Bytes of pending passed to libmicrohttpd. */
	bool ended;	  /* The source returned HTTP_STREAM_END. */
	bool finished;	  /* The end was passed to libmicrohttpd. */
};

static void fill_defaults(struct http_server_settings *settings);
static enum error_code add_routes(struct http_server *server);
static enum error_code start_daemon(struct http_server *server);
static int handle_request(const struct _u_request *request,
    struct _u_response *response, void *user_data);
static int refuse_unknown_path(const struct _u_request *request,
    struct _u_response *response, void *user_data);
static void *on_request_begin(void *context, const char *uri);
static void on_request_end(void *context, struct MHD_Connection *connection,
    void **request, enum MHD_RequestTerminationCode code);
static void on_connection_change(void *context,
    struct MHD_Connection *connection, void **socket_context,
    enum MHD_ConnectionNotificationCode code);
static int connection_fd(const struct http_exchange *exchange);
static struct MHD_Connection *find_connection(
    struct http_server *server, const struct sockaddr *address);
static uint64_t address_key(const struct sockaddr *address);
static const char *get_header(const void *context, const char *name);
static ssize_t read_stream(
    void *context, uint64_t offset, char *out, size_t max);
static void close_stream(void *context);

enum error_code
http_server_init(struct http_server *server,
    const struct http_server_settings *settings,
    const struct http_route *routes, size_t route_count, void *context)
{
	struct sockaddr_in address;
	enum error_code error;

	memset(server, 0, sizeof(*server));
	server->settings = *settings;
	fill_defaults(&server->settings);
	server->routes = routes;
	server->route_count = route_count;
	server->context = context;
	memset(&address, 0, sizeof(address));
	address.sin_family = AF_INET;
	address.sin_port = htons(settings->port);
	if (inet_pton(AF_INET, server->settings.address, &address.sin_addr) !=
	    1)
		return ERROR_INVALID_ARGUMENT;
	if (ulfius_init_instance(
		&server->instance, settings->port, &address, NULL) != U_OK)
		return ERROR_NO_MEMORY;
	pthread_mutex_init(&server->lock, NULL);
	server->connections =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	server->instance.max_post_body_size =
	    server->settings.body_size_max + 1;
	server->instance.check_utf8 = 0;
	server->instance.allowed_post_processor = U_POST_PROCESS_NONE;
	error = add_routes(server);
	if (error == ERROR_NONE)
		error = start_daemon(server);
	if (error != ERROR_NONE)
		http_server_finish(server);
	return error;
}

enum error_code
http_server_drain(struct http_server *server, int64_t deadline_ms)
{
	int listener;

	if (!server->quiesced) {
		server->quiesced = true;
		listener = MHD_quiesce_daemon(server->instance.mhd_daemon);
		if (listener >= 0)
			close(listener);
	}
	while (atomic_load(&server->running) > 0) {
		if (clock_monotonic_ms() >= deadline_ms)
			return ERROR_TIMEOUT;
		usleep(DRAIN_POLL_US);
	}
	return ERROR_NONE;
}

void
http_server_finish(struct http_server *server)
{
	if (server->started)
		ulfius_stop_framework(&server->instance);
	server->started = false;
	ulfius_clean_instance(&server->instance);
	if (server->connections != NULL)
		g_hash_table_destroy(server->connections);
	server->connections = NULL;
	free(server->links);
	server->links = NULL;
	pthread_mutex_destroy(&server->lock);
}

const char *
http_header(const struct http_exchange *exchange, const char *name)
{
	return u_map_get_case(exchange->request->map_header, name);
}

struct header_source
http_header_source(const struct http_exchange *exchange)
{
	struct header_source source;

	source.get = get_header;
	source.context = exchange;
	return source;
}

const char *
http_parameter(const struct http_exchange *exchange, const char *name)
{
	return u_map_get(exchange->request->map_url, name);
}

const char *
http_path(const struct http_exchange *exchange)
{
	return exchange->request->url_path;
}

const char *
http_body(const struct http_exchange *exchange, size_t *size)
{
	*size = exchange->request->binary_body_length;
	return exchange->request->binary_body;
}

char *
http_take_body(struct http_exchange *exchange, size_t *size)
{
	struct _u_request *request;
	char *body;

	/* ulfius passes the request as const, but it allocated the body on the
	 * heap and frees only what is still there afterwards. Moving the body
	 * out saves a copy of a large body. */
	request = (struct _u_request *)exchange->request;
	body = request->binary_body;
	*size = request->binary_body_length;
	request->binary_body = NULL;
	request->binary_body_length = 0;
	return body;
}

bool
http_caller_disconnected(const struct http_exchange *exchange)
{
	ssize_t size;
	char byte;
	int fd;

	fd = connection_fd(exchange);
	if (fd < 0)
		return false;
	size = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	if (size == 0)
		return true;
	return size < 0 && errno != EAGAIN && errno != EWOULDBLOCK &&
	       errno != EINTR;
}

int64_t
http_request_age_ms(const struct http_exchange *exchange)
{
	struct tcp_info info = {0};
	socklen_t size = sizeof(info);
	int fd;

	fd = connection_fd(exchange);
	if (fd < 0 || getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
		return 0;
	return info.tcpi_last_data_recv;
}

void
http_set_header(
    struct http_exchange *exchange, const char *name, const char *value)
{
	u_map_put(exchange->response->map_header, name, value);
}

void
http_reply(struct http_exchange *exchange, uint32_t status,
    const char *content_type, const char *body, size_t size)
{
	if (content_type != NULL)
		http_set_header(exchange, "Content-Type", content_type);
	ulfius_set_binary_body_response(
	    exchange->response, status, body == NULL ? "" : body, size);
}

void
http_reply_json(struct http_exchange *exchange, uint32_t status, json_t *body)
{
	char *text;

	text = body == NULL ? NULL : json_dumps(body, JSON_COMPACT);
	json_decref(body);
	if (text == NULL) {
		http_reply(exchange, 500, NULL, NULL, 0);
		return;
	}
	http_reply(exchange, status, "application/json", text, strlen(text));
	free(text);
}

void
http_reply_error(
    struct http_exchange *exchange, const struct caller_error *error)
{
	char seconds[16];
	uint32_t retry_after;
	GString *body;

	retry_after = caller_error_retry_after_s(error);
	if (retry_after > 0) {
		snprintf(seconds, sizeof(seconds), "%u", retry_after);
		http_set_header(exchange, "Retry-After", seconds);
	}
	body = g_string_new(NULL);
	caller_error_write(body, error);
	http_reply(exchange, caller_error_status(error), "application/json",
	    body->str, body->len);
	g_string_free(body, TRUE);
}

void
http_reply_field_error(
    struct http_exchange *exchange, const struct field_error *error)
{
	struct caller_error caller_error;
	char text[4 * FIELD_TEXT_SIZE];

	field_error_format(error, text, sizeof(text));
	memset(&caller_error, 0, sizeof(caller_error));
	caller_error.code = error->code;
	caller_error.outcome = REQUEST_OUTCOME_NOT_RUN;
	caller_error.message = text;
	http_reply_error(exchange, &caller_error);
}

void
http_reply_cut(struct http_exchange *exchange, const char *bytes)
{
	const union MHD_ConnectionInfo *info;

	info = NULL;
	if (exchange->connection != NULL)
		info = MHD_get_connection_info(
		    exchange->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	if (info != NULL) {
		send(info->connect_fd, bytes, strlen(bytes), MSG_NOSIGNAL);
		shutdown(info->connect_fd, SHUT_RDWR);
	}
	/* libmicrohttpd can't send this any more. */
	http_reply(exchange, STATUS_CUT, NULL, NULL, 0);
}

void
http_reply_stream(
    struct http_exchange *exchange, const struct http_stream *stream)
{
	struct open_stream *open;

	open = g_new0(struct open_stream, 1);
	open->stream = *stream;
	open->pending = g_string_new(NULL);
	http_set_header(exchange, "Content-Type", "text/event-stream");
	http_set_header(exchange, "Cache-Control", "no-cache");
	if (ulfius_set_stream_response(exchange->response, 200, read_stream,
		close_stream, U_STREAM_SIZE_UNKNOWN, STREAM_BLOCK_SIZE,
		open) != U_OK)
		close_stream(open);
}

static void
fill_defaults(struct http_server_settings *settings)
{
	if (settings->address[0] == '\0')
		memcpy(settings->address, ADDRESS_DEFAULT,
		    sizeof(ADDRESS_DEFAULT));
	if (settings->body_size_max == 0)
		settings->body_size_max = BODY_SIZE_MAX;
	if (settings->connections_max == 0)
		settings->connections_max = CONNECTIONS_MAX_DEFAULT;
	if (settings->idle_timeout_s == 0)
		settings->idle_timeout_s = IDLE_TIMEOUT_DEFAULT_S;
}

static enum error_code
add_routes(struct http_server *server)
{
	size_t i;

	server->links = calloc(server->route_count + 1, sizeof(*server->links));
	if (server->links == NULL)
		return ERROR_NO_MEMORY;
	for (i = 0; i < server->route_count; i++) {
		server->links[i].server = server;
		server->links[i].route = &server->routes[i];
		if (ulfius_add_endpoint_by_val(&server->instance,
			server->routes[i].method, NULL, server->routes[i].path,
			0, handle_request, &server->links[i]) != U_OK)
			return ERROR_INVALID_ARGUMENT;
	}
	ulfius_set_default_endpoint(
	    &server->instance, refuse_unknown_path, server);
	return ERROR_NONE;
}

/* Starts the daemon with explicit options, because ulfius's default start sets
 * neither the backlog nor the connection limit, nor the callbacks that
 * http_server_drain() and http_caller_disconnected() depend on. */
static enum error_code
start_daemon(struct http_server *server)
{
	const struct http_server_settings *settings = &server->settings;
	struct MHD_OptionItem options[] = {
	    {MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)on_request_end, server},
	    {MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)on_request_begin, server},
	    {MHD_OPTION_NOTIFY_CONNECTION, (intptr_t)on_connection_change,
		server},
	    {MHD_OPTION_SOCK_ADDR, 0, server->instance.bind_address},
	    {MHD_OPTION_CONNECTION_LIMIT, settings->connections_max, NULL},
	    {MHD_OPTION_CONNECTION_TIMEOUT, settings->idle_timeout_s, NULL},
	    {MHD_OPTION_LISTEN_BACKLOG_SIZE, LISTEN_BACKLOG, NULL},
	    {MHD_OPTION_END, 0, NULL},
	};

	if (ulfius_start_framework_with_mhd_options(&server->instance,
		MHD_USE_THREAD_PER_CONNECTION |
		    MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
		    MHD_USE_ITC,
		options) != U_OK)
		return ERROR_IO;
	server->started = true;
	return ERROR_NONE;
}

static int
handle_request(const struct _u_request *request, struct _u_response *response,
    void *user_data)
{
	const struct http_route_link *link = user_data;
	struct http_server *server = link->server;
	struct http_exchange exchange;
	struct caller_error error;

	memset(&exchange, 0, sizeof(exchange));
	exchange.server = server;
	exchange.request = request;
	exchange.response = response;
	exchange.connection = find_connection(server, request->client_address);
	if (server->quiesced)
		http_set_header(&exchange, "Connection", "close");
	if (request->binary_body_length > server->settings.body_size_max) {
		memset(&error, 0, sizeof(error));
		error.code = ERROR_TOO_LARGE;
		error.outcome = REQUEST_OUTCOME_NOT_RUN;
		http_reply_error(&exchange, &error);
		return U_CALLBACK_COMPLETE;
	}
	/* No idle timeout while a request is handled: a handler that blocks for
	 * long would lose its connection. on_request_end() sets it again. */
	if (exchange.connection != NULL)
		MHD_set_connection_option(
		    exchange.connection, MHD_CONNECTION_OPTION_TIMEOUT, 0u);
	link->route->handle(server->context, &exchange);
	return U_CALLBACK_COMPLETE;
}

static int
refuse_unknown_path(const struct _u_request *request,
    struct _u_response *response, void *user_data)
{
	struct http_exchange exchange;
	struct caller_error error;

	memset(&exchange, 0, sizeof(exchange));
	exchange.server = user_data;
	exchange.request = request;
	exchange.response = response;
	memset(&error, 0, sizeof(error));
	error.code = ERROR_NOT_FOUND;
	error.outcome = REQUEST_OUTCOME_NOT_RUN;
	http_reply_error(&exchange, &error);
	return U_CALLBACK_COMPLETE;
}

static void *
on_request_begin(void *context, const char *uri)
{
	struct http_server *server = context;

	atomic_fetch_add(&server->running, 1);
	return ulfius_uri_logger(NULL, uri);
}

static void
on_request_end(void *context, struct MHD_Connection *connection, void **request,
    enum MHD_RequestTerminationCode code)
{
	struct http_server *server = context;

	mhd_request_completed(NULL, connection, request, code);
	MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT,
	    (unsigned int)server->settings.idle_timeout_s);
	atomic_fetch_sub(&server->running, 1);
}

static void
on_connection_change(void *context, struct MHD_Connection *connection,
    void **socket_context, enum MHD_ConnectionNotificationCode code)
{
	struct http_server *server = context;
	const union MHD_ConnectionInfo *info;
	uint64_t *key;

	(void)socket_context;
	info = MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	if (info == NULL || info->client_addr == NULL)
		return;
	key = g_new(uint64_t, 1);
	*key = address_key(info->client_addr);
	pthread_mutex_lock(&server->lock);
	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		g_hash_table_replace(server->connections, key, connection);
		key = NULL;
	} else if (g_hash_table_lookup(server->connections, key) ==
		   connection) {
		g_hash_table_remove(server->connections, key);
	}
	pthread_mutex_unlock(&server->lock);
	g_free(key);
}

/* Returns the socket of the exchange's connection, -1 if it is not known. */
static int
connection_fd(const struct http_exchange *exchange)
{
	const union MHD_ConnectionInfo *info;

	if (exchange->connection == NULL)
		return -1;
	info = MHD_get_connection_info(
	    exchange->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	return info == NULL ? -1 : info->connect_fd;
}

static struct MHD_Connection *
find_connection(struct http_server *server, const struct sockaddr *address)
{
	struct MHD_Connection *connection;
	uint64_t key;

	if (address == NULL)
		return NULL;
	key = address_key(address);
	pthread_mutex_lock(&server->lock);
	connection = g_hash_table_lookup(server->connections, &key);
	pthread_mutex_unlock(&server->lock);
	return connection;
}

static uint64_t
address_key(const struct sockaddr *address)
{
	const struct sockaddr_in *internet;
	uint64_t key;

	if (address->sa_family != AF_INET)
		return 0;
	internet = (const struct sockaddr_in *)address;
	key = ntohl(internet->sin_addr.s_addr);
	return key << 16 | ntohs(internet->sin_port);
}

static const char *
get_header(const void *context, const char *name)
{
	return http_header(context, name);
}

static ssize_t
read_stream(void *context, uint64_t offset, char *out, size_t max)
{
	struct open_stream *open = context;
	size_t size;

	(void)offset;
	if (open->sent == open->pending->len) {
		open->sent = 0;
		g_string_truncate(open->pending, 0);
		if (!open->ended &&
		    open->stream.next(open->stream.context, open->pending,
			clock_monotonic_ms() + HTTP_COMMENT_PERIOD_MS) ==
			HTTP_STREAM_END)
			open->ended = true;
		if (!open->ended && open->pending->len == 0)
			sse_write_comment(open->pending, "waiting");
	}
	size = open->pending->len - open->sent;
	if (size == 0) {
		open->finished = true;
		return (ssize_t)U_STREAM_END;
	}
	if (size > max)
		size = max;
	memcpy(out, open->pending->str + open->sent, size);
	open->sent += size;
	return (ssize_t)size;
}

static void
close_stream(void *context)
{
	struct open_stream *open = context;

	open->stream.on_closed(open->stream.context, open->finished);
	g_string_free(open->pending, TRUE);
	g_free(open);
}
