/**
 * @file placement.h
 * Picks the upstream of each request by the work queued at each upstream.
 *
 * The decisions do no I/O and take the time as an argument. Work is known from
 * this host's own requests and from the reports of the other entry hosts.
 * Engines are divided between short and long prompts (placement_split.h);
 * several engines prefill parts of a long prompt in parallel. An upstream that
 * fails is ejected for a while. If more than half of a service's upstreams are
 * ejected they are used all the same, so a false detection can't leave a
 * service without upstreams. One to which no connection could be made gets
 * requests again only after a connection was made, or if no other is left: idle as
 * it is, it would else look like the best choice to all of them.
 * Each host limits its requests per second to an upstream to its share of what
 * a cold upstream can take, because an upstream may turn cold at any moment
 * without announcing it, and of a limit that the upstream names
 * (upstream_notice.h).
 */
#ifndef PLACEMENT_H
#define PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "base/random_source.h"
#include "config.h"
#include "coordination/forward_peers.h"
#include "placement/placement_border.h"
#include "placement/placement_feature.h"
#include "placement/placement_split.h"
#include "placement/upstream_notice.h"
#include "protocol/work_message.h"
#include "state/route_table.h"

#define PLACEMENT_TRIED_MAX   8	 /**< Tried upstreams kept for a request. */
#define PLACEMENT_HELPERS_MAX 16 /**< Most helpers that prefill a prompt. */
#define PLACEMENT_RATE_SLOTS  16 /**< Recent send times kept per upstream. */
/** Most helpers that reserve KV memory for a prompt. */
#define PLACEMENT_RESERVATIONS_MAX 4

/** Settings of placement. */
struct placement_settings {
	char data_centre[NAME_SIZE_MAX]; /**< Data centre of this host. */
	double cold_overshoot; /**< Factor on the rate for cold upstreams. */
	/** Requests per second allowed above that rate times cold_overshoot. */
	uint32_t cold_slack;
	struct placement_features features; /**< What is switched on. */
};

/** Description of an upstream, passed to placement_update(). */
struct placement_record {
	uint64_t id;		 /**< Id derived from the upstream's name. */
	uint64_t incarnation;	 /**< Increased at each start. */
	uint64_t address;	 /**< Address, from upstream_address_parse(). */
	const char *name;	 /**< Name of the upstream. */
	const char *service;	 /**< Name of the service that it runs. */
	const char *data_centre; /**< Data centre of the upstream. */
	uint32_t slots;		 /**< Requests that it runs concurrently. */
	bool is_usable;		 /**< Active and not taken out of service. */
};

/** Work at an upstream. */
struct placement_load {
	double prefill_until_ms;  /**< When all its prefill should be done. */
	uint32_t running;	  /**< Requests sent and not yet ended. */
	uint32_t long_running;	  /**< Running requests with long prompts. */
	uint32_t helping;	  /**< Other engines' prompts it helps with. */
	uint32_t leading;	  /**< Long prompts it leads, in prefill. */
	uint64_t kv_tokens;	  /**< KV memory in use, in tokens. */
	int64_t ejected_until_ms; /**< End of its ejection by other hosts. */
	int64_t prefill_due_ms;	  /**< When the prompts it leads should be
				       prefilled. */
};

/** State that placement keeps of an upstream. */
struct placement_upstream {
	uint64_t id;	      /**< Id derived from the upstream's name. */
	uint64_t incarnation; /**< Increased at each start of the upstream. */
	uint64_t address;     /**< Address, from upstream_address_parse(). */
	uint64_t short_rank;  /**< Upstreams with the lowest ranks take short
				   prompts; all hosts compute the same rank. */
	char name[NAME_SIZE_MAX];     /**< Name of the upstream. */
	char service[NAME_SIZE_MAX];  /**< Name of the service that it runs. */
	struct placement_load own;    /**< Load from this host's requests. */
	struct placement_load others; /**< Load reported by other hosts. */
	double failure_share;	      /**< Fading share of failed requests. */
	int64_t ejected_until_ms;     /**< End of its ejection by this host. */
	/** Ring buffer of recent send times, against the rate limit. */
	int64_t sent_ms[PLACEMENT_RATE_SLOTS];
	/** Time of the last progress of any answer of the upstream. */
	int64_t last_progress_ms;
	/** Latest send time among the requests that made progress. */
	int64_t newest_progressed_sent_ms;
	/** What it said of itself in its answers. */
	struct upstream_notice notice;
	/** When this host learned of its start, 0 if it was there before this
	 * host. */
	int64_t known_ms;
	uint32_t slots;	    /**< Requests that it runs concurrently. */
	uint32_t failures;  /**< Consecutive failures. */
	uint32_t sent_next; /**< Next index to write in sent_ms. */
	bool is_usable;	    /**< Active and not taken out of service. */
	bool is_local;	    /**< The upstream is in this host's data centre. */
	bool is_listed;	    /**< Present in the latest update. */
	/** No connection could be made when it failed last, and none since. */
	bool is_unreached;
	bool is_probe_due; /**< The owner is to try a connection. */
};

