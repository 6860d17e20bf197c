/**
 * @file host_documents.h
 * Replicated documents, single configuration entries and heartbeats of
 * upstreams, for request threads.
 *
 * Documents are stored compressed. A read first commits a barrier command to
 * the replicated log and waits until this host has applied it, so it returns
 * every write that was acknowledged before the read began.
 */
#ifndef HOST_DOCUMENTS_H
#define HOST_DOCUMENTS_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "host/host.h"

/** Largest size of an uncompressed document in bytes. */
#define DOCUMENT_SIZE_MAX ((size_t)16 * 1024 * 1024)

/** Writes a document; does nothing unless its version is newer than the stored
 * one. Errors: those of host_submit(), ERROR_TOO_LARGE, ERROR_NO_MEMORY. */
enum error_code host_put_document(struct host *host, const char *name,
    uint64_t version, const void *text, size_t size, int64_t timeout_ms);
/** Reads the newest version of a document. The caller unreferences @p text.
 * Errors: ERROR_NOT_FOUND, ERROR_CORRUPT if it can't be decompressed, those of
 * host_submit(), ERROR_TIMEOUT if this host's state is too far behind. */
enum error_code host_read_document(struct host *host, const char *name,
    int64_t timeout_ms, uint64_t *version, GBytes **text);
/** Reads the revision of the configuration as far as this host knows it. Errors:
 * those of mailbox_await(). */
enum error_code host_read_revision(struct host *host, uint64_t *revision);
/** Sets one entry of the configuration, or deletes it if @p value is NULL, unless
 * the configuration is no longer at @p *revision. Setting the same value again
 * is no error. Stores the revision after it. Errors: ERROR_REVISION_CONFLICT,
 * those of host_submit() and of the command. */
enum error_code host_set_entry(struct host *host, const char *key,
    const char *value, int64_t timeout_ms, uint64_t *revision);
/** Handles an upstream's heartbeat, which carries its whole record: announces
 * the upstream if the record has changed, otherwise renews it. An outdated
 * record is ignored without an error. Errors: those of
 * upstream_directory_announce(). */
enum error_code host_heartbeat(
    struct host *host, const struct upstream_record *record);
/** Removes an upstream's incarnation, also one that this host has not heard of
 * yet; 0 removes the known one. The removal of an incarnation that is over
 * already succeeds. Errors: ERROR_NOT_FOUND for an unknown upstream, ERROR_TIMEOUT
 * if too few other hosts have heard of it in time. */
enum error_code host_remove_upstream(
    struct host *host, const char *name, uint64_t incarnation);

/* Compression */

/** Compresses a document. The caller unreferences the result, which is NULL if
 * compression failed. */
GBytes *document_pack(const void *text, size_t size);
/** Decompresses a document. The caller unreferences the result, which is NULL
 * if the bytes aren't a compressed document of an allowed size. */
GBytes *document_unpack(const void *packed, size_t size);

#endif
