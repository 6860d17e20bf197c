#include "state/request.h"

#include <string.h>

#include <xxhash.h>

struct request_key
request_key_of(const struct request_facts *facts)
{
	struct request_key key = {.fingerprint = facts->fingerprint};
	uint64_t model;

	model = XXH64(facts->model, strlen(facts->model), 0);
	while (key.part_count < facts->prefix_count &&
	       key.part_count < REQUEST_PARTS_MAX) {
		key.parts[key.part_count] =
		    facts->prefix_hashes[key.part_count] ^ model;
		key.part_count++;
	}
	return key;
}

const char *
request_outcome_name(enum request_outcome outcome)
{
	switch (outcome) {
	case REQUEST_OUTCOME_NOT_RUN:
		return "not_run";
	case REQUEST_OUTCOME_DONE:
		return "done";
	case REQUEST_OUTCOME_FAILED:
		return "failed";
	case REQUEST_OUTCOME_UNKNOWN:
		break;
	}
	return "unknown";
}
