/**
 * @file placement_report.c
 * Work reports between hosts, and the load and demand summed up from them.
 */
#include <stdlib.h>
#include <string.h>

#include "placement/placement_parts.h"

#define REPORT_AGE_MAX_MS 3000 /* Older reports are ignored. */
#define SHORT_PER_ENGINE  8.0  /* Short answers an engine decodes well. */
#define THOUSANDTHS	  1000.0
/* Time after which a host tells again how it takes forwarded requests. */
#define TELL_FORWARDING_MS (FORWARD_PEER_EXPIRY_MS / 6)

static void add_report(
    struct placement *placement, const struct peer_work *peer, int64_t now_ms);
static void tell_forwarding(
    struct placement *placement, struct work_report *report, int64_t now_ms);
static void fill_queued(const struct placement *placement,
    struct work_demand *demand, int64_t now_ms);
static double own_short_engines(
    const struct placement *placement, const struct service_load *service);
static double own_long_engines(
    const struct service_load *service, int64_t now_ms);

void
placement_report_write(struct placement *placement, uint64_t incarnation,
    int64_t now_ms, struct message_writer *writer)
{
	struct work_report report = {.incarnation = incarnation};
	const struct placement_upstream *upstream;
	const struct service_load *service;
	struct work_item *item;
	GHashTableIter iter;

	report.number = ++placement->report_number;
	tell_forwarding(placement, &report, now_ms);
	report.items = g_new0(
	    struct work_item, g_hash_table_size(placement->upstreams) + 1);
	report.demands = g_new0(
	    struct work_demand, g_hash_table_size(placement->services) + 1);
	g_hash_table_iter_init(&iter, placement->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&upstream)) {
		if (upstream->own.running == 0 &&
		    upstream->own.prefill_until_ms <= (double)now_ms &&
		    upstream->ejected_until_ms <= now_ms)
			continue;
		item = &report.items[report.item_count++];
		item->upstream_id = upstream->id;
		item->running = upstream->own.running;
		item->long_running = upstream->own.long_running;
		item->helping = upstream->own.helping;
		item->leading = upstream->own.leading;
		item->kv_tokens = upstream->own.kv_tokens;
		item->prefill_due_ms =
		    (uint32_t)MAX(upstream->own.prefill_due_ms - now_ms, 0);
		item->ejected_ms =
		    (uint32_t)MAX(upstream->ejected_until_ms - now_ms, 0);
		item->prefill_ms = (uint32_t)MAX(
		    upstream->own.prefill_until_ms - (double)now_ms, 0);
	}
	g_hash_table_iter_init(&iter, placement->services);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&service)) {
		report.demands[report.demand_count].service_hash =
		    service->hash;
		report.demands[report.demand_count].short_engines =
		    (uint32_t)(own_short_engines(placement, service) *
			       THOUSANDTHS);
		report.demands[report.demand_count].long_engines =
		    (uint32_t)(own_long_engines(service, now_ms) * THOUSANDTHS);
		report.demands[report.demand_count].waiting_for_slot =
		    service->waiting_for_slot;
		fill_queued(
		    placement, &report.demands[report.demand_count++], now_ms);
	}
	placement_notices_fill(placement, &report, now_ms);
	work_report_write(writer, &report);
	g_free(report.notices);
	g_free(report.items);
	g_free(report.demands);
}

enum error_code
placement_report_receive(struct placement *placement, uint32_t host_id,
    const void *body, size_t size, int64_t sent_ms, int64_t now_ms)
{
	struct work_report report;
	struct peer_work *peer;
	enum error_code error;

	error = work_report_read(body, size, &report);
	if (error != ERROR_NONE)
		return error;
	peer = g_hash_table_lookup(placement->peers, GUINT_TO_POINTER(host_id));
	if (peer != NULL && peer->report.incarnation == report.incarnation &&
	    peer->report.number >= report.number) {
		work_report_finish(&report);
		return ERROR_STALE;
	}
	placement_notices_receive(placement, &report, sent_ms, now_ms);
	if (report.forwarding.address != 0)
		forward_peers_record(&placement->forward_peers, host_id,
		    &report.forwarding, sent_ms);
	peer = g_new0(struct peer_work, 1);
	peer->report = report;
	peer->sent_ms = sent_ms;
	g_hash_table_replace(placement->peers, GUINT_TO_POINTER(host_id), peer);
	placement->is_peer_load_stale = true;
	placement->last_report_ms = MAX(placement->last_report_ms, sent_ms);
	return ERROR_NONE;
}

void
placement_sum_peer_loads(struct placement *placement, int64_t now_ms)
{
	struct placement_upstream *upstream;
	const struct peer_work *peer;
	GHashTableIter iter;

	if (!placement->is_peer_load_stale)
		return;
	placement->is_peer_load_stale = false;
	g_hash_table_iter_init(&iter, placement->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&upstream))
		memset(&upstream->others, 0, sizeof(upstream->others));
	g_hash_table_iter_init(&iter, placement->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (now_ms - peer->sent_ms < REPORT_AGE_MAX_MS)
			add_report(placement, peer, now_ms);
		else
			g_hash_table_iter_remove(&iter);
	}
}

