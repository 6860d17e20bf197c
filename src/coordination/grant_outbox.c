#include "coordination/grant_outbox.h"

static gint compare_offers(gconstpointer left, gconstpointer right);
static bool belongs_to_same_message(
    const struct outbox_offer *left, const struct outbox_offer *right);
static void send_message(
    const GArray *offers, guint from, guint to, const struct peer_port *port);

void
grant_outbox_init(struct grant_outbox *outbox)
{
	outbox->offers = g_array_new(FALSE, FALSE, sizeof(struct outbox_offer));
}

void
grant_outbox_finish(struct grant_outbox *outbox)
{
	g_array_free(outbox->offers, TRUE);
	outbox->offers = NULL;
}

void
grant_outbox_add(struct grant_outbox *outbox, const struct outbox_offer *offer)
{
	g_array_append_val(outbox->offers, *offer);
}

uint32_t
grant_outbox_send(struct grant_outbox *outbox, const struct peer_port *port)
{
	GArray *offers = outbox->offers;
	uint32_t sent;
	guint from, to;

	g_array_sort(offers, compare_offers);
	sent = offers->len;
	for (from = 0; from < offers->len; from = to) {
		for (to = from + 1; to < offers->len; to++) {
			if (to - from == GRANT_ROWS_MAX ||
			    !belongs_to_same_message(
				&g_array_index(
				    offers, struct outbox_offer, from),
				&g_array_index(
				    offers, struct outbox_offer, to)))
				break;
		}
		send_message(offers, from, to, port);
	}
	g_array_set_size(offers, 0);
	return sent;
}

static gint
compare_offers(gconstpointer left, gconstpointer right)
{
	const struct outbox_offer *first = left, *second = right;

	if (first->host_id != second->host_id)
		return first->host_id < second->host_id ? -1 : 1;
	if (first->sequence != second->sequence)
		return first->sequence < second->sequence ? -1 : 1;
	if (first->offer.upstream_id != second->offer.upstream_id)
		return first->offer.upstream_id < second->offer.upstream_id ? -1
									    : 1;
	return 0;
}

static bool
belongs_to_same_message(
    const struct outbox_offer *left, const struct outbox_offer *right)
{
	return left->host_id == right->host_id &&
	       left->instance == right->instance &&
	       left->sequence == right->sequence;
}

static void
send_message(
    const GArray *offers, guint from, guint to, const struct peer_port *port)
{
	const struct outbox_offer *first;
	struct message_writer writer;
	struct grant_header header = {0};
	guint i;

	first = &g_array_index(offers, struct outbox_offer, from);
	header.type = GRANT_MESSAGE_GRANT;
	header.instance = first->instance;
	header.sequence = first->sequence;
	header.row_count = to - from;
	message_writer_init(&writer);
	grant_message_open(&writer, &header);
	for (i = from; i < to; i++) {
		grant_message_add_offer(&writer,
		    &g_array_index(offers, struct outbox_offer, i).offer);
	}
	port->send(port->context, first->host_id, PEER_CHANNEL_GRANT,
	    message_data(&writer), message_size(&writer));
	message_writer_finish(&writer);
}
