#include "announcer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/monotonic_clock.h"
#include "protocol/announcement.h"

#define POST_TIMEOUT_MS	       2000L /* Limit for a request to a host. */
#define CONNECT_TIMEOUT_MS     500L  /* Limit for connecting to a host. */
#define CACHE_EVENTS_PER_BATCH 64    /* Most cache events in a request. */
#define PERCENT		       100u

static void *run_announcer(void *context);
static bool wait_for_stop(struct announcer *announcer, int64_t until_ms);
static void stop_thread(struct announcer *announcer);
static bool announce(struct announcer *announcer);
static bool renew(struct announcer *announcer);
static void take_sample(struct announcer *announcer);
static bool find_lagged_load(
    struct announcer *announcer, struct upstream_load *load);
static void publish_cache_events(struct announcer *announcer);
static bool post(struct announcer *announcer, const char *verb, json_t *body);
static size_t discard_reply(
    char *bytes, size_t size, size_t count, void *context);

bool
announcer_init(struct announcer *announcer,
    const struct standin_settings *settings, struct engine *engine)
{
	pthread_condattr_t attributes;

	memset(announcer, 0, sizeof(*announcer));
	announcer->settings = settings;
	announcer->engine = engine;
	announcer->record = settings->record;
	random_init(&announcer->random, settings->seed);
	announcer->curl = curl_easy_init();
	pthread_mutex_init(&announcer->lock, NULL);
	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(&announcer->stop_condition, &attributes);
	pthread_condattr_destroy(&attributes);
	if (announcer->curl == NULL)
		return false;
	if (settings->host_count == 0)
		return true;
	announcer->running = pthread_create(&announcer->thread, NULL,
				 run_announcer, announcer) == 0;
	return announcer->running;
}

void
announcer_leave(struct announcer *announcer, bool gone)
{
	struct upstream_leave leave;
	uint32_t hosts_tried;

	stop_thread(announcer);
	memset(&leave, 0, sizeof(leave));
	memcpy(leave.name, announcer->record.name, sizeof(leave.name));
	leave.incarnation = announcer->record.incarnation;
	leave.sequence = ++announcer->record.sequence;
	leave.gone = gone;
	for (hosts_tried = 0; hosts_tried < announcer->settings->host_count;
	     hosts_tried++) {
		if (post(announcer, "leave", leave_write(&leave)))
			return;
		announcer->host_index = (announcer->host_index + 1) %
					announcer->settings->host_count;
	}
}

void
announcer_finish(struct announcer *announcer)
{
	stop_thread(announcer);
	if (announcer->curl != NULL)
		curl_easy_cleanup(announcer->curl);
	pthread_cond_destroy(&announcer->stop_condition);
	pthread_mutex_destroy(&announcer->lock);
}

static void *
run_announcer(void *context)
{
	struct announcer *announcer = context;
	const struct standin_settings *settings = announcer->settings;
	int64_t next_ms;
	bool accepted;

	next_ms = clock_monotonic_ms();
	do {
		take_sample(announcer);
		accepted = announcer->announced ? renew(announcer)
						: announce(announcer);
		if (!accepted)
			announcer->host_index =
			    (announcer->host_index + 1) % settings->host_count;
		announcer->announced = accepted;
		if (accepted)
			publish_cache_events(announcer);
		next_ms += settings->renew_ms;
		if (next_ms < clock_monotonic_ms())
			next_ms = clock_monotonic_ms();
	} while (!wait_for_stop(announcer, next_ms));
	return NULL;
}

/* Waits until the given time on the monotonic clock; returns true if the thread
 * must stop. */
static bool
wait_for_stop(struct announcer *announcer, int64_t until_ms)
{
	struct timespec until;
	bool stopping;

	until = clock_timespec(until_ms);
	pthread_mutex_lock(&announcer->lock);
	while (!announcer->stopping) {
		if (pthread_cond_timedwait(&announcer->stop_condition,
			&announcer->lock, &until) != 0)
			break;
	}
	stopping = announcer->stopping;
	pthread_mutex_unlock(&announcer->lock);
	return stopping;
}

static void
stop_thread(struct announcer *announcer)
{
	if (!announcer->running)
		return;
	pthread_mutex_lock(&announcer->lock);
	announcer->stopping = true;
	pthread_cond_broadcast(&announcer->stop_condition);
	pthread_mutex_unlock(&announcer->lock);
	pthread_join(announcer->thread, NULL);
	announcer->running = false;
}

