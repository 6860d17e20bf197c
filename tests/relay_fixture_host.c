/*
 * What the relay under test needs of its host: the coordination thread with its
 * work reports, and the tables of suspected requests and prompt parts. Hosts that
 * are linked send their reports to each other's mailbox.
 */
#include <stdio.h>
#include <stdlib.h>

#include "host/host_reports.h"
#include "host/mailbox.h"
#include "relay_fixture.h"
#include "relay_fixture_host.h"
#include "state/upstream.h"

/* A message from another host. */
struct received_message {
	uint32_t from_host;
	GBytes *bytes;
};

static void commit_at_once(
    void *context, const struct quarantine_entry *entries, uint32_t count);
static void commit_no_parts(void *context, uint64_t id, enum command_type type,
    const struct command_parts *parts);
static bool is_never_trial_host(void *context, uint64_t part);
static void *run_coordinator(void *argument);
static void run_received(void *coordinator, struct mailbox_call *call);
static void clear_received(void *body);
static void send_to_peer(void *context, uint32_t host_id,
    enum peer_channel channel, const void *body, size_t size);
static uint32_t list_peer(
    void *context, struct report_peer *peers, uint32_t max);
static void on_work_report(void *context, uint32_t from_host, const void *body,
    size_t size, int64_t age_ms);
static void set_peer(struct relay_fixture *fixture, struct relay_fixture *peer);

void
relay_fixture_start_host(struct relay_fixture *fixture)
{
	struct report_exchange_settings reports = {.host_id = fixture->host_id};
	struct report_exchange_ops report_ops = {.list_peers = list_peer,
	    .on_report = on_work_report,
	    .context = fixture};
	struct peer_port port = {.send = send_to_peer, .context = fixture};
	struct quarantine_settings settings = quarantine_default_settings();
	struct host *host = fixture->host;
	struct quarantine_ops ops = {.commit = commit_at_once, .context = host};
	struct part_suspects_ops part_ops = {.commit = commit_no_parts,
	    .is_trial_host = is_never_trial_host,
	    .context = host};

	timer_init_clock(&host->timers, 64, host_clock());
	host->work_watch.on_received = on_work_report;
	host->work_watch.context = fixture;
	report_exchange_init(
	    &host->reports, &reports, &host->timers, 1, port, report_ops);
	if (host_suspects_init(host) != ERROR_NONE)
		abort();
	part_suspects_finish(&host->part_suspects);
	quarantine_finish(&host->quarantine);
	if (part_suspects_init(
		&host->part_suspects, &part_ops, &host->timers) != ERROR_NONE)
		abort();
	if (quarantine_init(&host->quarantine, &settings, &ops,
		&host->timers) != ERROR_NONE)
		abort();
	pthread_create(&fixture->coordinator, NULL, run_coordinator, fixture);
}

void
relay_fixture_stop_host(struct relay_fixture *fixture)
{
	atomic_store(&fixture->is_stopping, true);
	pthread_join(fixture->coordinator, NULL);
}

void
relay_fixture_finish_host(struct relay_fixture *fixture)
{
	host_suspects_finish(fixture->host);
	report_exchange_finish(&fixture->host->reports);
	timer_finish(&fixture->host->timers);
}

void
relay_fixture_announce(struct relay_fixture *fixture, uint32_t index)
{
	struct scripted_upstream *upstream = &fixture->upstreams[index];
	struct upstream_record record = {0};

	record.incarnation = atomic_load(&upstream->incarnation);
	if (record.incarnation == upstream->known_incarnation)
		return;
	upstream->known_incarnation = record.incarnation;
	snprintf(record.name, sizeof(record.name), "%s", upstream->name);
	record.id = upstream_id(record.name);
	record.sequence = 1;
	record.kind = UPSTREAM_KIND_SERVICE;
	record.state = UPSTREAM_STATE_ACTIVE;
	record.limits.warm_requests = 8;
	snprintf(record.url, sizeof(record.url), "127.0.0.1:%u",
	    upstream->announced_port);
	snprintf(record.data_centre, sizeof(record.data_centre), "a");
	record.label_count = 1;
	g_strlcpy(record.labels[0].key, "service", NAME_SIZE_MAX);
	g_strlcpy(record.labels[0].value, "s", NAME_SIZE_MAX);
	fleet_put_upstream(&fixture->host->fleet, &record);
}

