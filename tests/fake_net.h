/**
 * @file fake_net.h
 * Simulates faulty links between hosts in virtual time, for tests.
 *
 * Host ids run from 1 to the number of hosts. Each host has its own timer
 * service, so that its timers can be frozen and its clock can start at any
 * time; fake_net_run() advances all timer services and the links. Messages are
 * reordered when the delays of a link vary. All random faults follow from the
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

/** Behaviour of one direction of the link between two hosts. */
struct fake_link {
	int64_t delay_min_ms; /**< Smallest delay. */
	int64_t delay_max_ms; /**< Largest delay. */
	double loss;	      /**< Share of messages lost, 0 to 1. */
	double duplicate;     /**< Share of messages delivered twice. */
	bool is_cut;	      /**< Drops every message silently. */
};

/** Callback for the messages that arrive at a host. */
struct fake_receiver {
	/** Called for each message; @p body is valid during the call only. */
	void (*receive)(void *context, uint32_t from_host,
	    enum peer_channel channel, const void *body, size_t size);
	void *context; /**< First argument of receive(). */
};

struct fake_message;
struct fake_net;

/** A host on the network. */
struct fake_net_host {
	struct fake_net *net;	       /**< Network of the host. */
	uint32_t id;		       /**< Host id, from 1. */
	bool is_up;		       /**< Started and not killed. */
	bool is_frozen;		       /**< Its timers are stopped. */
	int64_t clock_offset_ms;       /**< Clock of the host minus net time. */
	struct timer_service timers;   /**< Timers of the host. */
	struct fake_receiver receiver; /**< Receives its messages. */
	/** First message held while the host is frozen. */
	struct fake_message *held_first;
	/** Where the next held message is linked. */
	struct fake_message **held_last;
	/** Bytes that the host can send in a millisecond, 0 for any number. */
	int64_t uplink_bytes_per_ms;
	int64_t uplink_free_ms; /**< Net time at which its last byte is sent. */
	uint64_t sent_messages; /**< Messages that the host has sent. */
	uint64_t sent_bytes;	/**< Bytes that the host has sent. */
};

/** The simulated network with its hosts and links. */
struct fake_net {
	struct random_source random;	 /**< Source of all random faults. */
	struct timer_service deliveries; /**< One timer for each delivery. */
	uint32_t host_count;		 /**< Number of hosts. */
	struct fake_net_host *hosts;	 /**< Hosts by id; id 1 is the first. */
	struct fake_link *links;	 /**< Links by sender, then receiver. */
	struct fake_message *pending;	 /**< All messages under way. */
};

/* Set-up */

/**
 * Creates a network at time 0 with @p hosts hosts, all of them down. Every
 * link behaves as @p link says.
 */
void fake_net_init(struct fake_net *net, uint32_t hosts, uint64_t seed,
    const struct fake_link *link);
/** Frees the network and the messages under way. */
void fake_net_finish(struct fake_net *net);
/** Returns the host with an id, NULL if there is none. */
struct fake_net_host *fake_net_host(struct fake_net *net, uint32_t id);
/** Returns the port a host sends by; valid until fake_net_finish(). */
struct peer_port fake_net_port(struct fake_net *net, uint32_t id);
/** Returns the timers of a host; they run at net time plus clock offset. */
struct timer_service *fake_net_timers(struct fake_net *net, uint32_t id);

/* Time */

/** Returns the net time in milliseconds. */
int64_t fake_net_now(const struct fake_net *net);
/** Advances net time by @p duration_ms; runs due timers and deliveries. */
void fake_net_run(struct fake_net *net, int64_t duration_ms);

/* Hosts; a host must not kill or freeze itself from its own callbacks */

/** Starts or restarts a host; its clock is @p clock_offset_ms ahead. */
void fake_net_start(struct fake_net *net, uint32_t id, int64_t clock_offset_ms,
    struct fake_receiver receiver);
/** Kills a host; its timers and the messages held for it are dropped. */
void fake_net_kill(struct fake_net *net, uint32_t id);
/** Freezes a host; its timers stop and arriving messages are held. */
void fake_net_freeze(struct fake_net *net, uint32_t id);
/**
 * Ends the freeze of a host: overdue timers run and held messages are
 * delivered at once, in a random order of the two.
 */
void fake_net_thaw(struct fake_net *net, uint32_t id);

/* Links */

/** Returns one direction of a link; the caller may change it. */
struct fake_link *fake_net_link(
    struct fake_net *net, uint32_t from, uint32_t to);
/** Sets the behaviour of every link, which also ends all cuts. */
void fake_net_set_links(struct fake_net *net, const struct fake_link *link);
/** Cuts the links from a host, to it, or both. */
void fake_net_cut_host(
    struct fake_net *net, uint32_t id, bool cut_from, bool cut_to);
/** Cuts or heals both directions between two hosts. */
void fake_net_cut_pair(
    struct fake_net *net, uint32_t left, uint32_t right, bool is_cut);
/** Ends all cuts; the other faults of the links stay. */
void fake_net_heal(struct fake_net *net);

#endif
