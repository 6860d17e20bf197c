#include "host/host_documents.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <zlib.h>

#include "host/host_calls.h"
#include "host/host_confirm.h"

/* Longest wait for a call that the coordination thread completes at once. */
#define CALL_TIMEOUT_MS 2000
/* Interval at which a read checks whether the local state has caught up. */
#define STATE_CHECK_US 10000
/* Size of the header, which holds the uncompressed size. */
#define SIZE_HEADER_BYTES 8
/* Operation id of a single change: host id and request id. */
#define OPERATION_FORMAT "entry-%u-%016" PRIx64

/* A read of a document on the coordination thread. */
struct read_body {
	char name[NAME_SIZE_MAX];
	uint64_t sequence; /* Sequence that the state must have reached. */
	uint64_t version;
	GBytes *packed;
	bool is_behind; /* The state has not reached the sequence yet. */
};

struct remove_body {
	char name[NAME_SIZE_MAX];
	uint64_t incarnation;
};

static void run_read(void *coordinator, struct mailbox_call *call);
static void run_read_revision(void *coordinator, struct mailbox_call *call);
static void clear_read(void *body);
static void run_heartbeat(void *coordinator, struct mailbox_call *call);
static void run_remove(void *coordinator, struct mailbox_call *call);
static bool is_unchanged(
    const struct upstream_record *known, const struct upstream_record *record);
static enum error_code read_once(struct host *host, const char *name,
    uint64_t sequence, struct read_body *found);
static enum error_code first_error(
    enum error_code error, const struct command_result *result);

static const struct mailbox_ops read_ops = {run_read, clear_read};
static const struct mailbox_ops revision_ops = {.run = run_read_revision};
static const struct mailbox_ops heartbeat_ops = {.run = run_heartbeat};
static const struct mailbox_ops remove_ops = {.run = run_remove};

enum error_code
host_put_document(struct host *host, const char *name, uint64_t version,
    const void *text, size_t size, int64_t timeout_ms)
{
	struct command command = {.type = COMMAND_DOCUMENT};
	struct command_document *document = &command.body.document;
	struct command_result result;
	enum error_code error;
	GBytes *packed;

	packed = document_pack(text, size);
	if (packed == NULL)
		return ERROR_NO_MEMORY;
	g_strlcpy(document->name, name, sizeof(document->name));
	document->version = version;
	document->data = g_bytes_get_data(packed, &document->size);
	error = document->size > CONSENSUS_COMMAND_SIZE_MAX / 2
		    ? ERROR_TOO_LARGE
		    : host_submit(host, &command, timeout_ms, &result);
	g_bytes_unref(packed);
	return first_error(error, &result);
}

enum error_code
host_read_document(struct host *host, const char *name, int64_t timeout_ms,
    uint64_t *version, GBytes **text)
{
	struct command command = {.type = COMMAND_BARRIER};
	struct command_result result;
	struct read_body found = {0};
	enum error_code error;
	int64_t until_ms;

	until_ms = host_now_ms() + timeout_ms;
	error = first_error(
	    host_submit(host, &command, timeout_ms, &result), &result);
	if (error != ERROR_NONE)
		return error;
	for (;;) {
		error = read_once(host, name, result.sequence, &found);
		if (error != ERROR_NONE || !found.is_behind)
			break;
		if (host_now_ms() >= until_ms)
			return ERROR_TIMEOUT;
		g_usleep(STATE_CHECK_US);
	}
	if (error != ERROR_NONE)
		return error;
	if (found.packed == NULL)
		return ERROR_NOT_FOUND;
	*version = found.version;
	*text = document_unpack(g_bytes_get_data(found.packed, NULL),
	    g_bytes_get_size(found.packed));
	g_bytes_unref(found.packed);
	return *text == NULL ? ERROR_CORRUPT : ERROR_NONE;
}

