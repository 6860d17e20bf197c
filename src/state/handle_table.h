/**
 * @file handle_table.h
 * A bounded table of items of equal size, addressed by handles.
 *
 * A handle holds a slot's index and generation. The generation changes when
 * the slot's item is removed, so a stale handle finds nothing rather than the
 * item that uses the slot next.
 */
#ifndef HANDLE_TABLE_H
#define HANDLE_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"

/** Refers to an item; the zero handle refers to none. */
struct handle {
	uint32_t index; /**< Index of the item's slot. */
	/** Generation of the slot, odd while the slot holds an item. */
	uint32_t generation;
};

/** A table whose memory grows with its items, up to the capacity. */
struct handle_table {
	size_t item_size;      /**< Bytes of an item. */
	uint32_t capacity;     /**< Largest number of items. */
	uint32_t slot_count;   /**< Slots for which memory is allocated. */
	uint32_t item_count;   /**< Slots that hold an item. */
	uint32_t free_head;    /**< Index of the first free slot plus one, or 0
				  if no slot is free. */
	unsigned char *items;  /**< Array of the items, by slot. */
	uint32_t *generations; /**< Current generation of each slot. */
	/** For each free slot the index of the next one plus one, or 0. */
	uint32_t *next_free;
};

/* Setting up */

/** Initialises an empty table; allocates nothing yet. */
void handle_table_init(
    struct handle_table *table, size_t item_size, uint32_t capacity);
/** Frees the table's memory; every handle becomes stale. */
void handle_table_finish(struct handle_table *table);

/* Adding and removing */

/** Adds an item filled with zeros and returns its handle in @p handle.
 * Errors: ERROR_TABLE_FULL, ERROR_NO_MEMORY. */
enum error_code handle_table_add(
    struct handle_table *table, struct handle *handle);
/** Removes an item. Errors: ERROR_NOT_FOUND for a stale handle. */
enum error_code handle_table_remove(
    struct handle_table *table, struct handle handle);

/* Looking up */

/** Returns the item, or NULL for a stale handle. The pointer is valid until
 * an item is added, as the table may then be reallocated. */
void *handle_table_get(const struct handle_table *table, struct handle handle);
/** Advances @p handle to the next item; a zero handle to the first one.
 * Returns false after the last item. */
bool handle_table_next(const struct handle_table *table, struct handle *handle);
/** True if both handles refer to the same item. */
bool handle_equal(struct handle left, struct handle right);

#endif
