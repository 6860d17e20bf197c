#include "state/command.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#define COMMAND_VERSION 1 /* Format of encoded commands and results. */

/* Message fields of every command; those of a body start at FIELD_BODY. */
enum command_field {
	FIELD_VERSION = 0,
	FIELD_TYPE = 1,
	FIELD_OPERATION = 2,
	FIELD_BODY = 3,
};

/* Message fields of COMMAND_CONFIG, and of each change in its array. */
enum config_field {
	CONFIG_FIELD_EXPECTED = FIELD_BODY,
	CONFIG_FIELD_CHANGES = FIELD_BODY + 1,
	CONFIG_FIELD_COUNT = FIELD_BODY + 2,
	CHANGE_FIELD_KEY = 0,
	CHANGE_FIELD_VALUE = 1, /* Absent if the change deletes the key. */
};

/* Message fields of COMMAND_CLAIM_BEGIN and COMMAND_CLAIM_FINISH. */
enum claim_field {
	CLAIM_FIELD_ACCOUNT = FIELD_BODY,
	CLAIM_FIELD_KEY,
	CLAIM_FIELD_FINGERPRINT,
	CLAIM_FIELD_HOST,
	CLAIM_FIELD_INCARNATION,
	CLAIM_FIELD_REQUEST,
	CLAIM_FIELD_CREATED,
	CLAIM_FIELD_OUTCOME,
	CLAIM_FIELD_COUNT,
};

/* Message fields of COMMAND_QUARANTINE. */
enum quarantine_field {
	QUARANTINE_FIELD_FINGERPRINT = FIELD_BODY,
	QUARANTINE_FIELD_UNTIL,
	QUARANTINE_FIELD_SUSPICION,
	QUARANTINE_FIELD_CRASHES,
	QUARANTINE_FIELD_WEIGHT,
	QUARANTINE_FIELD_HOST,
	QUARANTINE_FIELD_COUNT,
};

/* Message fields of COMMAND_ORDER_BEGIN and COMMAND_ORDER_FINISH. */
enum order_field {
	ORDER_FIELD_UPSTREAM = FIELD_BODY,
	ORDER_FIELD_KIND,
	ORDER_FIELD_ARGUMENT,
	ORDER_FIELD_HOST,
	ORDER_FIELD_SUPERSEDES,
	ORDER_FIELD_FENCING,
	ORDER_FIELD_OUTCOME,
	ORDER_FIELD_COUNT,
};

/* Message fields of COMMAND_SET_LIVE_HOSTS, and of each host in its array. */
enum hosts_field {
	HOSTS_FIELD_EPOCH = FIELD_BODY,
	HOSTS_FIELD_HOSTS,
	HOSTS_FIELD_COUNT,
	HOST_FIELD_ID = 0,
	HOST_FIELD_INCARNATION = 1,
};

/* Message fields of COMMAND_DOCUMENT. */
enum document_field {
	DOCUMENT_FIELD_NAME = FIELD_BODY,
	DOCUMENT_FIELD_VERSION,
	DOCUMENT_FIELD_DATA,
	DOCUMENT_FIELD_COUNT,
};

/* Message fields of COMMAND_PARTS_CRASHED and COMMAND_PARTS_CLEARED, and of each
 * part in their array. */
enum parts_field {
	PARTS_FIELD_CRASH = FIELD_BODY,
	PARTS_FIELD_PARTS,
	PARTS_FIELD_AGE,
	PARTS_FIELD_COUNT,
	PART_FIELD_PART = 0,
	PART_FIELD_REQUEST = 2,
	PART_FIELD_COMPANIONS = 1, /* Hashes, least significant byte first. */
};

/* Message fields of a command's result. */
enum result_field {
	RESULT_FIELD_VERSION = 0,
	RESULT_FIELD_ERROR,
	RESULT_FIELD_INDEX,
	RESULT_FIELD_SEQUENCE,
	RESULT_FIELD_REVISION,
	RESULT_FIELD_CLAIM_STATE,
	RESULT_FIELD_CLAIM_OUTCOME,
	RESULT_FIELD_CLAIM_HOST,
	RESULT_FIELD_FENCING,
	RESULT_FIELD_EPOCH,
	RESULT_FIELD_COUNT,
};

