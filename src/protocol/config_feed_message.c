#include "protocol/config_feed_message.h"

#include <string.h>

#include "config.h"

/* Keys of the fields on the wire. */
enum field {
	FIELD_VERSION = 0,
	FIELD_TYPE = 1,
	FIELD_NUMBER = 2,
	FIELD_INCARNATION = 3,
	FIELD_APPLIED = 4,
	FIELD_SUBTREE = 5,
	FIELD_REMAINING = 6,
	FIELD_IN_FORCE = 7,
	FIELD_FIRST = 8,
	FIELD_LAST = 9,
	FIELD_OFFSET = 10,
	FIELD_TOTAL = 11,
	FIELD_SNAPSHOT_INDEX = 12,
	FIELD_BYTES = 13,
};

/* The optional fields that are numbers. */
static const struct message_number number_fields[] = {
    {FIELD_NUMBER, offsetof(struct feed_message, request_number)},
    {FIELD_INCARNATION, offsetof(struct feed_message, incarnation)},
    {FIELD_APPLIED, offsetof(struct feed_message, applied_index)},
    {FIELD_SUBTREE, offsetof(struct feed_message, subtree_index)},
    {FIELD_REMAINING, offsetof(struct feed_message, remaining_ms)},
    {FIELD_IN_FORCE, offsetof(struct feed_message, in_force_index)},
    {FIELD_FIRST, offsetof(struct feed_message, first_index)},
    {FIELD_LAST, offsetof(struct feed_message, last_index)},
    {FIELD_OFFSET, offsetof(struct feed_message, offset)},
    {FIELD_TOTAL, offsetof(struct feed_message, total_size)},
    {FIELD_SNAPSHOT_INDEX, offsetof(struct feed_message, snapshot_index)},
};

#define NUMBER_FIELD_COUNT (sizeof(number_fields) / sizeof(number_fields[0]))

static enum error_code read_fields(
    const struct message_reader *reader, struct feed_message *message);

void
feed_message_write(
    struct message_writer *writer, const struct feed_message *message)
{
	uint32_t count;

	count = message->size > 0 ? 3 : 2;
	count +=
	    message_count_numbers(number_fields, NUMBER_FIELD_COUNT, message);
	message_begin_map(writer, count);
	message_put_uint(writer, FIELD_VERSION, CONFIG_FEED_MESSAGE_VERSION);
	message_put_uint(writer, FIELD_TYPE, message->type);
	message_put_numbers(writer, number_fields, NUMBER_FIELD_COUNT, message);
	if (message->size > 0)
		message_put_bytes(
		    writer, FIELD_BYTES, message->bytes, message->size);
}

enum error_code
feed_message_read(const void *body, size_t size, struct message_reader *reader,
    struct feed_message *message)
{
	enum error_code error;

	memset(message, 0, sizeof(*message));
	error = message_reader_init(reader, body, size);
	if (error != ERROR_NONE)
		return error;
	error = read_fields(reader, message);
	if (error != ERROR_NONE)
		message_reader_finish(reader);
	return error;
}

static enum error_code
read_fields(const struct message_reader *reader, struct feed_message *message)
{
	struct message_fields fields = {.reader = reader};
	enum error_code error;
	uint64_t type;

	fields.error =
	    message_check_version(reader, CONFIG_FEED_MESSAGE_VERSION);
	type = message_fields_uint(&fields, FIELD_TYPE);
	if (fields.error != ERROR_NONE)
		return fields.error;
	if (type < FEED_TYPE_RENEWAL_REQUEST || type > FEED_TYPE_REFUSAL)
		return ERROR_NOT_SUPPORTED;
	message->type = (enum feed_type)type;
	message_fields_numbers(
	    &fields, number_fields, NUMBER_FIELD_COUNT, message);
	if (fields.error != ERROR_NONE)
		return fields.error;
	error = message_get_bytes(
	    reader, FIELD_BYTES, &message->bytes, &message->size);
	return error == ERROR_MISSING_FIELD ? ERROR_NONE : error;
}
