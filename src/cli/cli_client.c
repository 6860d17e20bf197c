#include "cli/cli.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "transport/json_call.h"

/* The client waits this much longer than the host, so that the host's own
 * timeout error arrives. */
#define CLIENT_TIMEOUT_EXTRA_MS 2000
/* Bytes of a reply; a list of 4,700 upstreams has some megabytes. */
#define REPLY_SIZE_MAX	   ((size_t)256 * 1024 * 1024)
#define HTTP_STATUS_OK_MIN 200
#define HTTP_STATUS_OK_MAX 299

static enum error_code call_host(const struct cli *cli, const char *host,
    const char *method, const char *path, const json_t *body, json_t **reply);
static bool is_reachable(const struct cli *cli, const char *host);
static enum error_code read_reply(
    const struct json_reply *reply, enum error_code unreadable);
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
	int64_t timeout_ms = cli->timeout_ms + CLIENT_TIMEOUT_EXTRA_MS;
	struct json_reply received;
	struct json_call call = {
	    .method = method,
	    .token = cli->token == NULL ? "" : cli->token,
	    .body = body,
	    .connect_timeout_ms = timeout_ms,
	    .timeout_ms = timeout_ms,
	    .reply_size_max = REPLY_SIZE_MAX,
	    .uses_proxy = true,
	};
	enum error_code error;
	char *url;

	url = g_strconcat(host, path, NULL);
	call.url = url;
	error = json_call_perform(&call, &received);
	if (error == ERROR_NONE)
		error = read_reply(&received,
		    body == NULL ? ERROR_MALFORMED : ERROR_OUTCOME_UNKNOWN);
	/* A read without an answer has changed nothing. */
	else if (error == ERROR_OUTCOME_UNKNOWN && body == NULL)
		error = ERROR_CONNECTION;
	*reply = received.root;
	g_free(url);
	return error;
}

/* Returns the error that a host states, or @p unreadable if the reply says neither
 * that the call was done nor why it was not. */
static enum error_code
read_reply(const struct json_reply *reply, enum error_code unreadable)
{
	const char *type;

	if (reply->status >= HTTP_STATUS_OK_MIN &&
	    reply->status <= HTTP_STATUS_OK_MAX)
		return reply->root == NULL ? unreadable : ERROR_NONE;
	type = json_string_value(
	    json_object_get(json_object_get(reply->root, "error"), "type"));
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
