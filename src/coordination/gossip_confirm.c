/*
 * Waits until other hosts hold an item. A host shows that it does by sending the
 * item itself: it is asked for the item's bucket as if this host lacked the item.
 * So hosts of earlier builds, which know nothing of this, confirm it as well.
 */
#include "coordination/gossip_parts.h"

/* Confirmations that may be pending at a time. */
#define CONFIRMATIONS_MAX 1024u

/* Other hosts that must hold an item, and those that do. */
struct gossip_confirmation {
	uint64_t key;
	struct gossip_version version;
	uint32_t copies;
	uint32_t holders[GOSSIP_COPIES_MAX];
	uint32_t holder_count;
	int64_t until_ms;
	struct gossip_callback callback;
};

static void ask_hosts(struct gossip *gossip, uint64_t key);
static void add_holder(
    struct gossip_confirmation *confirmation, uint32_t host_id);
static void finish(struct gossip *gossip, GList *link, enum error_code error);

enum error_code
gossip_confirm(struct gossip *gossip, uint64_t key, uint32_t copies,
    int64_t timeout_ms, struct gossip_callback callback)
{
	struct gossip_confirmation *confirmation;
	const struct gossip_item *item;
	uint32_t hosts;

	item = gossip_find_item(gossip, key);
	if (item == NULL)
		return ERROR_NOT_FOUND;
	if (gossip->confirmations.length >= CONFIRMATIONS_MAX)
		return ERROR_TABLE_FULL;
	hosts = gossip_count_hosts(gossip);
	copies = MIN(MIN(copies, GOSSIP_COPIES_MAX), hosts);
	if (copies == 0) {
		callback.run(callback.context, ERROR_NONE);
		return ERROR_NONE;
	}
	confirmation = g_new0(struct gossip_confirmation, 1);
	confirmation->key = key;
	confirmation->version = item->version;
	confirmation->copies = copies;
	confirmation->until_ms = timer_now(gossip->timers) + timeout_ms;
	confirmation->callback = callback;
	g_queue_push_tail(&gossip->confirmations, confirmation);
	ask_hosts(gossip, key);
	return ERROR_NONE;
}

void
gossip_confirm_round(struct gossip *gossip)
{
	const struct gossip_confirmation *confirmation;
	GList *link, *next;

	for (link = gossip->confirmations.head; link != NULL; link = next) {
		next = link->next;
		confirmation = link->data;
		if (timer_now(gossip->timers) >= confirmation->until_ms)
			finish(gossip, link, ERROR_TIMEOUT);
		else
			ask_hosts(gossip, confirmation->key);
	}
}

void
gossip_confirm_holder(struct gossip *gossip, uint32_t host_id, uint64_t key,
    const struct gossip_version *version)
{
	struct gossip_confirmation *confirmation;
	GList *link, *next;

	for (link = gossip->confirmations.head; link != NULL; link = next) {
		next = link->next;
		confirmation = link->data;
		if (confirmation->key != key ||
		    gossip_version_compare(version, &confirmation->version) < 0)
			continue;
		add_holder(confirmation, host_id);
		if (confirmation->holder_count >= confirmation->copies)
			finish(gossip, link, ERROR_NONE);
	}
}

void
gossip_confirm_finish(struct gossip *gossip)
{
	while (gossip->confirmations.head != NULL)
		finish(gossip, gossip->confirmations.head, ERROR_SHUTTING_DOWN);
}

/* Sends the item to a few hosts, and asks each of them for it. */
static void
ask_hosts(struct gossip *gossip, uint64_t key)
{
	struct gossip_item *item;
	uint32_t host_id, sent;
	GPtrArray *items;

	item = gossip_find_item(gossip, key);
	if (item == NULL)
		return;
	items = g_ptr_array_new();
	g_ptr_array_add(items, item);
	for (sent = 0; sent < gossip->settings.fan_out; sent++) {
		host_id = gossip_next_push_host(gossip);
		if (host_id == 0)
			break;
		gossip_send_items(gossip, host_id, items);
		gossip_ask_for_item(gossip, host_id, key);
	}
	g_ptr_array_unref(items);
}

/* Counts a host once. There is room, since the confirmation ends when as many
 * hosts as it asks for have been counted. */
static void
add_holder(struct gossip_confirmation *confirmation, uint32_t host_id)
{
	uint32_t i;

	for (i = 0; i < confirmation->holder_count; i++) {
		if (confirmation->holders[i] == host_id)
			return;
	}
	confirmation->holders[confirmation->holder_count++] = host_id;
}

/* Removes a confirmation and tells its caller the outcome. */
static void
finish(struct gossip *gossip, GList *link, enum error_code error)
{
	struct gossip_confirmation *confirmation = link->data;

	g_queue_delete_link(&gossip->confirmations, link);
	confirmation->callback.run(confirmation->callback.context, error);
	g_free(confirmation);
}
