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
	"A value is out of its stated range."},
    [ERROR_NO_MEMORY] = {"no_memory", "Memory could not be had."},
    [ERROR_NOT_FOUND] = {"not_found", "No such object."},
    [ERROR_ALREADY_EXISTS] = {"already_exists", "The object is there already."},
    [ERROR_TABLE_FULL] = {"table_full",
	"A bounded table or queue has no room."},
    [ERROR_TIMEOUT] = {"timeout", "A deadline passed."},
    [ERROR_CANCELLED] = {"cancelled", "The caller went away or gave up."},
    [ERROR_SHUTTING_DOWN] = {"shutting_down", "The host takes no new work."},
    [ERROR_NOT_SUPPORTED] = {"not_supported",
	"Not in this build or this interface."},
    [ERROR_INTERNAL] = {"internal", "A broken invariant of our own."},
    [ERROR_MALFORMED] = {"malformed", "Bytes that are no message."},
    [ERROR_TOO_LARGE] = {"too_large", "A stated size bound was passed."},
    [ERROR_UNSUPPORTED_VERSION] = {"unsupported_version",
	"A version we do not speak."},
    [ERROR_MISSING_FIELD] = {"missing_field", "A required field is absent."},
    [ERROR_WRONG_TYPE] = {"wrong_type", "A field has another type."},
    [ERROR_UNAUTHENTICATED] = {"unauthenticated",
	"The sender could not be verified."},
    [ERROR_FORBIDDEN] = {"forbidden", "The role does not allow it."},
    [ERROR_CONNECTION] = {"connection", "The link is down."},
    [ERROR_WRONG_CLUSTER] = {"wrong_cluster",
	"The peer is of another cluster."},
    [ERROR_UNKNOWN_KEY] = {"unknown_key",
	"A settings key that does not exist."},
    [ERROR_MISSING_KEY] = {"missing_key", "A required settings key is absent."},
    [ERROR_BAD_VALUE] = {"bad_value", "A settings value out of its bounds."},
    [ERROR_IO] = {"io", "Reading, writing or syncing failed."},
    [ERROR_DISK_FULL] = {"disk_full", "No space in the data folder."},
    [ERROR_CORRUPT] = {"corrupt", "A checksum does not match."},
    [ERROR_IDENTITY_LOST] = {"identity_lost",
	"The data folder is not this voter's."},
    [ERROR_NOT_LEADER] = {"not_leader", "Another host leads; resend there."},
    [ERROR_NO_QUORUM] = {"no_quorum", "Too few voters answered."},
    [ERROR_REVISION_CONFLICT] = {"revision_conflict",
	"The expected revision is not current."},
    [ERROR_CHANGE_PENDING] = {"change_pending",
	"A voter change is still under way."},
    [ERROR_LEASE_EXPIRED] = {"lease_expired", "The lease ran out."},
    [ERROR_STALE] = {"stale", "An older term, number or incarnation."},
    [ERROR_OUTCOME_UNKNOWN] = {"outcome_unknown",
	"It may or may not have happened."},
    [ERROR_NO_UPSTREAM] = {"no_upstream", "No upstream fits the request."},
    [ERROR_NO_CAPACITY] = {"no_capacity", "Fitting upstreams are full."},
    [ERROR_DEADLINE_UNREACHABLE] = {"deadline_unreachable",
	"It could not finish in time."},
    [ERROR_OVER_LIMIT] = {"over_limit", "The account is over its limit."},
    [ERROR_QUARANTINED] = {"quarantined", "The request crashes upstreams."},
    [ERROR_DUPLICATE_REQUEST] = {"duplicate_request",
	"The idempotency key was used."},
    [ERROR_KEY_EXPIRED] = {"key_expired", "The idempotency key is too old."},
    [ERROR_UPSTREAM_FAILED] = {"upstream_failed", "The upstream broke off."},
    [ERROR_UPSTREAM_REFUSED] = {"upstream_refused",
	"The upstream said no before running."},
    [ERROR_STALLED] = {"stalled", "No progress for too long."},
    [ERROR_INCOMPLETE] = {"incomplete",
	"The answer ended without its end mark."},
    [ERROR_RETRY_BUDGET] = {"retry_budget", "No retry is allowed now."},
};

const char *
error_name(enum error_code code)
{
	if ((size_t)code >= ERROR_CODE_COUNT)
		return "internal";
	return error_entries[code].name;
}

enum error_code
error_find(const char *name)
{
	size_t i;

	for (i = 0; i < ERROR_CODE_COUNT; i++) {
		if (strcmp(error_entries[i].name, name) == 0)
			return (enum error_code)i;
	}
	return ERROR_INTERNAL;
}

const char *
error_text(enum error_code code)
{
	if ((size_t)code >= ERROR_CODE_COUNT)
		return error_entries[ERROR_INTERNAL].text;
	return error_entries[code].text;
}
