#include "protocol/prompt_parts.h"

#include <string.h>

#include <xxhash.h>

#define PART_SEPARATOR	 ','
#define TOKENS_SEPARATOR ":"

void
prompt_parts_read(
    const char *text, const char *service, struct request_key *key)
{
	const char *end;
	uint64_t seed;
	size_t size;

	key->part_count = 0;
	if (text == NULL)
		return;
	seed = XXH64(service, strlen(service), 0);
	end = strchr(text, PART_SEPARATOR);
	while (end != NULL && key->part_count < REQUEST_PARTS_MAX) {
		text += strspn(text, " \t");
		size = strcspn(text, TOKENS_SEPARATOR ",");
		if (size > 0)
			key->parts[key->part_count++] = XXH64(text, size, seed);
		text = end + 1;
		end = strchr(text, PART_SEPARATOR);
	}
}
