#include "traffic_model.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/random_source.h"
#include "coordination/admission.h"
#include "coordination/fair_queue.h"
#include "coordination/fleet_view.h"
#include "coordination/prefix_index.h"
#include "coordination/retry.h"
#include "coordination/router.h"
#include "queue_model.h"

#define ENGINES		 20
#define HOSTS		 6
#define CENTRES		 3
#define ACCOUNTS	 10
#define LARGE_PART	 0.5	   /* Of requests, by the large account. */
#define RUN_US		 300000000 /* Of arrivals. */
#define DRAIN_US	 400000000 /* After the last arrival. */
#define HOP_US		 500	   /* Between data centres. */
#define REPORT_EVERY_US	 500000	   /* Between load reports. */
#define REPORT_LAG_US	 200000	   /* Until a report arrives. */
#define EVENT_LOSS	 0.2	   /* Of cache events. */
#define EVENT_LAG_US	 300000	   /* Until a cache event arrives. */
#define PUMP_EVERY_US	 10000	   /* Between looks at the queue. */
#define LEAVE_US	 100000000 /* The data centre is taken out. */
#define STOP_US		 130000000 /* Its engines stop. */
#define RETURN_US	 180000000 /* It is brought back, cold. */
#define SPREAD_US	 1000000   /* Until all hosts know. */
#define LEAVE_ALLOWED_US 5000000   /* After it, no new work. */
#define DEADLINE_BASE_MS 10000	   /* Time that each request has. */
#define DEADLINE_FACTOR	 4	   /* And of its own engine time. */
#define SESSION_PART	 0.4	   /* Of requests, with a known prefix. */
#define SESSIONS	 40	   /* Prefixes in use. */
#define PREFIX_PART	 0.6	   /* Of a session's prompt. */
#define LONG_PART	 0.02	   /* Of requests, over 100k tokens. */
#define TIMERS_MAX	 200000	   /* Pending at a time. */
#define US_PER_MS	 1000	   /* Microseconds a millisecond. */
#define PREFIX_ENTRIES	 4096	   /* Of a host's index. */
#define PREFIX_HALF_LIFE 60000	   /* Milliseconds. */

/** A request from arrival to its final answer. */
struct traffic_request {
	struct traffic *traffic;
	struct request_facts facts;
	struct model_job job;
	struct fleet_work work;
	struct fleet_entry tried; /* Of the current attempt. */
	uint64_t excluded[8];
	uint32_t excluded_count;
	uint32_t attempt;
	uint32_t host;
	uint32_t engine; /* ENGINES for none. */
	uint32_t band;
	int64_t arrived_us;
	double first_token_ms; /* Negative for none. */
	double expected_ms;
	bool is_admitted;
	bool is_over;
	bool is_in_time;
};

/** An entry host. */
struct traffic_host {
	struct traffic *traffic;
	uint32_t index;
	struct fleet fleet;
	struct capacity_slot slots[ENGINES];
	struct prefix_index prefixes;
	struct router_mix mix;
	struct admission admission;
	struct fair_queue queue;
	struct retry_budget budget;
	struct intent_account accounts[ACCOUNTS];
	uint32_t in_flight[ENGINES];
	uint32_t turn;
};

/** A scene. */
struct traffic {
	struct traffic_settings settings;
	struct traffic_result *result;
	struct timer_service timers; /* In microseconds. */
	struct random_source random;
	struct model_engine engines[ENGINES];
	struct upstream_record records[ENGINES];
	struct traffic_host hosts[HOSTS];
	struct router_settings router;
	struct retry_settings retry;
	GPtrArray *requests;
	uint64_t event_sequence[ENGINES];
	uint64_t report_sequence;
	uint64_t cached_tokens;
	uint64_t prompt_tokens;
	bool is_out[HOSTS];
};

/** A message that is under way. */
struct traffic_message {
	struct traffic *traffic;
	uint32_t host;
	struct upstream_load loads[ENGINES];
	struct cache_event event;
	bool is_out;
};

static const char *const centre_names[CENTRES] = {"a", "b", "c"};

static int64_t now_ms(const struct traffic *traffic);
static void later(struct traffic *traffic, int64_t delay_us,
    void (*run)(void *), void *context);
