#include "state/upstream.h"

#include <string.h>

#include <xxhash.h>

uint64_t
upstream_id(const char *name)
{
	return XXH64(name, strlen(name), 0);
}

const char *
upstream_label(const struct upstream_record *record, const char *key)
{
	uint32_t i;

	for (i = 0; i < record->label_count; i++) {
		if (strcmp(record->labels[i].key, key) == 0)
			return record->labels[i].value;
	}
	return NULL;
}

bool
upstream_serves(const struct upstream_record *record, const char *model)
{
	uint32_t i;

	for (i = 0; i < record->model_count; i++) {
		if (strcmp(record->models[i], model) == 0)
			return true;
	}
	return false;
}
