/**
 * @file upstream_adapter.h
 * What a host asks of an upstream; one table for each kind of interface.
 *
 * generate(), resume() and call() start an attempt on a thread of the adapter
 * and return at once; everything that comes back, failures too, is pushed to
 * the queue, whose last piece is END or FAILED. An attempt is given up with
 * piece_queue_close(). The other functions wait for the answer until their
 * deadline: never call them on the coordination thread, post them to a
 * worker thread. Every function may be called by any thread.
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

#define SERVICE_PATH_SIZE_MAX 256  /**< Bytes of a plain call's path. */
#define ORDER_ID_SIZE_MAX     64   /**< Bytes of an order's id. */
#define HELD_KV_MAX	      1024 /**< Reservations in one answer. */

/** Which upstream, and which of its lives. */
struct upstream_target {
	char url[URL_SIZE_MAX]; /**< As announced. */
	uint64_t incarnation;	/**< It refuses another; 0: any. */
};

/** One attempt at a request. */
struct upstream_call {
	struct upstream_target target;	/**< Where to. */
	uint64_t request_id;		/**< Of the caller's request. */
	uint32_t attempt;		/**< Number of this attempt, from 1. */
	char model[NAME_SIZE_MAX];	/**< Model, or service name. */
	enum request_priority priority; /**< For the engine's batch. */
	uint32_t answer_tokens_max;	/**< 0: prefill only. */
	int64_t deadline_ms;		/**< Monotonic; sent as what is left. */
	bool is_idempotent;		/**< A broken attempt may be re-run. */
	struct trace_context trace;	/**< Passed on as traceparent. */

	/* Body: prompt or plain call; held until the attempt has ended */
	struct shared_text *body;	  /**< NULL for none. */
	size_t body_offset;		  /**< First byte sent. */
	size_t body_size;		  /**< Bytes sent. */
	char content_type[NAME_SIZE_MAX]; /**< Plain calls only. */

	/* Prompts in segments */
	uint64_t reservation; /**< KV memory to use, 0 for none. */

	/* Resume */
	uint32_t from_attempt; /**< Attempt that is carried on. */
	uint64_t position;     /**< First piece wanted. */

	/* Plain calls */
	char path[SERVICE_PATH_SIZE_MAX];		/**< Without '/'. */
	char idempotency_key[IDEMPOTENCY_KEY_SIZE_MAX]; /**< "" for none. */
};

/** KV memory that an engine made ready for another engine. */
struct kv_export {
	uint64_t reservation;	 /**< Where it lies. */
	char url[URL_SIZE_MAX];	 /**< Engine that holds it. */
	uint64_t tokens;	 /**< Tokens covered, from the first on. */
	uint64_t content_digest; /**< Of the prompt covered. */
};

/** A reservation that an engine says it holds. */
struct held_kv {
	uint64_t reservation; /**< Its id. */
	uint64_t tokens;      /**< Memory it takes. */
	int64_t age_ms;	      /**< Since it was reserved. */
};

/** All that an engine holds. */
struct held_kv_list {
	uint64_t incarnation;		   /**< Of the engine that answered. */
	uint32_t count;			   /**< Entries below. */
	bool truncated;			   /**< There were more. */
	struct held_kv items[HELD_KV_MAX]; /**< In no order. */
};

/** Something an engine is told to do to itself. */
enum upstream_order_verb {
	UPSTREAM_ORDER_LOAD_MODEL = 1,
	UPSTREAM_ORDER_UNLOAD_MODEL = 2,
	UPSTREAM_ORDER_LOAD_ADAPTER = 3,
	UPSTREAM_ORDER_SET_VERSION = 4,
	UPSTREAM_ORDER_SET_ROLE = 5,
};

/** How far an order is. */
enum upstream_order_state {
	UPSTREAM_ORDER_RUNNING = 1,
	UPSTREAM_ORDER_DONE = 2,
	UPSTREAM_ORDER_FAILED = 3,
};

/** An order; giving it again with the same id asks how far it is. */
struct upstream_order {
	char id[ORDER_ID_SIZE_MAX];    /**< Same for each resend. */
	enum upstream_order_verb verb; /**< What to do. */
	char subject[NAME_SIZE_MAX];   /**< Model, adapter, or role. */
	char value[NAME_SIZE_MAX];     /**< Version; may be "". */
	uint64_t fencing;	       /**< Grows with each holder. */
};

/** The table. Errors of the waiting functions: ERROR_CONNECTION (it did not
 * arrive), ERROR_OUTCOME_UNKNOWN (it may have), ERROR_STALE (incarnation or
 * fencing), ERROR_NO_CAPACITY, ERROR_NOT_FOUND, ERROR_UPSTREAM_REFUSED. */
struct upstream_adapter {
	/* Attempts. Errors: ERROR_TABLE_FULL, ERROR_SHUTTING_DOWN; then
	 * nothing was sent and nothing is pushed. */
	enum error_code (*generate)(void *context,
	    const struct upstream_call *call, struct piece_queue *queue);
	enum error_code (*resume)(void *context,
	    const struct upstream_call *call, struct piece_queue *queue);
	enum error_code (*call)(void *context, const struct upstream_call *call,
	    struct piece_queue *queue);
	/** Tells the engine to drop a request; sends without waiting. */
	void (*cancel)(void *context, const struct upstream_target *target,
	    uint64_t request_id);

	/* KV memory */
	enum error_code (*kv_reserve)(void *context,
	    const struct upstream_target *target, uint64_t reservation,
	    uint64_t tokens, int64_t deadline_ms);
	enum error_code (*kv_export)(void *context,
	    const struct upstream_target *target, uint64_t reservation,
	    int64_t deadline_ms, struct kv_export *result);
	enum error_code (*kv_import)(void *context,
	    const struct upstream_target *target, uint64_t reservation,
	    const struct kv_export *source, int64_t deadline_ms);
	/** Also ERROR_NONE when nothing of that id is held. */
	enum error_code (*kv_release)(void *context,
	    const struct upstream_target *target, uint64_t reservation,
	    int64_t deadline_ms);
	enum error_code (*kv_held)(void *context,
	    const struct upstream_target *target, int64_t deadline_ms,
	    struct held_kv_list *held);

	/* Orders */
	enum error_code (*order)(void *context,
	    const struct upstream_target *target,
	    const struct upstream_order *order, int64_t deadline_ms,
	    enum upstream_order_state *state);
};

#endif
