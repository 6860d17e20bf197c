/**
 * @file upstream_adapter.h
 * Operations of a host on an upstream, as a table of functions. There is one
 * table for each protocol that upstreams speak.
 *
 * generate(), resume() and call() start an attempt on a thread of the adapter
 * and return at once. The answer, or the failure, is pushed to the queue; the
 * last piece is PIECE_KIND_END or PIECE_KIND_FAILED. The caller abandons an
 * attempt with piece_queue_close(). cancel() doesn't wait either. probe(), the KV
 * memory functions and order() block until the answer or their deadline, so they must
 * not be called on the coordination thread but on a worker thread. Apart from
 * that, every function may be called on any thread.
 */
#ifndef UPSTREAM_ADAPTER_H
#define UPSTREAM_ADAPTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"
#include "base/shared_text.h"
#include "config.h"
#include "protocol/completions.h"
#include "protocol/traceparent.h"
#include "state/request.h"
#include "transport/piece_queue.h"

#define SERVICE_PATH_SIZE_MAX 256 /**< Bytes of a plain call's path with NUL. */
#define ORDER_ID_SIZE_MAX     64  /**< Bytes of an order's id with NUL. */
#define HELD_RESERVATIONS_MAX 1024 /**< Most reservations in a list. */

/** An upstream and the incarnation of it that a call is meant for. */
struct upstream_target {
	char url[URL_SIZE_MAX]; /**< Base URL that the upstream announced. */
	/** Incarnation of the upstream, increased at each start. An upstream of
	 * another incarnation refuses the call; 0 matches any. */
	uint64_t incarnation;
};

/** Input of an attempt, that is of one sending of a request to an upstream. */
struct attempt_input {
	struct upstream_target target;	/**< Upstream to call. */
	uint64_t request_id;		/**< Id of the caller's request. */
	uint32_t attempt;		/**< Number of this attempt, from 1. */
	char model[NAME_SIZE_MAX];	/**< Name of the model or service. */
	enum request_priority priority; /**< Priority in the engine's batch. */
	uint32_t answer_tokens_max;	/**< Token limit, 0: prefill only. */
	/** Deadline on the monotonic clock; the remaining time is sent. */
	int64_t deadline_ms;
	/** The request may run again if the attempt fails halfway. */
	bool is_idempotent;
	struct trace_context trace; /**< Sent as the traceparent header. */

	/* Body: a prompt or the body of a plain call. The adapter keeps a
	 * reference until the attempt has ended. */
	struct shared_text *body;	  /**< Text to send from, or NULL. */
	size_t body_offset;		  /**< Offset of the first byte sent. */
	size_t body_size;		  /**< Number of bytes sent. */
	char content_type[NAME_SIZE_MAX]; /**< Type, for plain calls only. */

	/* Used only for prompts that several engines prefill in segments */
	uint64_t reservation; /**< KV memory to use, 0 for none. */

	/* Used only by resume() */
	uint32_t from_attempt; /**< Attempt that began the answer. */
	uint64_t position;     /**< Index of the first piece to send. */

	/* Used only by call() */
	char path[SERVICE_PATH_SIZE_MAX]; /**< Path without leading '/'. */
	char idempotency_key[IDEMPOTENCY_KEY_SIZE_MAX]; /**< "" for none. */
};

/** KV memory that an engine has exported for another engine to import. */
struct kv_export {
	uint64_t reservation;	 /**< Reservation that holds the memory. */
	char url[URL_SIZE_MAX];	 /**< Base URL of the exporting engine. */
	uint64_t tokens;	 /**< Length of the prompt's prefix covered. */
	uint64_t content_digest; /**< Digest of that prefix. */
};

/** A reservation that an engine reports to hold. */
struct held_reservation {
	uint64_t reservation; /**< Id of the reservation. */
	uint64_t tokens;      /**< KV memory that it takes, in tokens. */
	int64_t age_ms;	      /**< Time since the memory was reserved. */
};

/** The reservations of an engine. */
struct held_reservation_list {
	uint64_t incarnation; /**< Incarnation of the engine. */
	uint32_t count;	      /**< Number of items. */
	bool truncated;	      /**< The engine reported more than fit. */
	/** Reservations in no particular order. */
	struct held_reservation items[HELD_RESERVATIONS_MAX];
};

