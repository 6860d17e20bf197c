#include "engine.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "answer.h"
#include "base/event_log.h"
#include "base/monotonic_clock.h"
#include "engine_parts.h"

/* Exit status after the cold limits were exceeded. */
#define OVERLOAD_EXIT_STATUS 3

static enum error_code admit(struct engine *engine, struct engine_job *job);
static enum error_code check_memory(
    struct engine *engine, struct engine_job *job);
static enum error_code check_load(
    struct engine *engine, const struct engine_job *job);
static void count_run(struct engine *engine, struct engine_job *job);
static struct engine_job *find_job(
    struct engine *engine, uint64_t request_id, uint32_t attempt);
static uint64_t sum_prefill_tokens(const struct engine *engine);

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
	return pthread_create(&engine->thread, NULL, engine_run, engine) == 0;
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

	new_job = engine_job_new(engine, request);
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
		if (engine_job_is_active(job))
			engine_end_job(engine, job, JOB_STATE_CANCELLED);
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
	while (engine_job_is_active(job) && job->produced_pieces <= position) {
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
	count = engine_active_count_locked(engine);
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
	used = engine_held_kv_tokens(engine);
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
	    "kv_tokens_used", (json_int_t)engine_held_kv_tokens(engine), "held",
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
		} else if (engine_job_is_active(job)) {
			load->running_requests++;
		}
	}
	load->kv_tokens_used = engine_held_kv_tokens(engine);
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
	    (json_int_t)engine_active_count_locked(engine), "kv_tokens_held",
	    (json_int_t)engine_held_kv_tokens(engine), "reservations",
	    (json_int_t)g_hash_table_size(engine->kv.entries),
	    "last_run_age_ms",
	    (json_int_t)(counters->runs == 0 ? -1
					     : now_ms - counters->last_run_ms),
	    "cold", engine_is_cold(engine, now_ms) ? 1 : 0);
	pthread_mutex_unlock(&engine->lock);
	return answer;
}

uint32_t
engine_active_count_locked(const struct engine *engine)
{
	uint32_t count;
	guint i;

	count = 0;
	for (i = 0; i < engine->jobs->len; i++) {
		if (engine_job_is_active(g_ptr_array_index(engine->jobs, i)))
			count++;
	}
	return count;
}

bool
engine_is_cold(const struct engine *engine, int64_t now_ms)
{
	return now_ms < engine->cold_until_ms;
}

uint64_t
engine_held_kv_tokens(const struct engine *engine)
{
	return engine->kv.reserved_tokens + engine->job_kv_tokens;
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

	active = engine_active_count_locked(engine) + 1;
	prefill = sum_prefill_tokens(engine) + job->prompt_tokens;
	if (engine_is_cold(engine, clock_monotonic_ms()) &&
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

	active = engine_active_count_locked(engine) + 1;
	prefill = sum_prefill_tokens(engine) + job->prompt_tokens;
	job->run = ++counters->runs;
	counters->last_run_ms = clock_monotonic_ms();
	counters->peak_requests = MAX(counters->peak_requests, active);
	counters->peak_prefill_tokens =
	    MAX(counters->peak_prefill_tokens, prefill);
	if (engine_is_cold(engine, counters->last_run_ms)) {
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
