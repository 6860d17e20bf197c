#include "state/disk.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define FILE_MODE	 0600	/* Only the owner may read and write. */
#define FOLDER_MODE	 0700	/* Only the owner may enter. */
#define TEMPORARY_SUFFIX ".tmp" /* Added to a name by disk_replace(). */

static enum error_code read_file(
    void *context, const char *name, unsigned char **data, size_t *size);
static enum error_code append_file(
    void *context, const char *name, const void *data, size_t size);
static enum error_code write_file(
    void *context, const char *name, const void *data, size_t size);
static enum error_code sync_file(void *context, const char *name);
static enum error_code truncate_file(
    void *context, const char *name, size_t size);
static enum error_code rename_file(
    void *context, const char *from, const char *to);
static enum error_code remove_file(void *context, const char *name);
static enum error_code list_folder(void *context, struct disk_visitor visitor);
static enum error_code sync_folder(void *context);
static enum error_code open_for_append(
    struct disk_folder *folder, const char *name, int *fd);
static void close_append_file(struct disk_folder *folder);
static enum error_code read_all(int fd, unsigned char *data, size_t size);
static enum error_code write_all(int fd, const void *data, size_t size);
static enum error_code convert_errno(int number);

static const struct disk_ops folder_ops = {read_file, append_file, write_file,
    sync_file, truncate_file, rename_file, remove_file, list_folder,
    sync_folder};

enum error_code
disk_folder_open(struct disk_folder *folder, const char *path)
{
	int fd;

	memset(folder, 0, sizeof(*folder));
	if (mkdir(path, FOLDER_MODE) != 0 && errno != EEXIST)
		return convert_errno(errno);
	fd = open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (fd < 0)
		return convert_errno(errno);
	folder->folder_fd = fd + 1;
	return ERROR_NONE;
}

void
disk_folder_close(struct disk_folder *folder)
{
	close_append_file(folder);
	if (folder->folder_fd > 0)
		close(folder->folder_fd - 1);
	memset(folder, 0, sizeof(*folder));
}

struct disk
disk_folder_disk(struct disk_folder *folder)
{
	return (struct disk){&folder_ops, folder};
}

enum error_code
disk_replace(
    const struct disk *disk, const char *name, const void *data, size_t size)
{
	char temporary[NAME_SIZE_MAX + sizeof(TEMPORARY_SUFFIX)];
	enum error_code error;

	snprintf(temporary, sizeof(temporary), "%s" TEMPORARY_SUFFIX, name);
	error = disk->ops->write(disk->context, temporary, data, size);
	if (error == ERROR_NONE)
		error = disk->ops->rename(disk->context, temporary, name);
	if (error != ERROR_NONE) {
		/* On a full disk, what was written takes up the room that
		 * smaller files need. */
		(void)disk->ops->remove(disk->context, temporary);
		return error;
	}
	return disk->ops->sync_folder(disk->context);
}

static enum error_code
read_file(void *context, const char *name, unsigned char **data, size_t *size)
{
	struct disk_folder *folder = context;
	enum error_code error;
	struct stat status;
	int fd;

	*data = NULL;
	*size = 0;
	fd = openat(folder->folder_fd - 1, name, O_RDONLY | O_CLOEXEC);
	if (fd < 0)
		return convert_errno(errno);
	error = ERROR_IO;
	if (fstat(fd, &status) != 0)
		goto out;
	error = ERROR_NO_MEMORY;
	*data = malloc((size_t)status.st_size + 1);
	if (*data == NULL)
		goto out;
	error = read_all(fd, *data, (size_t)status.st_size);
	if (error != ERROR_NONE)
		goto out;
	*size = (size_t)status.st_size;
out:
	if (error != ERROR_NONE) {
		free(*data);
		*data = NULL;
	}
	close(fd);
	return error;
}

static enum error_code
append_file(void *context, const char *name, const void *data, size_t size)
{
	struct disk_folder *folder = context;
	enum error_code error;
	int fd;

	error = open_for_append(folder, name, &fd);
	if (error != ERROR_NONE)
		return error;
	return write_all(fd, data, size);
}

static enum error_code
write_file(void *context, const char *name, const void *data, size_t size)
{
	struct disk_folder *folder = context;
	enum error_code error;
	int fd;

	fd = openat(folder->folder_fd - 1, name,
	    O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FILE_MODE);
	if (fd < 0)
		return convert_errno(errno);
	error = write_all(fd, data, size);
	if (error == ERROR_NONE && fsync(fd) != 0)
		error = convert_errno(errno);
	if (close(fd) != 0 && error == ERROR_NONE)
		error = convert_errno(errno);
	return error;
}

