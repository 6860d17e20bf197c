/**
 * @file relay_parts.h
 * Declarations shared by the source files of the relay only.
 */
#ifndef RELAY_PARTS_H
#define RELAY_PARTS_H

#include "coordination/quarantine.h"
#include "coordination/relay_rules.h"
#include "protocol/forward_message.h"
#include "protocol/http_reader.h"
#include "relay/relay.h"
#include "relay/relay_events.h"
#include "relay/relay_hold.h"
#include "state/request_key.h"
#include "transport/tcp_link.h"

#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503
/** Retry-After when no better estimate is known; lower bound of estimates. */
#define RETRY_AFTER_DEFAULT_MS 400
/** Bytes of an attempt id that the log shows, with the final NUL. */
#define ATTEMPT_ID_SIZE 128

/** State of a caller's connection. */
enum caller_state {
	CALLER_READING = 0,   /**< Idle, or receiving a request. */
	CALLER_ANSWERING = 1, /**< A request is being processed. */
	CALLER_LINGERING = 2, /**< The last answer was written; waits until the
				   caller closes the connection. */
	CALLER_CLOSED = 3,    /**< The connection is closing or closed. */
};

/** How a request ended, for the log and the counters. */
enum exchange_end {
	END_ANSWERED = 0, /**< The caller got a complete answer of an
			       upstream. */
	END_REFUSED = 1,  /**< The request did not run; the caller may send it
			       again. */
	END_DENIED = 2,	  /**< The configuration has no route for the request or
			       does not know its key. */
	END_FAILED = 3,	  /**< The request may have run but failed or timed out;
			       the caller got an error status. */
	END_BROKEN = 4,	  /**< The answer was cut off after its start. */
	END_CALLER_LEFT = 5, /**< The caller disconnected before the end of the
				  answer. */
};

struct relay_exchange;

/** Who opened a connection to the relay. */
enum caller_kind {
	CALLER_CLIENT = 0,  /**< A caller. */
	CALLER_MONITOR = 1, /**< The load balancer or monitoring. */
	CALLER_HOST = 2,    /**< Another host, with forwarded requests. */
};

/** A caller's connection. */
struct relay_caller {
	struct relay *relay;	   /**< Relay that accepted the connection. */
	struct tcp_link link;	   /**< TCP connection to the caller. */
	struct http_reader reader; /**< Parser of the incoming requests. */
	enum caller_state state;   /**< State of the connection. */
	enum caller_kind kind;	   /**< By the listener that accepted it. */
	bool closes_after_answer;  /**< True if the connection ends after the
				       current answer. */
	uint32_t refusal_status;   /**< HTTP status for a malformed or too large
				       request, 0 while it is valid. */
	int64_t first_byte_ms;	   /**< Arrival of the request's first byte. */
	GByteArray *body;	   /**< Body of the current request so far. */
	GByteArray *pipelined;	   /**< Bytes of further requests that arrived
				    before the current one was answered. */
	/** They are being read. */
	bool is_reading_pipelined;
	struct relay_exchange *exchange; /**< Request being processed, or
					      NULL. */
	struct handle timer; /**< Timeout of the current state: idle connection,
				  request head or lingering. */
};

/** What differs between an attempt at an upstream (relay_upstream.c) and one at
 * another host, which forwards the request (relay_forward.c). */
struct attempt_ops {
	/** Returns the request as it is sent at @p now_ms. */
	GBytes *(*bytes)(const struct relay_exchange *exchange, int64_t now_ms);
	/** A connection was established. */
	void (*on_connected)(struct relay_exchange *exchange);
	/** No connection could be made. */
	void (*on_unreached)(struct relay_exchange *exchange);
	/** The request was sent. */
	void (*on_sent)(struct relay_exchange *exchange);
	/** Reads what the head of an answer to this request says besides
	 * facts; may change these. Returns false if it lacks what it must
	 * have. */
	bool (*read_head)(
	    struct relay_exchange *exchange, const struct http_head *head);
	/** A complete answer says that the request did not run. Ends the
	 * attempt. */
	void (*on_refusal)(struct relay_exchange *exchange);
	/** A complete answer was accepted. */
	void (*on_answered)(struct relay_exchange *exchange);
	/** The connection broke. */
	void (*on_broken)(struct relay_exchange *exchange);
	/** The attempt failed; is_fault as for relay_attempt_failed(). */
	void (*on_failed)(struct relay_exchange *exchange,
	    enum error_code error, bool is_fault);
	/** The attempt ends: gives back what was counted or reserved for it. */
	void (*on_end)(struct relay_exchange *exchange);
};

