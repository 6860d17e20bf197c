#include <stdlib.h>
#include <string.h>

#include "traffic_parts.h"

#define CROSS_CENTRE_DELAY_US 500    /* One-way delay between data centres. */
#define REPORT_INTERVAL_US    500000 /* Period of an engine's load reports. */
#define DISPATCH_INTERVAL_US  10000  /* Period of checks of the queues. */
#define CENTRE_LEAVES_US      100000000 /* When data centre b is taken out. */
/* Requests that start in data centre b later than this after its takeout are
 * counted. */
#define LEAVE_GRACE_US 5000000
/* A request's deadline is DEADLINE_BASE_MS plus DEADLINE_FACTOR times the
 * engine time that it needs. */
#define DEADLINE_BASE_MS 10000
#define DEADLINE_FACTOR	 4
#define TIMERS_MAX	 200000 /* Timers pending at a time. */

static int64_t begin_request(struct traffic_request *request);
static void route_baseline(struct traffic_request *request);
static enum error_code choose_candidates(
    struct traffic_request *request, struct router_choice *choice);
static bool dispatch(
    struct traffic_request *request, const struct router_choice *choice);
static void send_job(struct traffic_request *request, uint32_t engine);
static void on_engine_reached(void *context);
static void on_first_token(void *context, struct model_job *job);
static void on_job_ended(void *context, struct model_job *job, bool is_whole);
static void fail_attempt(struct traffic_request *request, bool was_sent);
static void retry_request(void *context);
static void on_deadline(void *context);
static void finish_request(struct traffic_request *request, bool is_in_time);
static void enqueue(struct traffic_request *request, int64_t latest_ms);
static bool start_queued(void *context, const struct fair_queue_item *item);
static void dispatch_all_queues(void *context);
static void dispatch_queue(struct traffic_host *host);

void
traffic_run(
    const struct traffic_settings *settings, struct traffic_result *result)
{
	struct model_ops ops = {
	    on_first_token, on_job_ended, traffic_on_cache_changed, NULL};
	struct timer_callback reports, dispatch_all;
	struct handle report_timer, dispatch_timer;
	struct traffic *traffic;
	uint32_t i;

	traffic = g_new0(struct traffic, 1);
	memset(result, 0, sizeof(*result));
	traffic->settings = *settings;
	traffic->result = result;
	ops.context = traffic;
	random_init(&traffic->random, settings->seed);
	timer_init(&traffic->timers, TIMERS_MAX, 0);
	router_settings_fill(&traffic->router);
	traffic->router.chunk_tokens = MODEL_PREFILL_CHUNK_TOKENS;
	retry_settings_fill(&traffic->retry);
	for (i = 0; i < ENGINE_COUNT; i++)
		model_engine_init(
		    &traffic->engines[i], i, &traffic->timers, &ops);
	traffic_start_hosts(traffic);
	traffic_make_requests(traffic);
	reports = (struct timer_callback){traffic_send_reports, traffic};
	timer_subscribe_every(
	    &traffic->timers, REPORT_INTERVAL_US, reports, &report_timer);
	dispatch_all = (struct timer_callback){dispatch_all_queues, traffic};
	timer_subscribe_every(&traffic->timers, DISPATCH_INTERVAL_US,
	    dispatch_all, &dispatch_timer);
	if (settings->centre_leaves) {
		traffic_schedule(traffic, CENTRE_LEAVES_US,
		    traffic_take_out_centre, traffic);
		traffic_schedule(traffic, CENTRE_STOPS_US,
		    traffic_stop_centre_engines, traffic);
		traffic_schedule(traffic, CENTRE_RETURNS_US,
		    traffic_bring_back_centre, traffic);
	}
	timer_advance(
	    &traffic->timers, ARRIVALS_DURATION_US + DRAIN_DURATION_US);
	traffic_compute_result(traffic);
	for (i = 0; i < HOST_COUNT; i++) {
		fair_queue_finish(&traffic->hosts[i].queue);
		admission_finish(&traffic->hosts[i].admission);
		prefix_index_finish(&traffic->hosts[i].prefixes);
		fleet_finish(&traffic->hosts[i].fleet);
	}
	for (i = 0; i < ENGINE_COUNT; i++)
		model_engine_finish(&traffic->engines[i]);
	timer_finish(&traffic->timers);
	g_ptr_array_free(traffic->requests, TRUE);
	g_free(traffic);
}

