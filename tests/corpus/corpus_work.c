/*
 * Samples of work reports, forwarded requests, grants and upstreams.
 */
#include <stdlib.h>
#include <string.h>

#include "corpus_parts.h"
#include "protocol/grant_message.h"
#include "protocol/upstream_message.h"
#include "protocol/work_message.h"
#if CORPUS_KNOWN & CORPUS_BATCHES
#include "protocol/report_batch_message.h"
#endif
#if CORPUS_KNOWN & CORPUS_FORWARDING
#include <glib.h>

#include "protocol/forward_message.h"
#endif

#define UPSTREAM_ID 0xfeedc0de12345678u /* Upstream of most samples. */

void
corpus_append(struct message_writer *writer, const void *data, size_t size)
{
	msgpack_sbuffer_write(&writer->buffer, data, size);
}

void
corpus_write_work_report(
    struct message_writer *writer, uint32_t variant, uint32_t known)
{
	struct work_item items[] = {
	    {.upstream_id = UPSTREAM_ID,
		.prefill_ms = 1,
		.running = 2,
		.long_running = 3,
		.helping = 4,
		.leading = 5,
		.kv_tokens = (uint64_t)1 << 40,
		.ejected_ms = 6,
		.prefill_due_ms = 7},
	    {.upstream_id = 8, .running = 9},
	};
	struct work_demand demand = {.service_hash = UPSTREAM_ID + 1,
	    .short_engines = 1500,
	    .long_engines = 2500,
	    .min_key = UINT64_MAX,
	    .queued_prefill_ms = (uint64_t)1 << 34};
	struct work_report report = {.incarnation = 1u << 30,
	    .number = 77,
	    .item_count = 2,
	    .items = items,
	    .demand_count = 1,
	    .demands = &demand};
#if CORPUS_KNOWN & CORPUS_NOTICES
	struct work_notice notices[] = {
	    {.upstream_id = UPSTREAM_ID,
		.upstream_incarnation = 12,
		.has_limit = true,
		.limit_permille = 2500,
		.age_ms = 13},
	    {.upstream_id = 8, .upstream_incarnation = 1, .is_leaving = true},
	};

	if (known & CORPUS_NOTICES) {
		report.notice_count = 2;
		report.notices = notices;
	}
#endif
	(void)variant;
	(void)known;
#if CORPUS_KNOWN & CORPUS_FORWARDING
	if (known & CORPUS_FORWARDING) {
		report.forwarding.address = 0x0a010203001f40;
		report.forwarding.token = UPSTREAM_ID + 2;
		report.forwarding.is_without_path = true;
	}
#endif
	work_report_write(writer, &report);
}

enum error_code
corpus_rewrite_work_report(const void *data, size_t size, uint32_t variant,
    struct message_writer *writer)
{
	struct work_report report;
	enum error_code error;

	(void)variant;
	error = work_report_read(data, size, &report);
	if (error != ERROR_NONE)
		return error;
	work_report_write(writer, &report);
	work_report_finish(&report);
	return ERROR_NONE;
}

void
corpus_write_report_batch(
    struct message_writer *writer, uint32_t variant, uint32_t known)
{
#if CORPUS_KNOWN & CORPUS_BATCHES
	struct report_batch *batch;

	batch = calloc(1, sizeof(*batch));
	if (batch == NULL)
		return;
	batch->type = (enum report_batch_type)variant;
	batch->host_count = 2;
	batch->host_ids[0] = 4711;
	batch->host_ids[1] = 4712;
	batch->report_count = 2;
	batch->reports[0] =
	    (struct batched_report){4713, (uint64_t)1 << 33, 14, "first", 5};
	batch->reports[1] = (struct batched_report){4714, 2, 0, "second", 6};
	report_batch_write(writer, batch);
	free(batch);
#else
	(void)writer;
	(void)variant;
#endif
	(void)known;
}

enum error_code
corpus_rewrite_report_batch(const void *data, size_t size, uint32_t variant,
    struct message_writer *writer)
{
#if CORPUS_KNOWN & CORPUS_BATCHES
	struct message_reader reader;
	struct report_batch *batch;
	enum error_code error;

	batch = calloc(1, sizeof(*batch));
	if (batch == NULL)
		return ERROR_NO_MEMORY;
	error = report_batch_read(data, size, &reader, batch);
	if (error == ERROR_NONE) {
		if ((uint32_t)batch->type != variant)
			error = ERROR_WRONG_TYPE;
		report_batch_write(writer, batch);
		message_reader_finish(&reader);
	}
	free(batch);
	return error;
#else
	/* Earlier builds take it for a work report. */
	return corpus_rewrite_work_report(data, size, variant, writer);
#endif
}

