#include "piece_stream.h"

#include <inttypes.h>

#include "answer.h"

#define BREAK_AFTER_PIECES 2 /* Pieces produced before a stream breaks off. */

/* A stream that sends the answer of a job to a host. */
struct piece_stream {
	struct standin *standin;
	struct engine_job *job;
	uint64_t request_id;
	uint32_t attempt;
	uint64_t next_piece; /* Index of the next piece to send. */
	bool is_resumed;     /* Continues the answer of an earlier attempt. */
	bool has_begun;	     /* Something was written. */
	struct attempt_name other; /* The request before this one. */
};

static enum http_stream_state stream_next_pieces(
    void *context, GString *out, int64_t deadline_ms);
static bool must_break_stream(const struct piece_stream *stream,
    const struct engine_job_progress *progress);
static bool must_refuse_other(const struct piece_stream *stream,
    const struct engine_job_progress *progress);
static bool must_refuse_late(const struct piece_stream *stream,
    const struct engine_job_progress *progress);
static void write_late_refusal(const struct piece_stream *stream, GString *out);
static void write_pieces(struct piece_stream *stream,
    const struct engine_job_progress *progress, GString *out);
static void write_piece(const struct piece_stream *stream,
    const struct engine_job_progress *progress, uint64_t sequence,
    GString *out);
static void write_end(const struct piece_stream *stream,
    const struct engine_job_progress *progress, GString *out);
static void write_cancelled(const struct piece_stream *stream, GString *out);
static void on_stream_closed(void *context, bool is_complete);

void
piece_stream_reply(struct standin *standin, struct http_exchange *exchange,
    struct engine_job *job, const struct attempt_name *name,
    const struct attempt_name *other, uint64_t position)
{
	struct http_stream stream;
	struct piece_stream *pieces;

	pieces = g_new0(struct piece_stream, 1);
	pieces->standin = standin;
	pieces->job = job;
	pieces->request_id = name->request_id;
	pieces->attempt = name->attempt;
	pieces->other = *other;
	pieces->next_piece = position;
	pieces->is_resumed = http_parameter(exchange, "from_attempt") != NULL;
	stream.next = stream_next_pieces;
	stream.on_closed = on_stream_closed;
	stream.context = pieces;
	http_reply_stream(exchange, &stream);
}

static enum http_stream_state
stream_next_pieces(void *context, GString *out, int64_t deadline_ms)
{
	struct piece_stream *stream = context;
	struct engine_job_progress progress;

	engine_wait(&stream->standin->engine, stream->job, stream->next_piece,
	    deadline_ms, &progress);
	if (must_refuse_other(stream, &progress))
		stray_answers_write_refusal(out, &stream->other);
	stream->has_begun = true;
	if (must_break_stream(stream, &progress))
		return HTTP_STREAM_END;
	if (must_refuse_late(stream, &progress)) {
		write_late_refusal(stream, out);
		return HTTP_STREAM_END;
	}
	if (progress.state == JOB_STATE_CANCELLED) {
		write_cancelled(stream, out);
		return HTTP_STREAM_END;
	}
	write_pieces(stream, &progress, out);
	if (progress.state != JOB_STATE_DONE)
		return HTTP_STREAM_MORE;
	write_end(stream, &progress, out);
	return HTTP_STREAM_END;
}

/* True if the stream must break off here as a simulated fault. A resumed stream
 * isn't broken off, so that resuming succeeds. */
static bool
must_break_stream(const struct piece_stream *stream,
    const struct engine_job_progress *progress)
{
	const uint32_t every = stream->standin->settings.break_every;

	return every > 0 && !stream->is_resumed && progress->run % every == 0 &&
	       progress->produced_pieces >= BREAK_AFTER_PIECES;
}

/* True if the refusal of another request must come first as a simulated fault.
 */
static bool
must_refuse_other(const struct piece_stream *stream,
    const struct engine_job_progress *progress)
{
	const uint32_t every = stream->standin->settings.refuse_other_every;

	return every > 0 && !stream->is_resumed && !stream->has_begun &&
	       progress->run % every == 0;
}

/* True if the stream must end here with a refusal as a simulated fault; not if
 * it is a resumed one. */
static bool
must_refuse_late(const struct piece_stream *stream,
    const struct engine_job_progress *progress)
{
	const uint32_t every = stream->standin->settings.error_every;

	return every > 0 && !stream->is_resumed && progress->run % every == 0 &&
	       stream->next_piece >= BREAK_AFTER_PIECES;
}

static void
write_late_refusal(const struct piece_stream *stream, GString *out)
{
	struct attempt_name name;

	name.request_id = stream->request_id;
	name.attempt = stream->attempt;
	stray_answers_write_refusal(out, &name);
}

/* Writes the pieces produced since the last call, some of them twice or in the
 * wrong order if the settings ask for such faults. */
static void
write_pieces(struct piece_stream *stream,
    const struct engine_job_progress *progress, GString *out)
{
	const struct standin_settings *settings = &stream->standin->settings;
	uint64_t sequence;

	while (stream->next_piece < progress->produced_pieces) {
		sequence = stream->next_piece++;
		if (settings->reorder_every > 0 &&
		    (sequence + 1) % settings->reorder_every == 0 &&
		    stream->next_piece < progress->produced_pieces) {
			write_piece(stream, progress, stream->next_piece, out);
			write_piece(stream, progress, sequence, out);
			stream->next_piece++;
			continue;
		}
		write_piece(stream, progress, sequence, out);
		if (settings->duplicate_every > 0 &&
		    (sequence + 1) % settings->duplicate_every == 0)
			write_piece(stream, progress, sequence, out);
	}
}

static void
write_piece(const struct piece_stream *stream,
    const struct engine_job_progress *progress, uint64_t sequence, GString *out)
{
	char text[ANSWER_PIECE_SIZE];

	answer_piece_write(progress->digest, sequence, text);
	g_string_append_printf(out,
	    "data: {\"request\":\"%016" PRIx64
	    "\",\"attempt\":%u,\"sequence\":%" PRIu64
	    ",\"text\":\"%s\",\"tokens\":1}\n\n",
	    stream->request_id, stream->attempt, sequence, text);
}

static void
write_end(const struct piece_stream *stream,
    const struct engine_job_progress *progress, GString *out)
{
	g_string_append_printf(out,
	    "event: end\ndata: {\"request\":\"%016" PRIx64
	    "\",\"attempt\":%u,\"pieces\":%" PRIu64
	    ",\"prompt_tokens\":%" PRIu64 ",\"answer_tokens\":%" PRIu64
	    ",\"finish\":\"%s\"}\n\n",
	    stream->request_id, stream->attempt, progress->total_pieces,
	    progress->prompt_tokens, progress->total_pieces,
	    progress->stopped_by_length ? "length" : "stop");
}

static void
write_cancelled(const struct piece_stream *stream, GString *out)
{
	g_string_append_printf(out,
	    "event: error\ndata: {\"request\":\"%016" PRIx64
	    "\",\"attempt\":%u,\"error\":{\"type\":\"cancelled\","
	    "\"message\":\"dropped\",\"outcome\":\"failed\","
	    "\"retry_after_ms\":0}}\n\n",
	    stream->request_id, stream->attempt);
}

static void
on_stream_closed(void *context, bool is_complete)
{
	struct piece_stream *stream = context;

	(void)is_complete;
	engine_release_job(&stream->standin->engine, stream->job);
	g_free(stream);
}
