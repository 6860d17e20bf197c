/**
 * @file shared_text.h
 * A long text in parts that several threads read without copying it.
 *
 * The parts point into memory of an owner (such as a parsed body) that is
 * destroyed when the last reference is released. The text never changes.
 */
#ifndef SHARED_TEXT_H
#define SHARED_TEXT_H

#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>

/** One stretch of bytes. */
struct text_part {
	const char *data; /**< Bytes, without an end mark. */
	size_t size;	  /**< How many. */
};

/** The text; lives on the heap, since its users end in any order. */
struct shared_text {
	_Atomic uint32_t references;  /**< Users left. */
	size_t size;		      /**< Bytes of all parts. */
	void (*destroy)(void *owner); /**< Frees the owner; may be NULL. */
	void *owner;		      /**< Passed to destroy(). */
	uint32_t part_count;	      /**< Parts below. */
	struct text_part parts[];     /**< In order. */
};

/** A place in a text, from which to read on. */
struct text_cursor {
	const struct shared_text *text; /**< What is read. */
	uint32_t part;			/**< Part read next. */
	size_t offset;			/**< Offset in that part. */
	size_t left;			/**< Bytes left to read. */
};

/* Lifetime */

/** Makes a text with one reference; NULL if memory is short, owner kept. */
struct shared_text *shared_text_create(const struct text_part *parts,
    uint32_t part_count, void (*destroy)(void *owner), void *owner);
/** Makes a text from a copy of @p data. */
struct shared_text *shared_text_copy(const char *data, size_t size);
/** Takes one more reference. */
struct shared_text *shared_text_hold(struct shared_text *text);
/** Gives a reference back; NULL is no error. */
void shared_text_release(struct shared_text *text);

/* Reading */

/** Starts at @p offset for at most @p size bytes; clamps to the text. */
void text_cursor_init(struct text_cursor *cursor,
    const struct shared_text *text, size_t offset, size_t size);
/** Copies up to @p max next bytes out; 0 at the end. */
size_t text_cursor_read(struct text_cursor *cursor, char *out, size_t max);
/** Gives up to @p max next bytes in place; 0 at the end. */
size_t text_cursor_next(
    struct text_cursor *cursor, size_t max, const char **data);

#endif
