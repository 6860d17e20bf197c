/**
 * @file error_code.h
 * Error codes returned by functions that can fail, with their names and texts.
 *
 * Each kind of failure has its own code; ERROR_NONE is zero.
 */
#ifndef ERROR_CODE_H
#define ERROR_CODE_H

#include <stdbool.h>

/** Kind of failure. error_text() describes it in a sentence. */
enum error_code {
	ERROR_NONE = 0,

	/* General */
	ERROR_INVALID_ARGUMENT, /**< A value is outside its documented range. */
	ERROR_NO_MEMORY,	/**< Memory allocation failed. */
	ERROR_NOT_FOUND,	/**< The object does not exist. */
	ERROR_ALREADY_EXISTS,	/**< The object exists already. */
	ERROR_TABLE_FULL,	/**< A bounded table or queue is full. */
	ERROR_TIMEOUT,		/**< The operation exceeded its time limit. */
	ERROR_CANCELLED,	/**< The caller cancelled or disconnected. */
	ERROR_SHUTTING_DOWN,	/**< The host is stopping and takes no work. */
	/** The operation is not part of this build or interface. */
	ERROR_NOT_SUPPORTED,
	ERROR_INTERNAL, /**< The program violated an invariant. */

	/* Wire */
	ERROR_MALFORMED,	   /**< The bytes are not a valid message. */
	ERROR_TOO_LARGE,	   /**< A documented size limit is exceeded. */
	ERROR_UNSUPPORTED_VERSION, /**< The protocol version is unknown. */
	ERROR_MISSING_FIELD,	   /**< A required field is absent. */
	ERROR_WRONG_TYPE,	   /**< A field has the wrong type. */
	ERROR_UNAUTHENTICATED,	   /**< The sender could not be verified. */
	ERROR_FORBIDDEN,	   /**< The sender's role does not allow it. */
	ERROR_CONNECTION,	   /**< The connection is down. */
	ERROR_WRONG_CLUSTER,	   /**< The peer is in another cluster. */

	/* Settings */
	ERROR_UNKNOWN_KEY, /**< The settings key does not exist. */
	ERROR_MISSING_KEY, /**< A required settings key is absent. */
	ERROR_BAD_VALUE,   /**< A value is outside its allowed set or bounds. */

	/* Files */
	ERROR_IO,	     /**< Reading, writing or syncing failed. */
	ERROR_DISK_FULL,     /**< The disk of the data folder is full. */
	ERROR_CORRUPT,	     /**< A checksum does not match. */
	ERROR_IDENTITY_LOST, /**< The data folder is not this voter's. */

	/* Consensus and leases */
	/** Another host is the leader; resend the request there. */
	ERROR_NOT_LEADER,
	ERROR_NO_QUORUM,	 /**< Too few voters answered. */
	ERROR_REVISION_CONFLICT, /**< The expected revision is not current. */
	ERROR_CHANGE_PENDING,	 /**< A voter change is still in progress. */
	ERROR_LEASE_EXPIRED,	 /**< The lease has expired. */
	ERROR_STALE, /**< The term, number or incarnation is outdated. */
	ERROR_OUTCOME_UNKNOWN, /**< It is unknown whether the operation took
				    effect. */

	/* Requests */
	ERROR_NO_UPSTREAM,	    /**< No upstream can serve the request. */
	ERROR_NO_PATH,		    /**< This host reaches no upstream. */
	ERROR_NO_CAPACITY,	    /**< All suitable upstreams are full. */
	ERROR_DEADLINE_UNREACHABLE, /**< The deadline can't be met. */
	ERROR_OVER_LIMIT,	    /**< The account is over its limit. */
	ERROR_QUARANTINED,	    /**< The request crashes upstreams. */
	ERROR_DUPLICATE_REQUEST,    /**< The idempotency key is already used. */
	ERROR_KEY_EXPIRED,	    /**< The idempotency key is too old. */
	ERROR_UPSTREAM_FAILED,	/**< The upstream or its connection failed. */
	ERROR_UPSTREAM_REFUSED, /**< The upstream refused before running. */
	ERROR_STALLED,		/**< There was no progress for too long. */
	ERROR_INCOMPLETE,	/**< The answer ended without its end mark. */
	ERROR_RETRY_BUDGET,	/**< The retry budget is used up. */

	/* The numbers are on the wire and on disk: add new codes here. */

	ERROR_CODE_COUNT /**< Number of codes. */
};

/* Names and texts */

/** Returns the stable snake_case name of a code, as used on the wire. */
const char *error_name(enum error_code code);
/** Returns the code that has a name, ERROR_INTERNAL for an unknown name. */
enum error_code error_from_name(const char *name);
/** True if a reader returns this code for data of a kind or version that this
 * build does not know, such as data that a newer build wrote. */
bool error_is_unknown_kind(enum error_code code);
/** Returns a sentence that describes a code to people. */
const char *error_text(enum error_code code);

#endif
