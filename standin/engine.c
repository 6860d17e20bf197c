#include "engine.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "answer.h"
#include "base/event_log.h"
#include "base/monotonic_clock.h"
#include "protocol/prefix_hash.h"

#define STEP_PERIOD_MS	    2	/* Time between steps with active jobs. */
#define IDLE_STEP_PERIOD_MS 100 /* Time between steps without active jobs. */
#define STALL_AFTER_PIECES  2	/* Pieces produced before an answer stalls. */
/* Exit status after a prompt with the crash marker. */
#define CRASH_EXIT_STATUS 9
/* Exit status after the cold limits were exceeded. */
#define OVERLOAD_EXIT_STATUS 3
/* Most time that a step simulates. After a longer pause of the thread, the work
 * of the rest isn't made up. */
#define STEP_MAX_US 100000
#define US_PER_S    1000000

struct engine_job {
	/* Request; its texts are NULL once the job is accepted. */
	struct engine_request request;
	enum job_state state;
	uint64_t run;	 /* Number of the job, from 1. */
	uint64_t digest; /* Digest of the prompt with imported segments. */
	uint64_t prompt_tokens; /* Tokens of the prompt, or of its segment. */
	double prefill_tokens_left; /* Prompt tokens still to prefill. */
	double decode_elapsed_us;   /* Time spent on the next token so far. */
	uint64_t kv_tokens; /* KV memory it takes; 0 with a reservation. */
	uint64_t produced_pieces;
	uint64_t total_pieces;
	bool stopped_by_length;	 /* The token limit cuts the answer. */
	bool crashes;		 /* The prompt contains the crash marker. */
	bool stalls;		 /* The prompt contains the stall marker. */
	uint32_t reader_count;	 /* Streams that send its answer. */
	int64_t unread_since_ms; /* Time when the last reader left. */
	uint32_t prefix_count;	 /* Elements of the arrays below in use. */
	uint64_t prefix_hashes[PREFIX_HASHES_MAX];
	uint64_t prefix_tokens[PREFIX_HASHES_MAX];
};

static struct engine_job *make_job(
    struct engine *engine, const struct engine_request *request);
static bool prompt_contains(
    const struct engine_request *request, const char *marker);
static enum error_code admit(struct engine *engine, struct engine_job *job);
static enum error_code check_memory(
    struct engine *engine, struct engine_job *job);
static enum error_code check_load(
    struct engine *engine, const struct engine_job *job);
static void count_run(struct engine *engine, struct engine_job *job);
static struct engine_job *find_job(
    struct engine *engine, uint64_t request_id, uint32_t attempt);
static bool is_active(const struct engine_job *job);
static uint32_t count_active(const struct engine *engine);
static uint64_t sum_prefill_tokens(const struct engine *engine);
static bool is_cold(const struct engine *engine, int64_t now_ms);
static uint64_t held_kv_tokens(const struct engine *engine);
static void *run_engine(void *context);
static void advance_jobs(struct engine *engine);
static void start_queued_jobs(struct engine *engine);
static bool start_next_job(struct engine *engine, uint32_t running);
static void advance_prefill(struct engine *engine, int64_t elapsed_us);
static void finish_prefill(struct engine *engine, struct engine_job *job);
static void advance_decode(struct engine *engine, int64_t elapsed_us);
static void end_job(
    struct engine *engine, struct engine_job *job, enum job_state state);
static void drop_unread_jobs(struct engine *engine, int64_t now_ms);

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
	engine->last_step_us = clock_monotonic_us();
	kv_table_init(&engine->kv);
	prefix_cache_init(&engine->cache, settings->cache_tokens);
	pthread_mutex_init(&engine->lock, NULL);
	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(&engine->jobs_changed, &attributes);
	pthread_condattr_destroy(&attributes);
	return pthread_create(&engine->thread, NULL, run_engine, engine) == 0;
}

void
engine_finish(struct engine *engine)
{
	pthread_mutex_lock(&engine->lock);
	engine->stopping = true;
	pthread_cond_broadcast(&engine->jobs_changed);
	pthread_mutex_unlock(&engine->lock);
	pthread_join(engine->thread, NULL);
	g_ptr_array_free(engine->jobs, TRUE);
	prefix_cache_finish(&engine->cache);
	kv_table_finish(&engine->kv);
	pthread_cond_destroy(&engine->jobs_changed);
	pthread_mutex_destroy(&engine->lock);
}

