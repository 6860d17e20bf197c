/**
 * @file upstream_control.h
 * The blocking functions of the upstream adapter over HTTP: probes, KV memory
 * and orders.
 *
 * Each function but the probe sends one JSON request and waits for the reply until its
 * deadline on the monotonic clock. struct upstream_adapter lists the errors.
 * The context argument is not used. Any thread but the coordination thread may
 * call the functions.
 */
#ifndef UPSTREAM_CONTROL_H
#define UPSTREAM_CONTROL_H

#include <stdint.h>

#include "base/error_code.h"
#include "transport/upstream_adapter.h"

/** Returns ERROR_NONE if the upstream accepts a connection before the deadline,
 * else ERROR_CONNECTION. Nothing is sent. */
enum error_code upstream_control_probe(
    void *context, const struct upstream_target *target, int64_t deadline_ms);

/* KV memory */

/** Reserves KV memory for @p tokens under the id @p reservation. Reserving an
 * existing id again keeps its content. */
enum error_code upstream_control_kv_reserve(void *context,
    const struct upstream_target *target, uint64_t reservation, uint64_t tokens,
    int64_t deadline_ms);
/** Exports the content of a reservation for other engines to import. */
enum error_code upstream_control_kv_export(void *context,
    const struct upstream_target *target, uint64_t reservation,
    int64_t deadline_ms, struct kv_export *result);
/** Imports exported content of another engine into a reservation of the target
 * engine, which continues from there. */
enum error_code upstream_control_kv_import(void *context,
    const struct upstream_target *target, uint64_t reservation,
    const struct kv_export *source, int64_t deadline_ms);
/** Releases a reservation; an unknown id is no error. */
enum error_code upstream_control_kv_release(void *context,
    const struct upstream_target *target, uint64_t reservation,
    int64_t deadline_ms);
/** Lists the reservations that the engine holds. */
enum error_code upstream_control_kv_held(void *context,
    const struct upstream_target *target, int64_t deadline_ms,
    struct held_reservation_list *held);

/* Orders */

/** Gives an order, or returns the progress of one given before with that id. */
enum error_code upstream_control_order(void *context,
    const struct upstream_target *target, const struct upstream_order *order,
    int64_t deadline_ms, enum upstream_order_state *state);

#endif
