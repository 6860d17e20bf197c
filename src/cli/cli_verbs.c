#include "cli/cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/build_name.h"
#include "base/event_log.h"
#include "cli/cli_explain.h"
#include "cli/cli_print.h"
#include "cli/cli_upgrade.h"
#include "platform_serve.h"
#include "service/serve.h"
#include "service/settings.h"
#include "state/config_entry.h"
#include "state/intent.h"

#define PATH_SIZE	      512 /* Bytes of a request's path and query. */
#define WATCH_POLL_INTERVAL_S 1	  /* Poll interval of "config watch". */
#define INCARNATION_SIZE      32  /* Bytes of a voter incarnation as text. */

static int run_serve(struct cli *cli);
static int run_platform(struct cli *cli);
static int run_explain(struct cli *cli);
static int run_check_config(struct cli *cli);
static int run_status(struct cli *cli);
static int run_upstreams(struct cli *cli);
static int run_label(struct cli *cli);
static int run_takeout(struct cli *cli);
static int run_bring_back(struct cli *cli);
static int run_config(struct cli *cli);
static int run_account(struct cli *cli);
static int run_order(struct cli *cli);
static int run_hosts(struct cli *cli);
static int run_quarantine(struct cli *cli);
static int run_override(struct cli *cli);
static int run_events(struct cli *cli);
static int run_completion(struct cli *cli);
static int run_version(struct cli *cli);

static int get_and_print(
    struct cli *cli, const char *path, void (*print)(const json_t *reply));
static int post_and_print(struct cli *cli, const char *path, json_t *body);
static int call_and_print(struct cli *cli, const char *method, const char *path,
    json_t *body, void (*print)(const json_t *reply));
static int add_voter(struct cli *cli, int host_id);
static int remove_voter(struct cli *cli, int host_id);
static int call_leader(struct cli *cli, const char *path, json_t *body);
static int find_host(
    struct cli *cli, json_int_t host_id, char *url, size_t url_size);
static int change_takeout(struct cli *cli, const char *selector);
static int watch_config(struct cli *cli);
static json_t *make_change(const char *key, const char *value);
static void write_line(void *context, const char *line);

static const struct cli_verb verbs[] = {
    {"explain", "REQUEST-ID FILE...", 2, 64,
	"explain how a request ended, from hosts' logs (- for standard "
	"input)",
	"chicorytack explain 9c41d07be2a35f68 front-1.log front-2.log",
	run_explain},
    {"serve-platform", "[FEATURE...]", 0, 16,
	"run a host on the users' platform until SIGTERM, by the settings "
	"file that CHICORYTACK_SETTINGS names, with features of placement",
	"CHICORYTACK_SETTINGS=/etc/chicorytack/node.conf chicorytack "
	"serve-platform",
	run_platform},
    {"serve", "--config FILE", 0, 0, "run a host until SIGTERM",
	"chicorytack serve --config /etc/chicorytack/host.json", run_serve},
    {"check-config", "--config FILE | --describe", 0, 0,
	"check settings, or list every key",
	"chicorytack check-config --config host.json", run_check_config},
    {"status", "", 0, 0,
	"show the host's state, leader, lease, takeouts and load",
	"chicorytack status --host http://10.0.0.1:8080", run_status},
    {"upstreams", "[SELECTOR]", 0, 1,
	"list all upstreams, or those that a selector matches",
	"chicorytack upstreams data_centre=regina", run_upstreams},
    {"label", "KIND NAME KEY=VALUE|KEY-", 3, 3,
	"set or remove a label of an upstream, data_centre, client_account",
	"chicorytack label upstream engine-3 tier=gold", run_label},
    {"takeout", "NAME SELECTOR", 2, 2,
	"take the upstreams that a selector matches out of service",
	"chicorytack takeout regina-down data_centre=regina", run_takeout},
    {"bring-back", "NAME", 1, 1,
	"end a takeout, so that its upstreams serve again",
	"chicorytack bring-back regina-down", run_bring_back},
    {"config", "get|list|put|delete|watch [KEY] [VALUE]", 1, 3,
	"read and change the replicated configuration",
	"chicorytack config put client_account/spa-desk/weight 5", run_config},
    {"account", "add|remove NAME [TOKEN]", 2, 3,
	"add or remove a client account; only a hash of its token is stored",
	"chicorytack account add spa-desk s3cret", run_account},
    {"order", "give UPSTREAM KIND ARGUMENT | list", 1, 4,
	"order an engine: load-model, load-adapter, set-version, set-role",
	"chicorytack order give engine-3 load-model small-7b", run_order},
    {"hosts", "list|add-voter|remove-voter|replace-voter [ID] [NEW-ID]", 1, 3,
	"list hosts, change voters", "chicorytack hosts replace-voter 3 9",
	run_hosts},
    {"upgrade", "check", 1, 1,
	"check whether the next host may be upgraded: builds, voters, level",
	"chicorytack upgrade check --host http://10.0.0.1:8080", cli_upgrade},
    {"quarantine", "list|release [FINGERPRINT]", 1, 2,
	"list or release requests refused because they crash upstreams",
	"chicorytack quarantine list", run_quarantine},
    {"override", "serve-unconfirmed SECONDS | clear", 1, 2,
	"let one host serve without a confirmed configuration",
	"chicorytack override serve-unconfirmed 600", run_override},
    {"events", "", 0, 0, "list the numbered log events", "chicorytack events",
	run_events},
    {"completion", "bash", 1, 1, "print the completion script for bash",
	"chicorytack completion bash > chicorytack.bash", run_completion},
    {"version", "", 0, 0, "print the version", "chicorytack version",
	run_version},
    {NULL, NULL, 0, 0, NULL, NULL, NULL},
};

