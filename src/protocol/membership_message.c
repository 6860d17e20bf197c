#include "protocol/membership_message.h"

#include <string.h>

/* Keys of the fields of a message of failure detection on the wire. */
enum membership_field {
	FIELD_VERSION = 0,
	FIELD_TYPE = 1,
	FIELD_PING_NUMBER = 2,
	FIELD_TARGET = 3,
	FIELD_ORIGIN = 4,
	FIELD_KNOWN_INCARNATION = 5,
	FIELD_KNOWN_REFUTATION = 6,
	FIELD_KNOWN_STATE = 7,
	FIELD_COUNT
};

/* Keys of the fields of a host record on the wire. */
enum host_field {
	HOST_ID = 0,
	HOST_IP = 1,
	HOST_PORT = 2,
	HOST_HTTP_IP = 3,
	HOST_HTTP_PORT = 4,
	HOST_DATA_CENTRE = 5,
	HOST_INCARNATION = 6,
	HOST_REFUTATION = 7,
	HOST_STATE = 8,
	HOST_FLAGS = 9,
	HOST_VOTER_INCARNATION = 10,
	HOST_FIELD_COUNT
};

static enum error_code read_message(
    const struct message_reader *reader, struct membership_message *message);
static enum error_code read_record(
    const struct message_reader *reader, struct host_record *host);
static enum error_code read_state(
    const struct message_reader *reader, uint32_t key, enum host_state *state);
static enum error_code read_port(
    const struct message_reader *reader, uint32_t key, uint16_t *port);

void
membership_message_write(
    struct message_writer *writer, const struct membership_message *message)
{
	message_begin_map(writer, FIELD_COUNT);
	message_put_uint(writer, FIELD_VERSION, MEMBERSHIP_MESSAGE_VERSION);
	message_put_uint(writer, FIELD_TYPE, message->type);
	message_put_uint(writer, FIELD_PING_NUMBER, message->ping_number);
	message_put_uint(writer, FIELD_TARGET, message->target);
	message_put_uint(writer, FIELD_ORIGIN, message->origin);
	message_put_uint(
	    writer, FIELD_KNOWN_INCARNATION, message->known_incarnation);
	message_put_uint(
	    writer, FIELD_KNOWN_REFUTATION, message->known_refutation);
	message_put_uint(writer, FIELD_KNOWN_STATE, message->known_state);
}

enum error_code
membership_message_read(
    const void *body, size_t size, struct membership_message *message)
{
	struct message_reader reader;
	enum error_code error;

	memset(message, 0, sizeof(*message));
	error = message_reader_init(&reader, body, size);
	if (error != ERROR_NONE)
		return error;
	error = read_message(&reader, message);
	message_reader_finish(&reader);
	return error;
}

enum error_code
membership_message_type(const void *body, size_t size, uint32_t *type)
{
	return message_peek_type(body, size, MEMBERSHIP_MESSAGE_VERSION, type);
}

void
host_record_write(struct message_writer *writer, const struct host_record *host)
{
	message_begin_map(writer, HOST_FIELD_COUNT);
	message_put_uint(writer, HOST_ID, host->id);
	message_put_text(writer, HOST_IP, host->ip);
	message_put_uint(writer, HOST_PORT, host->port);
	message_put_text(writer, HOST_HTTP_IP, host->http_ip);
	message_put_uint(writer, HOST_HTTP_PORT, host->http_port);
	message_put_text(writer, HOST_DATA_CENTRE, host->data_centre);
	message_put_uint(writer, HOST_INCARNATION, host->incarnation);
	message_put_uint(writer, HOST_REFUTATION, host->refutation);
	message_put_uint(writer, HOST_STATE, host->state);
	message_put_uint(writer, HOST_FLAGS, host->flags);
	message_put_uint(
	    writer, HOST_VOTER_INCARNATION, host->voter_incarnation);
}

