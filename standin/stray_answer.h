/**
 * @file stray_answer.h
 * Simulated faults of the stand-in's answers: refusals of another request, and
 * answers that stop in their head.
 */
#ifndef STANDIN_STRAY_ANSWER_H
#define STANDIN_STRAY_ANSWER_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "settings.h"
#include "transport/http_server.h"

/** A request and one of the attempts at it. */
struct attempt_name {
	uint64_t request_id; /**< Id of the request. */
	uint32_t attempt;    /**< Number of the attempt. */
};

/** The requests that were named last. */
struct stray_answers {
	const struct standin_settings *settings; /**< Settings, not owned. */
	pthread_mutex_t lock;			 /**< Guards the name below. */
	struct attempt_name last;		 /**< The last request. */
};

/** Initialises the faults. */
void stray_answers_init(
    struct stray_answers *stray, const struct standin_settings *settings);
/** Frees the lock. */
void stray_answers_finish(struct stray_answers *stray);
/** Records a request and returns the one before it. */
struct attempt_name stray_answers_exchange(
    struct stray_answers *stray, const struct attempt_name *name);
/** Answers run number @p run wrongly if the settings ask for it, with the
 * refusal of @p other or the start of a head. Returns true if it did. */
bool stray_answers_reply(const struct stray_answers *stray,
    struct http_exchange *exchange, uint64_t run,
    const struct attempt_name *other);
/** Writes the error event that refuses an attempt. */
void stray_answers_write_refusal(GString *out, const struct attempt_name *name);
/** Refuses a request, which did not run, and names it in the error. */
void stray_answers_refuse(struct http_exchange *exchange,
    const struct attempt_name *name, const struct caller_error *error);

#endif
