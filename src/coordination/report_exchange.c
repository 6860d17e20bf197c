#include "coordination/report_exchange.h"

#include <string.h>

#include "coordination/rendezvous.h"

#define DIRECT_HOSTS_MAX_DEFAULT 16
#define BATCH_PERIOD_DEFAULT_MS	 5
#define FAN_OUT_DEFAULT		 8
#define CONFIRM_DEFAULT_MS	 300
#define AVOID_DEFAULT_MS	 3000
#define SINGLE_DEFAULT_MS	 2000
/* Single reports to a host of which one goes as a batch, too. */
#define REPORTS_TO_A_PROBE 8
/* Time for which a host that sent a batch is known to read them, in multiples of
 * that for which a single report counts. It spans several of these probes. */
#define BATCH_FACTOR 4

/* A report that waits for the next batch. */
struct collected_report {
	uint32_t host_id;
	uint64_t sequence;
	int64_t sent_ms; /* When its host sent it, on this host's clock. */
	GBytes *body;
};

/* A host that sent single reports. */
struct single_sender {
	int64_t single_ms; /* When it sent the last one. */
	int64_t batch_ms;  /* When it last sent a batch. */
	uint32_t sent;	   /* Single reports sent to it. */
};

/* Live entry hosts, those of this host's data centre first. */
struct peer_list {
	struct report_peer peers[HOSTS_MAX];
	uint32_t count;	      /* All peers. */
	uint32_t local_count; /* Peers in the same data centre. */
	/* Peers that read single reports only; not among the others. */
	struct report_peer singles[HOSTS_MAX];
	uint32_t single_count;
};

static void set_defaults(struct report_exchange_settings *settings);
static void list_peers(
    const struct report_exchange *exchange, struct peer_list *list);
static void move_singles(
    const struct report_exchange *exchange, struct peer_list *list);
static void record_single(struct report_exchange *exchange, uint32_t from_host);
static void record_batch(struct report_exchange *exchange, uint32_t from_host);
static bool reads_single_only(
    const struct report_exchange *exchange, uint32_t host_id);
static gboolean is_single_over(
    gpointer key, gpointer sender, gpointer limit_ms);
static void probe_singles(
    struct report_exchange *exchange, const struct peer_list *list);
static bool is_small(
    const struct report_exchange *exchange, const struct peer_list *list);
static gint compare_peers(
    gconstpointer left, gconstpointer right, gpointer own_centre);
static void send_direct(struct report_exchange *exchange,
    const struct report_peer *peers, uint32_t count);
static void send_to_collector(
    struct report_exchange *exchange, const struct peer_list *list);
static uint32_t choose_collector(
    struct report_exchange *exchange, const struct peer_list *list);
static void expect_confirmation(struct report_exchange *exchange);
static void confirm(struct report_exchange *exchange, uint64_t sequence);
static void check_confirmation(void *context);
static void collect(
    struct report_exchange *exchange, const struct batched_report *report);
static void send_batch(void *context);
static void fill_batch(
    struct report_exchange *exchange, struct report_batch *batch);
static void send_to_data_centres(struct report_exchange *exchange,
    const struct peer_list *list, struct report_batch *batch);
static void spread(struct report_exchange *exchange,
    const struct peer_list *list, struct report_batch *batch);
static void forward(
    struct report_exchange *exchange, struct report_batch *batch);
static void deliver(
    struct report_exchange *exchange, const struct report_batch *batch);
static void send_message(struct report_exchange *exchange, uint32_t to_host,
    const struct report_batch *batch);
static void free_collected(gpointer report);

void
report_exchange_init(struct report_exchange *exchange,
    const struct report_exchange_settings *settings,
    struct timer_service *timers, uint64_t seed, struct peer_port port,
    struct report_exchange_ops ops)
{
	memset(exchange, 0, sizeof(*exchange));
	exchange->settings = *settings;
	set_defaults(&exchange->settings);
	exchange->timers = timers;
	exchange->port = port;
	exchange->ops = ops;
	random_init(&exchange->random, seed);
	exchange->collected =
	    g_hash_table_new_full(NULL, NULL, NULL, free_collected);
	exchange->singles = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	exchange->data_centre_count = 1;
}

