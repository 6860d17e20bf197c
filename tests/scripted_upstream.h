/**
 * @file scripted_upstream.h
 * Upstreams of tests that give the answers of a script, right or wrong, over real
 * connections.
 */
#ifndef SCRIPTED_UPSTREAM_H
#define SCRIPTED_UPSTREAM_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "config.h"

/** Sockets of a port that establishes no connection: one that listens and those
 * that fill its queue. */
#define SCRIPTED_UPSTREAM_SILENT_FDS 4
/** Delay of a slow answer, in microseconds. */
#define SCRIPTED_UPSTREAM_SLOW_US 200000
/** Time for which an upstream pauses within an answer, in microseconds. */
#define SCRIPTED_UPSTREAM_PAUSE_US 2500000
/** Time for which a crashed upstream is down, in microseconds. */
#define SCRIPTED_UPSTREAM_DOWN_US 100000

/**
 * Answers of the upstreams, used in the order in which requests reach any of
 * them; the last answer is used again. An answer that ends with "<reset>"
 * resets the connection, one that ends with "<close>" closes it. The answer
 * "<hang>" sends nothing until the relay closes the connection. After the answer
 * "<crash>" the upstream resets the connection and accepts no other for
 * SCRIPTED_UPSTREAM_DOWN_US. After an answer that ends with "<endless>" the text in
 * "endless" follows again and again, until the relay closes the connection. An
 * answer that begins with "<slow>" is sent after
 * SCRIPTED_UPSTREAM_SLOW_US. Before one that begins with "<again>", once or
 * several times, the upstream writes the last answer that it gave on the same
 * connection as often, if there is one. At the mark "<pause>" within an answer it
 * is silent for SCRIPTED_UPSTREAM_PAUSE_US.
 */
struct upstream_script {
	pthread_mutex_t mutex; /**< Protects what follows. */
	GPtrArray *answers;    /**< Answers not sent yet, as text. */
	GPtrArray *requests;   /**< Requests received, as text. */
	GPtrArray *given;      /**< The answers to them, with marks. */
	uint32_t repeated; /**< Requests before whose answer an earlier one was
				    written once more. */
	uint32_t opened;   /**< Connections that were accepted. */
	uint32_t closed;   /**< Of these, those that have ended. */
	const char *endless; /**< Text that is repeated without end. */
	_Atomic uint64_t endless_bytes; /**< Bytes of it that were sent. */
};

/** An upstream that answers by the script. */
struct scripted_upstream {
	struct upstream_script *script; /**< Shared by all upstreams. */
	_Atomic int listen_fd;		/**< Listening socket. */
	uint16_t port;			/**< Port that it listens on. */
	uint16_t announced_port;	/**< Port to which the host connects. */
	/** Sockets that keep the announced port silent or free. */
	int silent_fds[SCRIPTED_UPSTREAM_SILENT_FDS];
	char name[NAME_SIZE_MAX];     /**< Name in its record. */
	pthread_t thread;	      /**< Accepts connections. */
	_Atomic bool is_stopping;     /**< It must not listen again. */
	_Atomic uint64_t incarnation; /**< Raised by each crash. */
	uint64_t known_incarnation;   /**< The one that the host knows. */
};

/** Starts an upstream with a thread of its own, named "u" and its index. */
void scripted_upstream_start(struct scripted_upstream *upstream,
    struct upstream_script *script, uint32_t index);
/** The upstream accepts no more connections; those that it has live on. */
void scripted_upstream_cut(struct scripted_upstream *upstream);
/** Waits until its connections have ended, and closes its sockets. Cut it
 * before. */
void scripted_upstream_finish(struct scripted_upstream *upstream);

#endif
