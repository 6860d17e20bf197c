#include "relay_fixture.h"

#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/event_log.h"
#include "host/mailbox.h"
#include "loopback.h"
#include "platform_dialect.h"
#include "platform_routes.h"
#include "relay_fixture_host.h"

#define SILENCE_MAX_MS 3000 /* Longest wait for further bytes. */
#define READ_SIZE      65536
/* What the answer of an upstream that did not run the request contains. */
#define REFUSAL_FIELD  "Not-Executed:"
#define REFUSAL_STATUS "HTTP/1.1 421 "

static const char document[] =
    "{\"version\":1,\"routes\":["
    "{\"name\":\"once\",\"host\":\"h\",\"pathPrefix\":\"/once/\",\"kind\":"
    "\"non_idempotent\",\"timeoutMs\":1500,\"sloMs\":300,\"service\":\"s\","
    "\"maxAttempts\":2},"
    "{\"name\":\"idem\",\"host\":\"h\",\"pathPrefix\":\"/idem/\",\"kind\":"
    "\"idempotent\",\"timeoutMs\":1500,\"sloMs\":300,\"service\":\"s\","
    "\"maxAttempts\":2},"
    "{\"name\":\"stream\",\"host\":\"h\",\"pathPrefix\":\"/stream/\","
    "\"kind\":\"streaming\",\"timeoutMs\":10000,\"sloMs\":300,\"service\":"
    "\"s\",\"maxAttempts\":2,\"resumable\":true,\"targetGapMs\":250}],"
    "\"services\":[{\"name\":\"s\",\"healthPath\":\"/health\","
    "\"engine\":{\"slots\":16,\"kvCapacityTokens\":100000,\"read_per_s\":"
    "1000000,\"pairs_per_m\":0.02}}],"
    "\"tenants\":[{\"name\":\"spa\",\"apiKeys\":[\"key1\"]}],"
    "\"limits\":{\"maxBodyBytes\":1000,\"maxHeaderBytes\":2000}}";

static void start_upstream(struct relay_fixture *fixture, uint32_t index,
    enum relay_fixture_path path);
static uint16_t choose_announced_port(
    struct scripted_upstream *upstream, enum relay_fixture_path path);
static void start_relay(struct relay_fixture *fixture);
static uint32_t read_count(
    struct relay_fixture *fixture, const uint32_t *count);
static bool is_whole(const GString *answer);
static char *exchange(uint16_t port, const char *request);

void
relay_fixture_init(struct relay_fixture *fixture)
{
	relay_fixture_init_host(fixture, 1, RELAY_FIXTURE_OPEN);
}

void
relay_fixture_init_host(struct relay_fixture *fixture, uint32_t host_id,
    enum relay_fixture_path path)
{
	struct fleet_settings fleet = {.host_id = host_id, .data_centre = "a"};
	static const struct fleet_ops no_slots = {0};
	uint32_t i;

	memset(fixture, 0, sizeof(*fixture));
	/* As in the program. */
	signal(SIGPIPE, SIG_IGN);
	fixture->host_id = host_id;
	pthread_mutex_init(&fixture->peer_mutex, NULL);
	/* Two threads log; GLib's own writer uses localtime, which the thread
	 * sanitizer reports. */
	event_log_setup(1, EVENT_LEVEL_INFO);
	fixture->host = g_new0(struct host, 1);
	mailbox_init(&fixture->host->mailbox, 16);
	atomic_store(&fixture->host->entry_host_count, 1);
	atomic_store(&fixture->host->confirmed_until_ms, INT64_MAX);
	fleet_init(&fixture->host->fleet, &fleet, &no_slots);
	pthread_mutex_init(&fixture->script.mutex, NULL);
	fixture->script.requests = g_ptr_array_new_with_free_func(g_free);
	fixture->script.answers = g_ptr_array_new_with_free_func(g_free);
	fixture->script.given = g_ptr_array_new_with_free_func(g_free);
	for (i = 0; i < RELAY_FIXTURE_UPSTREAMS; i++)
		start_upstream(fixture, i, path);
	fleet_publish(&fixture->host->fleet);
	relay_fixture_start_host(fixture);
	start_relay(fixture);
}

