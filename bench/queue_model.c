#include "queue_model.h"

#include <string.h>

#define US_PER_S 1000000.0

static void begin_step(struct model_engine *engine);
static void end_step(void *context);
static uint64_t plan_prefill(struct model_engine *engine);
static struct model_job *pick_prefill(
    const struct model_engine *engine, uint32_t batched);
static uint32_t count_batched(const struct model_engine *engine);
static void crash_if_overloaded_cold(struct model_engine *engine);
static bool look_up_prefix(struct model_engine *engine, uint64_t hash);
static void finish_job(struct model_engine *engine, struct model_job *job);
static void on_restarted(void *context);

void
model_engine_init(struct model_engine *engine, uint32_t index,
    struct timer_service *timers, const struct model_ops *ops)
{
	memset(engine, 0, sizeof(*engine));
	engine->index = index;
	engine->timers = timers;
	engine->ops = *ops;
	engine->jobs = g_ptr_array_new();
	g_queue_init(&engine->prefixes);
}

void
model_engine_finish(struct model_engine *engine)
{
	timer_cancel(engine->timers, &engine->step_timer);
	g_ptr_array_free(engine->jobs, TRUE);
	g_queue_clear_full(&engine->prefixes, g_free);
}

bool
model_engine_submit(struct model_engine *engine, struct model_job *job)
{
	if (engine->is_down)
		return false;
	job->prefill_tokens_left = job->prompt_tokens;
	job->generated_tokens = 0;
	if (job->prefix_hash != 0 && look_up_prefix(engine, job->prefix_hash))
		job->prefill_tokens_left -= job->prefix_tokens;
	g_ptr_array_add(engine->jobs, job);
	crash_if_overloaded_cold(engine);
	if (!engine->is_down && !engine->is_stepping)
		begin_step(engine);
	return true;
}

void
model_engine_cancel(struct model_engine *engine, struct model_job *job)
{
	g_ptr_array_remove(engine->jobs, job);
}

void
model_engine_restart(struct model_engine *engine, int64_t down_us)
{
	struct timer_callback callback = {on_restarted, engine};
	struct handle timer;
	struct model_job *job;

	timer_cancel(engine->timers, &engine->step_timer);
	engine->is_stepping = false;
	engine->is_down = true;
	engine->is_cold = true;
	engine->answers_since_start = 0;
	g_queue_clear_full(&engine->prefixes, g_free);
	engine->ops.on_cache_changed(
	    engine->ops.context, engine->index, CACHE_EVENT_CLEARED, 0);
	timer_subscribe_once(engine->timers, down_us, callback, &timer);
	while (engine->jobs->len > 0) {
		job = g_ptr_array_index(engine->jobs, engine->jobs->len - 1);
		g_ptr_array_remove_index(engine->jobs, engine->jobs->len - 1);
		engine->ops.on_job_ended(engine->ops.context, job, false);
	}
}

void
model_engine_report(
    const struct model_engine *engine, struct upstream_load *load)
{
	const struct model_job *job;
	guint i;

	for (i = 0; i < engine->jobs->len; i++) {
		job = g_ptr_array_index(engine->jobs, i);
		load->running_requests++;
		load->queued_prefill_tokens += job->prefill_tokens_left;
		load->kv_tokens_used +=
		    job->prompt_tokens + job->generated_tokens;
	}
}

double
model_engine_time_us(uint64_t prompt_tokens, uint32_t answer_tokens)
{
	return (double)prompt_tokens * (US_PER_S / MODEL_PREFILL_TOKENS_PER_S +
					   (double)MODEL_STEP_OVERHEAD_US /
					       MODEL_PREFILL_CHUNK_TOKENS) +
	       (double)answer_tokens * MODEL_DECODE_US_PER_TOKEN;
}

static void
begin_step(struct model_engine *engine)
{
	struct timer_callback end = {end_step, engine};
	const struct model_job *job;
	uint32_t batched, i;
	double step_us;

	if (engine->jobs->len == 0)
		return;
	step_us = MODEL_STEP_OVERHEAD_US + (double)plan_prefill(engine) *
					       US_PER_S /
					       MODEL_PREFILL_TOKENS_PER_S;
	batched = count_batched(engine);
	for (i = 0; i < batched; i++) {
		job = g_ptr_array_index(engine->jobs, i);
		if (job->prefill_tokens_left == 0)
			step_us += MODEL_DECODE_US_PER_TOKEN;
	}
	if (step_us < MODEL_STEP_US_MIN)
		step_us = MODEL_STEP_US_MIN;
	if (engine->is_cold)
		step_us *= MODEL_COLD_SLOWDOWN;
	engine->is_stepping = true;
	timer_subscribe_once(
	    engine->timers, (int64_t)step_us, end, &engine->step_timer);
}