static void put_text(
    struct message_writer *writer, uint32_t key, const char *text);
static enum error_code get_text(const struct message_reader *reader,
    uint32_t key, char *text, size_t text_size);
static void put_header(struct message_writer *writer,
    const struct command *command, uint32_t fields);
static void put_config(
    struct message_writer *writer, const struct command_config *config);
static void put_claim(
    struct message_writer *writer, const struct command_claim *claim);
static void put_order(
    struct message_writer *writer, const struct command_order *order);
static void put_hosts(
    struct message_writer *writer, const struct command_hosts *hosts);
static void put_document(
    struct message_writer *writer, const struct command_document *document);
static void put_parts(
    struct message_writer *writer, const struct command_parts *parts);
static enum error_code get_parts(
    const struct message_reader *reader, struct command_parts *parts);
static enum error_code get_evidence(const struct message_array *array,
    uint32_t index, struct part_evidence *evidence);
static enum error_code get_body(
    const struct message_reader *reader, struct command *command);
static enum error_code get_config(
    const struct message_reader *reader, struct command_config *config);
static enum error_code get_change(const struct message_array *array,
    uint32_t index, struct config_change *change);
static enum error_code get_claim(
    const struct message_reader *reader, struct command_claim *claim);
static enum error_code get_quarantine(
    const struct message_reader *reader, struct command_quarantine *quarantine);
static enum error_code get_order(
    const struct message_reader *reader, struct command_order *order);
static enum error_code get_hosts(
    const struct message_reader *reader, struct command_hosts *hosts);
static enum error_code get_document(
    const struct message_reader *reader, struct command_document *document);
static enum error_code read_result_error(
    uint64_t number, enum claim_state claim_state);

enum error_code
command_encode(const struct command *command, struct message_writer *writer)
{
	const struct command_quarantine *quarantine = &command->body.quarantine;
	const struct command_config *config = &command->body.config;

	switch (command->type) {
	case COMMAND_CONFIG:
		if (config->change_count == 0)
			return ERROR_INVALID_ARGUMENT;
		if (config->change_count > CONFIG_CHANGES_MAX)
			return ERROR_TOO_LARGE;
		put_header(writer, command, CONFIG_FIELD_COUNT);
		put_config(writer, config);
		return ERROR_NONE;
	case COMMAND_CLAIM_BEGIN:
	case COMMAND_CLAIM_FINISH:
		put_header(writer, command, CLAIM_FIELD_COUNT);
		put_claim(writer, &command->body.claim);
		return ERROR_NONE;
	case COMMAND_QUARANTINE:
		put_header(writer, command, QUARANTINE_FIELD_COUNT);
		message_put_uint(writer, QUARANTINE_FIELD_FINGERPRINT,
		    quarantine->fingerprint);
		message_put_int(
		    writer, QUARANTINE_FIELD_UNTIL, quarantine->until_ms);
		message_put_uint(writer, QUARANTINE_FIELD_SUSPICION,
		    quarantine->must_run_alone);
		message_put_uint(
		    writer, QUARANTINE_FIELD_CRASHES, quarantine->crashes);
		message_put_uint(writer, QUARANTINE_FIELD_WEIGHT,
		    quarantine->weight_permille);
		message_put_uint(
		    writer, QUARANTINE_FIELD_HOST, quarantine->host_id);
		return ERROR_NONE;
	case COMMAND_ORDER_BEGIN:
	case COMMAND_ORDER_FINISH:
		put_header(writer, command, ORDER_FIELD_COUNT);
		put_order(writer, &command->body.order);
		return ERROR_NONE;
	case COMMAND_SET_LIVE_HOSTS:
		if (command->body.hosts.count > HOSTS_MAX)
			return ERROR_TOO_LARGE;
		put_header(writer, command, HOSTS_FIELD_COUNT);
		put_hosts(writer, &command->body.hosts);
		return ERROR_NONE;
	case COMMAND_DOCUMENT:
		put_header(writer, command, DOCUMENT_FIELD_COUNT);
		put_document(writer, &command->body.document);
		return ERROR_NONE;
	case COMMAND_BARRIER:
		put_header(writer, command, FIELD_BODY);
		return ERROR_NONE;
	case COMMAND_PARTS_CRASHED:
	case COMMAND_PARTS_CLEARED:
		if (command->body.parts.count > COMMAND_PARTS_MAX)
			return ERROR_TOO_LARGE;
		put_header(writer, command, PARTS_FIELD_COUNT);
		put_parts(writer, &command->body.parts);
		return ERROR_NONE;
	}
	return ERROR_INVALID_ARGUMENT;
}

