/**
 * @file main.c
 * chicorytack-standin: simulates an inference engine or a plain service, as an
 * upstream for tests and benches.
 *
 * SIGUSR1 makes the engine cold. SIGTERM and SIGINT end the process after its
 * running work.
 */
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <curl/curl.h>

#include "announcer.h"
#include "base/event_log.h"
#include "base/monotonic_clock.h"
#include "standin_http.h"

#define DRAIN_POLL_PERIOD_US 10000 /* Period of checks for running work. */
#define HTTP_DRAIN_MS	     2000  /* Time to send the last answers. */

static bool start(struct standin *standin, struct http_server *server,
    struct announcer *announcer);
static void handle_signals(struct standin *standin, const sigset_t *signals);
static void stop(struct standin *standin, struct http_server *server,
    struct announcer *announcer);
static uint32_t count_active(struct standin *standin);

int
main(int count, char **arguments)
{
	struct standin *standin;
	struct http_server server;
	struct announcer announcer;
	sigset_t signals;

	standin = calloc(1, sizeof(*standin));
	if (standin == NULL)
		return EXIT_FAILURE;
	if (!standin_settings_parse(&standin->settings, count, arguments)) {
		free(standin);
		return EXIT_FAILURE;
	}
	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	sigaddset(&signals, SIGUSR1);
	sigprocmask(SIG_BLOCK, &signals, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (!start(standin, &server, &announcer)) {
		fprintf(stderr, "cannot start the stand-in on %s:%u\n",
		    standin->settings.address, standin->settings.port);
		_exit(EXIT_FAILURE);
	}
	handle_signals(standin, &signals);
	stop(standin, &server, &announcer);
	free(standin);
	curl_global_cleanup();
	return EXIT_SUCCESS;
}

static bool
start(struct standin *standin, struct http_server *server,
    struct announcer *announcer)
{
	const struct standin_settings *settings = &standin->settings;
	struct http_server_settings listen;

	event_log_setup(0, EVENT_LEVEL_INFO);
	if (!run_log_init(&standin->run_log, settings->run_log))
		return false;
	if (!engine_init(&standin->engine, settings, &standin->run_log))
		return false;
	plain_service_init(&standin->service, settings, &standin->run_log);
	order_book_init(&standin->orders, settings->record.honours_fencing,
	    settings->order_ms);
	stray_answers_init(&standin->stray, settings);
	memset(&listen, 0, sizeof(listen));
	memcpy(listen.address, settings->address, sizeof(listen.address));
	listen.port = settings->port;
	if (http_server_init(server, &listen, standin_routes,
		standin_route_count, standin) != ERROR_NONE)
		return false;
	event_log_write(EVENT_STANDIN_STARTED, "name=%s url=%s",
	    settings->record.name, settings->record.url);
	return announcer_init(announcer, settings, &standin->engine);
}

/* Returns when the process is told to end. */
static void
handle_signals(struct standin *standin, const sigset_t *signals)
{
	int signal_number;

	while (sigwait(signals, &signal_number) == 0) {
		if (signal_number != SIGUSR1)
			break;
		engine_turn_cold(&standin->engine);
	}
}

/* Stops in this order: tells a host that the upstream is draining, refuses new
 * work, waits up to drain_ms for running work, and tells a host that it has
 * stopped. */
static void
stop(struct standin *standin, struct http_server *server,
    struct announcer *announcer)
{
	int64_t deadline_ms;

	deadline_ms = clock_monotonic_ms() + standin->settings.drain_ms;
	announcer_leave(announcer, false);
	engine_drain(&standin->engine);
	plain_service_drain(&standin->service);
	while (count_active(standin) > 0 && clock_monotonic_ms() < deadline_ms)
		usleep(DRAIN_POLL_PERIOD_US);
	http_server_drain(server, clock_monotonic_ms() + HTTP_DRAIN_MS);
	announcer_leave(announcer, true);
	announcer_finish(announcer);
	http_server_finish(server);
	stray_answers_finish(&standin->stray);
	order_book_finish(&standin->orders);
	plain_service_finish(&standin->service);
	engine_finish(&standin->engine);
	run_log_finish(&standin->run_log);
}

static uint32_t
count_active(struct standin *standin)
{
	return engine_active_count(&standin->engine) +
	       plain_service_active_count(&standin->service);
}