void
relay_fixture_finish(struct relay_fixture *fixture)
{
	uint32_t i;

	relay_stop(&fixture->relay);
	/* The host's thread may deliver a report after the relay stopped. */
	relay_receive_report(&fixture->relay, 1, "", 0, 0);
	relay_set_table(&fixture->relay, NULL);
	relay_fixture_stop_host(fixture);
	relay_finish(&fixture->relay);
	relay_fixture_cut(fixture);
	for (i = 0; i < RELAY_FIXTURE_UPSTREAMS; i++)
		scripted_upstream_finish(&fixture->upstreams[i]);
	g_ptr_array_unref(fixture->script.requests);
	g_ptr_array_unref(fixture->script.answers);
	g_ptr_array_unref(fixture->script.given);
	pthread_mutex_destroy(&fixture->script.mutex);
	pthread_mutex_destroy(&fixture->peer_mutex);
	relay_fixture_finish_host(fixture);
	mailbox_close(&fixture->host->mailbox);
	mailbox_finish(&fixture->host->mailbox);
	fleet_finish(&fixture->host->fleet);
	g_free(fixture->host);
}

void
relay_fixture_cut(struct relay_fixture *fixture)
{
	uint32_t i;

	for (i = 0; i < RELAY_FIXTURE_UPSTREAMS; i++)
		scripted_upstream_cut(&fixture->upstreams[i]);
}

void
relay_fixture_add_answer(struct relay_fixture *fixture, const char *answer)
{
	pthread_mutex_lock(&fixture->script.mutex);
	g_ptr_array_add(fixture->script.answers, g_strdup(answer));
	pthread_mutex_unlock(&fixture->script.mutex);
}

void
relay_fixture_replace_answers(struct relay_fixture *fixture, const char *answer)
{
	pthread_mutex_lock(&fixture->script.mutex);
	g_ptr_array_set_size(fixture->script.answers, 0);
	g_ptr_array_add(fixture->script.answers, g_strdup(answer));
	pthread_mutex_unlock(&fixture->script.mutex);
}

int
relay_fixture_connect(struct relay_fixture *fixture)
{
	return loopback_connect(fixture->port);
}

char *
relay_fixture_send_request(struct relay_fixture *fixture, const char *request)
{
	return exchange(fixture->port, request);
}

char *
relay_fixture_send_forwarded(struct relay_fixture *fixture, const char *request)
{
	return exchange(fixture->relay.settings.forwarded.port, request);
}

char *
relay_fixture_get_monitor(struct relay_fixture *fixture, const char *path)
{
	char *request, *answer;

	request = g_strdup_printf("GET %s HTTP/1.1\r\nHost: b\r\n\r\n", path);
	answer = exchange(fixture->ready_port, request);
	g_free(request);
	return answer;
}

uint32_t
relay_fixture_request_count(struct relay_fixture *fixture)
{
	uint32_t count;

	pthread_mutex_lock(&fixture->script.mutex);
	count = fixture->script.requests->len;
	pthread_mutex_unlock(&fixture->script.mutex);
	return count;
}

char *
relay_fixture_received_request(struct relay_fixture *fixture, uint32_t index)
{
	char *found;

	pthread_mutex_lock(&fixture->script.mutex);
	found =
	    index < fixture->script.requests->len
		? g_strdup(g_ptr_array_index(fixture->script.requests, index))
		: NULL;
	pthread_mutex_unlock(&fixture->script.mutex);
	return found;
}

uint32_t
relay_fixture_runs(struct relay_fixture *fixture, const char *id)
{
	struct upstream_script *script = &fixture->script;
	const char *given;
	char *field;
	uint32_t runs;
	guint i;

	runs = 0;
	field = g_strdup_printf("\r\nAttempt-Id: %s\r\n", id);
	pthread_mutex_lock(&script->mutex);
	for (i = 0; i < script->requests->len; i++) {
		given = g_ptr_array_index(script->given, i);
		if (strstr(g_ptr_array_index(script->requests, i), field) !=
			NULL &&
		    strstr(given, REFUSAL_FIELD) == NULL &&
		    strstr(given, REFUSAL_STATUS) == NULL)
			runs++;
	}
	pthread_mutex_unlock(&script->mutex);
	g_free(field);
	return runs;
}

