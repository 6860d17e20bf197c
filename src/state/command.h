/**
 * @file command.h
 * Commands that change the replicated state, their results, and how both are
 * encoded in the log and on the wire.
 *
 * Every command can safely be sent again when its result was lost. Commands
 * for the configuration, orders and live hosts are recognised by operation
 * id, claims by host and request id. Applying any other command twice has the
 * same effect as applying it once.
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
#include "state/prompt_part.h"
#include "state/request.h"

/** Bytes of an operation id including its terminating NUL. */
#define OPERATION_ID_SIZE_MAX 64
/** Bytes of an idempotency key including its terminating NUL. */
#define IDEMPOTENCY_KEY_SIZE_MAX 128
/** Bytes of an order's argument including its terminating NUL. */
#define ORDER_ARGUMENT_SIZE_MAX 256
/** Largest number of parts of prompts in one command. */
#define COMMAND_PARTS_MAX 16
/** Largest number of configuration changes in one command. */
#define CONFIG_CHANGES_MAX 64
/** Expected revision of a change that applies to any revision. */
#define REVISION_ANY UINT64_MAX

/** Type of a command; the numbers are part of the wire format. */
enum command_type {
	/** Puts and deletes configuration entries, all of them or none. */
	COMMAND_CONFIG = 1,
	/** Claims an idempotency key for a request. */
	COMMAND_CLAIM_BEGIN = 2,
	/** Records the outcome of the request that holds a claim. */
	COMMAND_CLAIM_FINISH = 3,
	/** Quarantines a request fingerprint, or lifts its quarantine. */
	COMMAND_QUARANTINE = 4,
	/** Begins an order to an upstream, such as to load a model. */
	COMMAND_ORDER_BEGIN = 5,
	/** Records the outcome of an order. */
	COMMAND_ORDER_FINISH = 6,
	/** Replaces the list of hosts that may own capacity. */
	COMMAND_SET_LIVE_HOSTS = 7,
	/** Stores a document if its version is newer than the stored one. */
	COMMAND_DOCUMENT = 8,
	/** Changes nothing; a read that follows sees all earlier commands. */
	COMMAND_BARRIER = 9,
	/** Records which parts of prompts had part in a crash. */
	COMMAND_PARTS_CRASHED = 10,
	/** Withdraws what is known against parts of prompts. */
	COMMAND_PARTS_CLEARED = 11,
};

/** Last type of a command that this build knows. */
#define COMMAND_TYPE_LAST COMMAND_PARTS_CLEARED

/** A change of one configuration entry. */
struct config_change {
	bool is_delete; /**< True to delete the entry, false to set it. */
	char key[CONFIG_KEY_SIZE_MAX];	   /**< Key of the entry. */
	char value[CONFIG_VALUE_SIZE_MAX]; /**< New value unless deleted. */
};

/** Body of COMMAND_CONFIG: one change, or a batch of several. */
struct command_config {
	/** Configuration revision that the change requires, or REVISION_ANY. */
	uint64_t expected_revision;
	uint32_t change_count; /**< Number of elements of changes. */
	/** The changes; after command_decode() owned by the command. */
	struct config_change *changes;
};

/** Body of COMMAND_CLAIM_BEGIN and COMMAND_CLAIM_FINISH. */
struct command_claim {
	char client_account[NAME_SIZE_MAX]; /**< Account that sent the key. */
	char idempotency_key[IDEMPOTENCY_KEY_SIZE_MAX]; /**< Claimed key. */
	uint64_t fingerprint;	   /**< Fingerprint of the request. */
	uint32_t host_id;	   /**< Host that claims the key. */
	uint64_t host_incarnation; /**< Incarnation of that host. */
	uint64_t request_id;	   /**< Request id, unique among all hosts. */
	/** When the caller created the key, in ms since the epoch, or 0 if
	 * the caller gave no time. */
	int64_t created_ms;
	enum request_outcome outcome; /**< Outcome, for COMMAND_CLAIM_FINISH. */
};

/** Body of COMMAND_QUARANTINE. */
struct command_quarantine {
	uint64_t fingerprint; /**< Request suspected to crash upstreams. */
	/** End of the quarantine in ms since the epoch; 0 lifts it. */
	int64_t until_ms;
	/** True if the request may still run, but with no other beside it. */
	bool must_run_alone;
	/** Crash events in which the request had part, as counted by the host
	 * below. They replace what that host reported before, and add to what
	 * other hosts did. */
	uint32_t crashes;
	/** Summed share of those crashes attributed to the request, in
	 * thousandths; 1000 means that it certainly caused a crash. */
	uint32_t weight_permille;
	uint32_t host_id; /**< Host that counted, 0 if not told. */
};

/** Body of COMMAND_ORDER_BEGIN and COMMAND_ORDER_FINISH. */
struct command_order {
	uint64_t upstream_id; /**< Upstream that receives the order. */
	/** What the upstream shall do, as a number that the sender defines. */
	uint32_t kind;
	/** Argument of the order, such as the name of a model. */
	char argument[ORDER_ARGUMENT_SIZE_MAX];
	uint32_t host_id; /**< Host that gives the order. */
	/** BEGIN: fencing number of the unfinished order that this one
	 * replaces, or 0 if there must be none. */
	uint64_t supersedes;
	/** FINISH: fencing number of the finished order. */
	uint64_t fencing_number;
	/** FINISH: outcome as a number that the sender defines, not 0. */
	uint32_t outcome;
};