const struct cli_verb *
cli_verbs(void)
{
	return verbs;
}

static int
run_explain(struct cli *cli)
{
	enum error_code error;

	error = explain_request(cli->arguments[0],
	    (const char *const *)cli->arguments + 1,
	    (uint32_t)cli->argument_count - 1, stdout);
	if (error != ERROR_NONE)
		fprintf(stderr, "chicorytack: %s: %s\n", cli->arguments[0],
		    error_text(error));
	return cli_exit_code(error);
}

static int
run_platform(struct cli *cli)
{
	return cli_exit_code(
	    platform_serve(cli->arguments, cli->argument_count));
}

static int
run_serve(struct cli *cli)
{
	struct settings_problem problem;
	struct settings settings;

	if (cli->config_path == NULL)
		return cli_usage(cli);
	if (settings_load(&settings, cli->config_path, &problem) !=
	    ERROR_NONE) {
		event_log_write(EVENT_SETTINGS_REFUSED,
		    "%s: key %s value %s: expected %s", cli->config_path,
		    problem.key, problem.value, problem.expected);
		return CLI_EXIT_REFUSED;
	}
	return cli_exit_code(serve_run(&settings));
}

static int
run_check_config(struct cli *cli)
{
	struct settings_problem problem;
	struct settings settings;
	json_t *line;

	if (cli->describe) {
		settings_describe(write_line, NULL);
		return CLI_EXIT_OK;
	}
	if (cli->config_path == NULL)
		return cli_usage(cli);
	if (settings_load(&settings, cli->config_path, &problem) ==
	    ERROR_NONE) {
		puts(cli->is_json ? "{\"ok\":true}" : "settings are valid");
		return CLI_EXIT_OK;
	}
	if (cli->is_json) {
		line = json_pack("{s:b,s:s,s:s,s:s,s:s,s:s}", "ok", 0, "file",
		    cli->config_path, "type", error_name(problem.code), "key",
		    problem.key, "value", problem.value, "expected",
		    problem.expected);
		json_dumpf(line, stdout, JSON_COMPACT);
		fputc('\n', stdout);
		json_decref(line);
	} else {
		fprintf(stderr, "%s: %s: key '%s' value '%s': expected %s\n",
		    cli->config_path, error_name(problem.code), problem.key,
		    problem.value, problem.expected);
	}
	return CLI_EXIT_REFUSED;
}

