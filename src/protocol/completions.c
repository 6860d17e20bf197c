#include "protocol/completions.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "protocol/prefix_hash.h"
#include "protocol/request_priority.h"
#include "protocol/sse.h"

#define MODEL_FIELD "model"
/* Growth of a part list beyond doubling. A chat message with one text has five
 * parts: "<|", role, "|>\n", text and "\n". */
#define PARTS_GROWTH_MIN   5
#define MILLISECONDS_PER_S 1000
#define STATUS_DEFAULT	   500 /* HTTP status of errors not in the table. */
#define STATUS_TIMEOUT	   408
#define STATUS_TOO_MANY	   429
#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503
/* Start of an Authorization header, before the token. */
#define BEARER_PREFIX "Bearer "
/* Bytes of a field's path, such as "messages[2].role". */
#define FIELD_PATH_SIZE 64

/* Parts of a prompt that is being assembled. */
struct part_list {
	struct text_part *parts;
	uint32_t count;
	uint32_t capacity;
};

static uint32_t status_of_code(enum error_code code);
static enum error_code read_body(const json_t *root,
    struct completions_request *request, struct part_list *list,
    struct field_error *error);
static enum error_code read_options(const json_t *root,
    struct completions_request *request, struct field_error *error);
static enum error_code read_prompt(
    const json_t *root, struct part_list *list, struct field_error *error);
static enum error_code read_messages(
    const json_t *root, struct part_list *list, struct field_error *error);
static enum error_code read_message(const json_t *message, size_t index,
    struct part_list *list, struct field_error *error);
static enum error_code read_contents(const json_t *contents, const char *path,
    struct part_list *list, struct field_error *error);
static bool add_part(struct part_list *list, const char *data, size_t size);
static bool add_text(struct part_list *list, const json_t *text);
static void release_root(void *owner);
static enum error_code read_deadline(
    const char *text, uint32_t *deadline_ms, struct field_error *error);
static enum error_code read_priority(const char *text,
    enum request_priority *priority, struct field_error *error);
static enum error_code copy_header(const char *value, const char *name,
    char *out, size_t size, struct field_error *error);
static enum error_code set_header_error(struct field_error *error,
    enum error_code code, const char *name, const char *value,
    const char *expected);
static void fill_common_facts(const struct caller_headers *headers,
    const struct shared_text *body, uint64_t fingerprint_key, int64_t now_ms,
    struct request_facts *facts);
static json_t *answer_json(
    const struct completions_answer *answer, const char *object);
static json_t *usage_json(const struct completions_answer *answer);
static const char *finish_reason(const struct completions_answer *answer);
static void write_event_json(GString *out, const char *name, json_t *root);
static json_t *error_json(const struct caller_error *error);

enum error_code
completions_parse(enum completions_kind kind, const char *body, size_t size,
    struct completions_request *request, struct field_error *error)
{
	struct part_list list;
	json_error_t json_error;
	json_t *root;

	memset(request, 0, sizeof(*request));
	memset(error, 0, sizeof(*error));
	memset(&list, 0, sizeof(list));
	request->kind = kind;
	root = json_loadb(body == NULL ? "" : body, size, 0, &json_error);
	if (root == NULL) {
		field_error_set(
		    error, ERROR_MALFORMED, "body", NULL, "a JSON object");
		snprintf(error->value, sizeof(error->value), "line %d: %.70s",
		    json_error.line, json_error.text);
		return error->code;
	}
	if (read_body(root, request, &list, error) != ERROR_NONE)
		goto done;
	request->prompt =
	    shared_text_create(list.parts, list.count, release_root, root);
	if (request->prompt == NULL)
		field_error_set(error, ERROR_NO_MEMORY, "body", NULL, "memory");
	else
		root = NULL;

done:
	free(list.parts);
	json_decref(root);
	return error->code;
}

void
completions_request_finish(struct completions_request *request)
{
	shared_text_unref(request->prompt);
	memset(request, 0, sizeof(*request));
}

enum error_code
caller_headers_parse(struct header_source source, uint32_t deadline_default_ms,
    struct caller_headers *headers, struct field_error *error)
{
	const char *value;

