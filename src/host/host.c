#include "host/host.h"

#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>

#include <sodium.h>
#include <xxhash.h>

#include "base/build_name.h"
#include "base/event_log.h"
#include "base/monotonic_clock.h"
#include "host/host_reports.h"
#include "host/host_seeds.h"
#include "host/host_voters.h"
#include "state/state_level.h"

/* Largest number of timers on the coordination thread. */
#define TIMERS_MAX 65536
/* Largest number of calls that wait for the coordination thread. */
#define MAILBOX_MAX 16384
/* Longest time for which one pass of the main loop waits for events. */
#define LOOP_WAIT_MAX_MS 50
/* Size of the index of cached prompt prefixes. */
#define PREFIX_ENTRIES_MAX 262144
/* Age at which trust in a prefix entry is halved. */
#define PREFIX_HALF_LIFE_MS 300000
/* Largest number of trace spans that wait to be written. */
#define SPANS_PENDING_MAX 8192
/* A request id has the host id above this bit and a counter below it. */
#define REQUEST_ID_HOST_SHIFT 48
/* Longest wait for the drain; a hand-over may take twice as long, after that of
 * the vote. */
#define HAND_OVER_TIMEOUT_MS INT64_C(1500)
/* Longest wait until another host has taken this host's vote. */
#define VOTE_TIMEOUT_MS INT64_C(3000)
/* Interval at which the progress of a hand-over is checked. */
#define HAND_OVER_CHECK_MS 20
/* Threads for calls to upstreams, which block until the answer arrives. */
#define CONTROL_THREADS 16
/* Interval at which a stop checks whether group threads have ended. */
#define GROUP_CHECK_US 10000
#define US_PER_MS      1000
/* Largest number of bytes queued for one peer. */
#define PEER_QUEUE_BYTES_MAX (2 * FRAME_SIZE_MAX)

static enum error_code init_parts(struct host *host);
static enum error_code init_links(struct host *host);
static enum error_code init_membership(struct host *host);
static enum error_code init_wait_line(struct host *host);
static int64_t read_clock(void *context);
static void *run_loop(void *argument);
static void run_loop_pass(struct host *host);
static void receive_frame(void *context, uint32_t from_host,
    enum peer_channel channel, const void *body, size_t size);
static void on_connected(void *context, uint32_t host_id, uint64_t incarnation);
static void on_reconnected(void *context, uint32_t host_id);
static void dial_seed(void *context, const char *ip, uint16_t port);
static void add_host(
    void *context, uint32_t host_id, const char *ip, uint16_t port);
static void on_joined(void *context, const struct host_record *record);
static void on_suspected(void *context, const struct host_record *record);
static void on_dead(void *context, const struct host_record *record);
static void on_declared_dead(void *context, uint64_t incarnation);
static enum error_code receive_other(
    void *context, uint32_t from_host, const void *body, size_t size);
static void run_drain(void *coordinator, struct mailbox_call *call);
static void run_hand_over(void *coordinator, struct mailbox_call *call);
static void check_hand_over(void *context);
static bool is_handed_over(struct host *host);

static const struct mailbox_ops drain_ops = {.run = run_drain};
static const struct mailbox_ops hand_over_ops = {.run = run_hand_over};

/* A hand-over in progress, and the call that waits for its end. */
struct hand_over {
	struct host *host;
	struct mailbox_call *call;
	struct handle timer;
	int64_t vote_until_ms; /* When to leave although still a voter. */
	bool has_left;	       /* membership_leave() was called. */
};

enum error_code
host_init(struct host *host, const struct settings *settings,
    const struct document_watch *watch, const struct work_watch *work)
{
	enum error_code error;

	memset(host, 0, sizeof(*host));
	host->settings = *settings;
	if (watch != NULL)
		host->document_watch = *watch;
	if (work != NULL)
		host->work_watch = *work;
	host->incarnation = (uint64_t)clock_wall_us();
	random_init(&host->random, randombytes_random() | host->incarnation);
	/* The key depends only on the cluster's name, so all hosts compute the
	 * same fingerprint for a request and recognise it. */
	host->fingerprint_key =
	    XXH64(settings->cluster, strlen(settings->cluster), 1);
	atomic_store(&host->next_request_id,
	    ((uint64_t)settings->host_id << REQUEST_ID_HOST_SHIFT) |
		(host->incarnation & ((1ull << REQUEST_ID_HOST_SHIFT) - 1)));
	error = mailbox_init(&host->mailbox, MAILBOX_MAX);
	if (error != ERROR_NONE)
		return error;
	timer_init_clock(&host->timers, TIMERS_MAX, host_clock());
	error = init_parts(host);
	if (error != ERROR_NONE)
		return error;
	if (pthread_create(&host->thread, NULL, run_loop, host) != 0)
		return ERROR_NO_MEMORY;
	return ERROR_NONE;
}

