/**
 * @file mailbox.h
 * Calls from request threads to the coordination thread, awaited in time.
 *
 * A request thread posts a call and waits until the coordination thread has
 * completed it, or until its own time is up. The coordination thread may
 * complete a call at once or later (an order that waits for a quorum, say),
 * so a call is counted by reference and outlives whoever gives up on it.
 */
#ifndef MAILBOX_H
#define MAILBOX_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"

struct mailbox_call;

/** What a call does. */
struct mailbox_ops {
	/** Runs on the coordination thread; completes the call or keeps it. */
	void (*run)(void *coordinator, struct mailbox_call *call);
	/** Gives back what the body holds; may be NULL. */
	void (*clear)(void *body);
};

/** The mailbox. */
struct mailbox {
	pthread_mutex_t mutex;	    /**< Guards the rest and all calls. */
	int event_fd;		    /**< Readable while calls wait. */
	bool is_closed;		    /**< Takes no more calls. */
	uint32_t count;		    /**< Calls that wait to be run. */
	uint32_t capacity;	    /**< Most calls that may wait. */
	struct mailbox_call *first; /**< Oldest call that waits. */
	struct mailbox_call *last;  /**< Newest call that waits. */
};

/* Setting up */

/** Prepares a mailbox for at most @p capacity waiting calls. */
enum error_code mailbox_init(struct mailbox *mailbox, uint32_t capacity);
/** Refuses further calls and ends those that wait: ERROR_SHUTTING_DOWN. */
void mailbox_close(struct mailbox *mailbox);
/** Gives back what the mailbox holds; no thread may use it any more. */
void mailbox_finish(struct mailbox *mailbox);

/* Request threads */

/** Makes a call with a zeroed body; NULL without memory. */
struct mailbox_call *mailbox_call_new(
    const struct mailbox_ops *ops, size_t body_size);
/** The body, for arguments and results. */
void *mailbox_call_body(struct mailbox_call *call);
/** Drops a reference; the last one clears the body. */
void mailbox_call_drop(struct mailbox_call *call);
/** Posts a call and waits for it at most @p timeout_ms. Errors: the call's
 * own, ERROR_TIMEOUT, ERROR_TABLE_FULL, ERROR_SHUTTING_DOWN. */
enum error_code mailbox_await(
    struct mailbox *mailbox, struct mailbox_call *call, int64_t timeout_ms);
/** Posts a call that nobody waits for; takes over the reference. */
enum error_code mailbox_post(
    struct mailbox *mailbox, struct mailbox_call *call);

/* Coordination thread */

/** The file descriptor to poll for reading. */
int mailbox_fd(const struct mailbox *mailbox);
/** Runs every call that waits. */
void mailbox_run(struct mailbox *mailbox, void *coordinator);
/** Keeps a call past its run(); mailbox_complete() drops it. */
struct mailbox_call *mailbox_call_keep(struct mailbox_call *call);
/** Completes a call with its outcome; a second time changes nothing. */
void mailbox_complete(struct mailbox *mailbox, struct mailbox_call *call,
    enum error_code outcome);

#endif
