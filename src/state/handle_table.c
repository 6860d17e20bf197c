#include "state/handle_table.h"

#include <stdlib.h>
#include <string.h>

#define INITIAL_SLOT_COUNT 16 /* Slots allocated for the first item. */

static enum error_code grow_table(struct handle_table *table);

void
handle_table_init(
    struct handle_table *table, size_t item_size, uint32_t capacity)
{
	memset(table, 0, sizeof(*table));
	table->item_size = item_size;
	table->capacity = capacity;
}

void
handle_table_finish(struct handle_table *table)
{
	free(table->items);
	free(table->generations);
	free(table->next_free);
	memset(table, 0, sizeof(*table));
}

enum error_code
handle_table_add(struct handle_table *table, struct handle *handle)
{
	enum error_code error;
	uint32_t index;

	if (table->free_head == 0) {
		error = grow_table(table);
		if (error != ERROR_NONE)
			return error;
	}
	index = table->free_head - 1;
	table->free_head = table->next_free[index];
	table->generations[index]++;
	table->item_count++;
	memset(table->items + index * table->item_size, 0, table->item_size);
	handle->index = index;
	handle->generation = table->generations[index];
	return ERROR_NONE;
}

enum error_code
handle_table_remove(struct handle_table *table, struct handle handle)
{
	if (handle_table_get(table, handle) == NULL)
		return ERROR_NOT_FOUND;
	table->generations[handle.index]++;
	table->next_free[handle.index] = table->free_head;
	table->free_head = handle.index + 1;
	table->item_count--;
	return ERROR_NONE;
}

void *
handle_table_get(const struct handle_table *table, struct handle handle)
{
	if (handle.generation % 2 == 0 || handle.index >= table->slot_count)
		return NULL;
	if (table->generations[handle.index] != handle.generation)
		return NULL;
	return table->items + handle.index * table->item_size;
}

bool
handle_table_next(const struct handle_table *table, struct handle *handle)
{
	uint32_t index;

	index = handle->generation == 0 ? 0 : handle->index + 1;
	for (; index < table->slot_count; index++) {
		if (table->generations[index] % 2 == 0)
			continue;
		handle->index = index;
		handle->generation = table->generations[index];
		return true;
	}
	return false;
}

bool
handle_equal(struct handle left, struct handle right)
{
	return left.index == right.index && left.generation == right.generation;
}

static enum error_code
grow_table(struct handle_table *table)
{
	unsigned char *items;
	uint32_t *generations, *next_free;
	uint32_t slots, index;

	slots =
	    table->slot_count == 0 ? INITIAL_SLOT_COUNT : table->slot_count * 2;
	if (slots > table->capacity)
		slots = table->capacity;
	if (slots == table->slot_count)
		return ERROR_TABLE_FULL;
	items = realloc(table->items, slots * table->item_size);
	if (items == NULL)
		return ERROR_NO_MEMORY;
	table->items = items;
	generations = realloc(table->generations, slots * sizeof(*generations));
	if (generations == NULL)
		return ERROR_NO_MEMORY;
	table->generations = generations;
	next_free = realloc(table->next_free, slots * sizeof(*next_free));
	if (next_free == NULL)
		return ERROR_NO_MEMORY;
	table->next_free = next_free;
	/* Goes backwards, so that slots with low indexes are used first. */
	for (index = slots; index > table->slot_count; index--) {
		generations[index - 1] = 0;
		next_free[index - 1] = table->free_head;
		table->free_head = index;
	}
	table->slot_count = slots;
	return ERROR_NONE;
}
