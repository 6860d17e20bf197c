#include "protocol/upstream_message.h"

#include <string.h>

/* Keys of the fields of an entry on the wire, the body of a gossip item. */
enum entry_field {
	ENTRY_NAME = 0,
	ENTRY_INCARNATION = 1,
	ENTRY_SEQUENCE = 2,
	ENTRY_URL = 3,
	ENTRY_DATA_CENTRE = 4,
	ENTRY_KIND = 5,
	ENTRY_STATE = 6,
	ENTRY_HONOURS_FENCING = 7,
	ENTRY_MODELS = 8,
	ENTRY_LABELS = 9,
	ENTRY_COLD_REQUESTS = 10,
	ENTRY_WARM_REQUESTS = 11,
	ENTRY_COLD_PREFILL_TOKENS = 12,
	ENTRY_WARM_PREFILL_TOKENS = 13,
	ENTRY_KV_TOKENS = 14,
	ENTRY_PREFILL_SPEED = 15,
	ENTRY_DECODE_TIME = 16,
	ENTRY_HOME = 17,
	ENTRY_HOME_INCARNATION = 18,
	ENTRY_EPOCH = 19,
	ENTRY_IS_EXPIRED = 20,
	ENTRY_FIELD_COUNT
};

/* Keys of the fields of a model in the models array. */
enum model_field {
	MODEL_NAME = 0,
};

/* Keys of the fields of a label in the labels array. */
enum label_field {
	LABEL_KEY = 0,
	LABEL_VALUE = 1,
};

/* Keys of the fields of load reports, renewals and subscriptions on the
 * wire. */
enum message_field {
	FIELD_VERSION = 0,
	FIELD_TYPE = 1,
	FIELD_ID = 2,
	FIELD_INCARNATION = 3,
	FIELD_SEQUENCE = 4,
	FIELD_AGE = 5,
	FIELD_RUNNING_REQUESTS = 6,
	FIELD_QUEUED_REQUESTS = 7,
	FIELD_QUEUED_PREFILL_TOKENS = 8,
	FIELD_KV_TOKENS_USED = 9,
	FIELD_COUNT
};

/* Number of fields in a renewal or subscription. */
#define NOTICE_FIELD_COUNT 4

static void write_lists(
    struct message_writer *writer, const struct upstream_record *record);
static enum error_code read_entry(
    const struct message_reader *reader, void *context);
static void read_limits(
    struct message_fields *fields, struct upstream_limits *limits);
static void read_models(
    struct message_fields *fields, struct upstream_record *record);
static void read_labels(
    struct message_fields *fields, struct upstream_record *record);
static void read_element_name(struct message_fields *fields,
    const struct message_array *array, uint32_t index, uint32_t key,
    char name[NAME_SIZE_MAX]);
static enum error_code read_load(
    const struct message_reader *reader, void *context);

void
upstream_entry_write(
    struct message_writer *writer, const struct upstream_entry_body *entry)
{
	const struct upstream_record *record = &entry->record;
	const struct upstream_limits *limits = &record->limits;

	message_begin_map(writer, ENTRY_FIELD_COUNT);
	message_put_text(writer, ENTRY_NAME, record->name);
	message_put_uint(writer, ENTRY_INCARNATION, record->incarnation);
	message_put_uint(writer, ENTRY_SEQUENCE, record->sequence);
	message_put_text(writer, ENTRY_URL, record->url);
	message_put_text(writer, ENTRY_DATA_CENTRE, record->data_centre);
	message_put_uint(writer, ENTRY_KIND, record->kind);
	message_put_uint(writer, ENTRY_STATE, record->state);
	message_put_uint(
	    writer, ENTRY_HONOURS_FENCING, record->honours_fencing);
	write_lists(writer, record);
	message_put_uint(writer, ENTRY_COLD_REQUESTS, limits->cold_requests);
	message_put_uint(writer, ENTRY_WARM_REQUESTS, limits->warm_requests);
	message_put_uint(
	    writer, ENTRY_COLD_PREFILL_TOKENS, limits->cold_prefill_tokens);
	message_put_uint(
	    writer, ENTRY_WARM_PREFILL_TOKENS, limits->warm_prefill_tokens);
	message_put_uint(writer, ENTRY_KV_TOKENS, limits->kv_tokens);
	message_put_uint(
	    writer, ENTRY_PREFILL_SPEED, limits->prefill_tokens_per_s);
	message_put_uint(
	    writer, ENTRY_DECODE_TIME, limits->decode_us_per_token);
	message_put_uint(writer, ENTRY_HOME, entry->home);
	message_put_uint(
	    writer, ENTRY_HOME_INCARNATION, entry->home_incarnation);
	message_put_uint(writer, ENTRY_EPOCH, entry->epoch);
	message_put_uint(writer, ENTRY_IS_EXPIRED, entry->is_expired);
}

