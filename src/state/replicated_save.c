/**
 * @file replicated_save.c
 * Saves the replicated state to bytes, and loads it from them.
 */
#include <string.h>

#include "protocol/codec.h"
#include "state/replicated_parts.h"
#include "state/state_level.h"

#define SAVE_VERSION	 1		  /* Format of a saved state. */
#define PART_LENGTH_SIZE sizeof(uint32_t) /* Bytes of a part's length. */
/* Numbers of a quarantine, before what each host has counted. */
#define QUARANTINE_NUMBERS 5
/* Numbers of a part of prompts, before its crashes and companions. */
#define PROMPT_PART_NUMBERS 10
/* Numbers read from a part: one more than any part of this build holds, so that
 * a part with more is noticed. */
#define SAVE_NUMBERS_MAX                                                       \
	(PROMPT_PART_NUMBERS + PART_CRASHES_MAX + PART_COMPANIONS_MAX + 1)

/* Kinds of parts. A saved state is a sequence of parts, each a message with
 * its length before it as a 32-bit little-endian number. */
enum save_part {
	SAVE_PART_HEAD = 1,
	SAVE_PART_CONFIG = 2,
	SAVE_PART_OPERATION = 3,
	SAVE_PART_CLAIM = 4,
	SAVE_PART_QUARANTINE = 5,
	SAVE_PART_ORDER = 6,
	SAVE_PART_HOST = 7,
	SAVE_PART_DOCUMENT = 9,
	SAVE_PART_PROMPT_PART = 10,
	SAVE_PART_END = 8, /* Last part; holds the number of parts before. */
};

/* Message fields of a part; its numbers are FIELD_NUMBERS and onwards. */
enum save_field {
	FIELD_VERSION = 0,
	FIELD_PART = 1,
	FIELD_TEXT = 2,
	FIELD_VALUE = 3,
	FIELD_NUMBERS = 4,
};

/* Last kind that this build knows. */
#define SAVE_PART_LAST SAVE_PART_PROMPT_PART

/* The fields of a part, of any kind. */
struct save_record {
	enum save_part part; /* Kind of the part. */
	const char *text;    /* Text such as a name or key, NULL for none. */
	const void *value;   /* Bytes such as a document's contents. */
	size_t value_size;   /* Bytes of value, 0 for none. */
	uint32_t count;	     /* Elements of numbers that were read. */
	uint64_t numbers[SAVE_NUMBERS_MAX]; /* Meaning depends on the kind. */
};

/* A saved state while it is written. */
struct save_writer {
	GByteArray *bytes; /* Parts written so far. */
	uint64_t parts;	   /* Number of those parts. */
};

/* A saved state while it is read. */
struct save_reader {
	struct replicated_state *state; /* State that gets the parts. */
	uint64_t parts;			/* Parts so far. */
	bool is_end;			/* The last part was read. */
	/* Counts what is skipped since this build does not know it; NULL if
	 * that is an error. */
	uint32_t *skipped;
};

static void put_part(
    struct save_writer *writer, const struct save_record *record);
static gboolean save_config(gpointer key, gpointer value, gpointer context);
static void save_operations(
    struct save_writer *writer, const struct replicated_state *state);
static void save_claims(
    struct save_writer *writer, const struct replicated_state *state);
static void save_quarantine(
    void *context, const struct quarantine_record *quarantine);
static uint64_t pack_share(const struct quarantine_share *share);
static struct quarantine_share unpack_share(uint64_t packed);
static void load_shares(
    struct quarantine_record *quarantine, const struct save_record *record);
static void save_prompt_part(
    void *context, const struct part_record *prompt_part);
static enum error_code load_prompt_part(
    struct part_record *prompt_part, const struct save_record *record);
static void save_order(void *context, const struct order_record *order);
static void save_documents(
    struct save_writer *writer, const struct replicated_state *state);
static enum error_code load_state(struct replicated_state *state,
    const void *data, size_t size, uint32_t *skipped);
static enum error_code load_parts(
    struct save_reader *reader, const unsigned char *data, size_t size);
static enum error_code load_part(
    struct save_reader *reader, const unsigned char *data, size_t size);