	memset(headers, 0, sizeof(*headers));
	memset(error, 0, sizeof(*error));
	headers->deadline_ms = deadline_default_ms;
	headers->priority = REQUEST_PRIORITY_NORMAL;
	value = source.get(source.context, "Authorization");
	if (value != NULL) {
		if (strncasecmp(value, BEARER_PREFIX, strlen(BEARER_PREFIX)) !=
		    0)
			return set_header_error(error, ERROR_UNAUTHENTICATED,
			    "Authorization", "", "\"Bearer <token>\"");
		value += strlen(BEARER_PREFIX);
		if (copy_header(value, "Authorization", headers->token,
			sizeof(headers->token), error) != ERROR_NONE)
			return error->code;
	}
	value = source.get(source.context, "X-Request-Deadline-Ms");
	if (value != NULL &&
	    read_deadline(value, &headers->deadline_ms, error) != ERROR_NONE)
		return error->code;
	value = source.get(source.context, "X-Priority");
	if (value != NULL &&
	    read_priority(value, &headers->priority, error) != ERROR_NONE)
		return error->code;
	value = source.get(source.context, "Idempotency-Key");
	if (value != NULL &&
	    copy_header(value, "Idempotency-Key", headers->idempotency_key,
		sizeof(headers->idempotency_key), error) != ERROR_NONE)
		return error->code;
	value = source.get(source.context, "X-Idempotent");
	if (value != NULL && strcmp(value, "true") != 0 &&
	    strcmp(value, "false") != 0)
		return set_header_error(error, ERROR_BAD_VALUE, "X-Idempotent",
		    value, "true or false");
	headers->is_idempotent = value != NULL && strcmp(value, "true") == 0;
	/* W3C Trace Context requires a new trace if the header is invalid. */
	value = source.get(source.context, "traceparent");
	headers->has_trace =
	    value != NULL &&
	    traceparent_parse(value, &headers->trace) == ERROR_NONE;
	if (!headers->has_trace)
		trace_context_start(&headers->trace);
	return ERROR_NONE;
}

void
completions_fill_facts(const struct completions_request *request,
    const struct caller_headers *headers, uint64_t fingerprint_key,
    int64_t now_ms, struct request_facts *facts)
{
	memcpy(facts->model, request->model, sizeof(facts->model));
	facts->answer_tokens_max = request->answer_tokens_max;
	fill_common_facts(
	    headers, request->prompt, fingerprint_key, now_ms, facts);
	facts->is_service_call = false;
	facts->is_idempotent = headers->idempotency_key[0] == '\0';
	facts->prompt_tokens = prompt_tokens_estimate(request->prompt->size);
	facts->prefix_count = prefix_hash_compute(
	    request->prompt, facts->prefix_hashes, facts->prefix_tokens);
}

void
service_call_fill_facts(const char *service, struct shared_text *body,
    const struct caller_headers *headers, uint64_t fingerprint_key,
    int64_t now_ms, struct request_facts *facts)
{
	snprintf(facts->model, sizeof(facts->model), "%s", service);
	facts->answer_tokens_max = 0;
	fill_common_facts(headers, body, fingerprint_key, now_ms, facts);
	facts->is_service_call = true;
	facts->is_idempotent =
	    headers->is_idempotent && headers->idempotency_key[0] == '\0';
	facts->prompt_tokens = 0;
	facts->prefix_count = 0;
}

void
completions_write_answer(GString *out, const struct completions_answer *answer,
    const char *text, size_t size)
{
	json_t *choice;
	json_t *root;
	char *dump;

	if (answer->kind == COMPLETIONS_KIND_CHAT) {
		root = answer_json(answer, "chat.completion");
		choice = json_pack("{s:i, s:{s:s, s:s%}, s:s}", "index", 0,
		    "message", "role", "assistant", "content", text, size,
		    "finish_reason", finish_reason(answer));
	} else {
		root = answer_json(answer, "text_completion");
		choice = json_pack("{s:i, s:s%, s:s}", "index", 0, "text", text,
		    size, "finish_reason", finish_reason(answer));
	}
	json_object_set_new(root, "choices", json_pack("[o]", choice));
	json_object_set_new(root, "usage", usage_json(answer));
	dump = json_dumps(root, JSON_COMPACT);
	g_string_append(out, dump == NULL ? "" : dump);
	free(dump);
	json_decref(root);
}