/** How a request is forwarded between hosts. */
struct relay_forward {
	/** The request came from another host, so it is not forwarded. */
	bool is_received;
	struct forward_request received; /**< What that host said of it. */
	uint32_t to_host; /**< Host of the current attempt, 0 for none. */
	uint32_t tried[FORWARD_HOSTS_MAX]; /**< Hosts that didn't take it. */
	uint32_t tried_count;		   /**< Ids in tried. */
	uint32_t attempts; /**< Attempts at other hosts so far. */
	/** Upstreams that got the request, by id: this host's and those of the
	 * other hosts' attempts. */
	uint64_t sent_to[FORWARD_TRIED_MAX];
	uint32_t sent_to_count; /**< Ids in sent_to. */
	/** Upstreams that this host could not reach for the request. */
	uint32_t unreached;
	bool has_result;	      /**< The result is set. */
	struct forward_result result; /**< Of the current attempt's host. */
};

/** One request, from its last byte to the end of its answer. */
struct relay_exchange {
	struct relay *relay;	     /**< Relay that processes the request. */
	struct relay_caller *caller; /**< Connection of the caller, NULL once
					  it is gone. */
	struct http_head head;	   /**< Request line and headers as received. */
	GByteArray *body;	   /**< Request body as received. */
	struct route_table *table; /**< Counted reference to the route table
					used last, or NULL. */
	const struct route *route; /**< Route of the request, within table. */
	const struct route_account *account; /**< Account of the caller, within
						  table, or NULL. */
	const struct route_service *service; /**< Service that the route chose,
						  within table. */
	char attempt_id[ATTEMPT_ID_SIZE]; /**< Attempt id sent by the caller, as
					       far as the log shows it; "" for
					       none. */
	int64_t arrived_ms;  /**< Arrival of the request's first byte. */
	int64_t deadline_ms; /**< Time by which the answer must be complete. */
	const struct attempt_ops *attempt; /**< Current attempt, or NULL. */
	struct pool_call *call;	       /**< Current attempt's call, or NULL. */
	uint64_t upstream_id;	       /**< Upstream of the current attempt. */
	uint64_t upstream_incarnation; /**< Its incarnation. */
	/** Identity of the request. Its fingerprint is 0 until it is needed. */
	struct request_key key;
	char upstream_name[NAME_SIZE_MAX]; /**< Name of this upstream. */
	struct placement_request request;  /**< Input of placement, including
						the upstreams tried. */
	struct placement_work work; /**< Work counted at the upstream and its
					 helpers for the current attempt. */
	struct placement_choice choice; /**< Result of the last placement; its
					     upstream pointer is valid only
					     until the next fleet update. */
	/** Entry in the queue of long prompts, while queued. */
	struct placement_queue_entry queue_entry;
	double expected_ms;	       /**< Predicted time to the first byte. */
	struct http_head partial_head; /**< Head of an answer whose body is
					    still arriving. */
	GByteArray *partial_body;   /**< Body of the arriving answer so far. */
	struct http_head answer;    /**< Head of the last complete answer. */
	GByteArray *answer_body;    /**< Body of the last complete answer. */
	struct relay_events events; /**< State of the event stream. */
	struct relay_forward forward; /**< Other hosts that have part in it. */
	/** Why the request is refused, for the host that forwarded it. */
	enum error_code refusal;
	struct relay_holds holds;     /**< Memory reservations at helpers. */
	struct handle deadline_timer; /**< Fires at deadline_ms. */
	struct handle stall_timer;    /**< Next check for a stalled upstream. */
	struct pool_call *probe;      /**< Connection test of a silent upstream,
					   or NULL. */
	int64_t probed_ms;	      /**< When the last such test began. */
	uint64_t upstream_address;    /**< Packed IP address and port of the
					upstream. */
	int64_t sent_ms;	      /**< When the attempt was sent. */
	/** Last progress of the answer: its last whole event, or sent_ms
	 * before the first. */
	int64_t last_progress_ms;
	int64_t progress_began_ms; /**< When the current attempt brought its
					first event. */
	int64_t first_event_ms;	   /**< When the caller got the first event, or
				     0. */
	int64_t last_event_ms;	   /**< When the caller got the last event. */
	int64_t longest_pause_ms;  /**< Longest time between two events. */
	struct handle wait_timer;  /**< Next try to find an upstream for the
				     request. */
	int64_t wait_until_ms;	   /**< Time until which a request that can't be
				    placed is retried. */
	uint32_t target_random; /**< Random number for the weighted choice of a
				     service; constant for one request. */
	uint32_t attempts_sent; /**< Attempts sent to an upstream, without the
				     excused ones. */
	uint32_t attempts_unsent; /**< Attempts that failed before anything was
					sent: no connection or memory in time. */
	uint32_t attempts_absent; /**< Attempts at upstreams that had ended. */
	/** Attempts that don't count as sent because a helper was at fault. */
	uint32_t excused_attempts;
	struct answer_facts facts; /**< What the current answer's head shows. */
	/** Kind of the current answer, 0 before its head. */
	enum answer_class answer_class;
	bool is_sent;	   /**< True if the current attempt was sent. */
	bool may_have_run; /**< True if an upstream may have run the request. */
	bool has_progress; /**< True if the current attempt brought an event. */
	bool is_trial; /**< True if the request tries a quarantined part of its
			    prompt, in its first attempt. */
	bool has_survived; /**< True if it was reported that the current attempt
				runs on after its beginning. */
	/** The body of the current answer comes in chunks. */
	bool is_chunked;
	/** The current answer ends with its connection. */
	bool is_unframed;
	bool has_answer;   /**< True if answer and answer_body are set. */
	bool is_answering; /**< True if the caller got the head of an event
				stream. */
	bool is_reachable; /**< True if a probe has reached the upstream since
				its last progress. */
};

