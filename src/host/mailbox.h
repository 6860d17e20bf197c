/**
 * @file mailbox.h
 * Queue of calls from request threads to the coordination thread.
 *
 * A request thread posts a call and waits until the coordination thread has
 * completed it, or until a timeout. The coordination thread may complete a
 * call at once or later (for example when a quorum has agreed to an order).
 * Calls are reference-counted, so a call stays valid for the coordination
 * thread after the request thread has timed out.
 */
#ifndef MAILBOX_H
#define MAILBOX_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"

struct mailbox_call;

/** Operations of one type of call. */
struct mailbox_ops {
	/** Executes the call on the coordination thread. It must either pass
	 * the call to mailbox_complete(), or take a reference with
	 * mailbox_call_ref() and complete the call later. */
	void (*run)(void *coordinator, struct mailbox_call *call);
	/** Frees what the body points to, before the call itself is freed; may
	 * be NULL. */
	void (*clear)(void *body);
};

/** Bounded queue of calls, shared by all threads of a host. */
struct mailbox {
	pthread_mutex_t mutex; /**< Protects the queue and the completion state
				    of all calls. */
	int event_fd;	/**< eventfd that is readable while calls are queued. */
	bool is_closed; /**< True if new calls are refused. */
	uint32_t count; /**< Number of queued calls. */
	uint32_t capacity;	    /**< Largest number of queued calls. */
	struct mailbox_call *first; /**< Oldest queued call, or NULL. */
	struct mailbox_call *last;  /**< Newest queued call, or NULL. */
};

/* Setting up */

/** Initialises a mailbox for at most @p capacity queued calls. Errors:
 * ERROR_IO if no eventfd can be created. */
enum error_code mailbox_init(struct mailbox *mailbox, uint32_t capacity);
/** Refuses further calls and completes the queued calls with
 * ERROR_SHUTTING_DOWN. */
void mailbox_close(struct mailbox *mailbox);
/** Closes the mailbox and frees its resources. No other thread may use the
 * mailbox any more. */
void mailbox_finish(struct mailbox *mailbox);

/* Request threads */

/** Allocates a call with one reference and a body of @p body_size zero
 * bytes. */
struct mailbox_call *mailbox_call_new(
    const struct mailbox_ops *ops, size_t body_size);
/** Returns the body of a call, which holds its arguments and results. */
void *mailbox_call_body(struct mailbox_call *call);
/** Releases a reference; the last one clears the body and frees the call. */
void mailbox_call_unref(struct mailbox_call *call);
/** Posts a call and waits at most @p timeout_ms for its completion. Returns
 * the outcome of the call, or ERROR_TIMEOUT, ERROR_TABLE_FULL if the mailbox is
 * full, or ERROR_SHUTTING_DOWN. The caller keeps its reference. */
enum error_code mailbox_await(
    struct mailbox *mailbox, struct mailbox_call *call, int64_t timeout_ms);
/** Posts a call without waiting for it. Takes ownership of the caller's
 * reference, also when it fails. Errors: ERROR_TABLE_FULL,
 * ERROR_SHUTTING_DOWN. */
enum error_code mailbox_post(
    struct mailbox *mailbox, struct mailbox_call *call);

/* Coordination thread */

/** Returns the file descriptor that is readable while calls are queued. */
int mailbox_fd(const struct mailbox *mailbox);
/** Runs all queued calls except those whose request thread has timed out.
 * @p coordinator is passed to the run operation of each call. */
void mailbox_run(struct mailbox *mailbox, void *coordinator);
/** Takes a reference to a call, for example to complete it after its run
 * operation has returned. Release it with mailbox_call_unref(). */
struct mailbox_call *mailbox_call_ref(struct mailbox_call *call);
/** Completes a call with @p outcome and wakes the thread that waits for it. A
 * call that is completed already keeps its first outcome. */
void mailbox_complete(struct mailbox *mailbox, struct mailbox_call *call,
    enum error_code outcome);

#endif
