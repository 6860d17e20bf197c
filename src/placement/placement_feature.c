#include "placement/placement_feature.h"

#include <stddef.h>
#include <string.h>

static const struct {
	const char *name;
	enum placement_feature feature;
} features_by_name[] = {
    {"guard-pauses", PLACEMENT_GUARD_PAUSES},
    {"queue-large", PLACEMENT_QUEUE_LARGE},
    {"share-slots", PLACEMENT_SHARE_SLOTS},
};

enum error_code
placement_feature_add(uint32_t *features, const char *name)
{
	size_t i;

	for (i = 0; i < sizeof(features_by_name) / sizeof(features_by_name[0]);
	     i++) {
		if (strcmp(features_by_name[i].name, name) == 0) {
			*features |= (uint32_t)features_by_name[i].feature;
			return ERROR_NONE;
		}
	}
	return ERROR_BAD_VALUE;
}

const char *
placement_feature_names(void)
{
	return "guard-pauses queue-large share-slots";
}