void
engine_drain(struct engine *engine)
{
	pthread_mutex_lock(&engine->lock);
	engine->draining = true;
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
engine_submit(struct engine *engine, const struct engine_request *request,
    struct engine_job **job)
{
	struct engine_job *new_job;
	enum error_code error;

	new_job = make_job(engine, request);
	if (new_job == NULL)
		return ERROR_NO_MEMORY;
	pthread_mutex_lock(&engine->lock);
	error = admit(engine, new_job);
	if (error == ERROR_NONE) {
		count_run(engine, new_job);
		new_job->reader_count = 1;
		g_ptr_array_add(engine->jobs, new_job);
		pthread_cond_broadcast(&engine->jobs_changed);
	} else {
		engine->counters.refused++;
	}
	pthread_mutex_unlock(&engine->lock);
	if (error != ERROR_NONE) {
		free(new_job);
		return error;
	}
	*job = new_job;
	return ERROR_NONE;
}

enum error_code
engine_resume(struct engine *engine, uint64_t request_id, uint32_t attempt,
    struct engine_job **job)
{
	pthread_mutex_lock(&engine->lock);
	*job = find_job(engine, request_id, attempt);
	if (*job != NULL)
		(*job)->reader_count++;
	pthread_mutex_unlock(&engine->lock);
	return *job == NULL ? ERROR_NOT_FOUND : ERROR_NONE;
}

enum error_code
engine_cancel(struct engine *engine, uint64_t request_id)
{
	struct engine_job *job;
	enum error_code error;
	guint i;

	error = ERROR_NOT_FOUND;
	pthread_mutex_lock(&engine->lock);
	for (i = 0; i < engine->jobs->len; i++) {
		job = g_ptr_array_index(engine->jobs, i);
		if (job->request.request_id != request_id)
			continue;
		error = ERROR_NONE;
		if (is_active(job))
			end_job(engine, job, JOB_STATE_CANCELLED);
	}
	pthread_cond_broadcast(&engine->jobs_changed);
	pthread_mutex_unlock(&engine->lock);
	return error;
}

void
engine_wait(struct engine *engine, const struct engine_job *job,
    uint64_t position, int64_t deadline_ms,
    struct engine_job_progress *progress)
{
	struct timespec until;

	until = clock_timespec(deadline_ms);
	pthread_mutex_lock(&engine->lock);
	while (is_active(job) && job->produced_pieces <= position) {
		if (pthread_cond_timedwait(
			&engine->jobs_changed, &engine->lock, &until) != 0)
			break;
	}
	progress->state = job->state;
	progress->digest = job->digest;
	progress->produced_pieces = job->produced_pieces;
	progress->total_pieces = job->total_pieces;
	progress->prompt_tokens = job->prompt_tokens;
	progress->stopped_by_length = job->stopped_by_length;
	progress->run = job->run;
	pthread_mutex_unlock(&engine->lock);
}

void
engine_release_job(struct engine *engine, struct engine_job *job)
{
	pthread_mutex_lock(&engine->lock);
	job->reader_count--;
	job->unread_since_ms = clock_monotonic_ms();
	pthread_mutex_unlock(&engine->lock);
}

uint32_t
engine_active_count(struct engine *engine)
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
	uint64_t capacity;

	pthread_mutex_lock(&engine->lock);
	capacity = engine->settings->record.limits.kv_tokens;
	used = held_kv_tokens(engine);
	error = kv_table_reserve(&engine->kv, id, tokens,
	    used > capacity ? 0 : capacity - used, clock_monotonic_ms());
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
engine_kv_held_json(struct engine *engine)
{
	json_t *answer;

	pthread_mutex_lock(&engine->lock);
	answer = json_pack("{s:I, s:I, s:I, s:o}", "incarnation",
	    (json_int_t)engine->settings->record.incarnation, "kv_tokens",
	    (json_int_t)engine->settings->record.limits.kv_tokens,
	    "kv_tokens_used", (json_int_t)held_kv_tokens(engine), "held",
	    kv_table_json(&engine->kv, clock_monotonic_ms()));
	pthread_mutex_unlock(&engine->lock);
	return answer;
}

void
engine_get_load(struct engine *engine, struct upstream_load *load)
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
			    (uint64_t)job->prefill_tokens_left;
		} else if (is_active(job)) {
			load->running_requests++;
		}
	}
	load->kv_tokens_used = held_kv_tokens(engine);
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
	    (json_int_t)held_kv_tokens(engine), "reservations",
	    (json_int_t)g_hash_table_size(engine->kv.entries),
	    "last_run_age_ms",
	    (json_int_t)(counters->runs == 0 ? -1
					     : now_ms - counters->last_run_ms),
	    "cold", is_cold(engine, now_ms) ? 1 : 0);
	pthread_mutex_unlock(&engine->lock);
	return answer;
}

