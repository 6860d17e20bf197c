#include "api/api.h"

/* Sets the gauges that are computed at each scrape of /metrics. */
static void set_gauges(struct host *host);

void
api_healthz(void *context, struct http_exchange *exchange)
{
	(void)context;
	http_reply_json(exchange, 200, json_pack("{s:b}", "ok", 1));
}

void
api_readyz(void *context, struct http_exchange *exchange)
{
	struct host *host = context;
	bool is_ready;

	is_ready = host_may_start(host) && !atomic_load(&host->is_draining);
	http_reply_json(exchange, is_ready ? 200 : 503,
	    json_pack("{s:b,s:s}", "ready", is_ready, "reason",
		is_ready ? "ready"
		: atomic_load(&host->is_draining)
		    ? "stopping"
		    : error_name(ERROR_LEASE_EXPIRED)));
}

void
api_metrics(void *context, struct http_exchange *exchange)
{
	struct host *host = context;
	GString *out;

	set_gauges(host);
	out = g_string_new(NULL);
	metrics_write(&host->metrics.registry, out);
	http_reply(
	    exchange, 200, "text/plain; version=0.0.4", out->str, out->len);
	g_string_free(out, TRUE);
}

static void
set_gauges(struct host *host)
{
	struct request_metrics *metrics = &host->metrics;

	request_metrics_set_gauge(
	    metrics, "requests_running", atomic_load(&host->running_requests));
	request_metrics_set_gauge(
	    metrics, "requests_waiting", atomic_load(&host->wait_line.waiting));
	request_metrics_set_gauge(metrics, "may_start", host_may_start(host));
	request_metrics_set_gauge(metrics, "spans_dropped",
	    (int64_t)atomic_load(&host->spans.dropped));
	request_metrics_set_gauge(metrics, "upstream_attempts",
	    upstream_http_running(&host->upstreams_http));
}
