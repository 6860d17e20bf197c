#include "state/voter_file.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "protocol/codec.h"

#define VOTER_FILE_VERSION 1 /* Format of the file. */

/* Message fields of the file; a checksum follows the message. */
enum voter_field {
	VOTER_FIELD_VERSION = 0,
	VOTER_FIELD_CLUSTER = 1,
	VOTER_FIELD_HOST = 2,
	VOTER_FIELD_INCARNATION = 3,
	VOTER_FIELD_TERM = 4,
	VOTER_FIELD_VOTE = 5,
	VOTER_FIELD_COUNT = 6,
};

static enum error_code read_fields(
    struct voter_file *file, const void *data, size_t size);

enum error_code
voter_file_read(const struct disk *disk, struct voter_file *file)
{
	enum error_code error;
	unsigned char *data;
	uint64_t checksum;
	size_t size;

	error = disk->ops->read(disk->context, VOTER_FILE_NAME, &data, &size);
	if (error != ERROR_NONE)
		return error;
	error = ERROR_CORRUPT;
	if (size < sizeof(checksum))
		goto out;
	size -= sizeof(checksum);
	memcpy(&checksum, data + size, sizeof(checksum));
	if (checksum != XXH64(data, size, 0))
		goto out;
	if (read_fields(file, data, size) == ERROR_NONE)
		error = ERROR_NONE;
out:
	free(data);
	return error;
}

enum error_code
voter_file_write(const struct disk *disk, const struct voter_file *file)
{
	struct message_writer writer;
	enum error_code error;
	uint64_t checksum;

	message_writer_init(&writer);
	message_begin_map(&writer, VOTER_FIELD_COUNT);
	message_put_uint(&writer, VOTER_FIELD_VERSION, VOTER_FILE_VERSION);
	message_put_uint(&writer, VOTER_FIELD_CLUSTER, file->cluster_id);
	message_put_uint(&writer, VOTER_FIELD_HOST, file->self.host_id);
	message_put_uint(
	    &writer, VOTER_FIELD_INCARNATION, file->self.incarnation);
	message_put_uint(&writer, VOTER_FIELD_TERM, file->term);
	message_put_uint(&writer, VOTER_FIELD_VOTE, file->voted_for);
	checksum = XXH64(message_data(&writer), message_size(&writer), 0);
	msgpack_sbuffer_write(
	    &writer.buffer, (const char *)&checksum, sizeof(checksum));
	error = disk_replace(disk, VOTER_FILE_NAME, message_data(&writer),
	    message_size(&writer));
	message_writer_finish(&writer);
	return error;
}

bool
voter_set_contains(const struct voter_set *set, struct voter voter)
{
	const struct voter *found;

	found = voter_set_find(set, voter.host_id);
	return found != NULL && found->incarnation == voter.incarnation;
}

const struct voter *
voter_set_find(const struct voter_set *set, uint32_t host_id)
{
	uint32_t i;

	for (i = 0; i < set->count; i++) {
		if (set->voters[i].host_id == host_id)
			return &set->voters[i];
	}
	return NULL;
}

uint32_t
voter_set_quorum(const struct voter_set *set)
{
	return set->count / 2 + 1;
}

static enum error_code
read_fields(struct voter_file *file, const void *data, size_t size)
{
	struct message_reader reader;
	enum error_code error;
	uint64_t version;

	error = message_reader_init(&reader, data, size);
	if (error != ERROR_NONE)
		return error;
	memset(file, 0, sizeof(*file));
	error = message_get_uint(&reader, VOTER_FIELD_VERSION, &version);
	if (error == ERROR_NONE && version != VOTER_FILE_VERSION)
		error = ERROR_UNSUPPORTED_VERSION;
	if (error == ERROR_NONE)
		error = message_get_uint(
		    &reader, VOTER_FIELD_CLUSTER, &file->cluster_id);
	if (error == ERROR_NONE)
		error = message_get_uint32(
		    &reader, VOTER_FIELD_HOST, &file->self.host_id);
	if (error == ERROR_NONE)
		error = message_get_uint(
		    &reader, VOTER_FIELD_INCARNATION, &file->self.incarnation);
	if (error == ERROR_NONE)
		error =
		    message_get_uint(&reader, VOTER_FIELD_TERM, &file->term);
	if (error == ERROR_NONE)
		error = message_get_uint32(
		    &reader, VOTER_FIELD_VOTE, &file->voted_for);
	message_reader_finish(&reader);
	return error;
}
