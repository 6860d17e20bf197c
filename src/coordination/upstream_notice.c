#include "coordination/upstream_notice.h"

#include <math.h>

#include <glib.h>

/* Share of a limit that the hosts use. The rest is a reserve for moments when
 * hosts join and disagree about their number. */
#define LIMIT_MARGIN 0.9
/* Least limit that is kept to, so that an upstream that names 0 is asked now
 * and then whether it still does. */
#define LIMIT_PER_S_MIN 0.1
/* Least time between requests that find out whether an old limit still
 * holds. */
#define ASK_PERIOD_MS 1000
#define MS_PER_S      1000.0

static double interval_ms(
    const struct upstream_notice *notice, struct notice_share share);

enum error_code
upstream_limit_parse(const char *text, double *per_s)
{
	double value;
	char *end;

	value = g_ascii_strtod(text, &end);
	if (end == text || !isfinite(value) || value < 0)
		return ERROR_BAD_VALUE;
	while (g_ascii_isspace(*end))
		end++;
	if (*end != '\0')
		return ERROR_BAD_VALUE;
	*per_s = value;
	return ERROR_NONE;
}

bool
upstream_notice_hear(struct upstream_notice *notice,
    const struct upstream_statement *statement, int64_t heard_ms,
    struct notice_share share, int64_t now_ms)
{
	struct upstream_statement before = notice->last;
	bool was_limited;

	if (heard_ms < notice->heard_ms)
		return false;
	was_limited = notice->last.has_limit;
	notice->last = *statement;
	notice->heard_ms = heard_ms;
	if (!statement->has_limit)
		return was_limited;
	if (!was_limited) {
		notice->next_send_ms =
		    (double)now_ms +
		    interval_ms(notice, share) * share.rank / share.host_count;
		return true;
	}
	if (statement->limit_per_s == before.limit_per_s)
		return false;
	/* What is left of the wait for the next request keeps its share of the
	 * interval. */
	if (notice->next_send_ms > (double)now_ms)
		notice->next_send_ms =
		    (double)now_ms +
		    (notice->next_send_ms - (double)now_ms) *
			MAX(before.limit_per_s, LIMIT_PER_S_MIN) /
			MAX(statement->limit_per_s, LIMIT_PER_S_MIN);
	return true;
}

void
upstream_notice_record_send(
    struct upstream_notice *notice, struct notice_share share, int64_t now_ms)
{
	if (!notice->last.has_limit)
		return;
	notice->sent_ms = now_ms;
	notice->next_send_ms = (double)now_ms + interval_ms(notice, share);
}

int64_t
upstream_notice_wait_ms(const struct upstream_notice *notice, int64_t now_ms)
{
	double until_ms;
	int64_t ask_ms;

	if (!notice->last.has_limit)
		return 0;
	ask_ms = MAX(notice->heard_ms + UPSTREAM_NOTICE_EXPIRY_MS,
	    notice->sent_ms + ASK_PERIOD_MS);
	until_ms = MIN(notice->next_send_ms, (double)ask_ms);
	return (int64_t)ceil(MAX(until_ms - (double)now_ms, 0));
}

/* Time between two requests of this host. */
static double
interval_ms(const struct upstream_notice *notice, struct notice_share share)
{
	return MS_PER_S * share.host_count /
	       (MAX(notice->last.limit_per_s, LIMIT_PER_S_MIN) * LIMIT_MARGIN);
}
