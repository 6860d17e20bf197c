/**
 * @file loopback.h
 * Sockets on the loopback address for tests. They abort if a socket can't be
 * had.
 */
#ifndef LOOPBACK_H
#define LOOPBACK_H

#include <stdint.h>

/** How one end of a connection ends it. */
enum loopback_end {
	LOOPBACK_SENDS_END = 1, /**< Shuts its sending side down; stays open. */
	LOOPBACK_RESETS = 2,	/**< Resets it and closes its socket. */
	LOOPBACK_SENDS_END_AND_RESETS = 3,
};

/** Listens on a port that the kernel chooses, and returns it. */
uint16_t loopback_listen(int *fd);
/** Listens on this port. Returns it, or 0 if it is taken. */
uint16_t loopback_listen_at(int *fd, uint16_t port);
/**
 * Returns a port that was free at the time of the call. It is below the range
 * from which the kernel takes ports for outgoing connections, so that none of
 * these can take it before the caller listens on it.
 */
uint16_t loopback_find_free_port(void);
/**
 * Listens on a port that establishes no connection, because the queue of those
 * that wait to be accepted is full. Returns the port. @p fds gets @p count
 * sockets: the one that listens and those that fill its queue.
 */
uint16_t loopback_listen_silently(int *fds, uint32_t count);
/** Holds a port on which nothing listens, so that no other process listens there
 * while the test connects to it. Returns the port. */
uint16_t loopback_hold_port(int *fd);
/** Connects to a port and returns the socket. */
int loopback_connect(uint16_t port);
/** Ends a connection of which @p fd is one end, and sets it to -1 if that closes it.
 * The other end, @p other_fd, knows it when this returns, and has been told
 * nothing yet: its next read or write is the first to meet the end. */
void loopback_end(int *fd, enum loopback_end end, int other_fd);
/** Waits until a socket has seen all of some events (poll(2)), without taking
 * them. */
void loopback_await(int fd, short events);

#endif