/** What placement needs to know of a request. */
struct placement_request {
	const struct route *route;	     /**< Route of the request. */
	const struct route_service *service; /**< Service to be reached. */
	/** Prompt length in tokens, 0 for a request that is no prompt. */
	double prompt_tokens;
	double answer_tokens; /**< Longest answer, in tokens. */
	double body_bytes;    /**< Length of the request's body. */
	int64_t arrived_ms;   /**< When the request arrived. */
	int64_t deadline_ms;  /**< Time by which the answer must be complete. */
	uint64_t tried[PLACEMENT_TRIED_MAX]; /**< Upstreams to avoid, by id. */
	uint32_t tried_count;		     /**< Ids in tried. */
	/** The caller has part of the answer, so the request isn't queued. */
	bool has_partial_answer;
	/** Prefill with helpers failed before: use a single engine. */
	bool is_without_helpers;
};

/** What a request that isn't placed yet waits for. */
enum placement_wait {
	PLACEMENT_WAIT_NONE = 0, /**< It doesn't wait. */
	PLACEMENT_WAIT_TURN = 1, /**< Its turn among the long prompts. */
	PLACEMENT_WAIT_SLOT = 2, /**< A free slot of an engine. */
	/** The next time at which this host may send an upstream a request. */
	PLACEMENT_WAIT_RATE = 3,
	PLACEMENT_WAIT_MEMORY = 4, /**< Memory of several engines. */
};

/** A request that waits to be placed; all zero while it doesn't. */
struct placement_queue_entry {
	enum placement_wait wait; /**< What it waits for. */
	bool is_late_waiting;	  /**< It waits for a slot past its target. */
	uint64_t slot_service; /**< Hash of the service of whose slots a short
				    prompt waits for one, otherwise 0. */
	int64_t retry_ms;      /**< When to try again, 0 for any time soon. */
	uint64_t service;      /**< Hash of a queued long prompt's service,
				     otherwise 0. */
	double prefill_ms;     /**< Prefill time on a single engine. */

	int64_t arrived_ms;	/**< When the caller's request arrived. */
	int64_t target_wait_ms; /**< Longest wait since its arrival that still
				      meets the target for its first token. */
	/** Latest start that still meets the deadline. */
	int64_t latest_start_ms;
};

/** The upstreams picked for a request. */
struct placement_choice {
	/** The upstream that answers; valid until the next update. */
	struct placement_upstream *upstream;
	double part_prefill_ms; /**< Prefill time of the part of each engine. */
	double prefill_ms;	/**< Prefill time on a single engine. */
	double wait_ms;		/**< Prefill backlog of the upstream. */
	struct split_demand demand; /**< Demand that the split was based on. */
	uint64_t kv_tokens;	    /**< KV memory it takes at the upstream. */
	uint64_t helpers[PLACEMENT_HELPERS_MAX]; /**< Ids of the helpers. */
	/** Addresses of the helpers, from upstream_address_parse(). */
	uint64_t helper_addresses[PLACEMENT_HELPERS_MAX];
	/** KV tokens to reserve at each of the first reservation_count
	 * helpers. */
	uint64_t reserved_tokens[PLACEMENT_RESERVATIONS_MAX];
	uint32_t reservation_count; /**< Helpers that reserve KV memory. */
	uint32_t short_count;	    /**< Upstreams that take short prompts. */
	uint32_t usable_count;	    /**< Usable upstreams of the service. */
	uint32_t helper_count;	    /**< Helpers in use. */
	bool is_long;		    /**< The prompt is long. */
	bool has_home; /**< Some upstream of this data centre could take it. */
	bool is_led_on_short_side; /**< A long prompt that is answered by an
					engine for short prompts. */
};

/** Load that was added for a request, to be removed when it ends; all zero if
 * there is none. */
