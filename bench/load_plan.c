#include "load_plan.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/random_source.h"
#include "protocol/prefix_hash.h"

#define PREFIX_GROUPS 4	   /* Kinds of prompts that begin alike. */
#define PREFIX_SIZE   2048 /* Bytes that they share. */
#define PERCENT	      100
#define NUMBER_STRIDE 0x9e3779b97f4a7c15ull /* Parts requests' seeds. */
#define US_PER_S      1e6

/* Prompt tokens of each band. */
static const struct {
	const char *name;
	uint64_t least;
	uint64_t most;
} bands[LOAD_BANDS] = {
    {"under_4k", 1000, 4000},
    {"to_32k", 4000, 32000},
    {"to_100k", 32000, 100000},
    {"to_1m", 100000, 1000000},
};

static void seed_request(const struct load_settings *settings, uint32_t number,
    struct random_source *random);
static uint32_t draw_band(
    const struct load_settings *settings, struct random_source *random);

const char *
load_band_name(uint32_t band)
{
	return bands[band].name;
}

void
load_plan_request(const struct load_settings *settings, uint32_t number,
    struct load_request *request)
{
	struct random_source random;
	uint64_t least;
	uint64_t most;

	memset(request, 0, sizeof(*request));
	seed_request(settings, number, &random);
	request->number = number;
	request->band = draw_band(settings, &random);
	least = bands[request->band].least;
	most = bands[request->band].most;
	if (most > settings->prompt_tokens_max)
		most = settings->prompt_tokens_max;
	if (least > most)
		least = most;
	request->prompt_size =
	    PROMPT_BYTES_PER_TOKEN *
	    (size_t)(least + random_below(&random, (uint32_t)(most - least)));
	request->stream =
	    random_below(&random, PERCENT) < settings->stream_percent;
	request->is_service_call =
	    random_below(&random, PERCENT) < settings->service_percent;
	if (request->is_service_call)
		request->stream = false;
	if (settings->token_count > 0)
		request->token =
		    settings->tokens[number % settings->token_count];
	if (settings->url_count > 0)
		request->url =
		    settings->urls[random_below(&random, settings->url_count)];
	snprintf(request->key, sizeof(request->key), "load-%" PRIu64 "-%u",
	    settings->seed, number);
}

char *
load_plan_prompt(
    const struct load_settings *settings, const struct load_request *request)
{
	struct random_source random;
	char *prompt;
	size_t i;

	prompt = malloc(request->prompt_size + 1);
	if (prompt == NULL)
		return NULL;
	for (i = 0; i < request->prompt_size; i++)
		prompt[i] =
		    (char)('a' +
			   (i * 7 + request->number % PREFIX_GROUPS) % 26);
	seed_request(settings, ~request->number, &random);
	/* After what it shares each prompt is its own, so is its answer. */
	for (i = PREFIX_SIZE; i + 1 < request->prompt_size; i += 61)
		prompt[i] = (char)('A' + random_below(&random, 26));
	prompt[request->prompt_size] = '\0';
	return prompt;
}

int64_t *
load_plan_times(const struct load_settings *settings)
{
	struct random_source random;
	int64_t *times;
	double now_us;
	uint32_t i;

	times = calloc(settings->requests + 1, sizeof(*times));
	if (times == NULL || settings->rate_per_s <= 0)
		return times;
	random_init(&random, settings->seed);
	now_us = 0;
	for (i = 0; i < settings->requests; i++) {
		now_us += random_exponential(
		    &random, US_PER_S / settings->rate_per_s);
		times[i] = (int64_t)now_us;
	}
	return times;
}

static void
seed_request(const struct load_settings *settings, uint32_t number,
    struct random_source *random)
{
	random_init(random, settings->seed + NUMBER_STRIDE * (number + 1ull));
	random_uint64(random);
}

static uint32_t
draw_band(const struct load_settings *settings, struct random_source *random)
{
	uint32_t total;
	uint32_t place;
	uint32_t band;

	total = 0;
	for (band = 0; band < LOAD_BANDS; band++)
		total += settings->band_weights[band];
	place = random_below(random, total);
	for (band = 0; band < LOAD_BANDS - 1; band++) {
		if (place < settings->band_weights[band])
			break;
		place -= settings->band_weights[band];
	}
	return band;
}