static enum error_code read_part(const struct message_reader *message,
    struct save_record *record, char *text, size_t text_size);
static bool is_known_part(uint64_t part);
static uint32_t numbers_of_part(enum save_part part);
static uint32_t numbers_max_of_part(enum save_part part);
static enum error_code store_part(struct replicated_state *state,
    const struct save_record *record, const char *text);
static enum error_code store_operation(struct replicated_state *state,
    const struct save_record *record, const char *text);
static enum error_code store_claim(struct replicated_state *state,
    const struct save_record *record, const char *text);
static enum error_code store_order(struct replicated_state *state,
    const struct save_record *record, const char *text);

GByteArray *
replicated_state_save(const struct replicated_state *state, bool is_public)
{
	struct save_writer writer = {g_byte_array_new(), 0};
	struct save_record head = {.part = SAVE_PART_HEAD};
	struct save_record end = {.part = SAVE_PART_END};
	struct save_record item = {.part = SAVE_PART_HOST};
	const struct live_host *host;
	guint i;

	head.numbers[0] = state->applied_index;
	head.numbers[1] = (uint64_t)state->time_ms;
	head.numbers[2] = state->sequence;
	head.numbers[3] = state->revision;
	head.numbers[4] = state->content_hash;
	head.numbers[5] = state->epoch;
	put_part(&writer, &head);
	g_tree_foreach(state->config, save_config, &writer);
	replicated_state_for_each_quarantine(state, save_quarantine, &writer);
	replicated_state_for_each_part(state, save_prompt_part, &writer);
	replicated_state_for_each_order(state, save_order, &writer);
	for (i = 0; i < state->live_hosts->len; i++) {
		host = &g_array_index(state->live_hosts, struct live_host, i);
		item.numbers[0] = host->host_id;
		item.numbers[1] = host->incarnation;
		put_part(&writer, &item);
	}
	save_documents(&writer, state);
	if (!is_public) {
		save_operations(&writer, state);
		save_claims(&writer, state);
	}
	end.numbers[0] = writer.parts;
	put_part(&writer, &end);
	return writer.bytes;
}

enum error_code
replicated_state_load(
    struct replicated_state *state, const void *data, size_t size)
{
	return load_state(state, data, size, NULL);
}

enum error_code
replicated_state_load_known(struct replicated_state *state, const void *data,
    size_t size, uint32_t *skipped)
{
	*skipped = 0;
	return load_state(state, data, size, skipped);
}

static enum error_code
load_state(struct replicated_state *state, const void *data, size_t size,
    uint32_t *skipped)
{
	struct replicated_state fresh;
	struct save_reader reader = {.state = &fresh, .skipped = skipped};
	enum error_code error;

	replicated_state_init(&fresh, &state->settings);
	error = load_parts(&reader, data, size);
	if (error != ERROR_NONE) {
		replicated_state_finish(&fresh);
		return error;
	}
	replicated_state_finish(state);
	*state = fresh;
	return ERROR_NONE;
}

static void
put_part(struct save_writer *writer, const struct save_record *record)
{
	struct message_writer message;
	uint32_t count, length, i;

	count = numbers_max_of_part(record->part);
	message_writer_init(&message);
	message_begin_map(&message,
	    2 + count + (record->text != NULL) + (record->value_size > 0));
	message_put_uint(&message, FIELD_VERSION, SAVE_VERSION);
	message_put_uint(&message, FIELD_PART, record->part);
	if (record->text != NULL)
		message_put_text(&message, FIELD_TEXT, record->text);
	if (record->value_size > 0)
		message_put_bytes(
		    &message, FIELD_VALUE, record->value, record->value_size);
	for (i = 0; i < count; i++)
		message_put_uint(
		    &message, FIELD_NUMBERS + i, record->numbers[i]);
	length = GUINT32_TO_LE((uint32_t)message_size(&message));
	g_byte_array_append(
	    writer->bytes, (const guint8 *)&length, sizeof(length));
	g_byte_array_append(writer->bytes, message_data(&message),
	    (guint)message_size(&message));
	message_writer_finish(&message);
	writer->parts++;
}

