/**
 * @file upstream_control.h
 * The adapter's waiting functions over HTTP: KV memory and orders.
 *
 * Each makes one bounded exchange of JSON; see struct upstream_adapter for
 * the errors. The context is not used. Any thread but the coordination
 * thread may call them.
 */
#ifndef UPSTREAM_CONTROL_H
#define UPSTREAM_CONTROL_H

#include <stdint.h>

#include "base/error_code.h"
#include "transport/upstream_adapter.h"

/* KV memory */

/** Reserves @p tokens; the same id again keeps what is there. */
enum error_code upstream_control_kv_reserve(void *context,
    const struct upstream_target *target, uint64_t reservation, uint64_t tokens,
    int64_t deadline_ms);
/** Makes a reservation's content ready for other engines. */
enum error_code upstream_control_kv_export(void *context,
    const struct upstream_target *target, uint64_t reservation,
    int64_t deadline_ms, struct kv_export *result);
/** Carries an export's content on in a reservation of this engine. */
enum error_code upstream_control_kv_import(void *context,
    const struct upstream_target *target, uint64_t reservation,
    const struct kv_export *source, int64_t deadline_ms);
/** Gives a reservation back; one that isn't there is no error. */
enum error_code upstream_control_kv_release(void *context,
    const struct upstream_target *target, uint64_t reservation,
    int64_t deadline_ms);
/** Lists what the engine holds. */
enum error_code upstream_control_kv_held(void *context,
    const struct upstream_target *target, int64_t deadline_ms,
    struct held_kv_list *held);

/* Orders */

/** Gives an order, or asks how far it is. */
enum error_code upstream_control_order(void *context,
    const struct upstream_target *target, const struct upstream_order *order,
    int64_t deadline_ms, enum upstream_order_state *state);

#endif
