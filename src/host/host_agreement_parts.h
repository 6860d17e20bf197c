/**
 * @file host_agreement_parts.h
 * Declarations shared by host_agreement.c, host_feed.c and host_live_hosts.c only.
 */
#ifndef HOST_AGREEMENT_PARTS_H
#define HOST_AGREEMENT_PARTS_H

#include "host/host.h"

/* host_agreement.c */

/** Makes the current state visible to request threads. A state that is older
 * than the published one is skipped, so that requests never see the
 * configuration go back. */
void host_agreement_publish(struct host *host);
/** Completes the calls whose sequence is in force or whose wait has ended.
 * UINT64_MAX ends all waits, because the host stops. */
void host_agreement_complete(struct host *host, uint64_t in_force);

/* host_feed.c */

/** Starts the configuration feed. */
enum error_code host_feed_start(struct host *host);
/** Returns true if this host leads the voters; @p context is the host. */
bool host_is_leader(void *context);
/** Updates the voters that the command client uses and this host's own voter
 * flag in gossip; @p context is the host. */
void host_feed_refresh_voters(void *context);

/* host_live_hosts.c */

/** Compares the committed live hosts with those that membership reports and
 * submits a new set if needed, one at a time; @p context is the host. */
void host_live_hosts_plan(void *context);

#endif
