/**
 * @file api.h
 * The HTTP handlers of a host, for callers, upstreams, operators and the load
 * balancer.
 *
 * docs/INTERFACES.md describes the requests and replies field by field. The
 * context of each handler is the struct host that serves the request.
 */
#ifndef API_H
#define API_H

#include <stddef.h>

#include <jansson.h>

#include "base/error_code.h"
#include "host/host.h"
#include "transport/http_server.h"

/* Callers (request_api.c) */

/** POST /v1/completions: a text completion, streamed or in one reply. */
void api_completions(void *context, struct http_exchange *exchange);
/** POST /v1/chat/completions: a chat answer, streamed or in one reply. */
void api_chat_completions(void *context, struct http_exchange *exchange);
/** POST /v1/services/:service/...: passes a call of a plain service, with any
 * body, to one of its upstreams. */
void api_service_call(void *context, struct http_exchange *exchange);

/* Upstreams (upstream_api.c) */

/** POST /upstream/v1/announce: an upstream registers itself. */
void api_announce(void *context, struct http_exchange *exchange);
/** POST /upstream/v1/renew: an upstream renews its record and reports load. */
void api_renew(void *context, struct http_exchange *exchange);
/** POST /upstream/v1/leave: an upstream is stopping, or has stopped. */
void api_leave(void *context, struct http_exchange *exchange);
/** POST /upstream/v1/cache-events: changes of an upstream's prefix cache. */
void api_cache_events(void *context, struct http_exchange *exchange);

/* Operators (operator_api.c) */

/** GET /operator/v1/status: this host's view of itself and the cluster. */
void api_status(void *context, struct http_exchange *exchange);
/** GET /operator/v1/upstreams: upstreams that match a selector. */
void api_upstreams(void *context, struct http_exchange *exchange);
/** GET /operator/v1/config: entries of the configuration, by key or prefix. */
void api_config_get(void *context, struct http_exchange *exchange);
/** POST /operator/v1/config: applies a batch of configuration changes. */
void api_config_change(void *context, struct http_exchange *exchange);
/** GET /operator/v1/hosts: the known hosts, the leader and the voters. */
void api_hosts(void *context, struct http_exchange *exchange);
/** GET /operator/v1/upgrade: this host's build, levels, state and log, for the
 * check before an upgrade. */
void api_upgrade(void *context, struct http_exchange *exchange);
/** POST /operator/v1/voters: adds or removes a voter. */
void api_voters(void *context, struct http_exchange *exchange);
/** GET /operator/v1/quarantine: requests suspected of crashing upstreams. */
void api_quarantine(void *context, struct http_exchange *exchange);
/** POST /operator/v1/quarantine: releases a request from quarantine. */
void api_quarantine_release(void *context, struct http_exchange *exchange);
/** GET /operator/v1/orders: orders given to engines and their states. */
void api_orders(void *context, struct http_exchange *exchange);
/** POST /operator/v1/orders: gives an engine an order, such as load-model. */
void api_order_submit(void *context, struct http_exchange *exchange);
/** POST /operator/v1/override: lets this host serve for a limited time without
 * a confirmed configuration. */
void api_override(void *context, struct http_exchange *exchange);

/* The load balancer and monitoring (monitor_api.c) */

/** GET /healthz: always 200 while the process can answer. */
void api_healthz(void *context, struct http_exchange *exchange);
/** GET /readyz: 200 while this host accepts new work, otherwise 503. */
void api_readyz(void *context, struct http_exchange *exchange);
/** GET /metrics: all metrics in the Prometheus text format. */
void api_metrics(void *context, struct http_exchange *exchange);

/* Shared by the handlers */

/** Replies with error @p code and the outcome "not run": the request was
 * refused before any part of it ran. @p message is for people. */
void api_refuse(
    struct http_exchange *exchange, enum error_code code, const char *message);

#endif