void
corpus_write_forward_request(
    struct message_writer *writer, uint32_t variant, uint32_t known)
{
#if CORPUS_KNOWN & CORPUS_FORWARDING
	const struct forward_request request = {.token = UPSTREAM_ID,
	    .age_ms = 120,
	    .routes_version = 8,
	    .may_go_on = true,
	    .has_partial_answer = true,
	    .tried = {UPSTREAM_ID + 1, 2},
	    .tried_count = 2};
	char *text;

	text = forward_request_format(&request);
	corpus_append(writer, text, strlen(text) + 1);
	g_free(text);
#else
	(void)writer;
#endif
	(void)variant;
	(void)known;
}

enum error_code
corpus_rewrite_forward_request(const void *data, size_t size, uint32_t variant,
    struct message_writer *writer)
{
	(void)variant;
#if CORPUS_KNOWN & CORPUS_FORWARDING
	struct forward_request request;
	enum error_code error;
	char *text;

	if (size == 0 || ((const char *)data)[size - 1] != '\0')
		return ERROR_MALFORMED;
	error = forward_request_parse(data, &request);
	if (error != ERROR_NONE)
		return error;
	text = forward_request_format(&request);
	corpus_append(writer, text, strlen(text) + 1);
	g_free(text);
	return ERROR_NONE;
#else
	(void)data;
	(void)size;
	(void)writer;
	return ERROR_NOT_SUPPORTED;
#endif
}

void
corpus_write_forward_result(
    struct message_writer *writer, uint32_t variant, uint32_t known)
{
#if CORPUS_KNOWN & CORPUS_FORWARDING
	const struct forward_result result = {
	    .reason = ERROR_NO_CAPACITY, .sent = 2, .upstream_id = UPSTREAM_ID};
	char *text;

	text = forward_result_format(&result);
	corpus_append(writer, text, strlen(text) + 1);
	g_free(text);
#else
	(void)writer;
#endif
	(void)variant;
	(void)known;
}

enum error_code
corpus_rewrite_forward_result(const void *data, size_t size, uint32_t variant,
    struct message_writer *writer)
{
	(void)variant;
#if CORPUS_KNOWN & CORPUS_FORWARDING
	struct forward_result result;
	enum error_code error;
	char *text;

	if (size == 0 || ((const char *)data)[size - 1] != '\0')
		return ERROR_MALFORMED;
	error = forward_result_parse(data, &result);
	if (error != ERROR_NONE)
		return error;
	text = forward_result_format(&result);
	corpus_append(writer, text, strlen(text) + 1);
	g_free(text);
	return ERROR_NONE;
#else
	(void)data;
	(void)size;
	(void)writer;
	return ERROR_NOT_SUPPORTED;
#endif
}

/* Adds the row that a message of grants of type @p type has. */
static void
add_grant_row(struct message_writer *writer, uint32_t type)
{
	const struct capacity_amount amount = {1, 2, (uint64_t)1 << 40};
	const struct grant_report report = {.upstream_id = UPSTREAM_ID,
	    .incarnation = 3,
	    .term = 4,
	    .offer_number = 5,
	    .ceiling = amount,
	    .used = {6, 7, 8},
	    .wanted = {9, 10, 11},
	    .largest_waiting = {12, 13, 14},
	    .needed_percent = 15,
	    .warmth = 16,
	    .in_time_answers = 17,
	    .is_cold = true};
	const struct grant_offer offer = {
	    UPSTREAM_ID, 3, 4, 5, {9, 10, 11}, 16, 18};
	const struct grant_ledger_row ledger = {
	    UPSTREAM_ID, 3, 4711, 19, {9, 10, 11}, 20, 16, true};
	const struct grant_kv_row reservation = {UPSTREAM_ID, 3, 21, true};

	switch (type) {
	case GRANT_MESSAGE_REPORT:
	case GRANT_MESSAGE_USE_ANSWER:
		grant_message_add_report(writer, &report);
		break;
	case GRANT_MESSAGE_GRANT:
		grant_message_add_offer(writer, &offer);
		break;
	case GRANT_MESSAGE_LEDGER:
		grant_message_add_ledger_row(writer, &ledger);
		break;
	case GRANT_MESSAGE_LEDGER_TAKEN:
		grant_message_add_id(writer, UPSTREAM_ID);
		break;
	default:
		grant_message_add_kv_row(writer, &reservation);
		break;
	}
}

void
corpus_write_grant(
    struct message_writer *writer, uint32_t variant, uint32_t known)
{
	const struct grant_header header = {
	    .type = (enum grant_message_type)variant,
	    .epoch = 22,
	    .instance = 1u << 30,
	    .sequence = (uint64_t)1 << 50,
	    .wants_answer = true,
	    .row_count = variant == GRANT_MESSAGE_USE_QUERY ? 0 : 1,
	};

	(void)known;
	grant_message_open(writer, &header);
	if (header.row_count > 0)
		add_grant_row(writer, variant);
}

