/**
 * @file capacity_math.h
 * Arithmetic on amounts of capacity, dimension by dimension.
 */
#ifndef CAPACITY_MATH_H
#define CAPACITY_MATH_H

#include <stdbool.h>
#include <stdint.h>

#include "state/capacity_slot.h"

#define CAPACITY_DIMENSIONS 3 /**< Requests, prefill tokens, KV tokens. */

/* One dimension */

/** Reads a dimension, 0 to CAPACITY_DIMENSIONS - 1. */
uint64_t capacity_get(const struct capacity_amount *amount, unsigned int at);
/** Writes a dimension; what does not fit is held at its most. */
void capacity_set(
    struct capacity_amount *amount, unsigned int at, uint64_t value);

/* All of them */

/** Sum, held at its most. */
struct capacity_amount capacity_add(
    const struct capacity_amount *left, const struct capacity_amount *right);
/** Difference, at least zero. */
struct capacity_amount capacity_subtract(
    const struct capacity_amount *left, const struct capacity_amount *right);
/** The greater in each dimension. */
struct capacity_amount capacity_max(
    const struct capacity_amount *left, const struct capacity_amount *right);
/** The lesser in each dimension. */
struct capacity_amount capacity_min(
    const struct capacity_amount *left, const struct capacity_amount *right);
/** True if @p inner is within @p outer in every dimension. */
bool capacity_fits(
    const struct capacity_amount *inner, const struct capacity_amount *outer);
/** True if all dimensions are equal. */
bool capacity_equal(
    const struct capacity_amount *left, const struct capacity_amount *right);
/** True if all dimensions are zero. */
bool capacity_is_zero(const struct capacity_amount *amount);

#endif
