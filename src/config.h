/**
 * @file config.h
 * Compile-time limits and switches, in one place.
 */
#ifndef CONFIG_H
#define CONFIG_H

#include <stddef.h>

/* Identity and naming */
#define NAME_SIZE_MAX 64  /**< Bytes of a name with its end mark. */
#define URL_SIZE_MAX  256 /**< Bytes of a URL with its end mark. */
#define MODELS_MAX    8	  /**< Models that one upstream serves. */
#define LABELS_MAX    16  /**< Labels on one object. */

/* Fleet */
#define HOSTS_MAX	 512   /**< Hosts that one process can know. */
#define UPSTREAMS_MAX	 8192  /**< Upstreams that one process can know. */
#define ACCOUNTS_MAX	 16384 /**< Client accounts that one process can know. */
#define DATA_CENTRES_MAX 64    /**< Data centres that one process can know. */
#define VOTERS_MAX	 7     /**< Voters of the replicated log. */

/* Wire */
#define FRAME_SIZE_MAX ((size_t)4 * 1024 * 1024) /**< Bytes of a peer frame. */
#define BODY_SIZE_MAX                                                          \
	((size_t)64 * 1024 * 1024)	   /**< Bytes of a caller's body. */
#define MESSAGE_ELEMENTS_MAX (256u * 1024) /**< Elements of a message. */

#endif
