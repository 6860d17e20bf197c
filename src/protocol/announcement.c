#include "protocol/announcement.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

/* Largest values accepted in a body */
#define REQUESTS_MAX		 65536u /* Requests, running or queued. */
#define TOKENS_MAX		 1000000000ull /* Tokens in any field. */
#define PREFILL_TOKENS_PER_S_MAX 100000000u    /* Prompt tokens per second. */
#define DECODE_US_PER_TOKEN_MAX	 60000000u     /* Decode time of a token. */
#define REPORT_AGE_MS_MAX	 3600000u /* Age of a load report: one hour. */
/* Incarnation, sequence or event number; jansson's integers are signed. */
#define NUMBER_MAX INT64_MAX

/* Bytes of a field's path, such as "labels.<key>", with its terminating NUL;
 * keys are cut to 40 bytes in it. */
#define FIELD_PATH_SIZE 48

/* A numeric field to read from a JSON object, and where to store it. */
struct number_field {
	const char *name;
	uint64_t min;
	uint64_t max;
	uint64_t *value;
};

static json_t *parse_body(
    const char *body, size_t size, struct field_error *error);
static enum error_code read_numbers(const json_t *object,
    const struct number_field *fields, size_t count, struct field_error *error);
static enum error_code read_kind(const json_t *root,
    struct upstream_record *record, struct field_error *error);
static enum error_code read_url(const json_t *root,
    struct upstream_record *record, struct field_error *error);
static enum error_code read_models(const json_t *root,
    struct upstream_record *record, struct field_error *error);
static enum error_code read_labels(const json_t *root,
    struct upstream_record *record, struct field_error *error);
static enum error_code read_label(struct upstream_record *record,
    const char *key, const json_t *value, struct field_error *error);
static enum error_code read_limits(const json_t *root,
    struct upstream_record *record, struct field_error *error);
static enum error_code read_load(const json_t *object,
    struct upstream_renewal *renewal, struct field_error *error);
static enum error_code read_cache_event(const json_t *item,
    struct cache_batch_item *event, struct field_error *error);
static const char *cache_event_name(enum cache_event_kind kind);

enum error_code
announcement_parse(const char *body, size_t size,
    struct upstream_record *record, struct field_error *error)
{
	const struct number_field numbers[] = {
	    {"incarnation", 1, NUMBER_MAX, &record->incarnation},
	    {"sequence", 1, NUMBER_MAX, &record->sequence},
	};
	json_t *root;

	memset(record, 0, sizeof(*record));
	memset(error, 0, sizeof(*error));
	root = parse_body(body, size, error);
	if (root == NULL)
		return error->code;
	if (field_read_text(root, "name", record->name, sizeof(record->name),
		error) != ERROR_NONE ||
	    read_numbers(root, numbers, 2, error) != ERROR_NONE ||
	    read_url(root, record, error) != ERROR_NONE ||
	    field_read_text(root, "data_centre", record->data_centre,
		sizeof(record->data_centre), error) != ERROR_NONE ||
	    read_kind(root, record, error) != ERROR_NONE ||
	    read_models(root, record, error) != ERROR_NONE ||
	    read_labels(root, record, error) != ERROR_NONE ||
	    read_limits(root, record, error) != ERROR_NONE)
		goto done;
	record->honours_fencing =
	    json_is_true(json_object_get(root, "honours_fencing"));
	record->id = upstream_id(record->name);
	record->state = UPSTREAM_STATE_ACTIVE;

done:
	json_decref(root);
	return error->code;
}

enum error_code
renewal_parse(const char *body, size_t size, struct upstream_renewal *renewal,
    struct field_error *error)
{
	const struct number_field numbers[] = {
	    {"incarnation", 1, NUMBER_MAX, &renewal->incarnation},
	};
	const json_t *load;
	json_t *root;

	memset(renewal, 0, sizeof(*renewal));
	memset(error, 0, sizeof(*error));
	root = parse_body(body, size, error);
	if (root == NULL)
		return error->code;
	if (field_read_text(root, "name", renewal->name, sizeof(renewal->name),
		error) != ERROR_NONE ||
	    read_numbers(root, numbers, 1, error) != ERROR_NONE)
		goto done;
	load = json_object_get(root, "load");
	if (load == NULL)
		goto done;
	renewal->has_load = true;
	read_load(load, renewal, error);

done:
	json_decref(root);
	return error->code;
}

