/**
 * @file command.h
 * Typed commands to the replicated state, and their results.
 *
 * Each may be sent again after its answer was lost: configuration, order and
 * live-host commands are known by their operation id, claims by host and
 * request id, and the rest do no harm when they are applied twice.
 */
#ifndef COMMAND_H
#define COMMAND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"
#include "config.h"
#include "protocol/codec.h"
#include "state/config_entry.h"
#include "state/request.h"

#define OPERATION_ID_SIZE_MAX	 64	    /**< Bytes with the end mark. */
#define IDEMPOTENCY_KEY_SIZE_MAX 128	    /**< Bytes with the end mark. */
#define ORDER_ARGUMENT_SIZE_MAX	 256	    /**< Bytes with the end mark. */
#define CONFIG_CHANGES_MAX	 64	    /**< Changes in one command. */
#define REVISION_ANY		 UINT64_MAX /**< Expects no revision. */

/** What a command does; the number is on the wire. */
enum command_type {
	COMMAND_CONFIG = 1,	  /**< Puts and deletes entries, all or none. */
	COMMAND_CLAIM_BEGIN = 2,  /**< Claims an idempotency key. */
	COMMAND_CLAIM_FINISH = 3, /**< Says how the claimed request ended. */
	COMMAND_QUARANTINE = 4,	  /**< Quarantines a fingerprint. */
	COMMAND_ORDER_BEGIN = 5,  /**< Begins an order to an upstream. */
	COMMAND_ORDER_FINISH = 6, /**< Says how an order ended. */
	COMMAND_HOSTS_LIVE = 7,	  /**< Sets which hosts may own capacity. */
	COMMAND_DOCUMENT = 8, /**< Puts a document if its version is newer. */
	COMMAND_BARRIER = 9,  /**< Changes nothing; orders a read. */
};

/** One change of the configuration. */
struct config_change {
	bool is_delete;			   /**< Deletes the key. */
	char key[CONFIG_KEY_SIZE_MAX];	   /**< Which entry. */
	char value[CONFIG_VALUE_SIZE_MAX]; /**< Its new value. */
};

/** Body of COMMAND_CONFIG: one change is a put or delete, more a batch. */
struct command_config {
	uint64_t expected_revision;    /**< Of the configuration. */
	uint32_t change_count;	       /**< Changes below. */
	struct config_change *changes; /**< Owned after command_decode(). */
};

/** Body of COMMAND_CLAIM_BEGIN and COMMAND_CLAIM_FINISH. */
struct command_claim {
	char client_account[NAME_SIZE_MAX];		/**< Whose key. */
	char idempotency_key[IDEMPOTENCY_KEY_SIZE_MAX]; /**< The key. */
	uint64_t fingerprint;	      /**< Of the request's body. */
	uint32_t host_id;	      /**< Host that claims. */
	uint64_t host_incarnation;    /**< Its incarnation among members. */
	uint64_t request_id;	      /**< Unique among hosts. */
	int64_t created_ms;	      /**< Caller's time since epoch, or 0. */
	enum request_outcome outcome; /**< For COMMAND_CLAIM_FINISH. */
};

/** Body of COMMAND_QUARANTINE. */
struct command_quarantine {
	uint64_t fingerprint;	  /**< Of the request that crashes upstreams. */
	int64_t until_ms;	  /**< Since epoch; 0 lifts the quarantine. */
	bool is_suspicion;	  /**< It may still run, but alone. */
	uint32_t crashes;	  /**< Events that weigh on it. */
	uint32_t weight_permille; /**< Their weight, 1000 is certain. */
};

/** Body of COMMAND_ORDER_BEGIN and COMMAND_ORDER_FINISH. */
struct command_order {
	uint64_t upstream_id; /**< Who gets the order. */
	uint32_t kind;	      /**< The caller's number for what to do. */
	char argument[ORDER_ARGUMENT_SIZE_MAX]; /**< Such as a model. */
	uint32_t host_id;			/**< Who gives it. */
	uint64_t supersedes; /**< BEGIN: fencing number of the unfinished
				 order that it takes over, or 0. */
	uint64_t fencing;    /**< FINISH: which order. */
	uint32_t outcome;    /**< FINISH: the caller's number, not 0. */
};

/** A host that may own capacity. */
struct live_host {
	uint32_t host_id;     /**< Which host. */
	uint64_t incarnation; /**< Its incarnation among members, or 0. */
};

/** Body of COMMAND_HOSTS_LIVE. */
struct command_hosts {
	uint64_t expected_epoch; /**< Epoch that it replaces. */
	uint32_t count;		 /**< Hosts below. */
	struct live_host *hosts; /**< Owned after command_decode(). */
};

/** Body of COMMAND_DOCUMENT. */
struct command_document {
	char name[NAME_SIZE_MAX]; /**< Which document. */
	uint64_t version;	  /**< The highest one stays. */
	const void *data;	  /**< Bytes; borrowed until command_decode()
				     copies them. */
	size_t size;		  /**< How many. */
	void *owned;		  /**< The copy, freed by command_finish(). */
};

/** A command. */
struct command {
	enum command_type type;			  /**< Which body. */
	char operation_id[OPERATION_ID_SIZE_MAX]; /**< "" for none. */
	union {
		struct command_config config;	      /**< COMMAND_CONFIG. */
		struct command_claim claim;	      /**< COMMAND_CLAIM_*. */
		struct command_quarantine quarantine; /**< The quarantine. */
		struct command_order order;	      /**< COMMAND_ORDER_*. */
		struct command_hosts hosts;	  /**< COMMAND_HOSTS_LIVE. */
		struct command_document document; /**< COMMAND_DOCUMENT. */
	} body;					  /**< By type. */
};

/** Where a claim stands. */
enum claim_state {
	CLAIM_STATE_NONE = 0,	 /**< No claim. */
	CLAIM_STATE_RUNNING = 1, /**< Its host may be running it. */
	CLAIM_STATE_ENDED = 2,	 /**< It ended with an outcome. */
};

/** The answer; the same for each resend of a command. */
struct command_result {
	enum error_code error; /**< ERROR_NONE if it was done. */
	uint64_t index;	       /**< Entry of the log that decided it. */
	uint64_t sequence;     /**< Public sequence after it; in force on a
				   host once its state has reached it. */
	uint64_t revision;     /**< Configuration revision after it. */
	enum claim_state claim_state;	    /**< Of the claim found. */
	enum request_outcome claim_outcome; /**< If it ended. */
	uint32_t claim_host;		    /**< Host that holds the claim. */
	uint64_t fencing; /**< Of the order begun or in the way. */
	uint64_t epoch;	  /**< Of the live hosts after it. */
};

/* Commands */

/** Writes a command. Errors: ERROR_INVALID_ARGUMENT, ERROR_TOO_LARGE. */
enum error_code command_encode(
    const struct command *command, struct message_writer *writer);
/** Reads a command. Errors: of the codec, ERROR_UNSUPPORTED_VERSION. */
enum error_code command_decode(
    struct command *command, const void *data, size_t size);
/** Gives back what command_decode() took. */
void command_finish(struct command *command);
/** True if learners need it too; claims stay among the voters. */
bool command_is_public(enum command_type type);

/* Results */

/** Writes a result. */
void command_result_encode(
    const struct command_result *result, struct message_writer *writer);
/** Reads a result. Errors: of the codec. */
enum error_code command_result_decode(
    struct command_result *result, const void *data, size_t size);

#endif
