/**
 * @file piece_stream.h
 * Streams of the stand-in: the answer of a job as server-sent events, with the
 * faults that the settings ask for.
 */
#ifndef STANDIN_PIECE_STREAM_H
#define STANDIN_PIECE_STREAM_H

#include "standin_http.h"

/** Answers a request with the stream of a job's pieces from @p position on, and
 * releases the job at its end. @p name is the attempt, @p other the one before it
 * on this engine. */
void piece_stream_reply(struct standin *standin, struct http_exchange *exchange,
    struct engine_job *job, const struct attempt_name *name,
    const struct attempt_name *other, uint64_t position);

#endif
