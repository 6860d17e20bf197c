#include "cli/cli.h"

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#define TIMEOUT_DEFAULT_MS	  10000 /* Longest wait for an answer. */
#define OPERATION_ID_RANDOM_BYTES 12	/* Random bytes of a generated id. */
#define HOST_DEFAULT		  "http://127.0.0.1:8080"

enum option_letter {
	OPTION_HOST = 'H',
	OPTION_TOKEN = 't',
	OPTION_CONFIG = 'c',
	OPTION_JSON = 'j',
	OPTION_HELP = 'h',
	OPTION_OPERATION_ID = 256,
	OPTION_EXPECT_REVISION,
	OPTION_WAIT,
	OPTION_TIMEOUT,
	OPTION_DRY_RUN,
	OPTION_DESCRIBE,
};

static const struct option long_options[] = {
    {"host", required_argument, NULL, OPTION_HOST},
    {"token", required_argument, NULL, OPTION_TOKEN},
    {"config", required_argument, NULL, OPTION_CONFIG},
    {"json", no_argument, NULL, OPTION_JSON},
    {"help", no_argument, NULL, OPTION_HELP},
    {"operation-id", required_argument, NULL, OPTION_OPERATION_ID},
    {"expect-revision", required_argument, NULL, OPTION_EXPECT_REVISION},
    {"wait", required_argument, NULL, OPTION_WAIT},
    {"timeout-ms", required_argument, NULL, OPTION_TIMEOUT},
    {"dry-run", no_argument, NULL, OPTION_DRY_RUN},
    {"describe", no_argument, NULL, OPTION_DESCRIBE},
    {NULL, 0, NULL, 0},
};

/* Exit code of each error; errors not listed are internal ones. */
static const struct {
	enum error_code code;
	enum cli_exit exit_code;
} exit_codes[] = {
    {ERROR_NONE, CLI_EXIT_OK},
    {ERROR_INVALID_ARGUMENT, CLI_EXIT_REFUSED},
    {ERROR_MALFORMED, CLI_EXIT_REFUSED},
    {ERROR_TOO_LARGE, CLI_EXIT_REFUSED},
    {ERROR_UNKNOWN_KEY, CLI_EXIT_REFUSED},
    {ERROR_MISSING_KEY, CLI_EXIT_REFUSED},
    {ERROR_MISSING_FIELD, CLI_EXIT_REFUSED},
    {ERROR_WRONG_TYPE, CLI_EXIT_REFUSED},
    {ERROR_BAD_VALUE, CLI_EXIT_REFUSED},
    {ERROR_TABLE_FULL, CLI_EXIT_REFUSED},
    {ERROR_NOT_SUPPORTED, CLI_EXIT_REFUSED},
    {ERROR_REVISION_CONFLICT, CLI_EXIT_CONFLICT},
    {ERROR_CHANGE_PENDING, CLI_EXIT_CONFLICT},
    {ERROR_ALREADY_EXISTS, CLI_EXIT_CONFLICT},
    {ERROR_STALE, CLI_EXIT_CONFLICT},
    {ERROR_NOT_FOUND, CLI_EXIT_NOT_FOUND},
    {ERROR_UNAUTHENTICATED, CLI_EXIT_FORBIDDEN},
    {ERROR_FORBIDDEN, CLI_EXIT_FORBIDDEN},
    {ERROR_CONNECTION, CLI_EXIT_UNAVAILABLE},
    {ERROR_NO_QUORUM, CLI_EXIT_UNAVAILABLE},
    {ERROR_NOT_LEADER, CLI_EXIT_UNAVAILABLE},
    {ERROR_SHUTTING_DOWN, CLI_EXIT_UNAVAILABLE},
    {ERROR_LEASE_EXPIRED, CLI_EXIT_UNAVAILABLE},
    {ERROR_OUTCOME_UNKNOWN, CLI_EXIT_UNKNOWN},
    {ERROR_TIMEOUT, CLI_EXIT_UNKNOWN},
};

static void print_help(void);
static int print_verb_help(const struct cli_verb *verb);
static const struct cli_verb *find_verb(const char *name);
static enum error_code read_options(
    struct cli *cli, int argc, char **argv, bool *wants_help);
static enum error_code read_option(
    struct cli *cli, int option, bool *wants_help);
static enum error_code read_number(
    const char *text, int64_t min, int64_t *number);
static enum error_code read_wait(struct cli *cli, const char *text);
static void read_environment(struct cli *cli);
static void split_hosts(struct cli *cli, const char *list);
static void make_operation_id(struct cli *cli);

