/**
 * @file event_log.h
 * Log of numbered events, as JSON lines in servers and as plain text elsewhere.
 *
 * Each event has a number, a level and a text in event_log.c. The catalogue
 * docs/EVENTS.md lists the same events; a test fails if the two differ. After
 * event_log_start() each event is written as one JSON object to standard output
 * by a separate thread (log_writer.h). Before that, and in tools, an event is a
 * line of text that GLib's log writes to standard error.
 */
#ifndef EVENT_LOG_H
#define EVENT_LOG_H

#include <stddef.h>
#include <stdint.h>

/** Numbers of events. Each area has a range of a thousand. */
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
	EVENT_CONFIGURATION_ENTRY_INVALID = 1010,
	EVENT_DOCUMENT_PUT = 1011,
	EVENT_DOCUMENT_REFUSED = 1012,
	EVENT_TAKEOUT_SET = 1013,
	EVENT_SETTINGS_RELOADED = 1014,
	EVENT_ROUTES_IN_FORCE = 1015,
	EVENT_READINESS_CHANGED = 1016,
	EVENT_CONFIGURATION_PARENT_CHANGED = 1017,
	EVENT_DOCUMENT_FIELD_IGNORED = 1018,

	/* 2000: transport */
	EVENT_PEER_CONNECTED = 2001,
	EVENT_PEER_DISCONNECTED = 2002,
	EVENT_PEER_REFUSED = 2003,
	EVENT_PEER_QUEUE_OVERFLOWED = 2004,
	EVENT_PEER_SILENT = 2005,

	/* 3000: consensus and durable state */
	EVENT_LEADER_ELECTED = 3001,
	EVENT_LEADER_LOST = 3002,
	EVENT_SNAPSHOT_WRITTEN = 3003,
	EVENT_SNAPSHOT_INSTALLED = 3004,
	EVENT_JOURNAL_REPAIRED = 3005,
	EVENT_JOURNAL_FAILED = 3006,
	EVENT_VOTER_CHANGED = 3007,
	EVENT_KIND_UNKNOWN = 3008,
	EVENT_LEVEL_UNKNOWN = 3009,
	EVENT_LEVEL_RISEN = 3010,
	EVENT_LEVEL_HOLDS_BACK = 3011,
	EVENT_JOURNAL_RESUMED = 3012,
	EVENT_SNAPSHOT_DEFERRED = 3013,

	/* 4000: membership */
	EVENT_HOST_JOINED = 4001,
	EVENT_HOST_SUSPECTED = 4002,
	EVENT_HOST_DEAD = 4003,
	EVENT_UPSTREAM_ANNOUNCED = 4004,
	EVENT_UPSTREAM_LEAVING = 4005,
	EVENT_UPSTREAM_EXPIRED = 4006,
	EVENT_UPSTREAM_NOTICED = 4007,
	EVENT_UPSTREAM_NOTICE_REFUSED = 4008,
	EVENT_PATH_LOST = 4009,
	EVENT_PATH_REGAINED = 4010,

	/* 5000: capacity, leases and orders */
	EVENT_UPSTREAM_TURNED_COLD = 5001,
	EVENT_PREVIOUS_GRANTS_ENDED = 5002,
	EVENT_KV_ORPHAN_RELEASED = 5003,
	EVENT_ORDER_SENT = 5004,
	EVENT_ORDER_DONE = 5005,
	EVENT_REQUEST_QUARANTINED = 5006,
	EVENT_UPSTREAM_CRASHED = 5007,
	EVENT_QUARANTINE_NOT_COMMITTED = 5008,
	EVENT_PART_QUARANTINED = 5009,

	/* 6000: requests */
	EVENT_REQUEST_REFUSED = 6001,
	EVENT_REQUEST_RETRIED = 6002,
	EVENT_REQUEST_FAILED = 6003,
	EVENT_UPSTREAM_STALLED = 6004,
	EVENT_REQUEST_ANSWERED = 6005,
	EVENT_UPSTREAM_EJECTED = 6006,
	EVENT_LOG_LINES_DROPPED = 6007,
	EVENT_REQUEST_PLACED = 6008,
	EVENT_ANSWER_STARTED = 6009,
	EVENT_REQUEST_NOT_ANSWERED = 6010,
	EVENT_PROMPT_QUEUED = 6011,
	EVENT_RESERVATION_FAILED = 6012,
	EVENT_REQUEST_WAITING = 6013,
	EVENT_REQUEST_FORWARDED = 6014,
	EVENT_FORWARD_REFUSED = 6015,
	EVENT_ANSWER_REJECTED = 6016,
	EVENT_STATUS_UNCONFIRMED = 6017,

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

/** Catalogue entry of an event. */
struct event_entry {
	enum event_number number; /**< Number in log lines. */
	enum event_level level;	  /**< Severity in log lines. */
	const char *text;	  /**< Short description of what happened. */
};

/* Writing */

/** Sets the host id that each line contains, and the least severe level that is
 * still logged. */
void event_log_setup(uint32_t host_id, enum event_level level_max);
/** Switches to JSON lines on standard output. Lines below the level of a
 * warning are limited to @p success_rate_max per second. */
void event_log_start(uint32_t success_rate_max);
/** Writes all queued lines and switches back to plain text. */
void event_log_finish(void);
/** Logs an event with named fields. @p format and the arguments after it are
 * those of jansson's json_pack() for an object, such as "{s:s,s:I}". */
void event_log_write_fields(enum event_number number, const char *format, ...);
/** Logs an event. @p format and the arguments after it are those of printf();
 * they add details to the event's text and may be "". */
void event_log_write(enum event_number number, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* The catalogue */

/** Returns the entry at @p index of the catalogue, NULL past its end. */
const struct event_entry *event_log_entry(size_t index);
/** Returns the name of a level, as used in log lines and settings. */
const char *event_level_name(enum event_level level);

#endif
