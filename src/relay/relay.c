#include "relay/relay.h"

#include <arpa/inet.h>
#include <string.h>

#include <sodium.h>

#include "base/event_log.h"
#include "host/host_reports.h"
#include "relay/relay_parts.h"

/* Largest number of timers of the loop's thread. */
#define TIMERS_MAX 65536
/* Connections that the kernel queues until they are accepted. */
#define LISTEN_BACKLOG 1024
/* Share of the retry slack that the hosts use together. The rest is a reserve
 * for moments when hosts join or leave and disagree about their number. */
#define RETRY_SLACK_SHARE 0.8
/* Largest number of upstreams taken over from a fleet view. */
#define VIEW_UPSTREAMS_MAX 4096
/* Time after the start of a planned stop by which the load balancer has
 * noticed that this host is not ready and sends it no new connections. */
#define BALANCER_NOTICE_MS 2600
/* Period of the check for idle connections during a planned stop. */
#define IDLE_CHECK_PERIOD_MS 50
/* Shortest time between two work reports to the other hosts. */
#define REPORT_INTERVAL_MIN_MS 10
/* Period of the reports of a host without work, well below the time after which
 * the others take it for gone. */
#define FORWARDING_REPORT_MS (FORWARD_PEER_EXPIRY_MS / 3)
#define STATUS_OK	     200
#define STATUS_NOT_FOUND     404

/* Work report of another host, queued for the loop's thread. */
struct queued_report {
	uint32_t from_host;
	int64_t sent_ms; /* When it was sent, on this host's clock. */
	size_t size;
	char body[];
};

static enum error_code start_loop(struct relay *relay);
static void send_report(void *context);
static void apply_received_reports(struct relay *relay);
static void free_report(gpointer report);
static enum error_code listen_at(struct relay *relay, uv_tcp_t *listener,
    const struct relay_address *address, uv_connection_cb accept);
static void accept_caller(uv_stream_t *listener, int status);
static void accept_monitor(uv_stream_t *listener, int status);
static void accept_host(uv_stream_t *listener, int status);
static void take_forwarded(struct relay *relay);
static void report_forwarding(void *context);
static void *run_loop(void *argument);
static void on_wake(uv_async_t *wake);
static void on_prepare(uv_prepare_t *prepare);
static void on_tick(uv_timer_t *tick);
static void close_idle_callers(void *context);
static void stop_accepting(struct relay *relay);
static void end_unanswered(void *context);
static void for_each_caller(
    struct relay *relay, void (*visit)(struct relay_caller *caller));
static void close_all(struct relay *relay);
static void close_handle(uv_handle_t *handle, void *context);
static void apply_new_table(struct relay *relay);
static void apply_fleet_view(struct relay *relay);
static bool fill_record(
    const struct fleet_entry *entry, struct placement_record *record);
static void update_readiness(struct relay *relay);

enum error_code
relay_init(struct relay *relay, const struct relay_settings *settings,
    struct host *host, uint64_t seed)
{
	memset(relay, 0, sizeof(*relay));
	relay->settings = *settings;
	relay->host = host;
	timer_init_clock(&relay->timers, TIMERS_MAX, host_clock());
	random_init(&relay->random, seed);
	relay_metrics_init(relay);
	placement_init(&relay->placement, &settings->placement, seed + 1);
	relay->callers = g_hash_table_new(NULL, NULL);
	relay->pending_releases = g_hash_table_new(NULL, NULL);
	pthread_mutex_init(&relay->received_reports_mutex, NULL);
	relay->received_reports = g_ptr_array_new_with_free_func(free_report);
	relay->retry_budgets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	relay_crashes_init(relay);
	relay_probes_init(relay);
	if (uv_loop_init(&relay->loop) != 0)
		return ERROR_NO_MEMORY;
	relay->loop.data = relay;
	uv_async_init(&relay->loop, &relay->wake, on_wake);
	return ERROR_NONE;
}

