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
    const struct message_reader *reader, struct upstream_entry_body *entry);
static enum error_code read_names(
    const struct message_reader *reader, struct upstream_record *record);
static enum error_code read_limits(
    const struct message_reader *reader, struct upstream_limits *limits);
static enum error_code read_models(
    const struct message_reader *reader, struct upstream_record *record);
static enum error_code read_labels(
    const struct message_reader *reader, struct upstream_record *record);
static enum error_code read_load(
    const struct message_reader *reader, struct upstream_load *load);

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
	struct message_reader reader;
	enum error_code error;

	memset(entry, 0, sizeof(*entry));
	error = message_reader_init(&reader, body, size);
	if (error != ERROR_NONE)
		return error;
	error = read_entry(&reader, entry);
	message_reader_finish(&reader);
	return error;
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
	struct message_reader reader;
	enum error_code error;

	memset(load, 0, sizeof(*load));
	error = message_reader_init(&reader, body, size);
	if (error != ERROR_NONE)
		return error;
	error = read_load(&reader, load);
	message_reader_finish(&reader);
	return error;
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
	enum error_code error;
	uint32_t type;

	error = message_reader_init(&reader, body, size);
	if (error != ERROR_NONE)
		return error;
	if ((error = message_get_type(
		 &reader, UPSTREAM_MESSAGE_VERSION, &type)) == ERROR_NONE &&
	    (error = message_get_uint(&reader, FIELD_ID, id)) == ERROR_NONE)
		error =
		    message_get_uint(&reader, FIELD_INCARNATION, incarnation);
	message_reader_finish(&reader);
	return error;
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
read_entry(
    const struct message_reader *reader, struct upstream_entry_body *entry)
{
	struct upstream_record *record = &entry->record;
	uint64_t kind, state, fencing, expired;
	enum error_code error;

	if ((error = read_names(reader, record)) != ERROR_NONE ||
	    (error = message_get_uint(reader, ENTRY_INCARNATION,
		 &record->incarnation)) != ERROR_NONE ||
	    (error = message_get_uint(
		 reader, ENTRY_SEQUENCE, &record->sequence)) != ERROR_NONE ||
	    (error = message_get_uint(reader, ENTRY_KIND, &kind)) !=
		ERROR_NONE ||
	    (error = message_get_uint(reader, ENTRY_STATE, &state)) !=
		ERROR_NONE ||
	    (error = message_get_uint(
		 reader, ENTRY_HONOURS_FENCING, &fencing)) != ERROR_NONE ||
	    (error = read_models(reader, record)) != ERROR_NONE ||
	    (error = read_labels(reader, record)) != ERROR_NONE ||
	    (error = read_limits(reader, &record->limits)) != ERROR_NONE ||
	    (error = message_get_uint32(reader, ENTRY_HOME, &entry->home)) !=
		ERROR_NONE ||
	    (error = message_get_uint(reader, ENTRY_HOME_INCARNATION,
		 &entry->home_incarnation)) != ERROR_NONE ||
	    (error = message_get_uint32(reader, ENTRY_EPOCH, &entry->epoch)) !=
		ERROR_NONE ||
	    (error = message_get_uint(reader, ENTRY_IS_EXPIRED, &expired)) !=
		ERROR_NONE)
		return error;
	if (kind < UPSTREAM_KIND_MODEL || kind > UPSTREAM_KIND_SERVICE ||
	    state < UPSTREAM_STATE_ACTIVE || state > UPSTREAM_STATE_GONE)
		return ERROR_MALFORMED;
	record->kind = (enum upstream_kind)kind;
	record->state = (enum upstream_state)state;
	record->honours_fencing = fencing != 0;
	entry->is_expired = expired != 0;
	return ERROR_NONE;
}

static enum error_code
read_names(const struct message_reader *reader, struct upstream_record *record)
{
	enum error_code error;

	error = message_get_text(
	    reader, ENTRY_NAME, record->name, sizeof(record->name));
	if (error == ERROR_NONE)
		error = message_get_text(
		    reader, ENTRY_URL, record->url, sizeof(record->url));
	if (error == ERROR_NONE)
		error = message_get_text(reader, ENTRY_DATA_CENTRE,
		    record->data_centre, sizeof(record->data_centre));
	record->id = upstream_id(record->name);
	return error;
}

