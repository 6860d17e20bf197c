/**
 * @file cli_print.h
 * Prints the replies of the operator interface as text for people.
 *
 * Each function takes the reply of the call that its name ends with, as the
 * operator interface gives it; a field that is absent is printed as "-" or 0.
 */
#ifndef CLI_PRINT_H
#define CLI_PRINT_H

#include <jansson.h>

/* Replies */

/** Prints a host's state, leader, lease, takeouts and load. */
void cli_print_status(const json_t *reply);
/** Prints a table of upstreams. */
void cli_print_upstreams(const json_t *reply);
/** Prints the entries of the replicated configuration. */
void cli_print_config(const json_t *reply);
/** Prints a table of hosts. */
void cli_print_hosts(const json_t *reply);
/** Prints the requests and parts of prompts that are quarantined. */
void cli_print_quarantine(const json_t *reply);
/** Prints the orders that were given to engines. */
void cli_print_orders(const json_t *reply);
/** Prints a reply as it is, for use by programs. */
void cli_print_json(const json_t *reply);

/* Fields */

/** Returns the text of a field, "-" if it is absent. */
const char *cli_text_of(const json_t *object, const char *key);
/** Returns the number of a field, 0 if it is absent. */
json_int_t cli_number_of(const json_t *object, const char *key);

#endif
