/**
 * @file capacity_exchange.h
 * Owner and holder of one host behind one port: what a host ties in.
 *
 * Messages to this host itself take a bounded queue instead of the network.
 */
#ifndef CAPACITY_EXCHANGE_H
#define CAPACITY_EXCHANGE_H

#include "coordination/grant_holder.h"
#include "coordination/grant_owner.h"
#include "coordination/kv_lease.h"
#include "coordination/owner_map.h"

/** Both parts and the map. */
struct capacity_exchange {
	struct owner_map map;	      /**< Committed set of live hosts. */
	struct grant_owner owner;     /**< Grants. */
	struct grant_holder holder;   /**< Holds; use it directly. */
	struct kv_lease_table *kv;    /**< Attached one, or NULL. */
	struct peer_port network;     /**< To other hosts. */
	struct timer_service *timers; /**< Time. */
	GQueue *local;		      /**< Messages to this host. */
	struct handle deliver;	      /**< Timer of the queue. */
	uint64_t sent_bytes;	      /**< Bytes sent to other hosts. */
	uint64_t sent_messages;	      /**< Messages sent to other hosts. */
};

/** Prepares all of it; the memory must not move afterwards. */
enum error_code capacity_exchange_init(struct capacity_exchange *exchange,
    const struct grant_owner_settings *owner_settings,
    const struct grant_holder_settings *holder_settings,
    const struct grant_holder_ops *ops, struct timer_service *timers,
    struct peer_port network);
/** Gives back memory; request threads must have ended. */
void capacity_exchange_finish(struct capacity_exchange *exchange);
/** Takes a committed set of live hosts (ids ascending or not). Errors: those
 * of owner_map_set(). */
enum error_code capacity_exchange_set_hosts(struct capacity_exchange *exchange,
    uint64_t epoch, const uint32_t *hosts, uint32_t count);
/** Port that kv_lease_init() takes: this host's own messages loop back. */
struct peer_port capacity_exchange_port(struct capacity_exchange *exchange);
/** Hands KV messages to a table from now on; NULL ends that. */
void capacity_exchange_attach_kv(
    struct capacity_exchange *exchange, struct kv_lease_table *kv);
/** A message on PEER_CHANNEL_GRANT. */
enum error_code capacity_exchange_receive(struct capacity_exchange *exchange,
    uint32_t from_host, const void *body, size_t size);

#endif