void
completions_write_piece(GString *out, const struct completions_answer *answer,
    const char *text, size_t size, bool is_first)
{
	json_t *choice;
	json_t *delta;
	json_t *root;

	if (answer->kind == COMPLETIONS_KIND_CHAT) {
		root = answer_json(answer, "chat.completion.chunk");
		delta = json_pack("{s:s%}", "content", text, size);
		if (is_first)
			json_object_set_new(
			    delta, "role", json_string("assistant"));
		choice = json_pack("{s:i, s:o, s:n}", "index", 0, "delta",
		    delta, "finish_reason");
	} else {
		root = answer_json(answer, "text_completion");
		choice = json_pack("{s:i, s:s%, s:n}", "index", 0, "text", text,
		    size, "finish_reason");
	}
	json_object_set_new(root, "choices", json_pack("[o]", choice));
	write_event_json(out, NULL, root);
}

void
completions_write_end(GString *out, const struct completions_answer *answer)
{
	json_t *choice;
	json_t *root;

	if (answer->kind == COMPLETIONS_KIND_CHAT) {
		root = answer_json(answer, "chat.completion.chunk");
		choice = json_pack("{s:i, s:{}, s:s}", "index", 0, "delta",
		    "finish_reason", finish_reason(answer));
	} else {
		root = answer_json(answer, "text_completion");
		choice = json_pack("{s:i, s:s, s:s}", "index", 0, "text", "",
		    "finish_reason", finish_reason(answer));
	}
	json_object_set_new(root, "choices", json_pack("[o]", choice));
	json_object_set_new(root, "usage", usage_json(answer));
	write_event_json(out, NULL, root);
	sse_write_event(out, NULL, "[DONE]", strlen("[DONE]"));
}

void
caller_error_write(GString *out, const struct caller_error *error)
{
	json_t *root;
	char *dump;

	root = error_json(error);
	dump = json_dumps(root, JSON_COMPACT);
	g_string_append(out, dump == NULL ? "" : dump);
	free(dump);
	json_decref(root);
}

void
caller_error_write_event(GString *out, const struct caller_error *error)
{
	write_event_json(out, "error", error_json(error));
}

uint32_t
caller_error_status(const struct caller_error *error)
{
	uint32_t status;

	status = status_of_code(error->code);
	/* To HTTP clients these mean that the request did not run; many send it
	 * again by themselves. */
	if ((error->outcome == REQUEST_OUTCOME_FAILED ||
		error->outcome == REQUEST_OUTCOME_UNKNOWN) &&
	    (status == STATUS_TIMEOUT || status == STATUS_TOO_MANY ||
		status == STATUS_UNAVAILABLE))
		return STATUS_BAD_GATEWAY;
	return status;
}

uint32_t
caller_error_retry_after_s(const struct caller_error *error)
{
	if (error->retry_after_ms <= 0)
		return 0;
	return (uint32_t)((error->retry_after_ms + MILLISECONDS_PER_S - 1) /
			  MILLISECONDS_PER_S);
}

