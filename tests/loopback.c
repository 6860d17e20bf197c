#define _GNU_SOURCE /* For POLLRDHUP. */

#include "loopback.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

/* Ports that loopback_find_free_port() returns. */
#define PORT_FIRST	  20000
#define PORT_COUNT	  12000
#define PORTS_PER_PROCESS 97
/* Longest wait for what a socket is to see. */
#define AWAIT_MS 20000

uint16_t
loopback_listen_at(int *fd, uint16_t port)
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

uint16_t
loopback_listen(int *fd)
{
	uint16_t port;

	port = loopback_listen_at(fd, 0);
	if (port == 0)
		abort();
	return port;
}

uint16_t
loopback_find_free_port(void)
{
	static uint32_t next;
	uint16_t port;
	int fd;

	if (next == 0)
		next = (uint32_t)getpid() * PORTS_PER_PROCESS;
	do {
		port = (uint16_t)(PORT_FIRST + next++ % PORT_COUNT);
	} while (loopback_listen_at(&fd, port) == 0);
	close(fd);
	return port;
}

uint16_t
loopback_listen_silently(int *fds, uint32_t count)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	uint16_t port;
	uint32_t i;

	port = loopback_listen(&fds[0]);
	if (listen(fds[0], 0) != 0)
		abort();
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons(port);
	for (i = 1; i < count; i++) {
		fds[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		/* The later ones stay half open. */
		(void)connect(
		    fds[i], (struct sockaddr *)&address, sizeof(address));
	}
	return port;
}

uint16_t
loopback_hold_port(int *fd)
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

int
loopback_connect(uint16_t port)
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

void
loopback_end(int *fd, enum loopback_end end, int other_fd)
{
	struct linger linger = {1, 0};

	if (end != LOOPBACK_RESETS) {
		if (shutdown(*fd, SHUT_WR) != 0)
			abort();
		loopback_await(other_fd, POLLRDHUP);
	}
	if (end == LOOPBACK_SENDS_END)
		return;
	setsockopt(*fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(*fd);
	*fd = -1;
	loopback_await(other_fd, POLLHUP);
}

void
loopback_await(int fd, short events)
{
	struct pollfd polled = {.fd = fd, .events = events};

	while ((polled.revents & events) != events) {
		if (poll(&polled, 1, AWAIT_MS) != 1)
			abort();
	}
}
