#include "placement/upstream_notice.h"

#include <math.h>

#include <glib.h>

/* Share of a limit that the hosts use. The rest is a reserve for moments when
 * hosts join and disagree about their number. */
#define LIMIT_MARGIN 0.9
/* Least limit that is kept to, so that an upstream that names 0 is asked now
 * and then whether it still does. */
#define LIMIT_PER_S_MIN 0.1
/* Least time between requests that find out whether an old limit still holds,
 * or whether an upstream takes requests again after a pause. */
#define ASK_PERIOD_MS 1000
#define MS_PER_S      1000.0
/* Time for which a limit, or that it leaves, is remembered of an upstream that is
 * not listed any more. */
#define REMEMBER_MS 60000

static enum error_code parse_number(const char *text, double *number);
static int64_t limit_wait_ms(
    const struct upstream_notice *notice, int64_t now_ms);
static double interval_ms(
    const struct upstream_notice *notice, struct notice_share share);

enum error_code
upstream_limit_parse(const char *text, double *per_s)
{
	return parse_number(text, per_s);
}

enum error_code
upstream_pause_parse(const char *text, int64_t *pause_ms)
{
	enum error_code error;
	double seconds;

	error = parse_number(text, &seconds);
	if (error == ERROR_NONE)
		*pause_ms = (int64_t)MIN(
		    seconds * MS_PER_S, (double)UPSTREAM_PAUSE_MAX_MS);
	return error;
}

bool
upstream_notice_record(struct upstream_notice *notice,
    const struct upstream_statement *statement, int64_t received_ms,
    struct notice_share share, int64_t now_ms)
{
	struct upstream_statement before = notice->last;
	bool is_new;

	/* An upstream that leaves never takes this back, so it holds whatever
	 * later notices say. */
	notice->last.is_leaving |= statement->is_leaving;
	is_new = notice->last.is_leaving != before.is_leaving;
	if (received_ms < notice->received_ms)
		return is_new;
	notice->last.has_limit = statement->has_limit;
	notice->last.limit_per_s = statement->limit_per_s;
	notice->received_ms = received_ms;
	if (!statement->has_limit)
		return before.has_limit || is_new;
	if (!before.has_limit) {
		notice->next_send_ms =
		    (double)now_ms +
		    interval_ms(notice, share) * share.rank / share.host_count;
		return true;
	}
	if (statement->limit_per_s == before.limit_per_s)
		return is_new;
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
	if (!notice->last.has_limit && !notice->is_resuming)
		return;
	notice->sent_ms = now_ms;
	if (notice->last.has_limit)
		notice->next_send_ms =
		    (double)now_ms + interval_ms(notice, share);
}

void
upstream_notice_record_answer(
    struct upstream_notice *notice, int64_t pause_ms, int64_t now_ms)
{
	if (pause_ms > 0)
		notice->pause_until_ms =
		    MAX(notice->pause_until_ms, now_ms + pause_ms);
	/* Answers to requests from before the pause say nothing of it. */
	if (pause_ms > 0 || now_ms >= notice->pause_until_ms)
		notice->is_resuming = pause_ms > 0;
}

bool
upstream_notice_is_binding(const struct upstream_notice *notice, int64_t now_ms)
{
	if (notice->pause_until_ms > now_ms)
		return true;
	return (notice->last.is_leaving || notice->last.has_limit) &&
	       now_ms - notice->received_ms < REMEMBER_MS;
}

int64_t
upstream_notice_wait_ms(const struct upstream_notice *notice, int64_t now_ms)
{
	int64_t wait_ms;

	wait_ms = MAX(notice->pause_until_ms - now_ms, 0);
	if (notice->is_resuming)
		wait_ms =
		    MAX(wait_ms, notice->sent_ms + ASK_PERIOD_MS - now_ms);
	return MAX(wait_ms, limit_wait_ms(notice, now_ms));
}

static enum error_code
parse_number(const char *text, double *number)
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
	*number = value;
	return ERROR_NONE;
}

static int64_t
limit_wait_ms(const struct upstream_notice *notice, int64_t now_ms)
{
	double until_ms;
	int64_t ask_ms;

	if (!notice->last.has_limit)
		return 0;
	ask_ms = MAX(notice->received_ms + UPSTREAM_NOTICE_EXPIRY_MS,
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
