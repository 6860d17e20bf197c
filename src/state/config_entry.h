/**
 * @file config_entry.h
 * One entry of the replicated configuration, and who can list them.
 *
 * Keys (a part in capitals is a name without '/'):
 *   data_centre/NAME/label/KEY      value of a label
 *   upstream/NAME/label/KEY         value of a label; beats its own
 *   client_account/NAME/label/KEY   value of a label
 *   client_account/NAME/weight        share in the fair queue, 1 to 1000
 *   client_account/NAME/requests_max  requests at a time, 0 for no bound
 *   client_account/NAME/token         hash of the account's token
 *   takeout/NAME                      selector of upstreams taken out
 *   policy/NAME                       "account-selector -> upstream-selector"
 *   setting/NAME                      fleet-wide setting
 */
#ifndef CONFIG_ENTRY_H
#define CONFIG_ENTRY_H

#include <stdint.h>

#define CONFIG_KEY_SIZE_MAX   256  /**< Bytes of a key with its end mark. */
#define CONFIG_VALUE_SIZE_MAX 1024 /**< Bytes of a value with its end mark. */

/** An entry. */
struct config_entry {
	const char *key;   /**< As listed above. */
	const char *value; /**< Text. */
	uint64_t revision; /**< Configuration revision that wrote it. */
};

/** Lists entries in order of key. */
struct config_source {
	/** Calls @p visit for each entry whose key starts with @p prefix. */
	void (*each)(void *context, const char *prefix,
	    void (*visit)(void *visitor, const struct config_entry *entry),
	    void *visitor);
	void *context; /**< Passed back to each(). */
};

#endif