int
cli_run(int argc, char **argv)
{
	const struct cli_verb *verb;
	struct cli cli = {.expect_revision = CLI_REVISION_ANY,
	    .timeout_ms = TIMEOUT_DEFAULT_MS};
	bool wants_help;
	int status;

	if (sodium_init() < 0)
		return CLI_EXIT_INTERNAL;
	if (argc < 2 || strcmp(argv[1], "--help") == 0 ||
	    strcmp(argv[1], "help") == 0) {
		if (argc > 2 && find_verb(argv[2]) != NULL)
			return print_verb_help(find_verb(argv[2]));
		print_help();
		return argc < 2 ? CLI_EXIT_USAGE : CLI_EXIT_OK;
	}
	if (strcmp(argv[1], "--version") == 0)
		argv[1] = "version";
	verb = find_verb(argv[1]);
	if (verb == NULL) {
		fprintf(stderr,
		    "chicorytack: unknown verb '%s'; see chicorytack "
		    "help\n",
		    argv[1]);
		return CLI_EXIT_USAGE;
	}
	cli.verb = verb;
	wants_help = false;
	read_environment(&cli);
	status = CLI_EXIT_USAGE;
	if (read_options(&cli, argc - 1, argv + 1, &wants_help) != ERROR_NONE)
		goto done;
	if (wants_help) {
		status = print_verb_help(verb);
		goto done;
	}
	if (cli.argument_count < verb->arguments_min ||
	    cli.argument_count > verb->arguments_max) {
		status = cli_usage(&cli);
		goto done;
	}
	status = verb->run(&cli);
done:
	free(cli.host_list);
	return status;
}

int
cli_usage(const struct cli *cli)
{
	fprintf(stderr, "chicorytack: usage: chicorytack %s %s\n",
	    cli->verb->name, cli->verb->arguments);
	return CLI_EXIT_USAGE;
}

int
cli_fail(const struct cli *cli, enum error_code code, const char *message)
{
	json_t *line;

	if (cli->is_json) {
		line = json_pack("{s:{s:s,s:s}}", "error", "type",
		    error_name(code), "message",
		    message == NULL ? error_text(code) : message);
		json_dumpf(line, stdout, JSON_COMPACT);
		fputc('\n', stdout);
		json_decref(line);
	}
	fprintf(stderr, "chicorytack: %s: %s\n", error_name(code),
	    message == NULL ? error_text(code) : message);
	if (cli_exit_code(code) == CLI_EXIT_UNKNOWN)
		fprintf(stderr,
		    "chicorytack: the change may have been made; resend it "
		    "with --operation-id %s, which applies it once\n",
		    cli->operation_id);
	return cli_exit_code(code);
}

enum cli_exit
cli_exit_code(enum error_code code)
{
	size_t i;

	for (i = 0; i < sizeof(exit_codes) / sizeof(exit_codes[0]); i++) {
		if (exit_codes[i].code == code)
			return exit_codes[i].exit_code;
	}
	return CLI_EXIT_INTERNAL;
}

static void
print_help(void)
{
	const struct cli_verb *verb;

	puts("chicorytack: a serving layer in front of a fleet of model "
	     "engines\n\nVerbs:");
	for (verb = cli_verbs(); verb->name != NULL; verb++)
		printf("  %-12s %-28s %s\n", verb->name, verb->arguments,
		    verb->summary);
	puts("\nOptions:\n"
	     "  -H, --host URL           host to call; several, separated by "
	     "commas, are tried\n"
	     "                           in turn\n"
	     "                           (or CHICORYTACK_HOSTS)\n"
	     "  -t, --token TOKEN        operator's token (or "
	     "CHICORYTACK_TOKEN)\n"
	     "  -j, --json               print JSON\n"
	     "  -c, --config FILE        settings file of serve and "
	     "check-config\n"
	     "      --operation-id ID    names the change: a resend with the "
	     "same id is\n"
	     "                           applied once\n"
	     "      --expect-revision N  refuse the change unless the "
	     "configuration is at\n"
	     "                           revision N\n"
	     "      --wait WHAT          wait until a change is in-force "
	     "(default) or accepted\n"
	     "      --timeout-ms N       longest wait for an answer\n"
	     "      --dry-run            show what would change\n"
	     "  -h, --help               help on a verb\n\n"
	     "Exit codes: 0 done, 1 internal error, 2 usage, 3 refused, "
	     "4 conflict,\n5 not found, 6 forbidden, 7 unavailable (not done), "
	     "8 unknown whether done\n(resend the same id), 9 accepted but not "
	     "yet in force.");
}

