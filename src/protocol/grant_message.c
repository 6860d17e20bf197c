#include "protocol/grant_message.h"

#include <string.h>

#define GRANT_MESSAGE_VERSION 1

/* Keys of the fields on the wire. */
enum {
	FIELD_VERSION = 0,
	FIELD_TYPE = 1,
	FIELD_EPOCH = 2,
	FIELD_INSTANCE = 3,
	FIELD_SEQUENCE = 4,
	FIELD_WANTS_ANSWER = 5,
	FIELD_WIDTH = 6,
	FIELD_ROWS = 7,
	FIELD_COUNT = 8,
};

/* How a row's member is stored in memory. On the wire each is a number. */
enum column_type {
	COLUMN_UINT64,
	COLUMN_UINT32,
	COLUMN_BOOL,
};

/* One number of a row. */
struct column {
	size_t offset; /* Of the member in the struct of the row. */
	enum column_type type;
};

/* The numbers of one type of row, in their order on the wire. */
struct row_layout {
	const struct column *columns;
	uint32_t count;
};

/* The column of a member, with the type that the member has in the struct. */
#define COLUMN(row, member)                                                    \
	{                                                                      \
		offsetof(struct row, member),                                  \
		    _Generic(((struct row){0}).member, uint64_t                \
			     : COLUMN_UINT64, uint32_t                         \
			     : COLUMN_UINT32, bool                             \
			     : COLUMN_BOOL)                                    \
	}

/* The layout with these columns. */
#define LAYOUT(columns)                                                        \
	{                                                                      \
		(columns), sizeof(columns) / sizeof((columns)[0])              \
	}

static const struct column report_columns[] = {
    COLUMN(grant_report, upstream_id),
    COLUMN(grant_report, incarnation),
    COLUMN(grant_report, term),
    COLUMN(grant_report, offer_number),
    COLUMN(grant_report, ceiling.requests),
    COLUMN(grant_report, ceiling.prefill_tokens),
    COLUMN(grant_report, ceiling.kv_tokens),
    COLUMN(grant_report, used.requests),
    COLUMN(grant_report, used.prefill_tokens),
    COLUMN(grant_report, used.kv_tokens),
    COLUMN(grant_report, wanted.requests),
    COLUMN(grant_report, wanted.prefill_tokens),
    COLUMN(grant_report, wanted.kv_tokens),
    COLUMN(grant_report, largest_waiting.requests),
    COLUMN(grant_report, largest_waiting.prefill_tokens),
    COLUMN(grant_report, largest_waiting.kv_tokens),
    COLUMN(grant_report, needed_percent),
    COLUMN(grant_report, warmth),
    COLUMN(grant_report, in_time_answers),
    COLUMN(grant_report, is_cold),
};

static const struct column offer_columns[] = {
    COLUMN(grant_offer, upstream_id),
    COLUMN(grant_offer, incarnation),
    COLUMN(grant_offer, term),
    COLUMN(grant_offer, offer_number),
    COLUMN(grant_offer, amount.requests),
    COLUMN(grant_offer, amount.prefill_tokens),
    COLUMN(grant_offer, amount.kv_tokens),
    COLUMN(grant_offer, warmth),
    COLUMN(grant_offer, duration_ms),
};

static const struct column ledger_columns[] = {
    COLUMN(grant_ledger_row, upstream_id),
    COLUMN(grant_ledger_row, incarnation),
    COLUMN(grant_ledger_row, host_id),
    COLUMN(grant_ledger_row, instance),
    COLUMN(grant_ledger_row, amount.requests),
    COLUMN(grant_ledger_row, amount.prefill_tokens),
    COLUMN(grant_ledger_row, amount.kv_tokens),
    COLUMN(grant_ledger_row, remaining_ms),
    COLUMN(grant_ledger_row, warmth),
    COLUMN(grant_ledger_row, is_draining),
};

static const struct column kv_columns[] = {
    COLUMN(grant_kv_row, upstream_id),
    COLUMN(grant_kv_row, incarnation),
    COLUMN(grant_kv_row, reservation_id),
    COLUMN(grant_kv_row, is_live),
};

/* A row that is no more than an upstream id. */
static const struct column id_columns[] = {{0, COLUMN_UINT64}};

