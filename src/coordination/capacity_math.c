#include "coordination/capacity_math.h"

static struct capacity_amount combine(const struct capacity_amount *left,
    const struct capacity_amount *right,
    uint64_t (*operation)(uint64_t left, uint64_t right));
static uint64_t add(uint64_t left, uint64_t right);
static uint64_t subtract(uint64_t left, uint64_t right);
static uint64_t maximum(uint64_t left, uint64_t right);
static uint64_t minimum(uint64_t left, uint64_t right);

uint64_t
capacity_get(const struct capacity_amount *amount, unsigned int dimension)
{
	switch (dimension) {
	case 0:
		return amount->requests;
	case 1:
		return amount->prefill_tokens;
	default:
		return amount->kv_tokens;
	}
}

void
capacity_set(
    struct capacity_amount *amount, unsigned int dimension, uint64_t value)
{
	switch (dimension) {
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
	return combine(left, right, add);
}

struct capacity_amount
capacity_subtract(
    const struct capacity_amount *left, const struct capacity_amount *right)
{
	return combine(left, right, subtract);
}

struct capacity_amount
capacity_max(
    const struct capacity_amount *left, const struct capacity_amount *right)
{
	return combine(left, right, maximum);
}

struct capacity_amount
capacity_min(
    const struct capacity_amount *left, const struct capacity_amount *right)
{
	return combine(left, right, minimum);
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

static struct capacity_amount
combine(const struct capacity_amount *left, const struct capacity_amount *right,
    uint64_t (*operation)(uint64_t left, uint64_t right))
{
	struct capacity_amount result;
	unsigned int dimension;

	for (dimension = 0; dimension < CAPACITY_DIMENSIONS; dimension++)
		capacity_set(&result, dimension,
		    operation(capacity_get(left, dimension),
			capacity_get(right, dimension)));
	return result;
}

static uint64_t
add(uint64_t left, uint64_t right)
{
	return right > UINT64_MAX - left ? UINT64_MAX : left + right;
}

static uint64_t
subtract(uint64_t left, uint64_t right)
{
	return left > right ? left - right : 0;
}

static uint64_t
maximum(uint64_t left, uint64_t right)
{
	return left > right ? left : right;
}

static uint64_t
minimum(uint64_t left, uint64_t right)
{
	return left < right ? left : right;
}
