/**
 * @file upstream.h
 * The record with which an upstream announces itself, and its load report.
 *
 * Hosts know only upstreams that announced themselves. A record carries the
 * upstream's incarnation, which increases each time the upstream starts.
 * Anything held or granted under an earlier incarnation is void.
 */
#ifndef UPSTREAM_H
#define UPSTREAM_H

#include <stdbool.h>
#include <stdint.h>

#include "config.h"

/** Key of the label that names the service an upstream provides. */
#define UPSTREAM_LABEL_SERVICE "service"
/** Key of the label with the version of the upstream's software. */
#define UPSTREAM_LABEL_VERSION "version"

/** Kind of an upstream. */
enum upstream_kind {
	UPSTREAM_KIND_MODEL = 1,   /**< An engine that serves models. */
	UPSTREAM_KIND_SERVICE = 2, /**< A plain service without models. */
};

/** State of an upstream in the directory. */
enum upstream_state {
	UPSTREAM_STATE_ACTIVE = 1,  /**< Announced and renewed in time. */
	UPSTREAM_STATE_LEAVING = 2, /**< Announced its end: no new work. */
	UPSTREAM_STATE_GONE = 3,    /**< Has left, or wasn't renewed in time. */
};

/** A label that selectors match. */
struct label {
	char key[NAME_SIZE_MAX];   /**< Key, such as "zone". */
	char value[NAME_SIZE_MAX]; /**< Value, such as "prairie". */
};

/** Capacity and speed of an upstream; 0 in a field that doesn't apply. */
struct upstream_limits {
	uint32_t cold_requests; /**< Concurrent requests, just started. */
	uint32_t warm_requests; /**< Concurrent requests, warmed up. */
	/** Prompt tokens in prefill at a time, just started. */
	uint64_t cold_prefill_tokens;
	/** Prompt tokens in prefill at a time, warmed up. */
	uint64_t warm_prefill_tokens;
	uint64_t kv_tokens; /**< KV cache memory, in tokens. */
	/** Prompt tokens prefilled per second, warmed up. */
	uint32_t prefill_tokens_per_s;
	/** Microseconds to decode a token, warmed up. */
	uint32_t decode_us_per_token;
};

/** An upstream's announcement. */
struct upstream_record {
	uint64_t id;		  /**< Id made of the name: upstream_id(). */
	char name[NAME_SIZE_MAX]; /**< Name, unique in the fleet. */
	uint64_t incarnation;	  /**< Increased at each start. */
	uint64_t sequence;	/**< Increased at each change of the record. */
	char url[URL_SIZE_MAX]; /**< URL at which it takes requests. */
	char data_centre[NAME_SIZE_MAX]; /**< Data centre where it runs. */
	enum upstream_kind kind;	 /**< Model engine or plain service. */
	enum upstream_state state;	 /**< State in the directory. */
	/** Rejects orders whose fencing number is lower than one it has
	 * seen. */
	bool honours_fencing;
	uint32_t model_count; /**< Number of elements in use of models. */
	char models[MODELS_MAX][NAME_SIZE_MAX]; /**< Models it serves. */
	/** Number of elements in use of labels. */
	uint32_t label_count;
	struct label labels[LABELS_MAX]; /**< Labels that it announced. */
	/** Capacity and speed of the upstream. */
	struct upstream_limits limits;
};

/** A load report. It is at least @c age_ms old, as it also spent time on its
 * way to this host. */
struct upstream_load {
	uint64_t id;		   /**< Id of the upstream. */
	uint64_t incarnation;	   /**< Incarnation of the upstream. */
	uint64_t sequence;	   /**< Increased with each report. */
	int64_t age_ms;		   /**< Age of the report when it was sent. */
	uint32_t running_requests; /**< Requests in the engine's batch. */
	uint32_t queued_requests;  /**< Requests queued at the engine. */
	/** Prompt tokens of queued requests. */
	uint64_t queued_prefill_tokens;
	uint64_t kv_tokens_used; /**< KV cache memory in use, in tokens. */
};

/** Returns the id for an upstream's name: XXH64 with seed 0, the same on all
 * hosts. */
uint64_t upstream_id(const char *name);
/** Returns the value of an announced label, or NULL if the record has none of
 * that key. */
const char *upstream_label(
    const struct upstream_record *record, const char *key);
/** True if the upstream serves @p model. */
bool upstream_serves(const struct upstream_record *record, const char *model);

#endif
