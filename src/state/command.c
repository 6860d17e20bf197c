#include "state/command.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "state/state_level.h"

#define COMMAND_VERSION 1 /* Format of encoded commands. */

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

static enum error_code read_command(
    const struct message_reader *reader, void *context);
static enum error_code read_type(
    const struct message_reader *reader, void *context);
static enum error_code read_kind(
    const struct message_reader *reader, void *context);
static void put_text(
    struct message_writer *writer, uint32_t key, const char *text);
static void get_text(
    struct message_fields *fields, uint32_t key, char *text, size_t text_size);
static void put_header(struct message_writer *writer,
    const struct command *command, uint32_t fields);
static void get_body(struct message_fields *fields, struct command *command);
static void put_config(
    struct message_writer *writer, const struct command_config *config);
static void get_config(
    struct message_fields *fields, struct command_config *config);
static enum error_code get_change(const struct message_array *array,
    uint32_t index, struct config_change *change);
static void put_claim(
    struct message_writer *writer, const struct command_claim *claim);
static void get_claim(
    struct message_fields *fields, struct command_claim *claim);
static void get_quarantine(
    struct message_fields *fields, struct command_quarantine *quarantine);
static void put_order(
    struct message_writer *writer, const struct command_order *order);
static void get_order(
    struct message_fields *fields, struct command_order *order);
static void put_hosts(
    struct message_writer *writer, const struct command_hosts *hosts);
static void get_hosts(
    struct message_fields *fields, struct command_hosts *hosts);
static enum error_code get_host(
    const struct message_array *array, uint32_t index, struct live_host *host);
static void put_document(
    struct message_writer *writer, const struct command_document *document);
static void get_document(
    struct message_fields *fields, struct command_document *document);
static void put_parts(
    struct message_writer *writer, const struct command_parts *parts);
static void get_parts(
    struct message_fields *fields, struct command_parts *parts);
static enum error_code get_evidence(const struct message_array *array,
    uint32_t index, struct part_evidence *evidence);

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
	enum error_code error;

	memset(command, 0, sizeof(*command));
	error = message_read(data, size, read_command, command);
	if (error != ERROR_NONE)
		command_finish(command);
	return error;
}

