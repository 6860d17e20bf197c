#include "fake_upstream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define POLL_MS	    5	  /* Time between checks for a stop. */
#define BUFFER_SIZE 65536 /* Bytes per read of a body. */

static void *run(void *context);
static void serve(struct fake_upstream *upstream, int connection);
static void repeat_last_line(
    const struct fake_upstream *upstream, int connection);
static bool await_bytes(const struct fake_upstream *upstream, int connection);
static bool read_head(
    struct fake_upstream *upstream, int connection, size_t *body_read);
static void read_body(
    struct fake_upstream *upstream, int connection, size_t done);
static void count_body(
    struct fake_upstream *upstream, const char *bytes, size_t size);
static void close_connection(struct fake_upstream *upstream, int connection);

void
fake_upstream_init(struct fake_upstream *upstream, uint16_t port,
    const char *reply, enum fake_upstream_end end)
{
	struct sockaddr_in address;
	int enabled = 1;

	memset(upstream, 0, sizeof(*upstream));
	upstream->port = port;
	upstream->reply = reply;
	upstream->end = end;
	memset(&address, 0, sizeof(address));
	address.sin_family = AF_INET;
	address.sin_port = htons(port);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	upstream->listener = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(upstream->listener, SOL_SOCKET, SO_REUSEADDR, &enabled,
	    sizeof(enabled));
	if (bind(upstream->listener, (struct sockaddr *)&address,
		sizeof(address)) != 0 ||
	    listen(upstream->listener, 16) != 0 ||
	    pthread_create(&upstream->thread, NULL, run, upstream) != 0)
		abort();
}

void
fake_upstream_finish(struct fake_upstream *upstream)
{
	upstream->stopping = true;
	pthread_join(upstream->thread, NULL);
	close(upstream->listener);
}

static void *
run(void *context)
{
	struct fake_upstream *upstream = context;
	struct pollfd listener_poll;
	int connection;

	listener_poll.fd = upstream->listener;
	listener_poll.events = POLLIN;
	while (!upstream->stopping) {
		if (poll(&listener_poll, 1, POLL_MS) <= 0)
			continue;
		connection = accept(upstream->listener, NULL, NULL);
		upstream->connections++;
		if (upstream->end != FAKE_UPSTREAM_RESETS_UNREAD)
			serve(upstream, connection);
		close_connection(upstream, connection);
	}
	return NULL;
}

static void
serve(struct fake_upstream *upstream, int connection)
{
	const char *reply = upstream->reply;
	size_t body_read;
	size_t size;

	if (upstream->first_reply != NULL && upstream->connections == 1)
		reply = upstream->first_reply;
	upstream->body_size = 0;
	upstream->body_sum = 0;
	if (!read_head(upstream, connection, &body_read))
		return;
	if (upstream->end != FAKE_UPSTREAM_RESETS_EARLY)
		read_body(upstream, connection, body_read);
	size = strlen(reply);
	if (write(connection, reply, size) != (ssize_t)size)
		return;
	while (upstream->end == FAKE_UPSTREAM_KEEPS &&
	       await_bytes(upstream, connection) &&
	       read_head(upstream, connection, &body_read)) {
		read_body(upstream, connection, body_read);
		upstream->kept_requests++;
		if (write(connection, reply, size) != (ssize_t)size)
			return;
	}
	if (upstream->end == FAKE_UPSTREAM_REPEATS)
		repeat_last_line(upstream, connection);
	if (upstream->end != FAKE_UPSTREAM_STALLS)
		return;
	while (!upstream->stopping) {
		char byte;

		if (recv(connection, &byte, 1, MSG_DONTWAIT) == 0) {
			upstream->closed_by_caller++;
			return;
		}
		usleep(POLL_MS * 1000);
	}
}

static void
repeat_last_line(const struct fake_upstream *upstream, int connection)
{
	const char *line;

	line = upstream->reply + strlen(upstream->reply) - 1;
	while (line > upstream->reply && line[-1] != '\n')
		line--;
	while (!upstream->stopping &&
	       send(connection, line, strlen(line), MSG_NOSIGNAL) > 0)
		continue;
}

/* Waits for bytes or the end of a kept connection; returns false if the upstream
 * is stopped before. */
static bool
await_bytes(const struct fake_upstream *upstream, int connection)
{
	struct pollfd connection_poll = {connection, POLLIN, 0};

	while (!upstream->stopping) {
		if (poll(&connection_poll, 1, POLL_MS) > 0)
			return true;
	}
	return false;
}

static bool
read_head(struct fake_upstream *upstream, int connection, size_t *body_read)
{
	size_t done;
	ssize_t size;
	char *end;

	done = 0;
	do {
		size = read(connection, upstream->request_head + done,
		    sizeof(upstream->request_head) - 1 - done);
		if (size <= 0)
			return false;
		done += (size_t)size;
		upstream->request_head[done] = '\0';
		end = strstr(upstream->request_head, "\r\n\r\n");
	} while (end == NULL);
	end += 4;
	*body_read = done - (size_t)(end - upstream->request_head);
	count_body(upstream, end, *body_read);
	*end = '\0';
	return true;
}

static void
read_body(struct fake_upstream *upstream, int connection, size_t done)
{
	char *buffer;
	const char *length;
	size_t wanted;
	ssize_t size;

	length = strstr(upstream->request_head, "Content-Length: ");
	wanted = length == NULL
		     ? 0
		     : strtoul(length + strlen("Content-Length: "), NULL, 10);
	buffer = malloc(BUFFER_SIZE);
	while (done < wanted) {
		size = read(connection, buffer, BUFFER_SIZE);
		if (size <= 0)
			break;
		count_body(upstream, buffer, (size_t)size);
		done += (size_t)size;
	}
	free(buffer);
}

static void
count_body(struct fake_upstream *upstream, const char *bytes, size_t size)
{
	uint64_t sum;
	size_t i;

	sum = 0;
	for (i = 0; i < size; i++)
		sum += (unsigned char)bytes[i];
	upstream->body_size += size;
	upstream->body_sum += sum;
}

static void
close_connection(struct fake_upstream *upstream, int connection)
{
	struct linger reset_on_close = {1, 0};

	if (upstream->end == FAKE_UPSTREAM_RESETS ||
	    upstream->end == FAKE_UPSTREAM_RESETS_EARLY ||
	    upstream->end == FAKE_UPSTREAM_RESETS_UNREAD)
		setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset_on_close,
		    sizeof(reset_on_close));
	close(connection);
}
