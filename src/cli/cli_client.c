#include "cli/cli.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <ulfius.h>

#define MS_PER_S 1000
/* The client waits this much longer than the host, so that the host's own
 * timeout error arrives. */
#define CLIENT_TIMEOUT_EXTRA_S 2
#define HTTP_STATUS_OK_MIN     200
#define HTTP_STATUS_OK_MAX     299

static enum error_code call_host(const struct cli *cli, const char *host,
    const char *method, const char *path, const json_t *body, json_t **reply);
static bool is_reachable(const struct cli *cli, const char *host);
static enum error_code read_reply(const struct _u_response *response,
    enum error_code unreadable, json_t **reply);
static bool should_try_next_host(enum error_code code);
static json_t *make_batch(const struct cli *cli, json_t *changes);
static int print_change(const struct cli *cli, const json_t *reply);

enum error_code
cli_call(const struct cli *cli, const char *method, const char *path,
    const json_t *body, json_t **reply)
{
	enum error_code error, uncertain;
	uint32_t i;

	uncertain = ERROR_NONE;
	error = ERROR_CONNECTION;
	*reply = NULL;
	for (i = 0; i < cli->host_count; i++) {
		json_decref(*reply);
		*reply = NULL;
		/* A change sent to an unreachable host looks like a lost
		 * answer, so reachability is checked first. */
		if (body != NULL && !is_reachable(cli, cli->hosts[i]))
			continue;
		error =
		    call_host(cli, cli->hosts[i], method, path, body, reply);
		if (!should_try_next_host(error))
			return error;
		/* If one host may have made the change, a later "not done" of
		 * another host must not be reported. */
		if (error == ERROR_OUTCOME_UNKNOWN || error == ERROR_TIMEOUT)
			uncertain = ERROR_OUTCOME_UNKNOWN;
	}
	return uncertain == ERROR_NONE ? error : uncertain;
}

int
cli_change(struct cli *cli, json_t *changes)
{
	enum error_code error;
	json_t *batch, *reply;
	int status;

	batch = make_batch(cli, changes);
	if (batch == NULL)
		return cli_fail(cli, ERROR_NO_MEMORY, NULL);
	error = cli_call(cli, "POST", "/operator/v1/config", batch, &reply);
	if (error == ERROR_NONE)
		status = print_change(cli, reply);
	else
		status = cli_fail(cli, error,
		    json_string_value(json_object_get(
			json_object_get(reply, "error"), "message")));
	json_decref(batch);
	json_decref(reply);
	return status;
}

static bool
is_reachable(const struct cli *cli, const char *host)
{
	enum error_code error;
	json_t *reply;

	reply = NULL;
	error = call_host(cli, host, "GET", "/healthz", NULL, &reply);
	json_decref(reply);
	return error != ERROR_CONNECTION;
}

static enum error_code
call_host(const struct cli *cli, const char *host, const char *method,
    const char *path, const json_t *body, json_t **reply)
{
	struct _u_request request;
	struct _u_response response;
	char authorization[512], url[512];
	enum error_code error;
	int result;

	snprintf(url, sizeof(url), "%s%s", host, path);
	snprintf(authorization, sizeof(authorization), "Bearer %s",
	    cli->token == NULL ? "" : cli->token);
	if (ulfius_init_request(&request) != U_OK)
		return ERROR_NO_MEMORY;
	if (ulfius_init_response(&response) != U_OK) {
		ulfius_clean_request(&request);
		return ERROR_NO_MEMORY;
	}
	ulfius_set_request_properties(&request, U_OPT_HTTP_VERB, method,
	    U_OPT_HTTP_URL, url, U_OPT_TIMEOUT,
	    (unsigned long)(cli->timeout_ms / MS_PER_S +
			    CLIENT_TIMEOUT_EXTRA_S),
	    U_OPT_HEADER_PARAMETER, "Authorization", authorization, U_OPT_NONE);
	if (body != NULL)
		ulfius_set_json_body_request(&request, (json_t *)body);
	result = ulfius_send_http_request(&request, &response);
	if (result == U_OK)
		error = read_reply(&response,
		    body == NULL ? ERROR_MALFORMED : ERROR_OUTCOME_UNKNOWN,
		    reply);
	else if (result == U_ERROR_LIBCURL && body != NULL)
		error = ERROR_OUTCOME_UNKNOWN;
	else
		error = ERROR_CONNECTION;
	ulfius_clean_request(&request);
	ulfius_clean_response(&response);
	return error;
}

/* Returns the error that a host states, or @p unreadable if the reply says neither
 * that the call was done nor why it was not. */
static enum error_code
read_reply(const struct _u_response *response, enum error_code unreadable,
    json_t **reply)
{
	const char *type;

	*reply =
	    ulfius_get_json_body_response((struct _u_response *)response, NULL);
	if (response->status >= HTTP_STATUS_OK_MIN &&
	    response->status <= HTTP_STATUS_OK_MAX)
		return *reply == NULL ? unreadable : ERROR_NONE;
	type = json_string_value(
	    json_object_get(json_object_get(*reply, "error"), "type"));
	return type == NULL ? unreadable : error_from_name(type);
}

static bool
should_try_next_host(enum error_code code)
{
	switch (code) {
	case ERROR_CONNECTION:
	case ERROR_NO_QUORUM:
	case ERROR_NOT_LEADER:
	case ERROR_SHUTTING_DOWN:
	case ERROR_OUTCOME_UNKNOWN:
	case ERROR_TIMEOUT:
		return true;
	default:
		return false;
	}
}

static json_t *
make_batch(const struct cli *cli, json_t *changes)
{
	json_t *batch;

	batch = json_pack("{s:s,s:o,s:s,s:I,s:b}", "operation_id",
	    cli->operation_id, "changes", changes, "wait",
	    cli->wait == CLI_WAIT_IN_FORCE ? "in_force" : "accepted",
	    "timeout_ms", (json_int_t)cli->timeout_ms, "dry_run",
	    cli->is_dry_run);
	if (batch != NULL && cli->expect_revision != CLI_REVISION_ANY)
		json_object_set_new(batch, "expected_revision",
		    json_integer(cli->expect_revision));
	return batch;
}

static int
print_change(const struct cli *cli, const json_t *reply)
{
	const char *state;
	json_t *upstream;
	size_t i;

	if (cli->is_json) {
		json_dumpf(reply, stdout, JSON_COMPACT);
		fputc('\n', stdout);
	}
	state = json_string_value(json_object_get(reply, "state"));
	if (state == NULL)
		state = "unknown";
	if (!cli->is_json && cli->is_dry_run) {
		puts("upstreams that the change would take out:");
		json_array_foreach(json_object_get(reply, "upstreams"), i,
		    upstream) printf("  %s\n", json_string_value(upstream));
	} else if (!cli->is_json) {
		printf("%s at revision %" JSON_INTEGER_FORMAT
		       " (operation %s)\n",
		    state,
		    json_integer_value(json_object_get(reply, "revision")),
		    cli->operation_id);
	}
	if (cli->wait == CLI_WAIT_IN_FORCE && strcmp(state, "accepted") == 0)
		return CLI_EXIT_NOT_IN_FORCE;
	return CLI_EXIT_OK;
}
