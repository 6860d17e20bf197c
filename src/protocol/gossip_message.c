#include "protocol/gossip_message.h"

#include <string.h>

/* Bytes of a bucket's hash on the wire, least significant byte first. */
#define HASH_SIZE 4

/* Keys of the fields of a message on the wire. */
enum gossip_field {
	FIELD_VERSION = 0,
	FIELD_TYPE = 1,
	FIELD_ELEMENTS = 2,
	FIELD_HASHES = 3,
	FIELD_BUCKETS = 4,
	FIELD_IS_ANSWER = 5,
	FIELD_CHECKSUM = 6,
};

/* Keys of the fields of an element: an item, or its version in a summary. */
enum element_field {
	ELEMENT_KEY = 0,
	ELEMENT_MAJOR = 1,
	ELEMENT_MINOR = 2,
	ELEMENT_RANK = 3,
	ELEMENT_BODY = 4,
	ELEMENT_TIE_BREAK = 5,
};

static void put_header(
    struct message_writer *writer, uint32_t fields, uint32_t type);
static void put_version(struct message_writer *writer, uint64_t key,
    const struct gossip_version *version);
static int compare_numbers(uint64_t left, uint64_t right);

int
gossip_version_compare(
    const struct gossip_version *left, const struct gossip_version *right)
{
	int order;

	order = compare_numbers(left->major, right->major);
	if (order == 0)
		order = compare_numbers(left->minor, right->minor);
	if (order == 0)
		order = compare_numbers(left->rank, right->rank);
	if (order == 0)
		order = compare_numbers(left->tie_break, right->tie_break);
	return order;
}

void
gossip_items_open(
    struct message_writer *writer, uint32_t first_type, uint32_t item_count)
{
	put_header(writer, 3, first_type + GOSSIP_KIND_ITEMS);
	message_put_array(writer, FIELD_ELEMENTS, item_count);
}

void
gossip_items_add(struct message_writer *writer, uint64_t key,
    const struct gossip_version *version, const void *body, size_t size)
{
	message_begin_map(writer, 6);
	put_version(writer, key, version);
	message_put_bytes(writer, ELEMENT_BODY, body, size);
}

void
gossip_digest_write(struct message_writer *writer, uint32_t first_type,
    const uint32_t hashes[GOSSIP_BUCKET_COUNT])
{
	unsigned char bytes[GOSSIP_BUCKET_COUNT * HASH_SIZE];
	int i, k;

	for (i = 0; i < GOSSIP_BUCKET_COUNT; i++) {
		for (k = 0; k < HASH_SIZE; k++)
			bytes[i * HASH_SIZE + k] =
			    (unsigned char)(hashes[i] >> (8 * k));
	}
	put_header(writer, 3, first_type + GOSSIP_KIND_DIGEST);
	message_put_bytes(writer, FIELD_HASHES, bytes, sizeof(bytes));
}

void
gossip_checksum_write(
    struct message_writer *writer, uint32_t first_type, uint64_t checksum)
{
	put_header(writer, 3, first_type + GOSSIP_KIND_CHECKSUM);
	message_put_uint(writer, FIELD_CHECKSUM, checksum);
}

void
gossip_summary_open(struct message_writer *writer, uint32_t first_type,
    const unsigned char buckets[GOSSIP_BUCKET_COUNT / 8], bool is_answer,
    uint32_t item_count)
{
	put_header(writer, 5, first_type + GOSSIP_KIND_SUMMARY);
	message_put_bytes(
	    writer, FIELD_BUCKETS, buckets, GOSSIP_BUCKET_COUNT / 8);
	message_put_uint(writer, FIELD_IS_ANSWER, is_answer);
	message_put_array(writer, FIELD_ELEMENTS, item_count);
}

void
gossip_summary_add(struct message_writer *writer, uint64_t key,
    const struct gossip_version *version)
{
	message_begin_map(writer, 5);
	put_version(writer, key, version);
}

enum error_code
gossip_message_type(const struct message_reader *reader, uint32_t *type)
{
	return message_get_type(reader, GOSSIP_MESSAGE_VERSION, type);
}