void
relay_fixture_link(struct relay_fixture *first, struct relay_fixture *second)
{
	atomic_store(&first->host->entry_host_count, 2);
	atomic_store(&second->host->entry_host_count, 2);
	atomic_store(&second->host->entry_host_rank, 1);
	set_peer(first, second);
	set_peer(second, first);
}

void
relay_fixture_unlink(struct relay_fixture *first, struct relay_fixture *second)
{
	set_peer(first, NULL);
	set_peer(second, NULL);
}

static void
set_peer(struct relay_fixture *fixture, struct relay_fixture *peer)
{
	pthread_mutex_lock(&fixture->peer_mutex);
	fixture->peer = peer;
	pthread_mutex_unlock(&fixture->peer_mutex);
}

static void
commit_at_once(
    void *context, const struct quarantine_entry *entries, uint32_t count)
{
	struct host *host = context;
	uint32_t i;

	for (i = 0; i < count; i++)
		quarantine_record_commit(
		    &host->quarantine, entries[i].fingerprint, true);
}

/* A commit that fails is kept on the host, where it counts as well. */
static void
commit_no_parts(void *context, uint64_t id, enum command_type type,
    const struct command_parts *parts)
{
	struct host *host = context;

	(void)type;
	(void)parts;
	part_suspects_record_commit(&host->part_suspects, id, ERROR_NO_QUORUM);
}

static bool
is_never_trial_host(void *context, uint64_t part)
{
	(void)context;
	(void)part;
	return false;
}

/* What the coordination thread of a host does for its relay. */
static void *
run_coordinator(void *argument)
{
	struct relay_fixture *fixture = argument;
	struct host *host = fixture->host;
	uint32_t i;

	while (!atomic_load(&fixture->is_stopping)) {
		for (i = 0; i < RELAY_FIXTURE_UPSTREAMS; i++)
			relay_fixture_announce(fixture, i);
		mailbox_run(&host->mailbox, host);
		timer_advance(&host->timers, host_now_ms());
		host_suspects_on_loop_pass(host);
		g_usleep(2000);
	}
	return NULL;
}

static void
run_received(void *coordinator, struct mailbox_call *call)
{
	struct received_message *message = mailbox_call_body(call);
	struct host *host = coordinator;
	gconstpointer data;
	gsize size;

	data = g_bytes_get_data(message->bytes, &size);
	host_reports_receive(host, message->from_host, data, size);
	mailbox_complete(&host->mailbox, call, ERROR_NONE);
}

static void
clear_received(void *body)
{
	g_bytes_unref(((struct received_message *)body)->bytes);
}

static void
send_to_peer(void *context, uint32_t host_id, enum peer_channel channel,
    const void *body, size_t size)
{
	static const struct mailbox_ops ops = {run_received, clear_received};
	struct relay_fixture *fixture = context;
	struct received_message *message;
	struct relay_fixture *peer;
	struct mailbox_call *call;

	(void)host_id;
	(void)channel;
	pthread_mutex_lock(&fixture->peer_mutex);
	peer = fixture->peer;
	if (peer == NULL) {
		pthread_mutex_unlock(&fixture->peer_mutex);
		return;
	}
	call = mailbox_call_new(&ops, sizeof(*message));
	message = mailbox_call_body(call);
	message->from_host = fixture->host_id;
	message->bytes = g_bytes_new(body, size);
	(void)mailbox_post(&peer->host->mailbox, call);
	pthread_mutex_unlock(&fixture->peer_mutex);
}

static uint32_t
list_peer(void *context, struct report_peer *peers, uint32_t max)
{
	struct relay_fixture *fixture = context;
	uint32_t count;

	count = 0;
	pthread_mutex_lock(&fixture->peer_mutex);
	if (fixture->peer != NULL && max > 0)
		peers[count++] =
		    (struct report_peer){.host_id = fixture->peer->host_id};
	pthread_mutex_unlock(&fixture->peer_mutex);
	return count;
}

static void
on_work_report(void *context, uint32_t from_host, const void *body, size_t size,
    int64_t age_ms)
{
	struct relay_fixture *fixture = context;

	relay_receive_report(&fixture->relay, from_host, body, size, age_ms);
	atomic_fetch_add(&fixture->reports_received, 1);
}
