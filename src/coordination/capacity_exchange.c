#include "coordination/capacity_exchange.h"

#include <string.h>

#include "protocol/grant_message.h"

/* Further messages to this host are dropped, as a network would drop them. */
#define LOCAL_MESSAGES_MAX 1024

static void send_message(void *context, uint32_t host_id,
    enum peer_channel channel, const void *body, size_t size);
static void deliver_local(void *context);

enum error_code
capacity_exchange_init(struct capacity_exchange *exchange,
    const struct grant_owner_settings *owner_settings,
    const struct grant_holder_settings *holder_settings,
    const struct grant_holder_ops *ops, struct timer_service *timers,
    struct peer_port network)
{
	struct peer_port port = {send_message, exchange};
	enum error_code error;

	memset(exchange, 0, sizeof(*exchange));
	owner_map_init(&exchange->map);
	exchange->network = network;
	exchange->timers = timers;
	error = grant_owner_init(
	    &exchange->owner, owner_settings, timers, port, &exchange->map);
	if (error != ERROR_NONE)
		return error;
	error = grant_holder_init(&exchange->holder, holder_settings, ops,
	    timers, port, &exchange->map);
	if (error != ERROR_NONE) {
		grant_owner_finish(&exchange->owner);
		return error;
	}
	exchange->local_messages = g_queue_new();
	return ERROR_NONE;
}

void
capacity_exchange_finish(struct capacity_exchange *exchange)
{
	if (exchange->local_messages == NULL)
		return;
	timer_cancel(exchange->timers, &exchange->delivery_timer);
	grant_holder_finish(&exchange->holder);
	grant_owner_finish(&exchange->owner);
	g_queue_free_full(
	    exchange->local_messages, (GDestroyNotify)g_bytes_unref);
	memset(exchange, 0, sizeof(*exchange));
}

enum error_code
capacity_exchange_set_hosts(struct capacity_exchange *exchange, uint64_t epoch,
    const uint32_t *hosts, uint32_t count)
{
	enum owner_map_change change;
	enum error_code error;

	error = owner_map_set(&exchange->map, epoch, hosts, count, &change);
	if (error != ERROR_NONE || change == OWNER_MAP_UNCHANGED)
		return error;
	/* Other hosts may still reach a host that was declared dead and renew
	 * its configuration lease. Grants that it gave can therefore still be
	 * in force and are waited out like those of a live owner. */
	if (change == OWNER_MAP_REMOVED)
		change = OWNER_MAP_JOINED;
	grant_owner_on_map_changed(&exchange->owner, change);
	grant_holder_on_map_changed(&exchange->holder);
	return ERROR_NONE;
}

struct peer_port
capacity_exchange_port(struct capacity_exchange *exchange)
{
	struct peer_port port = {send_message, exchange};

	return port;
}

void
capacity_exchange_attach_kv(
    struct capacity_exchange *exchange, struct kv_lease_table *kv)
{
	exchange->kv_leases = kv;
}

enum error_code
capacity_exchange_receive(struct capacity_exchange *exchange,
    uint32_t from_host, const void *body, size_t size)
{
	struct grant_reader reader;
	enum error_code error;

	error = grant_reader_init(&reader, body, size);
	if (error != ERROR_NONE)
		return error;
	if (reader.header.type == GRANT_MESSAGE_GRANT ||
	    reader.header.type == GRANT_MESSAGE_USE_QUERY)
		error =
		    grant_holder_receive(&exchange->holder, from_host, &reader);
	else if (reader.header.type == GRANT_MESSAGE_KV_QUERY ||
		 reader.header.type == GRANT_MESSAGE_KV_ANSWER)
		error = exchange->kv_leases == NULL
			    ? ERROR_NOT_SUPPORTED
			    : kv_lease_receive(
				  exchange->kv_leases, from_host, &reader);
	else
		error =
		    grant_owner_receive(&exchange->owner, from_host, &reader);
	grant_reader_finish(&reader);
	return error;
}

/* Sends a message of either side to a host; this host's own go to the queue. */
static void
send_message(void *context, uint32_t host_id, enum peer_channel channel,
    const void *body, size_t size)
{
	struct capacity_exchange *exchange = context;
	struct timer_callback deliver = {deliver_local, exchange};

	if (host_id != exchange->owner.settings.host_id) {
		exchange->sent_bytes += size;
		exchange->sent_messages++;
		exchange->network.send(
		    exchange->network.context, host_id, channel, body, size);
		return;
	}
	if (g_queue_get_length(exchange->local_messages) >= LOCAL_MESSAGES_MAX)
		return;
	g_queue_push_tail(exchange->local_messages, g_bytes_new(body, size));
	/* Delivery is deferred to a timer, because the sender may still be
	 * changing the state that the message would be applied to. */
	if (exchange->delivery_timer.generation == 0)
		(void)timer_subscribe_once(
		    exchange->timers, 0, deliver, &exchange->delivery_timer);
}

static void
deliver_local(void *context)
{
	struct capacity_exchange *exchange = context;
	gconstpointer body;
	GBytes *bytes;
	gsize size;
	guint left;

	memset(&exchange->delivery_timer, 0, sizeof(exchange->delivery_timer));
	for (left = g_queue_get_length(exchange->local_messages); left > 0;
	     left--) {
		bytes = g_queue_pop_head(exchange->local_messages);
		body = g_bytes_get_data(bytes, &size);
		(void)capacity_exchange_receive(
		    exchange, exchange->owner.settings.host_id, body, size);
		g_bytes_unref(bytes);
	}
}