/* relay_caller.c */

/** Accepts a connection of a listener for callers of one kind. */
void relay_caller_accept(
    struct relay *relay, uv_stream_t *listener, enum caller_kind kind);
/** Ends the current request after its answer was written: continues with the
 * next request, or ends the connection. */
void relay_caller_done(struct relay_caller *caller);
/** Resets the connection, so that the caller sees an incomplete answer. */
void relay_caller_reset(struct relay_caller *caller);
/** Ends the caller's request at the end of a planned stop, unless its answer has
 * begun. */
void relay_caller_end_unanswered(struct relay_caller *caller);
/** Returns true if so much is queued for the caller that it seems not to read. */
bool relay_caller_is_overloaded(const struct relay_caller *caller);
/** Ends the connection if no request has begun, for a planned stop. */
void relay_caller_close_idle(struct relay_caller *caller);

/* relay_metrics.c */

/** Registers the histograms of the relay. */
void relay_metrics_init(struct relay *relay);
/** Frees the histograms. */
void relay_metrics_finish(struct relay *relay);
/** Appends all counters and histograms in Prometheus text format. */
void relay_metrics_write(struct relay *relay, GString *out);

/* relay_exchange.c */

/** Starts processing a request that was received completely. */
void relay_exchange_begin(struct relay_caller *caller);
/** Cancels and frees the exchange after the caller has disconnected. */
void relay_exchange_cancel(struct relay_exchange *exchange);

/** Looks up route, account and service in the newest route table. If the
 * request is not allowed, or no table is known yet, answers or delays it and
 * returns false; the exchange may be freed then. A request whose answer has
 * begun keeps what it had if the newest table no longer allows it. */
bool relay_exchange_resolve(struct relay_exchange *exchange);
/** Sends the request to the best upstream. If none can take it, retries for a
 * limited time and then answers with an error. */
void relay_exchange_place(struct relay_exchange *exchange);
/** Sends the last complete answer to the caller and frees the exchange. */
void relay_exchange_deliver(struct relay_exchange *exchange);
/** Resets the caller's connection in the middle of an answer and frees the
 * exchange; @p error is logged as the reason. */
void relay_exchange_abort(
    struct relay_exchange *exchange, enum error_code error);
/** Answers, because this host stops, that the request did not run or that it
 * failed, and frees the exchange. An answer that has begun goes on. */
void relay_exchange_end_at_stop(struct relay_exchange *exchange);
/** Answers that the request did not run, with a Retry-After, and frees the
 * exchange. */
void relay_exchange_refuse(struct relay_exchange *exchange, const char *text,
    int64_t after_ms, enum error_code error);
/** Ends a request that is sent to no further upstream, and frees the exchange.
 * @p after_ms is the Retry-After if it did not run. */
void relay_exchange_end_unplaced(
    struct relay_exchange *exchange, enum error_code error, int64_t after_ms);
/** Counts and logs the end of the request, cancels a running attempt, and
 * frees the exchange. */
