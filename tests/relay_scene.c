#include "relay_scene.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform_dialect.h"
#include "platform_routes.h"
#include "service/mailbox.h"
#include "state/upstream.h"

#define WAIT_MS	  3000 /* Longest silence that a test waits out. */
#define READ_SIZE 65536

static const char document[] =
    "{\"version\":1,\"routes\":["
    "{\"name\":\"once\",\"host\":\"h\",\"pathPrefix\":\"/once/\",\"kind\":"
    "\"non_idempotent\",\"timeoutMs\":1500,\"sloMs\":300,\"service\":\"s\","
    "\"maxAttempts\":2},"
    "{\"name\":\"idem\",\"host\":\"h\",\"pathPrefix\":\"/idem/\",\"kind\":"
    "\"idempotent\",\"timeoutMs\":1500,\"sloMs\":300,\"service\":\"s\","
    "\"maxAttempts\":2},"
    "{\"name\":\"stream\",\"host\":\"h\",\"pathPrefix\":\"/stream/\","
    "\"kind\":\"streaming\",\"timeoutMs\":1500,\"sloMs\":300,\"service\":"
    "\"s\",\"maxAttempts\":2,\"resumable\":true,\"targetGapMs\":250}],"
    "\"services\":[{\"name\":\"s\",\"healthPath\":\"/health\","
    "\"engine\":{\"slots\":16,\"kvCapacityTokens\":100000,\"read_per_s\":"
    "1000000,\"pairs_per_m\":0.02}}],"
    "\"tenants\":[{\"name\":\"spa\",\"apiKeys\":[\"key1\"]}],"
    "\"limits\":{\"maxBodyBytes\":1000,\"maxHeaderBytes\":2000}}";

static uint16_t
listen_anywhere(int *fd)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t size = sizeof(address);

	*fd = socket(AF_INET, SOCK_STREAM, 0);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(*fd, (struct sockaddr *)&address, size) != 0 ||
	    listen(*fd, 64) != 0 ||
	    getsockname(*fd, (struct sockaddr *)&address, &size) != 0)
		abort();
	return ntohs(address.sin_port);
}

/* A port that was free a moment ago. */
static uint16_t
find_port(void)
{
	uint16_t port;
	int fd;

	port = listen_anywhere(&fd);
	close(fd);
	return port;
}

/* Reads one request: head, and a body by its length. */
static bool
read_request(int fd, GString *request)
{
	char buffer[READ_SIZE], *mark, *length;
	ssize_t size;
	size_t wanted;

	g_string_truncate(request, 0);
	for (;;) {
		mark = strstr(request->str, "\r\n\r\n");
		if (mark != NULL) {
			length = strstr(request->str, "Content-Length: ");
			wanted = (size_t)(mark - request->str) + 4;
			if (length != NULL && length < mark)
				wanted += strtoul(length + 16, NULL, 10);
			if (request->len >= wanted)
				return true;
		}
		size = recv(fd, buffer, sizeof(buffer), 0);
		if (size <= 0)
			return false;
		g_string_append_len(request, buffer, size);
	}
}

static char *
next_answer(struct scene_script *script, const char *request)
{
	char *answer, *id;
	GString *text;

	pthread_mutex_lock(&script->mutex);
	g_ptr_array_add(script->requests, g_strdup(request));
	answer = g_strdup(g_ptr_array_index(script->answers, 0));
	if (script->answers->len > 1)
		g_ptr_array_remove_index(script->answers, 0);
	pthread_mutex_unlock(&script->mutex);
	id = strstr(request, "Attempt-Id: ");
	id = id == NULL ? g_strdup("none")
			: g_strndup(id + 12, strcspn(id + 12, "\r"));
	text = g_string_new(answer);
	g_string_replace(text, "{ID}", id, 0);
	g_free(answer);
	g_free(id);
	return g_string_free(text, FALSE);
}

