/**
 * @file host_orders.h
 * Orders to engines, such as loading a model: connects the order runner to the
 * replicated state, where orders are committed, and to the upstreams.
 */
#ifndef HOST_ORDERS_H
#define HOST_ORDERS_H

#include <stdint.h>

#include "base/error_code.h"
#include "coordination/order_runner.h"

struct host;

/** Returns the name that the operator API uses for a kind of order (enum
 * upstream_order_verb), or "unknown" for any other number. */
const char *host_order_kind_name(uint32_t kind);
/** Returns the kind of order with this name, or 0 if there is none. */
uint32_t host_order_kind(const char *name);

/* Coordination thread */

/** Initialises the order runner. Errors: those of order_runner_init(). */
enum error_code host_orders_init(struct host *host);
/** Frees the order runner. */
void host_orders_finish(struct host *host);
/** Called in every pass of the main loop: gives the runner the leader's lease,
 * or makes it step down if this host doesn't lead. */
void host_orders_on_loop_pass(struct host *host);

/* Request threads */

/** Starts an order to the upstream of this name; only the leader can. Errors:
 * those of order_runner_submit(), ERROR_NOT_FOUND for an unknown upstream,
 * ERROR_TOO_LARGE for a too long argument. */
enum error_code host_order_submit(struct host *host, const char *upstream,
    uint32_t kind, const char *argument);

#endif
