/**
 * @file host_voters.h
 * Keeps the voter set at the configured size without an operator.
 *
 * Active if the settings give the number of voters (voters_wanted) rather than
 * list the voters. Only the leader changes the set, one voter at a time.
 */
#ifndef HOST_VOTERS_H
#define HOST_VOTERS_H

#include "host/host.h"

/** Starts the periodic check of the voter set; to be called before the
 * coordination thread starts or on it. */
void host_voters_init(struct host *host);
/** Returns true while a host that is stopping should go on as a voter, because
 * the leader is about to replace it by another host. */
bool host_voters_keeps_vote(struct host *host);

#endif
