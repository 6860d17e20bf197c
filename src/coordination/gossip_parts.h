/**
 * @file gossip_parts.h
 * Declarations shared by the source files of the gossip map only.
 */
#ifndef GOSSIP_PARTS_H
#define GOSSIP_PARTS_H

#include "coordination/gossip.h"

/** Estimated encoded size of an item without its body. */
#define GOSSIP_ITEM_OVERHEAD_BYTES 40

/** An item of the map. */
struct gossip_item {
	uint64_t key;		       /**< Key of the item. */
	struct gossip_version version; /**< Version of the body. */
	uint32_t push_count;	       /**< How often the item was pushed. */
	/** Link in the push queue, NULL if not queued. */
	GList *push_link;
	size_t size;	      /**< Bytes of the body. */
	unsigned char body[]; /**< Body in its encoded form. */
};

/* gossip.c: the items of this host, and which of them are pushed */

/** Returns an item, or NULL if the map does not have it. */
struct gossip_item *gossip_find_item(const struct gossip *gossip, uint64_t key);
/** Returns the bucket of a key. */
uint32_t gossip_bucket_of(uint64_t key);
/** Returns the hash of an item by which builds without checksums compare. */
uint32_t gossip_earlier_hash(const struct gossip_item *item);
/** Records that another host sent a version which is not newer. */
void gossip_record_duplicate(struct gossip *gossip, struct gossip_item *item,
    const struct gossip_version *version);

/** Returns the next host to push to, 0 for none. */
uint32_t gossip_next_push_host(struct gossip *gossip);
/** Returns how many other hosts the map is replicated to at present, or
 * GOSSIP_COPIES_MAX if there are more. */
uint32_t gossip_count_hosts(const struct gossip *gossip);

/* gossip_confirm.c: whether other hosts hold an item */

/** Asks further hosts, and ends the confirmations whose time is over. */
void gossip_confirm_round(struct gossip *gossip);
/** Records that a host has sent a version of an item, so that it holds it. */
void gossip_confirm_holder(struct gossip *gossip, uint32_t host_id,
    uint64_t key, const struct gossip_version *version);
/** Ends all confirmations with ERROR_SHUTTING_DOWN. */
void gossip_confirm_finish(struct gossip *gossip);

/* gossip_exchange.c: messages, and the comparison with another host's map */

/** Sends items to a host in one message. */
void gossip_send_items(
    struct gossip *gossip, uint32_t host_id, const GPtrArray *items);
/** Asks a host for an item: if it holds it, it sends it. */
void gossip_ask_for_item(struct gossip *gossip, uint32_t host_id, uint64_t key);

#endif