enum error_code
leave_parse(const char *body, size_t size, struct upstream_leave *leave,
    struct field_error *error)
{
	const struct number_field numbers[] = {
	    {"incarnation", 1, NUMBER_MAX, &leave->incarnation},
	    {"sequence", 1, NUMBER_MAX, &leave->sequence},
	};
	json_t *root;

	memset(leave, 0, sizeof(*leave));
	memset(error, 0, sizeof(*error));
	root = parse_body(body, size, error);
	if (root == NULL)
		return error->code;
	if (field_read_text(root, "name", leave->name, sizeof(leave->name),
		error) == ERROR_NONE)
		read_numbers(root, numbers, 2, error);
	leave->gone = json_is_true(json_object_get(root, "gone"));
	json_decref(root);
	return error->code;
}

enum error_code
cache_events_parse(const char *body, size_t size,
    struct cache_event_batch *batch, struct field_error *error)
{
	const struct number_field numbers[] = {
	    {"incarnation", 1, NUMBER_MAX, &batch->incarnation},
	};
	char name[NAME_SIZE_MAX];
	const json_t *events;
	json_t *root;
	size_t i;

	memset(batch, 0, sizeof(*batch));
	memset(error, 0, sizeof(*error));
	root = parse_body(body, size, error);
	if (root == NULL)
		return error->code;
	if (field_read_text(root, "name", name, sizeof(name), error) !=
		ERROR_NONE ||
	    read_numbers(root, numbers, 1, error) != ERROR_NONE)
		goto done;
	events = json_object_get(root, "events");
	if (!json_is_array(events) ||
	    json_array_size(events) > CACHE_EVENTS_MAX) {
		field_error_set(error,
		    json_is_array(events) ? ERROR_TOO_LARGE : ERROR_WRONG_TYPE,
		    "events", events, "an array of at most 256 events");
		goto done;
	}
	for (i = 0; i < json_array_size(events); i++) {
		if (read_cache_event(json_array_get(events, i),
			&batch->items[i], error) != ERROR_NONE)
			goto done;
	}
	batch->id = upstream_id(name);
	batch->count = (uint32_t)json_array_size(events);

done:
	json_decref(root);
	return error->code;
}

json_t *
announcement_write(const struct upstream_record *record)
{
	const struct upstream_limits *limits;
	json_t *models;
	json_t *labels;
	uint32_t i;

	limits = &record->limits;
	models = json_array();
	for (i = 0; i < record->model_count; i++)
		json_array_append_new(models, json_string(record->models[i]));
	labels = json_object();
	for (i = 0; i < record->label_count; i++)
		json_object_set_new(labels, record->labels[i].key,
		    json_string(record->labels[i].value));
	return json_pack("{s:s, s:I, s:I, s:s, s:s, s:s, s:b, s:o, s:o,"
			 " s:{s:I, s:I, s:I, s:I, s:I, s:I, s:I}}",
	    "name", record->name, "incarnation",
	    (json_int_t)record->incarnation, "sequence",
	    (json_int_t)record->sequence, "url", record->url, "data_centre",
	    record->data_centre, "kind",
	    record->kind == UPSTREAM_KIND_SERVICE ? "service" : "model",
	    "honours_fencing", record->honours_fencing ? 1 : 0, "models",
	    models, "labels", labels, "limits", "cold_requests",
	    (json_int_t)limits->cold_requests, "warm_requests",
	    (json_int_t)limits->warm_requests, "cold_prefill_tokens",
	    (json_int_t)limits->cold_prefill_tokens, "warm_prefill_tokens",
	    (json_int_t)limits->warm_prefill_tokens, "kv_tokens",
	    (json_int_t)limits->kv_tokens, "prefill_tokens_per_s",
	    (json_int_t)limits->prefill_tokens_per_s, "decode_us_per_token",
	    (json_int_t)limits->decode_us_per_token);
}