static void start_hosts(struct traffic *traffic);
static void make_requests(struct traffic *traffic);
static uint64_t draw_prompt(struct random_source *random, uint32_t *band);
static void arrive(void *context);
static void arrive_baseline(struct traffic_request *request);
static enum error_code choose(
    struct traffic_request *request, struct router_choice *choice);
static bool dispatch(
    struct traffic_request *request, const struct router_choice *choice);
static void send_job(struct traffic_request *request, uint32_t engine);
static void reach_engine(void *context);
static void note_first_token(void *context, struct model_job *job);
static void note_ended(void *context, struct model_job *job, bool is_whole);
static void note_cache(void *context, uint32_t engine,
    enum cache_event_kind kind, uint64_t prefix_hash);
static void apply_cache_event(void *context);
static void fail_attempt(struct traffic_request *request, bool has_run);
static void try_again(void *context);
static void pass_deadline(void *context);
static void finish_request(struct traffic_request *request, bool is_in_time);
static void enqueue(struct traffic_request *request, int64_t latest_ms);
static bool start_queued(void *context, const struct fair_queue_item *item);
static void pump_queues(void *context);
static void pump_host(struct traffic_host *host);
static void send_reports(void *context);
static void apply_reports(void *context);
static void update_grants(struct traffic *traffic);
static void leave_centre(void *context);
static void stop_centre(void *context);
static void return_centre(void *context);
static void tell_hosts(struct traffic *traffic, bool is_out);
static void apply_takeout(void *context);
static void sum_up(struct traffic *traffic);
static double find_quantile(GArray *values, double part);
static gint compare_doubles(gconstpointer left, gconstpointer right);

void
traffic_run(
    const struct traffic_settings *settings, struct traffic_result *result)
{
	struct model_ops ops = {note_first_token, note_ended, note_cache, NULL};
	struct timer_callback reports, pump;
	struct handle report_timer, pump_timer;
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
	traffic->router.chunk_tokens = MODEL_CHUNK_TOKENS;
	retry_settings_fill(&traffic->retry);
	for (i = 0; i < ENGINES; i++)
		model_engine_init(
		    &traffic->engines[i], i, &traffic->timers, &ops);
	start_hosts(traffic);
	make_requests(traffic);
	reports = (struct timer_callback){send_reports, traffic};
	timer_subscribe_every(
	    &traffic->timers, REPORT_EVERY_US, reports, &report_timer);
	pump = (struct timer_callback){pump_queues, traffic};
	timer_subscribe_every(
	    &traffic->timers, PUMP_EVERY_US, pump, &pump_timer);
	if (settings->centre_leaves) {
		later(traffic, LEAVE_US, leave_centre, traffic);
		later(traffic, STOP_US, stop_centre, traffic);
		later(traffic, RETURN_US, return_centre, traffic);
	}
	timer_advance(&traffic->timers, RUN_US + DRAIN_US);
	sum_up(traffic);
	for (i = 0; i < HOSTS; i++) {
		fair_queue_finish(&traffic->hosts[i].queue);
		admission_finish(&traffic->hosts[i].admission);
		prefix_index_finish(&traffic->hosts[i].prefixes);
		fleet_finish(&traffic->hosts[i].fleet);
	}
	for (i = 0; i < ENGINES; i++)
		model_engine_finish(&traffic->engines[i]);
	timer_finish(&traffic->timers);
	g_ptr_array_free(traffic->requests, TRUE);
	g_free(traffic);
}

static int64_t
now_ms(const struct traffic *traffic)
{
	return timer_now(&traffic->timers) / US_PER_MS;
}

static void
later(struct traffic *traffic, int64_t delay_us, void (*run)(void *),
    void *context)
{
	struct timer_callback callback = {run, context};
	struct handle timer;

	if (timer_subscribe_once(
		&traffic->timers, delay_us, callback, &timer) != ERROR_NONE)
		abort();
}

static struct capacity_slot *
open_slot(void *context, uint64_t upstream_id, uint64_t incarnation)
{
	struct traffic_host *host = context;
	uint32_t i;

	(void)incarnation;
	for (i = 0; i < ENGINES; i++) {
		if (host->traffic->records[i].id == upstream_id)
			return &host->slots[i];
	}
	return NULL;
}

