#include "queue_model.h"

#include <string.h>

#define US_PER_S 1000000.0

static void begin_step(struct model_engine *engine);
static void end_step(void *context);
static uint64_t plan_prefill(struct model_engine *engine);
static struct model_job *pick_prefill(
    const struct model_engine *engine, uint32_t active);
static uint32_t count_active(const struct model_engine *engine);
static void check_cold_load(struct model_engine *engine);
static bool use_prefix(struct model_engine *engine, uint64_t hash);
static void finish_job(struct model_engine *engine, struct model_job *job);
static void come_back(void *context);

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
	timer_cancel(engine->timers, &engine->step);
	g_ptr_array_free(engine->jobs, TRUE);
	g_queue_clear_full(&engine->prefixes, g_free);
}

bool
model_engine_submit(struct model_engine *engine, struct model_job *job)
{
	if (engine->is_down)
		return false;
	job->prefill_left = job->prompt_tokens;
	job->answered = 0;
	if (job->prefix_hash != 0 && use_prefix(engine, job->prefix_hash))
		job->prefill_left -= job->prefix_tokens;
	g_ptr_array_add(engine->jobs, job);
	check_cold_load(engine);
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
	struct timer_callback back = {come_back, engine};
	struct handle timer;
	struct model_job *job;

	timer_cancel(engine->timers, &engine->step);
	engine->is_stepping = false;
	engine->is_down = true;
	engine->is_cold = true;
	engine->answers = 0;
	g_queue_clear_full(&engine->prefixes, g_free);
	engine->ops.cache_changed(
	    engine->ops.context, engine->index, CACHE_EVENT_CLEARED, 0);
	timer_subscribe_once(engine->timers, down_us, back, &timer);
	while (engine->jobs->len > 0) {
		job = g_ptr_array_index(engine->jobs, engine->jobs->len - 1);
		g_ptr_array_remove_index(engine->jobs, engine->jobs->len - 1);
		engine->ops.ended(engine->ops.context, job, false);
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
		load->queued_prefill_tokens += job->prefill_left;
		load->kv_tokens_used += job->prompt_tokens + job->answered;
	}
}

double
model_engine_time(uint64_t prompt_tokens, uint32_t answer_tokens)
{
	return (double)prompt_tokens *
		   (US_PER_S / MODEL_PREFILL_TOKENS_PER_S +
		       (double)MODEL_STEP_US / MODEL_CHUNK_TOKENS) +
	       (double)answer_tokens * MODEL_DECODE_US;
}

static void
begin_step(struct model_engine *engine)
{
	struct timer_callback end = {end_step, engine};
	const struct model_job *job;
	uint32_t active, i;
	double step_us;

	if (engine->jobs->len == 0)
		return;
	step_us = MODEL_STEP_US + (double)plan_prefill(engine) * US_PER_S /
				      MODEL_PREFILL_TOKENS_PER_S;
	active = count_active(engine);
	for (i = 0; i < active; i++) {
		job = g_ptr_array_index(engine->jobs, i);
		if (job->prefill_left == 0)
			step_us += MODEL_DECODE_US;
	}
	if (step_us < MODEL_STEP_LEAST_US)
		step_us = MODEL_STEP_LEAST_US;
	if (engine->is_cold)
		step_us *= MODEL_COLD_FACTOR;
	engine->is_stepping = true;
	timer_subscribe_once(
	    engine->timers, (int64_t)step_us, end, &engine->step);
}

static void
end_step(void *context)
{
	struct model_engine *engine = context;
	struct model_job *job;
	uint32_t active, i;

	active = count_active(engine);
	/* From the end, since finished jobs leave the array. */
	for (i = active; i > 0 && !engine->is_down; i--) {
		job = g_ptr_array_index(engine->jobs, i - 1);
		if (job->prefill_left > 0 && job->step_tokens == 0)
			continue;
		job->prefill_left -= job->step_tokens;
		job->step_tokens = 0;
		if (job->prefill_left > 0)
			continue;
		job->answered++;
		if (job->answered == 1)
			engine->ops.first_token(engine->ops.context, job);
		if (job->answered >= job->answer_tokens)
			finish_job(engine, job);
	}
	engine->is_stepping = false;
	begin_step(engine);
}

/* Shares one chunk among the jobs, the highest priority and oldest first. */
static uint64_t
plan_prefill(struct model_engine *engine)
{
	struct model_job *job;
	uint64_t left, part;
	uint32_t active, i;

	active = count_active(engine);
	for (i = 0; i < active; i++) {
		job = g_ptr_array_index(engine->jobs, i);
		job->step_tokens = 0;
	}
	left = MODEL_CHUNK_TOKENS;
	while (left > 0) {
		job = pick_prefill(engine, active);
		if (job == NULL)
			break;
		part = job->prefill_left < left ? job->prefill_left : left;
		job->step_tokens = part;
		left -= part;
	}
	return MODEL_CHUNK_TOKENS - left;
}

static struct model_job *
pick_prefill(const struct model_engine *engine, uint32_t active)
{
	struct model_job *job, *best;
	uint32_t i;

	best = NULL;
	for (i = 0; i < active; i++) {
		job = g_ptr_array_index(engine->jobs, i);
		if (job->prefill_left == 0 || job->step_tokens > 0)
			continue;
		if (best == NULL || job->priority > best->priority)
			best = job;
	}
	return best;
}

/* Jobs are in the batch by arrival, as far as slots and memory go. */
static uint32_t
count_active(const struct model_engine *engine)
{
	const struct model_job *job;
	uint64_t kv_tokens;
	uint32_t i;

	kv_tokens = 0;
	for (i = 0; i < engine->jobs->len && i < MODEL_BATCH_MAX; i++) {
		job = g_ptr_array_index(engine->jobs, i);
		kv_tokens += job->prompt_tokens + job->answer_tokens;
		if (i > 0 && kv_tokens > MODEL_KV_TOKENS)
			break;
	}
	return i;
}

static void
check_cold_load(struct model_engine *engine)
{
	struct upstream_load load = {0};

	if (!engine->is_cold)
		return;
	model_engine_report(engine, &load);
	if (load.running_requests <= MODEL_COLD_REQUESTS &&
	    load.queued_prefill_tokens <= MODEL_COLD_TOKENS)
		return;
	engine->falls++;
	model_engine_restart(engine, MODEL_DOWN_US);
}

static bool
use_prefix(struct model_engine *engine, uint64_t hash)
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
	engine->ops.cache_changed(
	    engine->ops.context, engine->index, CACHE_EVENT_STORED, hash);
	if (g_queue_get_length(&engine->prefixes) > MODEL_PREFIXES) {
		oldest = g_queue_pop_tail(&engine->prefixes);
		engine->ops.cache_changed(engine->ops.context, engine->index,
		    CACHE_EVENT_EVICTED, *oldest);
		g_free(oldest);
	}
	return false;
}

static void
finish_job(struct model_engine *engine, struct model_job *job)
{
	g_ptr_array_remove(engine->jobs, job);
	engine->answers++;
	if (engine->answers >= MODEL_WARM_AFTER)
		engine->is_cold = false;
	engine->ops.ended(engine->ops.context, job, true);
}

static void
come_back(void *context)
{
	struct model_engine *engine = context;

	engine->is_down = false;
}
