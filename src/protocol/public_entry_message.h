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

/** Appends the encoded entries of a state to @p bytes, from sequence number
 * @p from to @p published at most, and sets @p last to the last one, or to
 * @p from - 1 if there is none yet. Stops before @p max bytes are exceeded, but
 * not at a first entry that is longer, nor where a superseded document would
 * lack the entry that replaces it. Errors: ERROR_NOT_FOUND if the entry @p from
 * is no longer kept. */
enum error_code public_entries_read(const struct replicated_state *state,
    uint64_t from, uint64_t published, size_t max, GByteArray *bytes,
    uint64_t *last);
/** Decodes a sequence of entries and applies those that the state has not
 * applied yet. Stops at the first error, after which the entries before it stay
 * applied. Errors: ERROR_MALFORMED, ERROR_NOT_FOUND if earlier entries are
 * missing in the state, and others of replicated_state_apply_public(). */
enum error_code public_entries_apply(
    struct replicated_state *state, const void *bytes, size_t size);

#endif
