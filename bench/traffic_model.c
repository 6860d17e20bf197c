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

#define ENGINE_COUNT	       20
#define HOST_COUNT	       6
#define CENTRE_COUNT	       3
#define ACCOUNT_COUNT	       10
#define LARGE_ACCOUNT_SHARE    0.5	 /* Share of requests from account 0. */
#define ARRIVALS_DURATION_US   300000000 /* Period in which requests arrive. */
#define DRAIN_DURATION_US      400000000 /* Simulated time after arrivals. */
#define CROSS_CENTRE_DELAY_US  500    /* One-way delay between data centres. */
#define REPORT_INTERVAL_US     500000 /* Period of an engine's load reports. */
#define REPORT_LAG_US	       200000 /* Delay until a load report arrives. */
#define CACHE_EVENT_LOSS_SHARE 0.2    /* Share of cache events a host misses. */
#define CACHE_EVENT_LAG_US     300000 /* Delay until a cache event arrives. */
#define DISPATCH_INTERVAL_US   10000  /* Period of checks of the queues. */
#define CENTRE_LEAVES_US       100000000 /* When data centre b is taken out. */
#define CENTRE_STOPS_US	       130000000 /* When the engines of b stop. */
#define CENTRE_RETURNS_US      180000000 /* When b returns with cold engines. */
#define TAKEOUT_SPREAD_US_MAX  1000000	 /* Delay of a host's takeout notice. */
/* Requests that start in data centre b later than this after its takeout are
 * counted. */
#define LEAVE_GRACE_US 5000000
/* A request's deadline is DEADLINE_BASE_MS plus DEADLINE_FACTOR times the
 * engine time that it needs. */
#define DEADLINE_BASE_MS    10000
#define DEADLINE_FACTOR	    4
#define SESSION_SHARE	    0.4	   /* Share of requests with a shared prefix. */
#define SESSION_COUNT	    40	   /* Shared prefixes in each band. */
#define PREFIX_SHARE	    0.6	   /* Share of such a prompt that is prefix. */
#define LONG_PROMPT_SHARE   0.02   /* Share of prompts over 100k tokens. */
#define TIMERS_MAX	    200000 /* Timers pending at a time. */
#define US_PER_MS	    1000
#define PREFIX_ENTRIES_MAX  4096 /* Size of a host's prefix index. */
#define PREFIX_HALF_LIFE_MS 60000

/* A request from its arrival to its final answer. */
struct traffic_request {
	struct traffic *traffic;
	struct request_facts facts;
	struct model_job job;
	struct fleet_work work;
	struct fleet_entry tried; /* Upstream of the current attempt. */
	uint64_t excluded[8];
	uint32_t excluded_count;
	uint32_t attempt;
	uint32_t host;
	uint32_t engine; /* Engine in use, ENGINE_COUNT for none. */
	uint32_t band;
	int64_t arrived_us;
	double
	    first_token_ms; /* Time from arrival to first token, or negative. */
	double expected_ms;
	bool is_admitted;
	bool has_ended;
	bool is_in_time;
};

/* An entry host with its own decision modules and view of the fleet. */
struct traffic_host {
	struct traffic *traffic;
	uint32_t index;
	struct fleet fleet;
	struct capacity_slot slots[ENGINE_COUNT];
	struct prefix_index prefixes;
	struct router_mix mix;
	struct admission admission;
	struct fair_queue queue;
	struct retry_budget budget;
	struct intent_account accounts[ACCOUNT_COUNT];
	uint32_t in_flight[ENGINE_COUNT];
	uint32_t next_engine;
};

/* State of one simulation. */
struct traffic {
	struct traffic_settings settings;
	struct traffic_result *result;
	struct timer_service timers; /* Its clock counts microseconds. */
	struct random_source random;
	struct model_engine engines[ENGINE_COUNT];
	struct upstream_record records[ENGINE_COUNT];
	struct traffic_host hosts[HOST_COUNT];
	struct router_settings router;
	struct retry_settings retry;
	GPtrArray *requests;
	uint64_t event_sequence[ENGINE_COUNT];
	uint64_t report_sequence;
	uint64_t cached_tokens;
	uint64_t prompt_tokens;
	/* Whether each host knows that data centre b is taken out. */
	bool is_taken_out[HOST_COUNT];
};

/* A cache event, a set of load reports or a takeout on its way to a host. */
struct traffic_message {
	struct traffic *traffic;
	uint32_t host;
	struct upstream_load loads[ENGINE_COUNT];
	struct cache_event event;
	bool is_taken_out;
};