uint32_t
relay_fixture_repeated(struct relay_fixture *fixture)
{
	return read_count(fixture, &fixture->script.repeated);
}

uint32_t
relay_fixture_opened(struct relay_fixture *fixture)
{
	return read_count(fixture, &fixture->script.opened);
}

uint32_t
relay_fixture_open(struct relay_fixture *fixture)
{
	uint32_t open;

	pthread_mutex_lock(&fixture->script.mutex);
	open = fixture->script.opened - fixture->script.closed;
	pthread_mutex_unlock(&fixture->script.mutex);
	return open;
}

static void
start_upstream(
    struct relay_fixture *fixture, uint32_t index, enum relay_fixture_path path)
{
	struct scripted_upstream *upstream = &fixture->upstreams[index];

	scripted_upstream_start(upstream, &fixture->script, index);
	upstream->announced_port = choose_announced_port(upstream, path);
	relay_fixture_announce(fixture, index);
}

static uint16_t
choose_announced_port(
    struct scripted_upstream *upstream, enum relay_fixture_path path)
{
	switch (path) {
	case RELAY_FIXTURE_REFUSED:
		return loopback_hold_port(&upstream->silent_fds[0]);
	case RELAY_FIXTURE_SILENT:
		return loopback_listen_silently(
		    upstream->silent_fds, SCRIPTED_UPSTREAM_SILENT_FDS);
	default:
		return upstream->port;
	}
}

static void
start_relay(struct relay_fixture *fixture)
{
	struct relay_settings settings = {0};
	struct field_error error;

	fixture->port = loopback_find_free_port();
	fixture->ready_port = loopback_find_free_port();
	g_strlcpy(settings.entry.ip, "127.0.0.1", sizeof(settings.entry.ip));
	settings.entry.port = fixture->port;
	settings.readiness = settings.entry;
	settings.readiness.port = fixture->ready_port;
	settings.forwarded = settings.entry;
	settings.forwarded.port = loopback_find_free_port();
	settings.connections_max = 100;
	settings.retry_ratio = 1;
	settings.retry_slack = 10;
	settings.retry_window_ms = 10000;
	settings.stop_accept_ms = 60000;
	settings.stop_finish_ms = 60000;
	settings.dialect = platform_dialect;
	if (relay_init(&fixture->relay, &settings, fixture->host,
		fixture->host_id) != ERROR_NONE ||
	    relay_start(&fixture->relay) != ERROR_NONE)
		abort();
	relay_set_table(&fixture->relay,
	    platform_routes_parse(document, strlen(document), &error));
}

static uint32_t
read_count(struct relay_fixture *fixture, const uint32_t *count)
{
	uint32_t value;

	pthread_mutex_lock(&fixture->script.mutex);
	value = *count;
	pthread_mutex_unlock(&fixture->script.mutex);
	return value;
}

static bool
is_whole(const GString *answer)
{
	char *head_end, *length;

	head_end = strstr(answer->str, "\r\n\r\n");
	if (head_end == NULL)
		return false;
	if (strstr(answer->str, "chunked") != NULL)
		return g_str_has_suffix(answer->str, "\r\n0\r\n\r\n");
	length = strstr(answer->str, "Content-Length: ");
	return length != NULL && length < head_end &&
	       answer->len >= (size_t)(head_end - answer->str) + 4 +
				  strtoul(length + 16, NULL, 10);
}

static char *
exchange(uint16_t port, const char *request)
{
	struct pollfd connection = {.events = POLLIN};
	char buffer[READ_SIZE];
	GString *answer;
	ssize_t size;

	connection.fd = loopback_connect(port);
	answer = g_string_new(NULL);
	if (send(connection.fd, request, strlen(request), MSG_NOSIGNAL) < 0)
		abort();
	while (!is_whole(answer) && poll(&connection, 1, SILENCE_MAX_MS) > 0) {
		size = recv(connection.fd, buffer, sizeof(buffer), 0);
		if (size <= 0)
			break;
		g_string_append_len(answer, buffer, size);
	}
	close(connection.fd);
	return g_string_free(answer, FALSE);
}
