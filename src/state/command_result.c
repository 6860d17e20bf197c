#include "state/command.h"

#include <string.h>

#define RESULT_VERSION 1 /* Format of encoded results. */

/* Message fields of a result. */
enum result_field {
	FIELD_VERSION = 0,
	FIELD_ERROR,
	FIELD_INDEX,
	FIELD_SEQUENCE,
	FIELD_REVISION,
	FIELD_CLAIM_STATE,
	FIELD_CLAIM_OUTCOME,
	FIELD_CLAIM_HOST,
	FIELD_FENCING,
	FIELD_EPOCH,
	FIELD_COUNT,
};

static enum error_code read_result(
    const struct message_reader *reader, void *context);

void
command_result_encode(
    const struct command_result *result, struct message_writer *writer)
{
	message_begin_map(writer, FIELD_COUNT);
	message_put_uint(writer, FIELD_VERSION, RESULT_VERSION);
	message_put_uint(writer, FIELD_ERROR, result->error);
	message_put_uint(writer, FIELD_INDEX, result->index);
	message_put_uint(writer, FIELD_SEQUENCE, result->sequence);
	message_put_uint(writer, FIELD_REVISION, result->revision);
	message_put_uint(writer, FIELD_CLAIM_STATE, result->claim_state);
	message_put_uint(writer, FIELD_CLAIM_OUTCOME, result->claim_outcome);
	message_put_uint(writer, FIELD_CLAIM_HOST, result->claim_host);
	message_put_uint(writer, FIELD_FENCING, result->fencing_number);
	message_put_uint(writer, FIELD_EPOCH, result->epoch);
}

enum error_code
command_result_decode(
    struct command_result *result, const void *data, size_t size)
{
	enum error_code error;

	memset(result, 0, sizeof(*result));
	error = message_read(data, size, read_result, result);
	if (error != ERROR_NONE)
		memset(result, 0, sizeof(*result));
	return error;
}

static enum error_code
read_result(const struct message_reader *reader, void *context)
{
	struct message_fields fields = {.reader = reader};
	struct command_result *result = context;
	uint64_t version, code;

	version = message_fields_uint(&fields, FIELD_VERSION);
	code = message_fields_uint(&fields, FIELD_ERROR);
	result->error =
	    code < ERROR_CODE_COUNT ? (enum error_code)code : ERROR_INTERNAL;
	result->index = message_fields_uint(&fields, FIELD_INDEX);
	result->sequence = message_fields_uint(&fields, FIELD_SEQUENCE);
	result->revision = message_fields_uint(&fields, FIELD_REVISION);
	result->claim_state =
	    (enum claim_state)message_fields_uint(&fields, FIELD_CLAIM_STATE);
	result->claim_outcome = (enum request_outcome)message_fields_uint(
	    &fields, FIELD_CLAIM_OUTCOME);
	result->claim_host =
	    (uint32_t)message_fields_uint(&fields, FIELD_CLAIM_HOST);
	result->fencing_number = message_fields_uint(&fields, FIELD_FENCING);
	result->epoch = message_fields_uint(&fields, FIELD_EPOCH);
	if (fields.error == ERROR_NONE && version != RESULT_VERSION)
		return ERROR_UNSUPPORTED_VERSION;
	return fields.error;
}
