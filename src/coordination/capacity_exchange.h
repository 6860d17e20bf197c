/**
 * @file capacity_exchange.h
 * Capacity grants of one host: its owner side and its holder side, connected
 * to one network port.
 *
 * Each host owns the capacity of some upstreams and grants parts of it to the
 * hosts that send requests there. Messages between the two sides of the same
 * host pass through a bounded queue instead of the network.
 */
#ifndef CAPACITY_EXCHANGE_H
#define CAPACITY_EXCHANGE_H

#include "coordination/grant_holder.h"
#include "coordination/grant_owner.h"
#include "coordination/kv_lease.h"
#include "coordination/owner_map.h"

/** Both sides of the capacity grants and the map of owners. */
struct capacity_exchange {
	struct owner_map map; /**< Maps upstreams to the owning live host. */
	struct grant_owner owner;   /**< Grants capacity of owned upstreams. */
	struct grant_holder holder; /**< Grants to this host; call it directly
					 for slots and demand. */
	struct kv_lease_table *kv_leases; /**< Gets KV messages, or NULL. */
	struct peer_port network;	  /**< Sends messages to other hosts. */
	struct timer_service *timers;	  /**< Clock and timers in use. */
	GQueue *local_messages;	      /**< GBytes from this host to itself. */
	struct handle delivery_timer; /**< Delivers local_messages. */
	uint64_t sent_bytes;	      /**< Bytes sent to other hosts. */
	uint64_t sent_messages;	      /**< Messages sent to other hosts. */
};

/** Initialises both sides; @p exchange must not move in memory afterwards.
 * Errors: those of grant_owner_init() and grant_holder_init(). */
enum error_code capacity_exchange_init(struct capacity_exchange *exchange,
    const struct grant_owner_settings *owner_settings,
    const struct grant_holder_settings *holder_settings,
    const struct grant_holder_ops *ops, struct timer_service *timers,
    struct peer_port network);
/** Frees both sides and all slots; request threads must have ended. */
void capacity_exchange_finish(struct capacity_exchange *exchange);
/** Applies a committed set of live hosts, with ids in any order. Errors: those
 * of owner_map_set(). */
enum error_code capacity_exchange_set_hosts(struct capacity_exchange *exchange,
    uint64_t epoch, const uint32_t *hosts, uint32_t count);
/** Returns the port to pass to kv_lease_init(); messages that it sends to this
 * host are queued locally. */
struct peer_port capacity_exchange_port(struct capacity_exchange *exchange);
/** Delivers received KV_QUERY and KV_ANSWER messages to @p kv from now on, or
 * refuses such messages if @p kv is NULL. */
void capacity_exchange_attach_kv(
    struct capacity_exchange *exchange, struct kv_lease_table *kv);
/** Handles a message that arrived on PEER_CHANNEL_GRANT. Errors: those of
 * grant_reader_init() and of the receiving side; ERROR_NOT_SUPPORTED for a KV
 * message while no table is attached. */
enum error_code capacity_exchange_receive(struct capacity_exchange *exchange,
    uint32_t from_host, const void *body, size_t size);

#endif