static gboolean
save_config(gpointer key, gpointer value, gpointer context)
{
	const struct config_value *stored = value;
	struct save_record record = {.part = SAVE_PART_CONFIG};

	record.text = key;
	record.value = stored->value;
	record.value_size = strlen(stored->value) + 1;
	record.numbers[0] = stored->revision;
	put_part(context, &record);
	return FALSE;
}

static void
save_operations(
    struct save_writer *writer, const struct replicated_state *state)
{
	struct save_record record = {.part = SAVE_PART_OPERATION};
	const struct operation_record *operation;
	struct message_writer result;
	const GList *link;

	for (link = state->operation_order->head; link != NULL;
	     link = link->next) {
		operation = link->data;
		message_writer_init(&result);
		command_result_encode(&operation->result, &result);
		record.text = operation->operation_id;
		record.value = message_data(&result);
		record.value_size = message_size(&result);
		record.numbers[0] = (uint64_t)operation->time_ms;
		put_part(writer, &record);
		message_writer_finish(&result);
	}
}

static void
save_claims(struct save_writer *writer, const struct replicated_state *state)
{
	struct save_record record = {.part = SAVE_PART_CLAIM};
	const struct claim_record *claim;
	GSequenceIter *iter;

	for (iter = g_sequence_get_begin_iter(state->claim_order);
	     !g_sequence_iter_is_end(iter); iter = g_sequence_iter_next(iter)) {
		claim = g_sequence_get(iter);
		record.text = claim->key;
		record.numbers[0] = claim->fingerprint;
		record.numbers[1] = claim->host_id;
		record.numbers[2] = claim->host_incarnation;
		record.numbers[3] = claim->request_id;
		record.numbers[4] = claim->state;
		record.numbers[5] = claim->outcome;
		record.numbers[6] = (uint64_t)claim->expires_ms;
		put_part(writer, &record);
	}
}

static void
save_quarantine(void *context, const struct quarantine_record *quarantine)
{
	struct save_record record = {.part = SAVE_PART_QUARANTINE};
	uint32_t i;

	record.numbers[0] = quarantine->fingerprint;
	record.numbers[1] = (uint64_t)quarantine->until_ms;
	record.numbers[2] = quarantine->must_run_alone;
	record.numbers[3] = quarantine->crashes;
	record.numbers[4] = quarantine->weight_permille;
	for (i = 0; i < quarantine->share_count; i++)
		record.numbers[QUARANTINE_NUMBERS + i] =
		    pack_share(&quarantine->shares[i]);
	put_part(context, &record);
}

/* Host id in the upper half, crashes and weight in a quarter each. */
static uint64_t
pack_share(const struct quarantine_share *share)
{
	return (uint64_t)share->host_id << 32 |
	       (uint64_t)MIN(share->crashes, UINT16_MAX) << 16 |
	       MIN(share->weight_permille, UINT16_MAX);
}

static struct quarantine_share
unpack_share(uint64_t packed)
{
	struct quarantine_share share = {
	    .host_id = (uint32_t)(packed >> 32),
	    .crashes = (uint16_t)(packed >> 16),
	    .weight_permille = (uint16_t)packed,
	};

	return share;
}

/* Crashes follow the numbers, and companions the largest number of crashes. */
static void
save_prompt_part(void *context, const struct part_record *prompt_part)
{
	struct save_record record = {.part = SAVE_PART_PROMPT_PART};
	uint64_t *crashes = &record.numbers[PROMPT_PART_NUMBERS];

	record.numbers[0] = prompt_part->part;
	record.numbers[1] = (uint64_t)prompt_part->until_ms;
	record.numbers[2] = prompt_part->crash_count;
	record.numbers[3] = prompt_part->companion_count;
	record.numbers[4] = prompt_part->event_count;
	record.numbers[5] = (uint64_t)prompt_part->last_event_ms;
	record.numbers[6] = prompt_part->quarantine_count;
	record.numbers[7] = (uint64_t)prompt_part->refuse_until_ms;
	record.numbers[8] = prompt_part->request;
	record.numbers[9] = prompt_part->last_request;
	memcpy(crashes, prompt_part->crashes, sizeof(prompt_part->crashes));
	memcpy(crashes + PART_CRASHES_MAX, prompt_part->companions,
	    sizeof(prompt_part->companions));
	put_part(context, &record);
}

