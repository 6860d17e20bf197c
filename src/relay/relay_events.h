/**
 * @file relay_events.h
 * Splits a stream of server-sent events into complete events.
 *
 * Only complete events are relayed, so that another upstream can resume the
 * stream after the last one. An event whose numeric id shows that it was
 * relayed before is dropped, and one that never ends is an error.
 */
#ifndef RELAY_EVENTS_H
#define RELAY_EVENTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"

/** Largest event, in bytes. */
#define EVENT_BYTES_MAX ((size_t)256 * 1024)
/** Size of an event id as text, in bytes with the final NUL. */
#define EVENT_ID_SIZE 64

/** State of an event stream. All zero is a stream before its first byte. */
struct relay_events {
	GByteArray *pending; /**< Bytes that were not taken yet, or NULL. */
	size_t searched;     /**< Of those, bytes in which no end was found. */
	char last_id[EVENT_ID_SIZE]; /**< Id of the last event relayed, or
					  "". */
	bool has_number;      /**< True if last_id is a decimal number. */
	uint64_t last_number; /**< Value of last_id, if has_number is true. */
	uint64_t count;	      /**< Number of events relayed. */
	/** Events without an id were relayed after the one of last_id. */
	bool has_unnamed;
	/** The upstream that goes on after another one has brought no new event
	 * with an id yet, so one without an id may be a repeated one. */
	bool is_unplaced;
};

/** Adds @p size bytes of the stream. */
void relay_events_add(
    struct relay_events *events, const char *data, size_t size);
/** Returns how many bytes were added and not taken yet. */
size_t relay_events_pending(const struct relay_events *events);
/** Appends the events that are complete and new to @p out. Sets @p count to their
 * number. Errors: ERROR_TOO_LARGE if the last event has more than EVENT_BYTES_MAX
 * bytes without an end; ERROR_MALFORMED if an event contains a line that is none of
 * an event, or two ids, or if it has no id and begins the continuation by another
 * upstream. The events before it are taken. */
enum error_code relay_events_take(
    struct relay_events *events, GByteArray *out, uint32_t *count);
/** Returns true if the bytes so far end within an event. */
bool relay_events_is_partial(const struct relay_events *events);
/** Returns false if another upstream would repeat events that were relayed,
 * because they have no id after which it could resume. Comments don't count. */
bool relay_events_can_resume(const struct relay_events *events);
/** Discards an incomplete event after its upstream has failed; another one may go
 * on behind the last event. */
void relay_events_drop_partial(struct relay_events *events);
/** Sets the id of the last event relayed, for example the one after which the
 * caller asks to resume. */
void relay_events_set_last(struct relay_events *events, const char *id);
/** Frees the state and sets it to zero. */
void relay_events_finish(struct relay_events *events);

#endif