enum error_code
command_read_type(const void *data, size_t size, uint64_t *type)
{
	*type = 0;
	return message_read(data, size, read_kind, type);
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

static enum error_code
read_type(const struct message_reader *reader, void *context)
{
	uint64_t *type = context;
	enum error_code error;

	*type = 0;
	error = message_check_version(reader, COMMAND_VERSION);
	if (error == ERROR_NONE)
		error = message_get_uint(reader, FIELD_TYPE, type);
	if (error == ERROR_NONE &&
	    (*type < COMMAND_CONFIG || *type > COMMAND_TYPE_LAST))
		error = ERROR_NOT_SUPPORTED;
	return error;
}

/* A voter must not store a level that this build does not know. */
static enum error_code
read_kind(const struct message_reader *reader, void *context)
{
	struct message_fields fields = {.reader = reader};
	char name[NAME_SIZE_MAX] = "";
	const uint64_t *type = context;
	enum error_code error;
	uint64_t version;

	error = read_type(reader, context);
	if (error != ERROR_NONE || *type != COMMAND_DOCUMENT)
		return error;
	get_text(&fields, DOCUMENT_FIELD_NAME, name, sizeof(name));
	version = message_fields_uint(&fields, DOCUMENT_FIELD_VERSION);
	return fields.error == ERROR_NONE ? state_level_check(name, version)
					  : ERROR_NONE;
}

static enum error_code
read_command(const struct message_reader *reader, void *context)
{
	struct command *command = context;
	struct message_fields fields = {.reader = reader};
	uint64_t type;

	fields.error = read_type(reader, &type);
	get_text(&fields, FIELD_OPERATION, command->operation_id,
	    sizeof(command->operation_id));
	if (fields.error != ERROR_NONE)
		return fields.error;
	command->type = (enum command_type)type;
	get_body(&fields, command);
	return fields.error;
}

/* Encodes a text, which may be empty, as a field of raw bytes. */
static void
put_text(struct message_writer *writer, uint32_t key, const char *text)
{
	message_put_bytes(writer, key, text, strlen(text));
}

static void
get_text(
    struct message_fields *fields, uint32_t key, char *text, size_t text_size)
{
	const void *bytes;
	size_t size;

	bytes = message_fields_bytes(fields, key, &size);
	if (fields->error != ERROR_NONE)
		return;
	if (size >= text_size) {
		fields->error = ERROR_TOO_LARGE;
		return;
	}
	if (size > 0 && memchr(bytes, '\0', size) != NULL) {
		fields->error = ERROR_MALFORMED;
		return;
	}
	if (size > 0)
		memcpy(text, bytes, size);
	text[size] = '\0';
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

static void
get_document(struct message_fields *fields, struct command_document *document)
{
	const void *data;

	get_text(fields, DOCUMENT_FIELD_NAME, document->name,
	    sizeof(document->name));
	document->version = message_fields_uint(fields, DOCUMENT_FIELD_VERSION);
	data =
	    message_fields_bytes(fields, DOCUMENT_FIELD_DATA, &document->size);
	if (fields->error != ERROR_NONE)
		return;
	document->owned_copy = malloc(document->size + 1);
	if (document->owned_copy == NULL) {
		fields->error = ERROR_NO_MEMORY;
		return;
	}
	memcpy(document->owned_copy, data, document->size);
	document->data = document->owned_copy;
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

static void
get_parts(struct message_fields *fields, struct command_parts *parts)
{
	struct message_array array;
	uint32_t i;

	parts->crash_id = message_fields_uint(fields, PARTS_FIELD_CRASH);
	parts->age_ms = message_fields_uint32(fields, PARTS_FIELD_AGE);
	array = message_fields_array(fields, PARTS_FIELD_PARTS);
	if (array.count > COMMAND_PARTS_MAX)
		fields->error = ERROR_TOO_LARGE;
	for (i = 0; fields->error == ERROR_NONE && i < array.count; i++)
		fields->error = get_evidence(&array, i, &parts->evidence[i]);
	if (fields->error == ERROR_NONE)
		parts->count = array.count;
}

static enum error_code
get_evidence(const struct message_array *array, uint32_t index,
    struct part_evidence *evidence)
{
	struct message_reader element;
	struct message_fields fields = {.reader = &element};
	const void *companions;
	uint32_t i;
	size_t size;

	fields.error = message_array_get_map(array, index, &element);
	evidence->part = message_fields_uint(&fields, PART_FIELD_PART);
	evidence->request = message_fields_uint(&fields, PART_FIELD_REQUEST);
	companions =
	    message_fields_bytes(&fields, PART_FIELD_COMPANIONS, &size);
	if (fields.error != ERROR_NONE)
		return fields.error;
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

/* Reads the body of a command of this type. */
static void
get_body(struct message_fields *fields, struct command *command)
{
	switch (command->type) {
	case COMMAND_CONFIG:
		get_config(fields, &command->body.config);
		return;
	case COMMAND_CLAIM_BEGIN:
	case COMMAND_CLAIM_FINISH:
		get_claim(fields, &command->body.claim);
		return;
	case COMMAND_QUARANTINE:
		get_quarantine(fields, &command->body.quarantine);
		return;
	case COMMAND_ORDER_BEGIN:
	case COMMAND_ORDER_FINISH:
		get_order(fields, &command->body.order);
		return;
	case COMMAND_SET_LIVE_HOSTS:
		get_hosts(fields, &command->body.hosts);
		return;
	case COMMAND_DOCUMENT:
		get_document(fields, &command->body.document);
		return;
	case COMMAND_BARRIER:
		return;
	case COMMAND_PARTS_CRASHED:
	case COMMAND_PARTS_CLEARED:
		get_parts(fields, &command->body.parts);
		return;
	}
	fields->error = ERROR_NOT_SUPPORTED;
}

static void
get_config(struct message_fields *fields, struct command_config *config)
{
	struct message_array array;
	uint32_t i;

	config->expected_revision =
	    message_fields_uint(fields, CONFIG_FIELD_EXPECTED);
	array = message_fields_array(fields, CONFIG_FIELD_CHANGES);
	if (fields->error == ERROR_NONE && array.count == 0)
		fields->error = ERROR_INVALID_ARGUMENT;
	if (array.count > CONFIG_CHANGES_MAX)
		fields->error = ERROR_TOO_LARGE;
	if (fields->error != ERROR_NONE)
		return;
	config->changes = calloc(array.count, sizeof(*config->changes));
	if (config->changes == NULL) {
		fields->error = ERROR_NO_MEMORY;
		return;
	}
	config->change_count = array.count;
	for (i = 0; fields->error == ERROR_NONE && i < array.count; i++)
		fields->error = get_change(&array, i, &config->changes[i]);
}

static enum error_code
get_change(const struct message_array *array, uint32_t index,
    struct config_change *change)
{
	struct message_reader element;
	struct message_fields fields = {.reader = &element};

	fields.error = message_array_get_map(array, index, &element);
	get_text(&fields, CHANGE_FIELD_KEY, change->key, sizeof(change->key));
	if (fields.error != ERROR_NONE)
		return fields.error;
	if (change->key[0] == '\0')
		return ERROR_INVALID_ARGUMENT;
	get_text(
	    &fields, CHANGE_FIELD_VALUE, change->value, sizeof(change->value));
	change->is_delete = fields.error == ERROR_MISSING_FIELD;
	return change->is_delete ? ERROR_NONE : fields.error;
}

static void
get_claim(struct message_fields *fields, struct command_claim *claim)
{
	uint32_t outcome;

	get_text(fields, CLAIM_FIELD_ACCOUNT, claim->client_account,
	    sizeof(claim->client_account));
	get_text(fields, CLAIM_FIELD_KEY, claim->idempotency_key,
	    sizeof(claim->idempotency_key));
	claim->fingerprint =
	    message_fields_uint(fields, CLAIM_FIELD_FINGERPRINT);
	claim->host_id = message_fields_uint32(fields, CLAIM_FIELD_HOST);
	claim->host_incarnation =
	    message_fields_uint(fields, CLAIM_FIELD_INCARNATION);
	claim->request_id = message_fields_uint(fields, CLAIM_FIELD_REQUEST);
	claim->created_ms = message_fields_int(fields, CLAIM_FIELD_CREATED);
	outcome = message_fields_uint32(fields, CLAIM_FIELD_OUTCOME);
	if (outcome > REQUEST_OUTCOME_UNKNOWN)
		fields->error = ERROR_INVALID_ARGUMENT;
	else
		claim->outcome = (enum request_outcome)outcome;
}

static void
get_quarantine(
    struct message_fields *fields, struct command_quarantine *quarantine)
{
	quarantine->fingerprint =
	    message_fields_uint(fields, QUARANTINE_FIELD_FINGERPRINT);
	quarantine->until_ms =
	    message_fields_int(fields, QUARANTINE_FIELD_UNTIL);
	quarantine->must_run_alone =
	    message_fields_uint(fields, QUARANTINE_FIELD_SUSPICION) != 0;
	quarantine->crashes =
	    message_fields_uint32(fields, QUARANTINE_FIELD_CRASHES);
	quarantine->weight_permille =
	    message_fields_uint32(fields, QUARANTINE_FIELD_WEIGHT);
	/* Entries in older journals don't tell the host. */
	if (message_get_uint32(fields->reader, QUARANTINE_FIELD_HOST,
		&quarantine->host_id) != ERROR_NONE)
		quarantine->host_id = 0;
}

static void
get_order(struct message_fields *fields, struct command_order *order)
{
	order->upstream_id = message_fields_uint(fields, ORDER_FIELD_UPSTREAM);
	order->kind = message_fields_uint32(fields, ORDER_FIELD_KIND);
	get_text(fields, ORDER_FIELD_ARGUMENT, order->argument,
	    sizeof(order->argument));
	order->host_id = message_fields_uint32(fields, ORDER_FIELD_HOST);
	order->supersedes = message_fields_uint(fields, ORDER_FIELD_SUPERSEDES);
	order->fencing_number =
	    message_fields_uint(fields, ORDER_FIELD_FENCING);
	order->outcome = message_fields_uint32(fields, ORDER_FIELD_OUTCOME);
}

static void
get_hosts(struct message_fields *fields, struct command_hosts *hosts)
{
	struct message_array array;
	uint32_t i;

	hosts->expected_epoch = message_fields_uint(fields, HOSTS_FIELD_EPOCH);
	array = message_fields_array(fields, HOSTS_FIELD_HOSTS);
	if (array.count > HOSTS_MAX)
		fields->error = ERROR_TOO_LARGE;
	if (fields->error != ERROR_NONE)
		return;
	hosts->hosts = calloc(array.count + 1, sizeof(*hosts->hosts));
	if (hosts->hosts == NULL) {
		fields->error = ERROR_NO_MEMORY;
		return;
	}
	hosts->count = array.count;
	for (i = 0; fields->error == ERROR_NONE && i < array.count; i++)
		fields->error = get_host(&array, i, &hosts->hosts[i]);
}

static enum error_code
get_host(
    const struct message_array *array, uint32_t index, struct live_host *host)
{
	struct message_reader element;
	struct message_fields fields = {.reader = &element};

	fields.error = message_array_get_map(array, index, &element);
	host->host_id = message_fields_uint32(&fields, HOST_FIELD_ID);
	host->incarnation =
	    message_fields_uint(&fields, HOST_FIELD_INCARNATION);
	return fields.error;
}