/* Says an answer; false if the connection is to end. */
static bool
say(int fd, char *answer)
{
	struct linger linger = {1, 0};
	char *mark, byte;
	bool goes_on;

	mark = strchr(answer, '<');
	goes_on = mark == NULL;
	if (strcmp(answer, "<hang>") == 0) {
		while (recv(fd, &byte, 1, 0) > 0)
			continue;
		return false;
	}
	if (mark != NULL) {
		if (strcmp(mark, "<reset>") == 0)
			setsockopt(
			    fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
		*mark = '\0';
	}
	if (send(fd, answer, strlen(answer), MSG_NOSIGNAL) < 0)
		return false;
	if (!goes_on)
		g_usleep(20000);
	return goes_on;
}

static void *
serve_connection(void *argument)
{
	struct scene_upstream *upstream = ((void **)argument)[0];
	int fd = GPOINTER_TO_INT(((void **)argument)[1]);
	GString *request;
	bool goes_on;
	char *answer;

	g_free(argument);
	request = g_string_new(NULL);
	goes_on = true;
	while (goes_on && read_request(fd, request)) {
		answer = next_answer(upstream->script, request->str);
		goes_on = say(fd, answer);
		g_free(answer);
	}
	g_string_free(request, TRUE);
	close(fd);
	return NULL;
}

static void *
serve(void *argument)
{
	struct scene_upstream *upstream = argument;
	GArray *threads;
	pthread_t thread;
	void **pair;
	guint i;
	int fd;

	threads = g_array_new(FALSE, FALSE, sizeof(pthread_t));
	while ((fd = accept(upstream->listen_fd, NULL, NULL)) >= 0) {
		pair = g_new(void *, 2);
		pair[0] = upstream;
		pair[1] = GINT_TO_POINTER(fd);
		pthread_create(&thread, NULL, serve_connection, pair);
		g_array_append_val(threads, thread);
	}
	for (i = 0; i < threads->len; i++)
		pthread_join(g_array_index(threads, pthread_t, i), NULL);
	g_array_unref(threads);
	return NULL;
}

static void
start_upstream(struct relay_scene *scene, uint32_t index)
{
	struct scene_upstream *upstream = &scene->upstreams[index];
	struct upstream_record record = {0};

	upstream->port = listen_anywhere(&upstream->listen_fd);
	snprintf(upstream->name, sizeof(upstream->name), "u%u", index);
	upstream->script = &scene->script;
	pthread_create(&upstream->thread, NULL, serve, upstream);
	snprintf(record.name, sizeof(record.name), "%s", upstream->name);
	record.id = upstream_id(record.name);
	record.incarnation = 1;
	record.sequence = 1;
	record.kind = UPSTREAM_KIND_SERVICE;
	record.state = UPSTREAM_STATE_ACTIVE;
	record.limits.warm_requests = 8;
	snprintf(
	    record.url, sizeof(record.url), "127.0.0.1:%u", upstream->port);
	snprintf(record.data_centre, sizeof(record.data_centre), "a");
	record.label_count = 1;
	g_strlcpy(record.labels[0].key, "service", NAME_SIZE_MAX);
	g_strlcpy(record.labels[0].value, "s", NAME_SIZE_MAX);
	fleet_put_upstream(&scene->host->fleet, &record);
}

void
relay_scene_init(struct relay_scene *scene)
{
	static const struct fleet_settings fleet = {
	    .host_id = 1, .data_centre = "a"};
	static const struct fleet_ops no_slots = {0};
	struct relay_settings settings = {0};
	struct field_error error;
	uint32_t i;

	memset(scene, 0, sizeof(*scene));
	scene->host = g_new0(struct host, 1);
	mailbox_init(&scene->host->mailbox, 16);
	atomic_store(&scene->host->entry_host_count, 1);
	fleet_init(&scene->host->fleet, &fleet, &no_slots);
	pthread_mutex_init(&scene->script.mutex, NULL);
	scene->script.requests = g_ptr_array_new_with_free_func(g_free);
	scene->script.answers = g_ptr_array_new_with_free_func(g_free);
	for (i = 0; i < SCENE_UPSTREAMS; i++)
		start_upstream(scene, i);
	fleet_publish(&scene->host->fleet);
	scene->port = find_port();
	scene->ready_port = find_port();
	g_strlcpy(settings.entry.ip, "127.0.0.1", sizeof(settings.entry.ip));
	settings.entry.port = scene->port;
	settings.readiness = settings.entry;
	settings.readiness.port = scene->ready_port;
	settings.connections_max = 100;
	settings.retry_ratio = 1;
	settings.retry_slack = 10;
	settings.retry_window_ms = 10000;
	settings.stop_accept_ms = 60000;
	settings.dialect = platform_dialect;
	if (relay_init(&scene->relay, &settings, scene->host, 1) !=
		ERROR_NONE ||
	    relay_start(&scene->relay) != ERROR_NONE)
		abort();
	relay_set_table(&scene->relay,
	    platform_routes_parse(document, strlen(document), &error));
}

void
relay_scene_finish(struct relay_scene *scene)
{
	struct scene_upstream *upstream;
	uint32_t i;

	relay_stop(&scene->relay);
	/* The host's thread ends later and still brings news. */
	relay_receive_report(&scene->relay, 1, "", 0);
	relay_set_table(&scene->relay, NULL);
	relay_finish(&scene->relay);
	for (i = 0; i < SCENE_UPSTREAMS; i++) {
		upstream = &scene->upstreams[i];
		shutdown(upstream->listen_fd, SHUT_RDWR);
		close(upstream->listen_fd);
		pthread_join(upstream->thread, NULL);
	}
	g_ptr_array_unref(scene->script.requests);
	g_ptr_array_unref(scene->script.answers);
	pthread_mutex_destroy(&scene->script.mutex);
	mailbox_close(&scene->host->mailbox);
	mailbox_finish(&scene->host->mailbox);
	fleet_finish(&scene->host->fleet);
	g_free(scene->host);
}

void
relay_scene_answer(struct relay_scene *scene, const char *answer)
{
	pthread_mutex_lock(&scene->script.mutex);
	g_ptr_array_add(scene->script.answers, g_strdup(answer));
	pthread_mutex_unlock(&scene->script.mutex);
}

static int
connect_to(uint16_t port)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	int fd;

	fd = socket(AF_INET, SOCK_STREAM, 0);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons(port);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0)
		abort();
	return fd;
}

