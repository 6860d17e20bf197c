#include "state/snapshot_file.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

/* First bytes of the file: "corysnp1" on a little-endian machine. */
#define SNAPSHOT_MAGIC 0x31706e7379726f63u

/* Header of the file; an array of struct snapshot_voter follows, then the
 * saved state. */
struct snapshot_header {
	uint64_t magic;	      /* SNAPSHOT_MAGIC. */
	uint64_t checksum;    /* XXH64 of all bytes after this field. */
	uint64_t index;	      /* Last log entry that the snapshot covers. */
	uint64_t term;	      /* Term of that entry. */
	int64_t time_ms;      /* Leader's time stamp of that entry. */
	uint64_t state_size;  /* Bytes of the saved state. */
	uint64_t voter_count; /* Elements of the array of voters. */
};

/* Identity of a voter as stored in the file. */
struct snapshot_voter {
	uint64_t host_id;     /* Host that votes. */
	uint64_t incarnation; /* Incarnation of its data folder. */
};

/* Offset of the first byte that the checksum covers. */
#define CHECKSUM_START_OFFSET offsetof(struct snapshot_header, index)

static enum error_code parse_snapshot(
    struct snapshot *snapshot, const unsigned char *data, size_t size);

enum error_code
snapshot_file_read(const struct disk *disk, struct snapshot *snapshot)
{
	enum error_code error;
	unsigned char *data;
	size_t size;

	memset(snapshot, 0, sizeof(*snapshot));
	error =
	    disk->ops->read(disk->context, SNAPSHOT_FILE_NAME, &data, &size);
	if (error != ERROR_NONE)
		return error;
	error = parse_snapshot(snapshot, data, size);
	free(data);
	return error;
}

enum error_code
snapshot_file_write(const struct disk *disk, const struct snapshot *snapshot)
{
	struct snapshot_header head = {.magic = SNAPSHOT_MAGIC,
	    .index = snapshot->index,
	    .term = snapshot->term,
	    .time_ms = snapshot->time_ms,
	    .state_size = snapshot->state_size,
	    .voter_count = snapshot->voters.count};
	struct snapshot_voter voter;
	enum error_code error;
	GByteArray *bytes;
	uint32_t i;

	bytes = g_byte_array_new();
	g_byte_array_append(bytes, (const guint8 *)&head, sizeof(head));
	for (i = 0; i < snapshot->voters.count; i++) {
		voter.host_id = snapshot->voters.voters[i].host_id;
		voter.incarnation = snapshot->voters.voters[i].incarnation;
		g_byte_array_append(
		    bytes, (const guint8 *)&voter, sizeof(voter));
	}
	if (snapshot->state_size > 0)
		g_byte_array_append(
		    bytes, snapshot->state, (guint)snapshot->state_size);
	head.checksum = XXH64(bytes->data + CHECKSUM_START_OFFSET,
	    bytes->len - CHECKSUM_START_OFFSET, 0);
	memcpy(bytes->data, &head, sizeof(head));
	error = disk_replace(disk, SNAPSHOT_FILE_NAME, bytes->data, bytes->len);
	g_byte_array_unref(bytes);
	return error;
}

void
snapshot_finish(struct snapshot *snapshot)
{
	free(snapshot->state);
	memset(snapshot, 0, sizeof(*snapshot));
}

static enum error_code
parse_snapshot(
    struct snapshot *snapshot, const unsigned char *data, size_t size)
{
	struct snapshot_header head;
	struct snapshot_voter voter;
	size_t at;
	uint32_t i;

	if (size < sizeof(head))
		return ERROR_CORRUPT;
	memcpy(&head, data, sizeof(head));
	if (head.magic != SNAPSHOT_MAGIC ||
	    head.checksum != XXH64(data + CHECKSUM_START_OFFSET,
				 size - CHECKSUM_START_OFFSET, 0) ||
	    head.voter_count > VOTERS_MAX)
		return ERROR_CORRUPT;
	at = sizeof(head) + (size_t)head.voter_count * sizeof(voter);
	if (at > size || head.state_size != size - at)
		return ERROR_CORRUPT;
	snapshot->state = malloc(size - at + 1);
	if (snapshot->state == NULL)
		return ERROR_NO_MEMORY;
	memcpy(snapshot->state, data + at, size - at);
	snapshot->state_size = size - at;
	snapshot->index = head.index;
	snapshot->term = head.term;
	snapshot->time_ms = head.time_ms;
	snapshot->voters.count = (uint32_t)head.voter_count;
	for (i = 0; i < snapshot->voters.count; i++) {
		memcpy(&voter, data + sizeof(head) + i * sizeof(voter),
		    sizeof(voter));
		snapshot->voters.voters[i].host_id = (uint32_t)voter.host_id;
		snapshot->voters.voters[i].incarnation = voter.incarnation;
	}
	return ERROR_NONE;
}