static bool
announce(struct announcer *announcer)
{
	announcer->record.sequence++;
	return post(
	    announcer, "announce", announcement_write(&announcer->record));
}

static bool
renew(struct announcer *announcer)
{
	struct upstream_renewal renewal;

	memset(&renewal, 0, sizeof(renewal));
	memcpy(renewal.name, announcer->record.name, sizeof(renewal.name));
	renewal.incarnation = announcer->record.incarnation;
	renewal.has_load = find_lagged_load(announcer, &renewal.load);
	if (renewal.has_load)
		renewal.load.sequence = ++announcer->load_sequence;
	return post(announcer, "renew", renewal_write(&renewal));
}

static void
take_sample(struct announcer *announcer)
{
	struct load_sample *sample;

	sample = &announcer->samples[announcer->sample_count %
				     ANNOUNCER_LOAD_SAMPLES_MAX];
	engine_get_load(announcer->engine, &sample->load);
	sample->sampled_ms = clock_monotonic_ms();
	announcer->sample_count++;
}

/* Gets the newest load sample that is at least load_lag_ms old; returns false
 * if there is none. */
static bool
find_lagged_load(struct announcer *announcer, struct upstream_load *load)
{
	const struct load_sample *sample;
	uint64_t samples_back;
	int64_t age_ms;

	for (samples_back = 1; samples_back <= announcer->sample_count &&
			       samples_back <= ANNOUNCER_LOAD_SAMPLES_MAX;
	     samples_back++) {
		sample =
		    &announcer
			 ->samples[(announcer->sample_count - samples_back) %
				   ANNOUNCER_LOAD_SAMPLES_MAX];
		age_ms = clock_monotonic_ms() - sample->sampled_ms;
		if (age_ms < announcer->settings->load_lag_ms)
			continue;
		*load = sample->load;
		load->age_ms = age_ms;
		return true;
	}
	return false;
}

/* Sends the cache events that are at least cache_event_lag_ms old, without
 * those that are chosen to be lost. */
static void
publish_cache_events(struct announcer *announcer)
{
	const struct standin_settings *settings = announcer->settings;
	struct cache_event_batch *batch;
	uint32_t count;
	uint32_t i;

	batch = calloc(1, sizeof(*batch));
	if (batch == NULL)
		return;
	batch->incarnation = announcer->record.incarnation;
	count = engine_take_cache_events(announcer->engine,
	    clock_monotonic_ms() - settings->cache_event_lag_ms, batch->items,
	    CACHE_EVENTS_PER_BATCH);
	for (i = 0; i < count; i++) {
		if (random_below(&announcer->random, PERCENT) >=
		    settings->cache_event_loss)
			batch->items[batch->count++] = batch->items[i];
	}
	if (batch->count > 0)
		post(announcer, "cache-events",
		    cache_events_write(announcer->record.name, batch));
	free(batch);
}

/* Sends a request to the current host and releases the body. Returns true if
 * the host answered with status 200. */
static bool
post(struct announcer *announcer, const char *verb, json_t *body)
{
	char url[URL_SIZE_MAX + NAME_SIZE_MAX];
	struct curl_slist *headers;
	char *text;
	long status;
	bool accepted;

	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	if (text == NULL)
		return false;
	snprintf(url, sizeof(url), "%s/upstream/v1/%s",
	    announcer->settings->hosts[announcer->host_index], verb);
	headers = curl_slist_append(NULL, "Content-Type: application/json");
	curl_easy_setopt(announcer->curl, CURLOPT_URL, url);
	curl_easy_setopt(announcer->curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(announcer->curl, CURLOPT_PROXY, "");
	curl_easy_setopt(announcer->curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(announcer->curl, CURLOPT_POSTFIELDS, text);
	curl_easy_setopt(announcer->curl, CURLOPT_WRITEFUNCTION, discard_reply);
	curl_easy_setopt(
	    announcer->curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(announcer->curl, CURLOPT_TIMEOUT_MS, POST_TIMEOUT_MS);
	accepted = curl_easy_perform(announcer->curl) == CURLE_OK;
	status = 0;
	curl_easy_getinfo(announcer->curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_setopt(announcer->curl, CURLOPT_HTTPHEADER, NULL);
	curl_slist_free_all(headers);
	free(text);
	return accepted && status == 200;
}

/* Keeps curl from writing the host's answer to standard output. */
static size_t
discard_reply(char *bytes, size_t size, size_t count, void *context)
{
	(void)bytes;
	(void)context;
	return size * count;
}
