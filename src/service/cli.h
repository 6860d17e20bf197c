/**
 * @file cli.h
 * The command line: verbs, their options and exit codes.
 */
#ifndef CLI_H
#define CLI_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "base/error_code.h"
#include "config.h"

#define CLI_HOSTS_MAX	      16   /**< Hosts that a verb tries in turn. */
#define CLI_OPERATION_ID_SIZE 64   /**< Bytes of an operation id. */
#define CLI_REVISION_ANY      (-1) /**< No revision is expected. */

/** Exit codes, by kind of failure. */
enum cli_exit {
	CLI_EXIT_OK = 0,	   /**< Done as asked. */
	CLI_EXIT_INTERNAL = 1,	   /**< A fault of ours. */
	CLI_EXIT_USAGE = 2,	   /**< The call's words are off. */
	CLI_EXIT_REFUSED = 3,	   /**< A value was refused. */
	CLI_EXIT_CONFLICT = 4,	   /**< Somebody else changed it first. */
	CLI_EXIT_NOT_FOUND = 5,	   /**< No such object. */
	CLI_EXIT_FORBIDDEN = 6,	   /**< The token is unknown or too weak. */
	CLI_EXIT_UNAVAILABLE = 7,  /**< No host or no quorum; not done. */
	CLI_EXIT_UNKNOWN = 8,	   /**< May be done; resend the same id. */
	CLI_EXIT_NOT_IN_FORCE = 9, /**< Accepted, not yet in force. */
};

/** How long a change is waited for. */
enum cli_wait {
	CLI_WAIT_IN_FORCE, /**< Until every host follows it. The default. */
	CLI_WAIT_ACCEPTED, /**< Until it is committed. */
};

/** One call of the program. */
struct cli {
	const char *hosts[CLI_HOSTS_MAX];	  /**< URLs to try in turn. */
	uint32_t host_count;			  /**< URLs above. */
	char *host_list;			  /**< Memory of the URLs. */
	const char *token;			  /**< Operator's token. */
	const char *config_path;		  /**< Settings of serve. */
	char operation_id[CLI_OPERATION_ID_SIZE]; /**< Same on a resend. */
	int64_t expect_revision;		  /**< Or CLI_REVISION_ANY. */
	int64_t timeout_ms; /**< Longest wait for an answer. */
	enum cli_wait wait; /**< How long a change is awaited. */
	bool is_json;	    /**< Prints JSON for programs. */
	bool is_dry_run;    /**< Shows what would change. */
	bool describe;	    /**< Lists the settings' keys. */
	int argument_count; /**< Words after the verb. */
	char **arguments;   /**< The words. */
};

/** One verb. */
struct cli_verb {
	const char *name;	     /**< Such as "takeout". */
	const char *arguments;	     /**< Such as "NAME SELECTOR". */
	int arguments_min;	     /**< Fewest words. */
	int arguments_max;	     /**< Most words. */
	const char *summary;	     /**< One line. */
	const char *example;	     /**< A call that works. */
	int (*run)(struct cli *cli); /**< Gives an enum cli_exit. */
};

/* Running */

/** Runs the program; gives its exit code. */
int cli_run(int argc, char **argv);

/* For the verbs */

/** The verbs, ended by one without a name. */
const struct cli_verb *cli_verbs(void);
/** Prints a failure and gives the exit code of its kind. */
int cli_fail(const struct cli *cli, enum error_code code, const char *message);
/** Exit code of a kind of failure. */
enum cli_exit cli_exit_code(enum error_code code);

/* Calling hosts (cli_client.c) */

/** Calls hosts in turn until one answers; @p reply is the caller's to drop. A
 * failure that a host reported has its message in @p reply. */
enum error_code cli_call(const struct cli *cli, const char *method,
    const char *path, const json_t *body, json_t **reply);
/** Sends a batch of changes {key: value, or null to delete} and prints what
 * came of it. Takes over @p changes. */
int cli_change(struct cli *cli, json_t *changes);

#endif
