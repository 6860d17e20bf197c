/**
 * @file host_documents.h
 * Replicated documents and orders of a whole kind, for request threads.
 *
 * A document is kept compressed. Reading one goes through the log, so that
 * what is read is never older than what was acknowledged before the read.
 */
#ifndef HOST_DOCUMENTS_H
#define HOST_DOCUMENTS_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "service/host.h"

#define DOCUMENT_SIZE_MAX ((size_t)16 * 1024 * 1024) /**< Bytes, unpacked. */

/** Puts a document; one whose version is not newer changes nothing. Errors:
 * those of host_submit(), ERROR_TOO_LARGE. */
enum error_code host_put_document(struct host *host, const char *name,
    uint64_t version, const void *text, size_t size, int64_t timeout_ms);
/** Reads the newest one; the caller unrefs @p text. Errors: ERROR_NOT_FOUND,
 * those of host_submit(), ERROR_TIMEOUT if this host is too far behind. */
enum error_code host_read_document(struct host *host, const char *name,
    int64_t timeout_ms, uint64_t *version, GBytes **text);
/** Sets one entry of the configuration, or deletes it if @p value is NULL;
 * the same once more is no error. Errors: those of host_submit(). */
enum error_code host_set_entry(
    struct host *host, const char *key, const char *value, int64_t timeout_ms);
/** Takes what an upstream says of itself: announces it if anything changed,
 * else renews it. What is older than is known changes nothing and is no
 * error. Errors: of upstream_directory_announce(). */
enum error_code host_heartbeat(
    struct host *host, const struct upstream_record *record);
/** An upstream is gone; @p incarnation 0 stands for the one known. Errors:
 * ERROR_NOT_FOUND. */
enum error_code host_remove_upstream(
    struct host *host, const char *name, uint64_t incarnation);

/** Sends a report of work to the other entry hosts; nobody waits. */
void host_spread_work(struct host *host, const void *body, size_t size);

/* Contents */

/** Packs a text; the caller unrefs it. */
GBytes *document_pack(const void *text, size_t size);
/** Unpacks it; NULL for bytes that are no packed text. */
GBytes *document_unpack(const void *packed, size_t size);

#endif
