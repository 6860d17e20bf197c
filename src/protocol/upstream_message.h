/**
 * @file upstream_message.h
 * An upstream's record, its load and its renewal between hosts.
 */
#ifndef UPSTREAM_MESSAGE_H
#define UPSTREAM_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"
#include "protocol/codec.h"
#include "state/upstream.h"

#define UPSTREAM_MESSAGE_VERSION 1 /**< Version of these messages. */

/** Types of messages; gossip of upstreams has 40 to 42. */
enum upstream_message_type {
	UPSTREAM_TYPE_RENEW = 32,     /**< It renewed here, home. */
	UPSTREAM_TYPE_LOAD = 33,      /**< A load report. */
	UPSTREAM_TYPE_SUBSCRIBE = 34, /**< Wants load reports. */
	UPSTREAM_TYPE_GOSSIP = 40,    /**< First of the gossip's types. */
};

/** What is gossiped of an upstream. */
struct upstream_entry_body {
	struct upstream_record record; /**< As announced. */
	uint32_t home;		       /**< Host that vouches. */
	uint64_t home_incarnation;     /**< Its process. */
	uint32_t epoch;		       /**< Grows with each new home. */
	bool is_expired;	       /**< Not renewed at its home in time. */
};

/** Writes an entry as the body of a gossip item. */
void upstream_entry_write(
    struct message_writer *writer, const struct upstream_entry_body *entry);
/** Reads one. */
enum error_code upstream_entry_read(
    const void *body, size_t size, struct upstream_entry_body *entry);
/** Writes a load report. */
void upstream_load_write(
    struct message_writer *writer, const struct upstream_load *load);
/** Reads one. */
enum error_code upstream_load_read(
    const void *body, size_t size, struct upstream_load *load);
/** Writes a renewal or a subscription. */
void upstream_notice_write(struct message_writer *writer,
    enum upstream_message_type type, uint64_t id, uint64_t incarnation);
/** Reads one. */
enum error_code upstream_notice_read(
    const void *body, size_t size, uint64_t *id, uint64_t *incarnation);
/** Reads only version and type. */
enum error_code upstream_message_type(
    const void *body, size_t size, uint32_t *type);

#endif
