/**
 * @file codec.h
 * Encodes and decodes messages between hosts, and stored data, as msgpack
 * maps with small integer keys.
 *
 * A message is one map {key: value}. Readers look up fields by key and ignore
 * keys that they don't know, so fields can be added without a new version.
 * The limits on size, nesting and number of elements are checked before any
 * memory is allocated for elements.
 */
#ifndef CODEC_H
#define CODEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <msgpack.h>

#include "base/error_code.h"

/** A message being written. */
struct message_writer {
	msgpack_sbuffer buffer; /**< Bytes written so far. */
	msgpack_packer packer;	/**< Packs values into the buffer. */
};

/** A message being read; the input bytes must outlive the reader. */
struct message_reader {
	msgpack_zone zone; /**< Memory of the unpacked elements. */
	/** The reader owns its zone; false for a reader of an array's element,
	 * which uses the message's zone. */
	bool has_zone;
	msgpack_object object; /**< Map whose fields are read. */
};

/** Elements of an array field, valid as long as the message's reader. */
struct message_array {
	const msgpack_object *items; /**< Elements of the array. */
	uint32_t count;		     /**< Number of elements. */
};

/** Reads fields of a message one after the other and keeps the first error.
 * Initialise it with the reader alone, {.reader = reader}. After an error all
 * further fields read as zero, so that one check after the last field is
 * enough. */
struct message_fields {
	const struct message_reader *reader; /**< Message that is read. */
	enum error_code error;		     /**< First error. */
};

/** Maps an optional field to a member of type uint64_t or int64_t of a struct.
 * A member that is 0 is not written, and an absent field reads as 0. */
struct message_number {
	uint32_t key;  /**< Key of the field. */
	size_t offset; /**< Offset of the member in the struct. */
};

/* Writing */

/** Initialises a writer with an empty message. */
void message_writer_init(struct message_writer *writer);
/** Frees the message. */
void message_writer_finish(struct message_writer *writer);
/** Begins a map of @p fields fields; exactly as many message_put_X() calls
 * must follow. */
void message_begin_map(struct message_writer *writer, uint32_t fields);
/** Writes a field with an unsigned integer. */
void message_put_uint(
    struct message_writer *writer, uint32_t key, uint64_t value);
/** Writes a field with a signed integer. */
void message_put_int(
    struct message_writer *writer, uint32_t key, int64_t value);
/** Writes a field with a floating point number. */
void message_put_double(
    struct message_writer *writer, uint32_t key, double value);
/** Writes a field with a NUL-terminated string. */
void message_put_text(
    struct message_writer *writer, uint32_t key, const char *value);
/** Writes a field with raw bytes. */
void message_put_bytes(struct message_writer *writer, uint32_t key,
    const void *value, size_t size);
/** Begins a field with an array; exactly @p count elements must follow, each
 * written by message_begin_map() and its fields or by message_add_uint(). */
void message_put_array(
    struct message_writer *writer, uint32_t key, uint32_t count);
/** Writes an unsigned integer as the next element of an array. */
void message_add_uint(struct message_writer *writer, uint64_t value);
/** Returns how many of these members of @p members are not 0, which is the number
 * of fields that message_put_numbers() writes. */
uint32_t message_count_numbers(
    const struct message_number *numbers, size_t count, const void *members);
/** Writes a field for each of these members of @p members that is not 0. */
void message_put_numbers(struct message_writer *writer,
    const struct message_number *numbers, size_t count, const void *members);
/** Returns the bytes written so far; valid until the next write. */
const void *message_data(const struct message_writer *writer);
/** Returns the number of bytes written so far. */
size_t message_size(const struct message_writer *writer);

/* Reading */

/** Checks and unpacks a message. Errors: ERROR_MALFORMED, ERROR_NO_MEMORY, or
 * ERROR_TOO_LARGE if it exceeds FRAME_SIZE_MAX bytes, MESSAGE_ELEMENTS_MAX
 * elements or the nesting limit. */
enum error_code message_reader_init(
    struct message_reader *reader, const void *data, size_t size);
/** Frees the unpacked message; bytes and arrays got from it must not be used
 * afterwards. */
void message_reader_finish(struct message_reader *reader);
/** Unpacks a message, has @p read read its fields into @p context, and frees the
 * message. Errors: those of message_reader_init() and of @p read. */