int64_t
traffic_now_ms(const struct traffic *traffic)
{
	return timer_now(&traffic->timers) / US_PER_MS;
}

void
traffic_schedule(struct traffic *traffic, int64_t delay_us, void (*run)(void *),
    void *context)
{
	struct timer_callback callback = {run, context};
	struct handle timer;

	if (timer_subscribe_once(
		&traffic->timers, delay_us, callback, &timer) != ERROR_NONE)
		abort();
}

void
traffic_on_arrival(void *context)
{
	struct traffic_request *request = context;
	struct traffic *traffic = request->traffic;
	struct traffic_host *host = &traffic->hosts[request->host];
	struct request_facts *facts = &request->facts;
	struct admission_prediction prediction = {0};
	struct admission_decision decision;
	struct router_choice choice;
	int64_t time_left_ms;

	time_left_ms = begin_request(request);
	if (traffic->settings.policy != TRAFFIC_CHICORYTACK) {
		route_baseline(request);
		return;
	}
	router_mix_record(&host->mix, &traffic->router, facts->prompt_tokens,
	    facts->admitted_ms);
	choose_candidates(request, &choice);
	if (choice.count > 0) {
		prediction.first_token_ms = choice.candidates[0].first_token_ms;
		prediction.end_ms = choice.candidates[0].end_ms;
	} else {
		prediction.end_ms = choice.wanted == NULL ? (double)time_left_ms
							  : choice.wait_ms;
	}
	if (choice.count == 0 || fair_queue_count(&host->queue) > 0)
		prediction.queue_ms = admission_queue_ms(
		    &host->admission, fair_queue_cost_ahead(&host->queue,
					  facts->account_index + 1, 1));
	decision = admission_decide(&host->admission,
	    &host->accounts[facts->account_index], facts, &prediction,
	    facts->admitted_ms);
	if (decision.error != ERROR_NONE) {
		traffic->result->refused++;
		request->has_ended = true;
		return;
	}
	request->is_admitted = true;
	retry_budget_record_admitted(&host->budget, &traffic->retry);
	if (fair_queue_count(&host->queue) == 0 && dispatch(request, &choice)) {
		admission_record_start(&host->admission,
		    fair_queue_cost(
			facts->prompt_tokens, facts->answer_tokens_max),
		    false, facts->admitted_ms);
		return;
	}
	enqueue(request, decision.latest_start_ms);
}

/* Counts a request that arrives and sets its deadline. Returns the time until
 * then, in milliseconds. */
static int64_t
begin_request(struct traffic_request *request)
{
	struct traffic *traffic = request->traffic;
	struct request_facts *facts = &request->facts;
	int64_t time_left_ms;

	time_left_ms = DEADLINE_BASE_MS +
		       (int64_t)(DEADLINE_FACTOR *
				 model_engine_time_us(facts->prompt_tokens,
				     facts->answer_tokens_max) /
				 US_PER_MS);
	facts->admitted_ms = traffic_now_ms(traffic);
	facts->deadline_ms = facts->admitted_ms + time_left_ms;
	facts->is_idempotent = true;
	facts->priority = REQUEST_PRIORITY_NORMAL;
	g_strlcpy(facts->model, "m", NAME_SIZE_MAX);
	request->engine = ENGINE_COUNT;
	request->first_token_ms = -1;
	traffic->result->offered++;
	traffic_schedule(
	    traffic, time_left_ms * US_PER_MS, on_deadline, request);
	return time_left_ms;
}

static void
route_baseline(struct traffic_request *request)
{
	struct traffic *traffic = request->traffic;
	struct traffic_host *host = &traffic->hosts[request->host];
	uint32_t i, engine, best;

	request->is_admitted = true;
	best = ENGINE_COUNT;
	for (i = 0; i < ENGINE_COUNT; i++) {
		engine = (host->next_engine + i) % ENGINE_COUNT;
		if ((traffic->is_taken_out[host->index] &&
			engine % CENTRE_COUNT == 1) ||
		    traffic->engines[engine].is_down)
			continue;
		if (best == ENGINE_COUNT ||
		    (traffic->settings.policy == TRAFFIC_LEAST_IN_FLIGHT &&
			host->in_flight[engine] < host->in_flight[best]))
			best = engine;
	}
	if (best == ENGINE_COUNT) {
		finish_request(request, false);
		return;
	}
	host->next_engine = (best + 1) % ENGINE_COUNT;
	request->job.priority = REQUEST_PRIORITY_NORMAL;
	send_job(request, best);
}