static enum error_code
load_prompt_part(
    struct part_record *prompt_part, const struct save_record *record)
{
	const uint64_t *crashes = &record->numbers[PROMPT_PART_NUMBERS];

	if (record->numbers[2] > PART_CRASHES_MAX ||
	    record->numbers[3] > PART_COMPANIONS_MAX)
		return ERROR_MALFORMED;
	prompt_part->part = record->numbers[0];
	prompt_part->until_ms = (int64_t)record->numbers[1];
	prompt_part->crash_count = (uint32_t)record->numbers[2];
	prompt_part->companion_count = (uint32_t)record->numbers[3];
	prompt_part->event_count = (uint32_t)record->numbers[4];
	prompt_part->last_event_ms = (int64_t)record->numbers[5];
	prompt_part->quarantine_count = (uint32_t)record->numbers[6];
	prompt_part->refuse_until_ms = (int64_t)record->numbers[7];
	prompt_part->request = record->numbers[8];
	prompt_part->last_request = record->numbers[9];
	memcpy(prompt_part->crashes, crashes, sizeof(prompt_part->crashes));
	memcpy(prompt_part->companions, crashes + PART_CRASHES_MAX,
	    sizeof(prompt_part->companions));
	return ERROR_NONE;
}

static void
save_order(void *context, const struct order_record *order)
{
	struct save_record record = {.part = SAVE_PART_ORDER};

	record.text = order->argument[0] == '\0' ? NULL : order->argument;
	record.numbers[0] = order->upstream_id;
	record.numbers[1] = order->fencing_number;
	record.numbers[2] = order->kind;
	record.numbers[3] = order->host_id;
	record.numbers[4] = order->outcome;
	record.numbers[5] = (uint64_t)order->begun_ms;
	put_part(context, &record);
}

static void
save_documents(struct save_writer *writer, const struct replicated_state *state)
{
	struct save_record record = {.part = SAVE_PART_DOCUMENT};
	const struct document *document;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, state->documents);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&document)) {
		record.text = document->name;
		record.value =
		    g_bytes_get_data(document->bytes, &record.value_size);
		record.numbers[0] = document->version;
		put_part(writer, &record);
	}
}

static enum error_code
load_parts(struct save_reader *reader, const unsigned char *data, size_t size)
{
	enum error_code error;
	uint32_t length;
	size_t at;

	for (at = 0; at < size; at += length) {
		if (reader->is_end || size - at < PART_LENGTH_SIZE)
			return ERROR_MALFORMED;
		memcpy(&length, data + at, sizeof(length));
		length = GUINT32_FROM_LE(length);
		at += PART_LENGTH_SIZE;
		if (length > size - at)
			return ERROR_MALFORMED;
		error = load_part(reader, data + at, length);
		if (error != ERROR_NONE)
			return error;
	}
	return reader->is_end ? ERROR_NONE : ERROR_MALFORMED;
}

static enum error_code
load_part(struct save_reader *reader, const unsigned char *data, size_t size)
{
	char text[CONFIG_VALUE_SIZE_MAX];
	struct save_record record = {0};
	struct message_reader message;
	enum error_code error;

	error = message_reader_init(&message, data, size);
	if (error != ERROR_NONE)
		return error;
	error = read_part(&message, &record, text, sizeof(text));
	if (error == ERROR_NOT_SUPPORTED && reader->skipped != NULL) {
		(*reader->skipped)++;
		error = ERROR_NONE;
		if (!is_known_part(record.part)) {
			reader->parts++;
			goto out;
		}
	}
	if (error != ERROR_NONE)
		goto out;
	if (record.part == SAVE_PART_END) {
		reader->is_end = true;
		if (record.count == 0 || record.numbers[0] != reader->parts)
			error = ERROR_MALFORMED;
		goto out;
	}
	reader->parts++;
	error = ERROR_NONE;
	if (record.count < numbers_of_part(record.part))
		error = ERROR_MALFORMED;
	else if (record.part == SAVE_PART_DOCUMENT && reader->skipped == NULL)
		error = state_level_check(text, record.numbers[0]);
	if (error == ERROR_NONE)
		error = store_part(reader->state, &record, text);
out:
	message_reader_finish(&message);
	return error;
}

