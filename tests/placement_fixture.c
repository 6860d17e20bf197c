#include "placement_fixture.h"

#include <stdio.h>
#include <string.h>

#include "state/upstream.h"

void
placement_fixture_init_engines(
    struct placement_fixture *fixture, uint64_t seed, uint32_t engines)
{
	static const struct placement_settings settings = {
	    .data_centre = "a", .cold_overshoot = 1.5, .cold_slack = 5};
	uint32_t i;

	memset(fixture, 0, sizeof(*fixture));
	fixture->service.name = (char *)"models";
	fixture->service.has_engine = true;
	fixture->service.cold_requests_per_s = 36;
	fixture->service.engine.batch_slots = 16;
	fixture->service.engine.kv_tokens = 405000;
	fixture->service.engine.prefill_tokens_per_s = 154000;
	fixture->service.engine.ms_per_1m_token_pairs = 0.162;
	fixture->chat = (struct route){.name = (char *)"chat",
	    .kind = ROUTE_KIND_STREAM,
	    .target_ms = 300,
	    .pause_limit_ms = 250};
	fixture->review = (struct route){.name = (char *)"review",
	    .kind = ROUTE_KIND_STREAM,
	    .target_ms = 3000,
	    .pause_limit_ms = 1000};
	placement_init(&fixture->placement, &settings, seed);
	for (i = 0; i < engines; i++) {
		snprintf(
		    fixture->names[i], sizeof(fixture->names[i]), "e%u", i);
		fixture->records[i].id = upstream_id(fixture->names[i]);
		fixture->records[i].incarnation = 1;
		fixture->records[i].address = ENGINE_ADDRESS(i);
		fixture->records[i].name = fixture->names[i];
		fixture->records[i].service = "models";
		fixture->records[i].data_centre = "a";
		fixture->records[i].slots = 16;
		fixture->records[i].is_usable = true;
	}
	placement_update(
	    &fixture->placement, fixture->records, engines, START_MS);
}

void
placement_fixture_init(struct placement_fixture *fixture, uint64_t seed)
{
	placement_fixture_init_engines(fixture, seed, ENGINES);
}

void
placement_fixture_finish(struct placement_fixture *fixture)
{
	placement_finish(&fixture->placement);
}

struct placement_request
placement_fixture_request(struct placement_fixture *fixture,
    const struct route *route, double tokens, int64_t now_ms)
{
	return (struct placement_request){
	    .route = route,
	    .service = &fixture->service,
	    .prompt_tokens = tokens,
	    .answer_tokens = 600,
	    .arrived_ms = now_ms,
	    .deadline_ms = now_ms + 15000,
	};
}

struct placement_upstream *
placement_fixture_engine(struct placement_fixture *fixture, uint32_t i)
{
	return g_hash_table_lookup(
	    fixture->placement.upstreams, &fixture->records[i].id);
}