enum error_code
relay_start(struct relay *relay)
{
	enum error_code error;

	error = start_loop(relay);
	if (error != ERROR_NONE)
		return error;
	if (pthread_create(&relay->thread, NULL, run_loop, relay) != 0)
		return ERROR_NO_MEMORY;
	return ERROR_NONE;
}

void
relay_drain(struct relay *relay)
{
	atomic_store(&relay->is_draining, true);
	uv_async_send(&relay->wake);
}

bool
relay_is_idle(const struct relay *relay)
{
	return atomic_load(&relay->is_idle);
}

void
relay_stop(struct relay *relay)
{
	atomic_store(&relay->is_stopping, true);
	uv_async_send(&relay->wake);
	pthread_join(relay->thread, NULL);
}

void
relay_finish(struct relay *relay)
{
	route_table_unref(atomic_exchange(&relay->next_table, NULL));
	route_table_unref(relay->table);
	g_ptr_array_unref(relay->received_reports);
	pthread_mutex_destroy(&relay->received_reports_mutex);
	upstream_pool_finish(&relay->pool);
	placement_finish(&relay->placement);
	g_hash_table_unref(relay->callers);
	g_hash_table_unref(relay->pending_releases);
	relay_crashes_finish(relay);
	relay_probes_finish(relay);
	g_hash_table_unref(relay->retry_budgets);
	timer_finish(&relay->timers);
	relay_metrics_finish(relay);
	uv_loop_close(&relay->loop);
}

void
relay_set_table(struct relay *relay, struct route_table *table)
{
	route_table_unref(atomic_exchange(&relay->next_table, table));
	uv_async_send(&relay->wake);
}

void
relay_receive_report(struct relay *relay, uint32_t from_host, const void *body,
    size_t size, int64_t age_ms)
{
	struct queued_report *report;

	report = g_malloc(sizeof(*report) + size);
	report->from_host = from_host;
	report->sent_ms = host_now_ms() - age_ms;
	report->size = size;
	memcpy(report->body, body, size);
	pthread_mutex_lock(&relay->received_reports_mutex);
	g_ptr_array_add(relay->received_reports, report);
	pthread_mutex_unlock(&relay->received_reports_mutex);
}

void
relay_schedule_report(struct relay *relay)
{
	int64_t wait_ms;

	if (!handle_equal(relay->report_timer, (struct handle){0}))
		return;
	wait_ms = relay->reported_ms + REPORT_INTERVAL_MIN_MS - host_now_ms();
	/* If no timer is free, the next change of work schedules the report. */
	(void)timer_subscribe_once(&relay->timers, MAX(wait_ms, 0),
	    (struct timer_callback){send_report, relay}, &relay->report_timer);
}

void
relay_refresh(struct relay *relay)
{
	apply_received_reports(relay);
	apply_new_table(relay);
	apply_fleet_view(relay);
	placement_set_hosts(&relay->placement,
	    atomic_load(&relay->host->entry_host_count),
	    atomic_load(&relay->host->entry_host_rank), host_now_ms());
}

double
relay_retry_slack(const struct relay *relay)
{
	return relay->settings.retry_slack * RETRY_SLACK_SHARE /
	       relay->placement.host_count;
}

struct retry_window *
relay_retry_budget(struct relay *relay, const struct route_service *service)
{
	struct retry_window *window;

	window = g_hash_table_lookup(relay->retry_budgets, service->name);
	if (window != NULL)
		return window;
	window = g_new0(struct retry_window, 1);
	retry_window_init(window, relay->settings.retry_ratio,
	    relay->settings.retry_window_ms);
	g_hash_table_insert(
	    relay->retry_budgets, g_strdup(service->name), window);
	return window;
}