static int
print_verb_help(const struct cli_verb *verb)
{
	printf("chicorytack %s %s\n\n%s.\n\nExample:\n  %s\n\n"
	       "Options and exit codes: chicorytack help\n",
	    verb->name, verb->arguments, verb->summary, verb->example);
	return CLI_EXIT_OK;
}

static const struct cli_verb *
find_verb(const char *name)
{
	const struct cli_verb *verb;

	for (verb = cli_verbs(); verb->name != NULL; verb++) {
		if (strcmp(verb->name, name) == 0)
			return verb;
	}
	return NULL;
}

static enum error_code
read_options(struct cli *cli, int argc, char **argv, bool *wants_help)
{
	int option;

	for (;;) {
		option =
		    getopt_long(argc, argv, "H:t:c:jh", long_options, NULL);
		if (option == -1)
			break;
		if (read_option(cli, option, wants_help) != ERROR_NONE) {
			if (option != '?')
				fprintf(stderr,
				    "chicorytack: invalid value '%s'\n",
				    optarg);
			return ERROR_INVALID_ARGUMENT;
		}
	}
	cli->argument_count = argc - optind;
	cli->arguments = argv + optind;
	if (cli->operation_id[0] == '\0')
		make_operation_id(cli);
	return ERROR_NONE;
}

static enum error_code
read_option(struct cli *cli, int option, bool *wants_help)
{
	switch (option) {
	case OPTION_HOST:
		split_hosts(cli, optarg);
		return ERROR_NONE;
	case OPTION_TOKEN:
		cli->token = optarg;
		return ERROR_NONE;
	case OPTION_CONFIG:
		cli->config_path = optarg;
		return ERROR_NONE;
	case OPTION_JSON:
		cli->is_json = true;
		return ERROR_NONE;
	case OPTION_HELP:
		*wants_help = true;
		return ERROR_NONE;
	case OPTION_OPERATION_ID:
		if (strlen(optarg) >= sizeof(cli->operation_id))
			return ERROR_TOO_LARGE;
		snprintf(
		    cli->operation_id, sizeof(cli->operation_id), "%s", optarg);
		return ERROR_NONE;
	case OPTION_EXPECT_REVISION:
		return read_number(optarg, 0, &cli->expect_revision);
	case OPTION_WAIT:
		return read_wait(cli, optarg);
	case OPTION_TIMEOUT:
		return read_number(optarg, 1, &cli->timeout_ms);
	case OPTION_DRY_RUN:
		cli->is_dry_run = true;
		return ERROR_NONE;
	case OPTION_DESCRIBE:
		cli->describe = true;
		return ERROR_NONE;
	default:
		return ERROR_INVALID_ARGUMENT;
	}
}

static enum error_code
read_number(const char *text, int64_t min, int64_t *number)
{
	char *end;

	*number = strtoll(text, &end, 10);
	if (end == text || *end != '\0' || *number < min)
		return ERROR_INVALID_ARGUMENT;
	return ERROR_NONE;
}

static enum error_code
read_wait(struct cli *cli, const char *text)
{
	if (strcmp(text, "in-force") == 0)
		cli->wait = CLI_WAIT_IN_FORCE;
	else if (strcmp(text, "accepted") == 0)
		cli->wait = CLI_WAIT_ACCEPTED;
	else
		return ERROR_INVALID_ARGUMENT;
	return ERROR_NONE;
}

static void
read_environment(struct cli *cli)
{
	const char *hosts;

	hosts = getenv("CHICORYTACK_HOSTS");
	split_hosts(cli, hosts == NULL ? HOST_DEFAULT : hosts);
	cli->token = getenv("CHICORYTACK_TOKEN");
}

static void
split_hosts(struct cli *cli, const char *list)
{
	char *rest, *host;

	free(cli->host_list);
	cli->host_count = 0;
	cli->host_list = strdup(list);
	rest = cli->host_list;
	while (rest != NULL && cli->host_count < CLI_HOSTS_MAX) {
		host = strsep(&rest, ",");
		if (host[0] != '\0')
			cli->hosts[cli->host_count++] = host;
	}
}

static void
make_operation_id(struct cli *cli)
{
	unsigned char bytes[OPERATION_ID_RANDOM_BYTES];

	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2hex(
	    cli->operation_id, sizeof(cli->operation_id), bytes, sizeof(bytes));
}
