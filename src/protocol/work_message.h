/**
 * @file work_message.h
 * What an entry host tells the others of its work at upstreams.
 */
#ifndef WORK_MESSAGE_H
#define WORK_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"
#include "config.h"
#include "protocol/codec.h"

/** A host's work at one upstream. */
struct work_item {
	uint64_t upstream_id; /**< Where. */
	uint32_t read_ms;     /**< Until its prompts there are read. */
	uint32_t running;     /**< Requests there. */
	uint32_t heavy;	      /**< Of these, with long prompts. */
	uint32_t helping;     /**< Prompts of others that it helps to read. */
	uint32_t leading;     /**< Long prompts of its own, not read yet. */
	uint64_t kv_tokens;   /**< Memory that they take, in tokens. */
	uint32_t away_ms;     /**< The host leaves it alone for so long. */
	uint32_t due_ms;      /**< Until what it leads should be read. */
};

/** What a host asks of one service, in thousandths of an upstream. */
struct work_demand {
	uint64_t service;    /**< Hash of the service's name. */
	uint32_t light;	     /**< For requests with short prompts. */
	uint32_t heavy;	     /**< For those with long ones. */
	uint64_t best_key;   /**< Of the long prompts that wait, UINT64_MAX for
				none: the lowest goes first. */
	uint64_t waiting_ms; /**< Work of those that wait. */
};

/** A report; the newest one of a host counts. */
struct work_report {
	uint64_t incarnation;	     /**< Of the host's process. */
	uint64_t number;	     /**< Grows with each report. */
	uint32_t item_count;	     /**< Items below. */
	struct work_item *items;     /**< Freed by work_report_finish(). */
	uint32_t demand_count;	     /**< Demands below. */
	struct work_demand *demands; /**< Likewise. */
};

/** Writes a report. */
void work_report_write(
    struct message_writer *writer, const struct work_report *report);
/** Reads one. Errors: those of the codec, ERROR_TOO_LARGE. */
enum error_code work_report_read(
    const void *body, size_t size, struct work_report *report);
/** Gives back memory. */
void work_report_finish(struct work_report *report);

#endif