enum error_code
command_decode(struct command *command, const void *data, size_t size)
{
	struct message_reader reader;
	enum error_code error;
	uint64_t type;

	memset(command, 0, sizeof(*command));
	error = message_reader_init(&reader, data, size);
	if (error != ERROR_NONE)
		return error;
	error = message_check_version(&reader, COMMAND_VERSION);
	if (error == ERROR_NONE)
		error = message_get_uint(&reader, FIELD_TYPE, &type);
	if (error == ERROR_NONE)
		error = get_text(&reader, FIELD_OPERATION,
		    command->operation_id, sizeof(command->operation_id));
	if (error == ERROR_NONE) {
		command->type = (enum command_type)type;
		error = get_body(&reader, command);
	}
	message_reader_finish(&reader);
	if (error != ERROR_NONE)
		command_finish(command);
	return error;
}

void
command_finish(struct command *command)
{
	if (command->type == COMMAND_CONFIG)
		free(command->body.config.changes);
	if (command->type == COMMAND_SET_LIVE_HOSTS)
		free(command->body.hosts.hosts);
	if (command->type == COMMAND_DOCUMENT)
		free(command->body.document.owned_copy);
	memset(command, 0, sizeof(*command));
}

bool
command_is_public(enum command_type type)
{
	return type != COMMAND_CLAIM_BEGIN && type != COMMAND_CLAIM_FINISH &&
	       type != COMMAND_BARRIER;
}

void
command_result_encode(
    const struct command_result *result, struct message_writer *writer)
{
	message_begin_map(writer, RESULT_FIELD_COUNT);
	message_put_uint(writer, RESULT_FIELD_VERSION, COMMAND_VERSION);
	message_put_uint(writer, RESULT_FIELD_ERROR, result->error);
	message_put_uint(writer, RESULT_FIELD_INDEX, result->index);
	message_put_uint(writer, RESULT_FIELD_SEQUENCE, result->sequence);
	message_put_uint(writer, RESULT_FIELD_REVISION, result->revision);
	message_put_uint(writer, RESULT_FIELD_CLAIM_STATE, result->claim_state);
	message_put_uint(
	    writer, RESULT_FIELD_CLAIM_OUTCOME, result->claim_outcome);
	message_put_uint(writer, RESULT_FIELD_CLAIM_HOST, result->claim_host);
	message_put_uint(writer, RESULT_FIELD_FENCING, result->fencing_number);
	message_put_uint(writer, RESULT_FIELD_EPOCH, result->epoch);
}

enum error_code
command_result_decode(
    struct command_result *result, const void *data, size_t size)
{
	uint64_t values[RESULT_FIELD_COUNT] = {0};
	struct message_reader reader;
	enum error_code error;
	uint32_t i;

	memset(result, 0, sizeof(*result));
	error = message_reader_init(&reader, data, size);
	for (i = 0; error == ERROR_NONE && i < RESULT_FIELD_COUNT; i++)
		error = message_get_uint(&reader, i, &values[i]);
	message_reader_finish(&reader);
	if (error != ERROR_NONE)
		return error;
	if (values[RESULT_FIELD_VERSION] != COMMAND_VERSION)
		return ERROR_UNSUPPORTED_VERSION;
	result->index = values[RESULT_FIELD_INDEX];
	result->sequence = values[RESULT_FIELD_SEQUENCE];
	result->revision = values[RESULT_FIELD_REVISION];
	result->claim_state =
	    (enum claim_state)values[RESULT_FIELD_CLAIM_STATE];
	result->error =
	    read_result_error(values[RESULT_FIELD_ERROR], result->claim_state);
	result->claim_outcome =
	    (enum request_outcome)values[RESULT_FIELD_CLAIM_OUTCOME];
	result->claim_host = (uint32_t)values[RESULT_FIELD_CLAIM_HOST];
	result->fencing_number = values[RESULT_FIELD_FENCING];
	result->epoch = values[RESULT_FIELD_EPOCH];
	return ERROR_NONE;
}