/* Reads the fields of a part. Returns ERROR_NOT_SUPPORTED for a part of an
 * unknown kind, and for one with more numbers than this build knows, of which it
 * has read the known ones: without these, the state would differ from that of
 * other hosts. */
static enum error_code
read_part(const struct message_reader *message, struct save_record *record,
    char *text, size_t text_size)
{
	enum error_code error;
	uint64_t version, part;

	error = message_get_uint(message, FIELD_VERSION, &version);
	if (error == ERROR_NONE && version != SAVE_VERSION)
		error = ERROR_UNSUPPORTED_VERSION;
	if (error == ERROR_NONE)
		error = message_get_uint(message, FIELD_PART, &part);
	if (error != ERROR_NONE)
		return error;
	if (!is_known_part(part))
		return ERROR_NOT_SUPPORTED;
	record->part = (enum save_part)part;
	if (message_get_text(message, FIELD_TEXT, text, text_size) !=
	    ERROR_NONE)
		text[0] = '\0';
	(void)message_get_bytes(
	    message, FIELD_VALUE, &record->value, &record->value_size);
	while (record->count < SAVE_NUMBERS_MAX &&
	       message_get_uint(message, FIELD_NUMBERS + record->count,
		   &record->numbers[record->count]) == ERROR_NONE)
		record->count++;
	return record->count > numbers_max_of_part(record->part)
		   ? ERROR_NOT_SUPPORTED
		   : ERROR_NONE;
}

static bool
is_known_part(uint64_t part)
{
	return part >= SAVE_PART_HEAD && part <= SAVE_PART_LAST;
}

/* Returns how many numbers a part must have. */
static uint32_t
numbers_of_part(enum save_part part)
{
	switch (part) {
	case SAVE_PART_HEAD:
	case SAVE_PART_ORDER:
		return 6;
	case SAVE_PART_CLAIM:
		return 7;
	case SAVE_PART_QUARANTINE:
		return QUARANTINE_NUMBERS;
	case SAVE_PART_PROMPT_PART:
		return PROMPT_PART_NUMBERS + PART_CRASHES_MAX +
		       PART_COMPANIONS_MAX;
	case SAVE_PART_HOST:
		return 2;
	case SAVE_PART_CONFIG:
	case SAVE_PART_OPERATION:
	case SAVE_PART_DOCUMENT:
	case SAVE_PART_END:
		return 1;
	}
	return 0;
}

/* Returns how many numbers a part may have. A newer build adds what it needs as
 * further numbers or further kinds of parts. */
static uint32_t
numbers_max_of_part(enum save_part part)
{
	if (part == SAVE_PART_QUARANTINE)
		return QUARANTINE_NUMBERS + QUARANTINE_SHARES_MAX;
	return numbers_of_part(part);
}

/* Snapshots of older versions have only the sums, which then count as those of
 * an unknown host. */
static void
load_shares(
    struct quarantine_record *quarantine, const struct save_record *record)
{
	struct quarantine_share share;
	uint32_t i;

	for (i = QUARANTINE_NUMBERS;
	     i < record->count &&
	     quarantine->share_count < QUARANTINE_SHARES_MAX;
	     i++) {
		share = unpack_share(record->numbers[i]);
		if (share.crashes > 0)
			quarantine->shares[quarantine->share_count++] = share;
	}
	if (quarantine->share_count > 0)
		return;
	quarantine->shares[0].crashes = quarantine->crashes;
	quarantine->shares[0].weight_permille = quarantine->weight_permille;
	quarantine->share_count = 1;
}

