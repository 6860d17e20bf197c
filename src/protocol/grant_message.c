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

/* Numbers in a row, by type of row. A capacity amount is three numbers. */
enum {
	WIDTH_REPORT = 20,
	WIDTH_GRANT = 9,
	WIDTH_LEDGER = 10,
	WIDTH_ID = 1,
	WIDTH_KV = 4,
};

/* Reads the numbers of a row one after the other. */
struct row_cursor {
	const struct message_array *numbers; /* The numbers of all rows. */
	uint32_t at;			     /* Index of the next number. */
	enum error_code error;		     /* First error, or ERROR_NONE. */
};

static uint32_t row_width(enum grant_message_type type);
static void add_amount(
    struct message_writer *writer, const struct capacity_amount *amount);
static enum error_code read_header(struct grant_reader *reader);
static enum error_code read_rows(struct grant_reader *reader);
static enum error_code open_row(const struct grant_reader *reader,
    uint32_t index, struct row_cursor *cursor);
static uint64_t next_uint(struct row_cursor *cursor);
static uint32_t next_uint32(struct row_cursor *cursor);
static struct capacity_amount next_amount(struct row_cursor *cursor);

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
	message_add_uint(writer, row->upstream_id);
	message_add_uint(writer, row->incarnation);
	message_add_uint(writer, row->term);
	message_add_uint(writer, row->offer_number);
	add_amount(writer, &row->ceiling);
	add_amount(writer, &row->used);
	add_amount(writer, &row->wanted);
	add_amount(writer, &row->largest_waiting);
	message_add_uint(writer, row->needed_percent);
	message_add_uint(writer, row->warmth);
	message_add_uint(writer, row->in_time_answers);
	message_add_uint(writer, row->is_cold);
}

void
grant_message_add_offer(
    struct message_writer *writer, const struct grant_offer *row)
{
	message_add_uint(writer, row->upstream_id);
	message_add_uint(writer, row->incarnation);
	message_add_uint(writer, row->term);
	message_add_uint(writer, row->offer_number);
	add_amount(writer, &row->amount);
	message_add_uint(writer, row->warmth);
	message_add_uint(writer, row->duration_ms);
}

void
grant_message_add_ledger_row(
    struct message_writer *writer, const struct grant_ledger_row *row)
{
	message_add_uint(writer, row->upstream_id);
	message_add_uint(writer, row->incarnation);
	message_add_uint(writer, row->host_id);
	message_add_uint(writer, row->instance);
	add_amount(writer, &row->amount);
	message_add_uint(writer, row->remaining_ms);
	message_add_uint(writer, row->warmth);
	message_add_uint(writer, row->is_draining);
}

void
grant_message_add_id(struct message_writer *writer, uint64_t upstream_id)
{
	message_add_uint(writer, upstream_id);
}

void
grant_message_add_kv_row(
    struct message_writer *writer, const struct grant_kv_row *row)
{
	message_add_uint(writer, row->upstream_id);
	message_add_uint(writer, row->incarnation);
	message_add_uint(writer, row->reservation_id);
	message_add_uint(writer, row->is_live);
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
	struct row_cursor cursor;
	enum error_code error;

	error = open_row(reader, index, &cursor);
	if (error != ERROR_NONE)
		return error;
	row->upstream_id = next_uint(&cursor);
	row->incarnation = next_uint(&cursor);
	row->term = next_uint(&cursor);
	row->offer_number = next_uint(&cursor);
	row->ceiling = next_amount(&cursor);
	row->used = next_amount(&cursor);
	row->wanted = next_amount(&cursor);
	row->largest_waiting = next_amount(&cursor);
	row->needed_percent = next_uint32(&cursor);
	row->warmth = next_uint32(&cursor);
	row->in_time_answers = next_uint32(&cursor);
	row->is_cold = next_uint(&cursor) != 0;
	return cursor.error;
}

enum error_code
grant_reader_read_offer(
    const struct grant_reader *reader, uint32_t index, struct grant_offer *row)
{
	struct row_cursor cursor;
	enum error_code error;

	error = open_row(reader, index, &cursor);
	if (error != ERROR_NONE)
		return error;
	row->upstream_id = next_uint(&cursor);
	row->incarnation = next_uint(&cursor);
	row->term = next_uint(&cursor);
	row->offer_number = next_uint(&cursor);
	row->amount = next_amount(&cursor);
	row->warmth = next_uint32(&cursor);
	row->duration_ms = next_uint32(&cursor);
	return cursor.error;
}

enum error_code
grant_reader_read_ledger_row(const struct grant_reader *reader, uint32_t index,
    struct grant_ledger_row *row)
{
	struct row_cursor cursor;
	enum error_code error;

