#include "protocol/codec.h"

#include <string.h>

#include "config.h"

#define NESTING_DEPTH_MAX 8    /* Levels of nested maps and arrays. */
#define KEY_VERSION	  0    /* Key of the field with the version. */
#define KEY_TYPE	  1    /* Key of the field with the type. */
#define ZONE_CHUNK_SIZE	  4096 /* Bytes that a reader allocates at a time. */

/* Position in packed bytes whose sizes and counts are checked before they are
 * unpacked. */
struct scan {
	const unsigned char *data;
	size_t size;
	size_t offset;	   /* Offset of the next byte to check. */
	uint32_t elements; /* Elements seen so far, nested ones included. */
};

static uint64_t load_number(
    const struct message_number *number, const void *members);
static enum error_code scan_value(struct scan *scan);
static enum error_code scan_header(
    struct scan *scan, uint64_t *skip, uint64_t *children);
static enum error_code scan_length(
    struct scan *scan, unsigned int width, uint64_t *length);
static const msgpack_object *find_field(
    const struct message_reader *reader, uint32_t key);

void
message_writer_init(struct message_writer *writer)
{
	msgpack_sbuffer_init(&writer->buffer);
	msgpack_packer_init(
	    &writer->packer, &writer->buffer, msgpack_sbuffer_write);
}

void
message_writer_finish(struct message_writer *writer)
{
	msgpack_sbuffer_destroy(&writer->buffer);
}

void
message_begin_map(struct message_writer *writer, uint32_t fields)
{
	msgpack_pack_map(&writer->packer, fields);
}

void
message_put_uint(struct message_writer *writer, uint32_t key, uint64_t value)
{
	msgpack_pack_uint32(&writer->packer, key);
	msgpack_pack_uint64(&writer->packer, value);
}

void
message_put_int(struct message_writer *writer, uint32_t key, int64_t value)
{
	msgpack_pack_uint32(&writer->packer, key);
	msgpack_pack_int64(&writer->packer, value);
}

void
message_put_double(struct message_writer *writer, uint32_t key, double value)
{
	msgpack_pack_uint32(&writer->packer, key);
	msgpack_pack_double(&writer->packer, value);
}

void
message_put_text(struct message_writer *writer, uint32_t key, const char *value)
{
	size_t length;

	length = strlen(value);
	msgpack_pack_uint32(&writer->packer, key);
	msgpack_pack_str(&writer->packer, length);
	msgpack_pack_str_body(&writer->packer, value, length);
}

void
message_put_bytes(
    struct message_writer *writer, uint32_t key, const void *value, size_t size)
{
	msgpack_pack_uint32(&writer->packer, key);
	msgpack_pack_bin(&writer->packer, size);
	msgpack_pack_bin_body(&writer->packer, value, size);
}

void
message_put_array(struct message_writer *writer, uint32_t key, uint32_t count)
{
	msgpack_pack_uint32(&writer->packer, key);
	msgpack_pack_array(&writer->packer, count);
}

void
message_add_uint(struct message_writer *writer, uint64_t value)
{
	msgpack_pack_uint64(&writer->packer, value);
}

uint32_t
message_count_numbers(
    const struct message_number *numbers, size_t count, const void *members)
{
	uint32_t found;
	size_t i;

	found = 0;
	for (i = 0; i < count; i++)
		found += load_number(&numbers[i], members) != 0;
	return found;
}

void
message_put_numbers(struct message_writer *writer,
    const struct message_number *numbers, size_t count, const void *members)
{
	uint64_t value;
	size_t i;

	for (i = 0; i < count; i++) {
		value = load_number(&numbers[i], members);
		if (value != 0)
			message_put_uint(writer, numbers[i].key, value);
	}
}

const void *
message_data(const struct message_writer *writer)
{
	return writer->buffer.data;
}

size_t
message_size(const struct message_writer *writer)
{
	return writer->buffer.size;
}

enum error_code
message_reader_init(
    struct message_reader *reader, const void *data, size_t size)
{
	struct scan scan = {.data = data, .size = size};
	enum error_code error;
	size_t offset;

