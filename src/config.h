/**
 * @file config.h
 * Compile-time limits that several modules share.
 */
#ifndef CONFIG_H
#define CONFIG_H

#include <stddef.h>

/* Identity and naming */
#define NAME_SIZE_MAX 64  /**< Bytes of a name with its NUL. */
#define URL_SIZE_MAX  256 /**< Bytes of a URL with its NUL. */
#define MODELS_MAX    8	  /**< Most models that an upstream serves. */
#define LABELS_MAX    16  /**< Most labels of an upstream. */

/* Fleet */
#define HOSTS_MAX	 512   /**< Most hosts in a process's tables. */
#define UPSTREAMS_MAX	 8192  /**< Most upstreams in a process's tables. */
#define ACCOUNTS_MAX	 16384 /**< Most client accounts in the tables. */
#define DATA_CENTRES_MAX 64    /**< Most data centres in the tables. */
#define VOTERS_MAX	 7     /**< Most voters of the replicated log. */

/* Wire */
/** Largest frame between hosts, in bytes. */
#define FRAME_SIZE_MAX ((size_t)4 * 1024 * 1024)
/** Largest HTTP body of a client's request or a service's answer, in bytes. */
#define BODY_SIZE_MAX ((size_t)64 * 1024 * 1024)
/** Most values in one message between hosts, nested ones included. */
#define MESSAGE_ELEMENTS_MAX (256u * 1024)

#endif
