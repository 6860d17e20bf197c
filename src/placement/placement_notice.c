/**
 * @file placement_notice.c
 * Notices of upstreams about themselves: those that this host received, and those
 * that hosts send each other in work reports.
 */
#include "placement/placement_parts.h"

/* Time for which a host reports a notice that it received to the others. */
#define REPORT_MS   3000
#define THOUSANDTHS 1000.0

static bool record_notice(struct placement *placement,
    struct placement_upstream *upstream,
    const struct upstream_statement *statement, int64_t received_ms,
    int64_t now_ms);

bool
placement_record_notice(struct placement *placement, uint64_t id,
    uint64_t incarnation, const struct upstream_statement *statement,
    int64_t now_ms)
{
	struct upstream_statement readable = *statement;
	struct placement_upstream *upstream;

	upstream = g_hash_table_lookup(placement->upstreams, &id);
	if (upstream == NULL || upstream->incarnation != incarnation)
		return false;
	upstream_notice_record_answer(
	    &upstream->notice, statement->pause_ms, now_ms);
	if (statement->has_unreadable_limit) {
		readable.has_limit = upstream->notice.last.has_limit;
		readable.limit_per_s = upstream->notice.last.limit_per_s;
	}
	/* Most upstreams never say anything. */
	if (!readable.has_limit && !upstream->notice.last.has_limit &&
	    !readable.is_leaving)
		return readable.pause_ms > 0;
	upstream->notice.own_received_ms = now_ms;
	return record_notice(placement, upstream, &readable, now_ms, now_ms);
}

void
placement_notices_fill(const struct placement *placement,
    struct work_report *report, int64_t now_ms)
{
	const struct placement_upstream *upstream;
	struct work_notice *notice;
	GHashTableIter iter;

	report->notices = g_new0(
	    struct work_notice, g_hash_table_size(placement->upstreams) + 1);
	g_hash_table_iter_init(&iter, placement->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&upstream)) {
		if (upstream->notice.own_received_ms == 0 ||
		    upstream->notice.own_received_ms !=
			upstream->notice.received_ms ||
		    now_ms - upstream->notice.own_received_ms >= REPORT_MS)
			continue;
		notice = &report->notices[report->notice_count++];
		notice->upstream_id = upstream->id;
		notice->upstream_incarnation = upstream->incarnation;
		notice->has_limit = upstream->notice.last.has_limit;
		notice->is_leaving = upstream->notice.last.is_leaving;
		notice->limit_permille = (uint64_t)MIN(
		    upstream->notice.last.limit_per_s * THOUSANDTHS,
		    UINT32_MAX);
		notice->age_ms =
		    (uint32_t)(now_ms - upstream->notice.own_received_ms);
	}
}

void
placement_notices_receive(struct placement *placement,
    const struct work_report *report, int64_t sent_ms, int64_t now_ms)
{
	struct upstream_statement statement = {0};
	struct placement_upstream *upstream;
	const struct work_notice *notice;
	uint32_t i;

	for (i = 0; i < report->notice_count; i++) {
		notice = &report->notices[i];
		upstream = g_hash_table_lookup(
		    placement->upstreams, &notice->upstream_id);
		if (upstream == NULL ||
		    upstream->incarnation != notice->upstream_incarnation)
			continue;
		statement.has_limit = notice->has_limit;
		statement.is_leaving = notice->is_leaving;
		statement.limit_per_s =
		    (double)notice->limit_permille / THOUSANDTHS;
		(void)record_notice(placement, upstream, &statement,
		    sent_ms - (int64_t)notice->age_ms, now_ms);
	}
}

struct notice_share
placement_notice_share(const struct placement *placement,
    const struct placement_upstream *upstream)
{
	struct notice_share share = {.host_count = placement->host_count};

	share.rank = (uint32_t)((placement->host_rank + upstream->id) %
				share.host_count);
	return share;
}

static bool
record_notice(struct placement *placement, struct placement_upstream *upstream,
    const struct upstream_statement *statement, int64_t received_ms,
    int64_t now_ms)
{
	return upstream_notice_record(&upstream->notice, statement, received_ms,
	    placement_notice_share(placement, upstream), now_ms);
}