/* Builds before 4b2aa68 lack ERROR_NO_PATH, so their numbers of all later codes
 * are lower by one. Of these, only claims give two: a duplicate request, which
 * always has a claim, and an expired key, which never has one. */
static enum error_code
read_result_error(uint64_t number, enum claim_state claim_state)
{
	if (number >= ERROR_CODE_COUNT)
		return ERROR_INTERNAL;
	if (number + 1 == ERROR_DUPLICATE_REQUEST)
		return ERROR_DUPLICATE_REQUEST;
	if (number == ERROR_DUPLICATE_REQUEST &&
	    claim_state == CLAIM_STATE_NONE)
		return ERROR_KEY_EXPIRED;
	return (enum error_code)number;
}

/* Encodes a text, which may be empty, as a field of raw bytes. */
static void
put_text(struct message_writer *writer, uint32_t key, const char *text)
{
	message_put_bytes(writer, key, text, strlen(text));
}

static enum error_code
get_text(const struct message_reader *reader, uint32_t key, char *text,
    size_t text_size)
{
	enum error_code error;
	const void *bytes;
	size_t size;

	error = message_get_bytes(reader, key, &bytes, &size);
	if (error != ERROR_NONE)
		return error;
	if (size >= text_size)
		return ERROR_TOO_LARGE;
	if (size > 0 && memchr(bytes, '\0', size) != NULL)
		return ERROR_MALFORMED;
	if (size > 0)
		memcpy(text, bytes, size);
	text[size] = '\0';
	return ERROR_NONE;
}

static void
put_header(struct message_writer *writer, const struct command *command,
    uint32_t fields)
{
	message_begin_map(writer, fields);
	message_put_uint(writer, FIELD_VERSION, COMMAND_VERSION);
	message_put_uint(writer, FIELD_TYPE, command->type);
	put_text(writer, FIELD_OPERATION, command->operation_id);
}

static void
put_config(struct message_writer *writer, const struct command_config *config)
{
	const struct config_change *change;
	uint32_t i;

	message_put_uint(
	    writer, CONFIG_FIELD_EXPECTED, config->expected_revision);
	message_put_array(writer, CONFIG_FIELD_CHANGES, config->change_count);
	for (i = 0; i < config->change_count; i++) {
		change = &config->changes[i];
		message_begin_map(writer, change->is_delete ? 1 : 2);
		put_text(writer, CHANGE_FIELD_KEY, change->key);
		if (!change->is_delete)
			put_text(writer, CHANGE_FIELD_VALUE, change->value);
	}
}

static void
put_claim(struct message_writer *writer, const struct command_claim *claim)
{
	put_text(writer, CLAIM_FIELD_ACCOUNT, claim->client_account);
	put_text(writer, CLAIM_FIELD_KEY, claim->idempotency_key);
	message_put_uint(writer, CLAIM_FIELD_FINGERPRINT, claim->fingerprint);
	message_put_uint(writer, CLAIM_FIELD_HOST, claim->host_id);
	message_put_uint(
	    writer, CLAIM_FIELD_INCARNATION, claim->host_incarnation);
	message_put_uint(writer, CLAIM_FIELD_REQUEST, claim->request_id);
	message_put_int(writer, CLAIM_FIELD_CREATED, claim->created_ms);
	message_put_uint(writer, CLAIM_FIELD_OUTCOME, claim->outcome);
}

static void
put_order(struct message_writer *writer, const struct command_order *order)
{
	message_put_uint(writer, ORDER_FIELD_UPSTREAM, order->upstream_id);
	message_put_uint(writer, ORDER_FIELD_KIND, order->kind);
	put_text(writer, ORDER_FIELD_ARGUMENT, order->argument);
	message_put_uint(writer, ORDER_FIELD_HOST, order->host_id);
	message_put_uint(writer, ORDER_FIELD_SUPERSEDES, order->supersedes);
	message_put_uint(writer, ORDER_FIELD_FENCING, order->fencing_number);
	message_put_uint(writer, ORDER_FIELD_OUTCOME, order->outcome);
}