static enum error_code
choose_candidates(struct traffic_request *request, struct router_choice *choice)
{
	struct traffic *traffic = request->traffic;
	struct traffic_host *host = &traffic->hosts[request->host];
	struct router_query query = {0};
	const struct fleet_view *view;
	enum error_code error;

	query.facts = &request->facts;
	query.account = &host->accounts[request->facts.account_index];
	query.prefixes = &host->prefixes;
	query.excluded = request->excluded;
	query.excluded_count = request->excluded_count;
	query.long_share = router_mix_share(&host->mix);
	query.now_ms = traffic_now_ms(traffic);
	view = fleet_lock(&host->fleet);
	error = router_choose(&traffic->router, view, &query, choice);
	fleet_unlock(view);
	return error;
}

/* Starts the request on the first candidate with free capacity. All code runs
 * on one thread, so the candidates stay valid after the read section. */
static bool
dispatch(struct traffic_request *request, const struct router_choice *choice)
{
	struct traffic *traffic = request->traffic;
	const struct router_candidate *candidate;
	uint32_t i;

	for (i = 0; i < choice->count; i++) {
		candidate = &choice->candidates[i];
		if (fleet_work_begin(&request->work, candidate->entry,
			&candidate->amount, candidate->long_tokens,
			traffic_now_ms(traffic)) != ERROR_NONE)
			continue;
		request->expected_ms = candidate->end_ms;
		request->job.priority =
		    router_engine_priority(&traffic->router, &request->facts);
		send_job(
		    request, (uint32_t)(candidate->entry->slot -
					traffic->hosts[request->host].slots));
		return true;
	}
	return false;
}

static void
send_job(struct traffic_request *request, uint32_t engine)
{
	struct traffic *traffic = request->traffic;
	struct traffic_host *host = &traffic->hosts[request->host];
	int64_t now_us = timer_now(&traffic->timers);

	request->attempt++;
	request->engine = engine;
	request->job.owner = request;
	request->job.prompt_tokens = request->facts.prompt_tokens;
	request->job.answer_tokens = request->facts.answer_tokens_max;
	request->job.prefix_hash = request->facts.prefix_count == 0
				       ? 0
				       : request->facts.prefix_hashes[0];
	request->job.prefix_tokens = request->facts.prefix_tokens[0];
	host->in_flight[engine]++;
	if (traffic->settings.centre_leaves && engine % CENTRE_COUNT == 1 &&
	    now_us > CENTRE_LEAVES_US + LEAVE_GRACE_US &&
	    now_us < CENTRE_RETURNS_US)
		traffic->result->starts_after_leave++;
	traffic_schedule(traffic,
	    engine % CENTRE_COUNT == host->index % CENTRE_COUNT
		? 1
		: CROSS_CENTRE_DELAY_US,
	    on_engine_reached, request);
}

static void
on_engine_reached(void *context)
{
	struct traffic_request *request = context;
	struct traffic *traffic = request->traffic;

	if (request->has_ended || request->engine == ENGINE_COUNT)
		return;
	if (!model_engine_submit(
		&traffic->engines[request->engine], &request->job)) {
		fail_attempt(request, false);
		return;
	}
	traffic->prompt_tokens += request->job.prompt_tokens;
	traffic->cached_tokens +=
	    request->job.prompt_tokens - request->job.prefill_tokens_left;
}

static void
on_first_token(void *context, struct model_job *job)
{
	struct traffic *traffic = context;
	struct traffic_request *request = job->owner;
	struct traffic_host *host = &traffic->hosts[request->host];

	fleet_work_on_first_token(&request->work);
	if (request->first_token_ms < 0)
		request->first_token_ms = (double)(timer_now(&traffic->timers) -
						   request->arrived_us) /
					  US_PER_MS;
	if (traffic->settings.policy == TRAFFIC_CHICORYTACK)
		prefix_index_record(&host->prefixes, &request->facts,
		    traffic->records[request->engine].id,
		    traffic_now_ms(traffic));
}

static void
on_job_ended(void *context, struct model_job *job, bool is_whole)
{
	struct traffic *traffic = context;
	struct traffic_request *request = job->owner;

	if (traffic->engines[request->engine].answers_since_start ==
	    MODEL_WARM_AFTER_ANSWERS)
		traffic_update_grants(traffic);
	if (is_whole)
		finish_request(request, true);
	else
		fail_attempt(request, true);
}

