#include "engine.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "answer.h"
#include "base/event_log.h"
#include "base/monotonic_clock.h"
#include "protocol/prefix_hash.h"

#define STEP_MS		2      /* Between steps while jobs run. */
#define IDLE_STEP_MS	100    /* Between steps while none run. */
#define STALL_PIECES	2      /* Pieces before a marked answer stalls. */
#define CRASH_STATUS	9      /* Exit status of a marked crash. */
#define OVERLOAD_STATUS 3      /* Exit status of a fall under cold load. */
#define STEP_MAX_US	100000 /* A longer pause is not made up for. */
#define US_PER_S	1000000

struct engine_job {
	struct engine_work work;
	enum job_state state;
	uint64_t run;
	uint64_t digest;	/* Of the prompt, with imported segments. */
	uint64_t prompt_tokens; /* Of this segment. */
	double prefill_left;	/* Tokens to compute. */
	double decode_us;	/* Time worked on the next token. */
	uint64_t kv_tokens;	/* Memory it takes of the engine's own. */
	uint64_t produced;
	uint64_t total;
	bool stopped_by_length;
	bool crashes;
	bool stalls;
	uint32_t readers;  /* Streams that read it. */
	int64_t unread_ms; /* Since when nobody does. */
	uint32_t prefix_count;
	uint64_t prefix_hashes[PREFIX_HASHES_MAX];
	uint64_t prefix_tokens[PREFIX_HASHES_MAX];
};

static struct engine_job *make_job(
    struct engine *engine, const struct engine_work *work);
static bool contains(const struct engine_work *work, const char *marker);
static enum error_code admit(struct engine *engine, struct engine_job *job);
static enum error_code check_memory(
    struct engine *engine, struct engine_job *job);
static enum error_code check_load(
    struct engine *engine, const struct engine_job *job);
static void count_run(struct engine *engine, struct engine_job *job);
static struct engine_job *find_job(
    struct engine *engine, uint64_t request, uint32_t attempt);
static bool is_active(const struct engine_job *job);
static uint32_t count_active(const struct engine *engine);
static uint64_t sum_prefill(const struct engine *engine);
static bool is_cold(const struct engine *engine, int64_t now_ms);
static uint64_t held_tokens(const struct engine *engine);
static void *run_engine(void *context);
static void step(struct engine *engine);
static void start_jobs(struct engine *engine);
static bool start_next(struct engine *engine, uint32_t running);
static void step_prefill(struct engine *engine, int64_t elapsed_us);
static void finish_prefill(struct engine *engine, struct engine_job *job);
static void step_decode(struct engine *engine, int64_t elapsed_us);
static void end_job(
    struct engine *engine, struct engine_job *job, enum job_state state);
static void drop_unread(struct engine *engine, int64_t now_ms);

bool
engine_init(struct engine *engine, const struct standin_settings *settings,
    struct run_log *run_log)
{
	pthread_condattr_t attributes;

	memset(engine, 0, sizeof(*engine));
	engine->settings = settings;
	engine->run_log = run_log;
	engine->jobs = g_ptr_array_new_with_free_func(free);
	engine->cold_until_ms = clock_monotonic_ms() + settings->cold_ms;
	engine->stepped_us = clock_monotonic_us();
	kv_table_init(&engine->kv);
	prefix_cache_init(&engine->cache, settings->cache_tokens);
	pthread_mutex_init(&engine->lock, NULL);
	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(&engine->changed, &attributes);
	pthread_condattr_destroy(&attributes);
	return pthread_create(&engine->thread, NULL, run_engine, engine) == 0;
}

void
engine_finish(struct engine *engine)
{
	pthread_mutex_lock(&engine->lock);
	engine->stopping = true;
	pthread_cond_broadcast(&engine->changed);
	pthread_mutex_unlock(&engine->lock);
	pthread_join(engine->thread, NULL);
	g_ptr_array_free(engine->jobs, TRUE);
	prefix_cache_finish(&engine->cache);
	kv_table_finish(&engine->kv);
	pthread_cond_destroy(&engine->changed);
	pthread_mutex_destroy(&engine->lock);
}

void
engine_leave(struct engine *engine)
{
	pthread_mutex_lock(&engine->lock);
	engine->leaving = true;
	pthread_mutex_unlock(&engine->lock);
}

