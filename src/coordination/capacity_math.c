#include "coordination/capacity_math.h"

uint64_t
capacity_get(const struct capacity_amount *amount, unsigned int at)
{
	switch (at) {
	case 0:
		return amount->requests;
	case 1:
		return amount->prefill_tokens;
	default:
		return amount->kv_tokens;
	}
}

void
capacity_set(struct capacity_amount *amount, unsigned int at, uint64_t value)
{
	switch (at) {
	case 0:
		amount->requests =
		    value > UINT32_MAX ? UINT32_MAX : (uint32_t)value;
		break;
	case 1:
		amount->prefill_tokens = value;
		break;
	default:
		amount->kv_tokens = value;
		break;
	}
}

struct capacity_amount
capacity_add(
    const struct capacity_amount *left, const struct capacity_amount *right)
{
	struct capacity_amount sum;
	uint64_t first, second;
	unsigned int at;

	for (at = 0; at < CAPACITY_DIMENSIONS; at++) {
		first = capacity_get(left, at);
		second = capacity_get(right, at);
		capacity_set(&sum, at,
		    second > UINT64_MAX - first ? UINT64_MAX : first + second);
	}
	return sum;
}

struct capacity_amount
capacity_subtract(
    const struct capacity_amount *left, const struct capacity_amount *right)
{
	struct capacity_amount rest;
	uint64_t first, second;
	unsigned int at;

	for (at = 0; at < CAPACITY_DIMENSIONS; at++) {
		first = capacity_get(left, at);
		second = capacity_get(right, at);
		capacity_set(&rest, at, first > second ? first - second : 0);
	}
	return rest;
}

struct capacity_amount
capacity_max(
    const struct capacity_amount *left, const struct capacity_amount *right)
{
	struct capacity_amount most;
	uint64_t first, second;
	unsigned int at;

	for (at = 0; at < CAPACITY_DIMENSIONS; at++) {
		first = capacity_get(left, at);
		second = capacity_get(right, at);
		capacity_set(&most, at, first > second ? first : second);
	}
	return most;
}

struct capacity_amount
capacity_min(
    const struct capacity_amount *left, const struct capacity_amount *right)
{
	struct capacity_amount least;
	uint64_t first, second;
	unsigned int at;

	for (at = 0; at < CAPACITY_DIMENSIONS; at++) {
		first = capacity_get(left, at);
		second = capacity_get(right, at);
		capacity_set(&least, at, first < second ? first : second);
	}
	return least;
}

bool
capacity_fits(
    const struct capacity_amount *inner, const struct capacity_amount *outer)
{
	return inner->requests <= outer->requests &&
	       inner->prefill_tokens <= outer->prefill_tokens &&
	       inner->kv_tokens <= outer->kv_tokens;
}

bool
capacity_equal(
    const struct capacity_amount *left, const struct capacity_amount *right)
{
	return capacity_fits(left, right) && capacity_fits(right, left);
}

bool
capacity_is_zero(const struct capacity_amount *amount)
{
	return amount->requests == 0 && amount->prefill_tokens == 0 &&
	       amount->kv_tokens == 0;
}
