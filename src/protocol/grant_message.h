/**
 * @file grant_message.h
 * Messages about capacity grants, on PEER_CHANNEL_GRANT, between the owners of
 * upstreams and the hosts that hold grants for them.
 *
 * A message has a header and rows, each about one upstream. All rows form one
 * flat array of numbers, and the message states the number of columns. A later
 * version can therefore add columns, which earlier readers skip.
 */
#ifndef GRANT_MESSAGE_H
#define GRANT_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"
#include "protocol/codec.h"
#include "state/capacity_slot.h"

#define GRANT_ROWS_MAX 8192 /**< Largest number of rows in a message. */

/** Type of a message, with its number on the wire. */
enum grant_message_type {
	/** From a holder to the owner: demand report, use and demand per
	 * upstream. */
	GRANT_MESSAGE_REPORT = 1,
	/** From the owner to a holder: offers of capacity. */
	GRANT_MESSAGE_GRANT = 2,
	/** From a new owner to a host: asks what the host runs on upstreams of
	 * this owner. Has no rows. */
	GRANT_MESSAGE_USE_QUERY = 3,
	/** From a holder to the owner: answers USE_QUERY with everything that
	 * the holder runs on upstreams of this owner. */
	GRANT_MESSAGE_USE_ANSWER = 4,
	/** From the old to the new owner of an upstream: its ledger. */
	GRANT_MESSAGE_LEDGER = 5,
	/** From the new to the old owner: the ledger has arrived and need not
	 * be sent again. */
	GRANT_MESSAGE_LEDGER_TAKEN = 6,
	/** From an owner to a holder: asks whether reservations of KV memory
	 * are still in use. */
	GRANT_MESSAGE_KV_QUERY = 7,
	/** From a holder to the owner: answers KV_QUERY. */
	GRANT_MESSAGE_KV_ANSWER = 8,
};

/** Header of a message. Fields that a type does not use are zero. */
struct grant_header {
	enum grant_message_type type; /**< Type of the message and its rows. */
	/** Epoch of the owner map at the sender; in LEDGER and LEDGER_TAKEN the
	 * epoch in which the upstream changed its owner. USE_ANSWER returns
	 * that of the query. */
	uint64_t epoch;
	/** REPORT, USE_ANSWER: number of the holder's process, which grows with
	 * each start. GRANT: that of the report that it answers. */
	uint64_t instance;
	/** REPORT: send time since the start of the holder, and a number
	 * within the millisecond. USE_QUERY: number of the query. GRANT,
	 * USE_ANSWER: sequence of the message that they answer. */
	uint64_t sequence;
	/** REPORT: the holder expects a GRANT in answer. */
	bool wants_answer;
	uint32_t row_count; /**< Number of rows after the header. */
};

/** A row of a REPORT or USE_ANSWER: one upstream's use by the holder. */
struct grant_report {
	uint64_t upstream_id; /**< Id of the upstream. */
	/** Incarnation of the upstream that the holder knows. */
	uint64_t incarnation;
	uint64_t term;	       /**< Term of the last offer applied. */
	uint64_t offer_number; /**< Number of the last offer applied. */
	/** Capacity that the holder's slot may use at present. */
	struct capacity_amount ceiling;
	/** Capacity used by running requests. */
	struct capacity_amount used;
	/** Capacity for running and waiting requests, with some headroom. */
	struct capacity_amount wanted;
	/** Demand of the largest single waiting request, or zero. */
	struct capacity_amount largest_waiting;
	/** Part of wanted that running and waiting requests need now, in
	 * percent. */
	uint32_t needed_percent;
	/** Warm-up bound in the last offer, from 0 (cold) to 1000 (warm). */
	uint32_t warmth;
	/** Answers since the last report that were in time while the holder
	 * used nearly all of its grant; they raise the warm-up bound. */
	uint32_t in_time_answers;
	/** An answer showed that the upstream is cold, and the owner has not
	 * yet confirmed that it knows. */
	bool is_cold;
};

/** A row of a GRANT: the capacity of one upstream offered to the holder. */
struct grant_offer {
	uint64_t upstream_id; /**< Id of the upstream. */
	/** Incarnation of the upstream that the owner knows. */
	uint64_t incarnation;
	uint64_t term;	       /**< Owner's epoch when it made the offer. */
	uint64_t offer_number; /**< Increased with each changed offer. */
	struct capacity_amount amount; /**< Capacity that may be used. */
	/** Warm-up bound of the upstream, from 0 (cold) to 1000 (warm). */
	uint32_t warmth;
	/** Duration, counted from when the answered report was sent. */
	uint32_t duration_ms;
};

