/*
 * Finds links that carry nothing any more, although nothing has ended them. The
 * kernel tells how many of the sent bytes the other host has not acknowledged.
 * If none of them is for some time, another link is dialled. If that one works,
 * it replaces the silent link; if it doesn't, the other host is frozen, slow or
 * cut off, and a new link would not help.
 */
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include "transport/peer_link_parts.h"

/* Interval at which links are looked at. */
#define TICK_MS 100
/* Time without one from which a link is suspected: longer than the kernel takes
 * to send a lost packet once more. */
#define SUSPECT_MS 500
/* A longer time between two looks means that this host did not run. */
#define TICK_LATE_MS 300

static void run_tick(void *context);
static void look_at(struct link *link);
static bool has_progressed(struct link *link);
static void suspect(struct link *link);

enum error_code
peer_liveness_init(struct peer_links *links)
{
	timer_lag_start(&links->liveness_lag, links->timers);
	return timer_subscribe_every(links->timers, TICK_MS,
	    (struct timer_callback){run_tick, links}, &links->liveness_timer);
}

void
peer_liveness_finish(struct peer_links *links)
{
	timer_cancel(links->timers, &links->liveness_timer);
}

void
peer_liveness_note_sent(struct link *link, size_t size)
{
	if (!link->is_waiting) {
		link->is_waiting = true;
		link->waiting_ms = timer_now(link->links->timers);
		link->acked_bytes = link->sent_bytes;
	}
	link->sent_bytes += size;
}

bool
peer_liveness_is_needless(const struct link *link)
{
	struct peer *peer;

	peer = peer_links_find(link->links, link->peer_id);
	if (peer == NULL || peer->link == NULL || !peer->link->is_suspected ||
	    peer->link->incarnation != link->incarnation)
		return false;
	return has_progressed(peer->link);
}

static void
run_tick(void *context)
{
	struct peer_links *links = context;
	struct handle handle = {0};
	struct link *link;
	int64_t late_ms;

	late_ms =
	    timer_lag_measure(&links->liveness_lag, links->timers, TICK_MS);
	while (handle_table_next(&links->links, &handle)) {
		link = *(struct link **)handle_table_get(&links->links, handle);
		if (!link->is_waiting || link->state != LINK_ESTABLISHED)
			continue;
		/* While this host did not run, it read no answers. */
		if (late_ms > TICK_LATE_MS)
			link->waiting_ms = timer_now(links->timers);
		else
			look_at(link);
	}
}

static void
look_at(struct link *link)
{
	int64_t waited_ms;

	waited_ms = timer_now(link->links->timers) - link->waiting_ms;
	if (waited_ms < TICK_MS || has_progressed(link))
		return;
	if (waited_ms >= SUSPECT_MS)
		suspect(link);
}

/* Asks the kernel whether the other host has acknowledged more bytes since the
 * last time. If so, the link works. */
static bool
has_progressed(struct link *link)
{
	uint64_t acked_bytes;
	int unacked;

	if (ioctl(link->fd, SIOCOUTQ, &unacked) != 0)
		return true;
	acked_bytes = link->sent_bytes - (uint64_t)unacked;
	if (unacked > 0 && acked_bytes <= link->acked_bytes)
		return false;
	link->acked_bytes = acked_bytes;
	link->waiting_ms = timer_now(link->links->timers);
	link->is_waiting = unacked > 0;
	link->is_suspected = false;
	return true;
}

static void
suspect(struct link *link)
{
	struct peer_links *links = link->links;
	struct peer *peer;

	peer = peer_links_find(links, link->peer_id);
	if (peer == NULL || peer->link != link || peer->dial != NULL)
		return;
	if (!link->is_suspected)
		peer->next_dial_ms = timer_now(links->timers);
	link->is_suspected = true;
	peer_links_dial(links, peer);
}