void
report_exchange_finish(struct report_exchange *exchange)
{
	if (exchange->timers == NULL)
		return;
	timer_cancel(exchange->timers, &exchange->batch_timer);
	timer_cancel(exchange->timers, &exchange->confirm_timer);
	g_hash_table_unref(exchange->collected);
	g_hash_table_unref(exchange->singles);
	g_clear_pointer(&exchange->own_report, g_bytes_unref);
	memset(exchange, 0, sizeof(*exchange));
}

void
report_exchange_send(
    struct report_exchange *exchange, const void *body, size_t size)
{
	struct peer_list list;

	g_clear_pointer(&exchange->own_report, g_bytes_unref);
	exchange->own_report = g_bytes_new(body, size);
	exchange->own_sequence++;
	list_peers(exchange, &list);
	send_direct(exchange, list.singles, list.single_count);
	probe_singles(exchange, &list);
	if (is_small(exchange, &list))
		send_direct(exchange, list.peers, list.count);
	else
		send_to_collector(exchange, &list);
}

enum error_code
report_exchange_receive(struct report_exchange *exchange, uint32_t from_host,
    const void *body, size_t size)
{
	struct message_reader reader;
	struct report_batch batch;
	struct peer_list list;
	enum error_code error;
	uint32_t i;

	error = report_batch_read(body, size, &reader, &batch);
	if (error == ERROR_UNSUPPORTED_VERSION) {
		record_single(exchange, from_host);
		exchange->ops.on_report(
		    exchange->ops.context, from_host, body, size, 0);
		return ERROR_NONE;
	}
	if (error != ERROR_NONE)
		return error;
	record_batch(exchange, from_host);
	switch (batch.type) {
	case REPORT_BATCH_COLLECT:
		for (i = 0; i < batch.report_count; i++)
			collect(exchange, &batch.reports[i]);
		break;
	case REPORT_BATCH_SPREAD:
		deliver(exchange, &batch);
		list_peers(exchange, &list);
		spread(exchange, &list, &batch);
		break;
	case REPORT_BATCH_FORWARD:
		deliver(exchange, &batch);
		forward(exchange, &batch);
		break;
	}
	message_reader_finish(&reader);
	return ERROR_NONE;
}

static void
set_defaults(struct report_exchange_settings *settings)
{
	if (settings->direct_hosts_max == 0)
		settings->direct_hosts_max = DIRECT_HOSTS_MAX_DEFAULT;
	if (settings->batch_period_ms == 0)
		settings->batch_period_ms = BATCH_PERIOD_DEFAULT_MS;
	if (settings->fan_out == 0)
		settings->fan_out = FAN_OUT_DEFAULT;
	if (settings->confirm_ms == 0)
		settings->confirm_ms = CONFIRM_DEFAULT_MS;
	if (settings->avoid_ms == 0)
		settings->avoid_ms = AVOID_DEFAULT_MS;
	if (settings->single_ms == 0)
		settings->single_ms = SINGLE_DEFAULT_MS;
}

/* Lists the live entry hosts: those of this host's data centre first, then the
 * others by data centre. */
static void
list_peers(const struct report_exchange *exchange, struct peer_list *list)
{
	uint64_t own = exchange->settings.data_centre;

	list->count = exchange->ops.list_peers(
	    exchange->ops.context, list->peers, HOSTS_MAX);
	list->single_count = 0;
	if (!is_small(exchange, list))
		move_singles(exchange, list);
	g_qsort_with_data(list->peers, (gint)list->count,
	    sizeof(list->peers[0]), compare_peers, &own);
	list->local_count = 0;
	while (list->local_count < list->count &&
	       list->peers[list->local_count].data_centre == own)
		list->local_count++;
}

/* Returns whether all hosts send single reports to each other. */
static bool
is_small(const struct report_exchange *exchange, const struct peer_list *list)
{
	return list->count + list->single_count <
	       exchange->settings.direct_hosts_max;
}

