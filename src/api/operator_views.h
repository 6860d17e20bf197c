/**
 * @file operator_views.h
 * Replies of the operator API as JSON. Each function fills @p reply and is
 * called on the coordination thread, by host_query().
 */
#ifndef OPERATOR_VIEWS_H
#define OPERATOR_VIEWS_H

#include <jansson.h>

#include "base/error_code.h"
#include "host/host.h"

/** Summary of the host: its state, revision, lease, upstreams by warmth,
 * requests, voters and times to the first token. @p argument is ignored. */
enum error_code view_status(struct host *host, json_t *argument, json_t *reply);
/** Upstreams that match the selector in @p argument, a string. Errors: those of
 * selector_parse(). */
enum error_code view_upstreams(
    struct host *host, json_t *argument, json_t *reply);
/** Configuration entries whose key starts with the string @p argument. */
enum error_code view_config(struct host *host, json_t *argument, json_t *reply);
/** Configuration entry with the key @p argument. Errors: ERROR_NOT_FOUND. */
enum error_code view_config_entry(
    struct host *host, json_t *argument, json_t *reply);
/** All hosts known to membership, and the voters. @p argument is ignored. */
enum error_code view_hosts(struct host *host, json_t *argument, json_t *reply);
/** What the check before an upgrade asks of a host: its build, its levels, its
 * state and its log, and on the leader those of the other voters. @p argument
 * is ignored. */
enum error_code view_upgrade(
    struct host *host, json_t *argument, json_t *reply);
/** Fingerprints of suspected and quarantined requests. @p argument is
 * ignored. */
enum error_code view_quarantine(
    struct host *host, json_t *argument, json_t *reply);
/** Running and finished orders to engines. @p argument is ignored. */
enum error_code view_orders(struct host *host, json_t *argument, json_t *reply);

#endif
