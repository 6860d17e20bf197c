/*
 * HTTP handlers of the operator API: checks the operator's token and role,
 * parses and validates the request, and replies with JSON.
 */
#include "api/api.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "api/operator_views.h"
#include "base/event_log.h"
#include "host/host_calls.h"
#include "protocol/operator_message.h"

#define BEARER "Bearer "
/* Longest wait for a change if the request sets no timeout. */
#define TIMEOUT_DEFAULT_MS 10000
/* Longest timeout that a request may set. */
#define TIMEOUT_MAX_MS 60000
#define MS_PER_S       1000
/* Size of an error message in bytes, including the terminating zero. */
#define MESSAGE_SIZE 256
/* Selector that matches every upstream. */
#define SELECTOR_ALL "*"

/* A request to change entries of the configuration. */
struct config_update {
	struct command command;
	struct config_change changes[CONFIG_CHANGES_MAX];
	int64_t timeout_ms;
	bool wants_in_force; /* Reply only when all hosts have applied it. */
	/* Lists only the upstreams that the change would affect. */
	bool is_dry_run;
};

static bool check_operator(struct host *host, struct http_exchange *exchange,
    enum operator_role role_min);
static void reply_query(struct host *host, struct http_exchange *exchange,
    enum error_code (*query)(
	struct host *host, json_t *argument, json_t *reply),
    json_t *argument);
static void reply_done(struct http_exchange *exchange, enum error_code error);
static json_t *read_authorised_body(struct host *host,
    struct http_exchange *exchange, enum operator_role role_min);
static json_t *read_body(struct http_exchange *exchange);
static bool read_update(struct http_exchange *exchange, const json_t *body,
    struct config_update *update);
static bool read_changes(struct http_exchange *exchange, const json_t *changes,
    struct config_update *update);
static bool check_change(
    struct http_exchange *exchange, const struct config_change *change);
static void submit_update(struct host *host, struct http_exchange *exchange,
    struct config_update *update);
static void reply_dry_run(struct host *host, struct http_exchange *exchange,
    const struct config_update *update);
static void list_selected(struct host *host, const char *text, json_t *names);

void
api_status(void *context, struct http_exchange *exchange)
{
	struct host *host = context;

	if (check_operator(host, exchange, OPERATOR_ROLE_READER))
		reply_query(host, exchange, view_status, NULL);
}

void
api_upstreams(void *context, struct http_exchange *exchange)
{
	const char *selector;
	struct host *host = context;

	if (!check_operator(host, exchange, OPERATOR_ROLE_READER))
		return;
	selector = http_parameter(exchange, "selector");
	if (selector == NULL || selector[0] == '\0')
		selector = SELECTOR_ALL;
	reply_query(host, exchange, view_upstreams, json_string(selector));
}

void
api_config_get(void *context, struct http_exchange *exchange)
{
	const char *key, *prefix;
	struct host *host = context;

	if (!check_operator(host, exchange, OPERATOR_ROLE_READER))
		return;
	key = http_parameter(exchange, "key");
	prefix = http_parameter(exchange, "prefix");
	if (key != NULL)
		reply_query(
		    host, exchange, view_config_entry, json_string(key));
	else
		reply_query(host, exchange, view_config,
		    json_string(prefix == NULL ? "" : prefix));
}

void
api_config_change(void *context, struct http_exchange *exchange)
{
	struct config_update *update;
	struct host *host = context;
	json_t *body;

	body = read_authorised_body(host, exchange, OPERATOR_ROLE_OPERATOR);
	if (body == NULL)
		return;
	update = g_new0(struct config_update, 1);
	if (read_update(exchange, body, update)) {
		if (update->is_dry_run)
			reply_dry_run(host, exchange, update);
		else
			submit_update(host, exchange, update);
	}
	g_free(update);
	json_decref(body);
}

void
api_hosts(void *context, struct http_exchange *exchange)
{
	struct host *host = context;

	if (check_operator(host, exchange, OPERATOR_ROLE_READER))
		reply_query(host, exchange, view_hosts, NULL);
}

void
api_upgrade(void *context, struct http_exchange *exchange)
{
	struct host *host = context;

	if (check_operator(host, exchange, OPERATOR_ROLE_READER))
		reply_query(host, exchange, view_upgrade, NULL);
}