/* Takes the peers that read single reports only from among the others. */
static void
move_singles(const struct report_exchange *exchange, struct peer_list *list)
{
	uint32_t i, count = 0;

	for (i = 0; i < list->count; i++) {
		if (reads_single_only(exchange, list->peers[i].host_id))
			list->singles[list->single_count++] = list->peers[i];
		else
			list->peers[count++] = list->peers[i];
	}
	list->count = count;
}

/* Hosts that read batches send single reports while they take another host for
 * one that doesn't; the batch among these reports shows that they do. */
static bool
reads_single_only(const struct report_exchange *exchange, uint32_t host_id)
{
	const int64_t single_ms = exchange->settings.single_ms;
	const struct single_sender *sender;
	int64_t now_ms;

	sender =
	    g_hash_table_lookup(exchange->singles, GUINT_TO_POINTER(host_id));
	if (sender == NULL)
		return false;
	now_ms = timer_now(exchange->timers);
	return now_ms - sender->single_ms < single_ms &&
	       now_ms - sender->batch_ms >= BATCH_FACTOR * single_ms;
}

/* Notes that a host has sent a single report, and forgets the hosts that have
 * not for long. */
static void
record_single(struct report_exchange *exchange, uint32_t from_host)
{
	struct single_sender *sender;
	int64_t limit_ms;

	limit_ms = timer_now(exchange->timers) -
		   BATCH_FACTOR * exchange->settings.single_ms;
	g_hash_table_foreach_remove(
	    exchange->singles, is_single_over, &limit_ms);
	sender =
	    g_hash_table_lookup(exchange->singles, GUINT_TO_POINTER(from_host));
	if (sender == NULL) {
		sender = g_new0(struct single_sender, 1);
		sender->batch_ms = limit_ms;
		g_hash_table_insert(
		    exchange->singles, GUINT_TO_POINTER(from_host), sender);
	}
	sender->single_ms = timer_now(exchange->timers);
}

static void
record_batch(struct report_exchange *exchange, uint32_t from_host)
{
	struct single_sender *sender;

	sender =
	    g_hash_table_lookup(exchange->singles, GUINT_TO_POINTER(from_host));
	if (sender != NULL)
		sender->batch_ms = timer_now(exchange->timers);
}

static gboolean
is_single_over(gpointer key, gpointer sender, gpointer limit_ms)
{
	(void)key;
	return ((const struct single_sender *)sender)->single_ms <
	       *(const int64_t *)limit_ms;
}

/* Orders by data centre, the one that @p own_centre points to first. */
static gint
compare_peers(gconstpointer left, gconstpointer right, gpointer own_centre)
{
	const struct report_peer *first = left, *second = right;
	uint64_t own = *(const uint64_t *)own_centre;

	if (first->data_centre == second->data_centre)
		return 0;
	if (first->data_centre == own || second->data_centre == own)
		return first->data_centre == own ? -1 : 1;
	return first->data_centre < second->data_centre ? -1 : 1;
}

static void
send_direct(struct report_exchange *exchange, const struct report_peer *peers,
    uint32_t count)
{
	gconstpointer body;
	uint32_t i;
	gsize size;

	body = g_bytes_get_data(exchange->own_report, &size);
	for (i = 0; i < count; i++)
		exchange->port.send(exchange->port.context, peers[i].host_id,
		    PEER_CHANNEL_WORK, body, size);
}

/* Sends this host's report as a batch, too, to those hosts that have got several
 * single ones, so that they know that it reads batches. */
static void
probe_singles(struct report_exchange *exchange, const struct peer_list *list)
{
	struct batched_report report = {
	    .host_id = exchange->settings.host_id,
	    .sequence = exchange->own_sequence,
	};
	struct report_batch batch = {
	    .type = REPORT_BATCH_FORWARD, .report_count = 1};
	struct single_sender *sender;
	uint32_t i;

	report.body = g_bytes_get_data(exchange->own_report, &report.size);
	batch.reports[0] = report;
	for (i = 0; i < list->single_count; i++) {
		sender = g_hash_table_lookup(exchange->singles,
		    GUINT_TO_POINTER(list->singles[i].host_id));
		if (sender->sent++ % REPORTS_TO_A_PROBE == 0)
			send_message(
			    exchange, list->singles[i].host_id, &batch);
	}
}

