/**
 * @file operator_views.h
 * What operators see, as JSON; each runs on the coordination thread.
 */
#ifndef OPERATOR_VIEWS_H
#define OPERATOR_VIEWS_H

#include <jansson.h>

#include "base/error_code.h"
#include "service/host.h"

/** The state of the host at a glance. */
enum error_code view_status(struct host *host, json_t *argument, json_t *reply);
/** Upstreams of the selector in @p argument. Errors: ERROR_MALFORMED. */
enum error_code view_upstreams(
    struct host *host, json_t *argument, json_t *reply);
/** Configuration entries whose key starts with @p argument. */
enum error_code view_config(struct host *host, json_t *argument, json_t *reply);
/** One configuration entry. Errors: ERROR_NOT_FOUND. */
enum error_code view_config_entry(
    struct host *host, json_t *argument, json_t *reply);
/** Hosts. */
enum error_code view_hosts(struct host *host, json_t *argument, json_t *reply);
/** Quarantined requests. */
enum error_code view_quarantine(
    struct host *host, json_t *argument, json_t *reply);
/** Orders given to upstreams. */
enum error_code view_orders(struct host *host, json_t *argument, json_t *reply);

#endif
