/**
 * @file bench_state.c
 * Measures the memory of what each host keeps, which is the replicated state,
 * the compiled intent and the fleet view, and the time to publish a view, for
 * several numbers of accounts, upstreams and claims. Prints JSON lines.
 */
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "base/monotonic_clock.h"
#include "coordination/fleet_view.h"
#include "state/replicated_state.h"

#define ENTRIES_PER_ACCOUNT 3  /* An account's token, weight and label. */
#define PUBLISH_COUNT	    20 /* Publications that are timed. */
/* Leader's time before the first entry; each entry is 1 ms later. */
#define START_TIME_MS 1000000
#define US_PER_MS     1000.0
#define BYTES_PER_KB  1024

struct bench {
	struct replicated_state state;
	uint64_t index;
};

static void measure_state(uint32_t accounts, uint32_t claims);
static void measure_fleet_view(uint32_t accounts, uint32_t upstreams);
static void put_accounts(struct bench *bench, uint32_t accounts);
static void put_config_entry(
    struct bench *bench, const char *key, const char *value);
static void put_claims(struct bench *bench, uint32_t claims);
static void apply_command(struct bench *bench, const struct command *command);
static void fill_upstream_record(
    struct upstream_record *record, uint32_t number);
static struct capacity_slot *open_slot(
    void *context, uint64_t upstream_id, uint64_t incarnation);
static void drop_slot(void *context, uint64_t upstream_id);
static long heap_used_kb(void);

int
main(void)
{
	static const uint32_t accounts[] = {900, 4500, 9000};
	static const uint32_t upstreams[] = {470, 2350, 4700};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(accounts); i++)
		measure_state(accounts[i], 0);
	measure_state(0, 50000);
	measure_state(0, 100000);
	for (i = 0; i < G_N_ELEMENTS(upstreams); i++)
		measure_fleet_view(9000, upstreams[i]);
	for (i = 0; i < G_N_ELEMENTS(accounts); i++)
		measure_fleet_view(accounts[i], 470);
	return 0;
}

static void
measure_state(uint32_t accounts, uint32_t claims)
{
	struct bench bench = {0};
	GByteArray *snapshot;
	long before_kb;

	before_kb = heap_used_kb();
	replicated_state_init(&bench.state, NULL);
	put_accounts(&bench, accounts);
	put_claims(&bench, claims);
	snapshot = replicated_state_save(&bench.state, false);
	printf("{\"bench\":\"state\",\"what\":\"replicated_state\","
	       "\"accounts\":%u,\"claims\":%u,\"used_kb\":%ld,"
	       "\"snapshot_bytes\":%u}\n",
	    accounts, claims, heap_used_kb() - before_kb, snapshot->len);
	fflush(stdout);
	g_byte_array_unref(snapshot);
	replicated_state_finish(&bench.state);
}

static void
measure_fleet_view(uint32_t accounts, uint32_t upstreams)
{
	struct fleet_settings settings = {
	    .host_id = 1, .data_centre = "centre-0"};
	struct fleet_ops ops = {.open_slot = open_slot, .drop_slot = drop_slot};
	struct config_source source;
	struct upstream_record *record;
	struct bench bench = {0};
	struct fleet fleet;
	int64_t start_us;
	long before_kb;
	uint32_t i;

	replicated_state_init(&bench.state, NULL);
	put_accounts(&bench, accounts);
	source = replicated_state_config(&bench.state);
	before_kb = heap_used_kb();
	if (fleet_init(&fleet, &settings, &ops) != ERROR_NONE)
		return;
	record = g_new0(struct upstream_record, 1);
	for (i = 0; i < upstreams; i++) {
		fill_upstream_record(record, i);
		(void)fleet_put_upstream(&fleet, record);
	}
	g_free(record);
	start_us = clock_monotonic_us();
	for (i = 0; i < PUBLISH_COUNT; i++) {
		(void)fleet_set_intent(&fleet, &source);
		(void)fleet_publish(&fleet);
	}
	printf("{\"bench\":\"state\",\"what\":\"fleet_view\",\"accounts\":%u,"
	       "\"upstreams\":%u,\"used_kb\":%ld,\"publish_ms\":%.2f}\n",
	    accounts, upstreams, heap_used_kb() - before_kb,
	    (double)(clock_monotonic_us() - start_us) / US_PER_MS /
		PUBLISH_COUNT);
	fflush(stdout);
	fleet_finish(&fleet);
	replicated_state_finish(&bench.state);
}