	memset(reader, 0, sizeof(*reader));
	if (size > FRAME_SIZE_MAX)
		return ERROR_TOO_LARGE;
	error = scan_value(&scan);
	if (error != ERROR_NONE)
		return error;
	if (scan.offset != size)
		return ERROR_MALFORMED;
	if (!msgpack_zone_init(&reader->zone, ZONE_CHUNK_SIZE))
		return ERROR_NO_MEMORY;
	reader->has_zone = true;
	offset = 0;
	if (msgpack_unpack(data, size, &offset, &reader->zone,
		&reader->object) != MSGPACK_UNPACK_SUCCESS ||
	    reader->object.type != MSGPACK_OBJECT_MAP) {
		message_reader_finish(reader);
		return ERROR_MALFORMED;
	}
	return ERROR_NONE;
}

void
message_reader_finish(struct message_reader *reader)
{
	if (reader->has_zone)
		msgpack_zone_destroy(&reader->zone);
	memset(reader, 0, sizeof(*reader));
}

enum error_code
message_read(const void *data, size_t size,
    enum error_code (*read)(const struct message_reader *reader, void *context),
    void *context)
{
	struct message_reader reader;
	enum error_code error;

	error = message_reader_init(&reader, data, size);
	if (error != ERROR_NONE)
		return error;
	error = read(&reader, context);
	message_reader_finish(&reader);
	return error;
}