enum error_code
upstream_entry_read(
    const void *body, size_t size, struct upstream_entry_body *entry)
{
	memset(entry, 0, sizeof(*entry));
	return message_read(body, size, read_entry, entry);
}

void
upstream_load_write(
    struct message_writer *writer, const struct upstream_load *load)
{
	message_begin_map(writer, FIELD_COUNT);
	message_put_uint(writer, FIELD_VERSION, UPSTREAM_MESSAGE_VERSION);
	message_put_uint(writer, FIELD_TYPE, UPSTREAM_TYPE_LOAD);
	message_put_uint(writer, FIELD_ID, load->id);
	message_put_uint(writer, FIELD_INCARNATION, load->incarnation);
	message_put_uint(writer, FIELD_SEQUENCE, load->sequence);
	message_put_int(writer, FIELD_AGE, load->age_ms);
	message_put_uint(
	    writer, FIELD_RUNNING_REQUESTS, load->running_requests);
	message_put_uint(writer, FIELD_QUEUED_REQUESTS, load->queued_requests);
	message_put_uint(
	    writer, FIELD_QUEUED_PREFILL_TOKENS, load->queued_prefill_tokens);
	message_put_uint(writer, FIELD_KV_TOKENS_USED, load->kv_tokens_used);
}

enum error_code
upstream_load_read(const void *body, size_t size, struct upstream_load *load)
{
	memset(load, 0, sizeof(*load));
	return message_read(body, size, read_load, load);
}

void
upstream_notice_write(struct message_writer *writer,
    enum upstream_message_type type, uint64_t id, uint64_t incarnation)
{
	message_begin_map(writer, NOTICE_FIELD_COUNT);
	message_put_uint(writer, FIELD_VERSION, UPSTREAM_MESSAGE_VERSION);
	message_put_uint(writer, FIELD_TYPE, type);
	message_put_uint(writer, FIELD_ID, id);
	message_put_uint(writer, FIELD_INCARNATION, incarnation);
}

enum error_code
upstream_notice_read(
    const void *body, size_t size, uint64_t *id, uint64_t *incarnation)
{
	struct message_reader reader;
	struct message_fields fields = {.reader = &reader};
	enum error_code error;
	uint32_t type;

	error = message_reader_init(&reader, body, size);
	if (error != ERROR_NONE)
		return error;
	fields.error =
	    message_get_type(&reader, UPSTREAM_MESSAGE_VERSION, &type);
	*id = message_fields_uint(&fields, FIELD_ID);
	*incarnation = message_fields_uint(&fields, FIELD_INCARNATION);
	message_reader_finish(&reader);
	return fields.error;
}

enum error_code
upstream_message_type(const void *body, size_t size, uint32_t *type)
{
	return message_peek_type(body, size, UPSTREAM_MESSAGE_VERSION, type);
}

/* Writes the models and labels, which are arrays. */
static void
write_lists(struct message_writer *writer, const struct upstream_record *record)
{
	uint32_t i;

	message_put_array(writer, ENTRY_MODELS, record->model_count);
	for (i = 0; i < record->model_count; i++) {
		message_begin_map(writer, 1);
		message_put_text(writer, MODEL_NAME, record->models[i]);
	}
	message_put_array(writer, ENTRY_LABELS, record->label_count);
	for (i = 0; i < record->label_count; i++) {
		message_begin_map(writer, 2);
		message_put_text(writer, LABEL_KEY, record->labels[i].key);
		message_put_text(writer, LABEL_VALUE, record->labels[i].value);
	}
}

