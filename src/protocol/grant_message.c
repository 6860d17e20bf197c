#include "protocol/grant_message.h"

#include <string.h>

#define GRANT_MESSAGE_VERSION 1

/* Fields of a message. */
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

/* Numbers in a row, by type of message. */
enum {
	WIDTH_ASK = 20,
	WIDTH_GRANT = 9,
	WIDTH_LEDGER = 10,
	WIDTH_ID = 1,
	WIDTH_KV = 4,
};

/* A row being read. */
struct row_cursor {
	const struct message_array *numbers;
	uint32_t at;
	enum error_code error;
};

static uint32_t row_width(enum grant_message_type type);
static void add_amount(
    struct message_writer *writer, const struct capacity_amount *amount);
static enum error_code read_head(struct grant_reader *reader);
static enum error_code read_rows(struct grant_reader *reader);
static enum error_code open_row(const struct grant_reader *reader,
    uint32_t index, struct row_cursor *cursor);
static uint64_t next_number(struct row_cursor *cursor);
static uint32_t next_number32(struct row_cursor *cursor);
static struct capacity_amount next_amount(struct row_cursor *cursor);

void
grant_message_open(struct message_writer *writer, const struct grant_head *head)
{
	uint32_t width;

	width = row_width(head->type);
	message_open(writer, FIELD_COUNT);
	message_put_uint(writer, FIELD_VERSION, GRANT_MESSAGE_VERSION);
	message_put_uint(writer, FIELD_TYPE, head->type);
	message_put_uint(writer, FIELD_EPOCH, head->epoch);
	message_put_uint(writer, FIELD_INSTANCE, head->instance);
	message_put_uint(writer, FIELD_SEQUENCE, head->sequence);
	message_put_uint(writer, FIELD_WANTS_ANSWER, head->wants_answer);
	message_put_uint(writer, FIELD_WIDTH, width);
	message_put_array(writer, FIELD_ROWS, head->row_count * width);
}

void
grant_message_add_ask(
    struct message_writer *writer, const struct grant_ask *row)
{
	message_add_uint(writer, row->upstream_id);
	message_add_uint(writer, row->incarnation);
	message_add_uint(writer, row->term);
	message_add_uint(writer, row->number);
	add_amount(writer, &row->ceiling);
	add_amount(writer, &row->used);
	add_amount(writer, &row->wanted);
	add_amount(writer, &row->largest);
	message_add_uint(writer, row->needed_percent);
	message_add_uint(writer, row->warmth);
	message_add_uint(writer, row->in_time);
	message_add_uint(writer, row->is_cold);
}

void
grant_message_add_offer(
    struct message_writer *writer, const struct grant_offer *row)
{
	message_add_uint(writer, row->upstream_id);
	message_add_uint(writer, row->incarnation);
	message_add_uint(writer, row->term);
	message_add_uint(writer, row->number);
	add_amount(writer, &row->amount);
	message_add_uint(writer, row->warmth);
	message_add_uint(writer, row->duration_ms);
}