static const struct row_layout report_layout = LAYOUT(report_columns);
static const struct row_layout offer_layout = LAYOUT(offer_columns);
static const struct row_layout ledger_layout = LAYOUT(ledger_columns);
static const struct row_layout kv_layout = LAYOUT(kv_columns);
static const struct row_layout id_layout = LAYOUT(id_columns);

static uint32_t row_width(enum grant_message_type type);
static void add_row(struct message_writer *writer,
    const struct row_layout *layout, const void *row);
static uint64_t member_value(const struct column *column, const void *member);
static enum error_code read_header(struct grant_reader *reader);
static enum error_code read_rows(struct grant_reader *reader);
static enum error_code read_row(const struct grant_reader *reader,
    uint32_t index, const struct row_layout *layout, void *row);
static enum error_code set_member(
    const struct column *column, void *member, uint64_t value);

void
grant_message_open(
    struct message_writer *writer, const struct grant_header *header)
{
	uint32_t width;

	width = row_width(header->type);
	message_begin_map(writer, FIELD_COUNT);
	message_put_uint(writer, FIELD_VERSION, GRANT_MESSAGE_VERSION);
	message_put_uint(writer, FIELD_TYPE, header->type);
	message_put_uint(writer, FIELD_EPOCH, header->epoch);
	message_put_uint(writer, FIELD_INSTANCE, header->instance);
	message_put_uint(writer, FIELD_SEQUENCE, header->sequence);
	message_put_uint(writer, FIELD_WANTS_ANSWER, header->wants_answer);
	message_put_uint(writer, FIELD_WIDTH, width);
	message_put_array(writer, FIELD_ROWS, header->row_count * width);
}

void
grant_message_add_report(
    struct message_writer *writer, const struct grant_report *row)
{
	add_row(writer, &report_layout, row);
}

void
grant_message_add_offer(
    struct message_writer *writer, const struct grant_offer *row)
{
	add_row(writer, &offer_layout, row);
}

void
grant_message_add_ledger_row(
    struct message_writer *writer, const struct grant_ledger_row *row)
{
	add_row(writer, &ledger_layout, row);
}

void
grant_message_add_id(struct message_writer *writer, uint64_t upstream_id)
{
	add_row(writer, &id_layout, &upstream_id);
}

void
grant_message_add_kv_row(
    struct message_writer *writer, const struct grant_kv_row *row)
{
	add_row(writer, &kv_layout, row);
}

enum error_code
grant_reader_init(struct grant_reader *reader, const void *body, size_t size)
{
	enum error_code error;

	memset(reader, 0, sizeof(*reader));
	error = message_reader_init(&reader->message, body, size);
	if (error != ERROR_NONE)
		return error;
	error = read_header(reader);
	if (error == ERROR_NONE)
		error = read_rows(reader);
	if (error != ERROR_NONE)
		message_reader_finish(&reader->message);
	return error;
}

void
grant_reader_finish(struct grant_reader *reader)
{
	message_reader_finish(&reader->message);
}

enum error_code
grant_reader_read_report(
    const struct grant_reader *reader, uint32_t index, struct grant_report *row)
{
	return read_row(reader, index, &report_layout, row);
}

enum error_code
grant_reader_read_offer(
    const struct grant_reader *reader, uint32_t index, struct grant_offer *row)
{
	return read_row(reader, index, &offer_layout, row);
}

enum error_code
grant_reader_read_ledger_row(const struct grant_reader *reader, uint32_t index,
    struct grant_ledger_row *row)
{
	return read_row(reader, index, &ledger_layout, row);
}

enum error_code
grant_reader_read_kv_row(
    const struct grant_reader *reader, uint32_t index, struct grant_kv_row *row)
{
	return read_row(reader, index, &kv_layout, row);
}

enum error_code
grant_reader_read_id(
    const struct grant_reader *reader, uint32_t index, uint64_t *upstream_id)
{
	return read_row(reader, index, &id_layout, upstream_id);
}

/* Returns the number of columns that this version knows, 0 for an unknown
 * type. */
