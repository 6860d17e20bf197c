#include "request/wait_line.h"

#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include "base/monotonic_clock.h"

#define MS_PER_S  1000.0
#define US_PER_MS 1000.0

static struct admission_prediction predict(struct wait_line *line,
    const struct fleet_view *view, const struct wait_ticket *ticket,
    const struct intent_account *account, enum error_code *error);
static double unloaded_ms(
    const struct upstream_limits *limits, const struct request_facts *facts);
static enum error_code choose_upstream(struct wait_line *line,
    const struct fleet_view *view, const struct wait_ticket *ticket,
    struct router_choice *choice);
static bool try_start(void *context, const struct fair_queue_item *item);
static void record_wanted(
    struct wait_ticket *ticket, const struct router_choice *choice);
static void end_work(struct wait_ticket *ticket);
static bool try_candidate(struct wait_line *line, struct wait_ticket *ticket,
    const struct router_candidate *candidate);
static void fill_assignment(
    struct wait_assignment *route, const struct router_candidate *candidate);
static void run_queue(struct wait_line *line);
static enum error_code push_ticket(
    struct wait_line *line, struct wait_ticket *ticket, uint32_t weight);
static void leave_queue(struct wait_line *line, struct wait_ticket *ticket);

enum error_code
wait_line_init(struct wait_line *line, const struct wait_line_parts *parts)
{
	enum error_code error;

	memset(line, 0, sizeof(*line));
	line->parts = *parts;
	error = admission_init(&line->admission, &parts->admission);
	if (error != ERROR_NONE)
		return error;
	error = fair_queue_init(&line->queue, &parts->queue);
	if (error != ERROR_NONE) {
		admission_finish(&line->admission);
		return error;
	}
	pthread_mutex_init(&line->mutex, NULL);
	return ERROR_NONE;
}

void
wait_line_finish(struct wait_line *line)
{
	fair_queue_finish(&line->queue);
	admission_finish(&line->admission);
	pthread_mutex_destroy(&line->mutex);
}

void
wait_line_close(struct wait_line *line)
{
	pthread_mutex_lock(&line->mutex);
	admission_close(&line->admission);
	pthread_mutex_unlock(&line->mutex);
}

void
wait_line_set_hosts(struct wait_line *line, uint32_t hosts)
{
	pthread_mutex_lock(&line->mutex);
	admission_set_hosts(&line->admission, hosts);
	pthread_mutex_unlock(&line->mutex);
}

void
wait_ticket_init(struct wait_ticket *ticket, const struct request_facts *facts)
{
	pthread_condattr_t attributes;

	memset(ticket, 0, sizeof(*ticket));
	ticket->facts = facts;
	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(&ticket->changed, &attributes);
	pthread_condattr_destroy(&attributes);
}

void
wait_ticket_finish(struct wait_ticket *ticket)
{
	pthread_cond_destroy(&ticket->changed);
}

enum error_code
wait_line_enter(struct wait_line *line, struct wait_ticket *ticket)
{
	struct admission_prediction prediction;
	struct admission_decision decision;
	const struct intent_account *account;
	const struct fleet_view *view;
	enum error_code error;
	uint32_t weight;

	weight = INTENT_WEIGHT_DEFAULT;
	pthread_mutex_lock(&line->mutex);
	view = fleet_lock(line->parts.fleet);
	account =
	    intent_account_by_name(view->intent, ticket->facts->client_account);
	error = account == NULL ? ERROR_UNAUTHENTICATED : ERROR_NONE;
	if (error != ERROR_NONE)
		goto unlock;
	ticket->account_id = account->id;
	weight = account->weight;
	prediction = predict(line, view, ticket, account, &error);
	if (error == ERROR_NO_UPSTREAM) {
		ticket->retry_after_ms = admission_retry_after(
		    &line->admission, prediction.queue_ms);
		goto unlock;
	}
	ticket->needs_group = error == ERROR_TOO_LARGE;
	decision = admission_decide(&line->admission, account, ticket->facts,
	    &prediction, line->parts.now_ms());
	ticket->retry_after_ms = decision.retry_after_ms;
	ticket->latest_start_ms = decision.latest_start_ms;
	error = decision.error;
	ticket->is_admitted = error == ERROR_NONE;
unlock:
	fleet_unlock(view);
	if (error == ERROR_NONE && !ticket->needs_group)
		error = push_ticket(line, ticket, weight);
	ticket->error = error;
	pthread_mutex_unlock(&line->mutex);
	return error;
}

