#include "fake_slots.h"

#include <stdio.h>

static struct capacity_slot *
open_slot(void *context, uint64_t upstream_id, uint64_t incarnation)
{
	struct fake_slots *slots = context;
	uint32_t index;

	(void)incarnation;
	if (slots->count == FAKE_SLOTS_MAX)
		return NULL;
	index = slots->count++;
	slots->upstream_ids[index] = upstream_id;
	capacity_slot_grant(&slots->slots[index], &slots->grant, INT64_MAX);
	return &slots->slots[index];
}

static void
drop_slot(void *context, uint64_t upstream_id)
{
	struct fake_slots *slots = context;
	uint32_t i;

	for (i = 0; i < slots->count; i++) {
		if (slots->upstream_ids[i] == upstream_id)
			slots->dropped[i] = true;
	}
}

struct fleet_ops
fake_slots_ops(struct fake_slots *slots)
{
	struct fleet_ops ops = {open_slot, drop_slot, slots};

	return ops;
}

struct capacity_slot *
fake_slots_find(struct fake_slots *slots, uint64_t id)
{
	uint32_t i;

	for (i = slots->count; i > 0; i--) {
		if (slots->upstream_ids[i - 1] == id && !slots->dropped[i - 1])
			return &slots->slots[i - 1];
	}
	return NULL;
}

struct upstream_record
fake_upstream_record(
    const char *name, const char *data_centre, uint64_t incarnation)
{
	struct upstream_record record = {.incarnation = incarnation,
	    .sequence = 1,
	    .kind = UPSTREAM_KIND_MODEL,
	    .state = UPSTREAM_STATE_ACTIVE,
	    .model_count = 1,
	    .models = {"m"},
	    .limits = {.cold_requests = 2,
		.warm_requests = 32,
		.cold_prefill_tokens = 20000,
		.warm_prefill_tokens = 400000,
		.kv_tokens = 600000,
		.prefill_tokens_per_s = 20000,
		.decode_us_per_token = 20000}};

	snprintf(record.name, sizeof(record.name), "%s", name);
	snprintf(
	    record.data_centre, sizeof(record.data_centre), "%s", data_centre);
	record.id = upstream_id(name);
	return record;
}
