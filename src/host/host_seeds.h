/**
 * @file host_seeds.h
 * Seeds: the configured addresses at which a host first looks for others, when
 * it starts and after its settings have changed.
 */
#ifndef HOST_SEEDS_H
#define HOST_SEEDS_H

#include <stdint.h>

#include "coordination/membership.h"
#include "host/host.h"
#include "service/settings.h"

/** Adds the seeds to the peer links, and fills @p list with them for
 * membership. Returns the length of the list, at most SEEDS_MAX. To be called
 * on the coordination thread or before it starts. */
uint32_t host_add_seeds(struct host *host, const struct settings_seed *seeds,
    uint32_t count, struct membership_seed *list);
/** Replaces the seeds of a running host; may be called on any thread. Doesn't
 * wait. If the coordination thread can't be reached, this is logged. */
void host_set_seeds(
    struct host *host, const struct settings_seed *seeds, uint32_t count);

#endif