static const char *const centre_names[CENTRE_COUNT] = {"a", "b", "c"};

static int64_t now_ms(const struct traffic *traffic);
static void schedule(struct traffic *traffic, int64_t delay_us,
    void (*run)(void *), void *context);
static void start_hosts(struct traffic *traffic);
static void make_requests(struct traffic *traffic);
static uint64_t draw_prompt(struct random_source *random, uint32_t *band);
static void on_arrival(void *context);
static void route_baseline(struct traffic_request *request);
static enum error_code choose_candidates(
    struct traffic_request *request, struct router_choice *choice);
static bool dispatch(
    struct traffic_request *request, const struct router_choice *choice);
static void send_job(struct traffic_request *request, uint32_t engine);
static void on_engine_reached(void *context);
static void on_first_token(void *context, struct model_job *job);
static void on_job_ended(void *context, struct model_job *job, bool is_whole);
static void on_cache_changed(void *context, uint32_t engine,
    enum cache_event_kind kind, uint64_t prefix_hash);
static void apply_cache_event(void *context);
static void fail_attempt(struct traffic_request *request, bool was_sent);
static void retry_request(void *context);
static void on_deadline(void *context);
static void finish_request(struct traffic_request *request, bool is_in_time);
static void enqueue(struct traffic_request *request, int64_t latest_ms);
static bool start_queued(void *context, const struct fair_queue_item *item);
static void dispatch_all_queues(void *context);
static void dispatch_queue(struct traffic_host *host);
static void send_reports(void *context);
static void apply_reports(void *context);
static void update_grants(struct traffic *traffic);
static void take_out_centre(void *context);
static void stop_centre_engines(void *context);
static void bring_back_centre(void *context);
static void send_takeout(struct traffic *traffic, bool is_taken_out);
static void apply_takeout(void *context);
static void compute_result(struct traffic *traffic);
static double read_quantile(GArray *values, double quantile);
static gint compare_doubles(gconstpointer left, gconstpointer right);