static int
run_status(struct cli *cli)
{
	return get_and_print(cli, "/operator/v1/status", cli_print_status);
}

static int
run_upstreams(struct cli *cli)
{
	char path[PATH_SIZE];

	snprintf(path, sizeof(path), "/operator/v1/upstreams?selector=%s",
	    cli->argument_count == 1 ? cli->arguments[0] : "");
	return get_and_print(cli, path, cli_print_upstreams);
}

static int
run_label(struct cli *cli)
{
	char key[CONFIG_KEY_SIZE_MAX], *word, *equals;
	size_t length;

	word = cli->arguments[2];
	equals = strchr(word, '=');
	length = strlen(word);
	if (equals == NULL && (length < 2 || word[length - 1] != '-'))
		return cli_usage(cli);
	if (equals != NULL)
		*equals = '\0';
	else
		word[length - 1] = '\0';
	snprintf(key, sizeof(key), "%s/%s/label/%s", cli->arguments[0],
	    cli->arguments[1], word);
	return cli_change(
	    cli, make_change(key, equals == NULL ? NULL : equals + 1));
}

static int
run_takeout(struct cli *cli)
{
	return change_takeout(cli, cli->arguments[1]);
}

static int
run_bring_back(struct cli *cli)
{
	return change_takeout(cli, NULL);
}

static int
run_config(struct cli *cli)
{
	char path[PATH_SIZE];
	const char *what, *key;

	what = cli->arguments[0];
	key = cli->argument_count > 1 ? cli->arguments[1] : "";
	if (strcmp(what, "put") == 0 && cli->argument_count == 3)
		return cli_change(cli, make_change(key, cli->arguments[2]));
	if (strcmp(what, "delete") == 0 && cli->argument_count == 2)
		return cli_change(cli, make_change(key, NULL));
	if (strcmp(what, "watch") == 0)
		return watch_config(cli);
	snprintf(path, sizeof(path), "/operator/v1/config?%s=%s",
	    strcmp(what, "get") == 0 ? "key" : "prefix", key);
	if (strcmp(what, "list") == 0 ||
	    (strcmp(what, "get") == 0 && cli->argument_count == 2))
		return get_and_print(cli, path, cli_print_config);
	return cli_usage(cli);
}

static int
run_account(struct cli *cli)
{
	char key[CONFIG_KEY_SIZE_MAX], hash[TOKEN_HASH_SIZE];

	snprintf(
	    key, sizeof(key), "client_account/%s/token", cli->arguments[1]);
	if (strcmp(cli->arguments[0], "remove") == 0)
		return cli_change(cli, make_change(key, NULL));
	if (strcmp(cli->arguments[0], "add") != 0 || cli->argument_count != 3)
		return cli_usage(cli);
	/* Only the hash is stored, so that nobody who reads the configuration
	 * learns a token. */
	intent_hash_token(cli->arguments[2], hash);
	return cli_change(cli, make_change(key, hash));
}

static int
run_order(struct cli *cli)
{
	if (strcmp(cli->arguments[0], "list") == 0)
		return get_and_print(
		    cli, "/operator/v1/orders", cli_print_orders);
	if (strcmp(cli->arguments[0], "give") != 0 || cli->argument_count != 4)
		return cli_usage(cli);
	return call_leader(cli, "/operator/v1/orders",
	    json_pack("{s:s,s:s,s:s,s:s}", "operation_id", cli->operation_id,
		"upstream", cli->arguments[1], "kind", cli->arguments[2],
		"argument", cli->arguments[3]));
}