static void
drop_slot(void *context, uint64_t upstream_id)
{
	(void)context;
	(void)upstream_id;
}

static void
visit_entries(void *context, const char *prefix,
    void (*visit)(void *visitor, const struct config_entry *entry),
    void *visitor)
{
	const struct config_entry takeout = {"takeout/b", "data_centre=b", 2};

	(void)prefix;
	if (*(bool *)context)
		visit(visitor, &takeout);
}

static void
start_host(struct traffic *traffic, struct traffic_host *host)
{
	struct fair_queue_settings queue = {2000, 1000};
	struct admission_settings admission = {0};
	struct fleet_settings settings = {0};
	struct fleet_ops ops = {open_slot, drop_slot, host};
	uint32_t i;

	host->traffic = traffic;
	settings.host_id = host->index + 1;
	g_strlcpy(settings.data_centre, centre_names[host->index % CENTRES],
	    NAME_SIZE_MAX);
	fleet_init(&host->fleet, &settings, &ops);
	for (i = 0; i < ENGINES; i++)
		fleet_put_upstream(&host->fleet, &traffic->records[i]);
	fleet_publish(&host->fleet);
	prefix_index_init(&host->prefixes, PREFIX_ENTRIES, PREFIX_HALF_LIFE);
	admission_init(&host->admission, &admission);
	fair_queue_init(&host->queue, &queue);
	retry_budget_init(&host->budget, &traffic->retry);
	for (i = 0; i < ACCOUNTS; i++) {
		host->accounts[i].id = i + 1;
		host->accounts[i].weight = 1;
	}
}

static void
start_hosts(struct traffic *traffic)
{
	struct upstream_record *record;
	uint32_t i;

	for (i = 0; i < ENGINES; i++) {
		record = &traffic->records[i];
		snprintf(record->name, NAME_SIZE_MAX, "engine-%u", i);
		g_strlcpy(record->data_centre, centre_names[i % CENTRES],
		    NAME_SIZE_MAX);
		record->id = upstream_id(record->name);
		record->incarnation = 1;
		record->sequence = 1;
		record->kind = UPSTREAM_KIND_MODEL;
		record->state = UPSTREAM_STATE_ACTIVE;
		record->model_count = 1;
		g_strlcpy(record->models[0], "m", NAME_SIZE_MAX);
		record->limits.kv_tokens = MODEL_KV_TOKENS;
		record->limits.prefill_tokens_per_s =
		    MODEL_PREFILL_TOKENS_PER_S;
		record->limits.decode_us_per_token = MODEL_STEP_LEAST_US;
	}
	for (i = 0; i < HOSTS; i++) {
		traffic->hosts[i].index = i;
		start_host(traffic, &traffic->hosts[i]);
	}
	update_grants(traffic);
}

/* Arrivals are drawn whole before the run, so that all policies get the same
 * ones, and the same short ones with and without long ones. */
static void
make_requests(struct traffic *traffic)
{
	struct random_source random;
	struct traffic_request *request;
	double mean_us, at_us, total;
	uint32_t i, band;

	random_init(&random, traffic->settings.seed + 1000);
	total = 0;
	for (i = 0; i < 20000; i++)
		total += model_engine_time(draw_prompt(&random, &band), 100);
	mean_us = total / 20000 / ENGINES / traffic->settings.load;
	random_init(&random, traffic->settings.seed);
	traffic->requests = g_ptr_array_new_with_free_func(g_free);
	at_us = random_exponential(&random, mean_us);
	while (at_us < RUN_US) {
		request = g_new0(struct traffic_request, 1);
		request->traffic = traffic;
		request->facts.prompt_tokens =
		    draw_prompt(&random, &request->band);
		request->facts.answer_tokens_max =
		    50 + random_below(&random, 100);
		request->facts.account_index =
		    random_unit(&random) < LARGE_PART
			? 0
			: random_below(&random, ACCOUNTS);
		request->host = random_below(&random, HOSTS);
		if (random_unit(&random) < SESSION_PART) {
			request->facts.prefix_count = 1;
			request->facts.prefix_hashes[0] =
			    1 + random_below(&random, SESSIONS) +
			    (uint64_t)request->band * SESSIONS;
			request->facts.prefix_tokens[0] =
			    (uint64_t)(PREFIX_PART *
				       (double)request->facts.prompt_tokens);
		}
		request->facts.id = traffic->requests->len + 1;
		request->arrived_us = (int64_t)at_us;
		g_ptr_array_add(traffic->requests, request);
		if (request->band < TRAFFIC_BANDS - 1 ||
		    !traffic->settings.without_long)
			later(traffic, (int64_t)at_us, arrive, request);
		at_us += random_exponential(&random, mean_us);
	}
}