json_t *
renewal_write(const struct upstream_renewal *renewal)
{
	const struct upstream_load *load;
	json_t *root;

	root = json_pack("{s:s, s:I}", "name", renewal->name, "incarnation",
	    (json_int_t)renewal->incarnation);
	if (root == NULL || !renewal->has_load)
		return root;
	load = &renewal->load;
	json_object_set_new(root, "load",
	    json_pack("{s:I, s:I, s:I, s:I, s:I, s:I}", "sequence",
		(json_int_t)load->sequence, "age_ms", (json_int_t)load->age_ms,
		"running_requests", (json_int_t)load->running_requests,
		"queued_requests", (json_int_t)load->queued_requests,
		"queued_prefill_tokens",
		(json_int_t)load->queued_prefill_tokens, "kv_tokens_used",
		(json_int_t)load->kv_tokens_used));
	return root;
}

json_t *
leave_write(const struct upstream_leave *leave)
{
	return json_pack("{s:s, s:I, s:I, s:b}", "name", leave->name,
	    "incarnation", (json_int_t)leave->incarnation, "sequence",
	    (json_int_t)leave->sequence, "gone", leave->gone ? 1 : 0);
}

json_t *
cache_events_write(const char *name, const struct cache_event_batch *batch)
{
	const struct cache_batch_item *event;
	char hash[17];
	json_t *events;
	uint32_t i;

	events = json_array();
	for (i = 0; i < batch->count; i++) {
		event = &batch->items[i];
		snprintf(hash, sizeof(hash), "%016" PRIx64, event->prefix_hash);
		json_array_append_new(
		    events, json_pack("{s:I, s:s, s:s, s:I}", "number",
				(json_int_t)event->number, "kind",
				cache_event_name(event->kind), "prefix_hash",
				hash, "tokens", (json_int_t)event->tokens));
	}
	return json_pack("{s:s, s:I, s:o}", "name", name, "incarnation",
	    (json_int_t)batch->incarnation, "events", events);
}

static json_t *
parse_body(const char *body, size_t size, struct field_error *error)
{
	json_error_t json_error;
	json_t *root;

	if (size > ANNOUNCEMENT_SIZE_MAX) {
		field_error_set(error, ERROR_TOO_LARGE, "body", NULL,
		    "at most 65536 bytes");
		return NULL;
	}
	root = json_loadb(body, size, JSON_REJECT_DUPLICATES, &json_error);
	if (root == NULL) {
		field_error_set(error, ERROR_MALFORMED, "body", NULL,
		    "a JSON object without repeated keys");
		snprintf(error->value, sizeof(error->value), "line %d: %.70s",
		    json_error.line, json_error.text);
		return NULL;
	}
	if (!json_is_object(root)) {
		field_error_set(
		    error, ERROR_WRONG_TYPE, "body", root, "a JSON object");
		json_decref(root);
		return NULL;
	}
	return root;
}

static enum error_code
read_numbers(const json_t *object, const struct number_field *fields,
    size_t count, struct field_error *error)
{
	enum error_code code;
	size_t i;

	for (i = 0; i < count; i++) {
		code = field_read_uint(object, fields[i].name, fields[i].min,
		    fields[i].max, fields[i].value, error);
		if (code != ERROR_NONE)
			return code;
	}
	return ERROR_NONE;
}

static enum error_code
read_kind(const json_t *root, struct upstream_record *record,
    struct field_error *error)
{
	char kind[NAME_SIZE_MAX];
	enum error_code code;

	code = field_read_text(root, "kind", kind, sizeof(kind), error);
	if (code != ERROR_NONE)
		return code;
	if (strcmp(kind, "model") == 0)
		record->kind = UPSTREAM_KIND_MODEL;
	else if (strcmp(kind, "service") == 0)
		record->kind = UPSTREAM_KIND_SERVICE;
	else
		return field_error_set(error, ERROR_BAD_VALUE, "kind",
		    json_object_get(root, "kind"), "\"model\" or \"service\"");
	return ERROR_NONE;
}

static enum error_code
read_url(const json_t *root, struct upstream_record *record,
    struct field_error *error)
{
	enum error_code code;
	const char *url;

