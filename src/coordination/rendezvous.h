/**
 * @file rendezvous.h
 * Rendezvous hashing: given the same set of hosts, every host picks the same
 * one for a key.
 *
 * When a host leaves the set, only the keys that it was picked for move.
 */
#ifndef RENDEZVOUS_H
#define RENDEZVOUS_H

#include <stdint.h>

/** Returns the weight of a host for a key. The host with the highest weight is
 * picked; of two with equal weights the one with the lower id. */
uint64_t rendezvous_weight(uint64_t key, uint32_t host_id);
/** Returns the host picked for a key, 0 if the set is empty. */
uint32_t rendezvous_pick(
    uint64_t key, const uint32_t *host_ids, uint32_t count);
/** Sorts a set of hosts in place by descending weight for a key. */
void rendezvous_sort(uint64_t key, uint32_t *host_ids, uint32_t count);

#endif