/** Body of COMMAND_PARTS_CRASHED and COMMAND_PARTS_CLEARED. */
struct command_parts {
	uint64_t crash_id; /**< Identifies the crash; the same on all hosts. */
	uint32_t age_ms;   /**< Time since the crash. */
	uint32_t count;	   /**< Elements of evidence in use. */
	/** The parts; COMMAND_PARTS_CLEARED uses no more of it. */
	struct part_evidence evidence[COMMAND_PARTS_MAX];
};

/** A host that may own capacity. */
struct live_host {
	uint32_t host_id;     /**< Id of the host. */
	uint64_t incarnation; /**< Incarnation of the host, or 0 for any. */
};

/** Body of COMMAND_SET_LIVE_HOSTS. */
struct command_hosts {
	uint64_t expected_epoch; /**< Epoch of the list that is replaced. */
	uint32_t count;		 /**< Number of elements of hosts. */
	/** The new list; after command_decode() owned by the command. */
	struct live_host *hosts;
};

/** Body of COMMAND_DOCUMENT. */
struct command_document {
	char name[NAME_SIZE_MAX]; /**< Name of the document. */
	uint64_t version;	  /**< Version; only a higher one replaces. */
	/** Contents: the caller's buffer when encoding, owned_copy after
	 * command_decode(). */
	const void *data;
	size_t size;	  /**< Bytes of data. */
	void *owned_copy; /**< Copy of the contents, or NULL if borrowed. */
};

/** A command: its type and the body that belongs to that type. */
struct command {
	enum command_type type; /**< Selects the member of body. */
	/** Identifies a command that is sent again, or "" for none. */
	char operation_id[OPERATION_ID_SIZE_MAX];
	union {
		/** Body of COMMAND_CONFIG. */
		struct command_config config;
		/** Body of COMMAND_CLAIM_BEGIN and COMMAND_CLAIM_FINISH. */
		struct command_claim claim;
		/** Body of COMMAND_QUARANTINE. */
		struct command_quarantine quarantine;
		/** Body of COMMAND_PARTS_CRASHED and COMMAND_PARTS_CLEARED. */
		struct command_parts parts;
		/** Body of COMMAND_ORDER_BEGIN and COMMAND_ORDER_FINISH. */
		struct command_order order;
		/** Body of COMMAND_SET_LIVE_HOSTS. */
		struct command_hosts hosts;
		/** Body of COMMAND_DOCUMENT. */
		struct command_document document;
	} body; /**< Arguments of the command; COMMAND_BARRIER has none. */
};

/** State of the claim on an idempotency key. */
enum claim_state {
	CLAIM_STATE_NONE = 0,	 /**< Nobody has claimed the key. */
	CLAIM_STATE_RUNNING = 1, /**< The claiming host may be running it. */
	CLAIM_STATE_ENDED = 2,	 /**< The request ended with an outcome. */
};

/** Result of a command; a command sent again gets the same result. */
struct command_result {
	enum error_code error; /**< ERROR_NONE if the command succeeded. */
	uint64_t index;	       /**< Index of the command's log entry. */
	/** Sequence number of public commands after this command. A host has
	 * applied the command once its own state reached this number. */
	uint64_t sequence;
	uint64_t revision; /**< Configuration revision after the command. */
	/** Claims: state of the claim on the key. */
	enum claim_state claim_state;
	/** Claims: outcome of the request if the claim has ended. */
	enum request_outcome claim_outcome;
	uint32_t claim_host; /**< Claims: host that holds the claim. */
	/** Orders: fencing number of the upstream's current order. It is the
	 * order just begun, or the unfinished one that prevented it. */
	uint64_t fencing_number;
	uint64_t epoch; /**< Epoch of the live hosts after the command. */
};

/* Commands */

/** Encodes a command. Errors: ERROR_INVALID_ARGUMENT, ERROR_TOO_LARGE. */
enum error_code command_encode(
    const struct command *command, struct message_writer *writer);
/** Decodes a command; free it with command_finish(). A command of another
 * version or an unknown type is of an unknown kind, whatever else it holds; any
 * other error means that it is invalid for every build. Errors: those of the
 * codec, ERROR_UNSUPPORTED_VERSION, ERROR_NOT_SUPPORTED for an unknown type,
 * ERROR_INVALID_ARGUMENT, ERROR_TOO_LARGE, ERROR_NO_MEMORY. */
enum error_code command_decode(
    struct command *command, const void *data, size_t size);
/** Reads the type of an encoded command without its body. Errors: those of the
 * codec, ERROR_UNSUPPORTED_VERSION, ERROR_NOT_SUPPORTED for an unknown type,
 * which is stored as well, and for a document that raises the level of the
 * state above what this build knows (state_level.h). */
enum error_code command_read_type(
    const void *data, size_t size, uint64_t *type);
/** Frees the memory that command_decode() allocated. */
void command_finish(struct command *command);
/** True if learners need commands of this type as well. Claims are known to
 * the voters only, and a barrier changes nothing. */
bool command_is_public(enum command_type type);

/* Results (command_result.c) */

/** Encodes a result. */
void command_result_encode(
    const struct command_result *result, struct message_writer *writer);
/** Decodes a result. Errors: those of the codec,
 * ERROR_UNSUPPORTED_VERSION. */
enum error_code command_result_decode(
    struct command_result *result, const void *data, size_t size);

#endif