void
traffic_run(
    const struct traffic_settings *settings, struct traffic_result *result)
{
	struct model_ops ops = {
	    on_first_token, on_job_ended, on_cache_changed, NULL};
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
	start_hosts(traffic);
	make_requests(traffic);
	reports = (struct timer_callback){send_reports, traffic};
	timer_subscribe_every(
	    &traffic->timers, REPORT_INTERVAL_US, reports, &report_timer);
	dispatch_all = (struct timer_callback){dispatch_all_queues, traffic};
	timer_subscribe_every(&traffic->timers, DISPATCH_INTERVAL_US,
	    dispatch_all, &dispatch_timer);
	if (settings->centre_leaves) {
		schedule(traffic, CENTRE_LEAVES_US, take_out_centre, traffic);
		schedule(
		    traffic, CENTRE_STOPS_US, stop_centre_engines, traffic);
		schedule(
		    traffic, CENTRE_RETURNS_US, bring_back_centre, traffic);
	}
	timer_advance(
	    &traffic->timers, ARRIVALS_DURATION_US + DRAIN_DURATION_US);
	compute_result(traffic);
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

static int64_t
now_ms(const struct traffic *traffic)
{
	return timer_now(&traffic->timers) / US_PER_MS;
}

static void
schedule(struct traffic *traffic, int64_t delay_us, void (*run)(void *),
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
	for (i = 0; i < ENGINE_COUNT; i++) {
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
	g_strlcpy(settings.data_centre,
	    centre_names[host->index % CENTRE_COUNT], NAME_SIZE_MAX);
	fleet_init(&host->fleet, &settings, &ops);
	for (i = 0; i < ENGINE_COUNT; i++)
		fleet_put_upstream(&host->fleet, &traffic->records[i]);
	fleet_publish(&host->fleet);
	prefix_index_init(
	    &host->prefixes, PREFIX_ENTRIES_MAX, PREFIX_HALF_LIFE_MS);
	admission_init(&host->admission, &admission);
	fair_queue_init(&host->queue, &queue);
	retry_budget_init(&host->budget, &traffic->retry);
	for (i = 0; i < ACCOUNT_COUNT; i++) {
		host->accounts[i].id = i + 1;
		host->accounts[i].weight = 1;
	}
}

static void
start_hosts(struct traffic *traffic)
{
	struct upstream_record *record;
	uint32_t i;

	for (i = 0; i < ENGINE_COUNT; i++) {
		record = &traffic->records[i];
		snprintf(record->name, NAME_SIZE_MAX, "engine-%u", i);
		g_strlcpy(record->data_centre, centre_names[i % CENTRE_COUNT],
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
		record->limits.decode_us_per_token = MODEL_STEP_US_MIN;
	}
	for (i = 0; i < HOST_COUNT; i++) {
		traffic->hosts[i].index = i;
		start_host(traffic, &traffic->hosts[i]);
	}
	update_grants(traffic);
}

/* Draws all requests before the run, so that every policy gets the same ones,
 * and the same short prompts arrive with and without long prompts. */
static void
make_requests(struct traffic *traffic)
{
	struct random_source random;
	struct traffic_request *request;
	double mean_us, at_us, total_us;
	uint32_t i, band;

	random_init(&random, traffic->settings.seed + 1000);
	total_us = 0;
	for (i = 0; i < 20000; i++)
		total_us +=
		    model_engine_time_us(draw_prompt(&random, &band), 100);
	mean_us = total_us / 20000 / ENGINE_COUNT / traffic->settings.load;
	random_init(&random, traffic->settings.seed);
	traffic->requests = g_ptr_array_new_with_free_func(g_free);
	at_us = random_exponential(&random, mean_us);
	while (at_us < ARRIVALS_DURATION_US) {
		request = g_new0(struct traffic_request, 1);
		request->traffic = traffic;
		request->facts.prompt_tokens =
		    draw_prompt(&random, &request->band);
		request->facts.answer_tokens_max =
		    50 + random_below(&random, 100);
		request->facts.account_index =
		    random_unit(&random) < LARGE_ACCOUNT_SHARE
			? 0
			: random_below(&random, ACCOUNT_COUNT);
		request->host = random_below(&random, HOST_COUNT);
		if (random_unit(&random) < SESSION_SHARE) {
			request->facts.prefix_count = 1;
			request->facts.prefix_hashes[0] =
			    1 + random_below(&random, SESSION_COUNT) +
			    (uint64_t)request->band * SESSION_COUNT;
			request->facts.prefix_tokens[0] =
			    (uint64_t)(PREFIX_SHARE *
				       (double)request->facts.prompt_tokens);
		}
		request->facts.id = traffic->requests->len + 1;
		request->arrived_us = (int64_t)at_us;
		g_ptr_array_add(traffic->requests, request);
		if (request->band < TRAFFIC_BAND_COUNT - 1 ||
		    !traffic->settings.without_long_prompts)
			schedule(traffic, (int64_t)at_us, on_arrival, request);
		at_us += random_exponential(&random, mean_us);
	}
}

/* Draws a prompt length in tokens, log-uniform within its band. One prompt in
 * fifty is over 100,000 tokens. */
static uint64_t
draw_prompt(struct random_source *random, uint32_t *band)
{
	static const double edges[TRAFFIC_BAND_COUNT + 1] = {
	    1000, 4000, 32000, 100000, 1000000};
	static const double shares[TRAFFIC_BAND_COUNT] = {
	    0.70, 0.22, 0.06, LONG_PROMPT_SHARE};
	double draw;

	draw = random_unit(random);
	*band = 0;
	while (*band < TRAFFIC_BAND_COUNT - 1 && draw >= shares[*band]) {
		draw -= shares[*band];
		(*band)++;
	}
	return (uint64_t)(edges[*band] * pow(edges[*band + 1] / edges[*band],
					     random_unit(random)));
}

static void
on_arrival(void *context)
{
	struct traffic_request *request = context;
	struct traffic *traffic = request->traffic;
	struct traffic_host *host = &traffic->hosts[request->host];
	struct request_facts *facts = &request->facts;
	struct admission_prediction prediction = {0};
	struct admission_decision decision;
	struct router_choice choice;
	int64_t time_left_ms;

	time_left_ms = DEADLINE_BASE_MS +
		       (int64_t)(DEADLINE_FACTOR *
				 model_engine_time_us(facts->prompt_tokens,
				     facts->answer_tokens_max) /
				 US_PER_MS);
	facts->admitted_ms = now_ms(traffic);
	facts->deadline_ms = facts->admitted_ms + time_left_ms;
	facts->is_idempotent = true;
	facts->priority = REQUEST_PRIORITY_NORMAL;
	g_strlcpy(facts->model, "m", NAME_SIZE_MAX);
	request->engine = ENGINE_COUNT;
	request->first_token_ms = -1;
	traffic->result->offered++;
	schedule(traffic, time_left_ms * US_PER_MS, on_deadline, request);
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
	query.now_ms = now_ms(traffic);
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
	if (traffic->settings.centre_leaves && engine % CENTRE_COUNT == 1 &&
	    now_us > CENTRE_LEAVES_US + LEAVE_GRACE_US &&
	    now_us < CENTRE_RETURNS_US)
		traffic->result->starts_after_leave++;
	schedule(traffic,
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
		    traffic->records[request->engine].id, now_ms(traffic));
}

static void
on_job_ended(void *context, struct model_job *job, bool is_whole)
{
	struct traffic *traffic = context;
	struct traffic_request *request = job->owner;

	if (traffic->engines[request->engine].answers_since_start ==
	    MODEL_WARM_AFTER_ANSWERS)
		update_grants(traffic);
	if (is_whole)
		finish_request(request, true);
	else
		fail_attempt(request, true);
}

static void
on_cache_changed(void *context, uint32_t engine, enum cache_event_kind kind,
    uint64_t prefix_hash)
{
	struct traffic *traffic = context;
	struct traffic_message *message;
	uint32_t i;

	traffic->event_sequence[engine]++;
	for (i = 0; i < HOST_COUNT; i++) {
		if (random_unit(&traffic->random) < CACHE_EVENT_LOSS_SHARE)
			continue;
		message = g_new0(struct traffic_message, 1);
		message->traffic = traffic;
		message->host = i;
		message->event.upstream_id = traffic->records[engine].id;
		message->event.incarnation = 1;
		message->event.sequence = traffic->event_sequence[engine];
		message->event.kind = kind;
		message->event.prefix_hash = prefix_hash;
		schedule(
		    traffic, CACHE_EVENT_LAG_US, apply_cache_event, message);
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
		    request->work.upstream, now_ms(traffic) + 1000);
	fleet_work_end(&request->work);
	request->engine = ENGINE_COUNT;
	if (request->has_ended)
		return;
	report.attempt = request->attempt;
	report.stage = was_sent ? ATTEMPT_SENT : ATTEMPT_NOT_SENT;
	report.failure = ATTEMPT_CONNECTION;
	report.expected_ms = request->expected_ms;
	decision = retry_decide(&traffic->retry, &host->budget, &request->facts,
	    &report, 0.5, now_ms(traffic));
	if (decision.action == RETRY_GIVE_UP ||
	    traffic->settings.policy != TRAFFIC_CHICORYTACK) {
		finish_request(request, false);
		return;
	}
	traffic->result->retries++;
	schedule(traffic, (int64_t)decision.pause_ms * US_PER_MS, retry_request,
	    request);
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
		now_ms(traffic)) != ERROR_NONE)
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
	    &host->admission, item->cost, true, now_ms(host->traffic));
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

	if (timer_now(&traffic->timers) >
	    ARRIVALS_DURATION_US + DRAIN_DURATION_US / 2)
		return;
	traffic->report_sequence++;
	message = g_new0(struct traffic_message, 1);
	message->traffic = traffic;
	for (i = 0; i < ENGINE_COUNT; i++) {
		message->loads[i].id = traffic->records[i].id;
		message->loads[i].incarnation = 1;
		message->loads[i].sequence = traffic->report_sequence;
		message->loads[i].age_ms = REPORT_LAG_US / US_PER_MS;
		model_engine_report(&traffic->engines[i], &message->loads[i]);
	}
	schedule(traffic, REPORT_LAG_US, apply_reports, message);
}

