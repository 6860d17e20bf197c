/**
 * @file config_entry.h
 * An entry of the replicated configuration, and an interface to list entries.
 *
 * Keys (a part in capitals is a name without '/'):
 *   data_centre/NAME/label/KEY      value of a label
 *   upstream/NAME/label/KEY         value of a label; overrides the one that
 *                                   the upstream announces
 *   client_account/NAME/label/KEY   value of a label
 *   client_account/NAME/weight        share in the fair queue, 1 to 1000
 *   client_account/NAME/requests_max  concurrent requests, 0 for no limit
 *   client_account/NAME/token         hash of the account's token
 *   takeout/NAME                      selector of upstreams out of service
 *   policy/NAME                       "account-selector -> upstream-selector"
 *   setting/NAME                      fleet-wide setting
 */
#ifndef CONFIG_ENTRY_H
#define CONFIG_ENTRY_H

#include <stdint.h>

/** Bytes of a key including its terminating NUL. */
#define CONFIG_KEY_SIZE_MAX 256
/** Bytes of a value including its terminating NUL. */
#define CONFIG_VALUE_SIZE_MAX 1024

/** A key and its value, borrowed from whoever lists the entries. */
struct config_entry {
	const char *key;   /**< Key in one of the forms listed above. */
	const char *value; /**< Value as NUL-terminated text. */
	uint64_t revision; /**< Configuration revision that set the value. */
};

/** Interface to list the entries of a configuration, ordered by key. */
struct config_source {
	/** Calls @p visit for each entry whose key starts with @p prefix. */
	void (*for_each)(void *context, const char *prefix,
	    void (*visit)(void *visitor, const struct config_entry *entry),
	    void *visitor);
	void *context; /**< First argument of for_each(). */
};

#endif
