#include "protocol/prefix_hash.h"

#include <string.h>

/* Defines XXH64_state_t as a complete type, so that the state of a hash can be
 * a local variable. */
#define XXH_STATIC_LINKING_ONLY
#include <glib.h>
#include <xxhash.h>

uint64_t
prompt_tokens_estimate(uint64_t bytes)
{
	return (bytes + PROMPT_BYTES_PER_TOKEN - 1) / PROMPT_BYTES_PER_TOKEN;
}

uint32_t
prefix_hash_compute(const struct shared_text *text,
    uint64_t hashes[PREFIX_HASHES_MAX], uint64_t tokens[PREFIX_HASHES_MAX])
{
	struct text_cursor cursor;
	XXH64_state_t state;
	const char *data;
	uint64_t length;
	uint64_t hashed;
	uint32_t count;
	size_t size;

	XXH64_reset(&state, 0);
	text_cursor_init(&cursor, text, 0, text == NULL ? 0 : text->size);
	length = PREFIX_BYTES_MIN;
	hashed = 0;
	count = 0;
	while (count < PREFIX_HASHES_MAX) {
		size = text_cursor_next(&cursor, length - hashed, &data);
		if (size == 0)
			break;
		XXH64_update(&state, data, size);
		hashed += size;
		if (hashed < length)
			continue;
		hashes[count] = XXH64_digest(&state);
		tokens[count] = prompt_tokens_estimate(length);
		count++;
		length *= 2;
	}
	return count;
}

uint64_t
request_fingerprint(const char *client_account, const char *model,
    uint32_t answer_tokens_max, const struct shared_text *text, uint64_t key)
{
	const uint32_t limit = GUINT32_TO_LE(answer_tokens_max);
	struct text_cursor cursor;
	XXH64_state_t state;
	const char *data;
	size_t size;

	XXH64_reset(&state, key);
	/* Include the terminating NUL, so that bytes moved between account,
	 * model and text change the hash. */
	XXH64_update(&state, client_account, strlen(client_account) + 1);
	XXH64_update(&state, model, strlen(model) + 1);
	XXH64_update(&state, &limit, sizeof(limit));
	text_cursor_init(&cursor, text, 0, text == NULL ? 0 : text->size);
	while ((size = text_cursor_next(&cursor, SIZE_MAX, &data)) > 0)
		XXH64_update(&state, data, size);
	return XXH64_digest(&state);
}
