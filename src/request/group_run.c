#include "request/group_run.h"

#include <string.h>

#include "host/host_groups.h"
#include "protocol/prefix_hash.h"

#define SEGMENT_QUEUED_PIECES_MAX 256 /* Most unread pieces of a segment. */

/* Reserving memory takes at most half of the time to the deadline, so that the
 * rest is left for the prompt and the answer. */
#define RESERVE_TIME_DIVISOR 2

/* How often the run checks whether its caller has cancelled it. */
#define CANCEL_CHECK_INTERVAL_MS 200

/* Retry-After of a failed group run: memory may be free again by then. */
#define RETRY_AFTER_MS 5000

/* State of one group run, owned by its thread. */
struct group_run {
	struct host *host;
	struct request_facts facts;
	struct attempt_input input;
	struct piece_queue *queue;
	struct host_group group;
};

static gpointer run_group(gpointer data);
/* Runs the segments one after the other and copies the KV cache from each to
 * the next. Sets may_have_run once an engine may have begun with one. */
static enum error_code run_segments(struct group_run *run, bool *may_have_run);
/* Runs one segment to its end, and cancels it at its engine on an error. */
static enum error_code run_segment(struct group_run *run, uint32_t index);
/* Sets the body in @p input to the part of the prompt that a segment
 * prefills. */
static void set_range(
    const struct group_run *run, uint32_t index, struct attempt_input *input);
static enum error_code forward_pieces(
    struct group_run *run, struct piece_queue *source, bool is_last);
/* Pushes the FAILED piece that ends the caller's queue. */
static void push_failure(
    struct group_run *run, enum error_code error, bool may_have_run);

enum error_code
group_run_start(struct host *host, const struct request_facts *facts,
    const struct attempt_input *input, struct piece_queue *queue)
{
	struct group_run *run;
	GThread *thread;

	run = g_new0(struct group_run, 1);
	run->host = host;
	run->facts = *facts;
	run->input = *input;
	run->input.body = shared_text_ref(input->body);
	run->queue = piece_queue_hold(queue);
	atomic_fetch_add(&host->group_threads, 1);
	thread = g_thread_try_new("group", run_group, run, NULL);
	if (thread == NULL) {
		atomic_fetch_sub(&host->group_threads, 1);
		shared_text_unref(run->input.body);
		piece_queue_release(run->queue);
		g_free(run);
		return ERROR_NO_MEMORY;
	}
	g_thread_unref(thread);
	return ERROR_NONE;
}

static gpointer
run_group(gpointer data)
{
	struct group_run *run = data;
	struct host *host = run->host;
	enum error_code error;
	int64_t now_ms;
	bool may_have_run;

	may_have_run = false;
	now_ms = host_now_ms();
	error = host_group_start(host, &run->facts,
	    now_ms + (run->facts.deadline_ms - now_ms) / RESERVE_TIME_DIVISOR,
	    &run->group);
	if (error == ERROR_NONE) {
		error = run_segments(run, &may_have_run);
		host_group_end(host, &run->group);
	}
	if (error != ERROR_NONE)
		push_failure(run, error, may_have_run);
	shared_text_unref(run->input.body);
	piece_queue_release(run->queue);
	g_free(run);
	atomic_fetch_sub(&host->group_threads, 1);
	return NULL;
}

static enum error_code
run_segments(struct group_run *run, bool *may_have_run)
{
	const struct upstream_adapter *adapter = &upstream_http_adapter;
	void *context = &run->host->upstreams_http;
	struct kv_export exported = {0};
	struct host_group *group = &run->group;
	enum error_code error;
	uint32_t i;

	for (i = 0; i < group->plan.count; i++) {
		if (i > 0) {
			error = adapter->kv_import(context, &group->targets[i],
			    group->reservations[i], &exported,
			    run->facts.deadline_ms);
			if (error != ERROR_NONE)
				return error;
		}
		*may_have_run = true;
		error = run_segment(run, i);
		if (error != ERROR_NONE)
			return error;
		if (i + 1 == group->plan.count)
			break;
		error = adapter->kv_export(context, &group->targets[i],
		    group->reservations[i], run->facts.deadline_ms, &exported);
		if (error != ERROR_NONE)
			return error;
	}
	return ERROR_NONE;
}

static enum error_code
run_segment(struct group_run *run, uint32_t index)
{
	struct attempt_input input = run->input;
	struct piece_queue *pieces;
	enum error_code error;
	bool is_last;

	is_last = index + 1 == run->group.plan.count;
	input.target = run->group.targets[index];
	input.reservation = run->group.reservations[index];
	if (!is_last)
		input.answer_tokens_max = 0;
	set_range(run, index, &input);
	pieces = piece_queue_create(SEGMENT_QUEUED_PIECES_MAX);
	if (pieces == NULL)
		return ERROR_NO_MEMORY;
	error = upstream_http_adapter.generate(
	    &run->host->upstreams_http, &input, pieces);
	if (error == ERROR_NONE)
		error = forward_pieces(run, pieces, is_last);
	if (error != ERROR_NONE)
		upstream_http_adapter.cancel(&run->host->upstreams_http,
		    &input.target, input.request_id);
	piece_queue_close(pieces);
	piece_queue_release(pieces);
	return error;
}

static void
set_range(
    const struct group_run *run, uint32_t index, struct attempt_input *input)
{
	const struct group_segment *segment;
	size_t end;

	segment = &run->group.plan.segments[index];
	input->body_offset = segment->first_token * PROMPT_BYTES_PER_TOKEN;
	end = (segment->first_token + segment->prompt_tokens) *
	      PROMPT_BYTES_PER_TOKEN;
	if (end > run->input.body_size || index + 1 == run->group.plan.count)
		end = run->input.body_size;
	input->body_size = end - input->body_offset;
}

/* Reads one segment's pieces from @p source until its end. The last segment's
 * pieces are the answer and go to the caller's queue; those of the other
 * segments are dropped. */
static enum error_code
forward_pieces(struct group_run *run, struct piece_queue *source, bool is_last)
{
	enum error_code error;
	struct piece piece;

	for (;;) {
		if (piece_queue_closed(run->queue))
			return ERROR_CANCELLED;
		if (host_now_ms() >= run->facts.deadline_ms)
			return ERROR_TIMEOUT;
		if (piece_queue_pop(source,
			host_now_ms() + CANCEL_CHECK_INTERVAL_MS,
			&piece) != ERROR_NONE)
			continue;
		if (piece.kind == PIECE_KIND_FAILED) {
			error = piece.error;
			piece_finish(&piece);
			return error;
		}
		if (is_last) {
			error = piece_queue_push(run->queue, &piece);
			if (error != ERROR_NONE)
				return error;
		}
		if (piece.kind == PIECE_KIND_END)
			return ERROR_NONE;
		if (!is_last)
			piece_finish(&piece);
	}
}

static void
push_failure(struct group_run *run, enum error_code error, bool may_have_run)
{
	struct piece piece = {.kind = PIECE_KIND_FAILED};

	piece.request_id = run->input.request_id;
	piece.attempt = run->input.attempt;
	piece.error = error;
	piece.outcome =
	    may_have_run ? REQUEST_OUTCOME_FAILED : REQUEST_OUTCOME_NOT_RUN;
	piece.retry_after_ms = RETRY_AFTER_MS;
	/* The push fails if the queue was closed: the caller has cancelled the
	 * run and needs no error. */
	(void)piece_queue_push(run->queue, &piece);
}
