#include "relay_fixture.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/event_log.h"
#include "host/host_reports.h"
#include "host/mailbox.h"
#include "platform_dialect.h"
#include "platform_routes.h"
#include "state/upstream.h"

#define SILENCE_MAX_MS 3000 /* Longest wait for further bytes. */
#define READ_SIZE      65536
#define SLOW_MARK      "<slow>"
#define PAUSE_MARK     "<pause>"
#define AGAIN_MARK     "<again>"
/* Time between a repeated answer and the one that the request is owed. */
#define AGAIN_GAP_US 20000
/* What the answer of an upstream that did not run the request contains. */
#define REFUSAL_FIELD  "Not-Executed:"
#define REFUSAL_STATUS "HTTP/1.1 421 "
/* Ports on which the relays of tests listen. */
#define PORT_FIRST	  20000
#define PORT_COUNT	  12000
#define PORTS_PER_PROCESS 97

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

/* Listens on a port of the loopback address, 0 for any. Returns the port, or 0
 * if it is taken. */
static uint16_t
listen_at(int *fd, uint16_t port)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t size = sizeof(address);
	int reuse = 1;

	*fd = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(*fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons(port);
	if (bind(*fd, (struct sockaddr *)&address, size) == 0 &&
	    listen(*fd, 64) == 0 &&
	    getsockname(*fd, (struct sockaddr *)&address, &size) == 0)
		return ntohs(address.sin_port);
	close(*fd);
	return 0;
}

static uint16_t
listen_anywhere(int *fd)
{
	uint16_t port;

	port = listen_at(fd, 0);
	if (port == 0)
		abort();
	return port;
}

/* Returns a port that was free at the time of the call. It is below the range
 * from which the kernel takes ports for outgoing connections, so that none of
 * these can take it before the relay listens on it. */
static uint16_t
find_free_port(void)
{
	static uint32_t next;
	uint16_t port;
	int fd;

	if (next == 0)
		next = (uint32_t)getpid() * PORTS_PER_PROCESS;
	do {
		port = (uint16_t)(PORT_FIRST + next++ % PORT_COUNT);
	} while (listen_at(&fd, port) == 0);
	close(fd);
	return port;
}

/* Reads a request, with the body that Content-Length announces. False if the
 * connection ends before that. */
