/**
 * @file disk.h
 * The files of one data folder, behind a table of function pointers.
 *
 * Names are plain file names without '/'. Nothing lasts before it is synced:
 * a file's bytes by sync(), its name by sync_folder(). One thread uses a disk.
 */
#ifndef DISK_H
#define DISK_H

#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"
#include "config.h"

/** Called for each file of a folder. */
struct disk_visitor {
	void (*visit)(void *context, const char *name); /**< What to call. */
	void *context; /**< Passed back to visit(). */
};

/** What a disk can do. Errors: ERROR_IO, ERROR_DISK_FULL, ERROR_NOT_FOUND. */
struct disk_ops {
	/** Reads a whole file; the caller gives @p data back with free(). */
	enum error_code (*read)(void *context, const char *name,
	    unsigned char **data, size_t *size);
	/** Adds bytes at the end; makes the file when there is none. */
	enum error_code (*append)(
	    void *context, const char *name, const void *data, size_t size);
	/** Replaces a file's bytes and syncs it; not atomic. */
	enum error_code (*write)(
	    void *context, const char *name, const void *data, size_t size);
	/** Makes a file's bytes last. */
	enum error_code (*sync)(void *context, const char *name);
	/** Cuts a file to @p size bytes; makes it when there is none. */
	enum error_code (*truncate)(
	    void *context, const char *name, size_t size);
	/** Renames, replacing @p to. */
	enum error_code (*rename)(
	    void *context, const char *from, const char *to);
	/** Removes a file. */
	enum error_code (*remove)(void *context, const char *name);
	/** Visits each file, in any order. */
	enum error_code (*list)(void *context, struct disk_visitor visitor);
	/** Makes names, renames and removals last. */
	enum error_code (*sync_folder)(void *context);
};

/** A disk as the parts take it. */
struct disk {
	const struct disk_ops *ops; /**< What to call. */
	void *context;		    /**< Passed back to each. */
};

/** A real folder. Zero is a closed one; fds are kept plus one. */
struct disk_folder {
	int folder_fd;			 /**< The folder, plus one. */
	int append_fd;			 /**< File appended last, plus one. */
	char append_name[NAME_SIZE_MAX]; /**< Its name. */
};

/** Opens a folder, making it when there is none. Errors: ERROR_IO. */
enum error_code disk_folder_open(struct disk_folder *folder, const char *path);
/** Closes it. */
void disk_folder_close(struct disk_folder *folder);
/** The folder as a disk. */
struct disk disk_folder_disk(struct disk_folder *folder);

/** Writes a file so that it is whole or as before: temporary file, sync,
 * rename, sync of the folder. */
enum error_code disk_replace(
    const struct disk *disk, const char *name, const void *data, size_t size);

#endif
