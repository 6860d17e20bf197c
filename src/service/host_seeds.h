/**
 * @file host_seeds.h
 * The seeds by which a host finds the others, at its start and when its
 * settings change.
 */
#ifndef HOST_SEEDS_H
#define HOST_SEEDS_H

#include <stdint.h>

#include "coordination/membership.h"
#include "service/host.h"
#include "service/settings.h"

/** Tells the links where the seeds are, and writes them down for membership;
 * gives their number. On the coordination thread, or before it runs. */
uint32_t host_add_seeds(struct host *host, const struct settings_seed *seeds,
    uint32_t count, struct membership_seed *list);
/** Other seeds from now on; from any thread. What can't be posted is logged. */
void host_set_seeds(
    struct host *host, const struct settings_seed *seeds, uint32_t count);

#endif
