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
	HOST_LEVEL = 11,
	HOST_BUILD = 12,
	HOST_FIELD_COUNT
};

static enum error_code read_message(
    const struct message_reader *reader, void *context);
static enum error_code read_record(
    const struct message_reader *reader, void *context);
static void read_later_fields(
    const struct message_reader *reader, struct host_record *host);
static enum host_state read_state(struct message_fields *fields, uint32_t key);
static uint16_t read_port(struct message_fields *fields, uint32_t key);

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
	memset(message, 0, sizeof(*message));
	return message_read(body, size, read_message, message);
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
	message_put_uint(writer, HOST_LEVEL, host->level);
	message_put_text(writer, HOST_BUILD, host->build);
}

enum error_code
host_record_read(const void *body, size_t size, struct host_record *host)
{
	memset(host, 0, sizeof(*host));
	return message_read(body, size, read_record, host);
}

static enum error_code
read_message(const struct message_reader *reader, void *context)
{
	struct membership_message *message = context;
	struct message_fields fields = {.reader = reader};
	uint32_t type;

	fields.error =
	    message_get_type(reader, MEMBERSHIP_MESSAGE_VERSION, &type);
	if (fields.error != ERROR_NONE)
		return fields.error;
	if (type < MEMBERSHIP_TYPE_PING || type > MEMBERSHIP_TYPE_ANSWER)
		return ERROR_NOT_SUPPORTED;
	message->type = (enum membership_type)type;
	message->ping_number = message_fields_uint(&fields, FIELD_PING_NUMBER);
	message->target = message_fields_uint32(&fields, FIELD_TARGET);
	message->origin = message_fields_uint32(&fields, FIELD_ORIGIN);
	message->known_incarnation =
	    message_fields_uint(&fields, FIELD_KNOWN_INCARNATION);
	message->known_refutation =
	    message_fields_uint(&fields, FIELD_KNOWN_REFUTATION);
	message->known_state = read_state(&fields, FIELD_KNOWN_STATE);
	return fields.error;
}

static enum error_code
read_record(const struct message_reader *reader, void *context)
{
	struct host_record *host = context;
	struct message_fields fields = {.reader = reader};

	host->id = message_fields_uint32(&fields, HOST_ID);
	message_fields_text(&fields, HOST_IP, host->ip, sizeof(host->ip));
	host->port = read_port(&fields, HOST_PORT);
	message_fields_text(
	    &fields, HOST_HTTP_IP, host->http_ip, sizeof(host->http_ip));
	host->http_port = read_port(&fields, HOST_HTTP_PORT);
	message_fields_text(&fields, HOST_DATA_CENTRE, host->data_centre,
	    sizeof(host->data_centre));
	host->incarnation = message_fields_uint(&fields, HOST_INCARNATION);
	host->refutation = message_fields_uint(&fields, HOST_REFUTATION);
	host->flags = message_fields_uint32(&fields, HOST_FLAGS);
	if (fields.error == ERROR_NONE && host->id == 0)
		fields.error = ERROR_MALFORMED;
	host->state = read_state(&fields, HOST_STATE);
	read_later_fields(reader, host);
	return fields.error;
}

/* Hosts of earlier releases do not send these fields. */
static void
read_later_fields(const struct message_reader *reader, struct host_record *host)
{
	uint64_t level;

	if (message_get_uint(reader, HOST_VOTER_INCARNATION,
		&host->voter_incarnation) != ERROR_NONE)
		host->voter_incarnation = 0;
	if (message_get_uint(reader, HOST_LEVEL, &level) == ERROR_NONE)
		host->level =
		    level <= UINT32_MAX ? (uint32_t)level : UINT32_MAX;
	if (message_get_text(reader, HOST_BUILD, host->build,
		sizeof(host->build)) != ERROR_NONE)
		host->build[0] = '\0';
}

/* Returns HOST_STATE_ALIVE after an error. */
static enum host_state
read_state(struct message_fields *fields, uint32_t key)
{
	uint64_t number;

	number = message_fields_uint(fields, key);
	if (fields->error != ERROR_NONE)
		return HOST_STATE_ALIVE;
	if (number >= HOST_STATE_ALIVE && number <= HOST_STATE_LEFT)
		return (enum host_state)number;
	fields->error = ERROR_MALFORMED;
	return HOST_STATE_ALIVE;
}

static uint16_t
read_port(struct message_fields *fields, uint32_t key)
{
	uint64_t number;

	number = message_fields_uint(fields, key);
	if (number <= UINT16_MAX)
		return (uint16_t)number;
	fields->error = ERROR_MALFORMED;
	return 0;
}