enum error_code
host_read_revision(struct host *host, uint64_t *revision)
{
	struct mailbox_call *call;
	enum error_code error;

	call = mailbox_call_new(&revision_ops, sizeof(*revision));
	error = mailbox_await(&host->mailbox, call, CALL_TIMEOUT_MS);
	if (error == ERROR_NONE)
		*revision = *(uint64_t *)mailbox_call_body(call);
	mailbox_call_unref(call);
	return error;
}

enum error_code
host_set_entry(struct host *host, const char *key, const char *value,
    int64_t timeout_ms, uint64_t *revision)
{
	struct command command = {.type = COMMAND_CONFIG};
	struct config_change change = {.is_delete = value == NULL};
	struct command_result result;
	enum error_code error;

	g_strlcpy(change.key, key, sizeof(change.key));
	if (value != NULL)
		g_strlcpy(change.value, value, sizeof(change.value));
	snprintf(command.operation_id, sizeof(command.operation_id),
	    OPERATION_FORMAT, host->settings.host_id,
	    host_new_request_id(host));
	command.body.config.expected_revision = *revision;
	command.body.config.change_count = 1;
	command.body.config.changes = &change;
	error = host_submit(host, &command, timeout_ms, &result);
	if (error == ERROR_NONE)
		*revision = result.revision;
	return first_error(error, &result);
}

enum error_code
host_heartbeat(struct host *host, const struct upstream_record *record)
{
	struct mailbox_call *call;
	enum error_code error;

	call = mailbox_call_new(&heartbeat_ops, sizeof(*record));
	memcpy(mailbox_call_body(call), record, sizeof(*record));
	error = mailbox_await(&host->mailbox, call, CALL_TIMEOUT_MS);
	mailbox_call_unref(call);
	return error;
}

enum error_code
host_remove_upstream(struct host *host, const char *name, uint64_t incarnation)
{
	struct mailbox_call *call;
	struct remove_body *body;
	enum error_code error;

	call = mailbox_call_new(&remove_ops, sizeof(*body));
	body = mailbox_call_body(call);
	g_strlcpy(body->name, name, sizeof(body->name));
	body->incarnation = incarnation;
	error = mailbox_await(&host->mailbox, call, CALL_TIMEOUT_MS);
	mailbox_call_unref(call);
	return error;
}

GBytes *
document_pack(const void *text, size_t size)
{
	guint64 stored_size = GUINT64_TO_LE((guint64)size);
	unsigned char *packed;
	uLongf packed_size;

	packed_size = compressBound((uLong)size);
	packed = g_malloc(packed_size + SIZE_HEADER_BYTES);
	memcpy(packed, &stored_size, SIZE_HEADER_BYTES);
	if (compress2(packed + SIZE_HEADER_BYTES, &packed_size, text,
		(uLong)size, Z_BEST_SPEED) != Z_OK) {
		g_free(packed);
		return NULL;
	}
	return g_bytes_new_take(packed, packed_size + SIZE_HEADER_BYTES);
}

GBytes *
document_unpack(const void *packed, size_t size)
{
	guint64 stored_size;
	uLongf text_size;
	char *text;

	if (size < SIZE_HEADER_BYTES)
		return NULL;
	memcpy(&stored_size, packed, SIZE_HEADER_BYTES);
	text_size = (uLongf)GUINT64_FROM_LE(stored_size);
	if (text_size > DOCUMENT_SIZE_MAX)
		return NULL;
	text = g_malloc(text_size + 1);
	if (uncompress((Bytef *)text, &text_size,
		(const Bytef *)packed + SIZE_HEADER_BYTES,
		(uLong)(size - SIZE_HEADER_BYTES)) != Z_OK) {
		g_free(text);
		return NULL;
	}
	text[text_size] = '\0';
	return g_bytes_new_take(text, text_size);
}

/* Reads a document from the local state, or finds that the state is behind. The
 * caller gets the reference to the document's bytes. */