static uint32_t
row_width(enum grant_message_type type)
{
	switch (type) {
	case GRANT_MESSAGE_REPORT:
	case GRANT_MESSAGE_USE_ANSWER:
		return report_layout.count;
	case GRANT_MESSAGE_GRANT:
		return offer_layout.count;
	case GRANT_MESSAGE_LEDGER:
		return ledger_layout.count;
	case GRANT_MESSAGE_USE_QUERY:
	case GRANT_MESSAGE_LEDGER_TAKEN:
		return id_layout.count;
	case GRANT_MESSAGE_KV_QUERY:
	case GRANT_MESSAGE_KV_ANSWER:
		return kv_layout.count;
	}
	return 0;
}

static void
add_row(struct message_writer *writer, const struct row_layout *layout,
    const void *row)
{
	const struct column *column;
	uint32_t i;

	for (i = 0; i < layout->count; i++) {
		column = &layout->columns[i];
		message_add_uint(writer,
		    member_value(column, (const char *)row + column->offset));
	}
}

static uint64_t
member_value(const struct column *column, const void *member)
{
	switch (column->type) {
	case COLUMN_UINT64:
		return *(const uint64_t *)member;
	case COLUMN_UINT32:
		return *(const uint32_t *)member;
	case COLUMN_BOOL:
		return *(const bool *)member;
	}
	return 0;
}

static enum error_code
read_header(struct grant_reader *reader)
{
	struct message_fields fields = {.reader = &reader->message};
	struct grant_header *header = &reader->header;
	uint64_t type;

	fields.error =
	    message_check_version(&reader->message, GRANT_MESSAGE_VERSION);
	type = message_fields_uint(&fields, FIELD_TYPE);
	if (fields.error != ERROR_NONE)
		return fields.error;
	if (type < GRANT_MESSAGE_REPORT || type > GRANT_MESSAGE_KV_ANSWER)
		return ERROR_MALFORMED;
	header->type = (enum grant_message_type)type;
	header->epoch = message_fields_uint(&fields, FIELD_EPOCH);
	header->instance = message_fields_uint(&fields, FIELD_INSTANCE);
	header->sequence = message_fields_uint(&fields, FIELD_SEQUENCE);
	header->wants_answer =
	    message_fields_uint(&fields, FIELD_WANTS_ANSWER) != 0;
	return fields.error;
}

/* Finds the rows. A row may be wider than this version knows, but not
 * narrower. */
static enum error_code
read_rows(struct grant_reader *reader)
{
	enum error_code error;

	error = message_get_uint32(
	    &reader->message, FIELD_WIDTH, &reader->row_width);
	if (error != ERROR_NONE)
		return error;
	error = message_get_array(&reader->message, FIELD_ROWS, &reader->rows);
	if (error != ERROR_NONE)
		return error;
	if (reader->row_width < row_width(reader->header.type) ||
	    reader->rows.count % reader->row_width != 0)
		return ERROR_MALFORMED;
	reader->header.row_count = reader->rows.count / reader->row_width;
	if (reader->header.row_count > GRANT_ROWS_MAX)
		return ERROR_TOO_LARGE;
	return ERROR_NONE;
}

/* Reads the numbers of a row that this version knows. */
static enum error_code
read_row(const struct grant_reader *reader, uint32_t index,
    const struct row_layout *layout, void *row)
{
	const struct column *column;
	enum error_code error;
	uint64_t value;
	uint32_t i;

	if (index >= reader->header.row_count)
		return ERROR_NOT_FOUND;
	for (i = 0; i < layout->count; i++) {
		column = &layout->columns[i];
		error = message_array_get_uint(
		    &reader->rows, index * reader->row_width + i, &value);
		if (error == ERROR_NONE)
			error = set_member(
			    column, (char *)row + column->offset, value);
		if (error != ERROR_NONE)
			return error;
	}
	return ERROR_NONE;
}

static enum error_code
set_member(const struct column *column, void *member, uint64_t value)
{
	if (column->type == COLUMN_UINT32 && value > UINT32_MAX)
		return ERROR_TOO_LARGE;
	switch (column->type) {
	case COLUMN_UINT64:
		*(uint64_t *)member = value;
		break;
	case COLUMN_UINT32:
		*(uint32_t *)member = (uint32_t)value;
		break;
	case COLUMN_BOOL:
		*(bool *)member = value != 0;
		break;
	}
	return ERROR_NONE;
}
