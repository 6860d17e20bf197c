/**
 * @file upstream.h
 * What an upstream says of itself when it announces itself to a host.
 *
 * Upstreams are found by announcement only. A record carries the upstream's
 * incarnation, which grows each time it starts; everything that was held or
 * granted under an older incarnation is void.
 */
#ifndef UPSTREAM_H
#define UPSTREAM_H

#include <stdbool.h>
#include <stdint.h>

#include "config.h"

#define UPSTREAM_LABEL_SERVICE "service" /**< Label: service served. */
#define UPSTREAM_LABEL_VERSION "version" /**< Label: software version. */

/** What an upstream serves. */
enum upstream_kind {
	UPSTREAM_KIND_MODEL = 1,   /**< A model engine. */
	UPSTREAM_KIND_SERVICE = 2, /**< A plain service. */
};

/** Where an upstream stands, as the directory knows it. */
enum upstream_state {
	UPSTREAM_STATE_ACTIVE = 1,  /**< Announced and renewed in time. */
	UPSTREAM_STATE_LEAVING = 2, /**< Said that it leaves: no new work. */
	UPSTREAM_STATE_GONE = 3,    /**< Left, or not renewed in time. */
};

/** A key and value that selectors match. */
struct label {
	char key[NAME_SIZE_MAX];   /**< Such as "zone". */
	char value[NAME_SIZE_MAX]; /**< Such as "prairie". */
};

/** What an upstream bears; zero means that it does not apply. */
struct upstream_limits {
	uint32_t cold_requests;	       /**< At a time, just started. */
	uint32_t warm_requests;	       /**< At a time, warmed up. */
	uint64_t cold_prefill_tokens;  /**< Prompt tokens at a time, cold. */
	uint64_t warm_prefill_tokens;  /**< Prompt tokens at a time, warm. */
	uint64_t kv_tokens;	       /**< KV memory, in tokens. */
	uint32_t prefill_tokens_per_s; /**< Prefill speed, warm. */
	uint32_t decode_us_per_token;  /**< Microseconds a token, warm. */
};

/** An upstream's announcement. */
struct upstream_record {
	uint64_t id;			 /**< upstream_id() of the name. */
	char name[NAME_SIZE_MAX];	 /**< Unique in the fleet. */
	uint64_t incarnation;		 /**< Grows with each start. */
	uint64_t sequence;		 /**< Grows with each change of this. */
	char url[URL_SIZE_MAX];		 /**< Where it serves. */
	char data_centre[NAME_SIZE_MAX]; /**< Where it stands. */
	enum upstream_kind kind;	 /**< What it serves. */
	enum upstream_state state;	 /**< Where it stands now. */
	bool honours_fencing;		 /**< Refuses old fencing numbers. */
	uint32_t model_count;		 /**< Models in use below. */
	char models[MODELS_MAX][NAME_SIZE_MAX]; /**< Models it serves. */
	uint32_t label_count;			/**< Labels in use below. */
	struct label labels[LABELS_MAX];	/**< Its own labels. */
	struct upstream_limits limits;		/**< What it bears. */
};

/** A load report; it lags behind the truth by @c age_ms and more. */
struct upstream_load {
	uint64_t id;			/**< Whose load. */
	uint64_t incarnation;		/**< Of that incarnation. */
	uint64_t sequence;		/**< Grows with each report. */
	int64_t age_ms;			/**< How old it was when it was sent. */
	uint32_t running_requests;	/**< Requests in the batch. */
	uint32_t queued_requests;	/**< Requests that wait. */
	uint64_t queued_prefill_tokens; /**< Prompt tokens that wait. */
	uint64_t kv_tokens_used;	/**< KV memory in use, in tokens. */
};

/** Stable id of an upstream's name: XXH64 with seed 0. */
uint64_t upstream_id(const char *name);
/** The value of a label, NULL if the record has none of that key. */
const char *upstream_label(
    const struct upstream_record *record, const char *key);
/** True if the record serves @p model. */
bool upstream_serves(const struct upstream_record *record, const char *model);

#endif