/* Creates a queued job for a request. Returns NULL if memory runs out. */
static struct engine_job *
make_job(struct engine *engine, const struct engine_request *request)
{
	const struct standin_settings *settings = engine->settings;
	struct shared_text *text;
	struct text_part part;
	struct engine_job *job;

	job = calloc(1, sizeof(*job));
	if (job == NULL)
		return NULL;
	part.data = request->prompt;
	part.size = request->prompt_size;
	text = shared_text_create(&part, 1, NULL, NULL);
	if (text == NULL) {
		free(job);
		return NULL;
	}
	job->request = *request;
	job->prompt_tokens = prompt_tokens_estimate(request->prompt_size);
	job->prefill_tokens_left = (double)job->prompt_tokens;
	job->total_pieces = settings->answer_tokens;
	if (request->answer_tokens_max < job->total_pieces) {
		job->total_pieces = request->answer_tokens_max;
		job->stopped_by_length = true;
	}
	if (request->reservation == 0) {
		job->kv_tokens = job->prompt_tokens + job->total_pieces;
		job->prefix_count = prefix_hash_compute(
		    text, job->prefix_hashes, job->prefix_tokens);
		job->digest = answer_digest_update(ANSWER_DIGEST_INITIAL,
		    request->prompt, request->prompt_size);
	}
	job->crashes = prompt_contains(request, settings->crash_marker);
	job->stalls = prompt_contains(request, settings->stall_marker);
	job->state = JOB_STATE_QUEUED;
	shared_text_unref(text);
	return job;
}

static bool
prompt_contains(const struct engine_request *request, const char *marker)
{
	const char *match;
	size_t size;

	size = strlen(marker);
	match = request->prompt;
	if (size == 0 || request->prompt_size < size)
		return false;
	while ((match = memchr(match, marker[0],
		    request->prompt_size - (size_t)(match - request->prompt) -
			size + 1)) != NULL) {
		if (memcmp(match, marker, size) == 0)
			return true;
		match++;
		if ((size_t)(match - request->prompt) + size >
		    request->prompt_size)
			break;
	}
	return false;
}

static enum error_code
admit(struct engine *engine, struct engine_job *job)
{
	enum error_code error;

	if (engine->draining)
		return ERROR_SHUTTING_DOWN;
	if (find_job(engine, job->request.request_id, job->request.attempt) !=
	    NULL)
		return ERROR_ALREADY_EXISTS;
	error = check_memory(engine, job);
	if (error != ERROR_NONE)
		return error;
	return check_load(engine, job);
}

/* Checks that the KV memory, or the job's reservation, can hold the job. With a
 * reservation, also computes the digest of the prompt including the segments
 * that the reservation covers. */
static enum error_code
check_memory(struct engine *engine, struct engine_job *job)
{
	const struct kv_reservation *reservation;

	if (job->request.reservation == 0) {
		if (job->kv_tokens > engine->settings->record.limits.kv_tokens)
			return ERROR_TOO_LARGE;
		return ERROR_NONE;
	}
	reservation = kv_table_find(&engine->kv, job->request.reservation);
	if (reservation == NULL)
		return ERROR_NOT_FOUND;
	if (job->prompt_tokens + job->total_pieces > reservation->tokens)
		return ERROR_TOO_LARGE;
	job->digest = answer_digest_update(reservation->content_digest,
	    job->request.prompt, job->request.prompt_size);
	return ERROR_NONE;
}

/* Checks the load limits with the new job included. While cold, exceeding them
 * makes the process exit if cold_crashes is set. */