static enum error_code
read_limits(const struct message_reader *reader, struct upstream_limits *limits)
{
	enum error_code error;

	if ((error = message_get_uint32(reader, ENTRY_COLD_REQUESTS,
		 &limits->cold_requests)) != ERROR_NONE ||
	    (error = message_get_uint32(reader, ENTRY_WARM_REQUESTS,
		 &limits->warm_requests)) != ERROR_NONE ||
	    (error = message_get_uint(reader, ENTRY_COLD_PREFILL_TOKENS,
		 &limits->cold_prefill_tokens)) != ERROR_NONE ||
	    (error = message_get_uint(reader, ENTRY_WARM_PREFILL_TOKENS,
		 &limits->warm_prefill_tokens)) != ERROR_NONE ||
	    (error = message_get_uint(
		 reader, ENTRY_KV_TOKENS, &limits->kv_tokens)) != ERROR_NONE ||
	    (error = message_get_uint32(reader, ENTRY_PREFILL_SPEED,
		 &limits->prefill_tokens_per_s)) != ERROR_NONE)
		return error;
	return message_get_uint32(
	    reader, ENTRY_DECODE_TIME, &limits->decode_us_per_token);
}

static enum error_code
read_models(const struct message_reader *reader, struct upstream_record *record)
{
	struct message_reader element;
	struct message_array models;
	enum error_code error;
	uint32_t i;

	error = message_get_array(reader, ENTRY_MODELS, &models);
	if (error == ERROR_NONE && models.count > MODELS_MAX)
		error = ERROR_TOO_LARGE;
	for (i = 0; error == ERROR_NONE && i < models.count; i++) {
		error = message_array_get_map(&models, i, &element);
		if (error == ERROR_NONE)
			error = message_get_text(&element, MODEL_NAME,
			    record->models[i], NAME_SIZE_MAX);
		record->model_count = i + 1;
	}
	return error;
}

static enum error_code
read_labels(const struct message_reader *reader, struct upstream_record *record)
{
	struct message_reader element;
	struct message_array labels;
	enum error_code error;
	uint32_t i;

	error = message_get_array(reader, ENTRY_LABELS, &labels);
	if (error == ERROR_NONE && labels.count > LABELS_MAX)
		error = ERROR_TOO_LARGE;
	for (i = 0; error == ERROR_NONE && i < labels.count; i++) {
		error = message_array_get_map(&labels, i, &element);
		if (error == ERROR_NONE)
			error = message_get_text(&element, LABEL_KEY,
			    record->labels[i].key, NAME_SIZE_MAX);
		if (error == ERROR_NONE)
			error = message_get_text(&element, LABEL_VALUE,
			    record->labels[i].value, NAME_SIZE_MAX);
		record->label_count = i + 1;
	}
	return error;
}

static enum error_code
read_load(const struct message_reader *reader, struct upstream_load *load)
{
	enum error_code error;
	uint32_t type;

	if ((error = message_get_type(
		 reader, UPSTREAM_MESSAGE_VERSION, &type)) != ERROR_NONE ||
	    (error = message_get_uint(reader, FIELD_ID, &load->id)) !=
		ERROR_NONE ||
	    (error = message_get_uint(reader, FIELD_INCARNATION,
		 &load->incarnation)) != ERROR_NONE ||
	    (error = message_get_uint(
		 reader, FIELD_SEQUENCE, &load->sequence)) != ERROR_NONE ||
	    (error = message_get_int(reader, FIELD_AGE, &load->age_ms)) !=
		ERROR_NONE ||
	    (error = message_get_uint32(reader, FIELD_RUNNING_REQUESTS,
		 &load->running_requests)) != ERROR_NONE ||
	    (error = message_get_uint32(reader, FIELD_QUEUED_REQUESTS,
		 &load->queued_requests)) != ERROR_NONE ||
	    (error = message_get_uint(reader, FIELD_QUEUED_PREFILL_TOKENS,
		 &load->queued_prefill_tokens)) != ERROR_NONE)
		return error;
	return message_get_uint(
	    reader, FIELD_KV_TOKENS_USED, &load->kv_tokens_used);
}
