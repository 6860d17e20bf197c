#include "kv_table.h"

#include <inttypes.h>
#include <stdio.h>

#include "answer.h"

void
kv_table_init(struct kv_table *table)
{
	table->reserved_tokens = 0;
	table->entries =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

void
kv_table_finish(struct kv_table *table)
{
	g_hash_table_destroy(table->entries);
}

enum error_code
kv_table_reserve(struct kv_table *table, uint64_t id, uint64_t tokens,
    uint64_t available, int64_t now_ms)
{
	struct kv_reservation *entry;

	entry = kv_table_find(table, id);
	if (entry != NULL)
		return entry->tokens == tokens ? ERROR_NONE
					       : ERROR_ALREADY_EXISTS;
	if (tokens > available)
		return ERROR_NO_CAPACITY;
	entry = g_new0(struct kv_reservation, 1);
	entry->id = id;
	entry->tokens = tokens;
	entry->reserved_ms = now_ms;
	entry->content_digest = ANSWER_DIGEST_INITIAL;
	g_hash_table_insert(table->entries, &entry->id, entry);
	table->reserved_tokens += tokens;
	return ERROR_NONE;
}

enum error_code
kv_table_release(struct kv_table *table, uint64_t id)
{
	struct kv_reservation *entry;

	entry = kv_table_find(table, id);
	if (entry == NULL)
		return ERROR_NOT_FOUND;
	table->reserved_tokens -= entry->tokens;
	g_hash_table_remove(table->entries, &id);
	return ERROR_NONE;
}

struct kv_reservation *
kv_table_find(struct kv_table *table, uint64_t id)
{
	return g_hash_table_lookup(table->entries, &id);
}

json_t *
kv_table_json(struct kv_table *table, int64_t now_ms)
{
	const struct kv_reservation *entry;
	GHashTableIter iterator;
	gpointer value;
	char id[17];
	json_t *list;

	list = json_array();
	g_hash_table_iter_init(&iterator, table->entries);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		entry = value;
		snprintf(id, sizeof(id), "%016" PRIx64, entry->id);
		json_array_append_new(
		    list, json_pack("{s:s, s:I, s:I}", "reservation", id,
			      "tokens", (json_int_t)entry->tokens, "age_ms",
			      (json_int_t)(now_ms - entry->reserved_ms)));
	}
	return list;
}
