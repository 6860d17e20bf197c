/**
 * @file placement_parts.h
 * Declarations that the source files of placement share. Private to them.
 */
#ifndef PLACEMENT_PARTS_H
#define PLACEMENT_PARTS_H

#include "placement/placement.h"

/** Passes of the engine between the start of a prompt and its first event. */
#define FIRST_EVENT_PASSES_MS 50

/** Another host's last report. */
struct peer_work {
	struct work_report report; /**< Contents of the report. */
	int64_t sent_ms; /**< When it was sent, on this host's clock. */
};

/** Load that this host puts on a service. */
struct service_load {
	uint64_t hash;		     /**< Hash of the service's name. */
	uint32_t short_running;	     /**< Running requests, short prompts. */
	struct split_rate long_rate; /**< Rate of long prompts' prefill work. */
	/** Mean time for which a short answer takes a slot, 0 if unknown. */
	double answer_ms;
	uint32_t waiting_for_slot; /**< Short prompts that wait for a slot. */
	uint32_t late_waiting;	   /**< Those of them past their target. */
};

/** Typical prompt of a route. */
struct prompt_profile {
	double mean_tokens; /**< Moving average of the prompt length. */
};

/** Demand of the other hosts for a service, by their last reports. */
struct peer_demand {
	double short_engines;	  /**< Engines needed for short prompts. */
	double long_engines;	  /**< Engines needed for long prompts. */
	double queued_prefill_ms; /**< Prefill time of queued long prompts. */
	uint64_t min_key; /**< Lowest queue key, UINT64_MAX for none queued. */
	uint32_t waiting_for_slot; /**< Short prompts that wait for a slot. */
};

/** An upstream that may take a request, and the estimated cost of that. */
struct placement_candidate {
	struct placement_upstream *upstream; /**< Valid until an update. */
	double cost_ms;	   /**< Estimated cost; the lowest is picked. */
	double backlog_ms; /**< placement_backlog_ms() of the upstream. */
	bool takes_short;  /**< The upstream is one for short prompts. */
};

/** Inputs and intermediate results of one placement decision. */
struct placement_context {
	struct placement *placement;		 /**< State of this host. */
	const struct placement_request *request; /**< Request to be placed. */
	int64_t now_ms;				 /**< Time of the decision. */
	uint64_t service;	  /**< Hash of the requested service's name. */
	struct peer_demand peers; /**< Demand of the other hosts. */
	double others_queued_ms;  /**< Prefill time of all queued long prompts
					except this one. */
	bool is_long;		  /**< The request has a long prompt. */
	/** The KV memory it needs exceeds that of one engine. */
	bool is_too_large;
	/** Such a prompt waits for its turn and for memory of several engines. */
	bool is_gathered;
	/** Its parts must not stop other answers for too long. */
	bool is_pause_guarded;
	bool is_queued;		   /**< The request is already queued. */
	bool is_led_on_short_side; /**< A long prompt to be answered by an
					engine for short prompts. */
	double prefill_ms;	   /**< Prefill time on a single engine. */
	uint64_t kv_tokens;	   /**< KV memory that the request needs. */
	uint64_t short_rank_max; /**< Highest rank that takes short prompts. */
	uint32_t usable_count;	 /**< Usable upstreams of the service. */
	uint32_t limited_count;	 /**< Untried ones at their rate limit. */
	/** Least wait until this host may send one of these a request that has
	 * named a limit; 0 if some wait for their cold limit only. */
	int64_t limited_wait_ms;
	uint32_t healthy_count; /**< Usable upstreams that are not ejected. */
	uint32_t short_count;	/**< Healthy upstreams for short prompts. */
	struct split_demand demand; /**< Demand that the split is based on. */
};

/* placement.c */

/** The load of a service; an empty one is created for a new service. */
struct service_load *placement_get_service(
    struct placement *placement, uint64_t hash);
/** Milliseconds of prefill that an upstream still has to do. */
double placement_backlog_ms(
    const struct placement_upstream *upstream, int64_t now_ms);
/** Number of requests with short prompts that run at the upstream. */
uint32_t placement_count_short(const struct placement_upstream *upstream);
/** Whether the upstream runs the service, is usable and does not leave. */
bool placement_serves(const struct placement_upstream *upstream,
    const struct route_service *service);

/** Whether this host has known of upstreams for so short a time that it hasn't
 * heard yet what the other hosts have sent them. */
bool placement_is_starting(const struct placement *placement, int64_t now_ms);
/** Whether this deployment has switched a feature on. */
bool placement_has_feature(
    const struct placement *placement, enum placement_feature feature);

/** Whether a feature for large prompts is on and the service has engines enough
 * for it. With few of them, a large prompt that waits or has engines kept free for
 * it takes more from the others than it gains. */
bool placement_has_room_for(
    const struct placement_context *context, enum placement_feature feature);

/* placement_pick.c */

/** Longest pause between events that callers of the route accept, in
 * milliseconds; the target for the first token if the route sets no limit. */
double placement_pause_limit_ms(const struct route *route);

/* placement_candidates.c */

/** Returns the upstreams that may take the request as an array of struct
 * placement_candidate, cheapest first; free it with g_array_unref(). Counts
 * those that may not in the context. */
GArray *placement_collect_candidates(struct placement_context *context);