static void
apply_reports(void *context)
{
	struct traffic_message *message = context;
	struct traffic *traffic = message->traffic;
	uint32_t host, i;

	for (host = 0; host < HOST_COUNT; host++) {
		for (i = 0; i < ENGINE_COUNT; i++)
			fleet_set_load(&traffic->hosts[host].fleet,
			    &message->loads[i], now_ms(traffic));
	}
	g_free(message);
}

/* Sets the grants of all hosts. A cold engine's load limit is divided among the
 * hosts so that their sum stays within the limit. */
static void
update_grants(struct traffic *traffic)
{
	struct capacity_amount grant;
	uint32_t engine, host;
	bool is_cold;

	for (engine = 0; engine < ENGINE_COUNT; engine++) {
		is_cold = traffic->engines[engine].is_cold;
		for (host = 0; host < HOST_COUNT; host++) {
			grant =
			    (struct capacity_amount){MODEL_BATCH_REQUESTS_MAX,
				UINT64_C(1) << 40, UINT64_C(1) << 40};
			if (is_cold) {
				grant.requests = (host + engine) % HOST_COUNT <
							 MODEL_COLD_REQUESTS_MAX
						     ? 1
						     : 0;
				grant.prefill_tokens =
				    MODEL_COLD_PREFILL_TOKENS_MAX /
				    MODEL_COLD_REQUESTS_MAX;
			}
			capacity_slot_grant(&traffic->hosts[host].slots[engine],
			    &grant, INT64_MAX);
			fleet_set_warm(&traffic->hosts[host].fleet,
			    traffic->records[engine].id, !is_cold);
		}
	}
}

