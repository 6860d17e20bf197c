/**
 * @file cli.h
 * The command line: its verbs, their options and exit codes.
 *
 * Most verbs call the operator interface of a running host; serve and
 * serve-platform run a host in this process.
 */
#ifndef CLI_H
#define CLI_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "base/error_code.h"
#include "config.h"

#define CLI_HOSTS_MAX	      16 /**< Hosts that a verb tries in turn. */
#define CLI_OPERATION_ID_SIZE 64 /**< Bytes of an operation id with its NUL. */
#define CLI_REVISION_ANY      (-1) /**< The change fits any revision. */

/** Exit codes, by kind of failure. */
enum cli_exit {
	CLI_EXIT_OK = 0,	  /**< The verb did what was requested. */
	CLI_EXIT_INTERNAL = 1,	  /**< Internal error of the program. */
	CLI_EXIT_USAGE = 2,	  /**< Unknown verb or wrong arguments. */
	CLI_EXIT_REFUSED = 3,	  /**< An argument or value was refused. */
	CLI_EXIT_CONFLICT = 4,	  /**< Another change was made first. */
	CLI_EXIT_NOT_FOUND = 5,	  /**< The named object does not exist. */
	CLI_EXIT_FORBIDDEN = 6,	  /**< Token unknown or its role too low. */
	CLI_EXIT_UNAVAILABLE = 7, /**< No host or quorum; nothing was done. */
	/** The change may have been made; resend it with the same id. */
	CLI_EXIT_UNKNOWN = 8,
	CLI_EXIT_NOT_IN_FORCE = 9, /**< Committed but not yet in force. */
};

/** What a verb that changes the configuration waits for. */
enum cli_wait {
	CLI_WAIT_IN_FORCE, /**< Every host applies the change. The default. */
	CLI_WAIT_ACCEPTED, /**< The change is committed. */
};

struct cli_verb;

/** The options and arguments of one run of the program. */
struct cli {
	const struct cli_verb *verb;	  /**< Verb that runs. */
	const char *hosts[CLI_HOSTS_MAX]; /**< Host URLs to try in turn. */
	uint32_t host_count;		  /**< Number of URLs in hosts. */
	char *host_list;	 /**< Text that the URLs in hosts point into. */
	const char *token;	 /**< Operator's bearer token, or NULL. */
	const char *config_path; /**< Settings file of serve, or NULL. */
	char operation_id[CLI_OPERATION_ID_SIZE]; /**< Names the change: a
						       resend with the same id
						       is applied once. */
	int64_t expect_revision; /**< Revision that the configuration must have,
				      or CLI_REVISION_ANY. */
	int64_t timeout_ms;	 /**< Longest wait for a host's answer. */
	enum cli_wait wait;	 /**< What a change waits for. */
	bool is_json;		 /**< Prints JSON, for use by programs. */
	bool is_dry_run;	 /**< True to show only what would change. */
	bool describe;		 /**< check-config lists the settings' keys. */
	int argument_count;	 /**< Number of arguments after the verb. */
	char **arguments;	 /**< Arguments after the verb. */
};

/** A verb of the command line. */
struct cli_verb {
	const char *name;	     /**< Verb as typed, such as "takeout". */
	const char *arguments;	     /**< Shown in help: "NAME SELECTOR". */
	int arguments_min;	     /**< Fewest arguments accepted. */
	int arguments_max;	     /**< Most arguments accepted. */
	const char *summary;	     /**< What the verb does, in one line. */
	const char *example;	     /**< A complete command line. */
	int (*run)(struct cli *cli); /**< Runs it; returns an enum cli_exit. */
};

/* Running */

/** Parses the command line, runs its verb and returns the exit code. */
int cli_run(int argc, char **argv);

/* Used by the verbs */

/** All verbs; the entry after the last one has no name. */
const struct cli_verb *cli_verbs(void);
/** Prints which arguments the verb takes and returns CLI_EXIT_USAGE. */
int cli_usage(const struct cli *cli);
/** Prints a failure and returns its exit code. A NULL @p message stands for the
 * usual text of @p code. */
int cli_fail(const struct cli *cli, enum error_code code, const char *message);
/** Exit code that reports @p code to the shell. */
enum cli_exit cli_exit_code(enum error_code code);

/* Calling hosts (cli_client.c) */

/** Calls the hosts in turn until one gives a final answer. The caller releases
 * @p reply, which is NULL without an answer; an error that a host reported has
 * its message there. Errors: the host's own, ERROR_CONNECTION if no host was
 * reached, ERROR_OUTCOME_UNKNOWN if a host may have done it, ERROR_MALFORMED if the
 * answer to a call without a body can't be read. */
enum error_code cli_call(const struct cli *cli, const char *method,
    const char *path, const json_t *body, json_t **reply);
/** Sends a batch of changes, {key: value, or null to delete}, and prints the
 * result. Takes over @p changes. Returns an enum cli_exit. */
int cli_change(struct cli *cli, json_t *changes);

#endif
