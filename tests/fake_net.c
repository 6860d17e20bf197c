#include "fake_net.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#define MESSAGES_MAX (1u << 20) /* Most messages under way at a time. */
#define TIMERS_MAX   16384	/* Most timers of one host. */

/* A message under way, or held for a frozen host. */
struct fake_message {
	struct fake_message *next; /* Next one under way or held for a host. */
	struct fake_message **previous;
	struct fake_net *net;
	uint32_t from;
	uint32_t to;
	enum peer_channel channel;
	size_t size;
	unsigned char body[];
};

static int64_t host_now(void *context);
static void send_message(void *context, uint32_t to, enum peer_channel channel,
    const void *body, size_t size);
static int64_t wait_for_uplink(struct fake_net_host *sender, size_t size);
static void schedule_delivery(struct fake_net_host *sender, uint32_t to,
    enum peer_channel channel, const void *body, size_t size);
static void deliver(void *context);
static void pass_to_receiver(struct fake_message *message);
static void unlink_message(struct fake_message *message);
static void deliver_held(struct fake_net_host *host);
static void drop_held(struct fake_net_host *host);
static int64_t find_next_due_ms(const struct fake_net *net);

void
fake_net_init(struct fake_net *net, uint32_t hosts, uint64_t seed,
    const struct fake_link *link)
{
	uint32_t i;

	memset(net, 0, sizeof(*net));
	random_init(&net->random, seed);
	timer_init(&net->deliveries, MESSAGES_MAX, 0);
	net->host_count = hosts;
	net->hosts = g_new0(struct fake_net_host, hosts);
	net->links = g_new0(struct fake_link, (gsize)hosts * hosts);
	for (i = 0; i < hosts; i++) {
		net->hosts[i].net = net;
		net->hosts[i].id = i + 1;
		net->hosts[i].held_last = &net->hosts[i].held_first;
		timer_init_clock(&net->hosts[i].timers, TIMERS_MAX,
		    (struct timer_clock){host_now, &net->hosts[i]});
	}
	fake_net_set_links(net, link);
}

void
fake_net_finish(struct fake_net *net)
{
	struct fake_message *message, *next;
	uint32_t i;

	for (message = net->pending; message != NULL; message = next) {
		next = message->next;
		free(message);
	}
	for (i = 0; i < net->host_count; i++) {
		drop_held(&net->hosts[i]);
		timer_finish(&net->hosts[i].timers);
	}
	timer_finish(&net->deliveries);
	g_free(net->hosts);
	g_free(net->links);
	memset(net, 0, sizeof(*net));
}

struct fake_net_host *
fake_net_host(struct fake_net *net, uint32_t id)
{
	if (id < 1 || id > net->host_count)
		return NULL;
	return &net->hosts[id - 1];
}

struct peer_port
fake_net_port(struct fake_net *net, uint32_t id)
{
	return (struct peer_port){send_message, fake_net_host(net, id)};
}

struct timer_service *
fake_net_timers(struct fake_net *net, uint32_t id)
{
	return &fake_net_host(net, id)->timers;
}

int64_t
fake_net_now(const struct fake_net *net)
{
	return timer_now(&net->deliveries);
}

void
fake_net_run(struct fake_net *net, int64_t duration_ms)
{
	struct fake_net_host *host;
	int64_t end_ms, next_ms;
	uint32_t i;

	end_ms = fake_net_now(net) + duration_ms;
	do {
		next_ms = MIN(find_next_due_ms(net), end_ms);
		timer_advance(&net->deliveries, next_ms);
		for (i = 0; i < net->host_count; i++) {
			host = &net->hosts[i];
			if (!host->is_up || host->is_frozen)
				continue;
			timer_advance(
			    &host->timers, next_ms + host->clock_offset_ms);
		}
	} while (next_ms < end_ms || find_next_due_ms(net) <= end_ms);
}

void
fake_net_start(struct fake_net *net, uint32_t id, int64_t clock_offset_ms,
    struct fake_receiver receiver)
{
	struct fake_net_host *host = fake_net_host(net, id);

	fake_net_kill(net, id);
	host->is_up = true;
	host->clock_offset_ms = clock_offset_ms;
	host->receiver = receiver;
	timer_init_clock(
	    &host->timers, TIMERS_MAX, (struct timer_clock){host_now, host});
}

void
fake_net_kill(struct fake_net *net, uint32_t id)
{
	struct fake_net_host *host = fake_net_host(net, id);

	host->is_up = false;
	host->is_frozen = false;
	drop_held(host);
	timer_finish(&host->timers);
}

void
fake_net_freeze(struct fake_net *net, uint32_t id)
{
	fake_net_host(net, id)->is_frozen = true;
}

void
fake_net_thaw(struct fake_net *net, uint32_t id)
{
	struct fake_net_host *host = fake_net_host(net, id);
	int64_t now_ms = fake_net_now(net) + host->clock_offset_ms;

	if (!host->is_frozen)
		return;
	host->is_frozen = false;
	if (random_below(&net->random, 2) == 0) {
		timer_advance(&host->timers, now_ms);
		deliver_held(host);
		return;
	}
	deliver_held(host);
	timer_advance(&host->timers, now_ms);
}

struct fake_link *
fake_net_link(struct fake_net *net, uint32_t from, uint32_t to)
{
	return &net->links[(size_t)(from - 1) * net->host_count + to - 1];
}

void
fake_net_set_links(struct fake_net *net, const struct fake_link *link)
{
	size_t i;

	for (i = 0; i < (size_t)net->host_count * net->host_count; i++)
		net->links[i] = *link;
}

