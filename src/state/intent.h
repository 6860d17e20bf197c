/**
 * @file intent.h
 * What operators want, compiled from the replicated configuration.
 *
 * An intent is built whole, never changes, and may then be read by any
 * thread. Labels of an upstream: "name", "data_centre", "model" and "kind" are
 * its own and fixed; otherwise the operators' label on the upstream counts,
 * else theirs on its data centre, else the one that it announced.
 *
 * Each policy "account selector -> upstream selector" confines the accounts
 * that it takes to the upstreams that it takes; several all hold. What cannot
 * be parsed keeps out: a takeout then takes out every upstream, a policy
 * confines every account to none. Such entries are listed as problems.
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

#define INTENT_POLICIES_MAX   1024 /**< Policies of one intent. */
#define INTENT_TAKEOUTS_MAX   1024 /**< Takeouts of one intent. */
#define INTENT_WEIGHT_DEFAULT 1	   /**< An account's weight unless set. */
#define INTENT_WEIGHT_MAX     1000 /**< Largest weight. */
#define TOKEN_HASH_SIZE	      65   /**< Hex BLAKE2b-256 with its end mark. */

/** A client account. */
struct intent_account {
	char name[NAME_SIZE_MAX]; /**< Its name. */
	uint64_t id;		  /**< XXH64 of the name; never changes. */
	uint32_t index;		  /**< Position in this intent. */
	uint32_t weight;	  /**< Share in the fair queue. */
	uint32_t requests_max;	  /**< At a time, 0 for no bound. */
	GHashTable *labels;	  /**< Key to value, NULL for none. */
	uint64_t *policies;	  /**< Bit set of policies that confine it. */
};

/** An entry that could not be used. */
struct intent_problem {
	char key[CONFIG_KEY_SIZE_MAX]; /**< Of the entry. */
	uint64_t revision;	       /**< Of the entry. */
	enum error_code error;	       /**< What is wrong. */
	struct selector_fault fault;   /**< Where, for a selector. */
};

/** The compiled intent. */
struct intent {
	uint64_t revision;	       /**< Highest revision of an entry. */
	GPtrArray *accounts;	       /**< struct intent_account, by index. */
	GHashTable *accounts_by_name;  /**< Name to account. */
	GHashTable *accounts_by_token; /**< Token hash to account. */
	GHashTable *upstream_labels;   /**< Name to (key to value). */
	GHashTable *centre_labels;     /**< Data centre to (key to value). */
	GHashTable *settings;	       /**< Name to value. */
	GArray *takeouts;	       /**< struct intent_takeout. */
	GArray *policies;	       /**< struct intent_policy. */
	GArray *problems;	       /**< struct intent_problem. */
	uint32_t policy_words;	       /**< Words of a bit set of policies. */
};

/* Building */

/** Compiles a configuration. Entries that cannot be used become problems.
 * Errors: ERROR_TABLE_FULL past a bound; nothing is left behind then. */
enum error_code intent_compile(
    struct intent *intent, const struct config_source *source);
/** Gives back memory. */
void intent_finish(struct intent *intent);
/** Checks one entry before it is accepted. Errors: ERROR_UNKNOWN_KEY,
 * ERROR_BAD_VALUE, ERROR_MALFORMED with @p fault (may be NULL) set. */
enum error_code intent_check_entry(
    const char *key, const char *value, struct selector_fault *fault);
/** Hashes a token as "client_account/<name>/token" holds it. */
void intent_hash_token(const char *token, char hash[TOKEN_HASH_SIZE]);

/* Accounts */

/** The account that owns a token, NULL for none or for two. */
const struct intent_account *intent_account_by_token(
    const struct intent *intent, const char *token);
/** The account of that name, NULL for none. */
const struct intent_account *intent_account_by_name(
    const struct intent *intent, const char *name);
/** The account at an index, NULL past the end. */
const struct intent_account *intent_account_at(
    const struct intent *intent, uint32_t index);

/* Upstreams */

/** True if a takeout takes the upstream; @p takeout, which may be NULL, gets
 * the takeout's name. */
bool intent_is_taken_out(const struct intent *intent,
    const struct upstream_record *record, const char **takeout);
/** True if every policy lets the account use the upstream. */
bool intent_may_use(const struct intent *intent,
    const struct intent_account *account, const struct upstream_record *record);
/** Fills @p words (policy_words of them) with the policies that let the
 * upstream in. */
void intent_fill_policies(const struct intent *intent,
    const struct upstream_record *record, uint64_t *words);
/** True if the account's policies are all among @p words. */
bool intent_policies_admit(const struct intent *intent,
    const struct intent_account *account, const uint64_t *words);
/** True if the selector takes the upstream, by its effective labels. */
bool intent_select(const struct intent *intent, const struct selector *selector,
    const struct upstream_record *record);
/** An effective label, NULL for none; for "model" the first one. */
const char *intent_upstream_label(const struct intent *intent,
    const struct upstream_record *record, const char *key);
/** A label of a data centre, NULL for none. */
const char *intent_centre_label(
    const struct intent *intent, const char *data_centre, const char *key);

/* Settings */

/** A fleet-wide setting, NULL for none. */
const char *intent_setting(const struct intent *intent, const char *name);

#endif
