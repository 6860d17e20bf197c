/**
 * @file relay_events.h
 * Cuts a stream of server-sent events into whole events.
 *
 * Only whole events are passed on, so that a stream can go on at another
 * upstream after the last of them. An event that was passed on already, by
 * its number, is dropped.
 */
#ifndef RELAY_EVENTS_H
#define RELAY_EVENTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#define EVENT_ID_SIZE 64 /**< Bytes of an event's id as text. */

/** The state. Zero is a stream before its first byte. */
struct relay_events {
	GByteArray *pending;	     /**< Bytes of an event not whole. */
	char last_id[EVENT_ID_SIZE]; /**< Of the last whole event, or "". */
	bool has_number;	     /**< last_id is a number... */
	uint64_t last_number;	     /**< ...this one. */
	uint64_t count;		     /**< Whole events passed on. */
};

/** Takes bytes and appends the events that are whole to @p out. Returns how
 * many they are. */
uint32_t relay_events_take(struct relay_events *events, const char *data,
    size_t size, GByteArray *out);
/** True if an event has begun and is not whole. */
bool relay_events_is_partial(const struct relay_events *events);
/** Drops an event that is not whole: its upstream broke off. */
void relay_events_drop_partial(struct relay_events *events);
/** Sets the id after which the caller itself goes on. */
void relay_events_set_last(struct relay_events *events, const char *id);
/** Gives back memory. */
void relay_events_finish(struct relay_events *events);

#endif