/* Log-uniform inside each band; one in fifty is over 100,000 tokens. */
static uint64_t
draw_prompt(struct random_source *random, uint32_t *band)
{
	static const double edges[TRAFFIC_BANDS + 1] = {
	    1000, 4000, 32000, 100000, 1000000};
	static const double parts[TRAFFIC_BANDS] = {
	    0.70, 0.22, 0.06, LONG_PART};
	double draw;

	draw = random_unit(random);
	*band = 0;
	while (*band < TRAFFIC_BANDS - 1 && draw >= parts[*band]) {
		draw -= parts[*band];
		(*band)++;
	}
	return (uint64_t)(edges[*band] * pow(edges[*band + 1] / edges[*band],
					     random_unit(random)));
}

static void
arrive(void *context)
{
	struct traffic_request *request = context;
	struct traffic *traffic = request->traffic;
	struct traffic_host *host = &traffic->hosts[request->host];
	struct request_facts *facts = &request->facts;
	struct admission_prediction prediction = {0};
	struct admission_verdict verdict;
	struct router_choice choice;
	int64_t left_ms;

	left_ms =
	    DEADLINE_BASE_MS + (int64_t)(DEADLINE_FACTOR *
					 model_engine_time(facts->prompt_tokens,
					     facts->answer_tokens_max) /
					 US_PER_MS);
	facts->admitted_ms = now_ms(traffic);
	facts->deadline_ms = facts->admitted_ms + left_ms;
	facts->is_idempotent = true;
	facts->priority = REQUEST_PRIORITY_NORMAL;
	g_strlcpy(facts->model, "m", NAME_SIZE_MAX);
	request->engine = ENGINES;
	request->first_token_ms = -1;
	traffic->result->offered++;
	later(traffic, left_ms * US_PER_MS, pass_deadline, request);
	if (traffic->settings.policy != TRAFFIC_CHICORYTACK) {
		arrive_baseline(request);
		return;
	}
	router_mix_record(&host->mix, &traffic->router, facts->prompt_tokens,
	    facts->admitted_ms);
	choose(request, &choice);
	if (choice.count > 0) {
		prediction.first_token_ms = choice.candidates[0].first_token_ms;
		prediction.end_ms = choice.candidates[0].end_ms;
	} else {
		prediction.end_ms =
		    choice.wanted == NULL ? (double)left_ms : choice.wait_ms;
	}
	if (choice.count == 0 || fair_queue_count(&host->queue) > 0)
		prediction.queue_ms = admission_queue_ms(
		    &host->admission, fair_queue_cost_ahead(&host->queue,
					  facts->account_index + 1, 1));
	verdict = admission_decide(&host->admission,
	    &host->accounts[facts->account_index], facts, &prediction,
	    facts->admitted_ms);
	if (verdict.error != ERROR_NONE) {
		traffic->result->refused++;
		request->is_over = true;
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
	enqueue(request, verdict.latest_start_ms);
}

static void
arrive_baseline(struct traffic_request *request)
{
	struct traffic *traffic = request->traffic;
	struct traffic_host *host = &traffic->hosts[request->host];
	uint32_t i, at, best;

	request->is_admitted = true;
	best = ENGINES;
	for (i = 0; i < ENGINES; i++) {
		at = (host->turn + i) % ENGINES;
		if ((traffic->is_out[host->index] && at % CENTRES == 1) ||
		    traffic->engines[at].is_down)
			continue;
		if (best == ENGINES ||
		    (traffic->settings.policy == TRAFFIC_LEAST_IN_FLIGHT &&
			host->in_flight[at] < host->in_flight[best]))
			best = at;
	}
	if (best == ENGINES) {
		finish_request(request, false);
		return;
	}
	host->turn = (best + 1) % ENGINES;
	request->job.priority = REQUEST_PRIORITY_NORMAL;
	send_job(request, best);
}

static enum error_code
choose(struct traffic_request *request, struct router_choice *choice)
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
	query.now_ms = now_ms(traffic);
	view = fleet_lock(&host->fleet);
	error = router_choose(&traffic->router, view, &query, choice);
	fleet_unlock(view);
	return error;
}

