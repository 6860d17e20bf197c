/**
 * @file host_voters.h
 * Keeps the set of voters at the wanted size without an operator.
 *
 * Used where settings name the number of voters (voters_wanted) and not each
 * voter by hand. Only the leader acts, one change at a time.
 */
#ifndef HOST_VOTERS_H
#define HOST_VOTERS_H

#include "service/host.h"

/** Starts to look at the voters now and then; on the coordination thread. */
void host_voters_init(struct host *host);

#endif