enum error_code
wait_line_await(
    struct wait_line *line, struct wait_ticket *ticket, int64_t until_ms)
{
	enum error_code error;

	if (until_ms > ticket->latest_start_ms)
		until_ms = ticket->latest_start_ms;
	pthread_mutex_lock(&line->mutex);
	while (!ticket->has_started && line->parts.now_ms() < until_ms)
		line->parts.wait_until(
		    &ticket->changed, &line->mutex, until_ms);
	error = ERROR_NONE;
	if (!ticket->has_started &&
	    line->parts.now_ms() >= ticket->latest_start_ms) {
		leave_queue(line, ticket);
		error = ERROR_DEADLINE_UNREACHABLE;
		ticket->retry_after_ms = admission_retry_after(
		    &line->admission, admission_queue_ms(&line->admission,
					  line->queue.waiting_cost));
	} else if (!ticket->has_started) {
		error = ERROR_TIMEOUT;
	}
	ticket->error = error;
	pthread_mutex_unlock(&line->mutex);
	return error;
}

enum error_code
wait_line_requeue(struct wait_line *line, struct wait_ticket *ticket)
{
	const struct intent_account *account;
	const struct fleet_view *view;
	enum error_code error;
	uint32_t weight;

	pthread_mutex_lock(&line->mutex);
	end_work(ticket);
	view = fleet_lock(line->parts.fleet);
	account =
	    intent_account_by_name(view->intent, ticket->facts->client_account);
	weight = account == NULL ? INTENT_WEIGHT_DEFAULT : account->weight;
	fleet_unlock(view);
	error = push_ticket(line, ticket, weight);
	pthread_mutex_unlock(&line->mutex);
	return error;
}

void
wait_line_leave(struct wait_line *line, struct wait_ticket *ticket)
{
	pthread_mutex_lock(&line->mutex);
	leave_queue(line, ticket);
	end_work(ticket);
	if (ticket->is_admitted)
		admission_end(&line->admission, ticket->account_id);
	ticket->is_admitted = false;
	run_queue(line);
	pthread_mutex_unlock(&line->mutex);
}

void
wait_line_record_first_token(struct wait_line *line, struct wait_ticket *ticket)
{
	pthread_mutex_lock(&line->mutex);
	fleet_work_on_first_token(&ticket->assignment.work);
	run_queue(line);
	pthread_mutex_unlock(&line->mutex);
}

void
wait_line_dispatch(struct wait_line *line)
{
	pthread_mutex_lock(&line->mutex);
	run_queue(line);
	pthread_mutex_unlock(&line->mutex);
}

void
wait_line_visit(struct wait_line *line, uint32_t max,
    void (*visit)(void *context, const struct wait_ticket *ticket),
    void *context)
{
	const struct wait_ticket *ticket;
	GList *link;

	pthread_mutex_lock(&line->mutex);
	for (link = line->tickets.head; link != NULL && max > 0; max--) {
		ticket = link->data;
		visit(context, ticket);
		link = link->next;
	}
	pthread_mutex_unlock(&line->mutex);
}

static struct admission_prediction
predict(struct wait_line *line, const struct fleet_view *view,
    const struct wait_ticket *ticket, const struct intent_account *account,
    enum error_code *error)
{
	struct admission_prediction prediction = {0};
	struct router_choice choice;
	uint64_t cost_ahead;