void
engine_turn_cold(struct engine *engine)
{
	int64_t now_ms;

	now_ms = clock_monotonic_ms();
	pthread_mutex_lock(&engine->lock);
	engine->cold_until_ms = now_ms + engine->settings->cold_ms;
	prefix_cache_clear(&engine->cache, now_ms);
	pthread_mutex_unlock(&engine->lock);
}

enum error_code
engine_submit(struct engine *engine, const struct engine_work *work,
    struct engine_job **job)
{
	struct engine_job *made;
	enum error_code error;

	made = make_job(engine, work);
	if (made == NULL)
		return ERROR_NO_MEMORY;
	pthread_mutex_lock(&engine->lock);
	error = admit(engine, made);
	if (error == ERROR_NONE) {
		count_run(engine, made);
		made->readers = 1;
		g_ptr_array_add(engine->jobs, made);
		pthread_cond_broadcast(&engine->changed);
	} else {
		engine->counters.refused++;
	}
	pthread_mutex_unlock(&engine->lock);
	if (error != ERROR_NONE) {
		free(made);
		return error;
	}
	*job = made;
	return ERROR_NONE;
}

enum error_code
engine_resume(struct engine *engine, uint64_t request, uint32_t attempt,
    struct engine_job **job)
{
	pthread_mutex_lock(&engine->lock);
	*job = find_job(engine, request, attempt);
	if (*job != NULL)
		(*job)->readers++;
	pthread_mutex_unlock(&engine->lock);
	return *job == NULL ? ERROR_NOT_FOUND : ERROR_NONE;
}

enum error_code
engine_cancel(struct engine *engine, uint64_t request)
{
	struct engine_job *job;
	enum error_code error;
	guint i;

	error = ERROR_NOT_FOUND;
	pthread_mutex_lock(&engine->lock);
	for (i = 0; i < engine->jobs->len; i++) {
		job = g_ptr_array_index(engine->jobs, i);
		if (job->work.request != request)
			continue;
		error = ERROR_NONE;
		if (is_active(job))
			end_job(engine, job, JOB_STATE_CANCELLED);
	}
	pthread_cond_broadcast(&engine->changed);
	pthread_mutex_unlock(&engine->lock);
	return error;
}

void
engine_wait(struct engine *engine, const struct engine_job *job,
    uint64_t position, int64_t deadline_ms, struct engine_view *view)
{
	struct timespec until;

	until = clock_timespec(deadline_ms);
	pthread_mutex_lock(&engine->lock);
	while (is_active(job) && job->produced <= position) {
		if (pthread_cond_timedwait(
			&engine->changed, &engine->lock, &until) != 0)
			break;
	}
	view->state = job->state;
	view->digest = job->digest;
	view->produced = job->produced;
	view->total = job->total;
	view->prompt_tokens = job->prompt_tokens;
	view->stopped_by_length = job->stopped_by_length;
	view->run = job->run;
	pthread_mutex_unlock(&engine->lock);
}

void
engine_give_back(struct engine *engine, struct engine_job *job)
{
	pthread_mutex_lock(&engine->lock);
	job->readers--;
	job->unread_ms = clock_monotonic_ms();
	pthread_mutex_unlock(&engine->lock);
}

uint32_t
engine_active(struct engine *engine)
{
	uint32_t count;

	pthread_mutex_lock(&engine->lock);
	count = count_active(engine);
	pthread_mutex_unlock(&engine->lock);
	return count;
}

enum error_code
engine_kv_reserve(struct engine *engine, uint64_t id, uint64_t tokens)
{
	enum error_code error;
	uint64_t used;
	uint64_t all;

	pthread_mutex_lock(&engine->lock);
	all = engine->settings->record.limits.kv_tokens;
	used = held_tokens(engine);
	error = kv_table_reserve(&engine->kv, id, tokens,
	    used > all ? 0 : all - used, clock_monotonic_ms());
	pthread_mutex_unlock(&engine->lock);
	return error;
}

enum error_code
engine_kv_release(struct engine *engine, uint64_t id)
{
	enum error_code error;

	pthread_mutex_lock(&engine->lock);
	error = kv_table_release(&engine->kv, id);
	pthread_mutex_unlock(&engine->lock);
	return error;
}

enum error_code
engine_kv_export(
    struct engine *engine, uint64_t id, struct kv_reservation *reservation)
{
	const struct kv_reservation *found;

	pthread_mutex_lock(&engine->lock);
	found = kv_table_find(&engine->kv, id);
	if (found != NULL)
		*reservation = *found;
	pthread_mutex_unlock(&engine->lock);
	return found == NULL ? ERROR_NOT_FOUND : ERROR_NONE;
}