/* One thread runs all, so the candidates stay valid outside the section. */
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
			now_ms(traffic)) != ERROR_NONE)
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
	if (traffic->settings.centre_leaves && engine % CENTRES == 1 &&
	    now_us > LEAVE_US + LEAVE_ALLOWED_US && now_us < RETURN_US)
		traffic->result->late_starts++;
	later(traffic, engine % CENTRES == host->index % CENTRES ? 1 : HOP_US,
	    reach_engine, request);
}

static void
reach_engine(void *context)
{
	struct traffic_request *request = context;
	struct traffic *traffic = request->traffic;

	if (request->is_over || request->engine == ENGINES)
		return;
	if (!model_engine_submit(
		&traffic->engines[request->engine], &request->job)) {
		fail_attempt(request, false);
		return;
	}
	traffic->prompt_tokens += request->job.prompt_tokens;
	traffic->cached_tokens +=
	    request->job.prompt_tokens - request->job.prefill_left;
}

static void
note_first_token(void *context, struct model_job *job)
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
		    traffic->records[request->engine].id, now_ms(traffic));
}

static void
note_ended(void *context, struct model_job *job, bool is_whole)
{
	struct traffic *traffic = context;
	struct traffic_request *request = job->owner;

	if (traffic->engines[request->engine].answers == MODEL_WARM_AFTER)
		update_grants(traffic);
	if (is_whole)
		finish_request(request, true);
	else
		fail_attempt(request, true);
}

static void
note_cache(void *context, uint32_t engine, enum cache_event_kind kind,
    uint64_t prefix_hash)
{
	struct traffic *traffic = context;
	struct traffic_message *message;
	uint32_t i;

	traffic->event_sequence[engine]++;
	for (i = 0; i < HOSTS; i++) {
		if (random_unit(&traffic->random) < EVENT_LOSS)
			continue;
		message = g_new0(struct traffic_message, 1);
		message->traffic = traffic;
		message->host = i;
		message->event.upstream_id = traffic->records[engine].id;
		message->event.incarnation = 1;
		message->event.sequence = traffic->event_sequence[engine];
		message->event.kind = kind;
		message->event.prefix_hash = prefix_hash;
		later(traffic, EVENT_LAG_US, apply_cache_event, message);
	}
}

static void
apply_cache_event(void *context)
{
	struct traffic_message *message = context;
	struct traffic *traffic = message->traffic;

	prefix_index_apply(&traffic->hosts[message->host].prefixes,
	    &message->event, now_ms(traffic));
	g_free(message);
}

static void
fail_attempt(struct traffic_request *request, bool has_run)
{
	struct traffic *traffic = request->traffic;
	struct traffic_host *host = &traffic->hosts[request->host];
	struct attempt_report report = {0};
	struct retry_verdict verdict;

	host->in_flight[request->engine]--;
	if (request->excluded_count < G_N_ELEMENTS(request->excluded))
		request->excluded[request->excluded_count++] =
		    traffic->records[request->engine].id;
	if (request->work.upstream != NULL)
		fleet_upstream_eject(
		    request->work.upstream, now_ms(traffic) + 1000);
	fleet_work_end(&request->work);
	request->engine = ENGINES;
	if (request->is_over)
		return;
	report.attempt = request->attempt;
	report.stage = has_run ? ATTEMPT_SENT : ATTEMPT_NOT_SENT;
	report.failure = ATTEMPT_CONNECTION;
	report.expected_ms = request->expected_ms;
	verdict = retry_decide(&traffic->retry, &host->budget, &request->facts,
	    &report, 0.5, now_ms(traffic));
	if (verdict.action == RETRY_GIVE_UP ||
	    traffic->settings.policy != TRAFFIC_CHICORYTACK) {
		finish_request(request, false);
		return;
	}
	traffic->result->retries++;
	later(
	    traffic, (int64_t)verdict.pause_ms * US_PER_MS, try_again, request);
}