static void
put_hosts(struct message_writer *writer, const struct command_hosts *hosts)
{
	uint32_t i;

	message_put_uint(writer, HOSTS_FIELD_EPOCH, hosts->expected_epoch);
	message_put_array(writer, HOSTS_FIELD_HOSTS, hosts->count);
	for (i = 0; i < hosts->count; i++) {
		message_begin_map(writer, 2);
		message_put_uint(
		    writer, HOST_FIELD_ID, hosts->hosts[i].host_id);
		message_put_uint(writer, HOST_FIELD_INCARNATION,
		    hosts->hosts[i].incarnation);
	}
}

static void
put_document(
    struct message_writer *writer, const struct command_document *document)
{
	put_text(writer, DOCUMENT_FIELD_NAME, document->name);
	message_put_uint(writer, DOCUMENT_FIELD_VERSION, document->version);
	message_put_bytes(
	    writer, DOCUMENT_FIELD_DATA, document->data, document->size);
}

static enum error_code
get_document(
    const struct message_reader *reader, struct command_document *document)
{
	enum error_code error;
	const void *data;

	error = get_text(reader, DOCUMENT_FIELD_NAME, document->name,
	    sizeof(document->name));
	if (error == ERROR_NONE)
		error = message_get_uint(
		    reader, DOCUMENT_FIELD_VERSION, &document->version);
	if (error == ERROR_NONE)
		error = message_get_bytes(
		    reader, DOCUMENT_FIELD_DATA, &data, &document->size);
	if (error != ERROR_NONE)
		return error;
	document->owned_copy = malloc(document->size + 1);
	if (document->owned_copy == NULL)
		return ERROR_NO_MEMORY;
	memcpy(document->owned_copy, data, document->size);
	document->data = document->owned_copy;
	return ERROR_NONE;
}

static void
put_parts(struct message_writer *writer, const struct command_parts *parts)
{
	const struct part_evidence *evidence;
	uint64_t companions[PART_COMPANIONS_MAX];
	uint32_t i, k;

	message_put_uint(writer, PARTS_FIELD_CRASH, parts->crash_id);
	message_put_uint(writer, PARTS_FIELD_AGE, parts->age_ms);
	message_put_array(writer, PARTS_FIELD_PARTS, parts->count);
	for (i = 0; i < parts->count; i++) {
		evidence = &parts->evidence[i];
		for (k = 0; k < evidence->companion_count; k++)
			companions[k] = GUINT64_TO_LE(evidence->companions[k]);
		message_begin_map(writer, 3);
		message_put_uint(writer, PART_FIELD_PART, evidence->part);
		message_put_uint(writer, PART_FIELD_REQUEST, evidence->request);
		message_put_bytes(writer, PART_FIELD_COMPANIONS, companions,
		    evidence->companion_count * sizeof(companions[0]));
	}
}

static enum error_code
get_parts(const struct message_reader *reader, struct command_parts *parts)
{
	struct message_array array = {0};
	enum error_code error;
	uint32_t i;

	error = message_get_uint(reader, PARTS_FIELD_CRASH, &parts->crash_id);
	if (error == ERROR_NONE)
		error =
		    message_get_uint32(reader, PARTS_FIELD_AGE, &parts->age_ms);
	if (error == ERROR_NONE)
		error = message_get_array(reader, PARTS_FIELD_PARTS, &array);
	if (error == ERROR_NONE && array.count > COMMAND_PARTS_MAX)
		error = ERROR_TOO_LARGE;
	for (i = 0; error == ERROR_NONE && i < array.count; i++)
		error = get_evidence(&array, i, &parts->evidence[i]);
	if (error == ERROR_NONE)
		parts->count = array.count;
	return error;
}

static enum error_code
get_evidence(const struct message_array *array, uint32_t index,
    struct part_evidence *evidence)
{
	struct message_reader element;
	enum error_code error;
	const void *companions;
	uint32_t i;
	size_t size;

