/**
 * @file upstream_message.h
 * Messages between hosts about upstreams: gossiped records, load reports,
 * renewals and subscriptions.
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

/** Type of a message, with its number on the wire. */
enum upstream_message_type {
	/** To the home: the upstream sent its renewal to this host instead. */
	UPSTREAM_TYPE_RENEW = 32,
	UPSTREAM_TYPE_LOAD = 33, /**< Load report of an upstream. */
	/** To the home: requests the load reports of the upstream. */
	UPSTREAM_TYPE_SUBSCRIBE = 34,
	/** First of the three types that gossip of upstream records uses. */
	UPSTREAM_TYPE_GOSSIP = 40,
};

/** Body of a gossip item: an upstream and the host that is its home. */
struct upstream_entry_body {
	struct upstream_record record; /**< Record that was announced. */
	/** Id of the host that takes the renewals and keeps the record
	 * valid. */
	uint32_t home;
	uint64_t home_incarnation; /**< Incarnation of the home's process. */
	uint32_t epoch; /**< Increased each time a host becomes the home. */
	/** The home has received no renewal in time. */
	bool is_expired;
};

/** Writes an entry as the body of a gossip item. */
void upstream_entry_write(
    struct message_writer *writer, const struct upstream_entry_body *entry);
/** Reads an entry from the body of a gossip item and sets the id from the name
 * of the upstream. Errors: those of the codec, ERROR_TOO_LARGE for too many
 * models or labels, ERROR_MALFORMED for an unknown kind or state. */
enum error_code upstream_entry_read(
    const void *body, size_t size, struct upstream_entry_body *entry);
/** Writes a load report into an initialised writer. */
void upstream_load_write(
    struct message_writer *writer, const struct upstream_load *load);
/** Reads a load report. Errors: those of the codec. */
enum error_code upstream_load_read(
    const void *body, size_t size, struct upstream_load *load);
/** Writes a message that names only an upstream: a renewal or a subscription,
 * by @p type. */
void upstream_notice_write(struct message_writer *writer,
    enum upstream_message_type type, uint64_t id, uint64_t incarnation);
/** Reads the upstream's id and incarnation from a renewal or a subscription.
 * Errors: those of the codec. */
enum error_code upstream_notice_read(
    const void *body, size_t size, uint64_t *id, uint64_t *incarnation);
/** Checks the version of a message and reads its type, which may be one of
 * gossip. */
enum error_code upstream_message_type(
    const void *body, size_t size, uint32_t *type);

#endif