/** A row of a LEDGER. The first row has host_id 0 and describes the upstream;
 * each other row describes capacity that a holder may use. */
struct grant_ledger_row {
	uint64_t upstream_id; /**< Id of the upstream. */
	uint64_t incarnation; /**< Incarnation of the upstream. */
	uint32_t host_id;     /**< Host id of the holder, 0 in the first row. */
	uint64_t instance;    /**< Number of the holder's process, or 0. */
	/** Upper bound of the work that may run for the holder. */
	struct capacity_amount amount;
	/** Time until the grant or the draining work ends. The first row has
	 * the number of rows after it instead. */
	uint64_t remaining_ms;
	/** Warm-up bound of the upstream, from 0 (cold) to 1000 (warm). */
	uint32_t warmth;
	/** The row counts work that may still run although its grant is no
	 * longer valid; no new work starts under it. */
	bool is_draining;
};

/** A row of a KV_QUERY or KV_ANSWER: one reservation of KV memory. */
struct grant_kv_row {
	uint64_t upstream_id;	 /**< Upstream with the reservation. */
	uint64_t incarnation;	 /**< Incarnation of the upstream. */
	uint64_t reservation_id; /**< Id of the reservation. */
	/** KV_ANSWER: the holder still uses the reservation. */
	bool is_live;
};

/* Writing: open a message, then add exactly row_count rows of its type */

/** Writes the header and opens the array of rows. */
void grant_message_open(
    struct message_writer *writer, const struct grant_header *header);
/** Adds a row of a REPORT or USE_ANSWER. */
void grant_message_add_report(
    struct message_writer *writer, const struct grant_report *row);
/** Adds a row of a GRANT. */
void grant_message_add_offer(
    struct message_writer *writer, const struct grant_offer *row);
/** Adds a row of a LEDGER. */
void grant_message_add_ledger_row(
    struct message_writer *writer, const struct grant_ledger_row *row);
/** Adds an upstream id to a LEDGER_TAKEN. */
void grant_message_add_id(struct message_writer *writer, uint64_t upstream_id);

/** Adds a row of a KV_QUERY or KV_ANSWER. */
void grant_message_add_kv_row(
    struct message_writer *writer, const struct grant_kv_row *row);

/* Reading. The functions that read a row return ERROR_NOT_FOUND for an index
 * beyond the last row, ERROR_TOO_LARGE for a number that does not fit its
 * field, or an error of the codec. */

/** A message being read. */
struct grant_reader {
	struct message_reader message; /**< The whole message. */
	struct grant_header header;    /**< Header of the message. */
	struct message_array rows;     /**< The numbers of all rows. */
	uint32_t row_width;	       /**< Numbers in one row. */
};

/** Opens a message and reads its header. On success, release the reader with
 * grant_reader_finish(). Errors: those of the codec, ERROR_TOO_LARGE for more
 * than GRANT_ROWS_MAX rows, ERROR_UNSUPPORTED_VERSION, ERROR_MALFORMED for an
 * unknown type or rows of a wrong width. */
enum error_code grant_reader_init(
    struct grant_reader *reader, const void *body, size_t size);
/** Releases the memory of a reader. */
void grant_reader_finish(struct grant_reader *reader);
/** Reads a row of a REPORT or USE_ANSWER. */
enum error_code grant_reader_read_report(const struct grant_reader *reader,
    uint32_t index, struct grant_report *row);
/** Reads a row of a GRANT. */
enum error_code grant_reader_read_offer(
    const struct grant_reader *reader, uint32_t index, struct grant_offer *row);
/** Reads a row of a LEDGER. */
enum error_code grant_reader_read_ledger_row(const struct grant_reader *reader,
    uint32_t index, struct grant_ledger_row *row);
/** Reads a row of a KV_QUERY or KV_ANSWER. */
enum error_code grant_reader_read_kv_row(const struct grant_reader *reader,
    uint32_t index, struct grant_kv_row *row);
/** Reads an upstream id from a LEDGER_TAKEN. */
enum error_code grant_reader_read_id(
    const struct grant_reader *reader, uint32_t index, uint64_t *upstream_id);

#endif
