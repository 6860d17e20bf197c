#include "order_book.h"

#include <string.h>

#include "base/monotonic_clock.h"

/* An order that was taken. */
struct book_entry {
	struct upstream_order order;
	char verb[NAME_SIZE_MAX];
	int64_t begun_ms;
};

void
order_book_init(
    struct order_book *book, bool honours_fencing, uint32_t order_ms)
{
	memset(book, 0, sizeof(*book));
	book->honours_fencing = honours_fencing;
	book->order_ms = order_ms;
	book->orders = g_hash_table_new(g_str_hash, g_str_equal);
	book->log = g_ptr_array_new_with_free_func(g_free);
	pthread_mutex_init(&book->lock, NULL);
}

void
order_book_finish(struct order_book *book)
{
	g_hash_table_destroy(book->orders);
	g_ptr_array_free(book->log, TRUE);
	pthread_mutex_destroy(&book->lock);
}

enum error_code
order_book_give(struct order_book *book, const struct upstream_order *order,
    const char *verb, enum upstream_order_state *state)
{
	struct book_entry *entry;
	enum error_code error;
	int64_t now_ms;

	error = ERROR_NONE;
	now_ms = clock_monotonic_ms();
	pthread_mutex_lock(&book->lock);
	if (book->honours_fencing &&
	    order->fencing_number < book->highest_fencing) {
		error = ERROR_STALE;
		goto done;
	}
	book->highest_fencing =
	    MAX(book->highest_fencing, order->fencing_number);
	entry = g_hash_table_lookup(book->orders, order->id);
	if (entry == NULL) {
		entry = g_new0(struct book_entry, 1);
		entry->order = *order;
		g_strlcpy(entry->verb, verb, sizeof(entry->verb));
		entry->begun_ms = now_ms;
		g_ptr_array_add(book->log, entry);
		g_hash_table_insert(book->orders, entry->order.id, entry);
	}
	*state = now_ms - entry->begun_ms >= book->order_ms
		     ? UPSTREAM_ORDER_DONE
		     : UPSTREAM_ORDER_RUNNING;

done:
	pthread_mutex_unlock(&book->lock);
	return error;
}

json_t *
order_book_json(struct order_book *book)
{
	const struct book_entry *entry;
	json_t *list;
	int64_t now_ms;
	guint i;

	list = json_array();
	now_ms = clock_monotonic_ms();
	pthread_mutex_lock(&book->lock);
	for (i = 0; i < book->log->len; i++) {
		entry = g_ptr_array_index(book->log, i);
		json_array_append_new(list,
		    json_pack("{s:s, s:s, s:s, s:s, s:I, s:I}", "order",
			entry->order.id, "verb", entry->verb, "subject",
			entry->order.subject, "value", entry->order.value,
			"fencing", (json_int_t)entry->order.fencing_number,
			"age_ms", (json_int_t)(now_ms - entry->begun_ms)));
	}
	pthread_mutex_unlock(&book->lock);
	return list;
}
