/**
 * @file relay_parts.h
 * What the source files of the relay share; nobody else includes it.
 */
#ifndef RELAY_PARTS_H
#define RELAY_PARTS_H

#include "coordination/relay_rules.h"
#include "protocol/http_reader.h"
#include "service/relay.h"
#include "service/relay_events.h"
#include "service/relay_hold.h"
#include "transport/tcp_link.h"

#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503
#define RETRY_AFTER_MS	   400 /**< Said when nothing better is known. */
#define ATTEMPT_ID_SIZE	   128 /**< Bytes of an attempt's id as text. */

/** Where a caller's connection stands. */
enum caller_state {
	CALLER_READING = 0,   /**< Between requests, or reading one. */
	CALLER_ANSWERING = 1, /**< A request is under way. */
	CALLER_LINGERING = 2, /**< All is said; waits for its end. */
	CALLER_CLOSED = 3,    /**< Closing. */
};

/** How a request ended, for the log and the counters. */
enum exchange_end {
	END_ANSWERED = 0, /**< The caller has the whole answer. */
	END_REFUSED = 1,  /**< Did not run; may come again. */
	END_DENIED = 2,	  /**< Not allowed by the configuration. */
	END_FAILED = 3,	  /**< May have run; the caller is told so. */
	END_BROKEN = 4,	  /**< The answer had begun and has no end. */
	END_LEFT = 5,	  /**< The caller left first. */
};

struct relay_exchange;

/** A caller's connection. */
struct relay_caller {
	struct relay *relay;	   /**< Whose it is. */
	struct tcp_link link;	   /**< Its bytes. */
	struct http_reader reader; /**< Its requests. */
	enum caller_state state;   /**< See above. */
	bool is_monitor;	   /**< Came through the other listener. */
	bool closes;		   /**< After the answer. */
	uint32_t refusal;	   /**< Status for a bad request, or 0. */
	int64_t begun_ms;	   /**< First byte of the request. */
	GByteArray *body;	   /**< Of the request. */
	GByteArray *ahead;	   /**< Came while it was answered. */
	struct relay_exchange *exchange; /**< While answering. */
	struct handle timer;		 /**< Idle, head or linger. */
};

/** One request, from its last byte to the end of its answer. */
struct relay_exchange {
	struct relay *relay;		     /**< Whose it is. */
	struct relay_caller *caller;	     /**< Who asked. */
	struct http_head head;		     /**< As it was sent. */
	GByteArray *body;		     /**< Likewise. */
	struct route_table *table;	     /**< Reference; newest seen. */
	const struct route *route;	     /**< Of that table. */
	const struct route_account *account; /**< Of that table, or NULL. */
	const struct route_service *service; /**< Of that table. */
	char attempt_id[ATTEMPT_ID_SIZE];    /**< "" for none. */
	int64_t arrived_ms;		     /**< First byte. */
	int64_t deadline_ms;		     /**< An answer must be out. */
	struct upstream_call *call;	     /**< Attempt under way, or NULL. */
	uint64_t upstream_id;		     /**< Where it goes. */
	char upstream_name[NAME_SIZE_MAX];   /**< For logs. */
	struct placement_request wants;	     /**< With those tried. */
	struct placement_work work;	     /**< Counted at the upstream. */
	struct placement_choice choice; /**< The last; its upstream may be gone
					     by now. */
	struct placement_waiter waiter; /**< While it waits for its turn. */
	double expected_ms;	      /**< Predicted time to the first byte. */
	struct http_head coming;      /**< Head of an answer not whole yet. */
	GByteArray *coming_body;      /**< Its body so far. */
	struct http_head answer;      /**< Head of the last whole one. */
	GByteArray *answer_body;      /**< Its body. */
	struct relay_events events;   /**< Of a stream. */
	struct relay_holds holds;     /**< Memory at its helpers. */
	struct handle deadline_timer; /**< Time limit. */
	struct handle stall_timer;    /**< Looks at the upstream's silence. */
	struct upstream_call *probe;  /**< Sees whether it can be reached. */
	uint64_t place;		      /**< Where the upstream listens. */
	int64_t sent_ms;	      /**< When the attempt was sent. */
	int64_t heard_ms;	      /**< Its last byte, or sent_ms. */
	int64_t first_event_ms;	      /**< When the caller got it, or 0. */
	int64_t last_event_ms;	      /**< Likewise. */
	int64_t longest_pause_ms;     /**< Between two events. */
	struct handle wait_timer;     /**< Until the next try to place it. */
	int64_t wait_until_ms;	      /**< Longest wait for a place. */
	uint32_t weight_draw;	      /**< Picks among targets. */
	uint32_t sent;		      /**< Attempts that were sent. */
	uint32_t unsent;	      /**< That found no connection. */
	uint32_t excused;	      /**< That failed by a helper's fault. */
	enum answer_verdict verdict;  /**< Of the answer under way, or 0. */
	bool is_sent;		      /**< The one under way was sent. */
	bool may_have_run;	      /**< Some attempt may have run. */
	bool was_good;		      /**< The upstream showed progress. */
	bool has_answer;	      /**< answer counts. */
	bool is_answering;	      /**< The caller has a part of it. */
	bool is_reachable;	      /**< A probe got through since. */
};