	error = message_array_get_map(array, index, &element);
	if (error == ERROR_NONE)
		error = message_get_uint(
		    &element, PART_FIELD_PART, &evidence->part);
	if (error == ERROR_NONE)
		error = message_get_uint(
		    &element, PART_FIELD_REQUEST, &evidence->request);
	if (error == ERROR_NONE)
		error = message_get_bytes(
		    &element, PART_FIELD_COMPANIONS, &companions, &size);
	if (error != ERROR_NONE)
		return error;
	if (size > sizeof(evidence->companions) ||
	    size % sizeof(evidence->companions[0]) != 0)
		return ERROR_MALFORMED;
	memcpy(evidence->companions, companions, size);
	evidence->companion_count =
	    (uint32_t)(size / sizeof(evidence->companions[0]));
	for (i = 0; i < evidence->companion_count; i++)
		evidence->companions[i] =
		    GUINT64_FROM_LE(evidence->companions[i]);
	return ERROR_NONE;
}

static enum error_code
get_body(const struct message_reader *reader, struct command *command)
{
	switch (command->type) {
	case COMMAND_CONFIG:
		return get_config(reader, &command->body.config);
	case COMMAND_CLAIM_BEGIN:
	case COMMAND_CLAIM_FINISH:
		return get_claim(reader, &command->body.claim);
	case COMMAND_QUARANTINE:
		return get_quarantine(reader, &command->body.quarantine);
	case COMMAND_ORDER_BEGIN:
	case COMMAND_ORDER_FINISH:
		return get_order(reader, &command->body.order);
	case COMMAND_SET_LIVE_HOSTS:
		return get_hosts(reader, &command->body.hosts);
	case COMMAND_DOCUMENT:
		return get_document(reader, &command->body.document);
	case COMMAND_BARRIER:
		return ERROR_NONE;
	case COMMAND_PARTS_CRASHED:
	case COMMAND_PARTS_CLEARED:
		return get_parts(reader, &command->body.parts);
	}
	return ERROR_NOT_SUPPORTED;
}

static enum error_code
get_config(const struct message_reader *reader, struct command_config *config)
{
	struct message_array array;
	enum error_code error;
	uint32_t i;

	error = message_get_uint(
	    reader, CONFIG_FIELD_EXPECTED, &config->expected_revision);
	if (error == ERROR_NONE)
		error = message_get_array(reader, CONFIG_FIELD_CHANGES, &array);
	if (error != ERROR_NONE)
		return error;
	if (array.count == 0)
		return ERROR_INVALID_ARGUMENT;
	if (array.count > CONFIG_CHANGES_MAX)
		return ERROR_TOO_LARGE;
	config->changes = calloc(array.count, sizeof(*config->changes));
	if (config->changes == NULL)
		return ERROR_NO_MEMORY;
	config->change_count = array.count;
	for (i = 0; error == ERROR_NONE && i < array.count; i++)
		error = get_change(&array, i, &config->changes[i]);
	return error;
}

static enum error_code
get_change(const struct message_array *array, uint32_t index,
    struct config_change *change)
{
	struct message_reader element;
	enum error_code error;

	error = message_array_get_map(array, index, &element);
	if (error == ERROR_NONE)
		error = get_text(&element, CHANGE_FIELD_KEY, change->key,
		    sizeof(change->key));
	if (error != ERROR_NONE)
		return error;
	if (change->key[0] == '\0')
		return ERROR_INVALID_ARGUMENT;
	error = get_text(
	    &element, CHANGE_FIELD_VALUE, change->value, sizeof(change->value));
	change->is_delete = error == ERROR_MISSING_FIELD;
	return change->is_delete ? ERROR_NONE : error;
}

static enum error_code
get_claim(const struct message_reader *reader, struct command_claim *claim)
{
	enum error_code error;
	uint32_t outcome;

	error = get_text(reader, CLAIM_FIELD_ACCOUNT, claim->client_account,
	    sizeof(claim->client_account));
	if (error == ERROR_NONE)
		error = get_text(reader, CLAIM_FIELD_KEY,
		    claim->idempotency_key, sizeof(claim->idempotency_key));
	if (error == ERROR_NONE)
		error = message_get_uint(
		    reader, CLAIM_FIELD_FINGERPRINT, &claim->fingerprint);
	if (error == ERROR_NONE)
		error = message_get_uint32(
		    reader, CLAIM_FIELD_HOST, &claim->host_id);
	if (error == ERROR_NONE)
		error = message_get_uint(
		    reader, CLAIM_FIELD_INCARNATION, &claim->host_incarnation);
	if (error == ERROR_NONE)
		error = message_get_uint(
		    reader, CLAIM_FIELD_REQUEST, &claim->request_id);
	if (error == ERROR_NONE)
		error = message_get_int(
		    reader, CLAIM_FIELD_CREATED, &claim->created_ms);
	if (error == ERROR_NONE)
		error =
		    message_get_uint32(reader, CLAIM_FIELD_OUTCOME, &outcome);
	if (error != ERROR_NONE)
		return error;
	if (outcome > REQUEST_OUTCOME_UNKNOWN)
		return ERROR_INVALID_ARGUMENT;
	claim->outcome = (enum request_outcome)outcome;
	return ERROR_NONE;
}