void
relay_answer_monitor(struct relay_caller *caller)
{
	struct relay *relay = caller->relay;
	const char *path = caller->reader.head.target->str;
	GString *text;
	bool is_ready;

	if (strcmp(path, relay->settings.dialect.metrics_path) == 0) {
		text = g_string_new(NULL);
		relay_metrics_write(relay, text);
		relay_answer_text(caller, STATUS_OK, text);
		g_string_free(text, TRUE);
		relay_caller_done(caller);
		return;
	}
	if (strcmp(path, relay->settings.dialect.ready_path) != 0) {
		relay_answer_json(caller, STATUS_NOT_FOUND, "no such path", 0);
		relay_caller_done(caller);
		return;
	}
	update_readiness(relay);
	is_ready = atomic_load(&relay->is_ready);
	relay_answer_json(caller, is_ready ? STATUS_OK : STATUS_UNAVAILABLE,
	    is_ready ? "" : "not ready", 0);
	relay_caller_done(caller);
}

void
relay_on_caller_closed(struct relay *relay)
{
	if (relay->has_closed && g_hash_table_size(relay->callers) == 0 &&
	    g_hash_table_size(relay->pool.all) == 0)
		uv_stop(&relay->loop);
}

static enum error_code
start_loop(struct relay *relay)
{
	enum error_code error;

	upstream_pool_init(&relay->pool, &relay->loop, &relay->timers);
	uv_prepare_init(&relay->loop, &relay->prepare);
	uv_prepare_start(&relay->prepare, on_prepare);
	uv_timer_init(&relay->loop, &relay->tick);
	error = listen_at(relay, &relay->entry_listener, &relay->settings.entry,
	    accept_caller);
	if (error == ERROR_NONE)
		error = listen_at(relay, &relay->ready_listener,
		    &relay->settings.readiness, accept_monitor);
	if (error == ERROR_NONE && relay->settings.forwarded.port != 0)
		error = listen_at(relay, &relay->forwarded_listener,
		    &relay->settings.forwarded, accept_host);
	if (error == ERROR_NONE && relay->settings.forwarded.port != 0)
		take_forwarded(relay);
	return error;
}

/* Tells the other hosts where this one takes the requests that they forward,
 * also while it has no work to report. */
static void
take_forwarded(struct relay *relay)
{
	const struct relay_address *address = &relay->settings.forwarded;
	char text[UPSTREAM_ADDRESS_SIZE];

	g_snprintf(text, sizeof(text), "%s:%u", address->ip,
	    (unsigned int)address->port);
	relay->placement.forwarding.address = upstream_address_parse(text);
	randombytes_buf(&relay->placement.forwarding.token,
	    sizeof(relay->placement.forwarding.token));
	/* If no timer is free, reports of work still tell it. */
	(void)timer_subscribe_every(&relay->timers, FORWARDING_REPORT_MS,
	    (struct timer_callback){report_forwarding, relay}, NULL);
}

static void
report_forwarding(void *context)
{
	relay_schedule_report(context);
}

static enum error_code
listen_at(struct relay *relay, uv_tcp_t *listener,
    const struct relay_address *address, uv_connection_cb accept)
{
	struct sockaddr_in socket_address;

	uv_tcp_init(&relay->loop, listener);
	if (uv_ip4_addr(address->ip, address->port, &socket_address) != 0 ||
	    uv_tcp_bind(
		listener, (const struct sockaddr *)&socket_address, 0) != 0 ||
	    uv_listen((uv_stream_t *)listener, LISTEN_BACKLOG, accept) != 0) {
		event_log_write(
		    EVENT_LISTEN_FAILED, "%s:%u", address->ip, address->port);
		return ERROR_IO;
	}
	return ERROR_NONE;
}

static void
accept_caller(uv_stream_t *listener, int status)
{
	if (status == 0)
		relay_caller_accept(
		    listener->loop->data, listener, CALLER_CLIENT);
}

static void
accept_monitor(uv_stream_t *listener, int status)
{
	if (status == 0)
		relay_caller_accept(
		    listener->loop->data, listener, CALLER_MONITOR);
}

static void
accept_host(uv_stream_t *listener, int status)
{
	if (status == 0)
		relay_caller_accept(
		    listener->loop->data, listener, CALLER_HOST);
}

