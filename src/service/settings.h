/**
 * @file settings.h
 * A host's settings: one JSON file, checked completely before anything starts.
 *
 * A table holds each key with its type, bounds, unit, default and description;
 * parsing, checking and the list of keys for operators all use that table.
 */
#ifndef SETTINGS_H
#define SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"
#include "config.h"

#define SETTINGS_SEEDS_MAX     16  /**< Most seed hosts in the settings. */
#define SETTINGS_PEER_KEYS_MAX 2   /**< Peer keys valid at a time. */
#define SETTINGS_OPERATORS_MAX 32  /**< Largest number of operators. */
#define SETTINGS_ADDRESS_SIZE  46  /**< IP address as text with its NUL. */
#define SETTINGS_PATH_SIZE     256 /**< File path with its NUL. */
#define SETTINGS_TOKEN_SIZE    128 /**< Token as text with its NUL. */
#define SETTINGS_PEER_KEY_SIZE 32  /**< Bytes of a peer key. */
#define SETTINGS_PROBLEM_TEXT_SIZE                                             \
	256 /**< Size of the text that says what a value must be. */

/** What an operator's token allows; each role includes those before it. */
enum operator_role {
	OPERATOR_ROLE_READER = 1,   /**< May read state and configuration. */
	OPERATOR_ROLE_OPERATOR = 2, /**< May change the configuration and give
					 orders to engines. */
	OPERATOR_ROLE_ADMIN = 3,    /**< May change voters and overrides. */
};

/** What a host does when it can't confirm its configuration. */
enum unconfirmed_policy {
	UNCONFIRMED_STOP = 1,  /**< Starts no new requests. The default. */
	UNCONFIRMED_SERVE = 2, /**< Uses the last known configuration. */
};

/** A host that this one contacts first to join the cluster. */
struct settings_seed {
	uint32_t id; /**< Host id of the seed. */
	/** IP address of its peer port. */
	char address[SETTINGS_ADDRESS_SIZE];
	uint32_t port; /**< TCP port for other hosts. */
};

/** A secret key that hosts authenticate each other with. */
struct settings_peer_key {
	uint32_t id; /**< Key id, the same on all hosts. */
	unsigned char bytes[SETTINGS_PEER_KEY_SIZE]; /**< The secret key. */
};

/** An operator and the token that identifies them. */
struct settings_operator {
	char name[NAME_SIZE_MAX];	 /**< Name of the operator. */
	char token[SETTINGS_TOKEN_SIZE]; /**< The operator's secret token. */
	enum operator_role role;	 /**< What the token allows. */
};

/** All settings of a host. */
struct settings {
	char cluster[NAME_SIZE_MAX];   /**< Name of the cluster; hosts of other
					  clusters are refused as peers. */
	uint32_t host_id;	       /**< Host id, unique in the cluster. */
	char host_name[NAME_SIZE_MAX]; /**< Host name shown to operators. */
	char data_centre[NAME_SIZE_MAX]; /**< Data centre of the host. */
	char region[NAME_SIZE_MAX];	 /**< Region of the data centre. */

	char http_address[SETTINGS_ADDRESS_SIZE]; /**< IP address for callers,
						       operators, upstreams. */
	uint32_t http_port; /**< TCP port at http_address. */
	char peer_address[SETTINGS_ADDRESS_SIZE]; /**< IP address for other
						       hosts. */
	uint32_t peer_port; /**< TCP port at peer_address. */

	char data_dir[SETTINGS_PATH_SIZE];   /**< Folder of durable state; empty
						  if the host keeps none. */
	char trace_file[SETTINGS_PATH_SIZE]; /**< File for trace spans; empty if
						  none are written. */
	char log_level[NAME_SIZE_MAX]; /**< Lowest level logged: error, warning,
					    info or debug. */
	char upstream_token[SETTINGS_TOKEN_SIZE]; /**< Token that upstreams must
						       send; empty: no check. */

	uint32_t configuration_lease_ms; /**< New requests are refused this long
					      after the last confirmation of the
					      configuration. */
	uint32_t election_timeout_ms; /**< Shortest time without a message from
					   the leader before an election. */
	uint32_t upstream_expiry_ms; /**< An upstream is removed this long after
					  its last renewal. */
	uint32_t grant_lease_ms; /**< Time until a capacity grant expires. */
	/** Deadline of requests that set none. */
	uint32_t default_deadline_ms;
	uint32_t deadline_max_ms; /**< Longest deadline of a request. */
	uint32_t stop_grace_ms;	  /**< Longest time that a stopping host waits
					for running requests. */
	uint32_t queue_requests_max; /**< Most requests queued at a time. */
	uint32_t streams_max;	     /**< Most requests running at a time. */
	uint32_t body_bytes_max;     /**< Largest body of a caller's request. */
	char unconfirmed_policy_name[NAME_SIZE_MAX]; /**< "stop" or "serve". */
	/** unconfirmed_policy_name as an enum. */
	enum unconfirmed_policy unconfirmed_policy;

	/* Not in the file: set by platform_settings.c for hosts that run on the
	 * users' platform and discover each other. */
	bool is_entry;		    /**< The host accepts callers' requests. */
	bool has_foreign_upstreams; /**< Upstreams lack this project's control
					 interface, so the host never asks them
					 which reservations they hold. */
	uint32_t voters_target; /**< Number of voters that the leader keeps up;
				     0 if operators change the voters. */
	uint32_t peer_handshake_timeout_ms; /**< Timeout of a peer link's
						 handshake; 0: its default. */
	uint32_t peer_backoff_max_ms;	/**< Longest pause between connection
					     attempts to a peer; 0: default. */
	uint32_t seed_dial_interval_ms; /**< Time between connection attempts to
					     seeds; 0: default. */
	uint32_t copies_min; /**< Voters that must have stored an entry before
				  it is acknowledged. */

	uint32_t voter_count;	     /**< Number of initial voters. */
	uint32_t voters[VOTERS_MAX]; /**< Host ids of the initial voters. */
	uint32_t seed_count;	     /**< Number of seeds. */
	struct settings_seed seeds
	    [SETTINGS_SEEDS_MAX]; /**< Hosts to join the cluster through. */
	uint32_t peer_key_count;  /**< Number of peer keys. */
	struct settings_peer_key peer_keys
	    [SETTINGS_PEER_KEYS_MAX]; /**< Keys accepted from peers; the
						    first is used to sign. */
	uint32_t operator_count;      /**< Number of operators. */
	/** Operators and tokens. */
	struct settings_operator operators[SETTINGS_OPERATORS_MAX];
};

/** Why settings were refused. */
struct settings_problem {
	enum error_code code;	     /**< Kind of problem. */
	char key[NAME_SIZE_MAX * 2]; /**< Key, such as "listen.http_port". */
	char value[NAME_SIZE_MAX]; /**< Value found, cut off if too long; empty
					  for a secret. */
	/** Text that says what the value must be. */
	char expected[SETTINGS_PROBLEM_TEXT_SIZE];
};

/* Loading */

/** Loads and checks a settings file. On an error, @p problem names the key and
 * what is expected, and its code is returned. */
enum error_code settings_load(struct settings *settings, const char *path,
    struct settings_problem *problem);
/** Parses and checks settings from the text of a file; errors as those of
 * settings_load(). */
enum error_code settings_parse(struct settings *settings, const char *text,
    struct settings_problem *problem);

/* Describing */

/** Calls @p write_line with a line for each key, for operators: name, unit,
 * bounds, default and description. */
void settings_describe(
    void (*write_line)(void *context, const char *line), void *context);

#endif