static enum error_code
store_part(struct replicated_state *state, const struct save_record *record,
    const char *text)
{
	const uint64_t *numbers = record->numbers;
	struct quarantine_record quarantine = {0};
	struct part_record prompt_part = {0};
	struct live_host host = {0};

	switch (record->part) {
	case SAVE_PART_HEAD:
		state->applied_index = numbers[0];
		state->time_ms = (int64_t)numbers[1];
		state->sequence = numbers[2];
		state->revision = numbers[3];
		state->content_hash = numbers[4];
		state->epoch = numbers[5];
		return ERROR_NONE;
	case SAVE_PART_CONFIG:
		if (text[0] == '\0' || record->value_size == 0 ||
		    ((const char *)record->value)[record->value_size - 1] !=
			'\0')
			return ERROR_MALFORMED;
		replicated_put_config(state, text, record->value, numbers[0]);
		return ERROR_NONE;
	case SAVE_PART_DOCUMENT:
		if (text[0] == '\0' || strlen(text) >= NAME_SIZE_MAX)
			return ERROR_MALFORMED;
		return replicated_put_document(state, text, numbers[0],
		    record->value, record->value_size, state->sequence);
	case SAVE_PART_OPERATION:
		return store_operation(state, record, text);
	case SAVE_PART_CLAIM:
		return store_claim(state, record, text);
	case SAVE_PART_QUARANTINE:
		quarantine.fingerprint = numbers[0];
		quarantine.until_ms = (int64_t)numbers[1];
		quarantine.must_run_alone = numbers[2] != 0;
		quarantine.crashes = (uint32_t)numbers[3];
		quarantine.weight_permille = (uint32_t)numbers[4];
		load_shares(&quarantine, record);
		replicated_put_quarantine(state, &quarantine);
		return ERROR_NONE;
	case SAVE_PART_PROMPT_PART:
		if (load_prompt_part(&prompt_part, record) != ERROR_NONE)
			return ERROR_MALFORMED;
		replicated_put_part(state, &prompt_part);
		return ERROR_NONE;
	case SAVE_PART_ORDER:
		return store_order(state, record, text);
	case SAVE_PART_HOST:
		host.host_id = (uint32_t)numbers[0];
		host.incarnation = numbers[1];
		g_array_append_val(state->live_hosts, host);
		return ERROR_NONE;
	case SAVE_PART_END:
		break;
	}
	return ERROR_NOT_SUPPORTED;
}

static enum error_code
store_operation(struct replicated_state *state,
    const struct save_record *record, const char *text)
{
	struct operation_record operation = {0};
	enum error_code error;

	if (text[0] == '\0' || strlen(text) >= sizeof(operation.operation_id) ||
	    g_hash_table_contains(state->operations, text))
		return ERROR_MALFORMED;
	error = command_result_decode(
	    &operation.result, record->value, record->value_size);
	if (error != ERROR_NONE)
		return error;
	memcpy(operation.operation_id, text, strlen(text) + 1);
	operation.time_ms = (int64_t)record->numbers[0];
	replicated_put_operation(state, &operation);
	return ERROR_NONE;
}

static enum error_code
store_order(struct replicated_state *state, const struct save_record *record,
    const char *text)
{
	struct order_record order = {0};

	if (strlen(text) >= sizeof(order.argument))
		return ERROR_MALFORMED;
	memcpy(order.argument, text, strlen(text) + 1);
	order.upstream_id = record->numbers[0];
	order.fencing_number = record->numbers[1];
	order.kind = (uint32_t)record->numbers[2];
	order.host_id = (uint32_t)record->numbers[3];
	order.outcome = (uint32_t)record->numbers[4];
	order.begun_ms = (int64_t)record->numbers[5];
	replicated_put_order(state, &order);
	return ERROR_NONE;
}

static enum error_code
store_claim(struct replicated_state *state, const struct save_record *record,
    const char *text)
{
	const uint64_t *numbers = record->numbers;
	struct claim_record claim = {0};

	if (text[0] == '\0' || g_hash_table_contains(state->claims, text))
		return ERROR_MALFORMED;
	claim.key = g_strdup(text);
	claim.fingerprint = numbers[0];
	claim.host_id = (uint32_t)numbers[1];
	claim.host_incarnation = numbers[2];
	claim.request_id = numbers[3];
	claim.state = (enum claim_state)numbers[4];
	claim.outcome = (enum request_outcome)numbers[5];
	claim.expires_ms = (int64_t)numbers[6];
	replicated_add_claim(state, &claim);
	return ERROR_NONE;
}
