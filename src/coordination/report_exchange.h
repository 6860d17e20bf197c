/**
 * @file report_exchange.h
 * Carries each entry host's work report to all other entry hosts.
 *
 * In a small fleet a host sends its report to every other one. In a large fleet
 * that would cost each host messages in proportion to the fleet's requests, so
 * reports travel in batches there. A host sends its report to the collector of
 * its data centre. The collector sends what came in to the hosts of its data
 * centre, and to one host of each other data centre, which passes it on there.
 * Within a data centre a batch goes down a tree that is drawn anew for each
 * batch, so a host that is frozen or slow costs the others few batches, and a
 * lost report is replaced by the next one.
 *
 * No host is appointed as a collector: it is the one that the senders choose,
 * the first in a ranking that all hosts of the data centre compute alike. A
 * batch brings a host's own report back to it. If it doesn't in time, the host
 * goes on to the next collector in the ranking for a while.
 *
 * A host whose build has no batches sends its report to every other one, and
 * refuses batches. It gets single reports, and has no part in the batches of the
 * others. A host that gets single reports though it knows batches is told so by
 * a batch now and then.
 */
#ifndef REPORT_EXCHANGE_H
#define REPORT_EXCHANGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "base/random_source.h"
#include "config.h"
#include "protocol/peer_port.h"
#include "protocol/report_batch_message.h"
#include "transport/timer.h"

/** Settings of the exchange; zero means the default. */
struct report_exchange_settings {
	uint32_t host_id;     /**< Id of this host. */
	uint64_t data_centre; /**< Hash of the name of its data centre. */
	/** Most entry hosts, with this one, among which reports are sent without
	 * a collector; default 16. */
	uint32_t direct_hosts_max;
	/** Shortest mean time between the batches that a host receives; default
	 * 5. A collector waits it once for each data centre between two
	 * batches. */
	int64_t batch_period_ms;
	/** Hosts to which one host sends the same batch; default 8. */
	uint32_t fan_out;
	/** Time in which a batch must bring a host's own report back; default
	 * 300. */
	int64_t confirm_ms;
	/** Time until a host returns to the first collector in its ranking;
	 * default 3,000. */
	int64_t avoid_ms;
	/** Time for which a host that sent a single report in a large fleet is
	 * taken for one of a build without batches; default 2,000. */
	int64_t single_ms;
};

/** A live entry host, as the owner knows it. */
struct report_peer {
	uint32_t host_id;     /**< Id of the host. */
	uint64_t data_centre; /**< Hash of the name of its data centre. */
};

/** Functions that the exchange calls in its owner. */
struct report_exchange_ops {
	/** Writes up to @p max live entry hosts, without this one, and returns
	 * their number. */
	uint32_t (*list_peers)(
	    void *context, struct report_peer *peers, uint32_t max);
	/** Called for each report of another host, which that host sent
	 * @p age_ms ago. Reports may come twice and out of order. */
	void (*on_report)(void *context, uint32_t from_host, const void *body,
	    size_t size, int64_t age_ms);
	void *context; /**< First argument of the functions. */
};

/** Exchange of work reports of one host. */
struct report_exchange {
	struct report_exchange_settings settings; /**< With defaults. */
	struct report_exchange_ops ops;		  /**< Callbacks. */
	struct timer_service *timers;		  /**< Runs the timers below. */
	struct peer_port port;			  /**< Sends to other hosts. */
	struct random_source random;		  /**< Draws the trees. */
	GHashTable *collected; /**< Host id to struct collected_report. */
	/** Id of a host that sent single reports, in a large fleet, to struct
	 * single_sender. */
	GHashTable *singles;
	GBytes *own_report;    /**< Report sent last, NULL for none. */
	uint64_t own_sequence; /**< Its sequence number. */
	bool is_unconfirmed;   /**< No batch has brought an own report back. */
	uint32_t collector_rank;     /**< Position of the collector in use. */
	int64_t rank_until_ms;	     /**< When to return to the first one. */
	uint32_t data_centre_count;  /**< Data centres with entry hosts. */
	int64_t batch_sent_ms;	     /**< When the last batch was sent. */
	struct handle batch_timer;   /**< Sends the next batch. */
	struct handle confirm_timer; /**< Checks that own reports return. */
};

/** Initialises the exchange. */
void report_exchange_init(struct report_exchange *exchange,
    const struct report_exchange_settings *settings,
    struct timer_service *timers, uint64_t seed, struct peer_port port,
    struct report_exchange_ops ops);
/** Cancels the timers and frees the memory; does nothing on a zeroed
 * struct. */
void report_exchange_finish(struct report_exchange *exchange);
/** Sends a report of this host to all other entry hosts. */
void report_exchange_send(
    struct report_exchange *exchange, const void *body, size_t size);
/** Handles a message received on PEER_CHANNEL_WORK: a single report or a batch.
 * Errors: those of report_batch_read(). */
enum error_code report_exchange_receive(struct report_exchange *exchange,
    uint32_t from_host, const void *body, size_t size);

#endif
