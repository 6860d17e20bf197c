#include "protocol/public_entry_message.h"

#include <string.h>

/* Little-endian 64-bit numbers in an entry's header: the members of struct
 * header in their order. */
#define HEADER_NUMBERS 4
/* Bytes of an entry's header. */
#define HEADER_SIZE (HEADER_NUMBERS * sizeof(uint64_t))

/* Header of an entry; the encoded command follows it. */
struct header {
	uint64_t sequence; /* Public sequence number, rising by one. */
	uint64_t index;	   /* Index of the entry in the log. */
	int64_t time_ms;   /* Leader's time stamp, ms since the epoch. */
	uint64_t size;	   /* Bytes of the command. */
};

static void read_header(const unsigned char *bytes, struct header *header);

void
public_entry_write(GByteArray *bytes, const struct public_entry *entry)
{
	uint64_t numbers[HEADER_NUMBERS];
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
	return HEADER_SIZE + g_bytes_get_size(entry->command);
}

enum error_code
public_entries_apply(
    struct replicated_state *state, const void *bytes, size_t size)
{
	const unsigned char *next = bytes;
	struct replicated_entry entry;
	enum error_code error;
	struct header header;

	while (size > 0) {
		if (size < HEADER_SIZE)
			return ERROR_MALFORMED;
		read_header(next, &header);
		if (header.size > size - HEADER_SIZE)
			return ERROR_MALFORMED;
		entry.index = header.index;
		entry.time_ms = header.time_ms;
		entry.data = next + HEADER_SIZE;
		entry.size = header.size;
		error = replicated_state_apply_public(
		    state, header.sequence, &entry);
		if (error != ERROR_NONE && error != ERROR_STALE)
			return error;
		next += HEADER_SIZE + header.size;
		size -= HEADER_SIZE + header.size;
	}
	return ERROR_NONE;
}

static void
read_header(const unsigned char *bytes, struct header *header)
{
	uint64_t numbers[HEADER_NUMBERS];

	memcpy(numbers, bytes, sizeof(numbers));
	header->sequence = GUINT64_FROM_LE(numbers[0]);
	header->index = GUINT64_FROM_LE(numbers[1]);
	header->time_ms = (int64_t)GUINT64_FROM_LE(numbers[2]);
	header->size = GUINT64_FROM_LE(numbers[3]);
}
