/**
 * @file operator_message.h
 * Reads the fields of operators' orders. A field that can't be read refuses the
 * order: with a default in its place, another order would be carried out.
 */
#ifndef OPERATOR_MESSAGE_H
#define OPERATOR_MESSAGE_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/field_error.h"
#include "state/command.h"
#include "state/voter_file.h"

/** How a change of the configuration is made. */
struct operator_update_options {
	uint64_t expected_revision; /**< REVISION_ANY if none is named. */
	int64_t timeout_ms;	    /**< Time limit, 0 if none is named. */
	bool wants_in_force; /**< Answered once all hosts have applied it. */
	bool is_dry_run;     /**< Only lists what it would affect. */
};

/** A change of the voters. */
struct operator_voter_change {
	bool is_add; /**< Adds the voter; otherwise removes it. */
	/** Host, and incarnation of its data folder; 0 if none is named. */
	struct voter voter;
};

/** Reads "expected_revision", "wait", "dry_run" and "timeout_ms", each of which may
 * be absent or null. Errors: ERROR_WRONG_TYPE, ERROR_BAD_VALUE. */
enum error_code operator_update_options_read(const json_t *body,
    struct operator_update_options *options, struct field_error *error);
/** Reads "add" or "remove", a host's id, and "incarnation", up to 16 hexadecimal
 * digits, which may be absent. Errors: ERROR_MISSING_FIELD, ERROR_WRONG_TYPE,
 * ERROR_BAD_VALUE. */
enum error_code operator_voter_change_read(const json_t *body,
    struct operator_voter_change *change, struct field_error *error);
/** Reads "serve_unconfirmed_s", seconds; 0 ends the override. Errors:
 * ERROR_MISSING_FIELD, ERROR_WRONG_TYPE, ERROR_BAD_VALUE. */
enum error_code operator_override_read(
    const json_t *body, uint64_t *seconds, struct field_error *error);

#endif
