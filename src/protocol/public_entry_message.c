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

/* Progress of public_entries_read(). */
struct entries_read {
	GByteArray *bytes; /* Encoded entries. */
	size_t max;	   /* Most bytes to read. */
	size_t start;	   /* Length of bytes before the first entry. */
	uint64_t last;	   /* Sequence of the last entry read. */
	/* Sequence up to which superseded documents need the entries. */
	uint64_t required;
	uint64_t published; /* Later entries are not read. */
	bool is_full;
};

static void append_entry(void *context, const struct public_entry *entry);
static void write_entry(GByteArray *bytes, const struct public_entry *entry);
static void read_header(const unsigned char *bytes, struct header *header);

enum error_code
public_entries_read(const struct replicated_state *state, uint64_t from,
    uint64_t published, size_t max, GByteArray *bytes, uint64_t *last)
{
	struct entries_read read = {.bytes = bytes,
	    .max = max,
	    .start = bytes->len,
	    .last = from - 1,
	    .published = published};
	enum error_code error;

	error = replicated_state_for_each_public(
	    state, from - 1, append_entry, &read);
	/* The entry that replaces a document comes with a later call. */
	if (read.required > read.last) {
		g_byte_array_set_size(bytes, (guint)read.start);
		read.last = from - 1;
	}
	*last = read.last;
	return error;
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
append_entry(void *context, const struct public_entry *entry)
{
	struct entries_read *read = context;
	size_t used;

	if (read->is_full || entry->sequence > read->published)
		return;
	used = read->bytes->len - read->start;
	if (used > 0 && entry->sequence > read->required &&
	    used + HEADER_SIZE + g_bytes_get_size(entry->command) > read->max) {
		read->is_full = true;
		return;
	}
	write_entry(read->bytes, entry);
	read->last = entry->sequence;
	read->required = MAX(read->required, entry->superseded_by);
}

static void
write_entry(GByteArray *bytes, const struct public_entry *entry)
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