static enum error_code
get_quarantine(
    const struct message_reader *reader, struct command_quarantine *quarantine)
{
	enum error_code error;
	uint64_t must_run_alone = 0;

	error = message_get_uint(
	    reader, QUARANTINE_FIELD_FINGERPRINT, &quarantine->fingerprint);
	if (error == ERROR_NONE)
		error = message_get_int(
		    reader, QUARANTINE_FIELD_UNTIL, &quarantine->until_ms);
	if (error == ERROR_NONE)
		error = message_get_uint(
		    reader, QUARANTINE_FIELD_SUSPICION, &must_run_alone);
	if (error == ERROR_NONE)
		error = message_get_uint32(
		    reader, QUARANTINE_FIELD_CRASHES, &quarantine->crashes);
	if (error == ERROR_NONE)
		error = message_get_uint32(reader, QUARANTINE_FIELD_WEIGHT,
		    &quarantine->weight_permille);
	quarantine->must_run_alone = error == ERROR_NONE && must_run_alone != 0;
	/* Entries in older journals don't tell the host. */
	if (message_get_uint32(reader, QUARANTINE_FIELD_HOST,
		&quarantine->host_id) != ERROR_NONE)
		quarantine->host_id = 0;
	return error;
}

static enum error_code
get_order(const struct message_reader *reader, struct command_order *order)
{
	enum error_code error;

	error =
	    message_get_uint(reader, ORDER_FIELD_UPSTREAM, &order->upstream_id);
	if (error == ERROR_NONE)
		error =
		    message_get_uint32(reader, ORDER_FIELD_KIND, &order->kind);
	if (error == ERROR_NONE)
		error = get_text(reader, ORDER_FIELD_ARGUMENT, order->argument,
		    sizeof(order->argument));
	if (error == ERROR_NONE)
		error = message_get_uint32(
		    reader, ORDER_FIELD_HOST, &order->host_id);
	if (error == ERROR_NONE)
		error = message_get_uint(
		    reader, ORDER_FIELD_SUPERSEDES, &order->supersedes);
	if (error == ERROR_NONE)
		error = message_get_uint(
		    reader, ORDER_FIELD_FENCING, &order->fencing_number);
	if (error == ERROR_NONE)
		error = message_get_uint32(
		    reader, ORDER_FIELD_OUTCOME, &order->outcome);
	return error;
}

static enum error_code
get_hosts(const struct message_reader *reader, struct command_hosts *hosts)
{
	struct message_reader element;
	struct message_array array;
	enum error_code error;
	uint32_t i;

	error =
	    message_get_uint(reader, HOSTS_FIELD_EPOCH, &hosts->expected_epoch);
	if (error == ERROR_NONE)
		error = message_get_array(reader, HOSTS_FIELD_HOSTS, &array);
	if (error != ERROR_NONE)
		return error;
	if (array.count > HOSTS_MAX)
		return ERROR_TOO_LARGE;
	hosts->hosts = calloc(array.count + 1, sizeof(*hosts->hosts));
	if (hosts->hosts == NULL)
		return ERROR_NO_MEMORY;
	hosts->count = array.count;
	for (i = 0; error == ERROR_NONE && i < array.count; i++) {
		error = message_array_get_map(&array, i, &element);
		if (error == ERROR_NONE)
			error = message_get_uint32(
			    &element, HOST_FIELD_ID, &hosts->hosts[i].host_id);
		if (error == ERROR_NONE)
			error =
			    message_get_uint(&element, HOST_FIELD_INCARNATION,
				&hosts->hosts[i].incarnation);
	}
	return error;
}