/** Moves the candidate at home or the one in another data centre to the front, the
 * latter with the share in which leaving pays. */
void placement_weigh_border(
    const struct placement_context *context, GArray *candidates);
/** Time that a part of the prompt costs on a helper in another data centre for
 * crossing the border, 0 for one at home. */
double placement_helper_border_ms(const struct placement_context *context,
    const struct placement_upstream *helper, double part_ms);
/** Moves a candidate to the front. */
void placement_candidate_to_front(GArray *candidates, guint index);

/* placement_turn.c */

/** Checks whether a long prompt may start now, and queues @p entry if it has to
 * wait. Errors: ERROR_CHANGE_PENDING and ERROR_DEADLINE_UNREACHABLE as
 * described at placement_pick(). */
enum error_code placement_check_turn(const struct placement_context *context,
    const GArray *candidates, struct placement_queue_entry *entry);
/** Puts the entry into the queue of long prompts, unless it is there, and sets its
 * time limits for so many engines that prefill it. */
void placement_queue_enter(const struct placement_context *context,
    struct placement_queue_entry *entry, uint32_t engines);
/** Time from which it is too late to start a prompt that needs @p prefill_ms of
 * prefill: the time left until its deadline wouldn't suffice for the prefill
 * and the answer, or its caller would have left before the first event. */
int64_t placement_latest_start_ms(
    const struct placement_context *context, double prefill_ms);
/** Time by which the answer must begin to be complete at the deadline. */
int64_t placement_latest_answer_ms(const struct placement_context *context);
/** Whether so little is in prefill or queued that a prompt that exceeds one
 * engine's memory may start. */
bool placement_is_idle_enough(
    const struct placement_context *context, const GArray *candidates);

/* placement_slot.c */

/** Checks whether a short prompt may start now. Errors: ERROR_CHANGE_PENDING if
 * it has to wait for a slot. */
enum error_code placement_check_slot(const struct placement_context *context,
    const GArray *candidates, struct placement_queue_entry *entry);
/** Moves a random candidate with a free slot to the front while slots are scarce,
 * or while this host doesn't know yet what the others have sent. */
void placement_spread_over_slots(
    const struct placement_context *context, GArray *candidates);
/** Ends the wait for a slot; does nothing if there is none. */
void placement_slot_leave(
    struct placement *placement, struct placement_queue_entry *entry);

/* placement_helpers.c */

/** Prefill time of the smallest parts that the prompt is divided into. */
double placement_smallest_part_ms(const struct placement_context *context);
/** Whether the answers on an upstream bear the pause for a part of this many
 * milliseconds, if the request is guarded. */
bool placement_bears_part(const struct placement_context *context,
    const struct placement_upstream *upstream, double part_ms);

/** Adds helpers to the choice, which prefill parts of the prompt. */
void placement_choose_helpers(const struct placement_context *context,
    const GArray *candidates, struct placement_choice *choice);
/** Assigns the part of the KV that the chosen upstream has no memory for to its
 * helpers; false if the helpers don't have enough memory either. */
bool placement_choose_reservations(
    const struct placement_context *context, struct placement_choice *choice);
/** Largest number of KV tokens that the engines of one prompt can hold. */
uint64_t placement_gathered_tokens_max(const struct placement_context *context);

/* placement_wait.c */

/** Makes the request wait and returns ERROR_CHANGE_PENDING. It is to be picked
 * again after @p retry_ms, 0 for any time soon. */
enum error_code placement_wait_for(struct placement_queue_entry *entry,
    enum placement_wait wait, int64_t retry_ms);
/** Sort key of a queued long prompt: the lowest key starts first. */
uint64_t placement_queue_key(
    const struct placement_queue_entry *entry, int64_t now_ms);
/** Lowest queue key of the service over all hosts, without the entry
 * @p except; UINT64_MAX if nothing else is queued. */
uint64_t placement_min_queue_key(const struct placement_context *context,
    const struct placement_queue_entry *except);
/** Prefill time of all queued long prompts of the service, in milliseconds on a
 * single engine. */
double placement_queued_prefill_ms(struct placement *placement,
    uint64_t service, const struct peer_demand *peers);

/* placement_notice.c */

/** Adds to a report the notices that this host received lately; the caller
 * frees report->notices with g_free(). */
void placement_notices_fill(const struct placement *placement,
    struct work_report *report, int64_t now_ms);
/** Records the notices in another host's report, sent at @p sent_ms. */
void placement_notices_receive(struct placement *placement,
    const struct work_report *report, int64_t sent_ms, int64_t now_ms);

/** Returns the hosts that share a limit of the upstream. Their order differs
 * between upstreams, so that no host is always the last one. */
struct notice_share placement_notice_share(const struct placement *placement,
    const struct placement_upstream *upstream);

/* placement_report.c */

/** Sum of the other hosts' demand for a service. */
struct peer_demand placement_peer_demand(
    struct placement *placement, uint64_t service, int64_t now_ms);
/** Recomputes the other hosts' load of every upstream if the reports or the
 * list of upstreams changed. */
void placement_sum_peer_loads(struct placement *placement, int64_t now_ms);
/** Demand of all hosts for a service; @p peers is the part of the others. */
struct split_demand placement_demand(struct placement *placement,
    uint64_t service, const struct peer_demand *peers, int64_t now_ms);

#endif
