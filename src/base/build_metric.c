#include "base/build_metric.h"

#include <inttypes.h>
#include <stdio.h>

#include "base/build_name.h"

#define LEVEL_TEXT_SIZE 16

enum error_code
build_metric_add(struct metrics_registry *registry, uint32_t level)
{
	const struct metric_settings settings = {
	    .kind = METRIC_KIND_GAUGE,
	    .series_max = 1,
	    .name = "chicorytack_build_info",
	    .help = "Always 1; the labels name the build and the highest level "
		    "of the replicated state that it knows.",
	    .labels = {"build", "level"},
	};
	char level_text[LEVEL_TEXT_SIZE];
	struct metric_series *series;
	const char *values[2];

	snprintf(level_text, sizeof(level_text), "%" PRIu32, level);
	values[0] = build_name();
	values[1] = level_text;
	series =
	    metrics_get_series(metrics_add_family(registry, &settings), values);
	if (series == NULL)
		return ERROR_NO_MEMORY;
	metrics_set(series, 1);
	return ERROR_NONE;
}