static void
send_to_collector(
    struct report_exchange *exchange, const struct peer_list *list)
{
	struct batched_report report = {
	    .host_id = exchange->settings.host_id,
	    .sequence = exchange->own_sequence,
	};
	struct report_batch batch = {.type = REPORT_BATCH_COLLECT};
	uint32_t collector;

	report.body = g_bytes_get_data(exchange->own_report, &report.size);
	collector = choose_collector(exchange, list);
	if (collector == exchange->settings.host_id) {
		collect(exchange, &report);
		return;
	}
	batch.reports[batch.report_count++] = report;
	send_message(exchange, collector, &batch);
	expect_confirmation(exchange);
}

/* Returns the collector of this host's data centre: the first in a ranking of
 * its hosts, or a later one while the first does not bring reports back. */
static uint32_t
choose_collector(struct report_exchange *exchange, const struct peer_list *list)
{
	uint32_t ranking[HOSTS_MAX + 1], count;

	for (count = 0; count < list->local_count; count++)
		ranking[count] = list->peers[count].host_id;
	ranking[count++] = exchange->settings.host_id;
	rendezvous_sort(exchange->settings.data_centre, ranking, count);
	if (timer_now(exchange->timers) >= exchange->rank_until_ms)
		exchange->collector_rank = 0;
	return ranking[exchange->collector_rank % count];
}

static void
expect_confirmation(struct report_exchange *exchange)
{
	if (exchange->is_unconfirmed)
		return;
	exchange->is_unconfirmed = true;
	timer_cancel(exchange->timers, &exchange->confirm_timer);
	/* Without a free timer the next report is the next try. */
	(void)timer_subscribe_once(exchange->timers,
	    exchange->settings.confirm_ms,
	    (struct timer_callback){check_confirmation, exchange},
	    &exchange->confirm_timer);
}

/* Handles the return of an own report. If a later one is under way, the wait
 * for that begins. */
static void
confirm(struct report_exchange *exchange, uint64_t sequence)
{
	/* A report of an earlier process of this host says nothing. */
	if (sequence > exchange->own_sequence)
		return;
	exchange->is_unconfirmed = false;
	if (sequence < exchange->own_sequence)
		expect_confirmation(exchange);
}

/* Goes on to the next collector if no batch has brought this host's report
 * back, and sends the report again. */
static void
check_confirmation(void *context)
{
	struct report_exchange *exchange = context;
	struct peer_list list;

	if (!exchange->is_unconfirmed)
		return;
	exchange->is_unconfirmed = false;
	exchange->collector_rank++;
	exchange->rank_until_ms =
	    timer_now(exchange->timers) + exchange->settings.avoid_ms;
	list_peers(exchange, &list);
	send_to_collector(exchange, &list);
}

/* Adds a report to the next batch, in place of an older one of its host. */
static void
collect(struct report_exchange *exchange, const struct batched_report *report)
{
	struct collected_report *collected;
	int64_t wait_ms;

	collected = g_new0(struct collected_report, 1);
	collected->host_id = report->host_id;
	collected->sequence = report->sequence;
	collected->sent_ms = timer_now(exchange->timers) - report->age_ms;
	collected->body = g_bytes_new(report->body, report->size);
	g_hash_table_replace(
	    exchange->collected, GUINT_TO_POINTER(report->host_id), collected);
	if (!handle_equal(exchange->batch_timer, (struct handle){0}))
		return;
	wait_ms =
	    exchange->batch_sent_ms +
	    exchange->settings.batch_period_ms * exchange->data_centre_count -
	    timer_now(exchange->timers);
	/* Without a free timer the next report starts the batch. */
	(void)timer_subscribe_once(exchange->timers, MAX(wait_ms, 0),
	    (struct timer_callback){send_batch, exchange},
	    &exchange->batch_timer);
}

/* Sends the collected reports to all entry hosts. */
static void
send_batch(void *context)
{
	struct report_exchange *exchange = context;
	struct report_batch batch = {0};
	struct peer_list list;

	memset(&exchange->batch_timer, 0, sizeof(exchange->batch_timer));
	exchange->batch_sent_ms = timer_now(exchange->timers);
	fill_batch(exchange, &batch);
	list_peers(exchange, &list);
	deliver(exchange, &batch);
	send_to_data_centres(exchange, &list, &batch);
	spread(exchange, &list, &batch);
	g_hash_table_remove_all(exchange->collected);
}

