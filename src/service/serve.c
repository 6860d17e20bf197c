#include "service/serve.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "api/api.h"
#include "base/build_name.h"
#include "base/event_log.h"
#include "host/host.h"
#include "state/state_level.h"

/* Most log lines a second about successes; failures are always logged. */
#define SUCCESS_LOG_LINES_PER_S_MAX 400

/* The HTTP port stays open this long after /readyz has turned to 503, so that
 * the load balancer stops sending requests before the port closes. */
#define READINESS_NOTICE_US 1500000ul
/* Time for the requests that the end of the grace time ends to notice it, and
 * for their answers to be sent. */
#define LAST_ANSWERS_MS 1500

static const struct http_route routes[] = {
    {"POST", "/v1/completions", api_completions},
    {"POST", "/v1/chat/completions", api_chat_completions},
    {"POST", "/v1/services/:service/*", api_service_call},
    {"POST", "/upstream/v1/announce", api_announce},
    {"POST", "/upstream/v1/renew", api_renew},
    {"POST", "/upstream/v1/leave", api_leave},
    {"POST", "/upstream/v1/cache-events", api_cache_events},
    {"GET", "/operator/v1/status", api_status},
    {"GET", "/operator/v1/upstreams", api_upstreams},
    {"GET", "/operator/v1/config", api_config_get},
    {"POST", "/operator/v1/config", api_config_change},
    {"GET", "/operator/v1/hosts", api_hosts},
    {"POST", "/operator/v1/voters", api_voters},
    {"GET", "/operator/v1/quarantine", api_quarantine},
    {"POST", "/operator/v1/quarantine", api_quarantine_release},
    {"GET", "/operator/v1/orders", api_orders},
    {"POST", "/operator/v1/orders", api_order_submit},
    {"POST", "/operator/v1/override", api_override},
    {"GET", "/healthz", api_healthz},
    {"GET", "/readyz", api_readyz},
    {"GET", "/metrics", api_metrics},
};

static void block_signals(sigset_t *signals);
static enum error_code start_http(
    struct http_server *server, struct host *host);
static enum event_level parse_log_level(const char *name);
static void stop_host(struct host *host, struct http_server *server);

enum error_code
serve_run(const struct settings *settings)
{
	struct http_server *server;
	enum error_code error;
	struct host *host;
	sigset_t signals;
	int signal_number;

	/* Threads inherit the signal mask, so the signals are blocked before
	 * the first thread starts; only sigwait() receives them. */
	block_signals(&signals);
	event_log_setup(
	    settings->host_id, parse_log_level(settings->log_level));
	event_log_start(SUCCESS_LOG_LINES_PER_S_MAX);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	host = calloc(1, sizeof(*host));
	server = calloc(1, sizeof(*server));
	if (host == NULL || server == NULL) {
		error = ERROR_NO_MEMORY;
		goto free_memory;
	}
	error = host_init(host, settings, NULL, NULL);
	if (error != ERROR_NONE) {
		event_log_write(EVENT_LISTEN_FAILED, "%s", error_name(error));
		goto free_memory;
	}
	error = start_http(server, host);
	if (error != ERROR_NONE) {
		event_log_write(EVENT_LISTEN_FAILED, "HTTP port %u: %s",
		    settings->http_port, error_name(error));
		host_finish(host);
		goto free_memory;
	}
	event_log_write(EVENT_HOST_STARTED,
	    "%s http %s:%u peers %s:%u, build %s, level %u",
	    settings->host_name, settings->http_address, settings->http_port,
	    settings->peer_address, settings->peer_port, build_name(),
	    (unsigned)STATE_LEVEL_LATEST);
	sigwait(&signals, &signal_number);
	stop_host(host, server);
free_memory:
	free(server);
	free(host);
	curl_global_cleanup();
	event_log_finish();
	return error;
}

static void
block_signals(sigset_t *signals)
{
	sigemptyset(signals);
	sigaddset(signals, SIGTERM);
	sigaddset(signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, signals, NULL);
	signal(SIGPIPE, SIG_IGN);
}

static enum error_code
start_http(struct http_server *server, struct host *host)
{
	struct http_server_settings settings = {0};

	snprintf(settings.address, sizeof(settings.address), "%s",
	    host->settings.http_address);
	settings.port = (uint16_t)host->settings.http_port;
	settings.body_size_max = host->settings.body_bytes_max;
	return http_server_init(server, &settings, routes,
	    sizeof(routes) / sizeof(routes[0]), host);
}

static enum event_level
parse_log_level(const char *name)
{
	enum event_level level;

	for (level = EVENT_LEVEL_ERROR; level < EVENT_LEVEL_DEBUG; level++) {
		if (strcmp(event_level_name(level), name) == 0)
			return level;
	}
	return EVENT_LEVEL_DEBUG;
}

/* Stops in order: /readyz reports 503 and new requests are refused, then new
 * connections, and running requests may end within the grace time. At its end
 * the others get their errors. */
static void
stop_host(struct host *host, struct http_server *server)
{
	int64_t end_ms;

	event_log_write(EVENT_HOST_STOPPING, "%u requests running",
	    atomic_load(&host->running_requests));
	host_drain(host);
	g_usleep(READINESS_NOTICE_US);
	end_ms = host_now_ms() + host->settings.stop_grace_ms;
	atomic_store(&host->requests_end_ms, end_ms);
	if (http_server_drain(server, end_ms + LAST_ANSWERS_MS) != ERROR_NONE)
		event_log_write(EVENT_HOST_STOPPING,
		    "requests aborted at the end of the grace time: %u",
		    atomic_load(&host->running_requests));
	http_server_finish(server);
	host_finish(host);
	event_log_write(EVENT_HOST_STOPPED, "%s", "");
}
