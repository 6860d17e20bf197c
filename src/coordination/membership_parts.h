/**
 * @file membership_parts.h
 * Declarations shared by the source files of the membership only.
 */
#ifndef MEMBERSHIP_PARTS_H
#define MEMBERSHIP_PARTS_H

#include "coordination/membership.h"

/** Another host, as seen by this one. */
struct member {
	struct host_record record; /**< What gossip tells of it. */
	int64_t since_ms; /**< Time of the last state change, own clock. */
};

/* membership.c */

/** Returns a host other than this one, or NULL if it is unknown. */
struct member *membership_find_member(
    const struct membership *membership, uint32_t host_id);
/** Changes the state of a host and tells the others. */
void membership_declare_state(struct membership *membership,
    struct member *member, enum host_state state);
/** Sends a message and adds what this host knows about the receiver, so that
 * the receiver can refute it. */
void membership_send(struct membership *membership, uint32_t to,
    struct membership_message message);

/* membership_probe.c */

/** Ends the last probe, checks the suspected hosts and starts the next probe;
 * called each ping_period_ms with the membership. */
void membership_run_period(void *context);
/** Dials the seeds while no other host is live; called more often than the
 * function above with the membership, so that a host that starts before its
 * seeds does not lose a whole period. */
void membership_dial_seeds_if_alone(void *context);
/** Dials the seeds whose hosts are not known to be live, unless it did so less
 * than seed_dial_interval_ms ago. */
void membership_dial_seeds(struct membership *membership);

#endif
