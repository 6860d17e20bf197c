#include "protocol/handshake_message.h"

#include <string.h>

/* Keys of the fields on the wire. */
enum handshake_field {
	FIELD_VERSION = 0,
	FIELD_TYPE = 1,
	FIELD_CLUSTER_ID = 2,
	FIELD_KEY_ID = 3,
	FIELD_HOST_ID = 4,
	FIELD_INCARNATION = 5,
	FIELD_NONCE = 6,
	FIELD_PROOF = 7,
	FIELD_ERROR = 8,
	FIELD_GENERATION = 9,
	FIELD_COUNT
};

static void read_bytes(struct message_fields *fields, uint32_t key,
    unsigned char *value, size_t size);
static enum error_code read_fields(
    const struct message_reader *reader, void *context);
static void append_bytes(unsigned char **end, const void *data, size_t size);

void
handshake_message_write(
    struct message_writer *writer, const struct handshake_message *message)
{
	message_begin_map(writer, FIELD_COUNT);
	message_put_uint(writer, FIELD_VERSION, HANDSHAKE_VERSION);
	message_put_uint(writer, FIELD_TYPE, message->type);
	message_put_text(writer, FIELD_CLUSTER_ID, message->cluster_id);
	message_put_uint(writer, FIELD_KEY_ID, message->key_id);
	message_put_uint(writer, FIELD_HOST_ID, message->host_id);
	message_put_uint(writer, FIELD_INCARNATION, message->incarnation);
	message_put_bytes(
	    writer, FIELD_NONCE, message->nonce, sizeof(message->nonce));
	message_put_bytes(
	    writer, FIELD_PROOF, message->proof, sizeof(message->proof));
	message_put_uint(writer, FIELD_ERROR, message->error);
	message_put_uint(writer, FIELD_GENERATION, message->generation);
}

enum error_code
handshake_message_read(
    const void *body, size_t size, struct handshake_message *message)
{
	memset(message, 0, sizeof(*message));
	return message_read(body, size, read_fields, message);
}

void
handshake_derive_session(struct frame_session *session,
    const unsigned char shared_key[FRAME_KEY_SIZE],
    const struct handshake_message *hello,
    const struct handshake_message *welcome)
{
	unsigned char transcript[2 * sizeof(*hello)];
	unsigned char *end;

	end = transcript;
	append_bytes(&end, hello->cluster_id, sizeof(hello->cluster_id));
	append_bytes(&end, &hello->key_id, sizeof(hello->key_id));
	append_bytes(&end, &hello->host_id, sizeof(hello->host_id));
	append_bytes(&end, &hello->incarnation, sizeof(hello->incarnation));
	append_bytes(&end, hello->nonce, sizeof(hello->nonce));
	append_bytes(&end, &welcome->host_id, sizeof(welcome->host_id));
	append_bytes(&end, &welcome->incarnation, sizeof(welcome->incarnation));
	append_bytes(&end, welcome->nonce, sizeof(welcome->nonce));
	frame_session_derive(
	    session, shared_key, transcript, (size_t)(end - transcript));
}

static enum error_code
read_fields(const struct message_reader *reader, void *context)
{
	struct handshake_message *message = context;
	struct message_fields fields = {.reader = reader};
	uint64_t type, code;

	fields.error = message_check_version(reader, HANDSHAKE_VERSION);
	type = message_fields_uint(&fields, FIELD_TYPE);
	if (fields.error != ERROR_NONE)
		return fields.error;
	if (type < HANDSHAKE_TYPE_HELLO || type > HANDSHAKE_TYPE_REFUSAL)
		return ERROR_NOT_SUPPORTED;
	message->type = (enum handshake_type)type;
	message_fields_text(&fields, FIELD_CLUSTER_ID, message->cluster_id,
	    sizeof(message->cluster_id));
	message->key_id = message_fields_uint32(&fields, FIELD_KEY_ID);
	message->host_id = message_fields_uint32(&fields, FIELD_HOST_ID);
	message->incarnation = message_fields_uint(&fields, FIELD_INCARNATION);
	read_bytes(
	    &fields, FIELD_NONCE, message->nonce, sizeof(message->nonce));
	read_bytes(
	    &fields, FIELD_PROOF, message->proof, sizeof(message->proof));
	code = message_fields_uint(&fields, FIELD_ERROR);
	message->error =
	    code < ERROR_CODE_COUNT ? (enum error_code)code : ERROR_INTERNAL;
	/* Hosts of earlier releases do not send this field. */
	message->has_generation = message_get_uint(reader, FIELD_GENERATION,
				      &message->generation) == ERROR_NONE;
	if (!message->has_generation)
		message->generation = 0;
	return fields.error;
}

/* Copies a field of raw bytes that must have exactly @p size bytes. */
static void
read_bytes(struct message_fields *fields, uint32_t key, unsigned char *value,
    size_t size)
{
	const void *bytes;
	size_t found;

	bytes = message_fields_bytes(fields, key, &found);
	if (fields->error != ERROR_NONE)
		return;
	if (found == size)
		memcpy(value, bytes, size);
	else
		fields->error = ERROR_MALFORMED;
}

/* Copies bytes to @p end and moves it past them. */
static void
append_bytes(unsigned char **end, const void *data, size_t size)
{
	memcpy(*end, data, size);
	*end += size;
}
