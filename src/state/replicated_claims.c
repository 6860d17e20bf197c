/**
 * @file replicated_claims.c
 * Claims on idempotency keys in the replicated state: each key's request runs
 * on one host, and the claim remembers its outcome.
 */
#include "state/replicated_parts.h"

#include <string.h>

/* Separates account and idempotency key; neither may contain it. */
#define KEY_SEPARATOR "\n"

static enum error_code check_claim(
    const struct replicated_state *state, const struct command_claim *claim);
static enum error_code reassign_claim(
    struct claim_record *record, const struct command_claim *claim);
static bool is_holder(
    const struct claim_record *record, const struct command_claim *claim);
static void fill_claim_result(
    const struct claim_record *record, struct command_result *result);
static gint compare_claims(
    gconstpointer left, gconstpointer right, gpointer context);

struct claim_record *
replicated_add_claim(
    struct replicated_state *state, const struct claim_record *claim)
{
	struct claim_record *record;

	record = g_new(struct claim_record, 1);
	*record = *claim;
	record->expiry_iter = g_sequence_insert_sorted(
	    state->claim_order, record, compare_claims, NULL);
	g_hash_table_replace(state->claims, record->key, record);
	return record;
}

void
replicated_expire_claims(struct replicated_state *state)
{
	struct claim_record *record;
	GSequenceIter *first;

	for (;;) {
		first = g_sequence_get_begin_iter(state->claim_order);
		if (g_sequence_iter_is_end(first))
			return;
		record = g_sequence_get(first);
		if (record->expires_ms > state->time_ms)
			return;
		g_sequence_remove(first);
		g_hash_table_remove(state->claims, record->key);
	}
}

void
replicated_end_orphaned_claims(struct replicated_state *state)
{
	const struct live_host *host;
	struct claim_record *record;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, state->claims);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&record)) {
		if (record->state != CLAIM_STATE_RUNNING)
			continue;
		host = replicated_state_live_host(state, record->host_id);
		if (host != NULL &&
		    (host->incarnation == 0 || record->host_incarnation == 0 ||
			host->incarnation == record->host_incarnation))
			continue;
		record->state = CLAIM_STATE_ENDED;
		record->outcome = REQUEST_OUTCOME_UNKNOWN;
	}
}

void
replicated_begin_claim(struct replicated_state *state,
    const struct command_claim *claim, struct command_result *result)
{
	struct claim_record fresh = {0}, *record;
	char *key;

	result->error = check_claim(state, claim);
	if (result->error != ERROR_NONE)
		return;
	key = g_strconcat(
	    claim->client_account, KEY_SEPARATOR, claim->idempotency_key, NULL);
	record = g_hash_table_lookup(state->claims, key);
	if (record != NULL) {
		g_free(key);
		result->error = reassign_claim(record, claim);
		fill_claim_result(record, result);
		return;
	}
	if (g_hash_table_size(state->claims) >= state->settings.claims_max) {
		g_free(key);
		result->error = ERROR_TABLE_FULL;
		return;
	}
	fresh.key = key;
	fresh.fingerprint = claim->fingerprint;
	fresh.host_id = claim->host_id;
	fresh.host_incarnation = claim->host_incarnation;
	fresh.request_id = claim->request_id;
	fresh.state = CLAIM_STATE_RUNNING;
	/* A claim must outlive its key: once the claim is removed, the key
	 * must be refused as expired, or the request could run twice. */
	fresh.expires_ms = MAX(state->time_ms, claim->created_ms) +
			   state->settings.claim_window_ms;
	fill_claim_result(replicated_add_claim(state, &fresh), result);
}

void
replicated_finish_claim(struct replicated_state *state,
    const struct command_claim *claim, struct command_result *result)
{
	struct claim_record *record;
	char *key;

	if (claim->outcome == 0) {
		result->error = ERROR_INVALID_ARGUMENT;
		return;
	}
	key = g_strconcat(
	    claim->client_account, KEY_SEPARATOR, claim->idempotency_key, NULL);
	record = g_hash_table_lookup(state->claims, key);
	g_free(key);
	if (record == NULL) {
		result->error = ERROR_NOT_FOUND;
		return;
	}
	if (!is_holder(record, claim) ||
	    (record->state == CLAIM_STATE_ENDED &&
		record->outcome != REQUEST_OUTCOME_UNKNOWN &&
		record->outcome != claim->outcome)) {
		result->error = ERROR_STALE;
	} else {
		record->state = CLAIM_STATE_ENDED;
		record->outcome = claim->outcome;
	}
	fill_claim_result(record, result);
}

void
replicated_free_claim(void *claim)
{
	struct claim_record *record = claim;

	g_free(record->key);
	g_free(record);
}

static enum error_code
check_claim(
    const struct replicated_state *state, const struct command_claim *claim)
{
	if (claim->client_account[0] == '\0' ||
	    claim->idempotency_key[0] == '\0' ||
	    strstr(claim->client_account, KEY_SEPARATOR) != NULL ||
	    strstr(claim->idempotency_key, KEY_SEPARATOR) != NULL ||
	    claim->created_ms < 0)
		return ERROR_INVALID_ARGUMENT;
	if (claim->created_ms == 0)
		return ERROR_NONE;
	if (claim->created_ms > state->time_ms + CLAIM_CLOCK_SKEW_MS_MAX)
		return ERROR_INVALID_ARGUMENT;
	if (claim->created_ms + state->settings.claim_window_ms <=
	    state->time_ms)
		return ERROR_KEY_EXPIRED;
	return ERROR_NONE;
}

/* Decides on a key that is claimed already. The same request, sent again,
 * keeps its running claim; another request with the same fingerprint gets the
 * claim only if the first one ended without having run. */
static enum error_code
reassign_claim(struct claim_record *record, const struct command_claim *claim)
{
	if (record->fingerprint != claim->fingerprint)
		return ERROR_INVALID_ARGUMENT;
	if (is_holder(record, claim))
		return record->state == CLAIM_STATE_RUNNING
			   ? ERROR_NONE
			   : ERROR_DUPLICATE_REQUEST;
	if (record->state != CLAIM_STATE_ENDED ||
	    record->outcome != REQUEST_OUTCOME_NOT_RUN)
		return ERROR_DUPLICATE_REQUEST;
	record->host_id = claim->host_id;
	record->host_incarnation = claim->host_incarnation;
	record->request_id = claim->request_id;
	record->state = CLAIM_STATE_RUNNING;
	record->outcome = 0;
	return ERROR_NONE;
}

static bool
is_holder(const struct claim_record *record, const struct command_claim *claim)
{
	return record->host_id == claim->host_id &&
	       record->host_incarnation == claim->host_incarnation &&
	       record->request_id == claim->request_id;
}

static void
fill_claim_result(
    const struct claim_record *record, struct command_result *result)
{
	result->claim_state = record->state;
	result->claim_outcome = record->outcome;
	result->claim_host = record->host_id;
}

static gint
compare_claims(gconstpointer left, gconstpointer right, gpointer context)
{
	const struct claim_record *first = left, *second = right;

	(void)context;
	if (first->expires_ms != second->expires_ms)
		return first->expires_ms < second->expires_ms ? -1 : 1;
	return strcmp(first->key, second->key);
}
