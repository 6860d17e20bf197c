/**
 * @file event_log.h
 * Numbered log events: JSON lines of a process that serves, else plain text.
 *
 * Each event has a number, a level and a text in event_log.c; docs/EVENTS.md
 * is its catalogue, and a test holds the two equal. After event_log_start()
 * each event is one JSON object on standard output, written by a thread of
 * its own (log_writer.h); before it, and in tools, it is a line of text on
 * standard error through GLib.
 */
#ifndef EVENT_LOG_H
#define EVENT_LOG_H

#include <stddef.h>
#include <stdint.h>

/** Event numbers; each area has a thousand. */
enum event_number {
	/* 1000: service */
	EVENT_HOST_STARTED = 1001,
	EVENT_HOST_STOPPING = 1002,
	EVENT_HOST_STOPPED = 1003,
	EVENT_SETTINGS_REFUSED = 1004,
	EVENT_LISTEN_FAILED = 1005,
	EVENT_CONFIGURATION_APPLIED = 1006,
	EVENT_CONFIGURATION_LEASE_LOST = 1007,
	EVENT_CONFIGURATION_LEASE_REGAINED = 1008,
	EVENT_OVERRIDE_SET = 1009,
	EVENT_CONFIGURATION_UNUSABLE = 1010,
	EVENT_DOCUMENT_PUT = 1011,
	EVENT_DOCUMENT_REFUSED = 1012,
	EVENT_TAKEOUT_SET = 1013,
	EVENT_SETTINGS_RELOADED = 1014,
	EVENT_ROUTES_IN_FORCE = 1015,
	EVENT_READINESS_CHANGED = 1016,

	/* 2000: transport */
	EVENT_PEER_CONNECTED = 2001,
	EVENT_PEER_DISCONNECTED = 2002,
	EVENT_PEER_REFUSED = 2003,
	EVENT_PEER_QUEUE_DROPPED = 2004,

	/* 3000: agreement and durable state */
	EVENT_LEADER_ELECTED = 3001,
	EVENT_LEADER_LOST = 3002,
	EVENT_SNAPSHOT_WRITTEN = 3003,
	EVENT_SNAPSHOT_INSTALLED = 3004,
	EVENT_JOURNAL_REPAIRED = 3005,
	EVENT_JOURNAL_FAILED = 3006,
	EVENT_VOTER_CHANGED = 3007,

	/* 4000: membership */
	EVENT_HOST_JOINED = 4001,
	EVENT_HOST_SUSPECTED = 4002,
	EVENT_HOST_DEAD = 4003,
	EVENT_UPSTREAM_ANNOUNCED = 4004,
	EVENT_UPSTREAM_LEAVING = 4005,
	EVENT_UPSTREAM_EXPIRED = 4006,

	/* 5000: capacity, leases and orders */
	EVENT_UPSTREAM_COLD = 5001,
	EVENT_GRANTS_WAITED_OUT = 5002,
	EVENT_KV_ORPHAN_RELEASED = 5003,
	EVENT_ORDER_GIVEN = 5004,
	EVENT_ORDER_DONE = 5005,
	EVENT_REQUEST_QUARANTINED = 5006,

	/* 6000: requests */
	EVENT_REQUEST_REFUSED = 6001,
	EVENT_REQUEST_RETRIED = 6002,
	EVENT_REQUEST_FAILED = 6003,
	EVENT_UPSTREAM_STALLED = 6004,
	EVENT_REQUEST_ENDED = 6005,
	EVENT_UPSTREAM_EJECTED = 6006,
	EVENT_LINES_LEFT_OUT = 6007,
	EVENT_REQUEST_PLACED = 6008,
	EVENT_REQUEST_STARTED = 6009,
	EVENT_REQUEST_ENDED_BADLY = 6010,
	EVENT_REQUEST_WAITS = 6011,
	EVENT_MEMORY_NOT_RESERVED = 6012,

	/* 7000: the stand-in engine */
	EVENT_STANDIN_STARTED = 7001,
	EVENT_STANDIN_CRASHED = 7002,
	EVENT_STANDIN_OVERLOADED = 7003,
};

/** Severity of an event. */
enum event_level {
	EVENT_LEVEL_ERROR,
	EVENT_LEVEL_WARNING,
	EVENT_LEVEL_INFO,
	EVENT_LEVEL_DEBUG,
};

/** One line of the catalogue. */
struct event_entry {
	enum event_number number; /**< What the log line carries. */
	enum event_level level;	  /**< Its severity. */
	const char *text;	  /**< What happened. */
};

/* Writing */

/** Sets the host id that each line carries and the least level printed. */
void event_log_setup(uint32_t host_id, enum event_level least);
/** Starts JSON lines on standard output, at most @p rate of successes a
 * second. */
void event_log_start(uint32_t rate);
/** Writes what is left; lines are text again. */
void event_log_finish(void);
/** Writes an event with named fields: @p format and what follows are those of
 * jansson's json_pack() for an object, such as "{s:s,s:I}". */
void event_log_fields(enum event_number number, const char *format, ...);
/** Writes an event; @p format adds its particulars and may be "". */
void event_log_write(enum event_number number, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* The catalogue */

/** Entry at @p index of the catalogue, NULL past its end. */
const struct event_entry *event_log_entry(size_t index);
/** Name of a level as the log prints it. */
const char *event_level_name(enum event_level level);

#endif