enum error_code message_read(const void *data, size_t size,
    enum error_code (*read)(const struct message_reader *reader, void *context),
    void *context);
/** Reads an unsigned integer field. Errors: ERROR_MISSING_FIELD,
 * ERROR_WRONG_TYPE. */
enum error_code message_get_uint(
    const struct message_reader *reader, uint32_t key, uint64_t *value);
/** Reads an unsigned integer field. Errors: those of message_get_uint(), and
 * ERROR_TOO_LARGE if the value exceeds 32 bits. */
enum error_code message_get_uint32(
    const struct message_reader *reader, uint32_t key, uint32_t *value);
/** Checks field 0, which holds the version in every message that has one.
 * Errors: ERROR_UNSUPPORTED_VERSION, and those of message_get_uint(). */
enum error_code message_check_version(
    const struct message_reader *reader, uint64_t version);
/** Checks the version as message_check_version() does, then reads field 1,
 * which holds the message type. */
enum error_code message_get_type(
    const struct message_reader *reader, uint64_t version, uint32_t *type);
/** Checks the version of a packed message and reads its type, without keeping
 * a reader. Errors: those of message_reader_init() and message_get_type(). */
enum error_code message_peek_type(
    const void *data, size_t size, uint64_t version, uint32_t *type);
/** Reads a signed integer field. Errors: ERROR_MISSING_FIELD,
 * ERROR_WRONG_TYPE, or ERROR_TOO_LARGE above INT64_MAX. */
enum error_code message_get_int(
    const struct message_reader *reader, uint32_t key, int64_t *value);
/** Copies a string field and terminates it with NUL. Errors:
 * ERROR_MISSING_FIELD, ERROR_WRONG_TYPE, ERROR_TOO_LARGE if @p value_size is
 * too small, ERROR_MALFORMED if the string contains a NUL. */
enum error_code message_get_text(const struct message_reader *reader,
    uint32_t key, char *value, size_t value_size);
/** Gets a field of raw bytes without copying them. Errors:
 * ERROR_MISSING_FIELD, ERROR_WRONG_TYPE. */
enum error_code message_get_bytes(const struct message_reader *reader,
    uint32_t key, const void **value, size_t *size);
/** Gets an array field without copying it. Errors: ERROR_MISSING_FIELD,
 * ERROR_WRONG_TYPE. */
enum error_code message_get_array(const struct message_reader *reader,
    uint32_t key, struct message_array *array);
/** Sets up a reader for an array's element that is a map; that reader needs no
 * message_reader_finish(). Errors: ERROR_MISSING_FIELD if @p index is out of
 * range, ERROR_WRONG_TYPE. */
enum error_code message_array_get_map(const struct message_array *array,
    uint32_t index, struct message_reader *element);
/** Reads an array's element that is an unsigned integer. Errors:
 * ERROR_MISSING_FIELD if @p index is out of range, ERROR_WRONG_TYPE. */
enum error_code message_array_get_uint(
    const struct message_array *array, uint32_t index, uint64_t *value);

/* Reading fields one after the other. The errors that are kept are those of the
 * function message_get_X() of the same type. */

/** Returns an unsigned integer field, 0 after an error. */
uint64_t message_fields_uint(struct message_fields *fields, uint32_t key);
/** Returns an unsigned integer field of 32 bits, 0 after an error. */
uint32_t message_fields_uint32(struct message_fields *fields, uint32_t key);
/** Returns a signed integer field, 0 after an error. */
int64_t message_fields_int(struct message_fields *fields, uint32_t key);
/** Reads the optional fields that message_put_numbers() writes; leaves the rest of
 * the members as they are after an error. */
void message_fields_numbers(struct message_fields *fields,
    const struct message_number *numbers, size_t count, void *members);
/** Copies a string field; leaves @p value as it is after an error. */
void message_fields_text(struct message_fields *fields, uint32_t key,
    char *value, size_t value_size);
/** Returns a field of raw bytes without copying them, NULL and a size of 0 after
 * an error. */
const void *message_fields_bytes(
    struct message_fields *fields, uint32_t key, size_t *size);
/** Returns an array field without copying it, an empty one after an error. */
struct message_array message_fields_array(
    struct message_fields *fields, uint32_t key);

#endif