enum error_code
engine_kv_import(struct engine *engine, uint64_t id, uint64_t tokens,
    uint64_t content_digest)
{
	struct kv_reservation *found;

	pthread_mutex_lock(&engine->lock);
	found = kv_table_find(&engine->kv, id);
	if (found != NULL) {
		found->covered_tokens = tokens;
		found->content_digest = content_digest;
	}
	pthread_mutex_unlock(&engine->lock);
	return found == NULL ? ERROR_NOT_FOUND : ERROR_NONE;
}

json_t *
engine_kv_held(struct engine *engine)
{
	json_t *answer;

	pthread_mutex_lock(&engine->lock);
	answer = json_pack("{s:I, s:I, s:I, s:o}", "incarnation",
	    (json_int_t)engine->settings->record.incarnation, "kv_tokens",
	    (json_int_t)engine->settings->record.limits.kv_tokens,
	    "kv_tokens_used", (json_int_t)held_tokens(engine), "held",
	    kv_table_list(&engine->kv, clock_monotonic_ms()));
	pthread_mutex_unlock(&engine->lock);
	return answer;
}

void
engine_load(struct engine *engine, struct upstream_load *load)
{
	const struct engine_job *job;
	guint i;

	memset(load, 0, sizeof(*load));
	pthread_mutex_lock(&engine->lock);
	for (i = 0; i < engine->jobs->len; i++) {
		job = g_ptr_array_index(engine->jobs, i);
		if (job->state == JOB_STATE_QUEUED) {
			load->queued_requests++;
			load->queued_prefill_tokens +=
			    (uint64_t)job->prefill_left;
		} else if (is_active(job)) {
			load->running_requests++;
		}
	}
	load->kv_tokens_used = held_tokens(engine);
	pthread_mutex_unlock(&engine->lock);
}

uint32_t
engine_take_cache_events(struct engine *engine, int64_t before_ms,
    struct cache_batch_item *events, uint32_t max)
{
	uint32_t count;

	pthread_mutex_lock(&engine->lock);
	count =
	    prefix_cache_take_events(&engine->cache, before_ms, events, max);
	pthread_mutex_unlock(&engine->lock);
	return count;
}

json_t *
engine_counters_json(struct engine *engine)
{
	const struct engine_counters *counters = &engine->counters;
	json_t *answer;
	int64_t now_ms;

	now_ms = clock_monotonic_ms();
	pthread_mutex_lock(&engine->lock);
	answer = json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I,"
			   " s:I, s:I, s:I, s:I, s:I, s:b}",
	    "runs", (json_int_t)counters->runs, "finished",
	    (json_int_t)counters->finished, "cancelled",
	    (json_int_t)counters->cancelled, "refused",
	    (json_int_t)counters->refused, "overloads",
	    (json_int_t)counters->overloads, "over_limit",
	    (json_int_t)counters->over_limit, "peak_requests",
	    (json_int_t)counters->peak_requests, "peak_prefill_tokens",
	    (json_int_t)counters->peak_prefill_tokens, "cold_peak_requests",
	    (json_int_t)counters->cold_peak_requests,
	    "cold_peak_prefill_tokens",
	    (json_int_t)counters->cold_peak_prefill_tokens, "cached_tokens",
	    (json_int_t)counters->cached_tokens, "active",
	    (json_int_t)count_active(engine), "kv_tokens_held",
	    (json_int_t)held_tokens(engine), "reservations",
	    (json_int_t)g_hash_table_size(engine->kv.entries),
	    "last_run_age_ms",
	    (json_int_t)(counters->runs == 0 ? -1
					     : now_ms - counters->last_run_ms),
	    "cold", is_cold(engine, now_ms) ? 1 : 0);
	pthread_mutex_unlock(&engine->lock);
	return answer;
}