enum error_code
host_record_read(const void *body, size_t size, struct host_record *host)
{
	struct message_reader reader;
	enum error_code error;

	memset(host, 0, sizeof(*host));
	error = message_reader_init(&reader, body, size);
	if (error != ERROR_NONE)
		return error;
	error = read_record(&reader, host);
	message_reader_finish(&reader);
	return error;
}

static enum error_code
read_message(
    const struct message_reader *reader, struct membership_message *message)
{
	enum error_code error;
	uint32_t type;

	error = message_get_type(reader, MEMBERSHIP_MESSAGE_VERSION, &type);
	if (error != ERROR_NONE)
		return error;
	if (type < MEMBERSHIP_TYPE_PING || type > MEMBERSHIP_TYPE_ANSWER)
		return ERROR_NOT_SUPPORTED;
	message->type = (enum membership_type)type;
	if ((error = message_get_uint(reader, FIELD_PING_NUMBER,
		 &message->ping_number)) != ERROR_NONE ||
	    (error = message_get_uint32(
		 reader, FIELD_TARGET, &message->target)) != ERROR_NONE ||
	    (error = message_get_uint32(
		 reader, FIELD_ORIGIN, &message->origin)) != ERROR_NONE ||
	    (error = message_get_uint(reader, FIELD_KNOWN_INCARNATION,
		 &message->known_incarnation)) != ERROR_NONE ||
	    (error = message_get_uint(reader, FIELD_KNOWN_REFUTATION,
		 &message->known_refutation)) != ERROR_NONE)
		return error;
	return read_state(reader, FIELD_KNOWN_STATE, &message->known_state);
}

static enum error_code
read_record(const struct message_reader *reader, struct host_record *host)
{
	enum error_code error;

	if ((error = message_get_uint32(reader, HOST_ID, &host->id)) !=
		ERROR_NONE ||
	    (error = message_get_text(
		 reader, HOST_IP, host->ip, sizeof(host->ip))) != ERROR_NONE ||
	    (error = read_port(reader, HOST_PORT, &host->port)) != ERROR_NONE ||
	    (error = message_get_text(reader, HOST_HTTP_IP, host->http_ip,
		 sizeof(host->http_ip))) != ERROR_NONE ||
	    (error = read_port(reader, HOST_HTTP_PORT, &host->http_port)) !=
		ERROR_NONE ||
	    (error = message_get_text(reader, HOST_DATA_CENTRE,
		 host->data_centre, sizeof(host->data_centre))) != ERROR_NONE ||
	    (error = message_get_uint(
		 reader, HOST_INCARNATION, &host->incarnation)) != ERROR_NONE ||
	    (error = message_get_uint(
		 reader, HOST_REFUTATION, &host->refutation)) != ERROR_NONE ||
	    (error = message_get_uint32(reader, HOST_FLAGS, &host->flags)) !=
		ERROR_NONE)
		return error;
	/* Hosts of earlier releases do not send this field. */
	if (message_get_uint(reader, HOST_VOTER_INCARNATION,
		&host->voter_incarnation) != ERROR_NONE)
		host->voter_incarnation = 0;
	if (host->id == 0)
		return ERROR_MALFORMED;
	return read_state(reader, HOST_STATE, &host->state);
}

static enum error_code
read_state(
    const struct message_reader *reader, uint32_t key, enum host_state *state)
{
	enum error_code error;
	uint64_t number;

	error = message_get_uint(reader, key, &number);
	if (error != ERROR_NONE)
		return error;
	if (number < HOST_STATE_ALIVE || number > HOST_STATE_LEFT)
		return ERROR_MALFORMED;
	*state = (enum host_state)number;
	return ERROR_NONE;
}

static enum error_code
read_port(const struct message_reader *reader, uint32_t key, uint16_t *port)
{
	enum error_code error;
	uint64_t number;

	error = message_get_uint(reader, key, &number);
	if (error != ERROR_NONE)
		return error;
	if (number > UINT16_MAX)
		return ERROR_MALFORMED;
	*port = (uint16_t)number;
	return ERROR_NONE;
}