static enum error_code
read_once(struct host *host, const char *name, uint64_t sequence,
    struct read_body *found)
{
	struct mailbox_call *call;
	struct read_body *body;
	enum error_code error;

	call = mailbox_call_new(&read_ops, sizeof(*body));
	body = mailbox_call_body(call);
	g_strlcpy(body->name, name, sizeof(body->name));
	body->sequence = sequence;
	error = mailbox_await(&host->mailbox, call, CALL_TIMEOUT_MS);
	if (error == ERROR_NONE) {
		*found = *body;
		body->packed = NULL;
	}
	mailbox_call_unref(call);
	return error;
}

static void
run_read(void *coordinator, struct mailbox_call *call)
{
	struct read_body *body = mailbox_call_body(call);
	const struct document *document;
	struct host *host = coordinator;

	body->is_behind = host_state(host)->sequence < body->sequence;
	if (!body->is_behind) {
		document =
		    replicated_state_document(host_state(host), body->name);
		if (document != NULL) {
			body->version = document->version;
			body->packed = g_bytes_ref(document->bytes);
		}
	}
	mailbox_complete(&host->mailbox, call, ERROR_NONE);
}

static void
run_read_revision(void *coordinator, struct mailbox_call *call)
{
	uint64_t *revision = mailbox_call_body(call);
	struct host *host = coordinator;

	*revision = host_state(host)->revision;
	mailbox_complete(&host->mailbox, call, ERROR_NONE);
}

static void
clear_read(void *body)
{
	struct read_body *read = body;

	if (read->packed != NULL)
		g_bytes_unref(read->packed);
}

static void
run_heartbeat(void *coordinator, struct mailbox_call *call)
{
	const struct upstream_record *record = mailbox_call_body(call);
	const struct upstream_record *known;
	struct host *host = coordinator;
	enum error_code error;

	known = upstream_directory_find(&host->directory, record->id);
	if (known != NULL && is_unchanged(known, record))
		error = upstream_directory_renew(
		    &host->directory, record->id, record->incarnation);
	else
		error = upstream_directory_announce(&host->directory, record);
	/* An outdated heartbeat contains nothing new, but it isn't an error. */
	if (error == ERROR_STALE)
		error = ERROR_NONE;
	if (record->state == UPSTREAM_STATE_LEAVING)
		host_complete_confirmed(host, record->id, error, call);
	else
		mailbox_complete(&host->mailbox, call, error);
}

/* Removes the upstream unless a later incarnation is known. One that has been
 * removed already is confirmed again, since its caller may have missed the first
 * answer. */
static void
run_remove(void *coordinator, struct mailbox_call *call)
{
	struct remove_body *body = mailbox_call_body(call);
	struct host *host = coordinator;
	enum error_code error;
	uint64_t id;

	id = upstream_id(body->name);
	error =
	    upstream_directory_remove(&host->directory, id, body->incarnation);
	host_complete_confirmed(
	    host, id, error == ERROR_STALE ? ERROR_NONE : error, call);
}

/* Returns true if the record equals the known one in every field that a
 * heartbeat can change. */
static bool
is_unchanged(
    const struct upstream_record *known, const struct upstream_record *record)
{
	uint32_t i;

	if (known->incarnation != record->incarnation ||
	    known->state != record->state ||
	    known->label_count != record->label_count ||
	    known->limits.warm_requests != record->limits.warm_requests ||
	    strcmp(known->url, record->url) != 0 ||
	    strcmp(known->data_centre, record->data_centre) != 0)
		return false;
	for (i = 0; i < record->label_count; i++) {
		if (strcmp(known->labels[i].key, record->labels[i].key) != 0 ||
		    strcmp(known->labels[i].value, record->labels[i].value) !=
			0)
			return false;
	}
	return true;
}

/* Returns the error of the submission or else that of the command itself. */
static enum error_code
first_error(enum error_code error, const struct command_result *result)
{
	return error != ERROR_NONE ? error : result->error;
}
