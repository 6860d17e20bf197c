#include "base/error_code.h"

#include <stddef.h>
#include <string.h>

struct error_entry {
	const char *name;
	const char *text;
};

static const struct error_entry error_entries[ERROR_CODE_COUNT] = {
    [ERROR_NONE] = {"none", "No error."},
    [ERROR_INVALID_ARGUMENT] = {"invalid_argument",
	"A value is outside its documented range."},
    [ERROR_NO_MEMORY] = {"no_memory", "Memory allocation failed."},
    [ERROR_NOT_FOUND] = {"not_found", "The object does not exist."},
    [ERROR_ALREADY_EXISTS] = {"already_exists", "The object exists already."},
    [ERROR_TABLE_FULL] = {"table_full", "A bounded table or queue is full."},
    [ERROR_TIMEOUT] = {"timeout", "The operation exceeded its time limit."},
    [ERROR_CANCELLED] = {"cancelled", "The caller cancelled or disconnected."},
    [ERROR_SHUTTING_DOWN] = {"shutting_down",
	"The host is stopping and takes no work."},
    [ERROR_NOT_SUPPORTED] = {"not_supported",
	"Not part of this build or interface."},
    [ERROR_INTERNAL] = {"internal", "The program violated an invariant."},
    [ERROR_MALFORMED] = {"malformed", "The bytes are not a valid message."},
    [ERROR_TOO_LARGE] = {"too_large", "A documented size limit is exceeded."},
    [ERROR_UNSUPPORTED_VERSION] = {"unsupported_version",
	"The protocol version is unknown."},
    [ERROR_MISSING_FIELD] = {"missing_field", "A required field is absent."},
    [ERROR_WRONG_TYPE] = {"wrong_type", "A field has the wrong type."},
    [ERROR_UNAUTHENTICATED] = {"unauthenticated",
	"The sender could not be verified."},
    [ERROR_FORBIDDEN] = {"forbidden", "The sender's role does not allow it."},
    [ERROR_CONNECTION] = {"connection", "The connection is down."},
    [ERROR_WRONG_CLUSTER] = {"wrong_cluster",
	"The peer is in another cluster."},
    [ERROR_UNKNOWN_KEY] = {"unknown_key", "The settings key does not exist."},
    [ERROR_MISSING_KEY] = {"missing_key", "A required settings key is absent."},
    [ERROR_BAD_VALUE] = {"bad_value",
	"A value is outside its allowed set or bounds."},
    [ERROR_IO] = {"io", "Reading, writing or syncing failed."},
    [ERROR_DISK_FULL] = {"disk_full", "The disk of the data folder is full."},
    [ERROR_CORRUPT] = {"corrupt", "A checksum does not match."},
    [ERROR_IDENTITY_LOST] = {"identity_lost",
	"The data folder is not this voter's."},
    [ERROR_NOT_LEADER] = {"not_leader", "Another host leads; resend there."},
    [ERROR_NO_QUORUM] = {"no_quorum", "Too few voters answered."},
    [ERROR_REVISION_CONFLICT] = {"revision_conflict",
	"The expected revision is not current."},
    [ERROR_CHANGE_PENDING] = {"change_pending",
	"A voter change is still in progress."},
    [ERROR_LEASE_EXPIRED] = {"lease_expired", "The lease has expired."},
    [ERROR_STALE] = {"stale", "The term, number or incarnation is outdated."},
    [ERROR_OUTCOME_UNKNOWN] = {"outcome_unknown",
	"It is unknown whether the operation took effect."},
    [ERROR_NO_UPSTREAM] = {"no_upstream", "No upstream can serve the request."},
    [ERROR_NO_PATH] = {"no_path", "This host reaches no upstream."},
    [ERROR_NO_CAPACITY] = {"no_capacity", "All suitable upstreams are full."},
    [ERROR_DEADLINE_UNREACHABLE] = {"deadline_unreachable",
	"The deadline can't be met."},
    [ERROR_OVER_LIMIT] = {"over_limit", "The account is over its limit."},
    [ERROR_QUARANTINED] = {"quarantined", "The request crashes upstreams."},
    [ERROR_DUPLICATE_REQUEST] = {"duplicate_request",
	"The idempotency key is already used."},
    [ERROR_KEY_EXPIRED] = {"key_expired", "The idempotency key is too old."},
    [ERROR_UPSTREAM_FAILED] = {"upstream_failed",
	"The upstream or its connection failed."},
    [ERROR_UPSTREAM_REFUSED] = {"upstream_refused",
	"The upstream refused before running."},
    [ERROR_STALLED] = {"stalled", "There was no progress for too long."},
    [ERROR_INCOMPLETE] = {"incomplete",
	"The answer ended without its end mark."},
    [ERROR_RETRY_BUDGET] = {"retry_budget", "The retry budget is used up."},
};

const char *
error_name(enum error_code code)
{
	if ((size_t)code >= ERROR_CODE_COUNT)
		return "internal";
	return error_entries[code].name;
}

enum error_code
error_from_name(const char *name)
{
	size_t i;

	for (i = 0; i < ERROR_CODE_COUNT; i++) {
		if (strcmp(error_entries[i].name, name) == 0)
			return (enum error_code)i;
	}
	return ERROR_INTERNAL;
}

bool
error_is_unknown_kind(enum error_code code)
{
	return code == ERROR_NOT_SUPPORTED || code == ERROR_UNSUPPORTED_VERSION;
}

const char *
error_text(enum error_code code)
{
	if ((size_t)code >= ERROR_CODE_COUNT)
		return error_entries[ERROR_INTERNAL].text;
	return error_entries[code].text;
}