struct placement_work {
	uint64_t upstream_id;	/**< Upstream of the request, 0 for none. */
	uint64_t kv_tokens;	/**< KV memory counted at the upstream. */
	uint64_t service;	/**< Hash of the service's name. */
	double part_prefill_ms; /**< Prefill counted at each engine. */
	double prefill_ms;	/**< Whole prefill of a long prompt, else 0. */
	uint64_t helpers[PLACEMENT_HELPERS_MAX]; /**< Ids of the helpers. */
	uint32_t helper_count; /**< Helpers, 0 once prefill is done. */
	/** KV tokens reserved at the first reservation_count helpers until the
	 * end of the request. */
	uint64_t reserved_tokens[PLACEMENT_RESERVATIONS_MAX];
	uint32_t reservation_count; /**< Helpers that reserve KV memory. */
	bool is_long;		    /**< Counted as a long prompt. */
	bool is_prefill_pending;    /**< Counted as a long prompt in prefill. */
};

/** A request whose upstream has sent nothing for a while. */
struct silence {
	int64_t sent_ms;    /**< When the request was sent. */
	int64_t since_ms;   /**< Last byte, or the send time if none came. */
	double expected_ms; /**< Predicted time to the first byte. */
	int64_t pause_limit_ms; /**< Longest pause that the caller accepts. */
	bool is_reachable;	/**< A connection succeeded meanwhile. */
	int64_t probed_ms;	/**< When that was tried, 0 for never. */
};

/** What to do about a silent upstream. */
enum silence_action {
	/** Keep waiting: the upstream is probably working. */
	SILENCE_WAIT = 1,
	SILENCE_PROBE = 2, /**< Check that the upstream accepts a connection. */
	SILENCE_ABANDON = 3, /**< Give the attempt up and retry elsewhere. */
};

/** State of placement on this host. */
struct placement {
	struct placement_settings settings; /**< Set at initialisation. */
	struct random_source random;	    /**< Varies costs between hosts. */
	GHashTable *upstreams; /**< Id to struct placement_upstream. */
	GHashTable *peers;     /**< Host id to struct peer_work. */
	GHashTable *services;  /**< Name hash to struct service_load. */
	GHashTable *profiles;  /**< Route name to struct prompt_profile. */
	GPtrArray *queue;      /**< This host's struct placement_queue_entry. */
	uint32_t host_count;   /**< Entry hosts that share the upstreams. */
	int64_t host_count_ms; /**< When so many were last live. */
	uint32_t host_rank;    /**< Position of this host among them, from 0. */
	int64_t first_update_ms; /**< When it first knew of upstreams, or 0. */
	struct work_forwarding forwarding; /**< This host's, for its reports. */
	struct work_forwarding told_forwarding; /**< What it told last. */
	int64_t forwarding_told_ms;		/**< When it told that. */
	struct forward_peers forward_peers;	/**< That of the other hosts. */
	/** When another host sent the newest report that was received. */
	int64_t last_report_ms;
	struct border_counters border; /**< What left the data centre. */
	uint64_t report_number;	 /**< Number of the last report written. */
	bool is_peer_load_stale; /**< Peer loads must be summed again. */
	bool has_probes_due;	 /**< Some upstream has is_probe_due set. */
};

/* Setting up */

/** Initialises the state without upstreams; @p seed seeds its random numbers.
 */
void placement_init(struct placement *placement,
    const struct placement_settings *settings, uint64_t seed);
/** Frees the memory; does nothing on a zeroed struct. */
void placement_finish(struct placement *placement);
/** Sets the number of live entry hosts, and the position of this host among
 * them. A host that seems to be gone may only be cut off from this one, so for a
 * time the shares of the hosts that remain don't grow. */
void placement_set_hosts(struct placement *placement, uint32_t live_count,
    uint32_t rank, int64_t now_ms);
/** Replaces the list of upstreams. State of an upstream that is still listed is
 * kept. The others are not used any more, and are dropped once nothing binds this
 * host that they have said of themselves. The upstreams of the first list are
 * taken for older than this host, and so are those that follow within a second,
 * as the list arrives in parts. */
void placement_update(struct placement *placement,
    const struct placement_record *records, uint32_t count, int64_t now_ms);

/* Placing */

/** Picks an upstream and its helpers. Errors: ERROR_NO_UPSTREAM if none is
 * usable; ERROR_NO_CAPACITY if each usable one was tried already or is at its
 * rate limit until it is too late; ERROR_CHANGE_PENDING if the request must
 * wait, in which case @p entry says what for, and the caller calls again soon;
 * ERROR_DEADLINE_UNREACHABLE if its turn would come too late. */
enum error_code placement_pick(struct placement *placement,
    const struct placement_request *request, int64_t now_ms,
    struct placement_queue_entry *entry, struct placement_choice *choice);
/** Removes an entry from the queue; does nothing if it is not queued. */
void placement_queue_leave(
    struct placement *placement, struct placement_queue_entry *entry);
