/**
 * @file public_entry_message.h
 * Encoding of the public commands of the replicated state in the configuration
 * feed.
 */
#ifndef PUBLIC_ENTRY_MESSAGE_H
#define PUBLIC_ENTRY_MESSAGE_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "state/replicated_state.h"

/** Appends the encoded entry to @p bytes. */
void public_entry_write(GByteArray *bytes, const struct public_entry *entry);
/** Returns the number of bytes that public_entry_write() appends. */
size_t public_entry_size(const struct public_entry *entry);
/** Decodes a sequence of entries and applies those that the state has not
 * applied yet. Stops at the first error, after which the entries before it stay
 * applied. Errors: ERROR_MALFORMED, ERROR_NOT_FOUND if earlier entries are
 * missing in the state, and others of replicated_state_apply_public(). */
enum error_code public_entries_apply(
    struct replicated_state *state, const void *bytes, size_t size);

#endif
