#include <stdio.h>

#include "traffic_parts.h"

#define REPORT_LAG_US	       200000 /* Delay until a load report arrives. */
#define CACHE_EVENT_LOSS_SHARE 0.2    /* Share of cache events a host misses. */
#define CACHE_EVENT_LAG_US     300000 /* Delay until a cache event arrives. */
#define TAKEOUT_SPREAD_US_MAX  1000000 /* Delay of a host's takeout notice. */
#define PREFIX_ENTRIES_MAX     4096    /* Size of a host's prefix index. */
#define PREFIX_HALF_LIFE_MS    60000

/* A cache event, a set of load reports or a takeout on its way to a host. */
struct traffic_message {
	struct traffic *traffic;
	uint32_t host;
	struct upstream_load loads[ENGINE_COUNT];
	struct cache_event event;
	bool is_taken_out;
};

static const char *const centre_names[CENTRE_COUNT] = {"a", "b", "c"};

static void apply_cache_event(void *context);
static void apply_reports(void *context);
static void send_takeout(struct traffic *traffic, bool is_taken_out);
static void apply_takeout(void *context);
static void start_host(struct traffic *traffic, struct traffic_host *host);
static struct capacity_slot *open_slot(
    void *context, uint64_t upstream_id, uint64_t incarnation);
static void drop_slot(void *context, uint64_t upstream_id);
static void visit_entries(void *context, const char *prefix,
    void (*visit)(void *visitor, const struct config_entry *entry),
    void *visitor);

void
traffic_start_hosts(struct traffic *traffic)
{
	struct upstream_record *record;
	uint32_t i;

	for (i = 0; i < ENGINE_COUNT; i++) {
		record = &traffic->records[i];
		snprintf(record->name, NAME_SIZE_MAX, "engine-%u", i);
		g_strlcpy(record->data_centre, centre_names[i % CENTRE_COUNT],
		    NAME_SIZE_MAX);
		record->id = upstream_id(record->name);
		record->incarnation = 1;
		record->sequence = 1;
		record->kind = UPSTREAM_KIND_MODEL;
		record->state = UPSTREAM_STATE_ACTIVE;
		record->model_count = 1;
		g_strlcpy(record->models[0], "m", NAME_SIZE_MAX);
		record->limits.kv_tokens = MODEL_KV_TOKENS;
		record->limits.prefill_tokens_per_s =
		    MODEL_PREFILL_TOKENS_PER_S;
		record->limits.decode_us_per_token = MODEL_STEP_US_MIN;
	}
	for (i = 0; i < HOST_COUNT; i++) {
		traffic->hosts[i].index = i;
		start_host(traffic, &traffic->hosts[i]);
	}
	traffic_update_grants(traffic);
}

void
traffic_on_cache_changed(void *context, uint32_t engine,
    enum cache_event_kind kind, uint64_t prefix_hash)
{
	struct traffic *traffic = context;
	struct traffic_message *message;
	uint32_t i;

	traffic->event_sequence[engine]++;
	for (i = 0; i < HOST_COUNT; i++) {
		if (random_unit(&traffic->random) < CACHE_EVENT_LOSS_SHARE)
			continue;
		message = g_new0(struct traffic_message, 1);
		message->traffic = traffic;
		message->host = i;
		message->event.upstream_id = traffic->records[engine].id;
		message->event.incarnation = 1;
		message->event.sequence = traffic->event_sequence[engine];
		message->event.kind = kind;
		message->event.prefix_hash = prefix_hash;
		traffic_schedule(
		    traffic, CACHE_EVENT_LAG_US, apply_cache_event, message);
	}
}

void
traffic_send_reports(void *context)
{
	struct traffic *traffic = context;
	struct traffic_message *message;
	uint32_t i;

	if (timer_now(&traffic->timers) >
	    ARRIVALS_DURATION_US + DRAIN_DURATION_US / 2)
		return;
	traffic->report_sequence++;
	message = g_new0(struct traffic_message, 1);
	message->traffic = traffic;
	for (i = 0; i < ENGINE_COUNT; i++) {
		message->loads[i].id = traffic->records[i].id;
		message->loads[i].incarnation = 1;
		message->loads[i].sequence = traffic->report_sequence;
		message->loads[i].age_ms = REPORT_LAG_US / US_PER_MS;
		model_engine_report(&traffic->engines[i], &message->loads[i]);
	}
	traffic_schedule(traffic, REPORT_LAG_US, apply_reports, message);
}

/* Sets the grants of all hosts. A cold engine's load limit is divided among the
 * hosts so that their sum stays within the limit. */
