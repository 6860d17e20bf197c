/**
 * @file settings.h
 * A host's settings: one JSON file, checked whole before anything starts.
 *
 * Each key stands in a table with its type, bounds, unit and default, from
 * which loading, checking and the description for operators all follow.
 */
#ifndef SETTINGS_H
#define SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"
#include "config.h"

#define SETTINGS_SEEDS_MAX	   16  /**< Seed hosts in the settings. */
#define SETTINGS_KEYS_MAX	   2   /**< Peer keys valid at once. */
#define SETTINGS_TOKENS_MAX	   32  /**< Operators' tokens. */
#define SETTINGS_ADDRESS_SIZE	   46  /**< An IP address as text. */
#define SETTINGS_PATH_SIZE	   256 /**< A file's path. */
#define SETTINGS_TOKEN_SIZE	   128 /**< A token as text. */
#define SETTINGS_PEER_KEY_SIZE	   32  /**< Bytes of a peer key. */
#define SETTINGS_PROBLEM_TEXT_SIZE 256 /**< Text about a refused value. */

/** What an operator's token allows. */
enum operator_role {
	OPERATOR_ROLE_READER = 1,   /**< Read only. */
	OPERATOR_ROLE_OPERATOR = 2, /**< Change configuration, give orders. */
	OPERATOR_ROLE_ADMIN = 3,    /**< Change voters and overrides too. */
};

/** What a host does when it can't confirm its configuration. */
enum unconfirmed_policy {
	UNCONFIRMED_STOP = 1,  /**< Gives no new work. The default. */
	UNCONFIRMED_SERVE = 2, /**< Serves by the last known configuration. */
};

/** A host to join through. */
struct settings_seed {
	uint32_t id;			     /**< Its host id. */
	char address[SETTINGS_ADDRESS_SIZE]; /**< IP address for peers. */
	uint32_t port;			     /**< Port for peers. */
};

/** A key that hosts know each other by. */
struct settings_peer_key {
	uint32_t id;				     /**< Names the key. */
	unsigned char bytes[SETTINGS_PEER_KEY_SIZE]; /**< The secret. */
};

/** An operator's token. */
struct settings_operator {
	char name[NAME_SIZE_MAX];	 /**< Who it is. */
	char token[SETTINGS_TOKEN_SIZE]; /**< The secret. */
	enum operator_role role;	 /**< What it allows. */
};

/** All settings of a host. */
struct settings {
	char cluster[NAME_SIZE_MAX];   /**< Hosts of another one are refused. */
	uint32_t host_id;	       /**< Unique, 1 and up. */
	char host_name[NAME_SIZE_MAX]; /**< For people. */
	char data_centre[NAME_SIZE_MAX]; /**< Where the host stands. */
	char region[NAME_SIZE_MAX];	 /**< Region of the data centre. */

	char http_address[SETTINGS_ADDRESS_SIZE]; /**< Callers, operators. */
	uint32_t http_port;			  /**< TCP port. */
	char peer_address[SETTINGS_ADDRESS_SIZE]; /**< Other hosts. */
	uint32_t peer_port;			  /**< TCP port. */

	char data_dir[SETTINGS_PATH_SIZE];   /**< Empty: no durable state. */
	char trace_file[SETTINGS_PATH_SIZE]; /**< Empty: no spans written. */
	char log_level[NAME_SIZE_MAX]; /**< error, warning, info, debug. */
	char upstream_token[SETTINGS_TOKEN_SIZE]; /**< What upstreams show. */

	uint32_t
	    configuration_lease_ms;   /**< Life of the configuration lease. */
	uint32_t election_timeout_ms; /**< Least silence before a vote. */
	uint32_t upstream_expiry_ms;  /**< Life of an unrenewed upstream. */
	uint32_t grant_lease_ms;      /**< Life of a capacity grant. */
	uint32_t default_deadline_ms; /**< For requests that name none. */
	uint32_t deadline_max_ms;     /**< Longest that a request may name. */
	uint32_t stop_grace_ms;	      /**< Longest wait of a planned stop. */
	uint32_t queue_requests_max;  /**< Requests that may wait here. */
	uint32_t streams_max;	      /**< Requests running at a time. */
	uint32_t body_bytes_max;      /**< Largest body of a caller. */
	char unconfirmed_policy_name[NAME_SIZE_MAX]; /**< stop or serve. */
	enum unconfirmed_policy unconfirmed_policy;  /**< The same, parsed. */

	/* Set by code, not by the file: for hosts that find each other. */
	bool is_entry;		    /**< Takes callers' requests. */
	bool has_foreign_upstreams; /**< They don't speak our own control
					 interface: never ask what they hold. */
	uint32_t voters_wanted; /**< Voters kept by the leader, 0: by hand. */
	uint32_t peer_handshake_ms;   /**< Of a peer link, 0: its default. */
	uint32_t peer_backoff_max_ms; /**< Between dials, 0: its default. */
	uint32_t seed_dial_ms;	      /**< Between seeds, 0: its default. */
	uint32_t copies_min; /**< Voters that hold what is acknowledged. */

	uint32_t voter_count;	     /**< Initial voters below. */
	uint32_t voters[VOTERS_MAX]; /**< Host ids. */
	uint32_t seed_count;	     /**< Seeds below. */
	struct settings_seed seeds[SETTINGS_SEEDS_MAX]; /**< To join. */
	uint32_t peer_key_count; /**< Keys below; the first signs. */
	struct settings_peer_key peer_keys[SETTINGS_KEYS_MAX]; /**< Keys. */
	uint32_t operator_count; /**< Operators below. */
	struct settings_operator operators[SETTINGS_TOKENS_MAX]; /**< Who. */
};

/** Why settings were refused. */
struct settings_problem {
	enum error_code code;	     /**< Its type. */
	char key[NAME_SIZE_MAX * 2]; /**< Such as "listen.port". */
	char value[NAME_SIZE_MAX];   /**< As found, cut short. */
	char expected[SETTINGS_PROBLEM_TEXT_SIZE]; /**< What is allowed. */
};

/* Loading */

/** Loads and checks a file; on an error @p problem says which key and why. */
enum error_code settings_load(struct settings *settings, const char *path,
    struct settings_problem *problem);
/** The same from text, for tests and the command line. */
enum error_code settings_parse(struct settings *settings, const char *text,
    struct settings_problem *problem);

/* Describing */

/** Writes a line for each key: name, unit, bounds, default, meaning. */
void settings_describe(
    void (*write_line)(void *context, const char *line), void *context);

#endif