void
grant_message_add_ledger(
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
grant_message_add_kv(
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
	error = read_head(reader);
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
grant_reader_ask(
    const struct grant_reader *reader, uint32_t index, struct grant_ask *row)
{
	struct row_cursor cursor;
	enum error_code error;

	error = open_row(reader, index, &cursor);
	if (error != ERROR_NONE)
		return error;
	row->upstream_id = next_number(&cursor);
	row->incarnation = next_number(&cursor);
	row->term = next_number(&cursor);
	row->number = next_number(&cursor);
	row->ceiling = next_amount(&cursor);
	row->used = next_amount(&cursor);
	row->wanted = next_amount(&cursor);
	row->largest = next_amount(&cursor);
	row->needed_percent = next_number32(&cursor);
	row->warmth = next_number32(&cursor);
	row->in_time = next_number32(&cursor);
	row->is_cold = next_number(&cursor) != 0;
	return cursor.error;
}

enum error_code
grant_reader_offer(
    const struct grant_reader *reader, uint32_t index, struct grant_offer *row)
{
	struct row_cursor cursor;
	enum error_code error;

	error = open_row(reader, index, &cursor);
	if (error != ERROR_NONE)
		return error;
	row->upstream_id = next_number(&cursor);
	row->incarnation = next_number(&cursor);
	row->term = next_number(&cursor);
	row->number = next_number(&cursor);
	row->amount = next_amount(&cursor);
	row->warmth = next_number32(&cursor);
	row->duration_ms = next_number32(&cursor);
	return cursor.error;
}

enum error_code
grant_reader_ledger(const struct grant_reader *reader, uint32_t index,
    struct grant_ledger_row *row)
{
	struct row_cursor cursor;
	enum error_code error;

	error = open_row(reader, index, &cursor);
	if (error != ERROR_NONE)
		return error;
	row->upstream_id = next_number(&cursor);
	row->incarnation = next_number(&cursor);
	row->host_id = next_number32(&cursor);
	row->instance = next_number(&cursor);
	row->amount = next_amount(&cursor);
	row->remaining_ms = next_number(&cursor);
	row->warmth = next_number32(&cursor);
	row->is_draining = next_number(&cursor) != 0;
	return cursor.error;
}

enum error_code
grant_reader_kv(
    const struct grant_reader *reader, uint32_t index, struct grant_kv_row *row)
{
	struct row_cursor cursor;
	enum error_code error;

	error = open_row(reader, index, &cursor);
	if (error != ERROR_NONE)
		return error;
	row->upstream_id = next_number(&cursor);
	row->incarnation = next_number(&cursor);
	row->reservation_id = next_number(&cursor);
	row->is_live = next_number(&cursor) != 0;
	return cursor.error;
}

enum error_code
grant_reader_id(
    const struct grant_reader *reader, uint32_t index, uint64_t *upstream_id)
{
	struct row_cursor cursor;
	enum error_code error;

	error = open_row(reader, index, &cursor);
	if (error != ERROR_NONE)
		return error;
	*upstream_id = next_number(&cursor);
	return cursor.error;
}

static uint32_t
row_width(enum grant_message_type type)
{
	switch (type) {
	case GRANT_MESSAGE_ASK:
	case GRANT_MESSAGE_USE:
		return WIDTH_ASK;
	case GRANT_MESSAGE_GRANT:
		return WIDTH_GRANT;
	case GRANT_MESSAGE_LEDGER:
		return WIDTH_LEDGER;
	case GRANT_MESSAGE_QUERY:
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
read_head(struct grant_reader *reader)
{
	struct grant_head *head = &reader->head;
	uint64_t type, wants_answer;
	enum error_code error;

	error = message_check_version(&reader->message, GRANT_MESSAGE_VERSION);
	if (error != ERROR_NONE)
		return error;
	error = message_get_uint(&reader->message, FIELD_TYPE, &type);
	if (error != ERROR_NONE)
		return error;
	if (type < GRANT_MESSAGE_ASK || type > GRANT_MESSAGE_KV_ANSWER)
		return ERROR_MALFORMED;
	head->type = (enum grant_message_type)type;
	error = message_get_uint(&reader->message, FIELD_EPOCH, &head->epoch);
	if (error != ERROR_NONE)
		return error;
	error =
	    message_get_uint(&reader->message, FIELD_INSTANCE, &head->instance);
	if (error != ERROR_NONE)
		return error;
	error =
	    message_get_uint(&reader->message, FIELD_SEQUENCE, &head->sequence);
	if (error != ERROR_NONE)
		return error;
	error = message_get_uint(
	    &reader->message, FIELD_WANTS_ANSWER, &wants_answer);
	if (error != ERROR_NONE)
		return error;
	head->wants_answer = wants_answer != 0;
	return ERROR_NONE;
}

static enum error_code
read_rows(struct grant_reader *reader)
{
	enum error_code error;

	error =
	    message_get_uint32(&reader->message, FIELD_WIDTH, &reader->width);
	if (error != ERROR_NONE)
		return error;
	error = message_get_array(&reader->message, FIELD_ROWS, &reader->rows);
	if (error != ERROR_NONE)
		return error;
	if (reader->width < row_width(reader->head.type) ||
	    reader->rows.count % reader->width != 0)
		return ERROR_MALFORMED;
	reader->head.row_count = reader->rows.count / reader->width;
	if (reader->head.row_count > GRANT_ROWS_MAX)
		return ERROR_TOO_LARGE;
	return ERROR_NONE;
}

static enum error_code
open_row(const struct grant_reader *reader, uint32_t index,
    struct row_cursor *cursor)
{
	if (index >= reader->head.row_count)
		return ERROR_NOT_FOUND;
	cursor->numbers = &reader->rows;
	cursor->at = index * reader->width;
	cursor->error = ERROR_NONE;
	return ERROR_NONE;
}

static uint64_t
next_number(struct row_cursor *cursor)
{
	enum error_code error;
	uint64_t value;

	value = 0;
	error = message_array_uint(cursor->numbers, cursor->at++, &value);
	if (cursor->error == ERROR_NONE)
		cursor->error = error;
	return value;
}

static uint32_t
next_number32(struct row_cursor *cursor)
{
	uint64_t value;

	value = next_number(cursor);
	if (value > UINT32_MAX && cursor->error == ERROR_NONE)
		cursor->error = ERROR_TOO_LARGE;
	return (uint32_t)value;
}

static struct capacity_amount
next_amount(struct row_cursor *cursor)
{
	struct capacity_amount amount;

	amount.requests = next_number32(cursor);
	amount.prefill_tokens = next_number(cursor);
	amount.kv_tokens = next_number(cursor);
	return amount;
}
