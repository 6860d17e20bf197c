#include "load_plan.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/random_source.h"
#include "protocol/prefix_hash.h"

#define SHARED_PREFIX_COUNT 4	 /* Prefixes that prompts share. */
#define SHARED_PREFIX_SIZE  2048 /* Bytes of each shared prefix. */
#define PERCENT		    100
/* Difference between the random seeds of two consecutive requests. */
#define SEED_STRIDE 0x9e3779b97f4a7c15ull
#define US_PER_S    1e6

/* Bands of prompt length, with their range of prompt tokens. */
static const struct {
	const char *name;
	uint64_t tokens_min;
	uint64_t tokens_max;
} bands[LOAD_BAND_COUNT] = {
    {"under_4k", 1000, 4000},
    {"to_32k", 4000, 32000},
    {"to_100k", 32000, 100000},
    {"to_1m", 100000, 1000000},
};

static void init_request_random(const struct load_settings *settings,
    uint32_t number, struct random_source *random);
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
	uint64_t tokens_min;
	uint64_t tokens_max;

	memset(request, 0, sizeof(*request));
	init_request_random(settings, number, &random);
	request->number = number;
	request->band = draw_band(settings, &random);
	tokens_min = bands[request->band].tokens_min;
	tokens_max = bands[request->band].tokens_max;
	if (tokens_max > settings->prompt_tokens_max)
		tokens_max = settings->prompt_tokens_max;
	if (tokens_min > tokens_max)
		tokens_min = tokens_max;
	request->prompt_size =
	    PROMPT_BYTES_PER_TOKEN *
	    (size_t)(tokens_min + random_below(&random,
				      (uint32_t)(tokens_max - tokens_min)));
	request->is_streamed =
	    random_below(&random, PERCENT) < settings->stream_percent;
	request->is_service_call =
	    random_below(&random, PERCENT) < settings->service_percent;
	if (request->is_service_call)
		request->is_streamed = false;
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
		prompt[i] = (char)('a' + (i * 7 + request->number %
						      SHARED_PREFIX_COUNT) %
					     26);
	init_request_random(settings, ~request->number, &random);
	/* After the shared prefix each prompt is unique, so a correct
	 * answer to it is unique as well. */
	for (i = SHARED_PREFIX_SIZE; i + 1 < request->prompt_size; i += 61)
		prompt[i] = (char)('A' + random_below(&random, 26));
	prompt[request->prompt_size] = '\0';
	return prompt;
}

int64_t *
load_plan_due_times_us(const struct load_settings *settings)
{
	struct random_source random;
	int64_t *times;
	double now_us;
	uint32_t i;

	times = calloc(settings->request_count + 1, sizeof(*times));
	if (times == NULL || settings->arrivals_per_s <= 0)
		return times;
	random_init(&random, settings->seed);
	now_us = 0;
	for (i = 0; i < settings->request_count; i++) {
		now_us += random_exponential(
		    &random, US_PER_S / settings->arrivals_per_s);
		times[i] = (int64_t)now_us;
	}
	return times;
}

static void
init_request_random(const struct load_settings *settings, uint32_t number,
    struct random_source *random)
{
	random_init(random, settings->seed + SEED_STRIDE * (number + 1ull));
	random_uint64(random);
}

static uint32_t
draw_band(const struct load_settings *settings, struct random_source *random)
{
	uint32_t total;
	uint32_t draw;
	uint32_t band;

	total = 0;
	for (band = 0; band < LOAD_BAND_COUNT; band++)
		total += settings->band_weights[band];
	draw = random_below(random, total);
	for (band = 0; band < LOAD_BAND_COUNT - 1; band++) {
		if (draw < settings->band_weights[band])
			break;
		draw -= settings->band_weights[band];
	}
	return band;
}
