#include "order_book.h"

#include <string.h>

#include "base/monotonic_clock.h"

/* An accepted order. */
struct order_entry {
	struct upstream_order order; /* Order as received; its verb is unset. */
	char verb[NAME_SIZE_MAX];    /* Name of the action to take. */
	int64_t started_ms;	     /* Time of arrival, monotonic clock. */
};

void
order_book_init(
    struct order_book *book, bool honours_fencing, uint32_t order_duration_ms)
{
	memset(book, 0, sizeof(*book));
	book->honours_fencing = honours_fencing;
	book->order_duration_ms = order_duration_ms;
	book->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	book->by_arrival = g_ptr_array_new_with_free_func(g_free);
	pthread_mutex_init(&book->lock, NULL);
}

void
order_book_finish(struct order_book *book)
{
	g_hash_table_destroy(book->by_id);
	g_ptr_array_free(book->by_arrival, TRUE);
	pthread_mutex_destroy(&book->lock);
}

enum error_code
order_book_submit(struct order_book *book, const struct upstream_order *order,
    const char *verb, enum upstream_order_state *state)
{
	struct order_entry *entry;
	enum error_code error;
	int64_t now_ms;

	error = ERROR_NONE;
	now_ms = clock_monotonic_ms();
	pthread_mutex_lock(&book->lock);
	if (book->honours_fencing &&
	    order->fencing_number < book->highest_fencing_number) {
		error = ERROR_STALE;
		goto done;
	}
	book->highest_fencing_number =
	    MAX(book->highest_fencing_number, order->fencing_number);
	entry = g_hash_table_lookup(book->by_id, order->id);
	if (entry == NULL) {
		entry = g_new0(struct order_entry, 1);
		entry->order = *order;
		g_strlcpy(entry->verb, verb, sizeof(entry->verb));
		entry->started_ms = now_ms;
		g_ptr_array_add(book->by_arrival, entry);
		g_hash_table_insert(book->by_id, entry->order.id, entry);
	}
	*state = now_ms - entry->started_ms >= book->order_duration_ms
		     ? UPSTREAM_ORDER_DONE
		     : UPSTREAM_ORDER_RUNNING;

done:
	pthread_mutex_unlock(&book->lock);
	return error;
}

json_t *
order_book_json(struct order_book *book)
{
	const struct order_entry *entry;
	json_t *list;
	int64_t now_ms;
	guint i;

	list = json_array();
	now_ms = clock_monotonic_ms();
	pthread_mutex_lock(&book->lock);
	for (i = 0; i < book->by_arrival->len; i++) {
		entry = g_ptr_array_index(book->by_arrival, i);
		json_array_append_new(list,
		    json_pack("{s:s, s:s, s:s, s:s, s:I, s:I}", "order",
			entry->order.id, "verb", entry->verb, "subject",
			entry->order.subject, "value", entry->order.value,
			"fencing", (json_int_t)entry->order.fencing_number,
			"age_ms", (json_int_t)(now_ms - entry->started_ms)));
	}
	pthread_mutex_unlock(&book->lock);
	return list;
}