static void
end_step(void *context)
{
	struct model_engine *engine = context;
	struct model_job *job;
	uint32_t batched, i;

	batched = count_batched(engine);
	/* Runs from the end, since finished jobs are removed from the array. */
	for (i = batched; i > 0 && !engine->is_down; i--) {
		job = g_ptr_array_index(engine->jobs, i - 1);
		if (job->prefill_tokens_left > 0 &&
		    job->step_prefill_tokens == 0)
			continue;
		job->prefill_tokens_left -= job->step_prefill_tokens;
		job->step_prefill_tokens = 0;
		if (job->prefill_tokens_left > 0)
			continue;
		job->generated_tokens++;
		if (job->generated_tokens == 1)
			engine->ops.on_first_token(engine->ops.context, job);
		if (job->generated_tokens >= job->answer_tokens)
			finish_job(engine, job);
	}
	engine->is_stepping = false;
	begin_step(engine);
}

/* Shares one chunk of prefill among the jobs, the highest priority first and
 * then the oldest. Returns the prompt tokens to prefill in this step. */
static uint64_t
plan_prefill(struct model_engine *engine)
{
	struct model_job *job;
	uint64_t tokens_left, share;
	uint32_t batched, i;

	batched = count_batched(engine);
	for (i = 0; i < batched; i++) {
		job = g_ptr_array_index(engine->jobs, i);
		job->step_prefill_tokens = 0;
	}
	tokens_left = MODEL_PREFILL_CHUNK_TOKENS;
	while (tokens_left > 0) {
		job = pick_prefill(engine, batched);
		if (job == NULL)
			break;
		share = job->prefill_tokens_left < tokens_left
			    ? job->prefill_tokens_left
			    : tokens_left;
		job->step_prefill_tokens = share;
		tokens_left -= share;
	}
	return MODEL_PREFILL_CHUNK_TOKENS - tokens_left;
}

static struct model_job *
pick_prefill(const struct model_engine *engine, uint32_t batched)
{
	struct model_job *job, *best;
	uint32_t i;

	best = NULL;
	for (i = 0; i < batched; i++) {
		job = g_ptr_array_index(engine->jobs, i);
		if (job->prefill_tokens_left == 0 ||
		    job->step_prefill_tokens > 0)
			continue;
		if (best == NULL || job->priority > best->priority)
			best = job;
	}
	return best;
}

/* Number of jobs in the batch. Jobs enter it by arrival, as far as its size and
 * the KV memory allow. */
static uint32_t
count_batched(const struct model_engine *engine)
{
	const struct model_job *job;
	uint64_t kv_tokens;
	uint32_t i;

	kv_tokens = 0;
	for (i = 0; i < engine->jobs->len && i < MODEL_BATCH_REQUESTS_MAX;
	     i++) {
		job = g_ptr_array_index(engine->jobs, i);
		kv_tokens += job->prompt_tokens + job->answer_tokens;
		if (i > 0 && kv_tokens > MODEL_KV_TOKENS)
			break;
	}
	return i;
}

/* Crashes the engine if it is cold and its load is above the cold limits. */
static void
crash_if_overloaded_cold(struct model_engine *engine)
{
	struct upstream_load load = {0};

	if (!engine->is_cold)
		return;
	model_engine_report(engine, &load);
	if (load.running_requests <= MODEL_COLD_REQUESTS_MAX &&
	    load.queued_prefill_tokens <= MODEL_COLD_PREFILL_TOKENS_MAX)
		return;
	engine->crash_count++;
	model_engine_restart(engine, MODEL_CRASH_DOWN_US);
}

/* Returns true if the prefix is cached; otherwise it is stored, and the least
 * recently used prefix is evicted if the cache is full. */
static bool
look_up_prefix(struct model_engine *engine, uint64_t hash)
{
	GList *link;
	uint64_t *oldest;
	bool is_hit;

	for (link = engine->prefixes.head; link != NULL; link = link->next) {
		if (*(uint64_t *)link->data == hash)
			break;
	}
	is_hit = link != NULL;
	if (is_hit) {
		g_queue_unlink(&engine->prefixes, link);
		g_queue_push_head_link(&engine->prefixes, link);
		return true;
	}
	g_queue_push_head(&engine->prefixes, g_memdup2(&hash, sizeof(hash)));
	engine->ops.on_cache_changed(
	    engine->ops.context, engine->index, CACHE_EVENT_STORED, hash);
	if (g_queue_get_length(&engine->prefixes) > MODEL_CACHED_PREFIXES_MAX) {
		oldest = g_queue_pop_tail(&engine->prefixes);
		engine->ops.on_cache_changed(engine->ops.context, engine->index,
		    CACHE_EVENT_EVICTED, *oldest);
		g_free(oldest);
	}
	return false;
}

static void
finish_job(struct model_engine *engine, struct model_job *job)
{
	g_ptr_array_remove(engine->jobs, job);
	engine->answers_since_start++;
	if (engine->answers_since_start >= MODEL_WARM_AFTER_ANSWERS)
		engine->is_cold = false;
	engine->ops.on_job_ended(engine->ops.context, job, true);
}

static void
on_restarted(void *context)
{
	struct model_engine *engine = context;

	engine->is_down = false;
}
