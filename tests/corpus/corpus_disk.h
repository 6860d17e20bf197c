/**
 * @file corpus_disk.h
 * The data folder of a voter: voter file, journal and snapshot.
 */
#ifndef CORPUS_DISK_H
#define CORPUS_DISK_H

#include <glib.h>

#include "base/error_code.h"

/** Runs a cluster of one voter in a folder until it has a snapshot and entries
 * after it. */
enum error_code corpus_disk_write(const char *folder);
/** Opens such a folder as a voter does at its start and waits until it leads.
 * Appends what it has restored to @p found: identity, voters and all commands
 * with their index. */
enum error_code corpus_disk_read(const char *folder, GByteArray *found);

#endif