	*error = choose_upstream(line, view, ticket, &choice);
	/* The time of a request that needs a group of upstreams is not
	 * predicted; only its deadline limits it. */
	if (*error == ERROR_TOO_LARGE)
		return prediction;
	cost_ahead =
	    fair_queue_cost_ahead(&line->queue, account->id, account->weight);
	prediction.queue_ms = admission_queue_ms(&line->admission, cost_ahead);
	if (choice.count > 0) {
		prediction.first_token_ms = choice.candidates[0].first_token_ms;
		prediction.end_ms = choice.candidates[0].end_ms;
	} else if (choice.wanted != NULL) {
		prediction.end_ms = unloaded_ms(
		    &choice.wanted->upstream->record.limits, ticket->facts);
	}
	if (choice.count == 0 && choice.wait_ms > prediction.queue_ms)
		prediction.queue_ms = choice.wait_ms;
	return prediction;
}

/* Returns the predicted time of a request on an upstream without other load.
 * While the whole fleet is full there is no better prediction; without one,
 * requests would wait until their deadlines instead of being refused. */
static double
unloaded_ms(
    const struct upstream_limits *limits, const struct request_facts *facts)
{
	double prefill_ms, decode_ms;

	prefill_ms = limits->prefill_tokens_per_s == 0
			 ? 0
			 : (double)facts->prompt_tokens * MS_PER_S /
			       limits->prefill_tokens_per_s;
	decode_ms = (double)facts->answer_tokens_max *
		    limits->decode_us_per_token / US_PER_MS;
	return prefill_ms + decode_ms;
}

static enum error_code
choose_upstream(struct wait_line *line, const struct fleet_view *view,
    const struct wait_ticket *ticket, struct router_choice *choice)
{
	struct router_query query = {0};

	memset(choice, 0, sizeof(*choice));
	query.facts = ticket->facts;
	query.account =
	    intent_account_by_name(view->intent, ticket->facts->client_account);
	if (query.account == NULL)
		return ERROR_UNAUTHENTICATED;
	query.prefixes = line->parts.prefixes;
	query.excluded = ticket->excluded;
	query.excluded_count = ticket->excluded_count;
	query.long_share = router_mix_share(line->parts.mix);
	query.now_ms = line->parts.now_ms();
	return router_choose(&line->parts.router, view, &query, choice);
}

static bool
try_start(void *context, const struct fair_queue_item *item)
{
	struct wait_ticket *ticket = item->context;
	struct wait_line *line = context;
	struct router_choice choice;
	const struct fleet_view *view;
	bool has_started;
	uint32_t i;

	if (!fleet_may_start_work(line->parts.fleet, line->parts.now_ms()))
		return false;
	has_started = false;
	view = fleet_lock(line->parts.fleet);
	if (choose_upstream(line, view, ticket, &choice) != ERROR_NONE)
		choice.count = 0;
	/* If the request has been tried at all upstreams that fit, allow them
	 * all again. */
	if (choice.count == 0 && choice.wanted == NULL)
		ticket->excluded_count = 0;
	for (i = 0; !has_started && i < choice.count; i++)
		has_started =
		    try_candidate(line, ticket, &choice.candidates[i]);
	record_wanted(ticket, &choice);
	fleet_unlock(view);
	return has_started;
}

/* Records the capacity that this host should request from the host that owns
 * the best upstream. */
static void
record_wanted(struct wait_ticket *ticket, const struct router_choice *choice)
{
	ticket->wanted_upstream_id =
	    choice->wanted == NULL ? 0 : choice->wanted->id;
	ticket->wanted = choice->wanted_amount;
}

