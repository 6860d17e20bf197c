/**
 * @file work_message.h
 * Reports in which an entry host tells the other entry hosts about its requests
 * at the upstreams and its demand for engines.
 */
#ifndef WORK_MESSAGE_H
#define WORK_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"
#include "config.h"
#include "protocol/codec.h"

/** The reporting host's work at one upstream. Times count from the sending of
 * the report. */
struct work_item {
	uint64_t upstream_id; /**< Id of the upstream. */
	/** Time until the prefill of the host's prompts there should be
	 * done. */
	uint32_t prefill_ms;
	uint32_t running;      /**< Requests running at the upstream. */
	uint32_t long_running; /**< Running requests with long prompts. */
	/** Prompts led by other upstreams that this one helps to prefill. */
	uint32_t helping;
	/** Long prompts of the host that this upstream leads and whose prefill
	 * is not done. */
	uint32_t leading;
	uint64_t kv_tokens; /**< KV memory of these requests, in tokens. */
	/** Remaining time in which the host does not choose the upstream
	 * because of failures. */
	uint32_t ejected_ms;
	/** Time until the prefill of the prompts that it leads should be
	 * done. */
	uint32_t prefill_due_ms;
};

/** The reporting host's demand for engines of one service. */
struct work_demand {
	uint64_t service_hash; /**< Hash of the service's name. */
	/** Engines needed for short prompts, in thousandths of an engine. */
	uint32_t short_engines;
	/** Engines needed for long prompts, in thousandths of an engine. */
	uint32_t long_engines;
	/** Lowest queue key of the host's queued long prompts, UINT64_MAX if
	 * none is queued. The prompt with the lowest key starts first. */
	uint64_t min_key;
	/** Total prefill time of the host's queued long prompts. */
	uint64_t queued_prefill_ms;
	/** Short prompts that wait at the host for a free slot. Hosts of an
	 * earlier version don't tell this. */
	uint32_t waiting_for_slot;
};

/** What an upstream said of itself to the reporting host. */
struct work_notice {
	uint64_t upstream_id;	       /**< Id of the upstream. */
	uint64_t upstream_incarnation; /**< Its incarnation. */
	bool has_limit;		       /**< It named a limit. */
	bool is_leaving;	       /**< It said that it leaves. */
	/** Requests that it takes from all hosts, in thousandths a second. */
	uint64_t limit_permille;
	uint32_t age_ms; /**< Time since the host heard it. */
};

/** How the reporting host takes requests that others forward to it. */
struct work_forwarding {
	/** IP address and port as packed by upstream_address_parse(). */
	uint64_t address;
	uint64_t token; /**< What a forwarded request must name. */
	/** The host reaches no upstream itself at present. */
	bool is_without_path;
};

/** A report. Receivers keep only the latest one of each host. */
struct work_report {
	uint64_t incarnation; /**< Incarnation of the host's process. */
	uint64_t number;      /**< Increased with each report. */
	uint32_t item_count;  /**< Number of items. */
	/** Work by upstream; work_report_finish() frees it. */
	struct work_item *items;
	uint32_t demand_count; /**< Number of demands. */
	/** Demand by service; work_report_finish() frees it. */
	struct work_demand *demands;
	uint32_t notice_count; /**< Number of notices. */
	/** Notices heard lately; work_report_finish() frees them. */
	struct work_notice *notices;
	/** All zero if the report doesn't tell it. */
	struct work_forwarding forwarding;
};

/** Writes a report into an initialised writer. */
void work_report_write(
    struct message_writer *writer, const struct work_report *report);
/** Reads a report. On success, release it with work_report_finish(). Errors:
 * those of the codec, ERROR_MALFORMED for incomplete rows, ERROR_TOO_LARGE for
 * too many items or demands or a number over its size, ERROR_NO_MEMORY. */
enum error_code work_report_read(
    const void *body, size_t size, struct work_report *report);
/** Frees the items, demands and notices of a report that was read. */
void work_report_finish(struct work_report *report);

#endif
