/**
 * @file capacity_math.h
 * Arithmetic on amounts of capacity, applied to each dimension separately.
 */
#ifndef CAPACITY_MATH_H
#define CAPACITY_MATH_H

#include <stdbool.h>
#include <stdint.h>

#include "state/capacity_slot.h"

/** Number of dimensions: 0 is requests, 1 prefill tokens, 2 KV tokens. */
#define CAPACITY_DIMENSIONS 3

/* One dimension */

/** Returns one dimension of an amount. */
uint64_t capacity_get(
    const struct capacity_amount *amount, unsigned int dimension);
/** Sets one dimension of an amount; a value above the largest that its field
 * can hold is set to that largest value. */
void capacity_set(
    struct capacity_amount *amount, unsigned int dimension, uint64_t value);

/* All dimensions */

/** Returns the sum; a dimension that would overflow gets its largest value. */
struct capacity_amount capacity_add(
    const struct capacity_amount *left, const struct capacity_amount *right);
/** Returns left - right, or zero in dimensions where right is greater. */
struct capacity_amount capacity_subtract(
    const struct capacity_amount *left, const struct capacity_amount *right);
/** Returns the greater value in each dimension. */
struct capacity_amount capacity_max(
    const struct capacity_amount *left, const struct capacity_amount *right);
/** Returns the smaller value in each dimension. */
struct capacity_amount capacity_min(
    const struct capacity_amount *left, const struct capacity_amount *right);
/** Returns true if @p inner is at most @p outer in every dimension. */
bool capacity_fits(
    const struct capacity_amount *inner, const struct capacity_amount *outer);
/** Returns true if both amounts are equal in every dimension. */
bool capacity_equal(
    const struct capacity_amount *left, const struct capacity_amount *right);
/** Returns true if the amount is zero in every dimension. */
bool capacity_is_zero(const struct capacity_amount *amount);

#endif