void
host_drain(struct host *host)
{
	struct mailbox_call *call;

	atomic_store(&host->is_draining, true);
	wait_line_close(&host->wait_line);
	call = mailbox_call_new(&drain_ops, 0);
	mailbox_await(&host->mailbox, call, HAND_OVER_TIMEOUT_MS);
	mailbox_call_unref(call);
}

void
host_finish(struct host *host)
{
	struct mailbox_call *call;

	while (atomic_load(&host->group_threads) > 0)
		g_usleep(GROUP_CHECK_US);
	call = mailbox_call_new(&hand_over_ops, sizeof(struct hand_over));
	mailbox_await(
	    &host->mailbox, call, VOTE_TIMEOUT_MS + HAND_OVER_TIMEOUT_MS * 2);
	atomic_store(&host->is_stopping, true);
	pthread_join(host->thread, NULL);
	/* A hand-over that did not end in time uses the call until then. */
	mailbox_call_unref(call);
	control_worker_finish(&host->control);
	mailbox_close(&host->mailbox);
	upstream_http_finish(&host->upstreams_http);
	host_agreement_finish(host);
	wait_line_finish(&host->wait_line);
	host_orders_finish(host);
	host_groups_finish(host);
	host_reports_finish(host);
	host_fleet_finish(host);
	membership_finish(&host->membership);
	peer_links_finish(&host->links);
	timer_finish(&host->timers);
	prefix_index_finish(&host->prefixes);
	span_log_finish(&host->spans);
	request_metrics_finish(&host->metrics);
	mailbox_finish(&host->mailbox);
}

int64_t
host_now_ms(void)
{
	return clock_monotonic_ms();
}

struct timer_clock
host_clock(void)
{
	return (struct timer_clock){.now_ms = read_clock};
}

uint64_t
host_new_request_id(struct host *host)
{
	return atomic_fetch_add(&host->next_request_id, 1);
}

bool
host_may_start(struct host *host)
{
	return fleet_may_start_work(&host->fleet, host_now_ms());
}

int64_t
host_confirmed_remaining(const struct host *host)
{
	int64_t remaining_ms;

	remaining_ms = atomic_load(&host->confirmed_until_ms) - host_now_ms();
	return MAX(remaining_ms, 0);
}

static int64_t
read_clock(void *context)
{
	(void)context;
	return host_now_ms();
}

static enum error_code
init_parts(struct host *host)
{
	enum error_code error;

	retry_settings_fill(&host->retry);
	retry_budget_init(&host->retry_budget, &host->retry);
	error = request_metrics_init(&host->metrics);
	if (error == ERROR_NONE)
		error = span_log_init(&host->spans, host->settings.trace_file,
		    host->settings.host_id, SPANS_PENDING_MAX);
	if (error == ERROR_NONE)
		error = prefix_index_init(
		    &host->prefixes, PREFIX_ENTRIES_MAX, PREFIX_HALF_LIFE_MS);
	if (error == ERROR_NONE)
		error = upstream_http_init(
		    &host->upstreams_http, &(struct upstream_http_settings){0});
	if (error == ERROR_NONE)
		error = init_links(host);
	if (error == ERROR_NONE)
		error = init_membership(host);
	if (error == ERROR_NONE)
		error = host_fleet_init(host);
	if (error == ERROR_NONE)
		error =
		    control_worker_init(&host->control, CONTROL_THREADS, host);
	if (error == ERROR_NONE)
		error = host_groups_init(host);
	if (error == ERROR_NONE)
		error = host_orders_init(host);
	if (error == ERROR_NONE)
		error = init_wait_line(host);
	if (error == ERROR_NONE)
		error = host_agreement_init(host);
	if (error == ERROR_NONE)
		host_reports_init(host);
	host_voters_init(host);
	host_level_init(host);
	return error;
}

static enum error_code
init_links(struct host *host)
{
	struct peer_link_settings links = {0};
	const struct settings *settings = &host->settings;
	struct peer_link_ops ops = {
	    .on_frame = receive_frame,
	    .on_connected = on_connected,
	    .on_reconnected = on_reconnected,
	    .context = host,
	};
	uint32_t i;

	links.host_id = settings->host_id;
	links.incarnation = host->incarnation;
	snprintf(links.cluster_id, sizeof(links.cluster_id), "%s",
	    settings->cluster);
	snprintf(links.listen_ip, sizeof(links.listen_ip), "%s",
	    settings->peer_address);
	links.listen_port = (uint16_t)settings->peer_port;
	links.handshake_timeout_ms = settings->peer_handshake_timeout_ms;
	links.backoff_max_ms = settings->peer_backoff_max_ms;
	links.queue_bytes_max = PEER_QUEUE_BYTES_MAX;
	links.key_count = settings->peer_key_count;
	for (i = 0; i < settings->peer_key_count; i++) {
		links.keys[i].id = settings->peer_keys[i].id;
		memcpy(links.keys[i].key, settings->peer_keys[i].bytes,
		    sizeof(links.keys[i].key));
	}
	return peer_links_init(&host->links, &links, &host->timers,
	    random_uint64(&host->random), ops);
}