enum error_code
message_get_uint(
    const struct message_reader *reader, uint32_t key, uint64_t *value)
{
	const msgpack_object *field;

	field = find_field(reader, key);
	if (field == NULL)
		return ERROR_MISSING_FIELD;
	if (field->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return ERROR_WRONG_TYPE;
	*value = field->via.u64;
	return ERROR_NONE;
}

enum error_code
message_get_uint32(
    const struct message_reader *reader, uint32_t key, uint32_t *value)
{
	enum error_code error;
	uint64_t wide;

	error = message_get_uint(reader, key, &wide);
	if (error != ERROR_NONE)
		return error;
	if (wide > UINT32_MAX)
		return ERROR_TOO_LARGE;
	*value = (uint32_t)wide;
	return ERROR_NONE;
}

enum error_code
message_check_version(const struct message_reader *reader, uint64_t version)
{
	enum error_code error;
	uint64_t found;

	error = message_get_uint(reader, KEY_VERSION, &found);
	if (error == ERROR_NONE && found != version)
		error = ERROR_UNSUPPORTED_VERSION;
	return error;
}

enum error_code
message_get_type(
    const struct message_reader *reader, uint64_t version, uint32_t *type)
{
	enum error_code error;

	error = message_check_version(reader, version);
	if (error != ERROR_NONE)
		return error;
	return message_get_uint32(reader, KEY_TYPE, type);
}

enum error_code
message_peek_type(
    const void *data, size_t size, uint64_t version, uint32_t *type)
{
	struct message_reader reader;
	enum error_code error;

	error = message_reader_init(&reader, data, size);
	if (error != ERROR_NONE)
		return error;
	error = message_get_type(&reader, version, type);
	message_reader_finish(&reader);
	return error;
}

enum error_code
message_get_int(
    const struct message_reader *reader, uint32_t key, int64_t *value)
{
	const msgpack_object *field;

	field = find_field(reader, key);
	if (field == NULL)
		return ERROR_MISSING_FIELD;
	if (field->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
		*value = field->via.i64;
		return ERROR_NONE;
	}
	if (field->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return ERROR_WRONG_TYPE;
	if (field->via.u64 > INT64_MAX)
		return ERROR_TOO_LARGE;
	*value = (int64_t)field->via.u64;
	return ERROR_NONE;
}

enum error_code
message_get_text(const struct message_reader *reader, uint32_t key, char *value,
    size_t value_size)
{
	const msgpack_object *field;

	field = find_field(reader, key);
	if (field == NULL)
		return ERROR_MISSING_FIELD;
	if (field->type != MSGPACK_OBJECT_STR)
		return ERROR_WRONG_TYPE;
	if (field->via.str.size >= value_size)
		return ERROR_TOO_LARGE;
	value[0] = '\0';
	/* msgpack may return a NULL pointer for an empty string. */
	if (field->via.str.size == 0)
		return ERROR_NONE;
	/* With a NUL inside, different names could be equal as C strings. */
	if (memchr(field->via.str.ptr, '\0', field->via.str.size) != NULL)
		return ERROR_MALFORMED;
	memcpy(value, field->via.str.ptr, field->via.str.size);
	value[field->via.str.size] = '\0';
	return ERROR_NONE;
}

enum error_code
message_get_bytes(const struct message_reader *reader, uint32_t key,
    const void **value, size_t *size)
{
	const msgpack_object *field;

	field = find_field(reader, key);
	if (field == NULL)
		return ERROR_MISSING_FIELD;
	if (field->type != MSGPACK_OBJECT_BIN)
		return ERROR_WRONG_TYPE;
	*value = field->via.bin.ptr;
	*size = field->via.bin.size;
	return ERROR_NONE;
}

enum error_code
message_get_array(const struct message_reader *reader, uint32_t key,
    struct message_array *array)
{
	const msgpack_object *field;

	field = find_field(reader, key);
	if (field == NULL)
		return ERROR_MISSING_FIELD;
	if (field->type != MSGPACK_OBJECT_ARRAY)
		return ERROR_WRONG_TYPE;
	array->items = field->via.array.ptr;
	array->count = field->via.array.size;
	return ERROR_NONE;
}

enum error_code
message_array_get_map(const struct message_array *array, uint32_t index,
    struct message_reader *element)
{
	memset(element, 0, sizeof(*element));
	if (index >= array->count)
		return ERROR_MISSING_FIELD;
	if (array->items[index].type != MSGPACK_OBJECT_MAP)
		return ERROR_WRONG_TYPE;
	element->object = array->items[index];
	return ERROR_NONE;
}

enum error_code
message_array_get_uint(
    const struct message_array *array, uint32_t index, uint64_t *value)
{
	if (index >= array->count)
		return ERROR_MISSING_FIELD;
	if (array->items[index].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return ERROR_WRONG_TYPE;
	*value = array->items[index].via.u64;
	return ERROR_NONE;
}

uint64_t
message_fields_uint(struct message_fields *fields, uint32_t key)
{
	uint64_t value = 0;

	if (fields->error == ERROR_NONE)
		fields->error = message_get_uint(fields->reader, key, &value);
	return value;
}

uint32_t
message_fields_uint32(struct message_fields *fields, uint32_t key)
{
	uint32_t value = 0;

	if (fields->error == ERROR_NONE)
		fields->error = message_get_uint32(fields->reader, key, &value);
	return value;
}

int64_t
message_fields_int(struct message_fields *fields, uint32_t key)
{
	int64_t value = 0;

	if (fields->error == ERROR_NONE)
		fields->error = message_get_int(fields->reader, key, &value);
	return value;
}

void
message_fields_numbers(struct message_fields *fields,
    const struct message_number *numbers, size_t count, void *members)
{
	uint64_t value;
	size_t i;

	for (i = 0; fields->error == ERROR_NONE && i < count; i++) {
		value = message_fields_uint(fields, numbers[i].key);
		if (fields->error == ERROR_MISSING_FIELD)
			fields->error = ERROR_NONE;
		if (fields->error == ERROR_NONE)
			memcpy((char *)members + numbers[i].offset, &value,
			    sizeof(value));
	}
}

void
message_fields_text(
    struct message_fields *fields, uint32_t key, char *value, size_t value_size)
{
	if (fields->error == ERROR_NONE)
		fields->error =
		    message_get_text(fields->reader, key, value, value_size);
}

const void *
message_fields_bytes(struct message_fields *fields, uint32_t key, size_t *size)
{
	const void *value = NULL;

	*size = 0;
	if (fields->error == ERROR_NONE)
		fields->error =
		    message_get_bytes(fields->reader, key, &value, size);
	return value;
}

struct message_array
message_fields_array(struct message_fields *fields, uint32_t key)
{
	struct message_array array = {0};

	if (fields->error == ERROR_NONE)
		fields->error = message_get_array(fields->reader, key, &array);
	return array;
}

/* Returns the value of the member that @p number describes. */
static uint64_t
load_number(const struct message_number *number, const void *members)
{
	uint64_t value;

	memcpy(&value, (const char *)members + number->offset, sizeof(value));
	return value;
}

/*
 * Checks one value with all that is nested in it. msgpack allocates memory for
 * as many elements as a header declares, so each declared count is first
 * compared with the number of bytes that are left.
 */
static enum error_code
scan_value(struct scan *scan)
{
	uint64_t open[NESTING_DEPTH_MAX + 1], skip, children;
	enum error_code error;
	unsigned int depth;

	depth = 0;
	open[0] = 1;
	for (;;) {
		while (open[depth] == 0) {
			if (depth == 0)
				return ERROR_NONE;
			depth--;
		}
		open[depth]--;
		if (++scan->elements > MESSAGE_ELEMENTS_MAX)
			return ERROR_TOO_LARGE;
		error = scan_header(scan, &skip, &children);
		if (error != ERROR_NONE)
			return error;
		if (skip > scan->size - scan->offset ||
		    children > scan->size - scan->offset)
			return ERROR_MALFORMED;
		scan->offset += skip;
		if (children == 0)
			continue;
		if (depth == NESTING_DEPTH_MAX)
			return ERROR_TOO_LARGE;
		open[++depth] = children;
	}
}

/* Reads the header of one value: how many payload bytes follow that are to be
 * skipped, and how many elements are nested in the value. */
static enum error_code
scan_header(struct scan *scan, uint64_t *skip, uint64_t *children)
{
	/* Payload bytes of the msgpack types of fixed size, 0xca (float 32)
	 * to 0xd8 (fixext 16). */
	static const unsigned char sizes[] = {
	    4, 8, 1, 2, 4, 8, 1, 2, 4, 8, 2, 3, 5, 9, 17};
	enum error_code error;
	unsigned char type;

	*skip = 0;
	*children = 0;
	if (scan->offset >= scan->size)
		return ERROR_MALFORMED;
	type = scan->data[scan->offset++];
	if (type < 0x80 || type >= 0xe0)
		return ERROR_NONE;
	if (type < 0x90) {
		*children = (uint64_t)(type & 0x0f) * 2;
		return ERROR_NONE;
	}
	if (type < 0xa0) {
		*children = type & 0x0f;
		return ERROR_NONE;
	}
	if (type < 0xc0) {
		*skip = type & 0x1f;
		return ERROR_NONE;
	}
	if (type == 0xc0 || type == 0xc2 || type == 0xc3)
		return ERROR_NONE;
	if (type == 0xc1 || (type >= 0xc7 && type <= 0xc9))
		return ERROR_MALFORMED;
	if (type >= 0xc4 && type <= 0xc6)
		return scan_length(scan, 1u << (type - 0xc4), skip);
	if (type >= 0xca && type <= 0xd8) {
		*skip = sizes[type - 0xca];
		return ERROR_NONE;
	}
	if (type <= 0xdb)
		return scan_length(scan, 1u << (type - 0xd9), skip);
	error = scan_length(scan, type % 2 == 0 ? 2 : 4, children);
	if (type >= 0xde)
		*children *= 2;
	return error;
}

/* Reads a big-endian length of @p width bytes. */
static enum error_code
scan_length(struct scan *scan, unsigned int width, uint64_t *length)
{
	if (width > scan->size - scan->offset)
		return ERROR_MALFORMED;
	*length = 0;
	while (width-- > 0)
		*length = *length << 8 | scan->data[scan->offset++];
	return ERROR_NONE;
}

static const msgpack_object *
find_field(const struct message_reader *reader, uint32_t key)
{
	const msgpack_object_kv *fields;
	uint32_t i;

	fields = reader->object.via.map.ptr;
	for (i = 0; i < reader->object.via.map.size; i++) {
		if (fields[i].key.type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
		    fields[i].key.via.u64 == key)
			return &fields[i].val;
	}
	return NULL;
}
