#include "host/host_reports.h"

#include <string.h>

#include <xxhash.h>

#include "base/event_log.h"

/* A work report to be sent to the other entry hosts. */
struct send_body {
	GBytes *report;
};

/* Entry hosts found so far, for list_peers(). */
struct peer_search {
	uint32_t self;
	struct report_peer *peers;
	uint32_t count, max;
};

static void run_send(void *coordinator, struct mailbox_call *call);
static void clear_send(void *body);
static uint32_t list_peers(
    void *context, struct report_peer *peers, uint32_t max);
static void add_peer(void *visitor, const struct host_record *record);
static void on_report(void *context, uint32_t from_host, const void *body,
    size_t size, int64_t age_ms);
static uint64_t hash_name(const char *name);

static const struct mailbox_ops send_ops = {run_send, clear_send};

void
host_reports_init(struct host *host)
{
	struct report_exchange_settings settings = {
	    .host_id = host->settings.host_id,
	    .data_centre = hash_name(host->settings.data_centre),
	};
	struct report_exchange_ops ops = {
	    .list_peers = list_peers, .on_report = on_report, .context = host};

	report_exchange_init(&host->reports, &settings, &host->timers,
	    random_uint64(&host->random), peer_links_port(&host->links), ops);
}

void
host_reports_finish(struct host *host)
{
	report_exchange_finish(&host->reports);
}

void
host_reports_receive(
    struct host *host, uint32_t from_host, const void *body, size_t size)
{
	enum error_code error;

	if (host->work_watch.on_received == NULL)
		return;
	error = report_exchange_receive(&host->reports, from_host, body, size);
	if (error != ERROR_NONE)
		event_log_write(EVENT_PEER_REFUSED,
		    "work reports from host %u: %s", from_host,
		    error_name(error));
}

void
host_reports_send(struct host *host, const void *body, size_t size)
{
	struct mailbox_call *call;

	call = mailbox_call_new(&send_ops, sizeof(struct send_body));
	((struct send_body *)mailbox_call_body(call))->report =
	    g_bytes_new(body, size);
	/* A lost report does no harm, since the next one replaces it. */
	(void)mailbox_post(&host->mailbox, call);
}

static void
run_send(void *coordinator, struct mailbox_call *call)
{
	struct send_body *body = mailbox_call_body(call);
	struct host *host = coordinator;
	gconstpointer report;
	gsize size;

	report = g_bytes_get_data(body->report, &size);
	report_exchange_send(&host->reports, report, size);
	mailbox_complete(&host->mailbox, call, ERROR_NONE);
}

static void
clear_send(void *body)
{
	g_bytes_unref(((struct send_body *)body)->report);
}

static uint32_t
list_peers(void *context, struct report_peer *peers, uint32_t max)
{
	struct peer_search search = {.peers = peers, .max = max};
	struct host *host = context;

	search.self = host->settings.host_id;
	membership_for_each(&host->membership, add_peer, &search);
	return search.count;
}

/* Adds a host if it is another live entry host. */
static void
add_peer(void *visitor, const struct host_record *record)
{
	struct peer_search *search = visitor;

	if ((record->flags & HOST_FLAG_ENTRY) == 0 ||
	    record->id == search->self || search->count == search->max ||
	    !host_state_is_live(record->state))
		return;
	search->peers[search->count++] = (struct report_peer){
	    .host_id = record->id,
	    .data_centre = hash_name(record->data_centre),
	};
}

static void
on_report(void *context, uint32_t from_host, const void *body, size_t size,
    int64_t age_ms)
{
	struct host *host = context;

	host->work_watch.on_received(
	    host->work_watch.context, from_host, body, size, age_ms);
}

static uint64_t
hash_name(const char *name)
{
	return XXH64(name, strlen(name), 0);
}
