#include "transport/peer_queue.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/* Drop priority of a channel; messages of the lowest class are dropped first.
 */
enum drop_class {
	DROP_LOAD,	/* Load reports, cache events, work reports. */
	DROP_GOSSIP,	/* Membership gossip. */
	DROP_OTHER,	/* Feed, commands and grants. */
	DROP_CONSENSUS, /* Never dropped to make room for others. */
};

static enum drop_class classify_channel(enum peer_channel channel);
static bool drop_oldest(struct peer_queue *queue, enum drop_class limit);
static void drop_item(struct peer_queue *queue, GList *link);

void
peer_queue_init(struct peer_queue *queue, size_t bytes_max, uint64_t *dropped)
{
	g_queue_init(&queue->items);
	queue->bytes = 0;
	queue->bytes_max = bytes_max;
	queue->dropped = dropped;
}

void
peer_queue_clear(struct peer_queue *queue)
{
	while (queue->items.head != NULL)
		drop_item(queue, queue->items.head);
}

enum error_code
peer_queue_push(struct peer_queue *queue, enum peer_channel channel,
    const void *body, size_t size)
{
	struct peer_queue_item *item;
	enum drop_class rank;

	rank = classify_channel(channel);
	while (
	    queue->items.length > 0 && queue->bytes + size > queue->bytes_max) {
		if (drop_oldest(queue, rank))
			continue;
		queue->dropped[channel]++;
		return rank == DROP_CONSENSUS ? ERROR_CONNECTION
					      : ERROR_TABLE_FULL;
	}
	item = malloc(sizeof(*item) + size);
	if (item == NULL) {
		queue->dropped[channel]++;
		return rank == DROP_CONSENSUS ? ERROR_CONNECTION
					      : ERROR_TABLE_FULL;
	}
	item->channel = channel;
	item->size = size;
	if (size > 0)
		memcpy(item->body, body, size);
	g_queue_push_tail(&queue->items, item);
	queue->bytes += size;
	return ERROR_NONE;
}

struct peer_queue_item *
peer_queue_pop(struct peer_queue *queue)
{
	struct peer_queue_item *item;

	item = g_queue_pop_head(&queue->items);
	if (item != NULL)
		queue->bytes -= item->size;
	return item;
}

static enum drop_class
classify_channel(enum peer_channel channel)
{
	switch (channel) {
	case PEER_CHANNEL_LOAD:
	case PEER_CHANNEL_WORK:
		return DROP_LOAD;
	case PEER_CHANNEL_MEMBERSHIP:
		return DROP_GOSSIP;
	case PEER_CHANNEL_CONSENSUS:
		return DROP_CONSENSUS;
	default:
		return DROP_OTHER;
	}
}

/* Drops the oldest message of the lowest class present, up to the class limit.
 * Returns false if there is none, or only consensus messages. */
static bool
drop_oldest(struct peer_queue *queue, enum drop_class limit)
{
	const struct peer_queue_item *item;
	enum drop_class rank;
	GList *link;

	for (rank = DROP_LOAD; rank <= limit && rank < DROP_CONSENSUS; rank++) {
		for (link = queue->items.head; link != NULL;
		     link = link->next) {
			item = link->data;
			if (classify_channel(item->channel) != rank)
				continue;
			drop_item(queue, link);
			return true;
		}
	}
	return false;
}

static void
drop_item(struct peer_queue *queue, GList *link)
{
	struct peer_queue_item *item;

	item = link->data;
	queue->bytes -= item->size;
	queue->dropped[item->channel]++;
	g_queue_delete_link(&queue->items, link);
	free(item);
}