void
api_voters(void *context, struct http_exchange *exchange)
{
	struct host *host = context;
	struct operator_voter_change change;
	struct field_error problem = {0};
	enum error_code error;
	json_t *body;

	body = read_authorised_body(host, exchange, OPERATOR_ROLE_ADMIN);
	if (body == NULL)
		return;
	error = operator_voter_change_read(body, &change, &problem);
	json_decref(body);
	if (error != ERROR_NONE) {
		http_reply_field_error(exchange, &problem);
		return;
	}
	error = host_change_voters(
	    host, change.is_add, change.voter, TIMEOUT_MAX_MS);
	reply_done(exchange, error);
}

void
api_quarantine(void *context, struct http_exchange *exchange)
{
	struct host *host = context;

	if (check_operator(host, exchange, OPERATOR_ROLE_READER))
		reply_query(host, exchange, view_quarantine, NULL);
}

void
api_quarantine_release(void *context, struct http_exchange *exchange)
{
	struct command command = {.type = COMMAND_QUARANTINE};
	struct command parts = {.type = COMMAND_PARTS_CLEARED};
	struct request_key part = {.part_count = 1};
	struct command_result result;
	struct host *host = context;
	enum error_code error;
	const char *text;
	json_t *body;

	body = read_authorised_body(host, exchange, OPERATOR_ROLE_OPERATOR);
	if (body == NULL)
		return;
	text = json_string_value(json_object_get(body, "release"));
	command.body.quarantine.fingerprint =
	    text == NULL ? 0 : strtoull(text, NULL, 16);
	json_decref(body);
	if (command.body.quarantine.fingerprint == 0) {
		api_refuse(exchange, ERROR_BAD_VALUE,
		    "release: must be a fingerprint of 16 hexadecimal digits");
		return;
	}
	/* The number may be that of a request or of a part of prompts. */
	parts.body.parts.count = 1;
	parts.body.parts.evidence[0].part = command.body.quarantine.fingerprint;
	part.parts[0] = command.body.quarantine.fingerprint;
	error = host_submit(host, &parts, TIMEOUT_DEFAULT_MS, &result);
	if (error == ERROR_NONE)
		error = result.error;
	/* While the level in force does not allow this command, each host keeps
	 * what it found out, and gives that up alone. */
	if (error == ERROR_NOT_SUPPORTED) {
		host_report_survived(host, &part);
		error = ERROR_NONE;
	}
	if (error == ERROR_NONE)
		error =
		    host_submit(host, &command, TIMEOUT_DEFAULT_MS, &result);
	if (error == ERROR_NONE)
		error = result.error;
	reply_done(exchange, error);
}

void
api_orders(void *context, struct http_exchange *exchange)
{
	struct host *host = context;

	if (check_operator(host, exchange, OPERATOR_ROLE_READER))
		reply_query(host, exchange, view_orders, NULL);
}

void
api_order_submit(void *context, struct http_exchange *exchange)
{
	const char *upstream, *kind, *argument;
	struct host *host = context;
	enum error_code error;
	json_t *body;

	body = read_authorised_body(host, exchange, OPERATOR_ROLE_OPERATOR);
	if (body == NULL)
		return;
	upstream = json_string_value(json_object_get(body, "upstream"));
	kind = json_string_value(json_object_get(body, "kind"));
	argument = json_string_value(json_object_get(body, "argument"));
	if (upstream == NULL || argument == NULL || kind == NULL ||
	    host_order_kind(kind) == 0)
		api_refuse(exchange, ERROR_BAD_VALUE,
		    "upstream, argument and kind are required; kind must be "
		    "load-model, unload-model, load-adapter, set-version or "
		    "set-role");
	else {
		error = host_order_submit(
		    host, upstream, host_order_kind(kind), argument);
		/* If the same order is already running, the request is
		 * fulfilled. */
		if (error == ERROR_NONE || error == ERROR_ALREADY_EXISTS)
			http_reply_json(exchange, 202,
			    json_pack("{s:s}", "state", "running"));
		else
			api_refuse(exchange, error, NULL);
	}
	json_decref(body);
}

void
api_override(void *context, struct http_exchange *exchange)
{
	struct host *host = context;
	struct field_error problem = {0};
	enum error_code error;
	uint64_t seconds = 0;
	json_t *body;

	body = read_authorised_body(host, exchange, OPERATOR_ROLE_ADMIN);
	if (body == NULL)
		return;
	error = operator_override_read(body, &seconds, &problem);
	json_decref(body);
	if (error != ERROR_NONE) {
		http_reply_field_error(exchange, &problem);
		return;
	}
	atomic_store(&host->override_until_ms,
	    seconds > 0 ? host_now_ms() + (int64_t)seconds * MS_PER_S : 0);
	event_log_write(
	    EVENT_OVERRIDE_SET, "serve unconfirmed for %" PRIu64 " s", seconds);
	http_reply_json(exchange, 200,
	    json_pack("{s:b,s:I}", "ok", 1, "serve_unconfirmed_s",
		(json_int_t)seconds));
}