void
traffic_update_grants(struct traffic *traffic)
{
	struct capacity_amount grant;
	uint32_t engine, host;
	bool is_cold;

	for (engine = 0; engine < ENGINE_COUNT; engine++) {
		is_cold = traffic->engines[engine].is_cold;
		for (host = 0; host < HOST_COUNT; host++) {
			grant =
			    (struct capacity_amount){MODEL_BATCH_REQUESTS_MAX,
				UINT64_C(1) << 40, UINT64_C(1) << 40};
			if (is_cold) {
				grant.requests = (host + engine) % HOST_COUNT <
							 MODEL_COLD_REQUESTS_MAX
						     ? 1
						     : 0;
				grant.prefill_tokens =
				    MODEL_COLD_PREFILL_TOKENS_MAX /
				    MODEL_COLD_REQUESTS_MAX;
			}
			capacity_slot_grant(&traffic->hosts[host].slots[engine],
			    &grant, INT64_MAX);
			fleet_set_warm(&traffic->hosts[host].fleet,
			    traffic->records[engine].id, !is_cold);
		}
	}
}

void
traffic_take_out_centre(void *context)
{
	send_takeout(context, true);
}

void
traffic_stop_centre_engines(void *context)
{
	struct traffic *traffic = context;
	uint32_t i;

	for (i = 1; i < ENGINE_COUNT; i += CENTRE_COUNT)
		model_engine_restart(
		    &traffic->engines[i], CENTRE_RETURNS_US - CENTRE_STOPS_US);
	traffic_update_grants(traffic);
}

void
traffic_bring_back_centre(void *context)
{
	send_takeout(context, false);
}

static void
start_host(struct traffic *traffic, struct traffic_host *host)
{
	struct fair_queue_settings queue = {2000, 1000};
	struct admission_settings admission = {0};
	struct fleet_settings settings = {0};
	struct fleet_ops ops = {open_slot, drop_slot, host};
	uint32_t i;

	host->traffic = traffic;
	settings.host_id = host->index + 1;
	g_strlcpy(settings.data_centre,
	    centre_names[host->index % CENTRE_COUNT], NAME_SIZE_MAX);
	fleet_init(&host->fleet, &settings, &ops);
	for (i = 0; i < ENGINE_COUNT; i++)
		fleet_put_upstream(&host->fleet, &traffic->records[i]);
	fleet_publish(&host->fleet);
	prefix_index_init(
	    &host->prefixes, PREFIX_ENTRIES_MAX, PREFIX_HALF_LIFE_MS);
	admission_init(&host->admission, &admission);
	fair_queue_init(&host->queue, &queue);
	retry_budget_init(&host->budget, &traffic->retry);
	for (i = 0; i < ACCOUNT_COUNT; i++) {
		host->accounts[i].id = i + 1;
		host->accounts[i].weight = 1;
	}
}

static struct capacity_slot *
open_slot(void *context, uint64_t upstream_id, uint64_t incarnation)
{
	struct traffic_host *host = context;
	uint32_t i;

	(void)incarnation;
	for (i = 0; i < ENGINE_COUNT; i++) {
		if (host->traffic->records[i].id == upstream_id)
			return &host->slots[i];
	}
	return NULL;
}

static void
drop_slot(void *context, uint64_t upstream_id)
{
	(void)context;
	(void)upstream_id;
}

static void
visit_entries(void *context, const char *prefix,
    void (*visit)(void *visitor, const struct config_entry *entry),
    void *visitor)
{
	const struct config_entry takeout = {"takeout/b", "data_centre=b", 2};

	(void)prefix;
	if (*(bool *)context)
		visit(visitor, &takeout);
}

static void
apply_cache_event(void *context)
{
	struct traffic_message *message = context;
	struct traffic *traffic = message->traffic;

	prefix_index_apply(&traffic->hosts[message->host].prefixes,
	    &message->event, traffic_now_ms(traffic));
	g_free(message);
}

static void
apply_reports(void *context)
{
	struct traffic_message *message = context;
	struct traffic *traffic = message->traffic;
	uint32_t host, i;

	for (host = 0; host < HOST_COUNT; host++) {
		for (i = 0; i < ENGINE_COUNT; i++)
			fleet_set_load(&traffic->hosts[host].fleet,
			    &message->loads[i], traffic_now_ms(traffic));
	}
	g_free(message);
}

static void
send_takeout(struct traffic *traffic, bool is_taken_out)
{
	struct traffic_message *message;
	uint32_t i;

	for (i = 0; i < HOST_COUNT; i++) {
		message = g_new0(struct traffic_message, 1);
		message->traffic = traffic;
		message->host = i;
		message->is_taken_out = is_taken_out;
		traffic_schedule(traffic,
		    1 + random_below(&traffic->random, TAKEOUT_SPREAD_US_MAX),
		    apply_takeout, message);
	}
}

static void
apply_takeout(void *context)
{
	struct traffic_message *message = context;
	struct traffic *traffic = message->traffic;
	struct traffic_host *host = &traffic->hosts[message->host];
	struct config_source source = {visit_entries, &message->is_taken_out};

	traffic->is_taken_out[host->index] = message->is_taken_out;
	fleet_set_intent(&host->fleet, &source);
	fleet_publish(&host->fleet);
	g_free(message);
}