static enum error_code
init_membership(struct host *host)
{
	const struct settings *settings = &host->settings;
	struct membership_settings membership = {0};
	struct host_record *self = &membership.self;
	struct membership_ops ops = {
	    .dial_seed = dial_seed,
	    .add_host = add_host,
	    .on_joined = on_joined,
	    .on_suspected = on_suspected,
	    .on_dead = on_dead,
	    .on_declared_dead = on_declared_dead,
	    .receive_other = receive_other,
	    .context = host,
	};

	self->id = settings->host_id;
	self->incarnation = host->incarnation;
	self->port = (uint16_t)settings->peer_port;
	self->flags = settings->is_entry ? HOST_FLAG_ENTRY : 0;
	self->level = STATE_LEVEL_LATEST;
	snprintf(self->build, sizeof(self->build), "%s", build_name());
	self->http_port = (uint16_t)settings->http_port;
	snprintf(self->ip, sizeof(self->ip), "%s", settings->peer_address);
	snprintf(
	    self->http_ip, sizeof(self->http_ip), "%s", settings->http_address);
	snprintf(self->data_centre, sizeof(self->data_centre), "%s",
	    settings->data_centre);
	membership.seed_count = host_add_seeds(
	    host, settings->seeds, settings->seed_count, membership.seeds);
	membership.seed_dial_interval_ms = settings->seed_dial_interval_ms;
	return membership_init(&host->membership, &membership, &host->timers,
	    random_uint64(&host->random), peer_links_port(&host->links), ops);
}

static enum error_code
init_wait_line(struct host *host)
{
	struct wait_line_parts parts = {
	    .fleet = &host->fleet,
	    .prefixes = &host->prefixes,
	    .mix = &host->mix,
	    .now_ms = host_now_ms,
	    .wait_until = clock_cond_wait_until,
	};

	router_settings_fill(&parts.router);
	parts.queue.items_max = host->settings.queue_requests_max;
	parts.queue.account_items_max = host->settings.queue_requests_max;
	return wait_line_init(&host->wait_line, &parts);
}

static void *
run_loop(void *argument)
{
	struct host *host = argument;

	while (!atomic_load(&host->is_stopping))
		run_loop_pass(host);
	return NULL;
}

/* Waits for messages, calls or the next timer, and handles them all. */
static void
run_loop_pass(struct host *host)
{
	struct pollfd fds[2] = {{.events = POLLIN}, {.events = POLLIN}};
	int64_t wait_ms;

	timer_advance(&host->timers, host_now_ms());
	wait_ms = timer_next_due_ms(&host->timers) - host_now_ms();
	if (wait_ms > LOOP_WAIT_MAX_MS)
		wait_ms = LOOP_WAIT_MAX_MS;
	if (wait_ms < 0)
		wait_ms = 0;
	fds[0].fd = peer_links_fd(&host->links);
	fds[1].fd = mailbox_fd(&host->mailbox);
	if (poll(fds, 2, (int)wait_ms) < 0 && errno != EINTR)
		event_log_write(
		    EVENT_LISTEN_FAILED, "poll failed: errno %d", errno);
	timer_advance(&host->timers, host_now_ms());
	peer_links_handle(&host->links);
	mailbox_run(&host->mailbox, host);
	host_agreement_on_loop_pass(host);
	host_orders_on_loop_pass(host);
	host_suspects_on_loop_pass(host);
	host_fleet_publish(host);
}

/* Passes a message from another host to the module of its channel. */
static void
receive_frame(void *context, uint32_t from_host, enum peer_channel channel,
    const void *body, size_t size)
{
	struct host *host = context;

	switch (channel) {
	case PEER_CHANNEL_MEMBERSHIP:
		membership_receive(&host->membership, from_host, body, size);
		break;
	case PEER_CHANNEL_CONSENSUS:
		if (host->has_disk)
			consensus_receive(
			    &host->consensus, from_host, body, size);
		break;
	case PEER_CHANNEL_FEED:
		config_feed_receive(&host->feed, from_host, body, size);
		break;
	case PEER_CHANNEL_COMMAND:
		command_client_receive(&host->commands, from_host, body, size);
		break;
	case PEER_CHANNEL_GRANT:
		capacity_exchange_receive(
		    &host->capacity, from_host, body, size);
		break;
	case PEER_CHANNEL_LOAD:
		upstream_directory_receive(
		    &host->directory, from_host, body, size);
		break;
	case PEER_CHANNEL_WORK:
		host_reports_receive(host, from_host, body, size);
		break;
	case PEER_CHANNEL_COUNT:
		break;
	}
}

