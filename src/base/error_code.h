/**
 * @file error_code.h
 * Every failure has a type: the codes that functions return.
 *
 * Functions that can fail return an enum error_code; ERROR_NONE is zero.
 */
#ifndef ERROR_CODE_H
#define ERROR_CODE_H

/** What went wrong. Text for people comes from error_text(). */
enum error_code {
	ERROR_NONE = 0,

	/* General */
	ERROR_INVALID_ARGUMENT, /**< A value is out of its stated range. */
	ERROR_NO_MEMORY,	/**< Memory could not be had. */
	ERROR_NOT_FOUND,	/**< No such object. */
	ERROR_ALREADY_EXISTS,	/**< The object is there already. */
	ERROR_TABLE_FULL,	/**< A bounded table or queue has no room. */
	ERROR_TIMEOUT,		/**< A deadline passed. */
	ERROR_CANCELLED,	/**< The caller went away or gave up. */
	ERROR_SHUTTING_DOWN,	/**< The host takes no new work. */
	ERROR_NOT_SUPPORTED,	/**< Not in this build or this interface. */
	ERROR_INTERNAL,		/**< A broken invariant of our own. */

	/* Wire */
	ERROR_MALFORMED,	   /**< Bytes that are no message. */
	ERROR_TOO_LARGE,	   /**< A stated size bound was passed. */
	ERROR_UNSUPPORTED_VERSION, /**< A version we do not speak. */
	ERROR_MISSING_FIELD,	   /**< A required field is absent. */
	ERROR_WRONG_TYPE,	   /**< A field has another type. */
	ERROR_UNAUTHENTICATED,	   /**< The sender could not be verified. */
	ERROR_FORBIDDEN,	   /**< The role does not allow it. */
	ERROR_CONNECTION,	   /**< The link is down. */
	ERROR_WRONG_CLUSTER,	   /**< The peer is of another cluster. */

	/* Settings */
	ERROR_UNKNOWN_KEY, /**< A settings key that does not exist. */
	ERROR_MISSING_KEY, /**< A required settings key is absent. */
	ERROR_BAD_VALUE,   /**< A settings value out of its bounds. */

	/* Files */
	ERROR_IO,	     /**< Reading, writing or syncing failed. */
	ERROR_DISK_FULL,     /**< No space in the data folder. */
	ERROR_CORRUPT,	     /**< A checksum does not match. */
	ERROR_IDENTITY_LOST, /**< The data folder is not this voter's. */

	/* Agreement */
	ERROR_NOT_LEADER,	 /**< Another host leads; resend there. */
	ERROR_NO_QUORUM,	 /**< Too few voters answered. */
	ERROR_REVISION_CONFLICT, /**< The expected revision is not current. */
	ERROR_CHANGE_PENDING,	 /**< A voter change is still under way. */
	ERROR_LEASE_EXPIRED,	 /**< The lease ran out. */
	ERROR_STALE,		 /**< An older term, number or incarnation. */
	ERROR_OUTCOME_UNKNOWN,	 /**< It may or may not have happened. */

	/* Requests */
	ERROR_NO_UPSTREAM,	    /**< No upstream fits the request. */
	ERROR_NO_CAPACITY,	    /**< Fitting upstreams are full. */
	ERROR_DEADLINE_UNREACHABLE, /**< It could not finish in time. */
	ERROR_OVER_LIMIT,	    /**< The account is over its limit. */
	ERROR_QUARANTINED,	    /**< The request crashes upstreams. */
	ERROR_DUPLICATE_REQUEST,    /**< The idempotency key was used. */
	ERROR_KEY_EXPIRED,	    /**< The idempotency key is too old. */
	ERROR_UPSTREAM_FAILED,	    /**< The upstream broke off. */
	ERROR_UPSTREAM_REFUSED,	    /**< The upstream said no before running. */
	ERROR_STALLED,		    /**< No progress for too long. */
	ERROR_INCOMPLETE,   /**< The answer ended without its end mark. */
	ERROR_RETRY_BUDGET, /**< No retry is allowed now. */

	ERROR_CODE_COUNT
};

/* Names and texts */

/** Stable snake_case name of a code, as the interfaces print it. */
const char *error_name(enum error_code code);
/** The code of a name, ERROR_INTERNAL for a name that is none. */
enum error_code error_find(const char *name);
/** One sentence about a code for people. */
const char *error_text(enum error_code code);

#endif