static enum error_code
check_load(struct engine *engine, const struct engine_job *job)
{
	const struct standin_settings *settings = engine->settings;
	const struct upstream_limits *limits = &settings->record.limits;
	uint64_t prefill;
	uint32_t active;

	active = count_active(engine) + 1;
	prefill = sum_prefill_tokens(engine) + job->prompt_tokens;
	if (is_cold(engine, clock_monotonic_ms()) &&
	    (active > limits->cold_requests ||
		prefill > limits->cold_prefill_tokens)) {
		engine->counters.overloads++;
		event_log_write(EVENT_STANDIN_OVERLOADED,
		    "name=%s requests=%u prefill_tokens=%llu",
		    settings->record.name, active, (unsigned long long)prefill);
		if (settings->cold_crashes)
			_exit(OVERLOAD_EXIT_STATUS);
		return ERROR_NO_CAPACITY;
	}
	if (active > limits->warm_requests + settings->queue_max)
		return ERROR_NO_CAPACITY;
	return ERROR_NONE;
}

/* Numbers an accepted job, updates the counters and writes the run log. */
static void
count_run(struct engine *engine, struct engine_job *job)
{
	const struct upstream_limits *limits = &engine->settings->record.limits;
	struct engine_counters *counters = &engine->counters;
	uint64_t prefill;
	uint32_t active;

	active = count_active(engine) + 1;
	prefill = sum_prefill_tokens(engine) + job->prompt_tokens;
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
	run_log_write(engine->run_log, job->request.idempotency_key,
	    job->request.request_id, job->request.attempt);
	/* The caller frees these texts after engine_submit(). */
	job->request.prompt = NULL;
	job->request.idempotency_key = NULL;
}

static struct engine_job *
find_job(struct engine *engine, uint64_t request_id, uint32_t attempt)
{
	struct engine_job *job;
	guint i;

	for (i = 0; i < engine->jobs->len; i++) {
		job = g_ptr_array_index(engine->jobs, i);
		if (job->request.request_id == request_id &&
		    job->request.attempt == attempt)
			return job;
	}
	return NULL;
}

/* True if the job is queued or running. */
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

/* Returns the prompt tokens of all jobs queued or in prefill. */
static uint64_t
sum_prefill_tokens(const struct engine *engine)
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

/* Returns the KV memory of running jobs and of reservations, in tokens. */
static uint64_t
held_kv_tokens(const struct engine *engine)
{
	return engine->kv.reserved_tokens + engine->job_kv_tokens;
}

static void *
run_engine(void *context)
{
	struct engine *engine = context;
	struct timespec until;
	int64_t period_ms;

	pthread_mutex_lock(&engine->lock);
	while (!engine->stopping) {
		advance_jobs(engine);
		period_ms = count_active(engine) > 0 ? STEP_PERIOD_MS
						     : IDLE_STEP_PERIOD_MS;
		until = clock_timespec(clock_monotonic_ms() + period_ms);
		pthread_cond_timedwait(
		    &engine->jobs_changed, &engine->lock, &until);
	}
	pthread_mutex_unlock(&engine->lock);
	return NULL;
}

static void
advance_jobs(struct engine *engine)
{
	int64_t elapsed_us;
	int64_t now_us;

	now_us = clock_monotonic_us();
	elapsed_us = now_us - engine->last_step_us;
	engine->last_step_us = now_us;
	if (elapsed_us > STEP_MAX_US)
		elapsed_us = STEP_MAX_US;
	start_queued_jobs(engine);
	advance_decode(engine, elapsed_us);
	advance_prefill(engine, elapsed_us);
	drop_unread_jobs(engine, now_us / 1000);
}

static void
start_queued_jobs(struct engine *engine)
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
	while (start_next_job(engine, running))
		running++;
}

/* Moves the queued job of highest priority, the oldest if several have it, into
 * the batch. Returns false if none is queued or the batch or the KV memory is
 * full. Exits if the job's prompt contains the crash marker. */
static bool
start_next_job(struct engine *engine, uint32_t running)
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
		if (best == NULL ||
		    job->request.priority > best->request.priority)
			best = job;
	}
	if (best == NULL ||
	    held_kv_tokens(engine) + best->kv_tokens > limits->kv_tokens)
		return false;
	if (best->crashes) {
		event_log_write(EVENT_STANDIN_CRASHED,
		    "name=%s prompt contains the crash marker",
		    engine->settings->record.name);
		_exit(CRASH_EXIT_STATUS);
	}
	best->state = JOB_STATE_PREFILL;
	engine->job_kv_tokens += best->kv_tokens;
	if (best->prefix_count > 0) {
		uint64_t cached;

		cached = prefix_cache_match(&engine->cache, best->prefix_hashes,
		    best->prefix_tokens, best->prefix_count);
		engine->counters.cached_tokens += cached;
		best->prefill_tokens_left -= (double)cached;
	}
	return true;
}