static void *
run_loop(void *argument)
{
	struct relay *relay = argument;

	uv_run(&relay->loop, UV_RUN_DEFAULT);
	uv_walk(&relay->loop, close_handle, NULL);
	uv_run(&relay->loop, UV_RUN_DEFAULT);
	return NULL;
}

static void
on_wake(uv_async_t *wake)
{
	struct relay *relay = wake->loop->data;

	if (atomic_load(&relay->is_stopping)) {
		close_all(relay);
		return;
	}
	relay_refresh(relay);
	if (atomic_load(&relay->is_draining) && relay->drain_started_ms == 0) {
		relay->drain_started_ms = host_now_ms();
		update_readiness(relay);
		/* Idle connections stay open until the load balancer sends no
		 * new requests to this host. */
		if (timer_subscribe_once(&relay->timers, BALANCER_NOTICE_MS,
			(struct timer_callback){close_idle_callers, relay},
			NULL) != ERROR_NONE)
			close_idle_callers(relay);
		/* If no timer is free, these requests are reset in the end. */
		(void)timer_subscribe_once(&relay->timers,
		    relay->settings.stop_finish_ms,
		    (struct timer_callback){end_unanswered, relay}, NULL);
	}
}

/* Runs before the loop waits for I/O: sets the tick to the next due timer. */
static void
on_prepare(uv_prepare_t *prepare)
{
	struct relay *relay = prepare->loop->data;
	int64_t next_ms, wait_ms;

	timer_advance(&relay->timers, host_now_ms());
	next_ms = timer_next_due_ms(&relay->timers);
	if (next_ms == TIMER_NEVER) {
		uv_timer_stop(&relay->tick);
		return;
	}
	uv_update_time(&relay->loop);
	wait_ms = MAX(next_ms - host_now_ms(), 0);
	uv_timer_start(&relay->tick, on_tick, (uint64_t)wait_ms, 0);
}

static void
on_tick(uv_timer_t *tick)
{
	struct relay *relay = tick->loop->data;

	timer_advance(&relay->timers, host_now_ms());
}

/* Closes idle connections of callers, and repeats periodically. Once no request
 * and no connection is left, the relay counts as idle and the process may end.
 * Nothing is accepted from then on: another thread ends the process some time
 * later, and would cut off a request that has come in meanwhile. */
static void
close_idle_callers(void *context)
{
	struct relay *relay = context;

	for_each_caller(relay, relay_caller_close_idle);
	if (relay->running_requests == 0 &&
	    g_hash_table_size(relay->callers) == 0) {
		stop_accepting(relay);
		atomic_store(&relay->is_idle, true);
		return;
	}
	(void)timer_subscribe_once(&relay->timers, IDLE_CHECK_PERIOD_MS,
	    (struct timer_callback){close_idle_callers, relay}, NULL);
}

/* Closes the listening sockets, so that a new caller sees at once that it has to
 * go to another host. */
static void
stop_accepting(struct relay *relay)
{
	close_handle((uv_handle_t *)&relay->entry_listener, NULL);
	close_handle((uv_handle_t *)&relay->ready_listener, NULL);
	if (relay->settings.forwarded.port != 0)
		close_handle((uv_handle_t *)&relay->forwarded_listener, NULL);
}

/* Answers the requests that a planned stop leaves no more time for. */
static void
end_unanswered(void *context)
{
	stop_accepting(context);
	for_each_caller(context, relay_caller_end_unanswered);
}

static void
for_each_caller(struct relay *relay, void (*visit)(struct relay_caller *caller))
{
	GList *callers, *link;

	callers = g_hash_table_get_keys(relay->callers);
	for (link = callers; link != NULL; link = link->next)
		visit(link->data);
	g_list_free(callers);
}

static void
close_all(struct relay *relay)
{
	if (relay->has_closed)
		return;
	relay->has_closed = true;
	for_each_caller(relay, relay_caller_reset);
	relay_holds_cancel_releases(relay);
	upstream_pool_close(&relay->pool);
	uv_stop(&relay->loop);
}

