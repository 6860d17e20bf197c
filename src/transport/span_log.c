#include "transport/span_log.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/monotonic_clock.h"

#define HEX_SIZE(bytes) (2 * (bytes) + 1) /* Hex digits and NUL. */

static void *run_writer(void *context);
static bool is_empty(struct span_log *log);
static bool pop_span(struct span_log *log, struct span *span);
static void write_line(struct span_log *log, const struct span *span);
static void write_hex(const uint8_t *bytes, size_t size, char *text);

enum error_code
span_log_init(
    struct span_log *log, const char *path, uint32_t host_id, uint32_t capacity)
{
	memset(log, 0, sizeof(*log));
	log->host_id = host_id;
	if (path[0] == '\0')
		return ERROR_NONE;
	if (capacity == 0)
		return ERROR_INVALID_ARGUMENT;
	log->capacity = capacity;
	log->ring = calloc(capacity, sizeof(*log->ring));
	if (log->ring == NULL)
		return ERROR_NO_MEMORY;
	log->file = fopen(path, "ae");
	if (log->file == NULL)
		goto free_ring;
	pthread_mutex_init(&log->lock, NULL);
	pthread_cond_init(&log->changed, NULL);
	if (pthread_create(&log->writer, NULL, run_writer, log) != 0)
		goto close_file;
	return ERROR_NONE;

close_file:
	pthread_cond_destroy(&log->changed);
	pthread_mutex_destroy(&log->lock);
	fclose(log->file);
	log->file = NULL;
free_ring:
	free(log->ring);
	log->ring = NULL;
	return ERROR_IO;
}

void
span_log_finish(struct span_log *log)
{
	if (log->file == NULL)
		return;
	pthread_mutex_lock(&log->lock);
	log->stopping = true;
	pthread_cond_broadcast(&log->changed);
	pthread_mutex_unlock(&log->lock);
	pthread_join(log->writer, NULL);
	pthread_cond_destroy(&log->changed);
	pthread_mutex_destroy(&log->lock);
	fclose(log->file);
	free(log->ring);
	log->file = NULL;
	log->ring = NULL;
}

void
span_start(
    struct span *span, const char *name, const struct trace_context *parent)
{
	memset(span, 0, sizeof(*span));
	if (parent == NULL) {
		trace_context_start(&span->context);
	} else {
		trace_context_child(parent, &span->context);
		memcpy(span->parent_id, parent->span_id, SPAN_ID_SIZE);
	}
	g_strlcpy(span->name, name, sizeof(span->name));
	span->start_us = clock_wall_us();
	span->start_monotonic_us = clock_monotonic_us();
}

void
span_set_attribute(struct span *span, const char *key, const char *value)
{
	struct span_attribute *attribute;

	if (span->attribute_count == SPAN_ATTRIBUTES_MAX)
		return;
	attribute = &span->attributes[span->attribute_count++];
	g_strlcpy(attribute->key, key, sizeof(attribute->key));
	g_strlcpy(attribute->value, value, sizeof(attribute->value));
}

void
span_set_attribute_number(struct span *span, const char *key, int64_t value)
{
	char text[SPAN_TEXT_SIZE];

	snprintf(text, sizeof(text), "%" PRId64, value);
	span_set_attribute(span, key, text);
}

void
span_end(struct span_log *log, struct span *span, const char *outcome)
{
	g_strlcpy(span->outcome, outcome, sizeof(span->outcome));
	span->duration_us = clock_monotonic_us() - span->start_monotonic_us;
	if (log->file == NULL)
		return;
	pthread_mutex_lock(&log->lock);
	if (log->count == log->capacity || log->stopping) {
		atomic_fetch_add(&log->dropped, 1);
	} else {
		log->ring[(log->first + log->count) % log->capacity] = *span;
		log->count++;
		pthread_cond_signal(&log->changed);
	}
	pthread_mutex_unlock(&log->lock);
}

static void *
run_writer(void *context)
{
	struct span_log *log = context;
	struct span span;

	while (pop_span(log, &span)) {
		write_line(log, &span);
		/* Flushed without holding the lock, so that span_end() never
		 * waits for the disk. */
		if (is_empty(log))
			fflush(log->file);
	}
	return NULL;
}

static bool
is_empty(struct span_log *log)
{
	bool empty;

	pthread_mutex_lock(&log->lock);
	empty = log->count == 0;
	pthread_mutex_unlock(&log->lock);
	return empty;
}

/* Removes the oldest span and waits for one if there is none. Returns false if
 * the log is stopping and no span is left. */
static bool
pop_span(struct span_log *log, struct span *span)
{
	bool taken;

	taken = false;
	pthread_mutex_lock(&log->lock);
	while (log->count == 0 && !log->stopping)
		pthread_cond_wait(&log->changed, &log->lock);
	if (log->count > 0) {
		*span = log->ring[log->first];
		log->first = (log->first + 1) % log->capacity;
		log->count--;
		taken = true;
	}
	pthread_mutex_unlock(&log->lock);
	return taken;
}

static void
write_line(struct span_log *log, const struct span *span)
{
	static const uint8_t no_parent[SPAN_ID_SIZE];
	char trace_id[HEX_SIZE(TRACE_ID_SIZE)];
	char span_id[HEX_SIZE(SPAN_ID_SIZE)];
	char parent_id[HEX_SIZE(SPAN_ID_SIZE)];
	json_t *attributes;
	json_t *line;
	uint32_t i;

	write_hex(span->context.trace_id, TRACE_ID_SIZE, trace_id);
	write_hex(span->context.span_id, SPAN_ID_SIZE, span_id);
	write_hex(span->parent_id, SPAN_ID_SIZE, parent_id);
	if (memcmp(span->parent_id, no_parent, SPAN_ID_SIZE) == 0)
		parent_id[0] = '\0';
	attributes = json_object();
	for (i = 0; i < span->attribute_count; i++)
		json_object_set_new(attributes, span->attributes[i].key,
		    json_string(span->attributes[i].value));
	line = json_pack("{s:s, s:s, s:s, s:s, s:i, s:I, s:I, s:s, s:o}",
	    "trace_id", trace_id, "span_id", span_id, "parent_id", parent_id,
	    "name", span->name, "host", (int)log->host_id, "start_us",
	    (json_int_t)span->start_us, "duration_us",
	    (json_int_t)span->duration_us, "outcome", span->outcome,
	    "attributes", attributes);
	/* json_pack() fails if a text is not valid UTF-8; the span is then
	 * counted as dropped. */
	if (line == NULL || json_dumpf(line, log->file, JSON_COMPACT) != 0 ||
	    fputc('\n', log->file) == EOF)
		atomic_fetch_add(&log->dropped, 1);
	else
		atomic_fetch_add(&log->written, 1);
	json_decref(line);
}

static void
write_hex(const uint8_t *bytes, size_t size, char *text)
{
	size_t i;

	for (i = 0; i < size; i++)
		snprintf(text + 2 * i, 3, "%02x", bytes[i]);
}
