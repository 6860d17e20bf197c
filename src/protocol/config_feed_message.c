#include "protocol/config_feed_message.h"

#include <string.h>

#include "config.h"

/* Keys of the fields. */
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

/* A numeric field and its place in the message; 0 is left out. */
struct number_field {
	enum field key;
	size_t offset;
};

static const struct number_field number_fields[] = {
    {FIELD_NUMBER, offsetof(struct feed_message, number)},
    {FIELD_INCARNATION, offsetof(struct feed_message, incarnation)},
    {FIELD_APPLIED, offsetof(struct feed_message, applied)},
    {FIELD_SUBTREE, offsetof(struct feed_message, subtree)},
    {FIELD_REMAINING, offsetof(struct feed_message, remaining_ms)},
    {FIELD_IN_FORCE, offsetof(struct feed_message, in_force)},
    {FIELD_FIRST, offsetof(struct feed_message, first)},
    {FIELD_LAST, offsetof(struct feed_message, last)},
    {FIELD_OFFSET, offsetof(struct feed_message, offset)},
    {FIELD_TOTAL, offsetof(struct feed_message, total)},
    {FIELD_SNAPSHOT_INDEX, offsetof(struct feed_message, snapshot_index)},
};

#define NUMBER_FIELD_COUNT (sizeof(number_fields) / sizeof(number_fields[0]))

static uint64_t *field_place(
    struct feed_message *message, const struct number_field *field);
static enum error_code read_fields(
    const struct message_reader *reader, struct feed_message *message);

void
feed_message_write(
    struct message_writer *writer, const struct feed_message *message)
{
	struct feed_message copy = *message;
	uint32_t count;
	size_t i;

	count = message->size > 0 ? 3 : 2;
	for (i = 0; i < NUMBER_FIELD_COUNT; i++)
		count += *field_place(&copy, &number_fields[i]) != 0;
	message_open(writer, count);
	message_put_uint(writer, FIELD_VERSION, CONFIG_FEED_MESSAGE_VERSION);
	message_put_uint(writer, FIELD_TYPE, message->type);
	for (i = 0; i < NUMBER_FIELD_COUNT; i++) {
		if (*field_place(&copy, &number_fields[i]) != 0)
			message_put_uint(writer, number_fields[i].key,
			    *field_place(&copy, &number_fields[i]));
	}
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

static uint64_t *
field_place(struct feed_message *message, const struct number_field *field)
{
	return (uint64_t *)(void *)((char *)message + field->offset);
}

static enum error_code
read_fields(const struct message_reader *reader, struct feed_message *message)
{
	enum error_code error;
	uint64_t type;
	size_t i;

	error = message_check_version(reader, CONFIG_FEED_MESSAGE_VERSION);
	if (error != ERROR_NONE)
		return error;
	error = message_get_uint(reader, FIELD_TYPE, &type);
	if (error != ERROR_NONE)
		return error;
	if (type < FEED_TYPE_ASK || type > FEED_TYPE_REFUSE)
		return ERROR_NOT_SUPPORTED;
	message->type = (enum feed_type)type;
	for (i = 0; i < NUMBER_FIELD_COUNT; i++) {
		error = message_get_uint(reader, number_fields[i].key,
		    field_place(message, &number_fields[i]));
		if (error != ERROR_NONE && error != ERROR_MISSING_FIELD)
			return error;
	}
	error = message_get_bytes(
	    reader, FIELD_BYTES, &message->bytes, &message->size);
	return error == ERROR_MISSING_FIELD ? ERROR_NONE : error;
}
