/**
 * @file disk.h
 * File operations on one data folder, as a table of function pointers that
 * tests can replace.
 *
 * File names are plain, without '/'. Only synced changes survive a crash:
 * sync() makes a file's contents durable, sync_folder() its name. A disk is
 * used by one thread only.
 */
#ifndef DISK_H
#define DISK_H

#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"
#include "config.h"

/** Callback for each file of a folder. */
struct disk_visitor {
	void (*visit)(void *context, const char *name); /**< Gets each name. */
	void *context; /**< First argument of visit(). */
};

/** Operations of a disk. Errors: ERROR_IO, ERROR_DISK_FULL, ERROR_NOT_FOUND,
 * ERROR_NO_MEMORY. */
struct disk_ops {
	/** Reads a whole file; the caller releases @p data with free(). */
	enum error_code (*read)(void *context, const char *name,
	    unsigned char **data, size_t *size);
	/** Appends bytes to a file, which is created if it doesn't exist. */
	enum error_code (*append)(
	    void *context, const char *name, const void *data, size_t size);
	/** Replaces a file's contents and syncs the file. Not atomic: after a
	 * crash the file may hold a part of the new contents. */
	enum error_code (*write)(
	    void *context, const char *name, const void *data, size_t size);
	/** Makes a file's contents durable. */
	enum error_code (*sync)(void *context, const char *name);
	/** Truncates a file to @p size bytes; creates it if it doesn't
	 * exist. */
	enum error_code (*truncate)(
	    void *context, const char *name, size_t size);
	/** Renames a file; replaces @p to if that exists. */
	enum error_code (*rename)(
	    void *context, const char *from, const char *to);
	/** Removes a file. */
	enum error_code (*remove)(void *context, const char *name);
	/** Calls @p visitor for each file of the folder, in any order. */
	enum error_code (*list)(void *context, struct disk_visitor visitor);
	/** Makes created, renamed and removed file names durable. */
	enum error_code (*sync_folder)(void *context);
};

/** A disk: the operations and the object that they work on. */
struct disk {
	const struct disk_ops *ops; /**< Operations on the data folder. */
	void *context;		    /**< First argument of the operations. */
};

/** An open folder of the file system. File descriptors are stored plus one,
 * so that all zero is a closed folder. */
struct disk_folder {
	int folder_fd; /**< Descriptor of the folder, plus one. */
	/** Descriptor of the file that was appended to last, plus one. */
	int append_fd;
	char append_name[NAME_SIZE_MAX]; /**< Name of that open file. */
};

/** Opens a folder, which is created if it doesn't exist; its parent must.
 * Errors: ERROR_IO, ERROR_NOT_FOUND, ERROR_DISK_FULL, ERROR_NO_MEMORY. */
enum error_code disk_folder_open(struct disk_folder *folder, const char *path);
/** Closes the folder and the file that is kept open in it. */
void disk_folder_close(struct disk_folder *folder);
/** Returns a disk that works on the folder, valid while that is open. */
struct disk disk_folder_disk(struct disk_folder *folder);

/** Replaces a file atomically and durably: after a crash it has either its
 * old or its new contents. Writes a temporary file, syncs it, renames it and
 * syncs the folder. Errors: as listed at struct disk_ops. */
enum error_code disk_replace(
    const struct disk *disk, const char *name, const void *data, size_t size);

#endif
