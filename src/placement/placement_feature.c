#include "placement/placement_feature.h"

#include <stddef.h>
#include <string.h>

#include <glib.h>

/* With more than this for a megabyte nothing would ever leave. */
#define BORDER_MS_PER_MB_MAX 1e6

static enum error_code read_value(struct placement_features *features,
    enum placement_feature feature, const char *text);

static const struct {
	const char *name;
	enum placement_feature feature;
} features_by_name[] = {
    {"guard-pauses", PLACEMENT_GUARD_PAUSES},
    {"queue-large", PLACEMENT_QUEUE_LARGE},
    {"share-slots", PLACEMENT_SHARE_SLOTS},
    {"weigh-borders", PLACEMENT_WEIGH_BORDERS},
};

enum error_code
placement_feature_add(struct placement_features *features, const char *text)
{
	const char *value;
	size_t size, i;

	value = strchr(text, '=');
	size = value == NULL ? strlen(text) : (size_t)(value - text);
	for (i = 0; i < sizeof(features_by_name) / sizeof(features_by_name[0]);
	     i++) {
		if (strlen(features_by_name[i].name) != size ||
		    strncmp(features_by_name[i].name, text, size) != 0)
			continue;
		features->set |= (uint32_t)features_by_name[i].feature;
		return value == NULL
			   ? ERROR_NONE
			   : read_value(features, features_by_name[i].feature,
				 value + 1);
	}
	return ERROR_BAD_VALUE;
}

static enum error_code
read_value(struct placement_features *features, enum placement_feature feature,
    const char *text)
{
	double value;
	char *end;

	value = g_ascii_strtod(text, &end);
	if (feature != PLACEMENT_WEIGH_BORDERS || end == text || *end != '\0' ||
	    !(value >= 0 && value <= BORDER_MS_PER_MB_MAX))
		return ERROR_BAD_VALUE;
	features->border_ms_per_mb = value;
	return ERROR_NONE;
}

const char *
placement_feature_names(void)
{
	return "guard-pauses queue-large share-slots weigh-borders[=MS]";
}