static bool
try_candidate(struct wait_line *line, struct wait_ticket *ticket,
    const struct router_candidate *candidate)
{
	struct capacity_slot *slot;

	slot = candidate->entry->slot;
	/* A request suspected of crashing upstreams must run alone. The slot
	 * shows only the requests of this host. */
	if (ticket->must_run_alone && capacity_slot_used(slot).requests > 0)
		return false;
	if (fleet_work_begin(&ticket->assignment.work, candidate->entry,
		&candidate->amount, candidate->long_tokens,
		line->parts.now_ms()) != ERROR_NONE)
		return false;
	fill_assignment(&ticket->assignment, candidate);
	/* While it runs, other requests avoid the upstream. */
	if (ticket->must_run_alone)
		fleet_upstream_eject(
		    candidate->entry->upstream, ticket->facts->deadline_ms);
	return true;
}

/* Releases the capacity of a started request. The mutex must be held. */
static void
end_work(struct wait_ticket *ticket)
{
	if (ticket->has_started && ticket->must_run_alone)
		fleet_upstream_eject(ticket->assignment.work.upstream, 0);
	if (ticket->has_started)
		fleet_work_end(&ticket->assignment.work);
	ticket->has_started = false;
}

static void
fill_assignment(
    struct wait_assignment *route, const struct router_candidate *candidate)
{
	const struct upstream_record *record;

	record = &candidate->entry->upstream->record;
	snprintf(route->url, sizeof(route->url), "%s", record->url);
	snprintf(route->upstream_name, sizeof(route->upstream_name), "%s",
	    record->name);
	snprintf(route->data_centre, sizeof(route->data_centre), "%s",
	    record->data_centre);
	route->upstream_id = record->id;
	route->incarnation = record->incarnation;
	route->first_token_ms = candidate->first_token_ms;
	route->end_ms = candidate->end_ms;
	route->ahead_tokens = candidate->ahead_tokens;
}

/* Starts all queued requests that have capacity now, in fair order. The mutex
 * must be held. */
static void
run_queue(struct wait_line *line)
{
	struct fair_queue_item item;
	struct wait_ticket *ticket;

	while (fair_queue_pop(&line->queue, try_start, line, &item)) {
		ticket = item.context;
		ticket->is_queued = false;
		g_queue_unlink(&line->tickets, &ticket->link);
		ticket->has_started = true;
		admission_record_start(&line->admission, item.cost,
		    ticket->has_waited, line->parts.now_ms());
		pthread_cond_signal(&ticket->changed);
	}
	atomic_store(&line->waiting, fair_queue_count(&line->queue));
}

/* Queues a ticket and starts it at once if it has capacity. The mutex must be
 * held. */
static enum error_code
push_ticket(struct wait_line *line, struct wait_ticket *ticket, uint32_t weight)
{
	struct fair_queue_item item = {0};
	enum error_code error;

	item.request_id = ticket->facts->id;
	item.account_id = ticket->account_id;
	item.weight = weight;
	item.priority = ticket->facts->priority;
	item.cost = fair_queue_cost(
	    ticket->facts->prompt_tokens, ticket->facts->answer_tokens_max);
	item.latest_start_ms = ticket->latest_start_ms;
	item.context = ticket;
	error = fair_queue_push(&line->queue, &item, line->parts.now_ms());
	if (error != ERROR_NONE) {
		ticket->retry_after_ms = admission_retry_after(
		    &line->admission, admission_queue_ms(&line->admission,
					  line->queue.waiting_cost));
		return error;
	}
	ticket->is_queued = true;
	ticket->link.data = ticket;
	g_queue_push_tail_link(&line->tickets, &ticket->link);
	run_queue(line);
	ticket->has_waited = ticket->is_queued;
	return ERROR_NONE;
}

/* Removes the ticket from the queue, if it is queued. The mutex must be
 * held. */
static void
leave_queue(struct wait_line *line, struct wait_ticket *ticket)
{
	if (ticket->is_queued) {
		fair_queue_remove(&line->queue, ticket->facts->id);
		g_queue_unlink(&line->tickets, &ticket->link);
	}
	ticket->is_queued = false;
	atomic_store(&line->waiting, fair_queue_count(&line->queue));
}
