/**
 * @file shared_text.h
 * Immutable long texts in parts, which several threads read without copying.
 *
 * A text is reference counted. Its parts point into memory of an owner, such as
 * a parsed request body, which is destroyed with the last reference.
 */
#ifndef SHARED_TEXT_H
#define SHARED_TEXT_H

#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>

/** Contiguous bytes of a text. */
struct text_part {
	const char *data; /**< Bytes, not terminated by NUL. */
	size_t size;	  /**< Number of bytes. */
};

/** Reference-counted text on the heap. */
struct shared_text {
	_Atomic uint32_t references;  /**< Number of references. */
	size_t size;		      /**< Bytes of all parts. */
	void (*destroy)(void *owner); /**< Frees the owner; may be NULL. */
	void *owner;		      /**< Argument of destroy(). */
	uint32_t part_count;	      /**< Number of parts. */
	struct text_part parts[];     /**< Parts in the order of the text. */
};

/** Read position in a text. */
struct text_cursor {
	const struct shared_text *text; /**< Text that is read. */
	uint32_t part;			/**< Index of the part to read next. */
	size_t offset;			/**< Offset in that part, in bytes. */
	size_t left;			/**< Bytes left to read. */
};

/* Lifetime */

/** Creates a text with one reference from a copy of the list of parts. Returns
 * NULL without destroying the owner if memory allocation fails. */
struct shared_text *shared_text_create(const struct text_part *parts,
    uint32_t part_count, void (*destroy)(void *owner), void *owner);
/** Creates a text with one reference from a copy of @p data. Returns NULL if
 * memory allocation fails. */
struct shared_text *shared_text_copy(const char *data, size_t size);
/** Adds a reference and returns the text. */
struct shared_text *shared_text_ref(struct shared_text *text);
/** Drops a reference; the last one frees the text and destroys its owner. NULL
 * is ignored. */
void shared_text_unref(struct shared_text *text);

/* Reading */

/** Prepares to read at most @p size bytes from @p offset on, clamped to the
 * text's end. A NULL text is empty. */
void text_cursor_init(struct text_cursor *cursor,
    const struct shared_text *text, size_t offset, size_t size);
/** Copies the next bytes, at most @p max, to @p out. Returns their number, 0 at
 * the end. */
size_t text_cursor_read(struct text_cursor *cursor, char *out, size_t max);
/** Points @p data to the next bytes, at most @p max and all in one part, and
 * moves past them. Returns their number, 0 at the end. */
size_t text_cursor_next(
    struct text_cursor *cursor, size_t max, const char **data);

#endif