static enum error_code
sync_file(void *context, const char *name)
{
	struct disk_folder *folder = context;
	enum error_code error;
	int fd;

	error = open_for_append(folder, name, &fd);
	if (error != ERROR_NONE)
		return error;
	return fdatasync(fd) == 0 ? ERROR_NONE : convert_errno(errno);
}

static enum error_code
truncate_file(void *context, const char *name, size_t size)
{
	struct disk_folder *folder = context;
	enum error_code error;
	int fd;

	error = open_for_append(folder, name, &fd);
	if (error != ERROR_NONE)
		return error;
	return ftruncate(fd, (off_t)size) == 0 ? ERROR_NONE
					       : convert_errno(errno);
}

static enum error_code
rename_file(void *context, const char *from, const char *to)
{
	struct disk_folder *folder = context;

	close_append_file(folder);
	if (renameat(folder->folder_fd - 1, from, folder->folder_fd - 1, to) !=
	    0)
		return convert_errno(errno);
	return ERROR_NONE;
}

static enum error_code
remove_file(void *context, const char *name)
{
	struct disk_folder *folder = context;

	close_append_file(folder);
	if (unlinkat(folder->folder_fd - 1, name, 0) != 0)
		return convert_errno(errno);
	return ERROR_NONE;
}

static enum error_code
list_folder(void *context, struct disk_visitor visitor)
{
	struct disk_folder *folder = context;
	struct dirent *entry;
	DIR *listing;
	int fd;

	fd = openat(
	    folder->folder_fd - 1, ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (fd < 0)
		return convert_errno(errno);
	listing = fdopendir(fd);
	if (listing == NULL) {
		close(fd);
		return ERROR_IO;
	}
	while ((entry = readdir(listing)) != NULL) {
		if (entry->d_name[0] != '.')
			visitor.visit(visitor.context, entry->d_name);
	}
	closedir(listing);
	return ERROR_NONE;
}

static enum error_code
sync_folder(void *context)
{
	struct disk_folder *folder = context;

	if (fsync(folder->folder_fd - 1) != 0)
		return convert_errno(errno);
	return ERROR_NONE;
}

/* Opens a file for appending. It stays open until another one is needed, as
 * nearly all appends go to one file, the journal's last segment. */
static enum error_code
open_for_append(struct disk_folder *folder, const char *name, int *fd)
{
	if (folder->append_fd > 0 && strcmp(folder->append_name, name) == 0) {
		*fd = folder->append_fd - 1;
		return ERROR_NONE;
	}
	if (strlen(name) >= sizeof(folder->append_name))
		return ERROR_INVALID_ARGUMENT;
	close_append_file(folder);
	*fd = openat(folder->folder_fd - 1, name,
	    O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, FILE_MODE);
	if (*fd < 0)
		return convert_errno(errno);
	folder->append_fd = *fd + 1;
	memcpy(folder->append_name, name, strlen(name) + 1);
	return ERROR_NONE;
}

static void
close_append_file(struct disk_folder *folder)
{
	if (folder->append_fd > 0)
		close(folder->append_fd - 1);
	folder->append_fd = 0;
}

static enum error_code
read_all(int fd, unsigned char *data, size_t size)
{
	ssize_t count;
	size_t at;

	for (at = 0; at < size; at += (size_t)count) {
		count = read(fd, data + at, size - at);
		if (count < 0 && errno == EINTR)
			count = 0;
		else if (count <= 0)
			return ERROR_IO;
	}
	return ERROR_NONE;
}

static enum error_code
write_all(int fd, const void *data, size_t size)
{
	const unsigned char *bytes = data;
	ssize_t count;
	size_t at;

	for (at = 0; at < size; at += (size_t)count) {
		count = write(fd, bytes + at, size - at);
		if (count < 0 && errno == EINTR)
			count = 0;
		else if (count < 0)
			return convert_errno(errno);
	}
	return ERROR_NONE;
}

static enum error_code
convert_errno(int number)
{
	switch (number) {
	case ENOSPC:
	case EDQUOT:
		return ERROR_DISK_FULL;
	case ENOENT:
		return ERROR_NOT_FOUND;
	case ENOMEM:
		return ERROR_NO_MEMORY;
	default:
		return ERROR_IO;
	}
}