/* Returns true if the request carries the token of an operator with this role
 * or a higher one; otherwise sends a refusal. */
static bool
check_operator(struct host *host, struct http_exchange *exchange,
    enum operator_role role_min)
{
	const struct settings_operator *operator;
	const char *header, *token;
	uint32_t i;

	header = http_header(exchange, "Authorization");
	token = header != NULL && strncmp(header, BEARER, strlen(BEARER)) == 0
		    ? header + strlen(BEARER)
		    : "";
	for (i = 0; i < host->settings.operator_count; i++) {
		operator= & host->settings.operators[i];
		if (strlen(token) != strlen(operator->token) ||
		    sodium_memcmp(token, operator->token, strlen(token)) != 0)
			continue;
		if (operator->role >= role_min)
			return true;
		api_refuse(exchange, ERROR_FORBIDDEN,
		    "the operator's role does not allow this request");
		return false;
	}
	api_refuse(
	    exchange, ERROR_UNAUTHENTICATED, "no operator has this token");
	return false;
}

static void
reply_query(struct host *host, struct http_exchange *exchange,
    enum error_code (*query)(
	struct host *host, json_t *argument, json_t *reply),
    json_t *argument)
{
	enum error_code error;
	json_t *reply;

	reply = json_object();
	error = host_query(host, query, argument, reply);
	json_decref(argument);
	if (error == ERROR_NONE) {
		http_reply_json(exchange, 200, reply);
		return;
	}
	json_decref(reply);
	api_refuse(exchange, error, NULL);
}

static void
reply_done(struct http_exchange *exchange, enum error_code error)
{
	if (error == ERROR_NONE)
		http_reply_json(exchange, 200, json_pack("{s:b}", "ok", 1));
	else
		api_refuse(exchange, error, NULL);
}

/* Checks the operator's role and parses the request body. Returns NULL after a
 * refusal has been sent; otherwise the caller unreferences the body. */
static json_t *
read_authorised_body(struct host *host, struct http_exchange *exchange,
    enum operator_role role_min)
{
	return check_operator(host, exchange, role_min) ? read_body(exchange)
							: NULL;
}

static json_t *
read_body(struct http_exchange *exchange)
{
	const char *text;
	json_t *body;
	size_t size;

	text = http_body(exchange, &size);
	body = json_loadb(
	    text == NULL ? "" : text, size, JSON_REJECT_DUPLICATES, NULL);
	if (json_is_object(body))
		return body;
	json_decref(body);
	api_refuse(exchange, ERROR_MALFORMED, "the body must be a JSON object");
	return NULL;
}

static bool
read_update(struct http_exchange *exchange, const json_t *body,
    struct config_update *update)
{
	struct operator_update_options options;
	struct field_error problem = {0};
	const char *operation_id;

	operation_id = json_string_value(json_object_get(body, "operation_id"));
	if (operation_id == NULL || operation_id[0] == '\0' ||
	    strlen(operation_id) >= OPERATION_ID_SIZE_MAX) {
		api_refuse(exchange, ERROR_BAD_VALUE,
		    "operation_id: must be a string of 1 to 63 bytes");
		return false;
	}
	update->command.type = COMMAND_CONFIG;
	snprintf(update->command.operation_id,
	    sizeof(update->command.operation_id), "%s", operation_id);
	update->command.body.config.changes = update->changes;
	if (operator_update_options_read(body, &options, &problem) !=
	    ERROR_NONE) {
		http_reply_field_error(exchange, &problem);
		return false;
	}
	update->command.body.config.expected_revision =
	    options.expected_revision;
	update->wants_in_force = options.wants_in_force;
	update->is_dry_run = options.is_dry_run;
	update->timeout_ms = options.timeout_ms;
	if (update->timeout_ms <= 0)
		update->timeout_ms = TIMEOUT_DEFAULT_MS;
	if (update->timeout_ms > TIMEOUT_MAX_MS)
		update->timeout_ms = TIMEOUT_MAX_MS;
	return read_changes(exchange, json_object_get(body, "changes"), update);
}

static bool
read_changes(struct http_exchange *exchange, const json_t *changes,
    struct config_update *update)
{
	struct config_change *change;
	json_t *value;
	const char *key;
	uint32_t count;

