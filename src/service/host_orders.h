/**
 * @file host_orders.h
 * Orders to engines, tied to the replicated state and to upstreams.
 */
#ifndef HOST_ORDERS_H
#define HOST_ORDERS_H

#include <stdint.h>

#include "base/error_code.h"
#include "coordination/order_runner.h"

struct host;

/** The verbs as operators write them, by enum upstream_order_verb. */
const char *host_order_kind_name(uint32_t kind);
/** Number of a verb, 0 for none of that name. */
uint32_t host_order_kind(const char *name);

/* Coordination thread */

/** Prepares the runner. */
enum error_code host_orders_init(struct host *host);
/** Gives back memory. */
void host_orders_finish(struct host *host);
/** After each turn: leads or follows, as this host does. */
void host_orders_step(struct host *host);

/* Request threads */

/** Starts an order; only the leader can. Errors: of order_runner_submit(),
 * ERROR_NOT_FOUND for an upstream that is not known. */
enum error_code host_order_submit(struct host *host, const char *upstream,
    uint32_t kind, const char *argument);

#endif