static struct engine_job *
make_job(struct engine *engine, const struct engine_work *work)
{
	const struct standin_settings *settings = engine->settings;
	struct shared_text *text;
	struct text_part part;
	struct engine_job *job;

	job = calloc(1, sizeof(*job));
	if (job == NULL)
		return NULL;
	part.data = work->prompt;
	part.size = work->prompt_size;
	text = shared_text_create(&part, 1, NULL, NULL);
	if (text == NULL) {
		free(job);
		return NULL;
	}
	job->work = *work;
	job->prompt_tokens = prompt_tokens_estimate(work->prompt_size);
	job->prefill_left = (double)job->prompt_tokens;
	job->total = settings->answer_tokens;
	if (work->answer_tokens_max < job->total) {
		job->total = work->answer_tokens_max;
		job->stopped_by_length = true;
	}
	if (work->reservation == 0) {
		job->kv_tokens = job->prompt_tokens + job->total;
		job->prefix_count = prefix_hash_compute(
		    text, job->prefix_hashes, job->prefix_tokens);
		job->digest = answer_digest(
		    ANSWER_DIGEST_START, work->prompt, work->prompt_size);
	}
	job->crashes = contains(work, settings->crash_marker);
	job->stalls = contains(work, settings->stall_marker);
	job->state = JOB_STATE_QUEUED;
	shared_text_unref(text);
	return job;
}

static bool
contains(const struct engine_work *work, const char *marker)
{
	const char *place;
	size_t size;

	size = strlen(marker);
	place = work->prompt;
	if (size == 0 || work->prompt_size < size)
		return false;
	while ((place = memchr(place, marker[0],
		    work->prompt_size - (size_t)(place - work->prompt) - size +
			1)) != NULL) {
		if (memcmp(place, marker, size) == 0)
			return true;
		place++;
		if ((size_t)(place - work->prompt) + size > work->prompt_size)
			break;
	}
	return false;
}

static enum error_code
admit(struct engine *engine, struct engine_job *job)
{
	enum error_code error;

	if (engine->leaving)
		return ERROR_SHUTTING_DOWN;
	if (find_job(engine, job->work.request, job->work.attempt) != NULL)
		return ERROR_ALREADY_EXISTS;
	error = check_memory(engine, job);
	if (error != ERROR_NONE)
		return error;
	return check_load(engine, job);
}

static enum error_code
check_memory(struct engine *engine, struct engine_job *job)
{
	const struct kv_reservation *reservation;

	if (job->work.reservation == 0) {
		if (job->kv_tokens > engine->settings->record.limits.kv_tokens)
			return ERROR_TOO_LARGE;
		return ERROR_NONE;
	}
	reservation = kv_table_find(&engine->kv, job->work.reservation);
	if (reservation == NULL)
		return ERROR_NOT_FOUND;
	if (job->prompt_tokens + job->total > reservation->tokens)
		return ERROR_TOO_LARGE;
	job->digest = answer_digest(reservation->content_digest,
	    job->work.prompt, job->work.prompt_size);
	return ERROR_NONE;
}

static enum error_code
check_load(struct engine *engine, const struct engine_job *job)
{
	const struct standin_settings *settings = engine->settings;
	const struct upstream_limits *limits = &settings->record.limits;
	uint64_t prefill;
	uint32_t active;

	active = count_active(engine) + 1;
	prefill = sum_prefill(engine) + job->prompt_tokens;
	if (is_cold(engine, clock_monotonic_ms()) &&
	    (active > limits->cold_requests ||
		prefill > limits->cold_prefill_tokens)) {
		engine->counters.overloads++;
		event_log_write(EVENT_STANDIN_OVERLOADED,
		    "name=%s requests=%u prefill_tokens=%llu",
		    settings->record.name, active, (unsigned long long)prefill);
		if (settings->cold_crashes)
			_exit(OVERLOAD_STATUS);
		return ERROR_NO_CAPACITY;
	}
	if (active > limits->warm_requests + settings->queue_max)
		return ERROR_NO_CAPACITY;
	return ERROR_NONE;
}

static void
count_run(struct engine *engine, struct engine_job *job)
{
	const struct upstream_limits *limits = &engine->settings->record.limits;
	struct engine_counters *counters = &engine->counters;
	uint64_t prefill;
	uint32_t active;

	active = count_active(engine) + 1;
	prefill = sum_prefill(engine) + job->prompt_tokens;
	job->run = ++counters->runs;
	counters->last_run_ms = clock_monotonic_ms();
	counters->peak_requests = MAX(counters->peak_requests, active);
	counters->peak_prefill_tokens =
	    MAX(counters->peak_prefill_tokens, prefill);
	if (is_cold(engine, counters->last_run_ms)) {
		counters->cold_peak_requests =
		    MAX(counters->cold_peak_requests, active);
		counters->cold_peak_prefill_tokens =
		    MAX(counters->cold_peak_prefill_tokens, prefill);
	}
	if (active > limits->warm_requests ||
	    prefill > limits->warm_prefill_tokens)
		counters->over_limit++;
	run_log_write(engine->run_log, job->work.idempotency_key,
	    job->work.request, job->work.attempt);
	/* Texts of the request do not outlive this call. */
	job->work.prompt = NULL;
	job->work.idempotency_key = NULL;
}

