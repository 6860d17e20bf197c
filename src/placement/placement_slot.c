/**
 * @file placement_slot.c
 * Decides whether a short prompt may take a slot of an engine now.
 */
#include "placement/placement_parts.h"
#include "placement/placement_pause.h"

/* Weight of the newest answer in the mean time for which a slot is taken. */
#define ANSWER_WEIGHT 0.1
/* Share of the slots that prompts past their target leave to the others. */
#define LATE_RESERVE_SHARE 0.05
/* Time kept for a late answer, in mean times of an answer. */
#define LATE_ANSWERS 1.5
/* Share of the slots that become free which late prompts may count on. */
#define LATE_SHARE 0.5
/* Interval at which a prompt that can still meet its target tries again. */
#define ON_TIME_RETRY_MS 15
/* Interval at which one past its target tries again, up to half longer. */
#define LATE_RETRY_MS	  80
#define LATE_RETRY_MAX_MS (LATE_RETRY_MS * 3 / 2)
/* Passes of an engine until the first event of a prompt that it is given. */
#define FIRST_EVENT_PASSES 1.5
/* Share of the free slots that are taken until the hosts have heard of it: two
 * prompts that take the same slot cost more than a slot that is free for longer. */
#define CLAIMED_SHARE 0.6
/* Below this share of free slots, prompts are spread evenly over these, as all
 * hosts see the same engine as the cheapest one. */
#define SCARCE_SHARE 0.25
/* Time until the other hosts know of a slot that was taken. */
#define UNSEEN_MS 45
/* Tries of a waiting prompt past its target until the other hosts know of a
 * slot that was taken. */
#define LATE_TRIES_UNSEEN 0.25

/* Slots of the engines for short prompts. */
struct slot_count {
	double total; /* Slots of all these engines. */
	double free;  /* Slots that are not taken. */
};

static double first_event_ms(const struct placement_context *context,
    const struct placement_upstream *upstream);
static bool takes_free_slot(
    const struct placement_context *context, const struct slot_count *slots);
static enum error_code check_late(const struct placement_context *context,
    const struct slot_count *slots, struct placement_queue_entry *entry);
static bool is_crowded(const struct placement_context *context,
    const struct service_load *service, const struct slot_count *slots,
    int64_t remaining_ms);
static struct slot_count count_slots(const GArray *candidates);
static uint32_t free_slots(const struct placement_upstream *upstream);
static enum error_code wait_for_slot(const struct placement_context *context,
    struct placement_queue_entry *entry, int64_t retry_ms);

/*
 * For loads in which short answers need more slots than the engines have. A
 * queue at the engines would make every answer late by the same time. So a
 * prompt goes to an engine only if a slot is free there. The others wait here,
 * and once they are past their target they leave the slots to those that are
 * not: most answers are then in time, and the rest follow when the load falls,
 * or at the latest when their deadline requires it.
 */
enum error_code
placement_check_slot(const struct placement_context *context,
    const GArray *candidates, struct placement_queue_entry *entry)
{
	const struct placement_request *request = context->request;
	const struct placement_candidate *best;
	struct slot_count slots;
	int64_t last_on_time_ms;
	bool is_late;

	if (request->has_partial_answer)
		return ERROR_NONE;
	best = &g_array_index(candidates, struct placement_candidate, 0);
	last_on_time_ms = request->arrived_ms + request->route->target_ms -
			  (int64_t)(first_event_ms(context, best->upstream) +
				    best->backlog_ms);
	is_late = context->now_ms > last_on_time_ms;
	if (!is_late && free_slots(best->upstream) > 0 &&
	    !placement_has_feature(context->placement, PLACEMENT_SHARE_SLOTS))
		return ERROR_NONE;
	slots = count_slots(candidates);
	if (slots.total == 0)
		return ERROR_NONE;
	if (!is_late && free_slots(best->upstream) > 0 &&
	    takes_free_slot(context, &slots))
		return ERROR_NONE;
	if (is_late)
		return check_late(context, &slots, entry);
	return wait_for_slot(context, entry, ON_TIME_RETRY_MS);
}

/*
 * For loads in which the prompts that wait at many hosts outnumber the free slots.
 * Each host sees the same slots become free, and if all of them took these, an
 * engine with one free slot would get dozens of prompts at a time. So a prompt
 * takes a slot with the probability that leaves the slots to all that want them
 * until the hosts have heard which were taken.
 */
static bool
takes_free_slot(
    const struct placement_context *context, const struct slot_count *slots)
{
	struct placement *placement = context->placement;
	const struct service_load *service;
	double running, arriving, waiting;

	service = placement_get_service(placement, context->service);
	running = slots->total - slots->free;
	arriving = service->answer_ms > 0
		       ? running * UNSEEN_MS / service->answer_ms
		       : 0;
	waiting = ((double)service->waiting_for_slot +
		      (double)context->peers.waiting_for_slot) *
		  UNSEEN_MS / ON_TIME_RETRY_MS;
	return random_unit(&placement->random) * (arriving + waiting) <
	       slots->free * CLAIMED_SHARE;
}

void
placement_spread_over_slots(
    const struct placement_context *context, GArray *candidates)
{
	const struct placement_candidate *candidate;
	struct slot_count slots;
	double at;
	guint i;

	slots = count_slots(candidates);
	if (slots.free > slots.total * SCARCE_SHARE &&
	    !placement_is_starting(context->placement, context->now_ms))
		return;
	at = random_unit(&context->placement->random) * slots.free;
	for (i = 0; i < candidates->len; i++) {
		candidate =
		    &g_array_index(candidates, struct placement_candidate, i);
		if (!candidate->takes_short)
			continue;
		at -= free_slots(candidate->upstream);
		if (at >= 0)
			continue;
		placement_candidate_to_front(candidates, i);
		return;
	}
}