	code = field_read_text(
	    root, "url", record->url, sizeof(record->url), error);
	if (code != ERROR_NONE)
		return code;
	url = record->url;
	if (strncmp(url, "http://", 7) != 0 && strncmp(url, "https://", 8) != 0)
		goto bad;
	if (strpbrk(url, " ?#\"<>") != NULL || url[strlen(url) - 1] == '/')
		goto bad;
	return ERROR_NONE;

bad:
	return field_error_set(error, ERROR_BAD_VALUE, "url",
	    json_object_get(root, "url"),
	    "http(s)://address:port without query and without '/' at the end");
}

static enum error_code
read_models(const json_t *root, struct upstream_record *record,
    struct field_error *error)
{
	static const char expected[] = "an array of 1 to 8 names";
	const json_t *models;
	const json_t *model;
	size_t length;
	size_t i;

	models = json_object_get(root, "models");
	if (models == NULL)
		return field_error_set(
		    error, ERROR_MISSING_FIELD, "models", NULL, expected);
	if (!json_is_array(models))
		return field_error_set(
		    error, ERROR_WRONG_TYPE, "models", models, expected);
	if (json_array_size(models) == 0 ||
	    json_array_size(models) > MODELS_MAX)
		return field_error_set(
		    error, ERROR_BAD_VALUE, "models", models, expected);
	for (i = 0; i < json_array_size(models); i++) {
		model = json_array_get(models, i);
		length = json_string_length(model);
		if (length == 0 || length >= NAME_SIZE_MAX)
			return field_error_set(
			    error, ERROR_BAD_VALUE, "models", model, expected);
		memcpy(record->models[i], json_string_value(model), length + 1);
	}
	record->model_count = (uint32_t)json_array_size(models);
	return ERROR_NONE;
}

static enum error_code
read_labels(const json_t *root, struct upstream_record *record,
    struct field_error *error)
{
	const char *key;
	json_t *labels;
	json_t *value;
	enum error_code code;

	labels = json_object_get(root, "labels");
	if (labels == NULL)
		return ERROR_NONE;
	if (!json_is_object(labels))
		return field_error_set(error, ERROR_WRONG_TYPE, "labels",
		    labels, "an object whose values are strings");
	if (json_object_size(labels) > LABELS_MAX)
		return field_error_set(error, ERROR_TOO_LARGE, "labels", labels,
		    "at most 16 labels");
	json_object_foreach(labels, key, value)
	{
		code = read_label(record, key, value, error);
		if (code != ERROR_NONE)
			return code;
	}
	return ERROR_NONE;
}

static enum error_code
read_label(struct upstream_record *record, const char *key, const json_t *value,
    struct field_error *error)
{
	struct label *label;
	char path[FIELD_PATH_SIZE];

	snprintf(path, sizeof(path), "labels.%.40s", key);
	if (strlen(key) == 0 || strlen(key) >= NAME_SIZE_MAX ||
	    strchr(key, '/') != NULL || !json_is_string(value) ||
	    json_string_length(value) >= NAME_SIZE_MAX)
		return field_error_set(error, ERROR_BAD_VALUE, path, value,
		    "a key without '/' and a string, both under 64 bytes");
	label = &record->labels[record->label_count++];
	g_strlcpy(label->key, key, sizeof(label->key));
	g_strlcpy(label->value, json_string_value(value), sizeof(label->value));
	return ERROR_NONE;
}

static enum error_code
read_limits(const json_t *root, struct upstream_record *record,
    struct field_error *error)
{
	struct upstream_limits *limits;
	const json_t *object;
	uint64_t cold;
	uint64_t warm;
	uint64_t speed;
	uint64_t decode;
	enum error_code code;
	const bool is_model = record->kind == UPSTREAM_KIND_MODEL;
	const uint64_t model_min = is_model ? 1 : 0;

