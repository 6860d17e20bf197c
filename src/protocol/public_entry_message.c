#include "protocol/public_entry_message.h"

#include <string.h>

/* What stands before a command's bytes, in the order of struct head. */
#define HEAD_NUMBERS 4
#define HEAD_SIZE    (HEAD_NUMBERS * sizeof(uint64_t))

struct head {
	uint64_t sequence;
	uint64_t index;
	int64_t time_ms;
	uint64_t size;
};

static void read_head(const unsigned char *bytes, struct head *head);

void
public_entry_write(GByteArray *bytes, const struct public_entry *entry)
{
	uint64_t numbers[HEAD_NUMBERS];
	gconstpointer data;
	gsize size;

	data = g_bytes_get_data(entry->command, &size);
	numbers[0] = GUINT64_TO_LE(entry->sequence);
	numbers[1] = GUINT64_TO_LE(entry->index);
	numbers[2] = GUINT64_TO_LE((uint64_t)entry->time_ms);
	numbers[3] = GUINT64_TO_LE(size);
	g_byte_array_append(bytes, (const guint8 *)numbers, sizeof(numbers));
	g_byte_array_append(bytes, data, (guint)size);
}

size_t
public_entry_size(const struct public_entry *entry)
{
	return HEAD_SIZE + g_bytes_get_size(entry->command);
}

enum error_code
public_entries_apply(
    struct replicated_state *state, const void *bytes, size_t size)
{
	const unsigned char *at = bytes;
	struct replicated_entry entry;
	enum error_code error;
	struct head head;

	while (size > 0) {
		if (size < HEAD_SIZE)
			return ERROR_MALFORMED;
		read_head(at, &head);
		if (head.size > size - HEAD_SIZE)
			return ERROR_MALFORMED;
		entry.index = head.index;
		entry.time_ms = head.time_ms;
		entry.data = at + HEAD_SIZE;
		entry.size = head.size;
		error =
		    replicated_state_apply_public(state, head.sequence, &entry);
		if (error != ERROR_NONE && error != ERROR_STALE)
			return error;
		at += HEAD_SIZE + head.size;
		size -= HEAD_SIZE + head.size;
	}
	return ERROR_NONE;
}

static void
read_head(const unsigned char *bytes, struct head *head)
{
	uint64_t numbers[HEAD_NUMBERS];

	memcpy(numbers, bytes, sizeof(numbers));
	head->sequence = GUINT64_FROM_LE(numbers[0]);
	head->index = GUINT64_FROM_LE(numbers[1]);
	head->time_ms = (int64_t)GUINT64_FROM_LE(numbers[2]);
	head->size = GUINT64_FROM_LE(numbers[3]);
}
