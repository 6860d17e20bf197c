/**
 * @file codec.h
 * Typed messages between processes as msgpack maps with small integer keys.
 *
 * A message is one map {key: value}. Readers look fields up by key and skip
 * those that they do not know, so that fields can be added without a new
 * version. Bounds hold before any memory is taken for elements.
 */
#ifndef CODEC_H
#define CODEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <msgpack.h>

#include "base/error_code.h"

/** Builds a message. */
struct message_writer {
	msgpack_sbuffer buffer; /**< The bytes so far. */
	msgpack_packer packer;	/**< Writes to the buffer. */
};

/** A message being read; the input bytes must outlive it. */
struct message_reader {
	msgpack_zone zone;     /**< Memory of the elements. */
	bool has_zone;	       /**< False for a reader of a part. */
	msgpack_object object; /**< The map. */
};

/** Elements of an array field. */
struct message_array {
	const msgpack_object *items; /**< First element. */
	uint32_t count;		     /**< How many. */
};

/* Writing */

/** Starts an empty message. */
void message_writer_init(struct message_writer *writer);
/** Gives back memory. */
void message_writer_finish(struct message_writer *writer);
/** Opens a map of @p fields fields; each put fills one. */
void message_open(struct message_writer *writer, uint32_t fields);
/** Puts an unsigned number. */
void message_put_uint(
    struct message_writer *writer, uint32_t key, uint64_t value);
/** Puts a signed number. */
void message_put_int(
    struct message_writer *writer, uint32_t key, int64_t value);
/** Puts a floating point number. */
void message_put_double(
    struct message_writer *writer, uint32_t key, double value);
/** Puts a string. */
void message_put_text(
    struct message_writer *writer, uint32_t key, const char *value);
/** Puts raw bytes. */
void message_put_bytes(struct message_writer *writer, uint32_t key,
    const void *value, size_t size);
/** Puts an array; @p count message_open() or message_add_uint() follow. */
void message_put_array(
    struct message_writer *writer, uint32_t key, uint32_t count);
/** Adds an unsigned number to an array. */
void message_add_uint(struct message_writer *writer, uint64_t value);
/** The bytes written so far. */
const void *message_data(const struct message_writer *writer);
/** How many bytes were written so far. */
size_t message_size(const struct message_writer *writer);

/* Reading */

/** Checks and opens a message. Errors: ERROR_MALFORMED, ERROR_TOO_LARGE. */
enum error_code message_reader_init(
    struct message_reader *reader, const void *data, size_t size);
/** Gives back memory; strings and bytes read from it go stale. */
void message_reader_finish(struct message_reader *reader);
/** Reads an unsigned number. Errors: ERROR_MISSING_FIELD, ERROR_WRONG_TYPE. */
enum error_code message_get_uint(
    const struct message_reader *reader, uint32_t key, uint64_t *value);
/** Reads an unsigned number of at most 32 bits; larger: ERROR_TOO_LARGE. */
enum error_code message_get_uint32(
    const struct message_reader *reader, uint32_t key, uint32_t *value);
/** Checks the first field, which holds the version in every message that has
 * one. Errors: ERROR_UNSUPPORTED_VERSION, and as message_get_uint(). */
enum error_code message_check_version(
    const struct message_reader *reader, uint64_t version);
/** The same, and reads the second field, which holds the type. */
enum error_code message_get_type(
    const struct message_reader *reader, uint64_t version, uint32_t *type);
/** The same from bytes. */
enum error_code message_peek_type(
    const void *data, size_t size, uint64_t version, uint32_t *type);
/** Reads a signed number. */
enum error_code message_get_int(
    const struct message_reader *reader, uint32_t key, int64_t *value);
/** Copies a string with its end mark. Errors: ERROR_TOO_LARGE also. */
enum error_code message_get_text(const struct message_reader *reader,
    uint32_t key, char *value, size_t value_size);
/** Gives raw bytes in place. */
enum error_code message_get_bytes(const struct message_reader *reader,
    uint32_t key, const void **value, size_t *size);
/** Gives an array in place. */
enum error_code message_get_array(const struct message_reader *reader,
    uint32_t key, struct message_array *array);
/** Opens an array's element that is a map; needs no finish. */
enum error_code message_array_open(const struct message_array *array,
    uint32_t index, struct message_reader *element);
/** Reads an array's element that is an unsigned number. */
enum error_code message_array_uint(
    const struct message_array *array, uint32_t index, uint64_t *value);

#endif