struct split_demand
placement_demand(struct placement *placement, uint64_t service,
    const struct peer_demand *peers, int64_t now_ms)
{
	const struct service_load *own;
	struct split_demand demand;

	own = placement_get_service(placement, service);
	demand.short_engines =
	    own_short_engines(placement, own) + peers->short_engines;
	demand.long_engines =
	    own_long_engines(own, now_ms) + peers->long_engines;
	return demand;
}

struct peer_demand
placement_peer_demand(
    struct placement *placement, uint64_t service, int64_t now_ms)
{
	struct peer_demand sum = {.min_key = UINT64_MAX};
	const struct work_demand *demand;
	const struct peer_work *peer;
	GHashTableIter iter;
	uint32_t i;

	g_hash_table_iter_init(&iter, placement->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (now_ms - peer->sent_ms >= REPORT_AGE_MAX_MS)
			continue;
		for (i = 0; i < peer->report.demand_count; i++) {
			demand = &peer->report.demands[i];
			if (demand->service_hash != service)
				continue;
			sum.short_engines +=
			    demand->short_engines / THOUSANDTHS;
			sum.long_engines += demand->long_engines / THOUSANDTHS;
			sum.queued_prefill_ms +=
			    (double)demand->queued_prefill_ms;
			sum.min_key = MIN(sum.min_key, demand->min_key);
			sum.waiting_for_slot += demand->waiting_for_slot;
		}
	}
	return sum;
}

/* Adds the load in another host's report to the upstreams. */
static void
add_report(
    struct placement *placement, const struct peer_work *peer, int64_t now_ms)
{
	struct placement_upstream *upstream;
	struct placement_load *others;
	const struct work_item *item;
	double remaining_ms;
	uint32_t i;

	for (i = 0; i < peer->report.item_count; i++) {
		item = &peer->report.items[i];
		upstream = g_hash_table_lookup(
		    placement->upstreams, &item->upstream_id);
		if (upstream == NULL)
			continue;
		others = &upstream->others;
		others->running += item->running;
		others->long_running += item->long_running;
		others->helping += item->helping;
		others->leading += item->leading;
		if (item->leading > 0)
			others->prefill_due_ms = MAX(others->prefill_due_ms,
			    peer->sent_ms + (int64_t)item->prefill_due_ms);
		others->kv_tokens += item->kv_tokens;
		others->ejected_until_ms = MAX(others->ejected_until_ms,
		    peer->sent_ms + (int64_t)item->ejected_ms);
		/* Prefill of all hosts shares the engine, so the remaining
		 * times add up. */
		remaining_ms =
		    item->prefill_ms - (double)(now_ms - peer->sent_ms);
		if (remaining_ms > 0)
			others->prefill_until_ms =
			    MAX(others->prefill_until_ms, (double)now_ms) +
			    remaining_ms;
	}
}

/* Adds how this host takes forwarded requests. That seldom changes, so most
 * reports leave it out; the others keep the last one for much longer. */
static void
tell_forwarding(
    struct placement *placement, struct work_report *report, int64_t now_ms)
{
	const struct work_forwarding *forwarding = &placement->forwarding;
	const struct work_forwarding *told = &placement->told_forwarding;

	if (forwarding->address == told->address &&
	    forwarding->is_without_path == told->is_without_path &&
	    !forwarding->is_without_path &&
	    now_ms - placement->forwarding_told_ms < TELL_FORWARDING_MS)
		return;
	report->forwarding = *forwarding;
	placement->told_forwarding = *forwarding;
	placement->forwarding_told_ms = now_ms;
}

/* Sets the queue fields of the demand from the long prompts that this host
 * has queued for its service. */
static void
fill_queued(const struct placement *placement, struct work_demand *demand,
    int64_t now_ms)
{
	const struct placement_queue_entry *entry;
	guint i;

	demand->min_key = UINT64_MAX;
	for (i = 0; i < placement->queue->len; i++) {
		entry = g_ptr_array_index(placement->queue, i);
		if (entry->service != demand->service_hash)
			continue;
		demand->min_key =
		    MIN(demand->min_key, placement_queue_key(entry, now_ms));
		demand->queued_prefill_ms += (uint64_t)entry->prefill_ms;
	}
}

/* Engines that this host's short prompts need, running or waiting. */
static double
own_short_engines(
    const struct placement *placement, const struct service_load *service)
{
	uint32_t count = service->short_running;

	/* After a restart of all hosts the prompts wait, and none runs yet. */
	if (placement_has_feature(placement, PLACEMENT_SHARE_SLOTS))
		count += service->waiting_for_slot;
	return count / SHORT_PER_ENGINE;
}

/* Engines that this host's long prompts need. */
static double
own_long_engines(const struct service_load *service, int64_t now_ms)
{
	struct split_demand demand = {0};

	split_demand_add_rate(&demand, &service->long_rate, now_ms);
	return demand.long_engines;
}
