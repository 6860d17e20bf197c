#include <stdlib.h>
#include <string.h>

#include "answer.h"
#include "engine_parts.h"
#include "protocol/prefix_hash.h"

static bool prompt_contains(
    const struct engine_request *request, const char *marker);

struct engine_job *
engine_job_new(struct engine *engine, const struct engine_request *request)
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

bool
engine_job_is_active(const struct engine_job *job)
{
	return job->state != JOB_STATE_DONE &&
	       job->state != JOB_STATE_CANCELLED;
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