static uint32_t
status_of_code(enum error_code code)
{
	static const uint16_t statuses[ERROR_CODE_COUNT] = {
	    [ERROR_INVALID_ARGUMENT] = 400,
	    [ERROR_NOT_FOUND] = 404,
	    [ERROR_ALREADY_EXISTS] = 409,
	    [ERROR_TABLE_FULL] = 503,
	    [ERROR_TIMEOUT] = 504,
	    [ERROR_CANCELLED] = 499,
	    [ERROR_SHUTTING_DOWN] = 503,
	    [ERROR_NOT_SUPPORTED] = 501,
	    [ERROR_MALFORMED] = 400,
	    [ERROR_TOO_LARGE] = 413,
	    [ERROR_UNSUPPORTED_VERSION] = 400,
	    [ERROR_MISSING_FIELD] = 400,
	    [ERROR_WRONG_TYPE] = 400,
	    [ERROR_UNAUTHENTICATED] = 401,
	    [ERROR_FORBIDDEN] = 403,
	    [ERROR_CONNECTION] = 502,
	    [ERROR_BAD_VALUE] = 400,
	    [ERROR_NOT_LEADER] = 503,
	    [ERROR_NO_QUORUM] = 503,
	    [ERROR_REVISION_CONFLICT] = 409,
	    [ERROR_CHANGE_PENDING] = 409,
	    [ERROR_LEASE_EXPIRED] = 503,
	    [ERROR_STALE] = 409,
	    [ERROR_OUTCOME_UNKNOWN] = 502,
	    [ERROR_NO_UPSTREAM] = 503,
	    [ERROR_NO_CAPACITY] = 429,
	    [ERROR_DEADLINE_UNREACHABLE] = 429,
	    [ERROR_OVER_LIMIT] = 429,
	    [ERROR_QUARANTINED] = 422,
	    [ERROR_DUPLICATE_REQUEST] = 409,
	    [ERROR_KEY_EXPIRED] = 409,
	    [ERROR_UPSTREAM_FAILED] = 502,
	    [ERROR_UPSTREAM_REFUSED] = 502,
	    [ERROR_STALLED] = 504,
	    [ERROR_INCOMPLETE] = 502,
	    [ERROR_RETRY_BUDGET] = 503,
	};

	if ((size_t)code >= ERROR_CODE_COUNT || statuses[code] == 0)
		return STATUS_DEFAULT;
	return statuses[code];
}

static enum error_code
read_body(const json_t *root, struct completions_request *request,
    struct part_list *list, struct field_error *error)
{
	enum error_code code;

	if (!json_is_object(root))
		return field_error_set(
		    error, ERROR_WRONG_TYPE, "body", root, "a JSON object");
	code = field_read_text(
	    root, MODEL_FIELD, request->model, sizeof(request->model), error);
	if (code == ERROR_NONE)
		code = read_options(root, request, error);
	if (code != ERROR_NONE)
		return code;
	if (request->kind == COMPLETIONS_KIND_CHAT)
		return read_messages(root, list, error);
	return read_prompt(root, list, error);
}

static enum error_code
read_options(const json_t *root, struct completions_request *request,
    struct field_error *error)
{
	const json_t *stream;
	const char *field;
	enum error_code code;
	uint64_t number;

	stream = json_object_get(root, "stream");
	if (stream != NULL && !json_is_boolean(stream) && !json_is_null(stream))
		return field_error_set(
		    error, ERROR_WRONG_TYPE, "stream", stream, "true or false");
	request->stream = json_is_true(stream);
	if (json_object_get(root, "n") != NULL) {
		code = field_read_uint(root, "n", 1, 1, &number, error);
		if (code != ERROR_NONE)
			return code;
	}
	request->answer_tokens_max = ANSWER_TOKENS_DEFAULT;
	field = "max_tokens";
	if (json_object_get(root, "max_completion_tokens") != NULL)
		field = "max_completion_tokens";
	if (json_object_get(root, field) == NULL)
		return ERROR_NONE;
	code =
	    field_read_uint(root, field, 1, ANSWER_TOKENS_MAX, &number, error);
	request->answer_tokens_max = (uint32_t)number;
	return code;
}

static enum error_code
read_prompt(
    const json_t *root, struct part_list *list, struct field_error *error)
{
	static const char expected[] = "a string that is not empty";
	const json_t *prompt;

	prompt = json_object_get(root, "prompt");
	/* Some clients send a single prompt as an array of one string. */
	if (json_is_array(prompt) && json_array_size(prompt) == 1)
		prompt = json_array_get(prompt, 0);
	if (prompt == NULL)
		return field_error_set(
		    error, ERROR_MISSING_FIELD, "prompt", NULL, expected);
	if (!json_is_string(prompt))
		return field_error_set(
		    error, ERROR_WRONG_TYPE, "prompt", prompt, expected);
	if (json_string_length(prompt) == 0)
		return field_error_set(
		    error, ERROR_BAD_VALUE, "prompt", prompt, expected);
	if (!add_text(list, prompt))
		return field_error_set(
		    error, ERROR_NO_MEMORY, "prompt", NULL, "memory");
	return ERROR_NONE;
}

