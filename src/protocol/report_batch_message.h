/**
 * @file report_batch_message.h
 * Batches of the entry hosts' work reports, on their way to all entry hosts of
 * a large fleet.
 *
 * The reports in a batch are opaque bytes (protocol/work_message.h). Batches
 * share PEER_CHANNEL_WORK with single reports and have a version of their own,
 * by which a receiver tells them apart.
 */
#ifndef REPORT_BATCH_MESSAGE_H
#define REPORT_BATCH_MESSAGE_H

#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"
#include "config.h"
#include "protocol/codec.h"

/** Version of a batch. A single report has version 1. */
#define REPORT_BATCH_VERSION 2

/** What the receiver of a batch does with it, with its number on the wire. */
enum report_batch_type {
	/** Adds the reports to the next batch of its data centre. */
	REPORT_BATCH_COLLECT = 1,
	/** Passes the batch on to all entry hosts of its data centre. */
	REPORT_BATCH_SPREAD = 2,
	/** Passes the batch on to the hosts listed in it. */
	REPORT_BATCH_FORWARD = 3,
};

/** One host's report in a batch. */
struct batched_report {
	uint32_t host_id;  /**< Host that wrote the report. */
	uint64_t sequence; /**< Grows with each report of that process. */
	uint32_t age_ms;   /**< Time since the host sent the report. */
	const void *body;  /**< Bytes of the report. */
	size_t size;	   /**< Number of these bytes. */
};

/** A batch. A batch that was read points into its message. */
struct report_batch {
	enum report_batch_type type;  /**< What the receiver does. */
	uint32_t host_count;	      /**< Number of host ids. */
	uint32_t host_ids[HOSTS_MAX]; /**< FORWARD: hosts to send to. */
	uint32_t report_count;	      /**< Number of reports. */
	struct batched_report reports[HOSTS_MAX]; /**< One for each host. */
};

/** Writes a batch into an initialised writer. */
void report_batch_write(
    struct message_writer *writer, const struct report_batch *batch);
/** Reads a batch, whose reports stay valid until the caller finishes
 * @p reader. On an error the reader is finished already. Errors: those of the
 * codec, ERROR_UNSUPPORTED_VERSION for anything but a batch,
 * ERROR_NOT_SUPPORTED for an unknown type, ERROR_TOO_LARGE for more hosts or
 * reports than HOSTS_MAX, ERROR_MALFORMED if the sizes don't fit. */
enum error_code report_batch_read(const void *body, size_t size,
    struct message_reader *reader, struct report_batch *batch);

#endif