void relay_exchange_finish(struct relay_exchange *exchange,
    enum exchange_end end, enum error_code error);
/** Returns true for a HEAD request, whose answer has no body. */
bool relay_exchange_is_head_request(const struct relay_exchange *exchange);
/** Returns how many upstreams this host may send the request to. */
uint32_t relay_exchange_attempts_max(const struct relay_exchange *exchange);
/** Returns the milliseconds until the deadline of the request. */
int64_t relay_exchange_remaining_ms(const struct relay_exchange *exchange);

/* relay_attempt.c */

/** Prepares an attempt at an address, which relay_attempt_send() sends. */
void relay_attempt_prepare(struct relay_exchange *exchange,
    const struct attempt_ops *ops, uint64_t address, double expected_ms);
/** Sends the request of the attempt. The exchange may be freed then. */
void relay_attempt_send(struct relay_exchange *exchange);
/** Ends the bookkeeping of an attempt: stops its timers and probe, and releases
 * the work and memory counted for it. */
void relay_attempt_end(struct relay_exchange *exchange);
/** Ends a failed attempt, logs it, and retries or answers the request.
 * @p is_fault is true if the failure counts against the upstream. */
void relay_attempt_failed(
    struct relay_exchange *exchange, enum error_code error, bool is_fault);
/** Closes the connection of an attempt, if it has one, and ends the attempt as
 * relay_attempt_failed() does. */
void relay_attempt_abort(
    struct relay_exchange *exchange, enum error_code error, bool is_fault);

/* relay_upstream.c */

/** Starts an attempt at the upstream that placement chose. Reserves memory at
 * its helpers first, if needed. */
void relay_upstream_begin(struct relay_exchange *exchange);

/* relay_stream.c */

/** Begins the event stream of an answer, unless the caller has part of one. */
void relay_stream_begin(
    struct relay_exchange *exchange, struct http_head *head);
/** Adds received bytes. The events in a chunk wait for its end: an upstream that
 * breaks off in a chunk and goes on with another answer shows it only there. They
 * don't wait in a chunk that is larger than an event may be. */
void relay_stream_add(
    struct relay_exchange *exchange, const char *data, size_t size);
/** Sends the whole events on to the caller. Ends the attempt if one is not valid,
 * and the request if the caller does not read. */
void relay_stream_forward(struct relay_exchange *exchange);
/** Returns true if a stream that has ended is complete. A connection that ends
 * after the head, before any event, is no more than an upstream that stopped
 * there. */
bool relay_stream_is_whole(const struct relay_exchange *exchange);

/* relay_head.c */

/** Reads from the head of an answer what its classification needs. */
void relay_head_read(const struct relay_exchange *exchange,
    const struct http_head *head, struct answer_facts *facts);
/** Records what the upstream says of itself in the head of an answer. */
void relay_head_record_notice(
    const struct relay_exchange *exchange, const struct http_head *head);

/* relay_forward.c */

/** Forwards the request to another host if this one doesn't reach the upstreams
 * and a host is there that may. Returns false otherwise. */
bool relay_forward_try(struct relay_exchange *exchange);
/** Records that an upstream gets the request. */
void relay_forward_record_sent(
    struct relay_exchange *exchange, uint64_t upstream_id);
/** Reads what the host says that forwarded this request. Returns false if it was
 * refused, in which case the exchange is freed. */
bool relay_forward_receive(struct relay_exchange *exchange);
/** Appends the header field with the result for that host. */
void relay_forward_append_result(
    GString *out, const struct relay_exchange *exchange);

/* relay_probe.c */

/** Prepares the set of probes. */
void relay_probes_init(struct relay *relay);
/** Frees it, after the loop has ended. */
void relay_probes_finish(struct relay *relay);
/** Tries a connection to an address. @p on_done gets @p upstream_id again, and
 * ERROR_NONE, ERROR_CONNECTION or ERROR_TIMEOUT. Returns false if the connection
 * can't even start. */
bool relay_probe_begin(struct relay *relay, uint64_t upstream_id,
    uint64_t address,
    void (*on_done)(
	struct relay *relay, uint64_t upstream_id, enum error_code error));

/* relay_path.c */

/** Called when a connection to an upstream was established. */
void relay_path_on_connected(struct relay *relay);
/** Called when an upstream accepted no connection. */
void relay_path_on_unreached(struct relay *relay, uint64_t upstream_id);
/** Tries connections to the upstreams that placement wants to know of. */
void relay_path_run_probes(struct relay *relay);
/** Returns true while this host reaches no upstream. */
bool relay_path_is_lost(const struct relay *relay);

