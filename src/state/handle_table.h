/**
 * @file handle_table.h
 * A bounded table of equal-sized items, reached by small handles.
 *
 * A handle names a slot and its generation, so a handle kept after its item
 * was removed finds nothing instead of the slot's next item.
 */
#ifndef HANDLE_TABLE_H
#define HANDLE_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"

/** Names an item. The zero handle names nothing. */
struct handle {
	uint32_t index;	     /**< Slot. */
	uint32_t generation; /**< Odd while the slot is in use. */
};

/** The table; memory for items grows up to the capacity. */
struct handle_table {
	size_t item_size;      /**< Bytes of an item. */
	uint32_t capacity;     /**< Most items at a time. */
	uint32_t slots;	       /**< Slots that have memory. */
	uint32_t count;	       /**< Items in use. */
	uint32_t free_head;    /**< First free slot plus one, 0 for none. */
	unsigned char *items;  /**< slots times item_size bytes. */
	uint32_t *generations; /**< One for each slot. */
	uint32_t *next_free;   /**< Chain of free slots, each plus one. */
};

/* Setting up */

/** Prepares an empty table; takes no memory yet. */
void handle_table_init(
    struct handle_table *table, size_t item_size, uint32_t capacity);
/** Gives back all memory; every handle becomes stale. */
void handle_table_finish(struct handle_table *table);

/* Adding and removing */

/** Adds a zeroed item. Errors: ERROR_TABLE_FULL, ERROR_NO_MEMORY. */
enum error_code handle_table_add(
    struct handle_table *table, struct handle *handle);
/** Removes an item. Errors: ERROR_NOT_FOUND for a stale handle. */
enum error_code handle_table_remove(
    struct handle_table *table, struct handle handle);

/* Looking up */

/** The item, or NULL for a stale handle; moves when the table grows. */
void *handle_table_get(const struct handle_table *table, struct handle handle);
/** Steps to the next item after @p handle; start from the zero handle. */
bool handle_table_next(const struct handle_table *table, struct handle *handle);
/** True if the two handles name the same item. */
bool handle_equal(struct handle left, struct handle right);

#endif