int
relay_scene_connect(struct relay_scene *scene)
{
	return connect_to(scene->port);
}

static bool
is_whole(const GString *answer)
{
	char *mark, *length;

	mark = strstr(answer->str, "\r\n\r\n");
	if (mark == NULL)
		return false;
	if (strstr(answer->str, "chunked") != NULL)
		return g_str_has_suffix(answer->str, "\r\n0\r\n\r\n");
	length = strstr(answer->str, "Content-Length: ");
	return length != NULL && length < mark &&
	       answer->len >= (size_t)(mark - answer->str) + 4 +
				  strtoul(length + 16, NULL, 10);
}

static char *
ask(uint16_t port, const char *request)
{
	struct pollfd waiting = {.events = POLLIN};
	char buffer[READ_SIZE];
	GString *answer;
	ssize_t size;

	waiting.fd = connect_to(port);
	answer = g_string_new(NULL);
	if (send(waiting.fd, request, strlen(request), MSG_NOSIGNAL) < 0)
		abort();
	while (!is_whole(answer) && poll(&waiting, 1, WAIT_MS) > 0) {
		size = recv(waiting.fd, buffer, sizeof(buffer), 0);
		if (size <= 0)
			break;
		g_string_append_len(answer, buffer, size);
	}
	close(waiting.fd);
	return g_string_free(answer, FALSE);
}

char *
relay_scene_ask(struct relay_scene *scene, const char *request)
{
	return ask(scene->port, request);
}

char *
relay_scene_ask_monitor(struct relay_scene *scene, const char *path)
{
	char *request, *answer;

	request = g_strdup_printf("GET %s HTTP/1.1\r\nHost: b\r\n\r\n", path);
	answer = ask(scene->ready_port, request);
	g_free(request);
	return answer;
}

uint32_t
relay_scene_count(struct relay_scene *scene)
{
	uint32_t count;

	pthread_mutex_lock(&scene->script.mutex);
	count = scene->script.requests->len;
	pthread_mutex_unlock(&scene->script.mutex);
	return count;
}

char *
relay_scene_request(struct relay_scene *scene, uint32_t index)
{
	char *found;

	pthread_mutex_lock(&scene->script.mutex);
	found = index < scene->script.requests->len
		    ? g_strdup(g_ptr_array_index(scene->script.requests, index))
		    : NULL;
	pthread_mutex_unlock(&scene->script.mutex);
	return found;
}
