#include "protocol/command_message.h"

#include <string.h>

#define COMMAND_MESSAGE_VERSION 1

/* Keys of the fields on the wire. */
enum command_message_field {
	FIELD_VERSION = 0,
	FIELD_TYPE = 1,
	FIELD_SESSION = 2,
	FIELD_NUMBER = 3,
	FIELD_ATTEMPT = 4,
	FIELD_ERROR = 5,
	FIELD_LEADER = 6,
	FIELD_DATA = 7,
	FIELD_COUNT = 8,
};

static enum error_code decode_fields(struct command_message *message);

void
command_message_encode(
    const struct command_message *message, struct message_writer *writer)
{
	message_begin_map(writer, FIELD_COUNT);
	message_put_uint(writer, FIELD_VERSION, COMMAND_MESSAGE_VERSION);
	message_put_uint(writer, FIELD_TYPE, message->type);
	message_put_uint(writer, FIELD_SESSION, message->session);
	message_put_uint(writer, FIELD_NUMBER, message->number);
	message_put_uint(writer, FIELD_ATTEMPT, message->attempt);
	message_put_uint(writer, FIELD_ERROR, message->error);
	message_put_uint(writer, FIELD_LEADER, message->leader_id);
	message_put_bytes(
	    writer, FIELD_DATA, message->data, message->data_size);
}

enum error_code
command_message_decode(
    struct command_message *message, const void *data, size_t size)
{
	enum error_code error;

	memset(message, 0, sizeof(*message));
	error = message_reader_init(&message->reader, data, size);
	if (error != ERROR_NONE)
		return error;
	error = decode_fields(message);
	if (error != ERROR_NONE)
		message_reader_finish(&message->reader);
	return error;
}

void
command_message_finish(struct command_message *message)
{
	message_reader_finish(&message->reader);
}

static enum error_code
decode_fields(struct command_message *message)
{
	struct message_fields fields = {.reader = &message->reader};
	uint64_t type, error_number;

	fields.error =
	    message_check_version(&message->reader, COMMAND_MESSAGE_VERSION);
	type = message_fields_uint(&fields, FIELD_TYPE);
	message->session = message_fields_uint(&fields, FIELD_SESSION);
	message->number = message_fields_uint(&fields, FIELD_NUMBER);
	message->attempt = message_fields_uint32(&fields, FIELD_ATTEMPT);
	error_number = message_fields_uint(&fields, FIELD_ERROR);
	message->leader_id = message_fields_uint32(&fields, FIELD_LEADER);
	message->data =
	    message_fields_bytes(&fields, FIELD_DATA, &message->data_size);
	if (fields.error != ERROR_NONE)
		return fields.error;
	if (type != COMMAND_MESSAGE_REQUEST && type != COMMAND_MESSAGE_REPLY)
		return ERROR_NOT_SUPPORTED;
	message->type = (enum command_message_type)type;
	message->error = error_number < ERROR_CODE_COUNT
			     ? (enum error_code)error_number
			     : ERROR_INTERNAL;
	return ERROR_NONE;
}
