/**
 * @file api.h
 * The HTTP handlers of a host: callers, upstreams, operators, the balancer.
 *
 * docs/INTERFACES.md describes them field by field.
 */
#ifndef API_H
#define API_H

#include <stddef.h>

#include <jansson.h>

#include "base/error_code.h"
#include "service/host.h"
#include "transport/http_server.h"

/* Callers (request_api.c) */

/** POST /v1/completions. */
void api_completions(void *context, struct http_exchange *exchange);
/** POST /v1/chat/completions. */
void api_chat_completions(void *context, struct http_exchange *exchange);
/** POST /v1/services/:service/... */
void api_service_call(void *context, struct http_exchange *exchange);

/* Upstreams (upstream_api.c) */

/** POST /upstream/v1/announce. */
void api_announce(void *context, struct http_exchange *exchange);
/** POST /upstream/v1/renew. */
void api_renew(void *context, struct http_exchange *exchange);
/** POST /upstream/v1/leave. */
void api_leave(void *context, struct http_exchange *exchange);
/** POST /upstream/v1/cache-events. */
void api_cache_events(void *context, struct http_exchange *exchange);

/* Operators (operator_api.c) */

/** GET /operator/v1/status. */
void api_status(void *context, struct http_exchange *exchange);
/** GET /operator/v1/upstreams. */
void api_upstreams(void *context, struct http_exchange *exchange);
/** GET /operator/v1/config. */
void api_config_get(void *context, struct http_exchange *exchange);
/** POST /operator/v1/config. */
void api_config_change(void *context, struct http_exchange *exchange);
/** GET /operator/v1/hosts. */
void api_hosts(void *context, struct http_exchange *exchange);
/** POST /operator/v1/voters. */
void api_voters(void *context, struct http_exchange *exchange);
/** GET /operator/v1/quarantine. */
void api_quarantine(void *context, struct http_exchange *exchange);
/** POST /operator/v1/quarantine. */
void api_quarantine_release(void *context, struct http_exchange *exchange);
/** GET /operator/v1/orders. */
void api_orders(void *context, struct http_exchange *exchange);
/** POST /operator/v1/orders. */
void api_order_give(void *context, struct http_exchange *exchange);
/** POST /operator/v1/override. */
void api_override(void *context, struct http_exchange *exchange);

/* The balancer and metrics (monitor_api.c) */

/** GET /healthz: the process answers. */
void api_healthz(void *context, struct http_exchange *exchange);
/** GET /readyz: it takes new work. */
void api_readyz(void *context, struct http_exchange *exchange);
/** GET /metrics. */
void api_metrics(void *context, struct http_exchange *exchange);

/* For the handlers */

/** Answers with an error that stopped it before it ran. */
void api_refuse(
    struct http_exchange *exchange, enum error_code code, const char *message);

#endif