/* relay_silence.c */

/** Schedules the next check for a stalled upstream, if the request may be
 * retried at another one. */
void relay_silence_watch(struct relay_exchange *exchange);

/* relay_crash.c */

/** Prepares the table of upstreams that may have crashed. */
void relay_crashes_init(struct relay *relay);
/** Frees the table, after the loop has ended. */
void relay_crashes_finish(struct relay *relay);
/** Called when the connection of a sent attempt broke: the upstream is probed,
 * and if it has crashed, the request becomes a suspect on all hosts. */
void relay_crash_suspect(struct relay_exchange *exchange);
/** Returns whether the request may run, given the crashes that all hosts have
 * seen. Sets @p remaining_ms to the time for which it is refused. */
enum quarantine_action relay_crash_verdict(
    struct relay_exchange *exchange, int64_t *remaining_ms);
/** Called when an upstream has answered the request completely: neither it nor
 * the parts of its prompt are suspects any more. */
void relay_crash_clear(struct relay_exchange *exchange);
/** Called at each event: once the upstream has run the request for some time,
 * the parts of its prompt are no suspects any more. */
void relay_crash_note_progress(struct relay_exchange *exchange);

/* relay_trace.c */

/** Logs the end of a request, with all facts needed to explain it. */
void relay_trace_end(const struct relay_exchange *exchange,
    enum exchange_end end, enum error_code error);
/** Logs that the request waits to be placed, and what for. */
void relay_trace_waiting(const struct relay_exchange *exchange);
/** Logs which upstream placement chose, and the figures behind the choice. */
void relay_trace_placed(const struct relay_exchange *exchange);
/** Logs that an upstream refused the request, by the answer in partial_head. */
void relay_trace_refused(const struct relay_exchange *exchange);
/** Logs the head of an answer that is not accepted, or whose status means
 * that the request did not run although its other fields do not say so. */
void relay_trace_head(
    const struct relay_exchange *exchange, const struct http_head *head);

/* relay_answer.c */

/** Writes an answer of the relay itself, with a JSON body that contains
 * @p reason as error text. A @p retry_after_ms of 0 omits Retry-After. */
void relay_answer_json(struct relay_caller *caller, uint32_t status,
    const char *reason, int64_t retry_after_ms);
/** Writes an answer of the relay itself, with a plain text body. */
void relay_answer_text(
    struct relay_caller *caller, uint32_t status, const GString *text);
/** Writes a complete answer of an upstream. The body is omitted if
 * @p is_head_method is true. */
void relay_answer_complete(struct relay_caller *caller,
    const struct http_head *head, const GByteArray *body, bool is_head_method);
/** Writes the head of a chunked answer; its chunks follow. */
void relay_answer_begin(
    struct relay_caller *caller, const struct http_head *head);
/** Writes one chunk of a chunked answer; nothing if @p size is 0. */
void relay_answer_chunk(
    struct relay_caller *caller, const void *data, size_t size);
/** Writes the last chunk of a chunked answer. */
void relay_answer_end(struct relay_caller *caller);
/** Returns the beginning of a request as it is sent on: the caller's request line
 * and fields, without those that only the relay may set, and the time left. */
GString *relay_request_begin(
    const struct relay_exchange *exchange, int64_t remaining_ms);
/** Ends that request with the caller's body and frees @p out. */
GBytes *relay_request_end(const struct relay_exchange *exchange, GString *out);
/** Returns the request as it is sent to the upstream, with the time left at
 * @p now_ms as its deadline header. */
GBytes *relay_request_bytes(
    const struct relay_exchange *exchange, int64_t now_ms);

/* relay.c */

/** Applies received work reports, a newer route table and a newer fleet view,
 * if there are any. */
void relay_refresh(struct relay *relay);
/** Schedules a work report to the other hosts after the work at upstreams has
 * changed. */
void relay_schedule_report(struct relay *relay);
/** Returns this host's share of the retry slack, in retries per window. */
double relay_retry_slack(const struct relay *relay);
/** Returns the retry budget of a service, created at its first use. */
struct retry_window *relay_retry_budget(
    struct relay *relay, const struct route_service *service);
/** Answers a readiness or metrics request. */
void relay_answer_monitor(struct relay_caller *caller);
/** Called when a caller's connection has closed; stops the loop after the last
 * one if the relay is stopping. */
void relay_on_caller_closed(struct relay *relay);

#endif
