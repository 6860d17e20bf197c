#include <math.h>

#include "traffic_parts.h"

#define LARGE_ACCOUNT_SHARE 0.5	 /* Share of requests from account 0. */
#define SESSION_SHARE	    0.4	 /* Share of requests with a shared prefix. */
#define SESSION_COUNT	    40	 /* Shared prefixes in each band. */
#define PREFIX_SHARE	    0.6	 /* Share of such a prompt that is prefix. */
#define LONG_PROMPT_SHARE   0.02 /* Share of prompts over 100k tokens. */

static uint64_t draw_prompt(struct random_source *random, uint32_t *band);
static double read_quantile(GArray *values, double quantile);
static gint compare_doubles(gconstpointer left, gconstpointer right);

/* Draws all requests before the run, so that every policy gets the same ones,
 * and the same short prompts arrive with and without long prompts. */
void
traffic_make_requests(struct traffic *traffic)
{
	struct random_source random;
	struct traffic_request *request;
	double mean_us, at_us, total_us;
	uint32_t i, band;

	random_init(&random, traffic->settings.seed + 1000);
	total_us = 0;
	for (i = 0; i < 20000; i++)
		total_us +=
		    model_engine_time_us(draw_prompt(&random, &band), 100);
	mean_us = total_us / 20000 / ENGINE_COUNT / traffic->settings.load;
	random_init(&random, traffic->settings.seed);
	traffic->requests = g_ptr_array_new_with_free_func(g_free);
	at_us = random_exponential(&random, mean_us);
	while (at_us < ARRIVALS_DURATION_US) {
		request = g_new0(struct traffic_request, 1);
		request->traffic = traffic;
		request->facts.prompt_tokens =
		    draw_prompt(&random, &request->band);
		request->facts.answer_tokens_max =
		    50 + random_below(&random, 100);
		request->facts.account_index =
		    random_unit(&random) < LARGE_ACCOUNT_SHARE
			? 0
			: random_below(&random, ACCOUNT_COUNT);
		request->host = random_below(&random, HOST_COUNT);
		if (random_unit(&random) < SESSION_SHARE) {
			request->facts.prefix_count = 1;
			request->facts.prefix_hashes[0] =
			    1 + random_below(&random, SESSION_COUNT) +
			    (uint64_t)request->band * SESSION_COUNT;
			request->facts.prefix_tokens[0] =
			    (uint64_t)(PREFIX_SHARE *
				       (double)request->facts.prompt_tokens);
		}
		request->facts.id = traffic->requests->len + 1;
		request->arrived_us = (int64_t)at_us;
		g_ptr_array_add(traffic->requests, request);
		if (request->band < TRAFFIC_BAND_COUNT - 1 ||
		    !traffic->settings.without_long_prompts)
			traffic_schedule(traffic, (int64_t)at_us,
			    traffic_on_arrival, request);
		at_us += random_exponential(&random, mean_us);
	}
}

void
traffic_compute_result(struct traffic *traffic)
{
	static const double quantiles[] = {0.5, 0.95, 0.99};
	struct traffic_result *result = traffic->result;
	struct traffic_request *request;
	GArray *values[TRAFFIC_BAND_COUNT];
	uint32_t i, j;

	for (i = 0; i < TRAFFIC_BAND_COUNT; i++)
		values[i] = g_array_new(FALSE, FALSE, sizeof(double));
	for (i = 0; i < traffic->requests->len; i++) {
		request = g_ptr_array_index(traffic->requests, i);
		if (request->facts.account_index != 0)
			result->small_accounts_offered++;
		if (!request->is_admitted)
			continue;
		if (request->facts.account_index != 0 && request->is_in_time)
			result->small_accounts_in_time++;
		result->admitted++;
		if (!request->has_ended)
			result->lost++;
		else if (request->is_in_time)
			result->in_time++;
		else
			result->failed++;
		/* A request without a first token counts as if it had waited
		 * until its deadline. */
		if (request->first_token_ms < 0)
			request->first_token_ms =
			    (double)(request->facts.deadline_ms -
				     request->facts.admitted_ms);
		g_array_append_val(
		    values[request->band], request->first_token_ms);
	}
	for (i = 0; i < TRAFFIC_BAND_COUNT; i++) {
		g_array_sort(values[i], compare_doubles);
		for (j = 0; j < G_N_ELEMENTS(quantiles); j++)
			result->first_token_ms[i][j] =
			    read_quantile(values[i], quantiles[j]);
		g_array_free(values[i], TRUE);
	}
	for (i = 0; i < ENGINE_COUNT; i++)
		result->cold_crashes += traffic->engines[i].crash_count;
	if (traffic->prompt_tokens > 0)
		result->cached_token_share = (double)traffic->cached_tokens /
					     (double)traffic->prompt_tokens;
}

/* Draws a prompt length in tokens, log-uniform within its band. One prompt in
 * fifty is over 100,000 tokens. */
static uint64_t
draw_prompt(struct random_source *random, uint32_t *band)
{
	static const double edges[TRAFFIC_BAND_COUNT + 1] = {
	    1000, 4000, 32000, 100000, 1000000};
	static const double shares[TRAFFIC_BAND_COUNT] = {
	    0.70, 0.22, 0.06, LONG_PROMPT_SHARE};
	double draw;

	draw = random_unit(random);
	*band = 0;
	while (*band < TRAFFIC_BAND_COUNT - 1 && draw >= shares[*band]) {
		draw -= shares[*band];
		(*band)++;
	}
	return (uint64_t)(edges[*band] * pow(edges[*band + 1] / edges[*band],
					     random_unit(random)));
}

static double
read_quantile(GArray *values, double quantile)
{
	if (values->len == 0)
		return 0;
	return g_array_index(
	    values, double, (guint)(quantile * (double)(values->len - 1)));
}

static gint
compare_doubles(gconstpointer left, gconstpointer right)
{
	const double *first = left, *second = right;

	if (*first == *second)
		return 0;
	return *first < *second ? -1 : 1;
}
