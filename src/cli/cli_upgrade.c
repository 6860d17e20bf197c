#include "cli/cli_upgrade.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/build_name.h"
#include "cli/cli_print.h"
#include "cli/upgrade_report.h"
#include "state/state_level.h"

#define HOSTS_PATH   "/operator/v1/hosts"
#define VIEW_PATH    "/operator/v1/upgrade"
#define STATUS_PATH  "/operator/v1/status"
#define ID_TEXT_SIZE 32
/* How often the hosts are asked again, and the pause before it, while a voter
 * that answers is not sound. */
#define TRIES_MAX    7
#define TRY_PAUSE_US 500000

static enum error_code make_report(struct cli *cli, json_t **report);
static json_t *ask_voters(struct cli *cli, const json_t *hosts);
static json_t *ask_host(const struct cli *cli, const char *url);
static const json_t *find_host(const json_t *hosts, json_int_t id);
static enum error_code call_one(
    const struct cli *cli, const char *url, const char *path, json_t **reply);
static json_t *prefer_stated_builds(
    const struct cli *cli, json_t *hosts, const json_t *answers);
static bool states_builds(const json_t *hosts);

int
cli_upgrade(struct cli *cli)
{
	enum error_code error;
	json_t *report;
	int tries;

	if (strcmp(cli->arguments[0], "check") != 0)
		return cli_usage(cli);
	error = make_report(cli, &report);
	for (tries = 1; error == ERROR_NONE && tries < TRIES_MAX &&
			upgrade_report_may_settle(report);
	     tries++) {
		json_decref(report);
		usleep(TRY_PAUSE_US);
		error = make_report(cli, &report);
	}
	if (error != ERROR_NONE)
		return cli_fail(cli, error, NULL);
	if (cli->is_json)
		cli_print_json(report);
	else
		upgrade_report_print(report, stdout);
	error = upgrade_report_result(report);
	if (error != ERROR_NONE)
		fprintf(stderr, "chicorytack: %s: %s\n", error_name(error),
		    error_text(error));
	json_decref(report);
	return cli_exit_code(error);
}

/* Asks the hosts once. Sets @p report, which the caller releases, unless no
 * host gives the list of hosts. */
static enum error_code
make_report(struct cli *cli, json_t **report)
{
	struct upgrade_facts facts = {
	    .build = build_name(), .level = STATE_LEVEL_LATEST};
	enum error_code error;
	json_t *hosts, *answers;

	error = cli_call(cli, "GET", HOSTS_PATH, NULL, &hosts);
	if (error != ERROR_NONE) {
		json_decref(hosts);
		return error;
	}
	answers = ask_voters(cli, hosts);
	hosts = prefer_stated_builds(cli, hosts, answers);
	facts.hosts = hosts;
	facts.answers = answers;
	*report = upgrade_report_make(&facts);
	json_decref(answers);
	json_decref(hosts);
	return ERROR_NONE;
}

/* Asks each voter, which alone can tell the state of its log. The builds of
 * other hosts are known to every host. */
static json_t *
ask_voters(struct cli *cli, const json_t *hosts)
{
	char id_text[ID_TEXT_SIZE];
	const json_t *id, *host;
	json_t *answers;
	size_t i;

	answers = json_object();
	json_array_foreach(json_object_get(hosts, "voters"), i, id)
	{
		snprintf(id_text, sizeof(id_text), "%" JSON_INTEGER_FORMAT,
		    json_integer_value(id));
		host = find_host(hosts, json_integer_value(id));
		json_object_set_new(answers, id_text,
		    host == NULL ? json_pack("{s:s}", "error",
				       error_name(ERROR_NOT_FOUND))
				 : ask_host(cli, cli_text_of(host, "address")));
	}
	return answers;
}

/* Asks a host for its view, or for its status if its build is earlier than the
 * view. */
static json_t *
ask_host(const struct cli *cli, const char *url)
{
	enum error_code error;
	const char *key;
	json_t *reply, *answer;

	key = "view";
	error = call_one(cli, url, VIEW_PATH, &reply);
	if (error == ERROR_NOT_FOUND) {
		json_decref(reply);
		key = "status";
		error = call_one(cli, url, STATUS_PATH, &reply);
	}
	answer = json_pack("{s:s}", "error", error_name(error));
	if (error == ERROR_NONE)
		json_object_set(answer, key, reply);
	json_decref(reply);
	return answer;
}

static const json_t *
find_host(const json_t *hosts, json_int_t id)
{
	const json_t *host;
	size_t i;

	json_array_foreach(json_object_get(hosts, "hosts"), i, host)
	{
		if (cli_number_of(host, "id") == id)
			return host;
	}
	return NULL;
}

static enum error_code
call_one(
    const struct cli *cli, const char *url, const char *path, json_t **reply)
{
	struct cli single_host = *cli;

	single_host.hosts[0] = url;
	single_host.host_count = 1;
	return cli_call(&single_host, "GET", path, NULL, reply);
}

/* Returns a list of hosts that names their builds: if the first host that
 * answered is of an earlier build, that of a voter. Takes over @p hosts. */
static json_t *
prefer_stated_builds(
    const struct cli *cli, json_t *hosts, const json_t *answers)
{
	const json_t *host, *answer;
	const char *id;
	json_t *reply;

	if (states_builds(hosts))
		return hosts;
	json_object_foreach((json_t *)answers, id, answer)
	{
		if (json_object_get(answer, "view") == NULL)
			continue;
		host = find_host(hosts,
		    cli_number_of(json_object_get(answer, "view"), "host_id"));
		if (host == NULL)
			continue;
		if (call_one(cli, cli_text_of(host, "address"), HOSTS_PATH,
			&reply) == ERROR_NONE) {
			json_decref(hosts);
			return reply;
		}
		json_decref(reply);
	}
	return hosts;
}

static bool
states_builds(const json_t *hosts)
{
	const json_t *first;

	first = json_array_get(json_object_get(hosts, "hosts"), 0);
	return json_object_get(first, "build") != NULL;
}