static enum error_code
read_messages(
    const json_t *root, struct part_list *list, struct field_error *error)
{
	static const char expected[] = "an array of 1 to 4096 messages";
	static const char answer_mark[] = "<|assistant|>\n";
	const json_t *messages;
	enum error_code code;
	size_t i;

	messages = json_object_get(root, "messages");
	if (messages == NULL)
		return field_error_set(
		    error, ERROR_MISSING_FIELD, "messages", NULL, expected);
	if (!json_is_array(messages))
		return field_error_set(
		    error, ERROR_WRONG_TYPE, "messages", messages, expected);
	if (json_array_size(messages) == 0 ||
	    json_array_size(messages) > CHAT_MESSAGES_MAX)
		return field_error_set(
		    error, ERROR_BAD_VALUE, "messages", messages, expected);
	for (i = 0; i < json_array_size(messages); i++) {
		code =
		    read_message(json_array_get(messages, i), i, list, error);
		if (code != ERROR_NONE)
			return code;
	}
	if (!add_part(list, answer_mark, strlen(answer_mark)))
		return field_error_set(
		    error, ERROR_NO_MEMORY, "messages", NULL, "memory");
	return ERROR_NONE;
}

static enum error_code
read_message(const json_t *message, size_t index, struct part_list *list,
    struct field_error *error)
{
	static const char *const roles[] = {
	    "system", "developer", "user", "assistant", "tool"};
	char path[FIELD_PATH_SIZE];
	const char *role;
	size_t i;

	role = json_string_value(json_object_get(message, "role"));
	for (i = 0; role != NULL && i < G_N_ELEMENTS(roles); i++) {
		if (strcmp(role, roles[i]) == 0)
			break;
	}
	if (role == NULL || i == G_N_ELEMENTS(roles)) {
		snprintf(path, sizeof(path), "messages[%zu].role", index);
		return field_error_set(error,
		    role == NULL ? ERROR_MISSING_FIELD : ERROR_BAD_VALUE, path,
		    json_object_get(message, "role"),
		    "system, developer, user, assistant or tool");
	}
	snprintf(path, sizeof(path), "messages[%zu].content", index);
	if (!add_part(list, "<|", 2) ||
	    !add_part(list, roles[i], strlen(roles[i])) ||
	    !add_part(list, "|>\n", 3))
		return field_error_set(
		    error, ERROR_NO_MEMORY, path, NULL, "memory");
	return read_contents(
	    json_object_get(message, "content"), path, list, error);
}

static enum error_code
read_contents(const json_t *contents, const char *path, struct part_list *list,
    struct field_error *error)
{
	static const char expected[] = "a string, or an array of text parts";
	const json_t *text;
	size_t i;

	if (contents == NULL)
		return field_error_set(
		    error, ERROR_MISSING_FIELD, path, NULL, expected);
	if (!json_is_string(contents) && !json_is_array(contents))
		return field_error_set(
		    error, ERROR_WRONG_TYPE, path, contents, expected);
	if (json_is_string(contents) && !add_text(list, contents))
		goto no_memory;
	for (i = 0; i < json_array_size(contents); i++) {
		text = json_object_get(json_array_get(contents, i), "text");
		if (!json_is_string(text))
			return field_error_set(
			    error, ERROR_WRONG_TYPE, path, text, expected);
		if (!add_text(list, text))
			goto no_memory;
	}
	if (!add_part(list, "\n", 1))
		goto no_memory;
	return ERROR_NONE;

no_memory:
	return field_error_set(error, ERROR_NO_MEMORY, path, NULL, "memory");
}

static bool
add_part(struct part_list *list, const char *data, size_t size)
{
	struct text_part *parts;
	uint32_t capacity;

	if (list->count == list->capacity) {
		capacity = list->capacity * 2 + PARTS_GROWTH_MIN;
		parts = realloc(list->parts, capacity * sizeof(*parts));
		if (parts == NULL)
			return false;
		list->parts = parts;
		list->capacity = capacity;
	}
	list->parts[list->count].data = data;
	list->parts[list->count].size = size;
	list->count++;
	return true;
}

static bool
add_text(struct part_list *list, const json_t *text)
{
	return add_part(
	    list, json_string_value(text), json_string_length(text));
}