static int
run_hosts(struct cli *cli)
{
	const char *what;
	int status;

	what = cli->arguments[0];
	if (strcmp(what, "list") == 0)
		return get_and_print(
		    cli, "/operator/v1/hosts", cli_print_hosts);
	if (strcmp(what, "add-voter") == 0 && cli->argument_count == 2)
		return add_voter(cli, atoi(cli->arguments[1]));
	if (strcmp(what, "remove-voter") == 0 && cli->argument_count == 2)
		return remove_voter(cli, atoi(cli->arguments[1]));
	if (strcmp(what, "replace-voter") == 0 && cli->argument_count == 3) {
		status = add_voter(cli, atoi(cli->arguments[2]));
		if (status != CLI_EXIT_OK)
			return status;
		return remove_voter(cli, atoi(cli->arguments[1]));
	}
	return cli_usage(cli);
}

static int
run_quarantine(struct cli *cli)
{
	if (strcmp(cli->arguments[0], "list") == 0)
		return get_and_print(
		    cli, "/operator/v1/quarantine", cli_print_quarantine);
	if (strcmp(cli->arguments[0], "release") != 0 ||
	    cli->argument_count != 2)
		return cli_usage(cli);
	return post_and_print(cli, "/operator/v1/quarantine",
	    json_pack("{s:s}", "release", cli->arguments[1]));
}

static int
run_override(struct cli *cli)
{
	int seconds;

	if (strcmp(cli->arguments[0], "clear") == 0)
		seconds = 0;
	else if (strcmp(cli->arguments[0], "serve-unconfirmed") == 0 &&
		 cli->argument_count == 2 && atoi(cli->arguments[1]) > 0)
		seconds = atoi(cli->arguments[1]);
	else
		return cli_usage(cli);
	return post_and_print(cli, "/operator/v1/override",
	    json_pack("{s:i}", "serve_unconfirmed_s", seconds));
}

static int
run_events(struct cli *cli)
{
	const struct event_entry *entry;
	size_t i;

	(void)cli;
	for (i = 0; (entry = event_log_entry(i)) != NULL; i++)
		printf("| E%d | %s | %s |\n", (int)entry->number,
		    event_level_name(entry->level), entry->text);
	return CLI_EXIT_OK;
}

static int
run_completion(struct cli *cli)
{
	const struct cli_verb *verb;

	if (strcmp(cli->arguments[0], "bash") != 0)
		return cli_usage(cli);
	printf("complete -W '");
	for (verb = verbs; verb->name != NULL; verb++)
		printf("%s ", verb->name);
	puts("--host --token --config --json --operation-id "
	     "--expect-revision --wait --timeout-ms --dry-run --help' "
	     "chicorytack");
	return CLI_EXIT_OK;
}

static int
run_version(struct cli *cli)
{
	(void)cli;
	printf("chicorytack %s\n", build_name());
	return CLI_EXIT_OK;
}

static int
get_and_print(
    struct cli *cli, const char *path, void (*print)(const json_t *reply))
{
	return call_and_print(
	    cli, "GET", path, NULL, cli->is_json ? cli_print_json : print);
}

/* Takes over @p body. */
static int
post_and_print(struct cli *cli, const char *path, json_t *body)
{
	return call_and_print(cli, "POST", path, body, cli_print_json);
}

/* Prints the reply or the failure of a call. Takes over @p body. */
static int
call_and_print(struct cli *cli, const char *method, const char *path,
    json_t *body, void (*print)(const json_t *reply))
{
	enum error_code error;
	json_t *reply;
	int status;

	error = cli_call(cli, method, path, body, &reply);
	if (error != ERROR_NONE) {
		status = cli_fail(cli, error,
		    cli_text_of(json_object_get(reply, "error"), "message"));
	} else {
		status = CLI_EXIT_OK;
		print(reply);
	}
	json_decref(body);
	json_decref(reply);
	return status;
}

/* Adds a host to the voters. The new voter is named by its id and the
 * incarnation of its data folder, so that a host with the same id but other
 * data can't take its place. */
