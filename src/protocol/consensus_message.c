#include "protocol/consensus_message.h"

#include <string.h>

#define CONSENSUS_MESSAGE_VERSION 1

/* Keys of the fields on the wire. */
enum consensus_field {
	FIELD_VERSION = 0,
	FIELD_TYPE = 1,
	FIELD_CLUSTER = 2,
	FIELD_FROM_INCARNATION = 3,
	FIELD_TO_INCARNATION = 4,
	FIELD_TERM = 5,
	FIELD_FLAGS = 6,
	FIELD_INDEX = 7,
	FIELD_LOG_TERM = 8,
	FIELD_COMMIT = 9,
	FIELD_SENT = 10,
	FIELD_TIME = 11,
	FIELD_OFFSET = 12,
	FIELD_TOTAL = 13,
	FIELD_DATA = 14,
	FIELD_VOTERS = 15,
	FIELD_ENTRIES = 16,
	FIELD_COUNT = 17,
};

/* Keys of the fields of a log entry in the entries array. */
enum entry_field {
	ENTRY_TERM = 0,
	ENTRY_DATA = 1,
	ENTRY_FIELD_COUNT = 2
};

/* Keys of the fields of a voter in the voters array. */
enum voter_field {
	VOTER_HOST_ID = 0,
	VOTER_INCARNATION = 1,
	VOTER_FIELD_COUNT = 2
};

/* Bits of FIELD_FLAGS: the bool members of struct consensus_message. */
#define FLAG_GRANTED	    1u
#define FLAG_PRE_VOTE	    2u
#define FLAG_TRANSFER	    4u
#define FLAG_TIME_REFERENCE 8u

/* The optional fields that are numbers. */
static const struct message_number number_fields[] = {
    {FIELD_CLUSTER, offsetof(struct consensus_message, cluster_id)},
    {FIELD_FROM_INCARNATION,
	offsetof(struct consensus_message, from_incarnation)},
    {FIELD_TO_INCARNATION, offsetof(struct consensus_message, to_incarnation)},
    {FIELD_TERM, offsetof(struct consensus_message, term)},
    {FIELD_INDEX, offsetof(struct consensus_message, index)},
    {FIELD_LOG_TERM, offsetof(struct consensus_message, log_term)},
    {FIELD_COMMIT, offsetof(struct consensus_message, commit_index)},
    {FIELD_SENT, offsetof(struct consensus_message, sent_ms)},
    {FIELD_TIME, offsetof(struct consensus_message, time_ms)},
    {FIELD_OFFSET, offsetof(struct consensus_message, offset)},
    {FIELD_TOTAL, offsetof(struct consensus_message, total_size)},
};

#define NUMBER_FIELD_COUNT (sizeof(number_fields) / sizeof(number_fields[0]))

static void put_voters(
    struct message_writer *writer, const struct voter_set *voters);
static enum error_code get_voters(
    const struct message_reader *reader, void *context);
static void put_entries(
    struct message_writer *writer, const struct consensus_message *message);
static enum error_code decode_fields(struct consensus_message *message);
static enum error_code decode_header(struct consensus_message *message);
static enum error_code ignore_missing(enum error_code error);

void
consensus_message_encode(
    const struct consensus_message *message, struct message_writer *writer)
{
	uint32_t fields, flags;

	flags = (message->is_granted ? FLAG_GRANTED : 0) |
		(message->is_pre_vote ? FLAG_PRE_VOTE : 0) |
		(message->is_transfer ? FLAG_TRANSFER : 0) |
		(message->has_time_reference ? FLAG_TIME_REFERENCE : 0);
	fields = 3 + (message->data_size > 0 ? 1 : 0) +
		 (message->voters.count > 0 ? 1 : 0) +
		 (message->entry_count > 0 ? 1 : 0);
	fields +=
	    message_count_numbers(number_fields, NUMBER_FIELD_COUNT, message);
	message_begin_map(writer, fields);
	message_put_uint(writer, FIELD_VERSION, CONSENSUS_MESSAGE_VERSION);
	message_put_uint(writer, FIELD_TYPE, message->type);
	message_put_uint(writer, FIELD_FLAGS, flags);
	message_put_numbers(writer, number_fields, NUMBER_FIELD_COUNT, message);
	if (message->data_size > 0)
		message_put_bytes(
		    writer, FIELD_DATA, message->data, message->data_size);
	if (message->voters.count > 0)
		put_voters(writer, &message->voters);
	if (message->entry_count > 0)
		put_entries(writer, message);
}

enum error_code
consensus_message_decode(
    struct consensus_message *message, const void *data, size_t size)
{
	enum error_code error;

	memset(message, 0, sizeof(*message));
	error = message_reader_init(&message->reader, data, size);
	if (error != ERROR_NONE)
		return error;
	error = decode_header(message);
	if (error == ERROR_NONE)
		error = decode_fields(message);
	if (error != ERROR_NONE)
		message_reader_finish(&message->reader);
	return error;
}

void
consensus_message_finish(struct consensus_message *message)
{
	message_reader_finish(&message->reader);
}