/* Advances the jobs of the highest priority in prefill, which share the prefill
 * speed equally; jobs of lower priority wait. */
static void
advance_prefill(struct engine *engine, int64_t elapsed_us)
{
	const struct standin_settings *settings = engine->settings;
	enum request_priority top_priority;
	struct engine_job *job;
	double budget;
	uint32_t sharing_jobs;
	guint i;

	budget = (double)settings->record.limits.prefill_tokens_per_s *
		 (double)elapsed_us / US_PER_S;
	if (is_cold(engine, engine->last_step_us / 1000))
		budget = budget * settings->cold_percent / 100;
	sharing_jobs = 0;
	top_priority = REQUEST_PRIORITY_LOW;
	for (i = 0; i < engine->jobs->len; i++) {
		job = g_ptr_array_index(engine->jobs, i);
		if (job->state != JOB_STATE_PREFILL)
			continue;
		if (job->request.priority > top_priority || sharing_jobs == 0) {
			top_priority = job->request.priority;
			sharing_jobs = 0;
		}
		if (job->request.priority == top_priority)
			sharing_jobs++;
	}
	for (i = 0; i < engine->jobs->len && sharing_jobs > 0; i++) {
		job = g_ptr_array_index(engine->jobs, i);
		if (job->state != JOB_STATE_PREFILL ||
		    job->request.priority != top_priority)
			continue;
		job->prefill_tokens_left -= budget / sharing_jobs;
		if (job->prefill_tokens_left <= 0)
			finish_prefill(engine, job);
	}
}

static void
finish_prefill(struct engine *engine, struct engine_job *job)
{
	struct kv_reservation *reservation;

	prefix_cache_store(&engine->cache, job->prefix_hashes,
	    job->prefix_tokens, job->prefix_count, clock_monotonic_ms());
	reservation = kv_table_find(&engine->kv, job->request.reservation);
	if (reservation != NULL) {
		reservation->covered_tokens += job->prompt_tokens;
		reservation->content_digest = job->digest;
	}
	job->state = JOB_STATE_DECODE;
	job->produced_pieces = MIN(job->total_pieces, 1);
	if (job->produced_pieces == job->total_pieces)
		end_job(engine, job, JOB_STATE_DONE);
	pthread_cond_broadcast(&engine->jobs_changed);
}

/* Produces the tokens that the elapsed time allows for each job in decode. All
 * jobs decode at full speed, however many there are. */
static void
advance_decode(struct engine *engine, int64_t elapsed_us)
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
		if (job->stalls && job->produced_pieces >= STALL_AFTER_PIECES)
			continue;
		job->decode_elapsed_us += (double)elapsed_us;
		tokens = (uint64_t)(job->decode_elapsed_us / token_us);
		if (tokens == 0)
			continue;
		job->decode_elapsed_us -= (double)tokens * token_us;
		if (job->stalls)
			tokens = MIN(
			    tokens, STALL_AFTER_PIECES - job->produced_pieces);
		job->produced_pieces =
		    MIN(job->produced_pieces + tokens, job->total_pieces);
		if (job->produced_pieces == job->total_pieces)
			end_job(engine, job, JOB_STATE_DONE);
		pthread_cond_broadcast(&engine->jobs_changed);
	}
}

static void
end_job(struct engine *engine, struct engine_job *job, enum job_state state)
{
	if (job->state == JOB_STATE_PREFILL || job->state == JOB_STATE_DECODE)
		engine->job_kv_tokens -= job->kv_tokens;
	if (state == JOB_STATE_DONE)
		engine->counters.finished++;
	else
		engine->counters.cancelled++;
	job->state = state;
}

/* Removes jobs that nobody has read for resume_ms, and cancels those that are
 * still active. Until then, a broken stream can be resumed. */
static void
drop_unread_jobs(struct engine *engine, int64_t now_ms)
{
	struct engine_job *job;
	guint i;

	for (i = engine->jobs->len; i > 0; i--) {
		job = g_ptr_array_index(engine->jobs, i - 1);
		if (job->reader_count > 0 ||
		    now_ms - job->unread_since_ms < engine->settings->resume_ms)
			continue;
		if (is_active(job))
			end_job(engine, job, JOB_STATE_CANCELLED);
		g_ptr_array_remove_index(engine->jobs, i - 1);
	}
}
