/*
 * The engine's thread: at each step it fills the batch and advances the jobs in
 * it by the time that has passed.
 */
#include <unistd.h>

#include "base/event_log.h"
#include "base/monotonic_clock.h"
#include "engine_parts.h"

#define STEP_PERIOD_MS	    2	/* Time between steps with active jobs. */
#define IDLE_STEP_PERIOD_MS 100 /* Time between steps without active jobs. */
#define STALL_AFTER_PIECES  2	/* Pieces produced before an answer stalls. */
/* Exit status after a prompt with the crash marker. */
#define CRASH_EXIT_STATUS 9
/* Most time that a step simulates. After a longer pause of the thread, the work
 * of the rest isn't made up. */
#define STEP_MAX_US 100000
#define US_PER_S    1000000

static void advance_jobs(struct engine *engine);
static void start_queued_jobs(struct engine *engine);
static bool start_next_job(struct engine *engine, uint32_t running);
static void advance_prefill(struct engine *engine, int64_t elapsed_us);
static void finish_prefill(struct engine *engine, struct engine_job *job);
static void advance_decode(struct engine *engine, int64_t elapsed_us);
static void drop_unread_jobs(struct engine *engine, int64_t now_ms);

void *
engine_run(void *context)
{
	struct engine *engine = context;
	struct timespec until;
	int64_t period_ms;

	pthread_mutex_lock(&engine->lock);
	while (!engine->stopping) {
		advance_jobs(engine);
		period_ms = engine_active_count_locked(engine) > 0
				? STEP_PERIOD_MS
				: IDLE_STEP_PERIOD_MS;
		until = clock_timespec(clock_monotonic_ms() + period_ms);
		pthread_cond_timedwait(
		    &engine->jobs_changed, &engine->lock, &until);
	}
	pthread_mutex_unlock(&engine->lock);
	return NULL;
}

void
engine_end_job(
    struct engine *engine, struct engine_job *job, enum job_state state)
{
	if (job->state == JOB_STATE_PREFILL || job->state == JOB_STATE_DECODE)
		engine->job_kv_tokens -= job->kv_tokens;
	if (state == JOB_STATE_DONE)
		engine->counters.finished++;
	else
		engine->counters.cancelled++;
	job->state = state;
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
		if (engine_job_is_active(job) && job->state != JOB_STATE_QUEUED)
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
	    engine_held_kv_tokens(engine) + best->kv_tokens > limits->kv_tokens)
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
	if (engine_is_cold(engine, engine->last_step_us / 1000))
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
		engine_end_job(engine, job, JOB_STATE_DONE);
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
			engine_end_job(engine, job, JOB_STATE_DONE);
		pthread_cond_broadcast(&engine->jobs_changed);
	}
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
		if (engine_job_is_active(job))
			engine_end_job(engine, job, JOB_STATE_CANCELLED);
		g_ptr_array_remove_index(engine->jobs, i - 1);
	}
}