	limits = &record->limits;
	object = json_object_get(root, "limits");
	if (!json_is_object(object))
		return field_error_set(error,
		    object == NULL ? ERROR_MISSING_FIELD : ERROR_WRONG_TYPE,
		    "limits", object, "an object of numbers");
	{
		const struct number_field fields[] = {
		    {"cold_requests", 1, REQUESTS_MAX, &cold},
		    {"warm_requests", 1, REQUESTS_MAX, &warm},
		    {"cold_prefill_tokens", model_min, TOKENS_MAX,
			&limits->cold_prefill_tokens},
		    {"warm_prefill_tokens", model_min, TOKENS_MAX,
			&limits->warm_prefill_tokens},
		    {"kv_tokens", model_min, TOKENS_MAX, &limits->kv_tokens},
		    {"prefill_tokens_per_s", model_min,
			PREFILL_TOKENS_PER_S_MAX, &speed},
		    {"decode_us_per_token", 0, DECODE_US_PER_TOKEN_MAX,
			&decode},
		};

		code = read_numbers(
		    object, fields, sizeof(fields) / sizeof(fields[0]), error);
	}
	if (code != ERROR_NONE)
		return code;
	limits->cold_requests = (uint32_t)cold;
	limits->warm_requests = (uint32_t)warm;
	limits->prefill_tokens_per_s = (uint32_t)speed;
	limits->decode_us_per_token = (uint32_t)decode;
	if (cold > warm ||
	    limits->cold_prefill_tokens > limits->warm_prefill_tokens)
		return field_error_set(error, ERROR_BAD_VALUE, "limits", NULL,
		    "cold limits that are at most the warm ones");
	return ERROR_NONE;
}

static enum error_code
read_load(const json_t *object, struct upstream_renewal *renewal,
    struct field_error *error)
{
	struct upstream_load *load;
	uint64_t age;
	uint64_t running;
	uint64_t queued;
	enum error_code code;
	const struct number_field fields[] = {
	    {"sequence", 1, NUMBER_MAX, &renewal->load.sequence},
	    {"age_ms", 0, REPORT_AGE_MS_MAX, &age},
	    {"running_requests", 0, REQUESTS_MAX, &running},
	    {"queued_requests", 0, REQUESTS_MAX, &queued},
	    {"queued_prefill_tokens", 0, TOKENS_MAX,
		&renewal->load.queued_prefill_tokens},
	    {"kv_tokens_used", 0, TOKENS_MAX, &renewal->load.kv_tokens_used},
	};

	if (!json_is_object(object))
		return field_error_set(error, ERROR_WRONG_TYPE, "load", object,
		    "an object of numbers");
	code = read_numbers(
	    object, fields, sizeof(fields) / sizeof(fields[0]), error);
	if (code != ERROR_NONE)
		return code;
	load = &renewal->load;
	load->id = upstream_id(renewal->name);
	load->incarnation = renewal->incarnation;
	load->age_ms = (int64_t)age;
	load->running_requests = (uint32_t)running;
	load->queued_requests = (uint32_t)queued;
	return ERROR_NONE;
}

static enum error_code
read_cache_event(const json_t *item, struct cache_batch_item *event,
    struct field_error *error)
{
	char kind[NAME_SIZE_MAX];
	enum error_code code;
	int i;

	if (!json_is_object(item))
		return field_error_set(
		    error, ERROR_WRONG_TYPE, "events", item, "objects");
	code = field_read_uint(
	    item, "number", 1, NUMBER_MAX, &event->number, error);
	if (code != ERROR_NONE)
		return code;
	code = field_read_text(item, "kind", kind, sizeof(kind), error);
	if (code != ERROR_NONE)
		return code;
	for (i = CACHE_EVENT_STORED; i <= CACHE_EVENT_CLEARED; i++) {
		if (strcmp(kind, cache_event_name(i)) == 0)
			event->kind = i;
	}
	if (event->kind == 0)
		return field_error_set(error, ERROR_BAD_VALUE, "kind",
		    json_object_get(item, "kind"),
		    "\"stored\", \"evicted\" or \"cleared\"");
	if (event->kind == CACHE_EVENT_CLEARED)
		return ERROR_NONE;
	code = field_read_hex(item, "prefix_hash", &event->prefix_hash, error);
	if (code != ERROR_NONE)
		return code;
	return field_read_uint(
	    item, "tokens", 0, TOKENS_MAX, &event->tokens, error);
}

static const char *
cache_event_name(enum cache_event_kind kind)
{
	switch (kind) {
	case CACHE_EVENT_STORED:
		return "stored";
	case CACHE_EVENT_EVICTED:
		return "evicted";
	case CACHE_EVENT_CLEARED:
		break;
	}
	return "cleared";
}