static bool
read_request(int fd, GString *request)
{
	char buffer[READ_SIZE], *head_end, *length;
	ssize_t size;
	size_t wanted;

	g_string_truncate(request, 0);
	for (;;) {
		head_end = strstr(request->str, "\r\n\r\n");
		if (head_end != NULL) {
			length = strstr(request->str, "Content-Length: ");
			wanted = (size_t)(head_end - request->str) + 4;
			if (length != NULL && length < head_end)
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
take_next_answer(struct upstream_script *script, const char *request)
{
	char *answer, *id;
	GString *text;

	pthread_mutex_lock(&script->mutex);
	g_ptr_array_add(script->requests, g_strdup(request));
	answer = g_strdup(g_ptr_array_index(script->answers, 0));
	g_ptr_array_add(script->given, g_strdup(answer));
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

/* Sends a text again and again until the peer closes the connection. */
static void
send_without_end(struct upstream_script *script, int fd)
{
	int buffer_size = READ_SIZE;
	GString *text;
	ssize_t sent;

	setsockopt(
	    fd, SOL_SOCKET, SO_SNDBUF, &buffer_size, sizeof(buffer_size));
	text = g_string_new(script->endless);
	while (text->len < READ_SIZE)
		g_string_append(text, script->endless);
	while ((sent = send(fd, text->str, text->len, MSG_NOSIGNAL)) > 0)
		atomic_fetch_add(&script->endless_bytes, (uint64_t)sent);
	g_string_free(text, TRUE);
}

/* Sends what comes before the mark of a pause, and waits. Returns the rest. */
static char *
send_until_pause(int fd, char *answer)
{
	char *mark = strstr(answer, PAUSE_MARK);

	if (mark == NULL)
		return answer;
	(void)send(fd, answer, (size_t)(mark - answer), MSG_NOSIGNAL);
	g_usleep(RELAY_FIXTURE_PAUSE_US);
	return mark + strlen(PAUSE_MARK);
}

/* Sends an answer and follows its "<...>" mark. False if the connection is to
 * be closed. */
static bool
send_answer(struct upstream_script *script, int fd, char *answer)
{
	struct linger linger = {1, 0};
	char *mark, byte;
	bool keep_open, is_endless;

	if (g_str_has_prefix(answer, SLOW_MARK)) {
		g_usleep(RELAY_FIXTURE_SLOW_US);
		answer += strlen(SLOW_MARK);
	}
	answer = send_until_pause(fd, answer);
	mark = strchr(answer, '<');
	keep_open = mark == NULL;
	if (strcmp(answer, "<hang>") == 0) {
		while (recv(fd, &byte, 1, 0) > 0)
			continue;
		return false;
	}
	is_endless = mark != NULL && strcmp(mark, "<endless>") == 0;
	if (mark != NULL) {
		if (strcmp(mark, "<reset>") == 0 ||
		    strcmp(mark, "<crash>") == 0)
			setsockopt(
			    fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
		*mark = '\0';
	}
	if (send(fd, answer, strlen(answer), MSG_NOSIGNAL) < 0)
		return false;
	if (is_endless)
		send_without_end(script, fd);
	if (!keep_open)
		g_usleep(20000);
	return keep_open;
}

static void
count(struct upstream_script *script, uint32_t *counter)
{
	pthread_mutex_lock(&script->mutex);
	(*counter)++;
	pthread_mutex_unlock(&script->mutex);
}

/* Writes the last answer of the connection once more for each mark of the next
 * one. Returns what follows the marks. */
static char *
repeat_answer(
    struct upstream_script *script, int fd, const char *last, char *answer)
{
	bool is_sent;

	is_sent = false;
	while (g_str_has_prefix(answer, AGAIN_MARK)) {
		answer += strlen(AGAIN_MARK);
		is_sent = last[0] != '\0' &&
			  send(fd, last, strlen(last), MSG_NOSIGNAL) >= 0;
	}
	if (!is_sent)
		return answer;
	count(script, &script->repeated);
	g_usleep(AGAIN_GAP_US);
	return answer;
}

static void *
serve_connection(void *argument)
{
	struct scripted_upstream *upstream = ((void **)argument)[0];
	int fd = GPOINTER_TO_INT(((void **)argument)[1]);
	GString *request, *last;
	char *answer, *next;
	bool keep_open;

	g_free(argument);
	count(upstream->script, &upstream->script->opened);
	request = g_string_new(NULL);
	last = g_string_new(NULL);
	keep_open = true;
	while (keep_open && read_request(fd, request)) {
		answer = take_next_answer(upstream->script, request->str);
		/* Ends accept() in the other thread. */
		if (strcmp(answer, "<crash>") == 0)
			shutdown(upstream->listen_fd, SHUT_RDWR);
		next = repeat_answer(upstream->script, fd, last->str, answer);
		g_string_assign(last, next);
		keep_open = send_answer(upstream->script, fd, next);
		g_free(answer);
	}
	g_string_free(request, TRUE);
	g_string_free(last, TRUE);
	count(upstream->script, &upstream->script->closed);
	close(fd);
	return NULL;
}

/* Listens again some time after a crash. False if the upstream is to end. */
static bool
listen_again(struct scripted_upstream *upstream)
{
	int fd;

	close(upstream->listen_fd);
	if (atomic_load(&upstream->is_stopping))
		return false;
	g_usleep(RELAY_FIXTURE_DOWN_US);
	if (atomic_load(&upstream->is_stopping))
		return false;
	if (listen_at(&fd, upstream->port) == 0)
		return false;
	atomic_store(&upstream->listen_fd, fd);
	atomic_fetch_add(&upstream->incarnation, 1);
	return true;
}

static void *
accept_connections(void *argument)
{
	struct scripted_upstream *upstream = argument;
	GArray *threads;
	pthread_t thread;
	void **pair;
	guint i;
	int fd;

	threads = g_array_new(FALSE, FALSE, sizeof(pthread_t));
	do {
		fd = accept(upstream->listen_fd, NULL, NULL);
		if (fd < 0)
			continue;
		pair = g_new(void *, 2);
		pair[0] = upstream;
		pair[1] = GINT_TO_POINTER(fd);
		pthread_create(&thread, NULL, serve_connection, pair);
		g_array_append_val(threads, thread);
	} while (fd >= 0 || listen_again(upstream));
	for (i = 0; i < threads->len; i++)
		pthread_join(g_array_index(threads, pthread_t, i), NULL);
	g_array_unref(threads);
	return NULL;
}

/* Tells the host of the upstream's present incarnation, if it is new. */
static void
announce(struct host *host, struct scripted_upstream *upstream)
{
	struct upstream_record record = {0};

	record.incarnation = atomic_load(&upstream->incarnation);
	if (record.incarnation == upstream->known_incarnation)
		return;
	upstream->known_incarnation = record.incarnation;
	snprintf(record.name, sizeof(record.name), "%s", upstream->name);
	record.id = upstream_id(record.name);
	record.sequence = 1;
	record.kind = UPSTREAM_KIND_SERVICE;
	record.state = UPSTREAM_STATE_ACTIVE;
	record.limits.warm_requests = 8;
	snprintf(record.url, sizeof(record.url), "127.0.0.1:%u",
	    upstream->announced_port);
	snprintf(record.data_centre, sizeof(record.data_centre), "a");
	record.label_count = 1;
	g_strlcpy(record.labels[0].key, "service", NAME_SIZE_MAX);
	g_strlcpy(record.labels[0].value, "s", NAME_SIZE_MAX);
	fleet_put_upstream(&host->fleet, &record);
}

/* Listens on a port that establishes no connection, because the queue of those
 * that wait to be accepted is full. */
static uint16_t
listen_silently(int *fds)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	uint16_t port;
	uint32_t i;

	port = listen_anywhere(&fds[0]);
	if (listen(fds[0], 0) != 0)
		abort();
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons(port);
	for (i = 1; i < RELAY_FIXTURE_SILENT_FDS; i++) {
		fds[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		/* The later ones stay half open. */
		(void)connect(
		    fds[i], (struct sockaddr *)&address, sizeof(address));
	}
	return port;
}

/* Holds a port on which nothing listens, so that no other process listens there
 * while the test connects to it. */
static uint16_t
hold_port(int *fd)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t size = sizeof(address);

	*fd = socket(AF_INET, SOCK_STREAM, 0);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(*fd, (struct sockaddr *)&address, size) != 0 ||
	    getsockname(*fd, (struct sockaddr *)&address, &size) != 0)
		abort();
	return ntohs(address.sin_port);
}

static uint16_t
choose_announced_port(
    struct scripted_upstream *upstream, enum relay_fixture_path path)
{
	switch (path) {
	case RELAY_FIXTURE_REFUSED:
		return hold_port(&upstream->silent_fds[0]);
	case RELAY_FIXTURE_SILENT:
		return listen_silently(upstream->silent_fds);
	default:
		return upstream->port;
	}
}

static void
start_upstream(
    struct relay_fixture *fixture, uint32_t index, enum relay_fixture_path path)
{
	struct scripted_upstream *upstream = &fixture->upstreams[index];
	int fd;

	upstream->port = listen_anywhere(&fd);
	atomic_store(&upstream->listen_fd, fd);
	upstream->announced_port = choose_announced_port(upstream, path);
	snprintf(upstream->name, sizeof(upstream->name), "u%u", index);
	upstream->script = &fixture->script;
	atomic_store(&upstream->incarnation, 1);
	pthread_create(&upstream->thread, NULL, accept_connections, upstream);
	announce(fixture->host, upstream);
}

static void
commit_at_once(
    void *context, const struct quarantine_entry *entries, uint32_t count)
{
	struct host *host = context;
	uint32_t i;

	for (i = 0; i < count; i++)
		quarantine_record_commit(
		    &host->quarantine, entries[i].fingerprint, true);
}

/* A commit that fails is kept on the host, where it counts as well. */
static void
commit_no_parts(void *context, uint64_t id, enum command_type type,
    const struct command_parts *parts)
{
	struct host *host = context;

	(void)type;
	(void)parts;
	part_suspects_record_commit(&host->part_suspects, id, ERROR_NO_QUORUM);
}

static bool
is_never_trial_host(void *context, uint64_t part)
{
	(void)context;
	(void)part;
	return false;
}

/* What the coordination thread of a host does for its relay. */
static void *
run_coordinator(void *argument)
{
	struct relay_fixture *fixture = argument;
	struct host *host = fixture->host;
	uint32_t i;

	while (!atomic_load(&fixture->is_stopping)) {
		for (i = 0; i < RELAY_FIXTURE_UPSTREAMS; i++)
			announce(host, &fixture->upstreams[i]);
		mailbox_run(&host->mailbox, host);
		timer_advance(&host->timers, host_now_ms());
		host_suspects_on_loop_pass(host);
		g_usleep(2000);
	}
	return NULL;
}

/* A message from another host. */
struct received_message {
	uint32_t from_host;
	GBytes *bytes;
};

static void
run_received(void *coordinator, struct mailbox_call *call)
{
	struct received_message *message = mailbox_call_body(call);
	struct host *host = coordinator;
	gconstpointer data;
	gsize size;

	data = g_bytes_get_data(message->bytes, &size);
	host_reports_receive(host, message->from_host, data, size);
	mailbox_complete(&host->mailbox, call, ERROR_NONE);
}

static void
clear_received(void *body)
{
	g_bytes_unref(((struct received_message *)body)->bytes);
}

static void
send_to_peer(void *context, uint32_t host_id, enum peer_channel channel,
    const void *body, size_t size)
{
	static const struct mailbox_ops ops = {run_received, clear_received};
	struct relay_fixture *fixture = context;
	struct received_message *message;
	struct relay_fixture *peer;
	struct mailbox_call *call;

	(void)host_id;
	(void)channel;
	pthread_mutex_lock(&fixture->peer_mutex);
	peer = fixture->peer;
	if (peer == NULL) {
		pthread_mutex_unlock(&fixture->peer_mutex);
		return;
	}
	call = mailbox_call_new(&ops, sizeof(*message));
	message = mailbox_call_body(call);
	message->from_host = fixture->host_id;
	message->bytes = g_bytes_new(body, size);
	(void)mailbox_post(&peer->host->mailbox, call);
	pthread_mutex_unlock(&fixture->peer_mutex);
}

static uint32_t
list_peer(void *context, struct report_peer *peers, uint32_t max)
{
	struct relay_fixture *fixture = context;
	uint32_t count;

	count = 0;
	pthread_mutex_lock(&fixture->peer_mutex);
	if (fixture->peer != NULL && max > 0)
		peers[count++] =
		    (struct report_peer){.host_id = fixture->peer->host_id};
	pthread_mutex_unlock(&fixture->peer_mutex);
	return count;
}

static void
on_work_report(void *context, uint32_t from_host, const void *body, size_t size,
    int64_t age_ms)
{
	struct relay_fixture *fixture = context;

	relay_receive_report(&fixture->relay, from_host, body, size, age_ms);
	atomic_fetch_add(&fixture->reports_received, 1);
}

static void
start_coordinator(struct relay_fixture *fixture)
{
	struct report_exchange_settings reports = {.host_id = fixture->host_id};
	struct report_exchange_ops report_ops = {.list_peers = list_peer,
	    .on_report = on_work_report,
	    .context = fixture};
	struct peer_port port = {.send = send_to_peer, .context = fixture};
	struct quarantine_settings settings = quarantine_default_settings();
	struct host *host = fixture->host;
	struct quarantine_ops ops = {.commit = commit_at_once, .context = host};
	struct part_suspects_ops part_ops = {.commit = commit_no_parts,
	    .is_trial_host = is_never_trial_host,
	    .context = host};

	timer_init(&host->timers, 64, host_now_ms());
	host->work_watch.on_received = on_work_report;
	host->work_watch.context = fixture;
	report_exchange_init(
	    &host->reports, &reports, &host->timers, 1, port, report_ops);
	if (host_suspects_init(host) != ERROR_NONE)
		abort();
	part_suspects_finish(&host->part_suspects);
	quarantine_finish(&host->quarantine);
	if (part_suspects_init(
		&host->part_suspects, &part_ops, &host->timers) != ERROR_NONE)
		abort();
	if (quarantine_init(&host->quarantine, &settings, &ops,
		&host->timers) != ERROR_NONE)
		abort();
	pthread_create(&fixture->coordinator, NULL, run_coordinator, fixture);
}

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
	struct relay_settings settings = {0};
	struct field_error error;
	uint32_t i;

	memset(fixture, 0, sizeof(*fixture));
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
	start_coordinator(fixture);
	fixture->port = find_free_port();
	fixture->ready_port = find_free_port();
	g_strlcpy(settings.entry.ip, "127.0.0.1", sizeof(settings.entry.ip));
	settings.entry.port = fixture->port;
	settings.readiness = settings.entry;
	settings.readiness.port = fixture->ready_port;
	settings.forwarded = settings.entry;
	settings.forwarded.port = find_free_port();
	settings.connections_max = 100;
	settings.retry_ratio = 1;
	settings.retry_slack = 10;
	settings.retry_window_ms = 10000;
	settings.stop_accept_ms = 60000;
	settings.dialect = platform_dialect;
	if (relay_init(&fixture->relay, &settings, fixture->host, host_id) !=
		ERROR_NONE ||
	    relay_start(&fixture->relay) != ERROR_NONE)
		abort();
	relay_set_table(&fixture->relay,
	    platform_routes_parse(document, strlen(document), &error));
}

void
relay_fixture_finish(struct relay_fixture *fixture)
{
	struct scripted_upstream *upstream;
	uint32_t i, j;

	relay_stop(&fixture->relay);
	/* The host's thread may deliver a report after the relay stopped. */
	relay_receive_report(&fixture->relay, 1, "", 0, 0);
	relay_set_table(&fixture->relay, NULL);
	atomic_store(&fixture->is_stopping, true);
	pthread_join(fixture->coordinator, NULL);
	relay_finish(&fixture->relay);
	relay_fixture_cut(fixture);
	for (i = 0; i < RELAY_FIXTURE_UPSTREAMS; i++) {
		upstream = &fixture->upstreams[i];
		pthread_join(upstream->thread, NULL);
		for (j = 0; j < RELAY_FIXTURE_SILENT_FDS; j++) {
			if (upstream->silent_fds[j] > 0)
				close(upstream->silent_fds[j]);
		}
	}
	g_ptr_array_unref(fixture->script.requests);
	g_ptr_array_unref(fixture->script.answers);
	g_ptr_array_unref(fixture->script.given);
	pthread_mutex_destroy(&fixture->script.mutex);
	pthread_mutex_destroy(&fixture->peer_mutex);
	host_suspects_finish(fixture->host);
	report_exchange_finish(&fixture->host->reports);
	timer_finish(&fixture->host->timers);
	mailbox_close(&fixture->host->mailbox);
	mailbox_finish(&fixture->host->mailbox);
	fleet_finish(&fixture->host->fleet);
	g_free(fixture->host);
}

static void
set_peer(struct relay_fixture *fixture, struct relay_fixture *peer)
{
	pthread_mutex_lock(&fixture->peer_mutex);
	fixture->peer = peer;
	pthread_mutex_unlock(&fixture->peer_mutex);
}

void
relay_fixture_link(struct relay_fixture *first, struct relay_fixture *second)
{
	atomic_store(&first->host->entry_host_count, 2);
	atomic_store(&second->host->entry_host_count, 2);
	atomic_store(&second->host->entry_host_rank, 1);
	set_peer(first, second);
	set_peer(second, first);
}

void
relay_fixture_unlink(struct relay_fixture *first, struct relay_fixture *second)
{
	set_peer(first, NULL);
	set_peer(second, NULL);
}

void
relay_fixture_cut(struct relay_fixture *fixture)
{
	uint32_t i;

	for (i = 0; i < RELAY_FIXTURE_UPSTREAMS; i++) {
		atomic_store(&fixture->upstreams[i].is_stopping, true);
		shutdown(fixture->upstreams[i].listen_fd, SHUT_RDWR);
	}
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
relay_fixture_connect(struct relay_fixture *fixture)
{
	return connect_to(fixture->port);
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

	connection.fd = connect_to(port);
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
	uint32_t repeated;

	pthread_mutex_lock(&fixture->script.mutex);
	repeated = fixture->script.repeated;
	pthread_mutex_unlock(&fixture->script.mutex);
	return repeated;
}

uint32_t
relay_fixture_opened(struct relay_fixture *fixture)
{
	uint32_t opened;

	pthread_mutex_lock(&fixture->script.mutex);
	opened = fixture->script.opened;
	pthread_mutex_unlock(&fixture->script.mutex);
	return opened;
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