/* Time that a prompt needs on an engine for its first event. It waits for the end of
 * a pass, half of one on average, and is prefilled in the next one. */
static double
first_event_ms(const struct placement_context *context,
    const struct placement_upstream *upstream)
{
	const struct engine_speed *engine = &context->request->service->engine;
	struct pause_answers answers = {
	    .short_count = upstream->own.running + upstream->others.running,
	    .kv_tokens =
		(double)(upstream->own.kv_tokens + upstream->others.kv_tokens),
	};
	double passes_ms;

	passes_ms = FIRST_EVENT_PASSES_MS;
	if (placement_has_feature(context->placement, PLACEMENT_SHARE_SLOTS))
		passes_ms = MAX(passes_ms,
		    FIRST_EVENT_PASSES * pause_pass_ms(engine, &answers));
	return context->prefill_ms + passes_ms;
}

void
placement_slot_leave(
    struct placement *placement, struct placement_queue_entry *entry)
{
	struct service_load *service;

	if (entry->slot_service == 0)
		return;
	service = placement_get_service(placement, entry->slot_service);
	service->waiting_for_slot--;
	if (entry->is_late_waiting)
		service->late_waiting--;
	entry->is_late_waiting = false;
	entry->slot_service = 0;
}

bool
placement_is_crowded(
    struct placement *placement, const struct route_service *service)
{
	return placement_get_service(
		   placement, placement_service_hash(service->name))
		   ->late_waiting > 0;
}

void
placement_record_answer(struct placement *placement,
    const struct placement_work *work, double answer_ms)
{
	struct service_load *service;

	if (work->upstream_id == 0 || work->is_long || work->kv_tokens == 0)
		return;
	service = placement_get_service(placement, work->service);
	if (service->answer_ms == 0)
		service->answer_ms = answer_ms;
	service->answer_ms += ANSWER_WEIGHT * (answer_ms - service->answer_ms);
}

/* A prompt past its target goes if more slots are free than are kept for the
 * others, or if its deadline requires it. The waiting prompts of all hosts must
 * not take the same slots, so each goes with a probability only. */
static enum error_code
check_late(const struct placement_context *context,
    const struct slot_count *slots, struct placement_queue_entry *entry)
{
	struct placement *placement = context->placement;
	struct service_load *service;
	int64_t latest_start_ms, retry_ms;
	double spare, competing;

	service = placement_get_service(placement, context->service);
	if (context->now_ms >= context->request->deadline_ms -
				   (int64_t)(service->answer_ms * LATE_ANSWERS +
					     context->prefill_ms) -
				   context->request->route->target_ms)
		return ERROR_NONE;
	latest_start_ms =
	    placement_latest_start_ms(context, context->prefill_ms);
	/* The next try would come too late. */
	if (context->now_ms + LATE_RETRY_MAX_MS >= latest_start_ms ||
	    (!entry->is_late_waiting && is_crowded(context, service, slots,
					    latest_start_ms - context->now_ms)))
		return ERROR_DEADLINE_UNREACHABLE;
	spare = slots->free - slots->total * LATE_RESERVE_SHARE;
	competing = MAX(service->waiting_for_slot, 1u) *
		    MAX(placement->host_count, 1u) * LATE_TRIES_UNSEEN;
	if (spare > 0 &&
	    random_unit(&placement->random) * MAX(competing, 1.0) < spare)
		return ERROR_NONE;
	retry_ms =
	    LATE_RETRY_MS + random_below(&placement->random, LATE_RETRY_MS / 2);
	if (!entry->is_late_waiting) {
		entry->is_late_waiting = true;
		service->late_waiting++;
	}
	return wait_for_slot(context, entry, retry_ms);
}

/* Whether so many late prompts wait already that one more would hardly get a slot
 * before its caller leaves. */
static bool
is_crowded(const struct placement_context *context,
    const struct service_load *service, const struct slot_count *slots,
    int64_t remaining_ms)
{
	double slots_in_time;

	if (service->answer_ms <= 0)
		return false;
	slots_in_time = slots->total * LATE_SHARE /
			MAX(context->placement->host_count, 1u) *
			(double)remaining_ms / service->answer_ms;
	return service->late_waiting >= slots_in_time;
}

/* Counts the slots of the candidates that take short prompts. */
static struct slot_count
count_slots(const GArray *candidates)
{
	const struct placement_candidate *candidate;
	struct slot_count slots = {0};
	guint i;

	for (i = 0; i < candidates->len; i++) {
		candidate =
		    &g_array_index(candidates, struct placement_candidate, i);
		if (!candidate->takes_short)
			continue;
		slots.total += candidate->upstream->slots;
		slots.free += free_slots(candidate->upstream);
	}
	return slots;
}

static uint32_t
free_slots(const struct placement_upstream *upstream)
{
	uint32_t running;

	running = upstream->own.running + upstream->others.running;
	return running < upstream->slots ? upstream->slots - running : 0;
}

static enum error_code
wait_for_slot(const struct placement_context *context,
    struct placement_queue_entry *entry, int64_t retry_ms)
{
	struct service_load *service;

	if (entry->slot_service == 0) {
		entry->slot_service = context->service;
		service =
		    placement_get_service(context->placement, context->service);
		service->waiting_for_slot++;
	}
	return placement_wait_for(entry, PLACEMENT_WAIT_SLOT, retry_ms);
}
