/**
 * @file placement_parts.h
 * What the source files of placement share; nobody else includes it.
 */
#ifndef PLACEMENT_PARTS_H
#define PLACEMENT_PARTS_H

#include "coordination/placement.h"

/** Another host's last report. */
struct peer_work {
	struct work_report report; /**< As it came. */
	int64_t taken_ms;	   /**< When it came. */
};

/** What this host asks of a service. */
struct service_load {
	uint64_t hash;		      /**< Of its name. */
	uint32_t light_running;	      /**< Requests with short prompts. */
	struct split_rate heavy_rate; /**< Work that long prompts bring. */
};

/** Mean prompt of a route. */
struct prompt_profile {
	double mean_tokens; /**< Fading average. */
};

/** What the other hosts ask of a service, by their last reports. */
struct peer_demand {
	double light;	   /**< Engines, for short prompts. */
	double heavy;	   /**< Engines, for long prompts. */
	double waiting_ms; /**< Work of the long prompts that wait. */
	uint64_t best_key; /**< The lowest of theirs, UINT64_MAX for none. */
};

/** An upstream that may take a request, and what that would cost. */
struct placement_candidate {
	struct placement_upstream *upstream; /**< Until the next update. */
	double cost_ms;			     /**< The cheapest is taken. */
	double backlog_ms; /**< placement_backlog_ms() of the upstream. */
	bool is_light;	   /**< On the side of short prompts. */
};

/** What the candidates of one request are gathered by. */
struct placement_gathering {
	struct placement *placement;		 /**< Whose they are. */
	const struct placement_request *request; /**< For which. */
	int64_t now_ms;				 /**< Time of the decision. */
	uint64_t service;	  /**< placement_service_hash() of its. */
	struct peer_demand peers; /**< What the other hosts ask of it. */
	double others_waiting_ms; /**< Work of the long prompts that wait,
					without this one's. */
	bool is_heavy;		  /**< It has a long prompt... */
	bool is_too_large;	  /**< ...over the memory of any engine. */
	bool is_waiting;	  /**< Counted among those that wait. */
	bool is_light_led;	  /**< To be led on the short prompts' side. */
	double whole_read_ms;	  /**< Its prompt, read by one engine. */
	uint64_t kv_tokens;	  /**< Memory that it takes. */
	uint64_t light_rank_max;  /**< Ranks up to it take short prompts. */
	uint32_t usable_count;	  /**< Upstreams of the service... */
	uint32_t healthy_count;	  /**< ...of these, not ejected... */
	uint32_t light_count;	  /**< ...of these, for short prompts. */
	struct split_demand demand; /**< That led to it. */
};

/* placement.c */

/** Hash of a service's name, as reports carry it. */
uint64_t placement_service_hash(const char *name);
/** The load of a service, made when it is new. */
struct service_load *placement_service(
    struct placement *placement, uint64_t hash);
/** Milliseconds that an upstream takes to read what it has. */
double placement_backlog_ms(
    const struct placement_upstream *upstream, int64_t now_ms);
/** Requests with short prompts that are still answered there. */
uint32_t placement_count_short(const struct placement_upstream *upstream);
/** Whether the upstream may get new requests of the service. */
bool placement_serves(const struct placement_upstream *upstream,
    const struct route_service *service);

/* placement_turn.c */

/** Whether a long prompt may go now. Errors: those of placement_pick(). */
enum error_code placement_take_turn(const struct placement_gathering *gathering,
    const GArray *candidates, struct placement_waiter *waiter);
/** When it is of no use any more to begin a prompt that takes @p read_ms to
 * read: what is left then is too short to read it and to answer. */
int64_t placement_useless_ms(
    const struct placement_request *request, double read_ms);
/** Whether nothing else is read or waits: a prompt over one engine's memory
 * may go. */
bool placement_is_idle_enough(
    const struct placement_gathering *gathering, const GArray *candidates);

/* placement_helpers.c */

/** Adds helpers that read parts of the prompt. */
void placement_choose_helpers(const struct placement_gathering *gathering,
    const GArray *candidates, struct placement_choice *choice);
/** Lets helpers keep what the chosen upstream has no room for; false if they
 * have none either. */
bool placement_choose_holders(const struct placement_gathering *gathering,
    struct placement_choice *choice);

/* placement_wait.c */

/** Rank of a long prompt among those that wait: the lowest goes first. */
uint64_t placement_wait_key(
    const struct placement_waiter *waiter, int64_t now_ms);
/** The lowest key of all hosts but for @p except's; UINT64_MAX for none. */
uint64_t placement_best_key(const struct placement_gathering *gathering,
    const struct placement_waiter *except);
/** Work of all long prompts that wait, in milliseconds of one engine. */
double placement_waiting_ms(struct placement *placement, uint64_t service,
    const struct peer_demand *peers);

/* placement_report.c */

/** Sums the demand of the other hosts up. */
struct peer_demand placement_peer_demand(
    struct placement *placement, uint64_t service, int64_t now_ms);
/** Sums the other hosts' work up, if a report came since. */
void placement_sum_others(struct placement *placement, int64_t now_ms);
/** What all hosts ask of a service, the others as @p peers. */
struct split_demand placement_demand(struct placement *placement,
    uint64_t service, const struct peer_demand *peers, int64_t now_ms);

#endif