static void
fail_attempt(struct traffic_request *request, bool was_sent)
{
	struct traffic *traffic = request->traffic;
	struct traffic_host *host = &traffic->hosts[request->host];
	struct attempt_report report = {0};
	struct retry_decision decision;

	host->in_flight[request->engine]--;
	if (request->excluded_count < G_N_ELEMENTS(request->excluded))
		request->excluded[request->excluded_count++] =
		    traffic->records[request->engine].id;
	if (request->work.upstream != NULL)
		fleet_upstream_eject(
		    request->work.upstream, traffic_now_ms(traffic) + 1000);
	fleet_work_end(&request->work);
	request->engine = ENGINE_COUNT;
	if (request->has_ended)
		return;
	report.attempt = request->attempt;
	report.stage = was_sent ? ATTEMPT_SENT : ATTEMPT_NOT_SENT;
	report.failure = ATTEMPT_CONNECTION;
	report.expected_ms = request->expected_ms;
	decision = retry_decide(&traffic->retry, &host->budget, &request->facts,
	    &report, 0.5, traffic_now_ms(traffic));
	if (decision.action == RETRY_GIVE_UP ||
	    traffic->settings.policy != TRAFFIC_CHICORYTACK) {
		finish_request(request, false);
		return;
	}
	traffic->result->retries++;
	traffic_schedule(traffic, (int64_t)decision.pause_ms * US_PER_MS,
	    retry_request, request);
}

static void
retry_request(void *context)
{
	struct traffic_request *request = context;
	struct router_choice choice;

	if (request->has_ended)
		return;
	choose_candidates(request, &choice);
	if (!dispatch(request, &choice))
		enqueue(request, request->facts.deadline_ms);
}

static void
on_deadline(void *context)
{
	struct traffic_request *request = context;
	struct traffic *traffic = request->traffic;

	if (request->has_ended)
		return;
	fair_queue_remove(
	    &traffic->hosts[request->host].queue, request->facts.id);
	if (request->engine != ENGINE_COUNT)
		model_engine_cancel(
		    &traffic->engines[request->engine], &request->job);
	finish_request(request, false);
}

static void
finish_request(struct traffic_request *request, bool is_in_time)
{
	struct traffic_host *host = &request->traffic->hosts[request->host];

	if (request->engine != ENGINE_COUNT)
		host->in_flight[request->engine]--;
	fleet_work_end(&request->work);
	request->engine = ENGINE_COUNT;
	request->has_ended = true;
	request->is_in_time = is_in_time;
	if (request->traffic->settings.policy != TRAFFIC_CHICORYTACK)
		return;
	admission_end(&host->admission, request->facts.account_index + 1);
	dispatch_queue(host);
}

static void
enqueue(struct traffic_request *request, int64_t latest_ms)
{
	struct traffic *traffic = request->traffic;
	struct fair_queue_item item = {0};

	item.request_id = request->facts.id;
	item.account_id = request->facts.account_index + 1;
	item.weight = 1;
	item.priority = request->facts.priority;
	item.cost = fair_queue_cost(
	    request->facts.prompt_tokens, request->facts.answer_tokens_max);
	item.latest_start_ms = latest_ms;
	item.context = request;
	if (fair_queue_push(&traffic->hosts[request->host].queue, &item,
		traffic_now_ms(traffic)) != ERROR_NONE)
		finish_request(request, false);
}

static bool
start_queued(void *context, const struct fair_queue_item *item)
{
	struct traffic_request *request = item->context;
	struct traffic_host *host = context;
	struct router_choice choice;

	if (choose_candidates(request, &choice) != ERROR_NONE ||
	    !dispatch(request, &choice))
		return false;
	admission_record_start(
	    &host->admission, item->cost, true, traffic_now_ms(host->traffic));
	return true;
}

static void
dispatch_all_queues(void *context)
{
	struct traffic *traffic = context;
	uint32_t i;

	for (i = 0; i < HOST_COUNT; i++)
		dispatch_queue(&traffic->hosts[i]);
}

static void
dispatch_queue(struct traffic_host *host)
{
	struct fair_queue_item item;

	if (fair_queue_count(&host->queue) == 0)
		return;
	while (fair_queue_pop_expired(
	    &host->queue, traffic_now_ms(host->traffic), &item))
		finish_request(item.context, false);
	while (fair_queue_pop(&host->queue, start_queued, host, &item))
		continue;
}