static void
on_connected(void *context, uint32_t host_id, uint64_t incarnation)
{
	struct host *host = context;

	(void)incarnation;
	membership_on_connected(&host->membership, host_id);
}

static void
on_reconnected(void *context, uint32_t host_id)
{
	struct host *host = context;

	membership_on_reconnected(&host->membership, host_id);
	upstream_directory_on_reconnected(&host->directory, host_id);
	config_feed_on_reconnected(&host->feed, host_id);
}

static void
dial_seed(void *context, const char *ip, uint16_t port)
{
	struct host *host = context;

	peer_links_dial_seed(&host->links, ip, port);
}

static void
add_host(void *context, uint32_t host_id, const char *ip, uint16_t port)
{
	struct host *host = context;

	peer_links_add_host(&host->links, host_id, ip, port);
}

static void
on_joined(void *context, const struct host_record *record)
{
	struct host *host = context;

	event_log_write(EVENT_HOST_JOINED, "host %u in %s, build %s",
	    record->id, record->data_centre,
	    record->build[0] == '\0' ? "unknown" : record->build);
	upstream_directory_sync_with(&host->directory, record->id);
}

static void
on_suspected(void *context, const struct host_record *record)
{
	(void)context;
	event_log_write(EVENT_HOST_SUSPECTED, "host %u", record->id);
}

static void
on_dead(void *context, const struct host_record *record)
{
	(void)context;
	event_log_write(EVENT_HOST_DEAD, "host %u", record->id);
}

/* Other hosts had declared this host dead, and it has refuted this. Its new
 * incarnation also goes into the records that the directory sends. */
static void
on_declared_dead(void *context, uint64_t incarnation)
{
	struct host *host = context;

	upstream_directory_set_incarnation(&host->directory, incarnation);
}

/* Upstream records share the membership channel; the directory reads them. */
static enum error_code
receive_other(void *context, uint32_t from_host, const void *body, size_t size)
{
	struct host *host = context;

	return upstream_directory_receive(
	    &host->directory, from_host, body, size);
}

/* Tells the other hosts that this host is draining. */
static void
run_drain(void *coordinator, struct mailbox_call *call)
{
	struct host *host = coordinator;

	membership_set_flags(&host->membership,
	    membership_self(&host->membership)->flags | HOST_FLAG_DRAINING);
	mailbox_complete(&host->mailbox, call, ERROR_NONE);
}

/* Starts to hand over grants, leadership and, if another host can take it, the
 * vote. Leadership is transferred before membership announces that this host
 * leaves, so that one of the remaining hosts makes all decisions about its
 * departure. */
static void
run_hand_over(void *coordinator, struct mailbox_call *call)
{
	struct hand_over *hand_over = mailbox_call_body(call);
	struct host *host = coordinator;

	grant_owner_stop_granting(&host->capacity.owner);
	if (host->has_disk && consensus_is_leader(&host->consensus))
		consensus_transfer(&host->consensus);
	hand_over->host = host;
	hand_over->call = call;
	hand_over->vote_until_ms = host_now_ms() + VOTE_TIMEOUT_MS;
	timer_subscribe_every(&host->timers, HAND_OVER_CHECK_MS,
	    (struct timer_callback){check_hand_over, hand_over},
	    &hand_over->timer);
}

/* Completes the waiting call when the hand-over has ended. */
static void
check_hand_over(void *context)
{
	struct hand_over *hand_over = context;
	struct host *host = hand_over->host;

	if (!hand_over->has_left) {
		if (host_voters_keeps_vote(host) &&
		    host_now_ms() < hand_over->vote_until_ms)
			return;
		hand_over->has_left = true;
		membership_leave(&host->membership);
	}
	if (!is_handed_over(host))
		return;
	timer_cancel(&host->timers, &hand_over->timer);
	mailbox_complete(&host->mailbox, hand_over->call, ERROR_NONE);
}

/* Returns true when this host no longer leads and all its grants have
 * expired. */
static bool
is_handed_over(struct host *host)
{
	if (host->has_disk && consensus_is_leader(&host->consensus))
		return false;
	return host_now_ms() >= grant_owner_grants_end(&host->capacity.owner);
}