enum error_code
consensus_message_read_entry(const struct consensus_message *message,
    uint32_t at, struct journal_entry *entry)
{
	struct message_reader element;
	enum error_code error;
	const void *data;

	error = message_array_get_map(&message->entry_array, at, &element);
	if (error == ERROR_NONE)
		error = message_get_uint(&element, ENTRY_TERM, &entry->term);
	if (error == ERROR_NONE)
		error = message_get_bytes(
		    &element, ENTRY_DATA, &data, &entry->size);
	if (error != ERROR_NONE)
		return error;
	entry->index = message->index + 1 + at;
	entry->data = (unsigned char *)data;
	return ERROR_NONE;
}

void
voter_set_encode(const struct voter_set *voters, struct message_writer *writer)
{
	message_begin_map(writer, 1);
	put_voters(writer, voters);
}

enum error_code
voter_set_decode(struct voter_set *voters, const void *data, size_t size)
{
	return message_read(data, size, get_voters, voters);
}

static void
put_voters(struct message_writer *writer, const struct voter_set *voters)
{
	uint32_t i;

	message_put_array(writer, FIELD_VOTERS, voters->count);
	for (i = 0; i < voters->count; i++) {
		message_begin_map(writer, VOTER_FIELD_COUNT);
		message_put_uint(
		    writer, VOTER_HOST_ID, voters->voters[i].host_id);
		message_put_uint(
		    writer, VOTER_INCARNATION, voters->voters[i].incarnation);
	}
}

static enum error_code
get_voters(const struct message_reader *reader, void *context)
{
	struct voter_set *voters = context;
	struct message_reader element;
	struct message_array array;
	enum error_code error;
	uint32_t i;

	error = message_get_array(reader, FIELD_VOTERS, &array);
	if (error != ERROR_NONE)
		return error;
	if (array.count > VOTERS_MAX)
		return ERROR_TOO_LARGE;
	for (i = 0; i < array.count; i++) {
		error = message_array_get_map(&array, i, &element);
		if (error == ERROR_NONE)
			error = message_get_uint32(&element, VOTER_HOST_ID,
			    &voters->voters[i].host_id);
		if (error == ERROR_NONE)
			error = message_get_uint(&element, VOTER_INCARNATION,
			    &voters->voters[i].incarnation);
		if (error != ERROR_NONE)
			return error;
	}
	voters->count = array.count;
	return ERROR_NONE;
}

static void
put_entries(
    struct message_writer *writer, const struct consensus_message *message)
{
	uint32_t i;

	message_put_array(writer, FIELD_ENTRIES, message->entry_count);
	for (i = 0; i < message->entry_count; i++) {
		message_begin_map(writer, ENTRY_FIELD_COUNT);
		message_put_uint(writer, ENTRY_TERM, message->entries[i].term);
		message_put_bytes(writer, ENTRY_DATA, message->entries[i].data,
		    message->entries[i].size);
	}
}

static enum error_code
decode_header(struct consensus_message *message)
{
	enum error_code error;
	uint64_t type;

	error =
	    message_check_version(&message->reader, CONSENSUS_MESSAGE_VERSION);
	if (error != ERROR_NONE)
		return error;
	error = message_get_uint(&message->reader, FIELD_TYPE, &type);
	if (error != ERROR_NONE)
		return error;
	if (type < CONSENSUS_VOTE_REQUEST || type > CONSENSUS_HELLO_REPLY)
		return ERROR_NOT_SUPPORTED;
	message->type = (enum consensus_message_type)type;
	return ERROR_NONE;
}

static enum error_code
decode_fields(struct consensus_message *message)
{
	struct message_fields fields = {.reader = &message->reader};
	struct journal_entry entry;
	enum error_code error;
	uint64_t flags;
	uint32_t i;

	message_fields_numbers(
	    &fields, number_fields, NUMBER_FIELD_COUNT, message);
	flags = message_fields_uint(&fields, FIELD_FLAGS);
	message->is_granted = (flags & FLAG_GRANTED) != 0;
	message->is_pre_vote = (flags & FLAG_PRE_VOTE) != 0;
	message->is_transfer = (flags & FLAG_TRANSFER) != 0;
	message->has_time_reference = (flags & FLAG_TIME_REFERENCE) != 0;
	error = fields.error;
	if (error == ERROR_NONE)
		error = ignore_missing(message_get_bytes(&message->reader,
		    FIELD_DATA, &message->data, &message->data_size));
	if (error == ERROR_NONE)
		error = ignore_missing(
		    get_voters(&message->reader, &message->voters));
	if (error == ERROR_NONE)
		error = ignore_missing(message_get_array(
		    &message->reader, FIELD_ENTRIES, &message->entry_array));
	message->entry_count = message->entry_array.count;
	/* Check every entry now, so that a malformed message is rejected
	 * before any of its entries is used. */
	for (i = 0; error == ERROR_NONE && i < message->entry_count; i++)
		error = consensus_message_read_entry(message, i, &entry);
	return error;
}

/* Returns ERROR_NONE for a missing field, which then keeps its zero value. */
static enum error_code
ignore_missing(enum error_code error)
{
	return error == ERROR_MISSING_FIELD ? ERROR_NONE : error;
}