/** Estimated milliseconds until the long prompts queued now are prefilled. */
int64_t placement_queue_estimate_ms(struct placement *placement,
    const struct route_service *service, int64_t now_ms);
/** Adds the load of a request that is sent to the chosen upstreams, and stores
 * in @p work what placement_end() has to remove. */
void placement_begin(struct placement *placement,
    const struct placement_request *request,
    const struct placement_choice *choice, int64_t now_ms,
    struct placement_work *work);
/** Records that the prompt is prefilled, which frees the helpers. */
void placement_record_prefilled(
    struct placement *placement, struct placement_work *work);
/** Records for how long a complete answer took a slot after its first event.
 * Call it before placement_end(). */
void placement_record_answer(struct placement *placement,
    const struct placement_work *work, double answer_ms);
/** Removes the load of a request that ended; does nothing if there is none. */
void placement_end(struct placement *placement, struct placement_work *work);
/** Hash of a service's name, which identifies the service in reports. */
uint64_t placement_service_hash(const char *name);
/** Returns true if the upstream is known in this incarnation, is usable and does
 * not leave. */
bool placement_is_usable(
    const struct placement *placement, uint64_t id, uint64_t incarnation);
/** Records a success at an upstream: an answer or the first event of one. */
void placement_record_success(struct placement *placement, uint64_t id);
/** Records a failure caused by the upstream; two in a row eject it. */
void placement_record_failure(
    struct placement *placement, uint64_t id, int64_t now_ms);
/** Records that no connection to the upstream could be made in time. Two such
 * failures in a row eject it. */
void placement_record_unreached(
    struct placement *placement, uint64_t id, int64_t now_ms);
/** Records that a connection to the upstream was made. */
void placement_record_reached(struct placement *placement, uint64_t id);
/** Takes an upstream whose ejection has ended and that gets requests only once a
 * connection to it was made. Returns false if there is none; else the owner tries
 * a connection and records the outcome. */
bool placement_take_probe(struct placement *placement, int64_t now_ms,
    uint64_t *id, uint64_t *address);
/** Records that nothing accepts connections at the upstream, which ejects it at
 * once. */
void placement_record_absence(
    struct placement *placement, uint64_t id, int64_t now_ms);
/** Ejects the upstreams at an address at once, because the answer of another
 * upstream named that address as the one at fault. */
void placement_eject_address(
    struct placement *placement, uint64_t address, int64_t now_ms);
/** Records what an answer of an upstream says of it. Returns true if something
 * new follows from it. */
bool placement_record_notice(struct placement *placement, uint64_t id,
    uint64_t incarnation, const struct upstream_statement *statement,
    int64_t now_ms);
/** Records that bytes of the answer to a request arrived that was sent at
 * @p sent_ms. */
void placement_record_progress(
    struct placement *placement, uint64_t id, int64_t sent_ms, int64_t now_ms);
/** Decides what to do about an upstream that is silent on a request. */
enum silence_action placement_evaluate_silence(struct placement *placement,
    uint64_t id, const struct silence *silence, int64_t now_ms);
/** Decides what follows from a probe that was begun at @p probed_ms and reached
 * nobody. */
enum silence_action placement_evaluate_unreached(
    const struct silence *silence, int64_t probed_ms);
/** Returns true if short prompts of the service are refused as others wait for
 * slots past their target. */
bool placement_is_crowded(
    struct placement *placement, const struct route_service *service);
/** Milliseconds until some upstream of the service is no longer ejected and may
 * get another request, for Retry-After. */
int64_t placement_retry_after(struct placement *placement,
    const struct route_service *service, int64_t now_ms);

/** Writes the addresses of up to @p max usable upstreams, those first that made
 * progress last, and returns how many were written. */
uint32_t placement_sample(
    const struct placement *placement, uint64_t *addresses, uint32_t max);

/* Reports between hosts */

/** Writes a report of this host's work, for the other hosts. */
void placement_report_write(struct placement *placement, uint64_t incarnation,
    int64_t now_ms, struct message_writer *writer);
/** Stores another host's report, which was sent at @p sent_ms and is received
 * at @p now_ms. Errors: those of
 * work_report_read(), and ERROR_STALE if a report as new as this one was stored
 * already. */
enum error_code placement_report_receive(struct placement *placement,
    uint32_t host_id, const void *body, size_t size, int64_t sent_ms,
    int64_t now_ms);

/* Estimates */

/** Milliseconds that a single engine takes to prefill a prompt. */
double engine_prefill_ms(const struct engine_speed *engine, double tokens);

#endif
