/**
 * @file standin_http.h
 * The stand-in's HTTP side: engine, plain service and counters.
 */
#ifndef STANDIN_HTTP_H
#define STANDIN_HTTP_H

#include <stddef.h>

#include "engine.h"
#include "order_book.h"
#include "plain_service.h"
#include "settings.h"
#include "transport/http_server.h"

/** What the handlers use. */
struct standin {
	struct standin_settings settings;
	struct run_log run_log;
	struct engine engine;
	struct plain_service service;
	struct order_book orders;
};

/** The routes; their context is a struct standin. */
extern const struct http_route standin_routes[];
/** How many. */
extern const size_t standin_route_count;

#endif
