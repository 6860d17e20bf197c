/**
 * @file public_entry_message.h
 * Public commands of the replicated state, as the feed carries them.
 */
#ifndef PUBLIC_ENTRY_MESSAGE_H
#define PUBLIC_ENTRY_MESSAGE_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "state/replicated_state.h"

/** Appends an entry. */
void public_entry_write(GByteArray *bytes, const struct public_entry *entry);
/** Bytes that an entry takes. */
size_t public_entry_size(const struct public_entry *entry);
/** Applies every entry of @p bytes that the state does not have yet. Errors:
 * ERROR_MALFORMED, ERROR_NOT_FOUND when some before them are missing. */
enum error_code public_entries_apply(
    struct replicated_state *state, const void *bytes, size_t size);

#endif
