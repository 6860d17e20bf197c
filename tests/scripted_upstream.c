#include "scripted_upstream.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "loopback.h"

#define READ_SIZE  65536
#define SLOW_MARK  "<slow>"
#define PAUSE_MARK "<pause>"
#define AGAIN_MARK "<again>"
/* Time between a repeated answer and the one that the request is owed. */
#define AGAIN_GAP_US 20000

static bool read_request(int fd, GString *request);
static char *take_next_answer(
    struct upstream_script *script, const char *request);
static void send_without_end(struct upstream_script *script, int fd);
static char *send_until_pause(int fd, char *answer);
static bool send_answer(struct upstream_script *script, int fd, char *answer);
static void count(struct upstream_script *script, uint32_t *counter);
static char *repeat_answer(
    struct upstream_script *script, int fd, const char *last, char *answer);
static void *serve_connection(void *argument);
static bool listen_again(struct scripted_upstream *upstream);
static void *accept_connections(void *argument);

void
scripted_upstream_start(struct scripted_upstream *upstream,
    struct upstream_script *script, uint32_t index)
{
	int fd;

	upstream->port = loopback_listen(&fd);
	atomic_store(&upstream->listen_fd, fd);
	upstream->announced_port = upstream->port;
	snprintf(upstream->name, sizeof(upstream->name), "u%u", index);
	upstream->script = script;
	atomic_store(&upstream->incarnation, 1);
	pthread_create(&upstream->thread, NULL, accept_connections, upstream);
}

void
scripted_upstream_cut(struct scripted_upstream *upstream)
{
	atomic_store(&upstream->is_stopping, true);
	shutdown(upstream->listen_fd, SHUT_RDWR);
}

void
scripted_upstream_finish(struct scripted_upstream *upstream)
{
	uint32_t i;

	pthread_join(upstream->thread, NULL);
	for (i = 0; i < SCRIPTED_UPSTREAM_SILENT_FDS; i++) {
		if (upstream->silent_fds[i] > 0)
			close(upstream->silent_fds[i]);
	}
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
	g_usleep(SCRIPTED_UPSTREAM_PAUSE_US);
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
		g_usleep(SCRIPTED_UPSTREAM_SLOW_US);
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
	g_usleep(SCRIPTED_UPSTREAM_DOWN_US);
	if (atomic_load(&upstream->is_stopping))
		return false;
	if (loopback_listen_at(&fd, upstream->port) == 0)
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
