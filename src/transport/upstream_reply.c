#include "transport/upstream_reply.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "protocol/field_error.h"

#define TOKENS_OF_PIECE_MAX 65536	 /* Most tokens in one piece. */
#define SEQUENCE_MAX	    (1ull << 32) /* Most pieces in an answer. */
#define RETRY_AFTER_MS_MAX  86400000	 /* Longest wait accepted: a day. */

static bool names_other(const json_t *root, const struct piece *piece);
static enum error_code parse_piece(const json_t *root, struct piece *piece);
static enum error_code parse_end(const json_t *root, struct piece *piece);
static void parse_error(const json_t *root, struct piece *piece);
static enum error_code find_error(const char *name);

enum error_code
upstream_reply_parse_event(const struct sse_event *event, struct piece *piece)
{
	struct field_error error;
	enum error_code code;
	uint64_t attempt;
	json_t *root;

	memset(piece, 0, sizeof(*piece));
	root = json_loadb(event->data, event->data_size, 0, NULL);
	if (root == NULL)
		return ERROR_MALFORMED;
	code = field_read_hex(root, "request", &piece->request_id, &error);
	if (code == ERROR_NONE)
		code = field_read_uint(
		    root, "attempt", 0, UINT32_MAX, &attempt, &error);
	if (code != ERROR_NONE)
		goto done;
	piece->attempt = (uint32_t)attempt;
	if (strcmp(event->name, "message") == 0)
		code = parse_piece(root, piece);
	else if (strcmp(event->name, "end") == 0)
		code = parse_end(root, piece);
	else if (strcmp(event->name, "error") == 0)
		parse_error(root, piece);
	else
		code = ERROR_MALFORMED;

done:
	json_decref(root);
	return code;
}

bool
upstream_reply_parse_error(const char *body, size_t size, struct piece *piece)
{
	bool is_own;
	json_t *root;

	root = json_loadb(body, size, 0, NULL);
	is_own = upstream_reply_read_error(root, piece);
	json_decref(root);
	return is_own;
}

bool
upstream_reply_read_error(const json_t *root, struct piece *piece)
{
	if (names_other(root, piece))
		return false;
	if (json_is_object(json_object_get(root, "error")))
		parse_error(root, piece);
	return true;
}

const char *
upstream_order_verb_name(enum upstream_order_verb verb)
{
	switch (verb) {
	case UPSTREAM_ORDER_LOAD_MODEL:
		return "load_model";
	case UPSTREAM_ORDER_UNLOAD_MODEL:
		return "unload_model";
	case UPSTREAM_ORDER_LOAD_ADAPTER:
		return "load_adapter";
	case UPSTREAM_ORDER_SET_VERSION:
		return "set_version";
	case UPSTREAM_ORDER_SET_ROLE:
		return "set_role";
	}
	return NULL;
}

/* Returns true if an error reply names a request or attempt, and not those of
 * the piece. */
static bool
names_other(const json_t *root, const struct piece *piece)
{
	struct field_error error;
	uint64_t request_id, attempt;

	if (json_object_get(root, "request") != NULL &&
	    (field_read_hex(root, "request", &request_id, &error) !=
		    ERROR_NONE ||
		request_id != piece->request_id))
		return true;
	return json_object_get(root, "attempt") != NULL &&
	       (field_read_uint(root, "attempt", 0, UINT32_MAX, &attempt,
		    &error) != ERROR_NONE ||
		   attempt != piece->attempt);
}

static enum error_code
parse_piece(const json_t *root, struct piece *piece)
{
	struct field_error error;
	const json_t *text;
	enum error_code code;
	uint64_t tokens;

	piece->kind = PIECE_KIND_TEXT;
	code = field_read_uint(
	    root, "sequence", 0, SEQUENCE_MAX, &piece->sequence, &error);
	if (code == ERROR_NONE)
		code = field_read_uint(
		    root, "tokens", 0, TOKENS_OF_PIECE_MAX, &tokens, &error);
	if (code != ERROR_NONE)
		return code;
	piece->tokens = (uint32_t)tokens;
	text = json_object_get(root, "text");
	if (!json_is_string(text))
		return text == NULL ? ERROR_MISSING_FIELD : ERROR_WRONG_TYPE;
	piece->text_size = json_string_length(text);
	piece->text = malloc(piece->text_size + 1);
	if (piece->text == NULL)
		return ERROR_NO_MEMORY;
	memcpy(piece->text, json_string_value(text), piece->text_size + 1);
	return ERROR_NONE;
}

static enum error_code
parse_end(const json_t *root, struct piece *piece)
{
	struct field_error error;
	const char *finish;
	enum error_code code;
	uint64_t tokens;

	piece->kind = PIECE_KIND_END;
	code = field_read_uint(
	    root, "pieces", 0, SEQUENCE_MAX, &piece->piece_count, &error);
	if (code == ERROR_NONE)
		code = field_read_uint(
		    root, "answer_tokens", 0, UINT32_MAX, &tokens, &error);
	if (code != ERROR_NONE)
		return code;
	piece->tokens = (uint32_t)tokens;
	finish = json_string_value(json_object_get(root, "finish"));
	if (finish == NULL)
		return ERROR_MISSING_FIELD;
	piece->stopped_by_length = strcmp(finish, "length") == 0;
	return ERROR_NONE;
}

/* Reads the error of a reply. Only the engine knows whether a request that it
 * refused has run, so its outcome "not_run" is trusted. If the reply states no
 * outcome, the one that the caller has set stays; without one, and with an
 * outcome of another name, the request may have run. */
static void
parse_error(const json_t *root, struct piece *piece)
{
	const json_t *error;
	const char *outcome;
	const char *type;
	json_int_t retry;

	piece->kind = PIECE_KIND_FAILED;
	error = json_object_get(root, "error");
	type = json_string_value(json_object_get(error, "type"));
	outcome = json_string_value(json_object_get(error, "outcome"));
	retry = json_integer_value(json_object_get(error, "retry_after_ms"));
	piece->error = find_error(type == NULL ? "" : type);
	if (retry > 0 && retry <= RETRY_AFTER_MS_MAX)
		piece->retry_after_ms = retry;
	if (outcome != NULL && strcmp(outcome, "not_run") == 0)
		piece->outcome = REQUEST_OUTCOME_NOT_RUN;
	else if (outcome != NULL && strcmp(outcome, "failed") == 0)
		piece->outcome = REQUEST_OUTCOME_FAILED;
	else if (outcome != NULL || piece->outcome == 0)
		piece->outcome = REQUEST_OUTCOME_UNKNOWN;
}

static enum error_code
find_error(const char *name)
{
	int code;

	for (code = ERROR_NONE + 1; code < ERROR_CODE_COUNT; code++) {
		if (strcmp(name, error_name(code)) == 0)
			break;
	}
	/* Only this host knows that its connection or its time ended. */
	if (code == ERROR_CODE_COUNT || code == ERROR_CONNECTION ||
	    code == ERROR_TIMEOUT)
		return ERROR_UPSTREAM_FAILED;
	return code;
}