static void
take_out_centre(void *context)
{
	send_takeout(context, true);
}

static void
stop_centre_engines(void *context)
{
	struct traffic *traffic = context;
	uint32_t i;

	for (i = 1; i < ENGINE_COUNT; i += CENTRE_COUNT)
		model_engine_restart(
		    &traffic->engines[i], CENTRE_RETURNS_US - CENTRE_STOPS_US);
	update_grants(traffic);
}

static void
bring_back_centre(void *context)
{
	send_takeout(context, false);
}

static void
send_takeout(struct traffic *traffic, bool is_taken_out)
{
	struct traffic_message *message;
	uint32_t i;

	for (i = 0; i < HOST_COUNT; i++) {
		message = g_new0(struct traffic_message, 1);
		message->traffic = traffic;
		message->host = i;
		message->is_taken_out = is_taken_out;
		schedule(traffic,
		    1 + random_below(&traffic->random, TAKEOUT_SPREAD_US_MAX),
		    apply_takeout, message);
	}
}

static void
apply_takeout(void *context)
{
	struct traffic_message *message = context;
	struct traffic *traffic = message->traffic;
	struct traffic_host *host = &traffic->hosts[message->host];
	struct config_source source = {visit_entries, &message->is_taken_out};

	traffic->is_taken_out[host->index] = message->is_taken_out;
	fleet_set_intent(&host->fleet, &source);
	fleet_publish(&host->fleet);
	g_free(message);
}

static void
compute_result(struct traffic *traffic)
{
	static const double quantiles[] = {0.5, 0.95, 0.99};
	struct traffic_result *result = traffic->result;
	struct traffic_request *request;
	GArray *values[TRAFFIC_BAND_COUNT];
	uint32_t i, j;

	for (i = 0; i < TRAFFIC_BAND_COUNT; i++)
		values[i] = g_array_new(FALSE, FALSE, sizeof(double));
	for (i = 0; i < traffic->requests->len; i++) {
		request = g_ptr_array_index(traffic->requests, i);
		if (request->facts.account_index != 0)
			result->small_accounts_offered++;
		if (!request->is_admitted)
			continue;
		if (request->facts.account_index != 0 && request->is_in_time)
			result->small_accounts_in_time++;
		result->admitted++;
		if (!request->has_ended)
			result->lost++;
		else if (request->is_in_time)
			result->in_time++;
		else
			result->failed++;
		/* A request without a first token counts as if it had waited
		 * until its deadline. */
		if (request->first_token_ms < 0)
			request->first_token_ms =
			    (double)(request->facts.deadline_ms -
				     request->facts.admitted_ms);
		g_array_append_val(
		    values[request->band], request->first_token_ms);
	}
	for (i = 0; i < TRAFFIC_BAND_COUNT; i++) {
		g_array_sort(values[i], compare_doubles);
		for (j = 0; j < G_N_ELEMENTS(quantiles); j++)
			result->first_token_ms[i][j] =
			    read_quantile(values[i], quantiles[j]);
		g_array_free(values[i], TRUE);
	}
	for (i = 0; i < ENGINE_COUNT; i++)
		result->cold_crashes += traffic->engines[i].crash_count;
	if (traffic->prompt_tokens > 0)
		result->cached_token_share = (double)traffic->cached_tokens /
					     (double)traffic->prompt_tokens;
}

static double
read_quantile(GArray *values, double quantile)
{
	if (values->len == 0)
		return 0;
	return g_array_index(
	    values, double, (guint)(quantile * (double)(values->len - 1)));
}

static gint
compare_doubles(gconstpointer left, gconstpointer right)
{
	const double *first = left, *second = right;

	if (*first == *second)
		return 0;
	return *first < *second ? -1 : 1;
}