enum error_code
gossip_message_elements(
    const struct message_reader *reader, struct message_array *elements)
{
	return message_get_array(reader, FIELD_ELEMENTS, elements);
}

enum error_code
gossip_checksum_read(const struct message_reader *reader, uint64_t *checksum)
{
	return message_get_uint(reader, FIELD_CHECKSUM, checksum);
}

enum error_code
gossip_element_read(const struct message_array *elements, uint32_t index,
    uint64_t *key, struct gossip_version *version, const void **body,
    size_t *size)
{
	struct message_reader element;
	struct message_fields fields = {.reader = &element};
	enum error_code error;

	error = message_array_get_map(elements, index, &element);
	if (error != ERROR_NONE)
		return error;
	*key = message_fields_uint(&fields, ELEMENT_KEY);
	version->major = message_fields_uint(&fields, ELEMENT_MAJOR);
	version->minor = message_fields_uint(&fields, ELEMENT_MINOR);
	version->rank = message_fields_uint(&fields, ELEMENT_RANK);
	version->tie_break = message_fields_uint(&fields, ELEMENT_TIE_BREAK);
	if (fields.error != ERROR_NONE)
		return fields.error;
	error = message_get_bytes(&element, ELEMENT_BODY, body, size);
	if (error == ERROR_MISSING_FIELD) {
		*body = NULL;
		*size = 0;
		return ERROR_NONE;
	}
	if (error == ERROR_NONE && *size > GOSSIP_ITEM_SIZE_MAX)
		return ERROR_TOO_LARGE;
	return error;
}

enum error_code
gossip_digest_read(
    const struct message_reader *reader, uint32_t hashes[GOSSIP_BUCKET_COUNT])
{
	const unsigned char *bytes;
	enum error_code error;
	const void *data;
	size_t size;
	int i, k;

	error = message_get_bytes(reader, FIELD_HASHES, &data, &size);
	if (error != ERROR_NONE)
		return error;
	if (size != (size_t)GOSSIP_BUCKET_COUNT * HASH_SIZE)
		return ERROR_MALFORMED;
	bytes = data;
	for (i = 0; i < GOSSIP_BUCKET_COUNT; i++) {
		hashes[i] = 0;
		for (k = 0; k < HASH_SIZE; k++)
			hashes[i] |= (uint32_t)bytes[i * HASH_SIZE + k]
				     << (8 * k);
	}
	return ERROR_NONE;
}

enum error_code
gossip_summary_read(const struct message_reader *reader,
    unsigned char buckets[GOSSIP_BUCKET_COUNT / 8], bool *is_answer)
{
	enum error_code error;
	const void *data;
	uint64_t number;
	size_t size;

	error = message_get_bytes(reader, FIELD_BUCKETS, &data, &size);
	if (error != ERROR_NONE)
		return error;
	if (size != GOSSIP_BUCKET_COUNT / 8)
		return ERROR_MALFORMED;
	memcpy(buckets, data, size);
	error = message_get_uint(reader, FIELD_IS_ANSWER, &number);
	*is_answer = number != 0;
	return error;
}

static void
put_header(struct message_writer *writer, uint32_t fields, uint32_t type)
{
	message_begin_map(writer, fields);
	message_put_uint(writer, FIELD_VERSION, GOSSIP_MESSAGE_VERSION);
	message_put_uint(writer, FIELD_TYPE, type);
}

/* Writes the fields that an item and its version in a summary share. */
static void
put_version(struct message_writer *writer, uint64_t key,
    const struct gossip_version *version)
{
	message_put_uint(writer, ELEMENT_KEY, key);
	message_put_uint(writer, ELEMENT_MAJOR, version->major);
	message_put_uint(writer, ELEMENT_MINOR, version->minor);
	message_put_uint(writer, ELEMENT_RANK, version->rank);
	message_put_uint(writer, ELEMENT_TIE_BREAK, version->tie_break);
}

static int
compare_numbers(uint64_t left, uint64_t right)
{
	return (left > right) - (left < right);
}