static struct engine_job *
find_job(struct engine *engine, uint64_t request, uint32_t attempt)
{
	struct engine_job *job;
	guint i;

	for (i = 0; i < engine->jobs->len; i++) {
		job = g_ptr_array_index(engine->jobs, i);
		if (job->work.request == request &&
		    job->work.attempt == attempt)
			return job;
	}
	return NULL;
}

static bool
is_active(const struct engine_job *job)
{
	return job->state != JOB_STATE_DONE &&
	       job->state != JOB_STATE_CANCELLED;
}

static uint32_t
count_active(const struct engine *engine)
{
	uint32_t count;
	guint i;

	count = 0;
	for (i = 0; i < engine->jobs->len; i++) {
		if (is_active(g_ptr_array_index(engine->jobs, i)))
			count++;
	}
	return count;
}

static uint64_t
sum_prefill(const struct engine *engine)
{
	const struct engine_job *job;
	uint64_t sum;
	guint i;

	sum = 0;
	for (i = 0; i < engine->jobs->len; i++) {
		job = g_ptr_array_index(engine->jobs, i);
		if (job->state == JOB_STATE_QUEUED ||
		    job->state == JOB_STATE_PREFILL)
			sum += job->prompt_tokens;
	}
	return sum;
}

static bool
is_cold(const struct engine *engine, int64_t now_ms)
{
	return now_ms < engine->cold_until_ms;
}

/* KV memory of running jobs and of reservations. */
static uint64_t
held_tokens(const struct engine *engine)
{
	return engine->kv.tokens + engine->kv_tokens_used;
}

static void *
run_engine(void *context)
{
	struct engine *engine = context;
	struct timespec until;
	int64_t period_ms;

	pthread_mutex_lock(&engine->lock);
	while (!engine->stopping) {
		step(engine);
		period_ms = count_active(engine) > 0 ? STEP_MS : IDLE_STEP_MS;
		until = clock_timespec(clock_monotonic_ms() + period_ms);
		pthread_cond_timedwait(&engine->changed, &engine->lock, &until);
	}
	pthread_mutex_unlock(&engine->lock);
	return NULL;
}

static void
step(struct engine *engine)
{
	int64_t elapsed_us;
	int64_t now_us;

	now_us = clock_monotonic_us();
	elapsed_us = now_us - engine->stepped_us;
	engine->stepped_us = now_us;
	if (elapsed_us > STEP_MAX_US)
		elapsed_us = STEP_MAX_US;
	start_jobs(engine);
	step_decode(engine, elapsed_us);
	step_prefill(engine, elapsed_us);
	drop_unread(engine, now_us / 1000);
}

static void
start_jobs(struct engine *engine)
{
	const struct engine_job *job;
	uint32_t running;
	guint i;

	running = 0;
	for (i = 0; i < engine->jobs->len; i++) {
		job = g_ptr_array_index(engine->jobs, i);
		if (is_active(job) && job->state != JOB_STATE_QUEUED)
			running++;
	}
	while (start_next(engine, running))
		running++;
}

/* Starts the most urgent job that waits, the oldest among equals. */
static bool
start_next(struct engine *engine, uint32_t running)
{
	const struct upstream_limits *limits = &engine->settings->record.limits;
	struct engine_job *best;
	struct engine_job *job;
	guint i;

	if (running >= limits->warm_requests)
		return false;
	best = NULL;
	for (i = 0; i < engine->jobs->len; i++) {
		job = g_ptr_array_index(engine->jobs, i);
		if (job->state != JOB_STATE_QUEUED)
			continue;
		if (best == NULL || job->work.priority > best->work.priority)
			best = job;
	}
	if (best == NULL ||
	    held_tokens(engine) + best->kv_tokens > limits->kv_tokens)
		return false;
	if (best->crashes) {
		event_log_write(EVENT_STANDIN_CRASHED, "name=%s marked request",
		    engine->settings->record.name);
		_exit(CRASH_STATUS);
	}
	best->state = JOB_STATE_PREFILL;
	engine->kv_tokens_used += best->kv_tokens;
	if (best->prefix_count > 0) {
		uint64_t cached;

		cached = prefix_cache_match(&engine->cache, best->prefix_hashes,
		    best->prefix_tokens, best->prefix_count);
		engine->counters.cached_tokens += cached;
		best->prefill_left -= (double)cached;
	}
	return true;
}