static int
add_voter(struct cli *cli, int host_id)
{
	char url[URL_SIZE_MAX], incarnation[INCARNATION_SIZE];
	struct cli single_host = *cli;
	enum error_code error;
	json_t *reply;
	int status;

	status = find_host(cli, host_id, url, sizeof(url));
	if (status != CLI_EXIT_OK)
		return status;
	single_host.hosts[0] = url;
	single_host.host_count = 1;
	error =
	    cli_call(&single_host, "GET", "/operator/v1/status", NULL, &reply);
	snprintf(incarnation, sizeof(incarnation), "%s",
	    cli_text_of(reply, "voter_incarnation"));
	json_decref(reply);
	if (error != ERROR_NONE)
		return cli_fail(cli, error, "no status from the host that is");
	if (strcmp(incarnation, "0") == 0)
		return cli_fail(
		    cli, ERROR_BAD_VALUE, "the host has no data_dir");
	return call_leader(cli, "/operator/v1/voters",
	    json_pack("{s:i,s:s}", "add", host_id, "incarnation", incarnation));
}

static int
remove_voter(struct cli *cli, int host_id)
{
	return call_leader(
	    cli, "/operator/v1/voters", json_pack("{s:i}", "remove", host_id));
}

/* Finds the leader, which alone can run the call, and posts @p body to it.
 * Takes over @p body. */
static int
call_leader(struct cli *cli, const char *path, json_t *body)
{
	struct cli single_host = *cli;
	char url[URL_SIZE_MAX];
	enum error_code error;
	json_int_t leader;
	json_t *reply;
	int status;

	error = cli_call(cli, "GET", "/operator/v1/hosts", NULL, &reply);
	leader = cli_number_of(reply, "leader");
	json_decref(reply);
	if (error != ERROR_NONE || leader == 0) {
		json_decref(body);
		return cli_fail(
		    cli, error == ERROR_NONE ? ERROR_NO_QUORUM : error, NULL);
	}
	status = find_host(cli, leader, url, sizeof(url));
	if (status != CLI_EXIT_OK) {
		json_decref(body);
		return status;
	}
	single_host.hosts[0] = url;
	single_host.host_count = 1;
	return post_and_print(&single_host, path, body);
}

static int
find_host(struct cli *cli, json_int_t host_id, char *url, size_t url_size)
{
	enum error_code error;
	json_t *reply, *item;
	size_t i;

	error = cli_call(cli, "GET", "/operator/v1/hosts", NULL, &reply);
	url[0] = '\0';
	json_array_foreach(json_object_get(reply, "hosts"), i, item)
	{
		if (cli_number_of(item, "id") == host_id)
			snprintf(
			    url, url_size, "%s", cli_text_of(item, "address"));
	}
	json_decref(reply);
	if (error != ERROR_NONE)
		return cli_fail(cli, error, NULL);
	if (url[0] == '\0')
		return cli_fail(
		    cli, ERROR_NOT_FOUND, "no known host has this id");
	return CLI_EXIT_OK;
}

/* Sets the selector of the takeout that the first argument names, or ends the
 * takeout if @p selector is NULL. */
static int
change_takeout(struct cli *cli, const char *selector)
{
	char key[CONFIG_KEY_SIZE_MAX];

	snprintf(key, sizeof(key), "takeout/%s", cli->arguments[0]);
	return cli_change(cli, make_change(key, selector));
}

static int
watch_config(struct cli *cli)
{
	enum error_code error;
	json_int_t revision;
	json_t *reply;

	revision = -1;
	for (;;) {
		error = cli_call(
		    cli, "GET", "/operator/v1/config?prefix=", NULL, &reply);
		if (error != ERROR_NONE) {
			json_decref(reply);
			return cli_fail(cli, error, NULL);
		}
		if (cli_number_of(reply, "revision") != revision) {
			revision = cli_number_of(reply, "revision");
			cli_print_config(reply);
			fflush(stdout);
		}
		json_decref(reply);
		sleep(WATCH_POLL_INTERVAL_S);
	}
}

static json_t *
make_change(const char *key, const char *value)
{
	json_t *changes;

	changes = json_object();
	json_object_set_new(
	    changes, key, value == NULL ? json_null() : json_string(value));
	return changes;
}

static void
write_line(void *context, const char *line)
{
	(void)context;
	puts(line);
}