static void
close_handle(uv_handle_t *handle, void *context)
{
	(void)context;
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

/* Puts the newest route table in force, unless its version is not newer than
 * the current one: a host never returns to an older configuration. */
static void
apply_new_table(struct relay *relay)
{
	struct route_table *table;

	table = atomic_exchange(&relay->next_table, NULL);
	if (table == NULL)
		return;
	if (relay->table != NULL && table->version <= relay->table->version) {
		route_table_unref(table);
		return;
	}
	route_table_unref(relay->table);
	relay->table = table;
	event_log_write(EVENT_ROUTES_IN_FORCE,
	    "version %llu, %u routes, %u services",
	    (unsigned long long)table->version, table->routes->len,
	    table->services->len);
}

static void
apply_fleet_view(struct relay *relay)
{
	struct placement_record *records;
	const struct fleet_view *view;
	uint32_t count, i;

	view = fleet_lock(&relay->host->fleet);
	if (view->version == relay->view_version) {
		fleet_unlock(view);
		return;
	}
	relay->view_version = view->version;
	records = g_new0(struct placement_record, view->entry_count + 1);
	count = 0;
	for (i = 0; i < view->entry_count && count < VIEW_UPSTREAMS_MAX; i++) {
		if (fill_record(&view->entries[i], &records[count]))
			count++;
	}
	placement_update(&relay->placement, records, count, host_now_ms());
	fleet_unlock(view);
	g_free(records);
}

static void
send_report(void *context)
{
	struct message_writer writer;
	struct relay *relay = context;

	memset(&relay->report_timer, 0, sizeof(relay->report_timer));
	relay->reported_ms = host_now_ms();
	message_writer_init(&writer);
	placement_report_write(&relay->placement, relay->host->incarnation,
	    host_now_ms(), &writer);
	host_reports_send(
	    relay->host, message_data(&writer), message_size(&writer));
	message_writer_finish(&writer);
}

static void
apply_received_reports(struct relay *relay)
{
	const struct queued_report *report;
	enum error_code error;
	GPtrArray *reports;
	guint i;

	pthread_mutex_lock(&relay->received_reports_mutex);
	reports = relay->received_reports;
	if (reports->len == 0) {
		pthread_mutex_unlock(&relay->received_reports_mutex);
		return;
	}
	relay->received_reports = g_ptr_array_new_with_free_func(free_report);
	pthread_mutex_unlock(&relay->received_reports_mutex);
	for (i = 0; i < reports->len; i++) {
		report = g_ptr_array_index(reports, i);
		error = placement_report_receive(&relay->placement,
		    report->from_host, report->body, report->size,
		    report->sent_ms, host_now_ms());
		if (error != ERROR_NONE && error != ERROR_STALE)
			event_log_write(EVENT_PEER_REFUSED,
			    "work report of host %u: %s", report->from_host,
			    error_name(error));
	}
	g_ptr_array_unref(reports);
}

static void
free_report(gpointer report)
{
	g_free(report);
}

static bool
fill_record(const struct fleet_entry *entry, struct placement_record *record)
{
	const struct upstream_record *upstream = &entry->upstream->record;

	record->service = upstream_label(upstream, UPSTREAM_LABEL_SERVICE);
	record->address = upstream_address_parse(upstream->url);
	if (record->service == NULL || record->address == 0)
		return false;
	record->id = upstream->id;
	record->incarnation = upstream->incarnation;
	record->name = upstream->name;
	record->data_centre = upstream->data_centre;
	record->slots = upstream->limits.warm_requests;
	record->is_usable =
	    upstream->state == UPSTREAM_STATE_ACTIVE && !entry->is_taken_out;
	return true;
}

static void
update_readiness(struct relay *relay)
{
	bool is_ready;

	relay_refresh(relay);
	is_ready = relay->table != NULL && !atomic_load(&relay->is_draining);
	if (atomic_exchange(&relay->is_ready, is_ready) != is_ready)
		event_log_write(EVENT_READINESS_CHANGED, "%s",
		    is_ready ? "ready" : "not ready");
}