/* Reads the only row of a message of grants and adds it to another one. */
static enum error_code
copy_grant_row(const struct grant_reader *reader, struct message_writer *writer)
{
	struct grant_ledger_row ledger;
	struct grant_kv_row reservation;
	struct grant_report report;
	struct grant_offer offer;
	enum error_code error;
	uint64_t id;

	switch (reader->header.type) {
	case GRANT_MESSAGE_REPORT:
	case GRANT_MESSAGE_USE_ANSWER:
		error = grant_reader_read_report(reader, 0, &report);
		if (error == ERROR_NONE)
			grant_message_add_report(writer, &report);
		return error;
	case GRANT_MESSAGE_GRANT:
		error = grant_reader_read_offer(reader, 0, &offer);
		if (error == ERROR_NONE)
			grant_message_add_offer(writer, &offer);
		return error;
	case GRANT_MESSAGE_LEDGER:
		error = grant_reader_read_ledger_row(reader, 0, &ledger);
		if (error == ERROR_NONE)
			grant_message_add_ledger_row(writer, &ledger);
		return error;
	case GRANT_MESSAGE_LEDGER_TAKEN:
		error = grant_reader_read_id(reader, 0, &id);
		if (error == ERROR_NONE)
			grant_message_add_id(writer, id);
		return error;
	default:
		error = grant_reader_read_kv_row(reader, 0, &reservation);
		if (error == ERROR_NONE)
			grant_message_add_kv_row(writer, &reservation);
		return error;
	}
}

enum error_code
corpus_rewrite_grant(const void *data, size_t size, uint32_t variant,
    struct message_writer *writer)
{
	struct grant_reader reader;
	enum error_code error;

	error = grant_reader_init(&reader, data, size);
	if (error != ERROR_NONE)
		return error;
	if ((uint32_t)reader.header.type != variant)
		error = ERROR_WRONG_TYPE;
	grant_message_open(writer, &reader.header);
	if (error == ERROR_NONE && reader.header.row_count > 0)
		error = copy_grant_row(&reader, writer);
	grant_reader_finish(&reader);
	return error;
}

void
corpus_write_upstream_entry(
    struct message_writer *writer, uint32_t variant, uint32_t known)
{
	const struct upstream_entry_body entry = {
	    .record = {.id = UPSTREAM_ID,
		.name = "i-d15e889e",
		.incarnation = 1u << 30,
		.sequence = 4,
		.url = "http://10.1.2.5:9000/",
		.data_centre = "mbeya-c",
		.kind = UPSTREAM_KIND_MODEL,
		.state = UPSTREAM_STATE_LEAVING,
		.honours_fencing = true,
		.model_count = 2,
		.models = {"small-7b", "large-70b"},
		.label_count = 2,
		.labels = {{"service", "gexe94e"}, {"version", "v1"}},
		.limits = {1, 2, 3, 4, (uint64_t)1 << 40, 5, 6}},
	    .home = 4711,
	    .home_incarnation = 9,
	    .epoch = 3,
	    .is_expired = true,
	};

	(void)variant;
	(void)known;
	upstream_entry_write(writer, &entry);
}

enum error_code
corpus_rewrite_upstream_entry(const void *data, size_t size, uint32_t variant,
    struct message_writer *writer)
{
	struct upstream_entry_body entry;
	enum error_code error;

	(void)variant;
	error = upstream_entry_read(data, size, &entry);
	if (error == ERROR_NONE)
		upstream_entry_write(writer, &entry);
	return error;
}

void
corpus_write_upstream_load(
    struct message_writer *writer, uint32_t variant, uint32_t known)
{
	const struct upstream_load load = {
	    UPSTREAM_ID, 3, 1u << 20, 250, 4, 5, (uint64_t)1 << 33, 1u << 30};

	(void)variant;
	(void)known;
	upstream_load_write(writer, &load);
}

enum error_code
corpus_rewrite_upstream_load(const void *data, size_t size, uint32_t variant,
    struct message_writer *writer)
{
	struct upstream_load load;
	enum error_code error;

	(void)variant;
	error = upstream_load_read(data, size, &load);
	if (error == ERROR_NONE)
		upstream_load_write(writer, &load);
	return error;
}

void
corpus_write_upstream_notice(
    struct message_writer *writer, uint32_t variant, uint32_t known)
{
	(void)known;
	upstream_notice_write(
	    writer, (enum upstream_message_type)variant, UPSTREAM_ID, 3);
}

enum error_code
corpus_rewrite_upstream_notice(const void *data, size_t size, uint32_t variant,
    struct message_writer *writer)
{
	uint64_t id, incarnation;
	enum error_code error;
	uint32_t type;

	error = upstream_message_type(data, size, &type);
	if (error == ERROR_NONE && type != variant)
		error = ERROR_WRONG_TYPE;
	if (error == ERROR_NONE)
		error = upstream_notice_read(data, size, &id, &incarnation);
	if (error == ERROR_NONE)
		upstream_notice_write(writer,
		    (enum upstream_message_type)variant, id, incarnation);
	return error;
}
