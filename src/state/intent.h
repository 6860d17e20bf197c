/**
 * @file intent.h
 * The operators' intent: client accounts, labels, takeouts, policies and
 * settings, compiled from the replicated configuration.
 *
 * An intent is compiled as a whole and never changes afterwards, so any
 * thread may read it. The labels "name", "data_centre", "model" and "kind" of
 * an upstream come from its announcement and can't be overridden. Any other
 * label has the value that operators set for the upstream, otherwise the one
 * they set for its data centre, otherwise the one it announced.
 *
 * A policy "account selector -> upstream selector" restricts the accounts that
 * match its first selector to the upstreams that match its second. If several
 * policies apply to an account, an upstream must satisfy all of them. Invalid
 * entries restrict access rather than widen it: an invalid takeout takes all
 * upstreams out of service. A policy with an invalid account selector applies
 * to every account, one with an invalid upstream selector admits no upstream.
 * Invalid entries are listed as problems.
 */
#ifndef INTENT_H
#define INTENT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "config.h"
#include "state/config_entry.h"
#include "state/selector.h"
#include "state/upstream.h"

#define INTENT_POLICIES_MAX   1024 /**< Largest number of policies. */
#define INTENT_TAKEOUTS_MAX   1024 /**< Largest number of takeouts. */
#define INTENT_WEIGHT_DEFAULT 1	   /**< Weight of an account unless set. */
#define INTENT_WEIGHT_MAX     1000 /**< Largest weight of an account. */
/** Bytes of a token's hash: BLAKE2b-256 in hexadecimal, and a NUL. */
#define TOKEN_HASH_SIZE 65

/** A client account. */
struct intent_account {
	char name[NAME_SIZE_MAX]; /**< Name of the account. */
	uint64_t id;	       /**< XXH64 of the name, the same everywhere. */
	uint32_t index;	       /**< Position in this intent's accounts. */
	uint32_t weight;       /**< Relative share in the fair queue. */
	uint32_t requests_max; /**< Concurrent requests, 0 for no limit. */
	GHashTable *labels;    /**< Label key to value. */
	/** Bit set of policies that apply to the account. */
	uint64_t *policies;
};

/** A configuration entry that is invalid. */
struct intent_problem {
	char key[CONFIG_KEY_SIZE_MAX]; /**< Key of the entry. */
	uint64_t revision;	       /**< Revision that set the entry. */
	enum error_code error;	       /**< Why the entry is invalid. */
	struct selector_fault fault;   /**< Where a selector is invalid. */
};

/** The compiled intent. */
struct intent {
	uint64_t revision;	      /**< Highest revision of any entry. */
	GPtrArray *accounts;	      /**< struct intent_account, by index. */
	GHashTable *accounts_by_name; /**< Name to struct intent_account. */
	/** Token hash to struct intent_account; NULL for a token that is set
	 * for two accounts. */
	GHashTable *accounts_by_token;
	/** Upstream name to a table of label key to value. */
	GHashTable *upstream_labels;
	/** Data centre name to a table of label key to value. */
	GHashTable *data_centre_labels;
	GHashTable *settings;  /**< Setting name to value. */
	GArray *takeouts;      /**< Takeouts, struct intent_takeout. */
	GArray *policies;      /**< Policies, struct intent_policy. */
	GArray *problems;      /**< Invalid entries, struct intent_problem. */
	uint32_t policy_words; /**< 64-bit words in a bit set of policies. */
};

/* Building */

/** Compiles a configuration. Invalid entries become problems. Errors:
 * ERROR_TABLE_FULL if there are too many accounts, takeouts or policies; no
 * memory is held then. */
enum error_code intent_compile(
    struct intent *intent, const struct config_source *source);
/** Frees the intent's memory. */
void intent_finish(struct intent *intent);
/** Checks an entry before it is added to the configuration. @p fault may be
 * NULL; otherwise it tells where a selector is invalid. Errors:
 * ERROR_UNKNOWN_KEY, ERROR_BAD_VALUE, ERROR_MALFORMED, ERROR_TOO_LARGE. */
enum error_code intent_check_entry(
    const char *key, const char *value, struct selector_fault *fault);
/** Hashes a token to the form stored in "client_account/NAME/token". */
void intent_hash_token(const char *token, char hash[TOKEN_HASH_SIZE]);

/* Accounts */

/** Returns the account with this token (not its hash). NULL if no account has
 * the token, or if more than one has. */
const struct intent_account *intent_account_by_token(
    const struct intent *intent, const char *token);
/** Returns the account of that name, or NULL if there is none. */
const struct intent_account *intent_account_by_name(
    const struct intent *intent, const char *name);
/** Returns the account at an index, or NULL past the last one. */
const struct intent_account *intent_account_at(
    const struct intent *intent, uint32_t index);

/* Upstreams */

/** True if a takeout takes the upstream out of service. @p takeout, which may
 * be NULL, is set to the name of the first such takeout. */
bool intent_is_taken_out(const struct intent *intent,
    const struct upstream_record *record, const char **takeout);
/** True if all policies of the account admit the upstream. */
bool intent_may_use(const struct intent *intent,
    const struct intent_account *account, const struct upstream_record *record);
/** Sets @p words, an array of policy_words elements, to the bit set of the
 * policies that admit the upstream. */
void intent_collect_policies(const struct intent *intent,
    const struct upstream_record *record, uint64_t *words);
/** True if @p words, set by intent_collect_policies() for an upstream, holds
 * all policies of the account. Gives the same answer as intent_may_use(). */
bool intent_policies_admit(const struct intent *intent,
    const struct intent_account *account, const uint64_t *words);
/** True if the selector matches the upstream's effective labels. */
bool intent_select(const struct intent *intent, const struct selector *selector,
    const struct upstream_record *record);
/** Returns an effective label of an upstream, or NULL if it has none of that
 * key. For "model" this is the first model that it serves. */
const char *intent_upstream_label(const struct intent *intent,
    const struct upstream_record *record, const char *key);
/** Returns a data centre's label, or NULL if it has none of that key. */
const char *intent_data_centre_label(
    const struct intent *intent, const char *data_centre, const char *key);

/* Settings */

/** Returns the value of a fleet-wide setting, or NULL if it isn't set. */
const char *intent_setting(const struct intent *intent, const char *name);

#endif