static enum error_code
read_entry(const struct message_reader *reader, void *context)
{
	struct upstream_entry_body *entry = context;
	struct upstream_record *record = &entry->record;
	struct message_fields fields = {.reader = reader};
	uint64_t kind, state;

	message_fields_text(
	    &fields, ENTRY_NAME, record->name, sizeof(record->name));
	message_fields_text(
	    &fields, ENTRY_URL, record->url, sizeof(record->url));
	message_fields_text(&fields, ENTRY_DATA_CENTRE, record->data_centre,
	    sizeof(record->data_centre));
	record->id = upstream_id(record->name);
	record->incarnation = message_fields_uint(&fields, ENTRY_INCARNATION);
	record->sequence = message_fields_uint(&fields, ENTRY_SEQUENCE);
	kind = message_fields_uint(&fields, ENTRY_KIND);
	state = message_fields_uint(&fields, ENTRY_STATE);
	record->honours_fencing =
	    message_fields_uint(&fields, ENTRY_HONOURS_FENCING) != 0;
	read_models(&fields, record);
	read_labels(&fields, record);
	read_limits(&fields, &record->limits);
	entry->home = message_fields_uint32(&fields, ENTRY_HOME);
	entry->home_incarnation =
	    message_fields_uint(&fields, ENTRY_HOME_INCARNATION);
	entry->epoch = message_fields_uint32(&fields, ENTRY_EPOCH);
	entry->is_expired = message_fields_uint(&fields, ENTRY_IS_EXPIRED) != 0;
	if (fields.error != ERROR_NONE)
		return fields.error;
	if (kind < UPSTREAM_KIND_MODEL || kind > UPSTREAM_KIND_SERVICE ||
	    state < UPSTREAM_STATE_ACTIVE || state > UPSTREAM_STATE_GONE)
		return ERROR_MALFORMED;
	record->kind = (enum upstream_kind)kind;
	record->state = (enum upstream_state)state;
	return ERROR_NONE;
}

static void
read_limits(struct message_fields *fields, struct upstream_limits *limits)
{
	limits->cold_requests =
	    message_fields_uint32(fields, ENTRY_COLD_REQUESTS);
	limits->warm_requests =
	    message_fields_uint32(fields, ENTRY_WARM_REQUESTS);
	limits->cold_prefill_tokens =
	    message_fields_uint(fields, ENTRY_COLD_PREFILL_TOKENS);
	limits->warm_prefill_tokens =
	    message_fields_uint(fields, ENTRY_WARM_PREFILL_TOKENS);
	limits->kv_tokens = message_fields_uint(fields, ENTRY_KV_TOKENS);
	limits->prefill_tokens_per_s =
	    message_fields_uint32(fields, ENTRY_PREFILL_SPEED);
	limits->decode_us_per_token =
	    message_fields_uint32(fields, ENTRY_DECODE_TIME);
}

static void
read_models(struct message_fields *fields, struct upstream_record *record)
{
	struct message_array models;
	uint32_t i;

	models = message_fields_array(fields, ENTRY_MODELS);
	if (models.count > MODELS_MAX)
		fields->error = ERROR_TOO_LARGE;
	for (i = 0; fields->error == ERROR_NONE && i < models.count; i++) {
		read_element_name(
		    fields, &models, i, MODEL_NAME, record->models[i]);
		record->model_count = i + 1;
	}
}

static void
read_labels(struct message_fields *fields, struct upstream_record *record)
{
	struct message_array labels;
	uint32_t i;

	labels = message_fields_array(fields, ENTRY_LABELS);
	if (labels.count > LABELS_MAX)
		fields->error = ERROR_TOO_LARGE;
	for (i = 0; fields->error == ERROR_NONE && i < labels.count; i++) {
		read_element_name(
		    fields, &labels, i, LABEL_KEY, record->labels[i].key);
		read_element_name(
		    fields, &labels, i, LABEL_VALUE, record->labels[i].value);
		record->label_count = i + 1;
	}
}

/* Reads a text of an array's element. */
static void
read_element_name(struct message_fields *fields,
    const struct message_array *array, uint32_t index, uint32_t key,
    char name[NAME_SIZE_MAX])
{
	struct message_reader element;

	if (fields->error == ERROR_NONE)
		fields->error = message_array_get_map(array, index, &element);
	if (fields->error == ERROR_NONE)
		fields->error =
		    message_get_text(&element, key, name, NAME_SIZE_MAX);
}

static enum error_code
read_load(const struct message_reader *reader, void *context)
{
	struct upstream_load *load = context;
	struct message_fields fields = {.reader = reader};
	uint32_t type;

	fields.error =
	    message_get_type(reader, UPSTREAM_MESSAGE_VERSION, &type);
	load->id = message_fields_uint(&fields, FIELD_ID);
	load->incarnation = message_fields_uint(&fields, FIELD_INCARNATION);
	load->sequence = message_fields_uint(&fields, FIELD_SEQUENCE);
	load->age_ms = message_fields_int(&fields, FIELD_AGE);
	load->running_requests =
	    message_fields_uint32(&fields, FIELD_RUNNING_REQUESTS);
	load->queued_requests =
	    message_fields_uint32(&fields, FIELD_QUEUED_REQUESTS);
	load->queued_prefill_tokens =
	    message_fields_uint(&fields, FIELD_QUEUED_PREFILL_TOKENS);
	load->kv_tokens_used =
	    message_fields_uint(&fields, FIELD_KV_TOKENS_USED);
	return fields.error;
}