/* The most urgent jobs share the speed equally. */
static void
step_prefill(struct engine *engine, int64_t elapsed_us)
{
	const struct standin_settings *settings = engine->settings;
	enum request_priority urgent;
	struct engine_job *job;
	double budget;
	uint32_t sharers;
	guint i;

	budget = (double)settings->record.limits.prefill_tokens_per_s *
		 (double)elapsed_us / US_PER_S;
	if (is_cold(engine, engine->stepped_us / 1000))
		budget = budget * settings->cold_percent / 100;
	sharers = 0;
	urgent = REQUEST_PRIORITY_LOW;
	for (i = 0; i < engine->jobs->len; i++) {
		job = g_ptr_array_index(engine->jobs, i);
		if (job->state != JOB_STATE_PREFILL)
			continue;
		if (job->work.priority > urgent || sharers == 0) {
			urgent = job->work.priority;
			sharers = 0;
		}
		if (job->work.priority == urgent)
			sharers++;
	}
	for (i = 0; i < engine->jobs->len && sharers > 0; i++) {
		job = g_ptr_array_index(engine->jobs, i);
		if (job->state != JOB_STATE_PREFILL ||
		    job->work.priority != urgent)
			continue;
		job->prefill_left -= budget / sharers;
		if (job->prefill_left <= 0)
			finish_prefill(engine, job);
	}
}

static void
finish_prefill(struct engine *engine, struct engine_job *job)
{
	struct kv_reservation *reservation;

	prefix_cache_store(&engine->cache, job->prefix_hashes,
	    job->prefix_tokens, job->prefix_count, clock_monotonic_ms());
	reservation = kv_table_find(&engine->kv, job->work.reservation);
	if (reservation != NULL) {
		reservation->covered_tokens += job->prompt_tokens;
		reservation->content_digest = job->digest;
	}
	job->state = JOB_STATE_DECODE;
	job->produced = MIN(job->total, 1);
	if (job->produced == job->total)
		end_job(engine, job, JOB_STATE_DONE);
	pthread_cond_broadcast(&engine->changed);
}

static void
step_decode(struct engine *engine, int64_t elapsed_us)
{
	const uint32_t token_us =
	    engine->settings->record.limits.decode_us_per_token;
	struct engine_job *job;
	uint64_t tokens;
	guint i;

	for (i = 0; i < engine->jobs->len; i++) {
		job = g_ptr_array_index(engine->jobs, i);
		if (job->state != JOB_STATE_DECODE)
			continue;
		if (job->stalls && job->produced >= STALL_PIECES)
			continue;
		job->decode_us += (double)elapsed_us;
		tokens = (uint64_t)(job->decode_us / token_us);
		if (tokens == 0)
			continue;
		job->decode_us -= (double)tokens * token_us;
		if (job->stalls)
			tokens = MIN(tokens, STALL_PIECES - job->produced);
		job->produced = MIN(job->produced + tokens, job->total);
		if (job->produced == job->total)
			end_job(engine, job, JOB_STATE_DONE);
		pthread_cond_broadcast(&engine->changed);
	}
}

static void
end_job(struct engine *engine, struct engine_job *job, enum job_state state)
{
	if (job->state == JOB_STATE_PREFILL || job->state == JOB_STATE_DECODE)
		engine->kv_tokens_used -= job->kv_tokens;
	if (state == JOB_STATE_DONE)
		engine->counters.finished++;
	else
		engine->counters.cancelled++;
	job->state = state;
}

/* A stream that broke may be resumed for a while; then its work is dropped. */
static void
drop_unread(struct engine *engine, int64_t now_ms)
{
	struct engine_job *job;
	guint i;

	for (i = engine->jobs->len; i > 0; i--) {
		job = g_ptr_array_index(engine->jobs, i - 1);
		if (job->readers > 0 ||
		    now_ms - job->unread_ms < engine->settings->resume_ms)
			continue;
		if (is_active(job))
			end_job(engine, job, JOB_STATE_CANCELLED);
		g_ptr_array_remove_index(engine->jobs, i - 1);
	}
}
