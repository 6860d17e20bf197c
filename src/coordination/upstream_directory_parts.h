/**
 * @file upstream_directory_parts.h
 * Declarations shared by the source files of the directory of upstreams only.
 */
#ifndef UPSTREAM_DIRECTORY_PARTS_H
#define UPSTREAM_DIRECTORY_PARTS_H

#include "coordination/upstream_directory.h"

/** Largest number of hosts that subscribe to the load of one upstream. */
#define SUBSCRIBERS_MAX 16

/** Stands for no time in fields. */
#define NEVER_MS INT64_MIN
/** Largest epoch of a home. */
#define EPOCH_MAX ((1u << 30) - 1)
/** In the minor number of the gossip version, the state stands above the sequence
 * number, which has this many bits. */
#define STATE_SHIFT 62
/** Largest sequence number of a record. */
#define SEQUENCE_MAX (((uint64_t)1 << STATE_SHIFT) - 1)

/** A host that subscribed to load reports, until a time. */
struct subscriber {
	uint32_t host_id; /**< Id of the host, 0 for a free place. */
	int64_t until_ms; /**< End of the subscription. */
};

/** An upstream of the directory. */
struct upstream_entry {
	struct upstream_entry_body body; /**< What gossip tells of it. */
	/** State that the owner was last notified of. */
	enum upstream_state reported_state;
	/** Time of the last renewal; used only if this host is the home. */
	int64_t renewed_ms;
	/** Time of the last renewal that came here although another host is the
	 * home, or the smallest value for none. */
	int64_t misdirected_renewal_ms;
	/** Time since when the home is dead, the smallest value while it is
	 * live. */
	int64_t home_lost_ms;
	/** Time since when the upstream is gone, the smallest value while it is
	 * not. */
	int64_t gone_ms;
	bool has_load;		   /**< The next two are set. */
	struct upstream_load load; /**< Last load report. */
	int64_t load_ms;	   /**< Time at which it arrived. */
	/** Hosts that get the load reports. */
	struct subscriber subscribers[SUBSCRIBERS_MAX];
};

/* upstream_directory.c */

/** Returns the entry of an upstream, or NULL if it is unknown. */
struct upstream_entry *upstream_directory_entry(
    const struct upstream_directory *directory, uint64_t id);
/** Finds the entry of an upstream that is not gone and has that incarnation.
 * Errors: ERROR_NOT_FOUND, ERROR_STALE for an earlier incarnation. */
enum error_code upstream_directory_current(struct upstream_directory *directory,
    uint64_t id, uint64_t incarnation, struct upstream_entry **entry);
/** Returns true if this host is the home of the upstream. */
bool upstream_directory_is_home(const struct upstream_directory *directory,
    const struct upstream_entry *entry);
/** True while the process that is the home of the entry lives. */
bool upstream_directory_is_home_live(const struct upstream_directory *directory,
    const struct upstream_entry_body *body);
/** Puts the next version of an entry into the list and spreads it. Errors: those
 * of gossip_put(). */
enum error_code upstream_directory_put(struct upstream_directory *directory,
    const struct upstream_entry_body *body);
/** Sends the home of an upstream a message that has no body of its own:
 * UPSTREAM_TYPE_RENEW or UPSTREAM_TYPE_SUBSCRIBE. */
void upstream_directory_send_notice(struct upstream_directory *directory,
    const struct upstream_entry *entry, enum upstream_message_type type);

/* upstream_calls.c: what upstreams say of themselves to this host */

/** Makes this host the home of the upstream, under the next epoch. Errors:
 * ERROR_STALE after the last epoch, those of gossip_put(). */
enum error_code upstream_directory_become_home(
    struct upstream_directory *directory, struct upstream_entry *entry);

/* upstream_load.c */

/** Handles a load report that another host has sent. Errors: those of
 * upstream_load_read(), ERROR_NOT_FOUND, ERROR_STALE. */
enum error_code upstream_load_receive(
    struct upstream_directory *directory, const void *body, size_t size);
/** Adds or extends a subscription. If the list is full, the new one replaces
 * the subscription that ends first. */
void upstream_load_subscribe(struct upstream_directory *directory,
    struct upstream_entry *entry, uint32_t host_id);

#endif
