/**
 * @file standin_http.h
 * HTTP routes of the stand-in: those of an engine and of a plain service, and
 * counters for tests.
 */
#ifndef STANDIN_HTTP_H
#define STANDIN_HTTP_H

#include <stddef.h>

#include "engine.h"
#include "order_book.h"
#include "plain_service.h"
#include "settings.h"
#include "stray_answer.h"
#include "transport/http_server.h"

/** All state of the stand-in, the context of its HTTP handlers. */
struct standin {
	struct standin_settings settings; /**< Settings of the command line. */
	struct run_log run_log;		  /**< Log of all runs, for tests. */
	struct engine engine; /**< Answers prompts if it serves models. */
	struct plain_service service; /**< Answers plain calls. */
	struct order_book orders;     /**< Orders given by hosts. */
	struct stray_answers stray;   /**< Answers of other requests. */
};

/** Routes of the stand-in; their context is a struct standin. */
extern const struct http_route standin_routes[];
/** Number of elements of standin_routes. */
extern const size_t standin_route_count;

#endif
