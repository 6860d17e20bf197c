/**
 * @file rendezvous.h
 * Rendezvous hashing: every host picks the same host for a key.
 *
 * When a host leaves the set only the keys that it held move.
 */
#ifndef RENDEZVOUS_H
#define RENDEZVOUS_H

#include <stdint.h>

/** Weight of a host for a key; the highest wins, a tie goes to the lower id. */
uint64_t rendezvous_weight(uint64_t key, uint32_t host_id);
/** The host for a key, 0 for an empty set. */
uint32_t rendezvous_pick(
    uint64_t key, const uint32_t *host_ids, uint32_t count);
/** Sorts a set in place, best host for the key first. */
void rendezvous_sort(uint64_t key, uint32_t *host_ids, uint32_t count);

#endif