static void
try_again(void *context)
{
	struct traffic_request *request = context;
	struct router_choice choice;

	if (request->is_over)
		return;
	choose(request, &choice);
	if (!dispatch(request, &choice))
		enqueue(request, request->facts.deadline_ms);
}

static void
pass_deadline(void *context)
{
	struct traffic_request *request = context;
	struct traffic *traffic = request->traffic;

	if (request->is_over)
		return;
	fair_queue_remove(
	    &traffic->hosts[request->host].queue, request->facts.id);
	if (request->engine != ENGINES)
		model_engine_cancel(
		    &traffic->engines[request->engine], &request->job);
	finish_request(request, false);
}

static void
finish_request(struct traffic_request *request, bool is_in_time)
{
	struct traffic_host *host = &request->traffic->hosts[request->host];

	if (request->engine != ENGINES)
		host->in_flight[request->engine]--;
	fleet_work_end(&request->work);
	request->engine = ENGINES;
	request->is_over = true;
	request->is_in_time = is_in_time;
	if (request->traffic->settings.policy != TRAFFIC_CHICORYTACK)
		return;
	admission_end(&host->admission, request->facts.account_index + 1);
	pump_host(host);
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
		now_ms(traffic)) != ERROR_NONE)
		finish_request(request, false);
}

static bool
start_queued(void *context, const struct fair_queue_item *item)
{
	struct traffic_request *request = item->context;
	struct traffic_host *host = context;
	struct router_choice choice;

	if (choose(request, &choice) != ERROR_NONE ||
	    !dispatch(request, &choice))
		return false;
	admission_record_start(
	    &host->admission, item->cost, true, now_ms(host->traffic));
	return true;
}

static void
pump_queues(void *context)
{
	struct traffic *traffic = context;
	uint32_t i;

	for (i = 0; i < HOSTS; i++)
		pump_host(&traffic->hosts[i]);
}

static void
pump_host(struct traffic_host *host)
{
	struct fair_queue_item item;

	if (fair_queue_count(&host->queue) == 0)
		return;
	while (
	    fair_queue_pop_expired(&host->queue, now_ms(host->traffic), &item))
		finish_request(item.context, false);
	while (fair_queue_pop(&host->queue, start_queued, host, &item))
		continue;
}

static void
send_reports(void *context)
{
	struct traffic *traffic = context;
	struct traffic_message *message;
	uint32_t i;

	if (timer_now(&traffic->timers) > RUN_US + DRAIN_US / 2)
		return;
	traffic->report_sequence++;
	message = g_new0(struct traffic_message, 1);
	message->traffic = traffic;
	for (i = 0; i < ENGINES; i++) {
		message->loads[i].id = traffic->records[i].id;
		message->loads[i].incarnation = 1;
		message->loads[i].sequence = traffic->report_sequence;
		message->loads[i].age_ms = REPORT_LAG_US / US_PER_MS;
		model_engine_report(&traffic->engines[i], &message->loads[i]);
	}
	later(traffic, REPORT_LAG_US, apply_reports, message);
}

static void
apply_reports(void *context)
{
	struct traffic_message *message = context;
	struct traffic *traffic = message->traffic;
	uint32_t host, i;

	for (host = 0; host < HOSTS; host++) {
		for (i = 0; i < ENGINES; i++)
			fleet_set_load(&traffic->hosts[host].fleet,
			    &message->loads[i], now_ms(traffic));
	}
	g_free(message);
}