/** Administrative action that an order tells an engine to take. */
enum upstream_order_verb {
	UPSTREAM_ORDER_LOAD_MODEL = 1,
	UPSTREAM_ORDER_UNLOAD_MODEL = 2,
	UPSTREAM_ORDER_LOAD_ADAPTER = 3,
	UPSTREAM_ORDER_SET_VERSION = 4,
	UPSTREAM_ORDER_SET_ROLE = 5,
};

/** Progress of an order. */
enum upstream_order_state {
	UPSTREAM_ORDER_RUNNING = 1,
	UPSTREAM_ORDER_DONE = 2,
	UPSTREAM_ORDER_FAILED = 3,
};

/** An order to an engine. Sending it again with the same id doesn't repeat the
 * action but returns its progress. */
struct upstream_order {
	char id[ORDER_ID_SIZE_MAX];    /**< Id, the same for each resend. */
	enum upstream_order_verb verb; /**< Action to take. */
	char subject[NAME_SIZE_MAX];   /**< Model, adapter or role. */
	char value[NAME_SIZE_MAX];     /**< Version, or "". */
	/** Grows with each holder of the leadership that gives orders. Engines
	 * reject a lower number as an order of an earlier leader. */
	uint64_t fencing_number;
};

/** Functions of an adapter. Errors of the blocking functions:
 * ERROR_CONNECTION (the call did not reach the upstream),
 * ERROR_OUTCOME_UNKNOWN (it may have), ERROR_STALE (other incarnation or old
 * fencing number), ERROR_NO_CAPACITY, ERROR_NOT_FOUND,
 * ERROR_UPSTREAM_REFUSED, ERROR_TIMEOUT (nothing sent, deadline already
 * past), ERROR_MALFORMED (invalid answer). */
struct upstream_adapter {
	/* Functions that start an attempt. Errors: ERROR_TABLE_FULL,
	 * ERROR_SHUTTING_DOWN, ERROR_NO_MEMORY; nothing is then sent to the
	 * upstream or pushed to the queue. */
	/** Sends a prompt and streams the answer. */
	enum error_code (*generate)(void *context,
	    const struct attempt_input *input, struct piece_queue *queue);
	/** Continues the answer of an earlier attempt on the same engine. */
	enum error_code (*resume)(void *context,
	    const struct attempt_input *input, struct piece_queue *queue);
	/** Makes a plain call: an HTTP request to a service, not a prompt. */
	enum error_code (*call)(void *context,
	    const struct attempt_input *input, struct piece_queue *queue);
	/** Tells the engine to drop a request; returns without waiting. */
	void (*cancel)(void *context, const struct upstream_target *target,
	    uint64_t request_id);

	/** Returns ERROR_NONE if the upstream accepts a connection. */
	enum error_code (*probe)(void *context,
	    const struct upstream_target *target, int64_t deadline_ms);

	/* Functions for KV memory; upstream_control.h describes them. */
	enum error_code (*kv_reserve)(void *context,
	    const struct upstream_target *target, uint64_t reservation,
	    uint64_t tokens, int64_t deadline_ms);
	enum error_code (*kv_export)(void *context,
	    const struct upstream_target *target, uint64_t reservation,
	    int64_t deadline_ms, struct kv_export *result);
	enum error_code (*kv_import)(void *context,
	    const struct upstream_target *target, uint64_t reservation,
	    const struct kv_export *source, int64_t deadline_ms);
	/** Releases a reservation; an unknown id is no error. */
	enum error_code (*kv_release)(void *context,
	    const struct upstream_target *target, uint64_t reservation,
	    int64_t deadline_ms);
	enum error_code (*kv_held)(void *context,
	    const struct upstream_target *target, int64_t deadline_ms,
	    struct held_reservation_list *held);

	/** Gives an order, or returns the progress of one given before. */
	enum error_code (*order)(void *context,
	    const struct upstream_target *target,
	    const struct upstream_order *order, int64_t deadline_ms,
	    enum upstream_order_state *state);
};

#endif