static void
release_root(void *owner)
{
	json_decref(owner);
}

static enum error_code
read_deadline(
    const char *text, uint32_t *deadline_ms, struct field_error *error)
{
	unsigned long long number;
	char *end;

	number = strtoull(text, &end, 10);
	if (strspn(text, "0123456789") == 0 || *end != '\0' || number == 0 ||
	    number > DEADLINE_MS_MAX)
		return set_header_error(error, ERROR_BAD_VALUE,
		    "X-Request-Deadline-Ms", text,
		    "milliseconds from 1 to 86400000");
	*deadline_ms = (uint32_t)number;
	return ERROR_NONE;
}

static enum error_code
read_priority(const char *text, enum request_priority *priority,
    struct field_error *error)
{
	if (request_priority_parse(text, priority) != ERROR_NONE)
		return set_header_error(error, ERROR_BAD_VALUE, "X-Priority",
		    text, "low, normal or high");
	return ERROR_NONE;
}

static enum error_code
copy_header(const char *value, const char *name, char *out, size_t size,
    struct field_error *error)
{
	size_t length;
	size_t i;

	length = strlen(value);
	if (length == 0 || length >= size)
		goto refuse;
	for (i = 0; i < length; i++) {
		if (value[i] <= ' ' || value[i] > '~')
			goto refuse;
	}
	memcpy(out, value, length + 1);
	return ERROR_NONE;

refuse:
	/* The value may be a secret token, so the error doesn't contain it. */
	return set_header_error(error, ERROR_BAD_VALUE, name, "",
	    "a short text of printable ASCII without spaces");
}

static enum error_code
set_header_error(struct field_error *error, enum error_code code,
    const char *name, const char *value, const char *expected)
{
	field_error_set(error, code, name, NULL, expected);
	snprintf(error->value, sizeof(error->value), "%.90s", value);
	return code;
}

/* Fills the facts that all requests have. The account, the model and the limit
 * of answer tokens must be filled in before. */
static void
fill_common_facts(const struct caller_headers *headers,
    const struct shared_text *body, uint64_t fingerprint_key, int64_t now_ms,
    struct request_facts *facts)
{
	facts->priority = headers->priority;
	facts->admitted_ms = now_ms;
	facts->deadline_ms = now_ms + headers->deadline_ms;
	facts->fingerprint = request_fingerprint(facts->client_account,
	    facts->model, facts->answer_tokens_max, body, fingerprint_key);
}

static json_t *
answer_json(const struct completions_answer *answer, const char *object)
{
	char id[32];

	snprintf(id, sizeof(id), "%s-%016" PRIx64,
	    answer->kind == COMPLETIONS_KIND_CHAT ? "chatcmpl" : "cmpl",
	    answer->request_id);
	return json_pack("{s:s, s:s, s:I, s:s}", "id", id, "object", object,
	    "created", (json_int_t)answer->created_s, "model", answer->model);
}

static json_t *
usage_json(const struct completions_answer *answer)
{
	return json_pack("{s:I, s:I, s:I}", "prompt_tokens",
	    (json_int_t)answer->prompt_tokens, "completion_tokens",
	    (json_int_t)answer->answer_tokens, "total_tokens",
	    (json_int_t)answer->prompt_tokens +
		(json_int_t)answer->answer_tokens);
}

static const char *
finish_reason(const struct completions_answer *answer)
{
	return answer->stopped_by_length ? "length" : "stop";
}

static void
write_event_json(GString *out, const char *name, json_t *root)
{
	char *dump;

	dump = json_dumps(root, JSON_COMPACT);
	if (dump != NULL)
		sse_write_event(out, name, dump, strlen(dump));
	free(dump);
	json_decref(root);
}

static json_t *
error_json(const struct caller_error *error)
{
	const char *message;

	message = error->message;
	if (message == NULL)
		message = error_text(error->code);
	return json_pack("{s:{s:s, s:s, s:s, s:I}}", "error", "type",
	    error_name(error->code), "message", message, "outcome",
	    request_outcome_name(error->outcome), "retry_after_ms",
	    (json_int_t)error->retry_after_ms);
}
