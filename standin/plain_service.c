#include "plain_service.h"

#include <string.h>
#include <unistd.h>

#include "base/event_log.h"
#include "base/monotonic_clock.h"

#define CRASH_EXIT_STATUS 9 /* Exit status after a call with crash marker. */

static uint64_t count_run(struct plain_service *service, const char *key);

void
plain_service_init(struct plain_service *service,
    const struct standin_settings *settings, struct run_log *run_log)
{
	memset(service, 0, sizeof(*service));
	service->settings = settings;
	service->run_log = run_log;
	service->runs_by_key =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	pthread_mutex_init(&service->lock, NULL);
}

void
plain_service_finish(struct plain_service *service)
{
	g_hash_table_destroy(service->runs_by_key);
	pthread_mutex_destroy(&service->lock);
}

void
plain_service_drain(struct plain_service *service)
{
	pthread_mutex_lock(&service->lock);
	service->draining = true;
	pthread_mutex_unlock(&service->lock);
}

uint64_t
plain_service_run(struct plain_service *service, const char *key,
    uint64_t request_id, uint32_t attempt, bool crashes)
{
	uint64_t run;

	pthread_mutex_lock(&service->lock);
	if (service->draining ||
	    service->active_calls >=
		service->settings->record.limits.warm_requests) {
		service->refused_calls++;
		pthread_mutex_unlock(&service->lock);
		return 0;
	}
	run = count_run(service, key);
	service->active_calls++;
	service->peak_calls = MAX(service->peak_calls, service->active_calls);
	run_log_write(service->run_log, key, request_id, attempt);
	pthread_mutex_unlock(&service->lock);
	if (crashes) {
		event_log_write(EVENT_STANDIN_CRASHED,
		    "name=%s call contains the crash marker",
		    service->settings->record.name);
		_exit(CRASH_EXIT_STATUS);
	}
	usleep(service->settings->service_ms * 1000);
	pthread_mutex_lock(&service->lock);
	service->active_calls--;
	pthread_mutex_unlock(&service->lock);
	return run;
}

uint32_t
plain_service_active_count(struct plain_service *service)
{
	uint32_t active;

	pthread_mutex_lock(&service->lock);
	active = service->active_calls;
	pthread_mutex_unlock(&service->lock);
	return active;
}

json_t *
plain_service_counters_json(struct plain_service *service)
{
	GHashTableIter iterator;
	gpointer key;
	gpointer value;
	json_t *keys;
	json_t *answer;

	keys = json_object();
	pthread_mutex_lock(&service->lock);
	g_hash_table_iter_init(&iterator, service->runs_by_key);
	while (g_hash_table_iter_next(&iterator, &key, &value))
		json_object_set_new(
		    keys, key, json_integer(GPOINTER_TO_INT(value)));
	answer = json_pack("{s:I, s:I, s:I, s:I, s:I, s:o}", "runs",
	    (json_int_t)service->run_count, "refused",
	    (json_int_t)service->refused_calls, "active",
	    (json_int_t)service->active_calls, "peak_requests",
	    (json_int_t)service->peak_calls, "last_run_age_ms",
	    (json_int_t)(service->run_count == 0
			     ? -1
			     : clock_monotonic_ms() - service->last_run_ms),
	    "runs_by_key", keys);
	pthread_mutex_unlock(&service->lock);
	return answer;
}

/* Counts a run and returns the number of runs with the key, or 1 if there is no
 * key. */
static uint64_t
count_run(struct plain_service *service, const char *key)
{
	int runs;

	service->run_count++;
	service->last_run_ms = clock_monotonic_ms();
	if (key == NULL || *key == '\0')
		return 1;
	runs =
	    GPOINTER_TO_INT(g_hash_table_lookup(service->runs_by_key, key)) + 1;
	g_hash_table_replace(
	    service->runs_by_key, g_strdup(key), GINT_TO_POINTER(runs));
	return (uint64_t)runs;
}