	error = open_row(reader, index, &cursor);
	if (error != ERROR_NONE)
		return error;
	row->upstream_id = next_uint(&cursor);
	row->incarnation = next_uint(&cursor);
	row->host_id = next_uint32(&cursor);
	row->instance = next_uint(&cursor);
	row->amount = next_amount(&cursor);
	row->remaining_ms = next_uint(&cursor);
	row->warmth = next_uint32(&cursor);
	row->is_draining = next_uint(&cursor) != 0;
	return cursor.error;
}

enum error_code
grant_reader_read_kv_row(
    const struct grant_reader *reader, uint32_t index, struct grant_kv_row *row)
{
	struct row_cursor cursor;
	enum error_code error;

	error = open_row(reader, index, &cursor);
	if (error != ERROR_NONE)
		return error;
	row->upstream_id = next_uint(&cursor);
	row->incarnation = next_uint(&cursor);
	row->reservation_id = next_uint(&cursor);
	row->is_live = next_uint(&cursor) != 0;
	return cursor.error;
}

enum error_code
grant_reader_read_id(
    const struct grant_reader *reader, uint32_t index, uint64_t *upstream_id)
{
	struct row_cursor cursor;
	enum error_code error;

	error = open_row(reader, index, &cursor);
	if (error != ERROR_NONE)
		return error;
	*upstream_id = next_uint(&cursor);
	return cursor.error;
}

/* Returns the number of columns that this version knows, 0 for an unknown
 * type. */
static uint32_t
row_width(enum grant_message_type type)
{
	switch (type) {
	case GRANT_MESSAGE_REPORT:
	case GRANT_MESSAGE_USE_ANSWER:
		return WIDTH_REPORT;
	case GRANT_MESSAGE_GRANT:
		return WIDTH_GRANT;
	case GRANT_MESSAGE_LEDGER:
		return WIDTH_LEDGER;
	case GRANT_MESSAGE_USE_QUERY:
	case GRANT_MESSAGE_LEDGER_TAKEN:
		return WIDTH_ID;
	case GRANT_MESSAGE_KV_QUERY:
	case GRANT_MESSAGE_KV_ANSWER:
		return WIDTH_KV;
	}
	return 0;
}

static void
add_amount(struct message_writer *writer, const struct capacity_amount *amount)
{
	message_add_uint(writer, amount->requests);
	message_add_uint(writer, amount->prefill_tokens);
	message_add_uint(writer, amount->kv_tokens);
}

static enum error_code
read_header(struct grant_reader *reader)
{
	struct grant_header *header = &reader->header;
	uint64_t type, wants_answer;
	enum error_code error;

	error = message_check_version(&reader->message, GRANT_MESSAGE_VERSION);
	if (error != ERROR_NONE)
		return error;
	error = message_get_uint(&reader->message, FIELD_TYPE, &type);
	if (error != ERROR_NONE)
		return error;
	if (type < GRANT_MESSAGE_REPORT || type > GRANT_MESSAGE_KV_ANSWER)
		return ERROR_MALFORMED;
	header->type = (enum grant_message_type)type;
	error = message_get_uint(&reader->message, FIELD_EPOCH, &header->epoch);
	if (error != ERROR_NONE)
		return error;
	error = message_get_uint(
	    &reader->message, FIELD_INSTANCE, &header->instance);
	if (error != ERROR_NONE)
		return error;
	error = message_get_uint(
	    &reader->message, FIELD_SEQUENCE, &header->sequence);
	if (error != ERROR_NONE)
		return error;
	error = message_get_uint(
	    &reader->message, FIELD_WANTS_ANSWER, &wants_answer);
	if (error != ERROR_NONE)
		return error;
	header->wants_answer = wants_answer != 0;
	return ERROR_NONE;
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

static enum error_code
open_row(const struct grant_reader *reader, uint32_t index,
    struct row_cursor *cursor)
{
	if (index >= reader->header.row_count)
		return ERROR_NOT_FOUND;
	cursor->numbers = &reader->rows;
	cursor->at = index * reader->row_width;
	cursor->error = ERROR_NONE;
	return ERROR_NONE;
}

/* Returns the next number of the row, or 0 after an error, which it keeps in
 * the cursor. */
static uint64_t
next_uint(struct row_cursor *cursor)
{
	enum error_code error;
	uint64_t value;

	value = 0;
	error = message_array_get_uint(cursor->numbers, cursor->at++, &value);
	if (cursor->error == ERROR_NONE)
		cursor->error = error;
	return value;
}

static uint32_t
next_uint32(struct row_cursor *cursor)
{
	uint64_t value;

	value = next_uint(cursor);
	if (value > UINT32_MAX && cursor->error == ERROR_NONE)
		cursor->error = ERROR_TOO_LARGE;
	return (uint32_t)value;
}

static struct capacity_amount
next_amount(struct row_cursor *cursor)
{
	struct capacity_amount amount;

	amount.requests = next_uint32(cursor);
	amount.prefill_tokens = next_uint(cursor);
	amount.kv_tokens = next_uint(cursor);
	return amount;
}
