#include "protocol/report_batch_message.h"

#include <glib.h>

/* Keys of the fields of a batch on the wire. */
enum batch_field {
	FIELD_VERSION = 0,
	FIELD_TYPE = 1,
	FIELD_HOSTS = 2,
	FIELD_REPORTS = 3,
	FIELD_BODIES = 4,
	FIELD_COUNT
};

/* FIELD_REPORTS is a flat array of numbers: host id, sequence, age and size of
 * each report. FIELD_BODIES has the bytes of all reports, one after another. */
#define NUMBERS_PER_REPORT 4

static enum error_code read_hosts(
    const struct message_array *array, struct report_batch *batch);
static enum error_code read_reports(const struct message_array *array,
    const void *bodies, size_t size, struct report_batch *batch);
static enum error_code read_report(const struct message_array *array,
    uint32_t first, struct batched_report *report);

void
report_batch_write(
    struct message_writer *writer, const struct report_batch *batch)
{
	const struct batched_report *report;
	GByteArray *bodies;
	uint32_t i;

	bodies = g_byte_array_new();
	message_begin_map(writer, FIELD_COUNT);
	message_put_uint(writer, FIELD_VERSION, REPORT_BATCH_VERSION);
	message_put_uint(writer, FIELD_TYPE, batch->type);
	message_put_array(writer, FIELD_HOSTS, batch->host_count);
	for (i = 0; i < batch->host_count; i++)
		message_add_uint(writer, batch->host_ids[i]);
	message_put_array(
	    writer, FIELD_REPORTS, batch->report_count * NUMBERS_PER_REPORT);
	for (i = 0; i < batch->report_count; i++) {
		report = &batch->reports[i];
		message_add_uint(writer, report->host_id);
		message_add_uint(writer, report->sequence);
		message_add_uint(writer, report->age_ms);
		message_add_uint(writer, report->size);
		g_byte_array_append(bodies, report->body, (guint)report->size);
	}
	message_put_bytes(writer, FIELD_BODIES, bodies->data, bodies->len);
	g_byte_array_unref(bodies);
}

enum error_code
report_batch_read(const void *body, size_t size, struct message_reader *reader,
    struct report_batch *batch)
{
	struct message_array hosts, reports;
	enum error_code error;
	const void *bodies;
	size_t bodies_size;
	uint32_t type;

	batch->host_count = batch->report_count = 0;
	error = message_reader_init(reader, body, size);
	if (error != ERROR_NONE)
		return error;
	error = message_get_type(reader, REPORT_BATCH_VERSION, &type);
	if (error == ERROR_NONE &&
	    (type < REPORT_BATCH_COLLECT || type > REPORT_BATCH_FORWARD))
		error = ERROR_NOT_SUPPORTED;
	if (error == ERROR_NONE)
		error = message_get_array(reader, FIELD_HOSTS, &hosts);
	if (error == ERROR_NONE)
		error = message_get_array(reader, FIELD_REPORTS, &reports);
	if (error == ERROR_NONE)
		error = message_get_bytes(
		    reader, FIELD_BODIES, &bodies, &bodies_size);
	if (error == ERROR_NONE)
		error = read_hosts(&hosts, batch);
	if (error == ERROR_NONE)
		error = read_reports(&reports, bodies, bodies_size, batch);
	if (error != ERROR_NONE) {
		message_reader_finish(reader);
		return error;
	}
	batch->type = (enum report_batch_type)type;
	return ERROR_NONE;
}

static enum error_code
read_hosts(const struct message_array *array, struct report_batch *batch)
{
	enum error_code error;
	uint64_t host_id;

	if (array->count > HOSTS_MAX)
		return ERROR_TOO_LARGE;
	while (batch->host_count < array->count) {
		error =
		    message_array_get_uint(array, batch->host_count, &host_id);
		if (error != ERROR_NONE)
			return error;
		if (host_id > UINT32_MAX)
			return ERROR_TOO_LARGE;
		batch->host_ids[batch->host_count++] = (uint32_t)host_id;
	}
	return ERROR_NONE;
}

static enum error_code
read_reports(const struct message_array *array, const void *bodies, size_t size,
    struct report_batch *batch)
{
	struct batched_report *report;
	const char *next = bodies;
	enum error_code error;

	if (array->count % NUMBERS_PER_REPORT != 0)
		return ERROR_MALFORMED;
	if (array->count / NUMBERS_PER_REPORT > HOSTS_MAX)
		return ERROR_TOO_LARGE;
	while (batch->report_count < array->count / NUMBERS_PER_REPORT) {
		report = &batch->reports[batch->report_count];
		error = read_report(
		    array, batch->report_count * NUMBERS_PER_REPORT, report);
		if (error != ERROR_NONE)
			return error;
		if (report->size > size)
			return ERROR_MALFORMED;
		report->body = next;
		next += report->size;
		size -= report->size;
		batch->report_count++;
	}
	return size == 0 ? ERROR_NONE : ERROR_MALFORMED;
}

/* Reads the numbers of a report, the first of which has the index @p first. */
static enum error_code
read_report(const struct message_array *array, uint32_t first,
    struct batched_report *report)
{
	uint64_t numbers[NUMBERS_PER_REPORT];
	enum error_code error;
	uint32_t i;

	for (i = 0; i < NUMBERS_PER_REPORT; i++) {
		error = message_array_get_uint(array, first + i, &numbers[i]);
		if (error != ERROR_NONE)
			return error;
	}
	if (numbers[0] > UINT32_MAX || numbers[2] > UINT32_MAX)
		return ERROR_TOO_LARGE;
	report->host_id = (uint32_t)numbers[0];
	report->sequence = numbers[1];
	report->age_ms = (uint32_t)numbers[2];
	report->size = numbers[3];
	return ERROR_NONE;
}