	if (!json_is_object(changes) || json_object_size(changes) == 0 ||
	    json_object_size(changes) > CONFIG_CHANGES_MAX) {
		api_refuse(exchange, ERROR_BAD_VALUE,
		    "changes: must be an object with 1 to 64 keys");
		return false;
	}
	count = 0;
	json_object_foreach((json_t *)changes, key, value)
	{
		change = &update->changes[count++];
		if (strlen(key) >= sizeof(change->key) ||
		    json_string_length(value) >= sizeof(change->value) ||
		    (!json_is_string(value) && !json_is_null(value))) {
			api_refuse(exchange, ERROR_BAD_VALUE,
			    "changes: each value must be a string or null, "
			    "and no key or value may exceed its size limit");
			return false;
		}
		snprintf(change->key, sizeof(change->key), "%s", key);
		change->is_delete = json_is_null(value);
		if (!change->is_delete)
			snprintf(change->value, sizeof(change->value), "%s",
			    json_string_value(value));
		if (!check_change(exchange, change))
			return false;
	}
	update->command.body.config.change_count = count;
	return true;
}

static bool
check_change(struct http_exchange *exchange, const struct config_change *change)
{
	struct selector_fault fault = {0};
	char message[MESSAGE_SIZE];
	enum error_code error;

	/* Deletion isn't checked, so that entries which are no longer valid can
	 * be removed. */
	if (change->is_delete)
		return true;
	error = intent_check_entry(change->key, change->value, &fault);
	if (error == ERROR_NONE)
		return true;
	if (fault.problem != SELECTOR_PROBLEM_NONE)
		snprintf(message, sizeof(message),
		    "%.64s: at byte %u of the selector: %s", change->key,
		    fault.position, selector_problem_name(fault.problem));
	else
		snprintf(message, sizeof(message), "%.64s: %s", change->key,
		    error_text(error));
	api_refuse(exchange, error, message);
	return false;
}

static void
submit_update(struct host *host, struct http_exchange *exchange,
    struct config_update *update)
{
	struct command_result result;
	char message[MESSAGE_SIZE];
	enum error_code error;
	bool is_in_force;

	is_in_force = false;
	if (update->wants_in_force)
		error = host_submit_in_force(host, &update->command,
		    update->timeout_ms, &result, &is_in_force);
	else
		error = host_submit(
		    host, &update->command, update->timeout_ms, &result);
	if (error == ERROR_NONE)
		error = result.error;
	if (error == ERROR_REVISION_CONFLICT) {
		snprintf(message, sizeof(message),
		    "the configuration is at revision %" PRIu64
		    ", not at the expected one; read it again before you "
		    "change it",
		    result.revision);
		api_refuse(exchange, error, message);
	} else if (error != ERROR_NONE) {
		api_refuse(exchange, error, NULL);
	} else {
		http_reply_json(exchange, 200,
		    json_pack("{s:s,s:I,s:s}", "operation_id",
			update->command.operation_id, "revision",
			(json_int_t)result.revision, "state",
			is_in_force ? "in_force" : "accepted"));
	}
}

/* Replies with the upstreams that the takeouts among the changes would match,
 * as far as this host knows them. Changes nothing. */
static void
reply_dry_run(struct host *host, struct http_exchange *exchange,
    const struct config_update *update)
{
	const struct config_change *change;
	json_t *names;
	uint32_t i;

	names = json_array();
	for (i = 0; i < update->command.body.config.change_count; i++) {
		change = &update->changes[i];
		if (!change->is_delete &&
		    strncmp(change->key, "takeout/", strlen("takeout/")) == 0)
			list_selected(host, change->value, names);
	}
	http_reply_json(exchange, 200,
	    json_pack("{s:s,s:s,s:o}", "operation_id",
		update->command.operation_id, "state", "dry_run", "upstreams",
		names));
}

/* Appends the names of the upstreams that a selector matches. */
static void
list_selected(struct host *host, const char *text, json_t *names)
{
	const struct upstream_record *record;
	const struct fleet_view *view;
	struct selector *selector;
	uint32_t i;

	selector = g_new(struct selector, 1);
	if (selector_parse(selector, text, NULL) == ERROR_NONE) {
		view = fleet_lock(&host->fleet);
		for (i = 0; i < view->entry_count; i++) {
			record = &view->entries[i].upstream->record;
			if (intent_select(view->intent, selector, record))
				json_array_append_new(
				    names, json_string(record->name));
		}
		fleet_unlock(view);
	}
	g_free(selector);
}
