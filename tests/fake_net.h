/**
 * @file fake_net.h
 * Faulty links between hosts in virtual time, for tests.
 *
 * Host ids run from 1 to the number of hosts. Each host has its own timer
 * service, so that a frozen host's timers stand still and its clock may have
 * another start; fake_net_run() steps all of them and the links. Messages are
 * reordered whenever the delays of a link differ. All faults come from the
 * seed.
 */
#ifndef FAKE_NET_H
#define FAKE_NET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/random_source.h"
#include "protocol/peer_port.h"
#include "transport/timer.h"

/** How one direction between two hosts behaves. */
struct fake_link {
	int64_t delay_min_ms; /**< Least delay. */
	int64_t delay_max_ms; /**< Most delay. */
	double loss;	      /**< Share lost, 0 to 1. */
	double duplicate;     /**< Share delivered twice, 0 to 1. */
	bool is_cut;	      /**< Loses everything, silently. */
};

/** Takes what arrives at a host. */
struct fake_receiver {
	/** Called for each message; the bytes go away after it. */
	void (*receive)(void *context, uint32_t from_host,
	    enum peer_channel channel, const void *body, size_t size);
	void *context; /**< Passed back to receive(). */
};

struct fake_message;
struct fake_net;

/** A host on the net. */
struct fake_net_host {
	struct fake_net *net;	       /**< Where it is. */
	uint32_t id;		       /**< From 1. */
	bool is_up;		       /**< Started and not killed. */
	bool is_frozen;		       /**< Stands still. */
	int64_t clock_offset_ms;       /**< Its clock minus net time. */
	struct timer_service timers;   /**< Its timers. */
	struct fake_receiver receiver; /**< Takes its messages. */
	struct fake_message *first;    /**< Held while it is frozen. */
	struct fake_message **last;    /**< End of the held ones. */
	uint64_t sent_messages;	       /**< Sent by it so far. */
	uint64_t sent_bytes;	       /**< Sent by it so far. */
};

/** The net. */
struct fake_net {
	struct random_source random;   /**< Decides on all faults. */
	struct timer_service messages; /**< Deliveries under way. */
	uint32_t host_count;	       /**< Hosts. */
	struct fake_net_host *hosts;   /**< Host id 1 is the first. */
	struct fake_link *links;       /**< By sender, then by receiver. */
	struct fake_message *pending;  /**< All messages under way. */
};

/* Setting up */

/** Starts a net of @p hosts hosts at time 0, all down, links of @p link. */
void fake_net_init(struct fake_net *net, uint32_t hosts, uint64_t seed,
    const struct fake_link *link);
/** Gives back memory. */
void fake_net_finish(struct fake_net *net);
/** The host with an id. */
struct fake_net_host *fake_net_host(struct fake_net *net, uint32_t id);
/** Where a host sends; valid until fake_net_finish(). */
struct peer_port fake_net_port(struct fake_net *net, uint32_t id);
/** The timers of a host; its time is net time plus its clock offset. */
struct timer_service *fake_net_timers(struct fake_net *net, uint32_t id);

/* Time */

/** Net time in milliseconds. */
int64_t fake_net_now(const struct fake_net *net);
/** Runs timers and deliveries for @p duration_ms. */
void fake_net_run(struct fake_net *net, int64_t duration_ms);

/* Hosts; a host must not kill or freeze itself out of its own callbacks */

/** Starts a host; its clock begins at @p clock_offset_ms plus net time. */
void fake_net_start(struct fake_net *net, uint32_t id, int64_t clock_offset_ms,
    struct fake_receiver receiver);
/** Kills a host: its timers and what waits for it are gone. */
void fake_net_kill(struct fake_net *net, uint32_t id);
/** Freezes a host: timers stand still, arriving messages wait. */
void fake_net_freeze(struct fake_net *net, uint32_t id);
/** Wakes a host: late timers and held messages run at once, either first. */
void fake_net_thaw(struct fake_net *net, uint32_t id);

/* Links */

/** One direction of a link, to read or change. */
struct fake_link *fake_net_link(
    struct fake_net *net, uint32_t from, uint32_t to);
/** Sets every link, and heals all cuts. */
void fake_net_set_links(struct fake_net *net, const struct fake_link *link);
/** Cuts a host off, in one direction or both. */
void fake_net_cut_host(
    struct fake_net *net, uint32_t id, bool cut_from, bool cut_to);
/** Cuts or heals both directions between two hosts. */
void fake_net_cut_pair(
    struct fake_net *net, uint32_t left, uint32_t right, bool is_cut);
/** Heals all cuts; other faults of the links stay. */
void fake_net_heal(struct fake_net *net);

#endif