/* relay_caller.c */

/** Accepts a caller. */
void relay_caller_accept(
    struct relay *relay, uv_stream_t *listener, bool is_monitor);
/** The answer is out: goes on with the next request, or ends. */
void relay_caller_done(struct relay_caller *caller);
/** Breaks the connection so that the answer looks incomplete. */
void relay_caller_break(struct relay_caller *caller);
/** Closes a connection on which nothing runs, for a planned stop. */
void relay_caller_close_idle(struct relay_caller *caller);

/* relay_metrics.c */

/** Adds the histograms. */
void relay_metrics_init(struct relay *relay);
/** Gives back memory. */
void relay_metrics_finish(struct relay *relay);
/** Appends all counters and histograms in the text exposition format. */
void relay_metrics_write(struct relay *relay, GString *out);

/* relay_exchange.c */

/** Starts on a request that was read whole. */
void relay_exchange_begin(struct relay_caller *caller);
/** The caller has left. */
void relay_exchange_cancel(struct relay_exchange *exchange);

/** Finds route, account and service by the newest table; answers if the
 * request is not allowed, and returns false then. */
bool relay_exchange_resolve(struct relay_exchange *exchange);
/** Sends it to the best upstream, or waits a little for one. */
void relay_exchange_place(struct relay_exchange *exchange);
/** Passes the kept answer on; the exchange ends. */
void relay_exchange_deliver(struct relay_exchange *exchange);
/** Breaks the answer that has begun; the exchange ends. */
void relay_exchange_break(
    struct relay_exchange *exchange, enum error_code error);
/** Counts and logs the end, and frees the exchange. */
void relay_exchange_finish(struct relay_exchange *exchange,
    enum exchange_end end, enum error_code error);
/** Whether the answer has no body. */
bool relay_exchange_is_head(const struct relay_exchange *exchange);
/** Milliseconds until an answer must be out. */
int64_t relay_exchange_left_ms(const struct relay_exchange *exchange);

/* relay_attempt.c */

/** Sends the request to where the choice says. */
void relay_attempt_begin(struct relay_exchange *exchange);
/** Nothing more is expected of the upstream. */
void relay_attempt_leave(struct relay_exchange *exchange);
/** Logs it and decides what comes next; is_fault: counts against the
 * upstream. */
void relay_attempt_failed(
    struct relay_exchange *exchange, enum error_code error, bool is_fault);

/* relay_silence.c */

/** Looks at the upstream's silence from time to time, if the request may go
 * elsewhere. */
void relay_silence_watch(struct relay_exchange *exchange);

/* relay_trace.c */

/** The line from which everything about a request is found. */
void relay_trace_end(const struct relay_exchange *exchange,
    enum exchange_end end, enum error_code error);
/** A long prompt waits for its turn. */
void relay_trace_waits(const struct relay_exchange *exchange);
/** What decided where a request goes. */
void relay_trace_placed(const struct relay_exchange *exchange);

/* relay_answer.c */

/** Writes an own answer with a JSON body. */
void relay_answer_own(struct relay_caller *caller, uint32_t status,
    const char *reason, int64_t retry_after_ms);
/** Writes an own answer of plain text. */
void relay_answer_text(
    struct relay_caller *caller, uint32_t status, const GString *text);
/** Writes an upstream's answer whole. */
void relay_answer_whole(struct relay_caller *caller,
    const struct http_head *head, const GByteArray *body, bool is_head_method);
/** Writes the head of a stream; its pieces follow. */
void relay_answer_begin(
    struct relay_caller *caller, const struct http_head *head);
/** Writes a piece of a stream. */
void relay_answer_piece(
    struct relay_caller *caller, const void *data, size_t size);
/** Writes the end of a stream. */
void relay_answer_end(struct relay_caller *caller);
/** The bytes of a request as an upstream gets it. */
GBytes *relay_request_bytes(
    const struct relay_exchange *exchange, int64_t now_ms);

/* relay.c */

/** Takes over a newer table and a newer view of the fleet, if any. */
void relay_refresh(struct relay *relay);
/** The work at upstreams changed: other hosts are told soon. */
void relay_note_work(struct relay *relay);
/** This host's share of the slack in retries. */
double relay_retry_slack(const struct relay *relay);
/** The retry budget of a service. */
struct retry_window *relay_budget(
    struct relay *relay, const struct route_service *service);
/** Answers the load balancer and monitoring. */
void relay_monitor_answer(struct relay_caller *caller);
/** A caller's connection is closed. */
void relay_note_closed(struct relay *relay);

#endif
