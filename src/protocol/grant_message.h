/**
 * @file grant_message.h
 * Messages between capacity owners and entry hosts, PEER_CHANNEL_GRANT.
 *
 * A message carries rows for many upstreams: one flat array of numbers with a
 * stated row width, so that columns can be added; unknown ones are skipped.
 */
#ifndef GRANT_MESSAGE_H
#define GRANT_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"
#include "protocol/codec.h"
#include "state/capacity_slot.h"

#define GRANT_ROWS_MAX 8192 /**< Rows of one message. */

/** What a message is. */
enum grant_message_type {
	GRANT_MESSAGE_ASK = 1,		/**< Holder to owner: use and wishes. */
	GRANT_MESSAGE_GRANT = 2,	/**< Owner to holder: amounts. */
	GRANT_MESSAGE_QUERY = 3,	/**< New owner: what do you run? */
	GRANT_MESSAGE_USE = 4,		/**< Holder: all that I run of yours. */
	GRANT_MESSAGE_LEDGER = 5,	/**< Old owner to new owner. */
	GRANT_MESSAGE_LEDGER_TAKEN = 6, /**< New owner: no need to repeat. */
	GRANT_MESSAGE_KV_QUERY = 7,	/**< Owner: are these still yours? */
	GRANT_MESSAGE_KV_ANSWER = 8,	/**< Holder: they are, or are not. */
};

/** Fields before the rows; a type leaves out what it has no use for. */
struct grant_head {
	enum grant_message_type type; /**< What it is. */
	uint64_t epoch;		      /**< QUERY, USE, LEDGER(_TAKEN). */
	uint64_t instance;  /**< Process of the holder; GRANT: echoed. */
	uint64_t sequence;  /**< ASK: when sent; QUERY: its number; echoed. */
	bool wants_answer;  /**< ASK: a grant is expected. */
	uint32_t row_count; /**< Rows that follow. */
};

/** A row of an ASK or USE. */
struct grant_ask {
	uint64_t upstream_id;		/**< Which upstream. */
	uint64_t incarnation;		/**< Of it, as the holder knows it. */
	uint64_t term;			/**< Of the last grant applied. */
	uint64_t number;		/**< Of the last grant applied. */
	struct capacity_amount ceiling; /**< The slot's present grant. */
	struct capacity_amount used;	/**< Running now. */
	struct capacity_amount wanted;	/**< Running, waiting and some spare. */
	struct capacity_amount largest; /**< Largest single wait, or zero. */
	uint32_t needed_percent; /**< Of what is wanted: runs or waits. */
	uint32_t warmth;	 /**< Warm-up bound as last told, 0 to 1000. */
	uint32_t in_time;	 /**< Answers in time since last. */
	bool is_cold;		 /**< Evidence of cold since last. */
};

/** A row of a GRANT. */
struct grant_offer {
	uint64_t upstream_id; /**< Which upstream. */
	uint64_t incarnation; /**< Of it, as the owner knows it. */
	uint64_t term;	      /**< Epoch of the owner when it offered. */
	uint64_t number;      /**< Grows with each new amount. */
	struct capacity_amount amount; /**< May be taken. */
	uint32_t warmth;	       /**< Warm-up bound, 0 to 1000. */
	uint32_t duration_ms;	       /**< From when the ask was sent. */
};

/** A row of a LEDGER; host 0 is the upstream's own row, before the rest. */
struct grant_ledger_row {
	uint64_t upstream_id;	       /**< Which upstream. */
	uint64_t incarnation;	       /**< Of it. */
	uint32_t host_id;	       /**< Holder, or 0. */
	uint64_t instance;	       /**< Its process, 0 if not known. */
	struct capacity_amount amount; /**< Counted. */
	uint64_t remaining_ms; /**< Until it ends; host 0: rows that follow. */
	uint32_t warmth;       /**< Host 0: warm-up bound. */
	bool is_draining;      /**< Runs on after its grant, starts nothing. */
};

/** A row of a KV_QUERY or KV_ANSWER. */
struct grant_kv_row {
	uint64_t upstream_id;	 /**< Which upstream. */
	uint64_t incarnation;	 /**< Of it. */
	uint64_t reservation_id; /**< What it holds. */
	bool is_live;		 /**< ANSWER: the holder knows it. */
};

/* Writing: a head, then row_count rows */

/** Starts a message. */
void grant_message_open(
    struct message_writer *writer, const struct grant_head *head);
/** Adds a row of an ASK or USE. */
void grant_message_add_ask(
    struct message_writer *writer, const struct grant_ask *row);
/** Adds a row of a GRANT. */
void grant_message_add_offer(
    struct message_writer *writer, const struct grant_offer *row);
/** Adds a row of a LEDGER. */
void grant_message_add_ledger(
    struct message_writer *writer, const struct grant_ledger_row *row);
/** Adds an upstream id to a LEDGER_TAKEN. */
void grant_message_add_id(struct message_writer *writer, uint64_t upstream_id);

/** Adds a row of a KV_QUERY or KV_ANSWER. */
void grant_message_add_kv(
    struct message_writer *writer, const struct grant_kv_row *row);

/* Reading */

/** A message being read; finish it with grant_reader_finish(). */
struct grant_reader {
	struct message_reader message; /**< The whole. */
	struct grant_head head;	       /**< Its head. */
	struct message_array rows;     /**< All numbers of all rows. */
	uint32_t width;		       /**< Numbers in a row. */
};

/** Opens a message. Errors: those of the codec, ERROR_TOO_LARGE,
 * ERROR_UNSUPPORTED_VERSION, ERROR_MALFORMED for rows that do not fit. */
enum error_code grant_reader_init(
    struct grant_reader *reader, const void *body, size_t size);
/** Gives back memory. */
void grant_reader_finish(struct grant_reader *reader);
/** Reads a row of an ASK or USE. */
enum error_code grant_reader_ask(
    const struct grant_reader *reader, uint32_t index, struct grant_ask *row);
/** Reads a row of a GRANT. */
enum error_code grant_reader_offer(
    const struct grant_reader *reader, uint32_t index, struct grant_offer *row);
/** Reads a row of a LEDGER. */
enum error_code grant_reader_ledger(const struct grant_reader *reader,
    uint32_t index, struct grant_ledger_row *row);
/** Reads a row of a KV_QUERY or KV_ANSWER. */
enum error_code grant_reader_kv(const struct grant_reader *reader,
    uint32_t index, struct grant_kv_row *row);
/** Reads an id of a LEDGER_TAKEN. */
enum error_code grant_reader_id(
    const struct grant_reader *reader, uint32_t index, uint64_t *upstream_id);

#endif
