/**
 * @file prompt_parts.h
 * Reads of which parts a prompt consists, as its caller lists them.
 */
#ifndef PROMPT_PARTS_H
#define PROMPT_PARTS_H

#include <stdint.h>

#include "state/request_key.h"

/** Reads a list "ID:TOKENS,ID:TOKENS", in the order of the prompt, and writes a
 * hash of each shared part's id and of @p service to @p key. The last part
 * belongs to the request itself or to its session, so it is left out, as are
 * parts after REQUEST_PARTS_MAX and entries without an id. A NULL text has no
 * parts. */
void prompt_parts_read(
    const char *text, const char *service, struct request_key *key);

#endif