void
fake_net_cut_host(struct fake_net *net, uint32_t id, bool cut_from, bool cut_to)
{
	uint32_t other;

	for (other = 1; other <= net->host_count; other++) {
		if (other == id)
			continue;
		if (cut_from)
			fake_net_link(net, id, other)->is_cut = true;
		if (cut_to)
			fake_net_link(net, other, id)->is_cut = true;
	}
}

void
fake_net_cut_pair(
    struct fake_net *net, uint32_t left, uint32_t right, bool is_cut)
{
	fake_net_link(net, left, right)->is_cut = is_cut;
	fake_net_link(net, right, left)->is_cut = is_cut;
}

void
fake_net_heal(struct fake_net *net)
{
	size_t i;

	for (i = 0; i < (size_t)net->host_count * net->host_count; i++)
		net->links[i].is_cut = false;
}

/* Reads the clock of a host, which runs on while the host is frozen. */
static int64_t
host_now(void *context)
{
	const struct fake_net_host *host = context;

	return fake_net_now(host->net) + host->clock_offset_ms;
}

static void
send_message(void *context, uint32_t to, enum peer_channel channel,
    const void *body, size_t size)
{
	struct fake_net_host *sender = context;
	const struct fake_link *link;

	if (!sender->is_up || fake_net_host(sender->net, to) == NULL)
		return;
	sender->sent_messages++;
	sender->sent_bytes += size;
	link = fake_net_link(sender->net, sender->id, to);
	if (sender->id == to) {
		schedule_delivery(sender, to, channel, body, size);
		return;
	}
	if (link->is_cut || random_unit(&sender->net->random) < link->loss)
		return;
	schedule_delivery(sender, to, channel, body, size);
	if (random_unit(&sender->net->random) < link->duplicate)
		schedule_delivery(sender, to, channel, body, size);
}

/* Returns the milliseconds until the host has sent all its messages and this
 * one. */
static int64_t
wait_for_uplink(struct fake_net_host *sender, size_t size)
{
	int64_t now_ms;

	if (sender->uplink_bytes_per_ms == 0)
		return 0;
	now_ms = fake_net_now(sender->net);
	sender->uplink_free_ms =
	    (sender->uplink_free_ms > now_ms ? sender->uplink_free_ms
					     : now_ms) +
	    (int64_t)size / sender->uplink_bytes_per_ms;
	return sender->uplink_free_ms - now_ms;
}

static void
schedule_delivery(struct fake_net_host *sender, uint32_t to,
    enum peer_channel channel, const void *body, size_t size)
{
	struct fake_net *net = sender->net;
	const struct fake_link *link = fake_net_link(net, sender->id, to);
	struct fake_message *message;
	int64_t delay_ms, spread_ms;

	message = malloc(sizeof(*message) + size);
	if (message == NULL)
		return;
	message->net = net;
	message->from = sender->id;
	message->to = to;
	message->channel = channel;
	message->size = size;
	memcpy(message->body, body, size);
	spread_ms = link->delay_max_ms - link->delay_min_ms;
	delay_ms = link->delay_min_ms +
		   (int64_t)random_below(&net->random, (uint32_t)spread_ms + 1);
	if (sender->id == to)
		delay_ms = 0;
	else
		delay_ms += wait_for_uplink(sender, size);
	message->next = net->pending;
	message->previous = &net->pending;
	if (net->pending != NULL)
		net->pending->previous = &message->next;
	net->pending = message;
	if (timer_subscribe_once(&net->deliveries, delay_ms,
		(struct timer_callback){deliver, message},
		NULL) != ERROR_NONE) {
		unlink_message(message);
		free(message);
	}
}

static void
deliver(void *context)
{
	struct fake_message *message = context;
	struct fake_net_host *host = fake_net_host(message->net, message->to);

	unlink_message(message);
	if (!host->is_up) {
		free(message);
		return;
	}
	if (host->is_frozen) {
		message->next = NULL;
		*host->held_last = message;
		host->held_last = &message->next;
		return;
	}
	/* Overdue timers of the receiver run before it gets the message. */
	timer_advance(
	    &host->timers, fake_net_now(message->net) + host->clock_offset_ms);
	pass_to_receiver(message);
}

static void
pass_to_receiver(struct fake_message *message)
{
	struct fake_net_host *host = fake_net_host(message->net, message->to);

	if (host->is_up && host->receiver.receive != NULL)
		host->receiver.receive(host->receiver.context, message->from,
		    message->channel, message->body, message->size);
	free(message);
}

static void
unlink_message(struct fake_message *message)
{
	*message->previous = message->next;
	if (message->next != NULL)
		message->next->previous = message->previous;
}

static void
deliver_held(struct fake_net_host *host)
{
	struct fake_message *message, *next;

	message = host->held_first;
	host->held_first = NULL;
	host->held_last = &host->held_first;
	for (; message != NULL; message = next) {
		next = message->next;
		pass_to_receiver(message);
	}
}

static void
drop_held(struct fake_net_host *host)
{
	struct fake_message *message, *next;

	for (message = host->held_first; message != NULL; message = next) {
		next = message->next;
		free(message);
	}
	host->held_first = NULL;
	host->held_last = &host->held_first;
}

/* Returns the net time at which the next timer or delivery is due. */
static int64_t
find_next_due_ms(const struct fake_net *net)
{
	const struct fake_net_host *host;
	int64_t next_ms, due_ms;
	uint32_t i;

	next_ms = timer_next_due_ms(&net->deliveries);
	for (i = 0; i < net->host_count; i++) {
		host = &net->hosts[i];
		if (!host->is_up || host->is_frozen)
			continue;
		due_ms = timer_next_due_ms(&host->timers);
		if (due_ms == TIMER_NEVER)
			continue;
		next_ms = MIN(next_ms, due_ms - host->clock_offset_ms);
	}
	return next_ms;
}