static void
fill_batch(struct report_exchange *exchange, struct report_batch *batch)
{
	const struct collected_report *collected;
	struct batched_report *report;
	GHashTableIter iter;
	int64_t now_ms;

	now_ms = timer_now(exchange->timers);
	g_hash_table_iter_init(&iter, exchange->collected);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&collected)) {
		if (batch->report_count == HOSTS_MAX)
			return;
		report = &batch->reports[batch->report_count++];
		report->host_id = collected->host_id;
		report->sequence = collected->sequence;
		report->age_ms = (uint32_t)(now_ms - collected->sent_ms);
		report->body = g_bytes_get_data(collected->body, &report->size);
	}
}

/* Sends the batch to one host of each other data centre. */
static void
send_to_data_centres(struct report_exchange *exchange,
    const struct peer_list *list, struct report_batch *batch)
{
	const struct report_peer *peers = list->peers;
	uint32_t first, next, chosen;

	batch->type = REPORT_BATCH_SPREAD;
	exchange->data_centre_count = 1;
	for (first = list->local_count; first < list->count; first = next) {
		next = first + 1;
		while (next < list->count &&
		       peers[next].data_centre == peers[first].data_centre)
			next++;
		exchange->data_centre_count++;
		chosen = first + random_below(&exchange->random, next - first);
		send_message(exchange, peers[chosen].host_id, batch);
	}
}

/* Sends the batch to all hosts of this host's data centre, in an order that is
 * drawn anew. */
static void
spread(struct report_exchange *exchange, const struct peer_list *list,
    struct report_batch *batch)
{
	uint32_t *host_ids = batch->host_ids;
	uint32_t i, other;

	for (i = 0; i < list->local_count; i++) {
		other = random_below(&exchange->random, i + 1);
		host_ids[i] = host_ids[other];
		host_ids[other] = list->peers[i].host_id;
	}
	batch->host_count = list->local_count;
	forward(exchange, batch);
}

/* Sends the batch to the hosts listed in it: to each of them while there are
 * few, else to the first of as many groups as the fan-out allows, which passes
 * it on to the rest of its group. */
static void
forward(struct report_exchange *exchange, struct report_batch *batch)
{
	uint32_t remaining[HOSTS_MAX], count, groups, group, first, next;

	count = batch->host_count;
	memcpy(remaining, batch->host_ids, count * sizeof(remaining[0]));
	batch->type = REPORT_BATCH_FORWARD;
	groups = MIN(count, exchange->settings.fan_out);
	for (group = 0; group < groups; group++) {
		first = count * group / groups;
		next = count * (group + 1) / groups;
		batch->host_count = next - first - 1;
		memcpy(batch->host_ids, &remaining[first + 1],
		    batch->host_count * sizeof(remaining[0]));
		send_message(exchange, remaining[first], batch);
	}
}

/* Passes the reports of other hosts to the owner. Its own report shows the host
 * that its collector works. */
static void
deliver(struct report_exchange *exchange, const struct report_batch *batch)
{
	const struct batched_report *report;
	uint32_t i;

	for (i = 0; i < batch->report_count; i++) {
		report = &batch->reports[i];
		if (report->host_id != exchange->settings.host_id)
			exchange->ops.on_report(exchange->ops.context,
			    report->host_id, report->body, report->size,
			    report->age_ms);
		else
			confirm(exchange, report->sequence);
	}
}

static void
send_message(struct report_exchange *exchange, uint32_t to_host,
    const struct report_batch *batch)
{
	struct message_writer writer;

	message_writer_init(&writer);
	report_batch_write(&writer, batch);
	exchange->port.send(exchange->port.context, to_host, PEER_CHANNEL_WORK,
	    message_data(&writer), message_size(&writer));
	message_writer_finish(&writer);
}

static void
free_collected(gpointer report)
{
	g_bytes_unref(((struct collected_report *)report)->body);
	g_free(report);
}