/* A cold engine's load is shared out so that the sum keeps its bound. */
static void
update_grants(struct traffic *traffic)
{
	struct capacity_amount grant;
	uint32_t engine, host;
	bool is_cold;

	for (engine = 0; engine < ENGINES; engine++) {
		is_cold = traffic->engines[engine].is_cold;
		for (host = 0; host < HOSTS; host++) {
			grant = (struct capacity_amount){MODEL_BATCH_MAX,
			    UINT64_C(1) << 40, UINT64_C(1) << 40};
			if (is_cold) {
				grant.requests = (host + engine) % HOSTS <
							 MODEL_COLD_REQUESTS
						     ? 1
						     : 0;
				grant.prefill_tokens =
				    MODEL_COLD_TOKENS / MODEL_COLD_REQUESTS;
			}
			capacity_slot_grant(&traffic->hosts[host].slots[engine],
			    &grant, INT64_MAX);
			fleet_set_warm(&traffic->hosts[host].fleet,
			    traffic->records[engine].id, !is_cold);
		}
	}
}

static void
leave_centre(void *context)
{
	tell_hosts(context, true);
}

static void
stop_centre(void *context)
{
	struct traffic *traffic = context;
	uint32_t i;

	for (i = 1; i < ENGINES; i += CENTRES)
		model_engine_restart(&traffic->engines[i], RETURN_US - STOP_US);
	update_grants(traffic);
}

static void
return_centre(void *context)
{
	tell_hosts(context, false);
}

static void
tell_hosts(struct traffic *traffic, bool is_out)
{
	struct traffic_message *message;
	uint32_t i;

	for (i = 0; i < HOSTS; i++) {
		message = g_new0(struct traffic_message, 1);
		message->traffic = traffic;
		message->host = i;
		message->is_out = is_out;
		later(traffic, 1 + random_below(&traffic->random, SPREAD_US),
		    apply_takeout, message);
	}
}

static void
apply_takeout(void *context)
{
	struct traffic_message *message = context;
	struct traffic *traffic = message->traffic;
	struct traffic_host *host = &traffic->hosts[message->host];
	struct config_source source = {visit_entries, &message->is_out};

	traffic->is_out[host->index] = message->is_out;
	fleet_set_intent(&host->fleet, &source);
	fleet_publish(&host->fleet);
	g_free(message);
}

static void
sum_up(struct traffic *traffic)
{
	static const double parts[] = {0.5, 0.95, 0.99};
	struct traffic_result *result = traffic->result;
	struct traffic_request *request;
	GArray *values[TRAFFIC_BANDS];
	uint32_t i, j;

	for (i = 0; i < TRAFFIC_BANDS; i++)
		values[i] = g_array_new(FALSE, FALSE, sizeof(double));
	for (i = 0; i < traffic->requests->len; i++) {
		request = g_ptr_array_index(traffic->requests, i);
		if (request->facts.account_index != 0)
			result->small_offered++;
		if (!request->is_admitted)
			continue;
		if (request->facts.account_index != 0 && request->is_in_time)
			result->small_in_time++;
		result->admitted++;
		if (!request->is_over)
			result->lost++;
		else if (request->is_in_time)
			result->in_time++;
		else
			result->failed++;
		/* One that never began counts as having waited all its time. */
		if (request->first_token_ms < 0)
			request->first_token_ms =
			    (double)(request->facts.deadline_ms -
				     request->facts.admitted_ms);
		g_array_append_val(
		    values[request->band], request->first_token_ms);
	}
	for (i = 0; i < TRAFFIC_BANDS; i++) {
		g_array_sort(values[i], compare_doubles);
		for (j = 0; j < G_N_ELEMENTS(parts); j++)
			result->first_token_ms[i][j] =
			    find_quantile(values[i], parts[j]);
		g_array_free(values[i], TRUE);
	}
	for (i = 0; i < ENGINES; i++)
		result->falls += traffic->engines[i].falls;
	if (traffic->prompt_tokens > 0)
		result->cached_share = (double)traffic->cached_tokens /
				       (double)traffic->prompt_tokens;
}

static double
find_quantile(GArray *values, double part)
{
	if (values->len == 0)
		return 0;
	return g_array_index(
	    values, double, (guint)(part * (double)(values->len - 1)));
}

static gint
compare_doubles(gconstpointer left, gconstpointer right)
{
	const double *first = left, *second = right;

	if (*first == *second)
		return 0;
	return *first < *second ? -1 : 1;
}