static void
put_accounts(struct bench *bench, uint32_t accounts)
{
	char key[CONFIG_KEY_SIZE_MAX], token[TOKEN_HASH_SIZE];
	uint32_t i;

	for (i = 0; i < accounts; i++) {
		snprintf(
		    key, sizeof(key), "client_account/account-%05u/token", i);
		snprintf(token, sizeof(token), "%064x", i + 1);
		put_config_entry(bench, key, token);
		snprintf(
		    key, sizeof(key), "client_account/account-%05u/weight", i);
		put_config_entry(bench, key, "5");
		snprintf(key, sizeof(key),
		    "client_account/account-%05u/label/tier", i);
		put_config_entry(bench, key, "gold");
	}
}

static void
put_config_entry(struct bench *bench, const char *key, const char *value)
{
	struct command command = {.type = COMMAND_CONFIG};
	struct config_change *change;

	change = g_new0(struct config_change, 1);
	snprintf(change->key, sizeof(change->key), "%s", key);
	snprintf(change->value, sizeof(change->value), "%s", value);
	snprintf(command.operation_id, sizeof(command.operation_id),
	    "op-%" PRIu64, bench->index);
	command.body.config.expected_revision = REVISION_ANY;
	command.body.config.change_count = 1;
	command.body.config.changes = change;
	apply_command(bench, &command);
	g_free(change);
}

static void
put_claims(struct bench *bench, uint32_t claims)
{
	struct command command = {.type = COMMAND_CLAIM_BEGIN};
	struct command_claim *claim = &command.body.claim;
	uint32_t i;

	for (i = 0; i < claims; i++) {
		snprintf(claim->client_account, sizeof(claim->client_account),
		    "account-%05u", i % 9000);
		snprintf(claim->idempotency_key, sizeof(claim->idempotency_key),
		    "key-%032x", i);
		claim->fingerprint = i;
		claim->host_id = 1;
		claim->request_id = i;
		apply_command(bench, &command);
	}
}

static void
apply_command(struct bench *bench, const struct command *command)
{
	struct replicated_entry entry = {0};
	struct command_result result;
	struct message_writer writer;

	message_writer_init(&writer);
	if (command_encode(command, &writer) == ERROR_NONE) {
		entry.index = ++bench->index;
		entry.time_ms = START_TIME_MS + (int64_t)bench->index;
		entry.data = message_data(&writer);
		entry.size = message_size(&writer);
		replicated_state_apply(&bench->state, &entry, &result);
	}
	message_writer_finish(&writer);
}

static void
fill_upstream_record(struct upstream_record *record, uint32_t number)
{
	memset(record, 0, sizeof(*record));
	snprintf(record->name, sizeof(record->name), "engine-%05u", number);
	record->id = upstream_id(record->name);
	record->incarnation = 1;
	record->sequence = 1;
	snprintf(record->url, sizeof(record->url), "http://10.0.%u.%u:8000",
	    number / 250, number % 250);
	snprintf(record->data_centre, sizeof(record->data_centre), "centre-%u",
	    number % 7);
	record->kind = UPSTREAM_KIND_MODEL;
	record->state = UPSTREAM_STATE_ACTIVE;
	record->model_count = 1;
	snprintf(record->models[0], sizeof(record->models[0]), "model-%u",
	    number % 18);
}

static struct capacity_slot *
open_slot(void *context, uint64_t upstream_id, uint64_t incarnation)
{
	/* All upstreams can share one slot, since no work is started. It is
	 * static because a slot must outlive all views that refer to it. */
	static struct capacity_slot slot;

	(void)context;
	(void)upstream_id;
	(void)incarnation;
	return &slot;
}

static void
drop_slot(void *context, uint64_t upstream_id)
{
	(void)context;
	(void)upstream_id;
}

/* Memory that the program has allocated, without the free memory that the
 * allocator holds back. */
static long
heap_used_kb(void)
{
	struct mallinfo2 info;

	info = mallinfo2();
	return (long)((info.uordblks + info.hblkhd) / BYTES_PER_KB);
}
