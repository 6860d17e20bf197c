#include "base/shared_text.h"

#include <stdlib.h>
#include <string.h>

struct shared_text *
shared_text_create(const struct text_part *parts, uint32_t part_count,
    void (*destroy)(void *owner), void *owner)
{
	struct shared_text *text;
	uint32_t i;

	text = calloc(1, sizeof(*text) + part_count * sizeof(*parts));
	if (text == NULL)
		return NULL;
	atomic_init(&text->references, 1);
	text->destroy = destroy;
	text->owner = owner;
	text->part_count = part_count;
	for (i = 0; i < part_count; i++) {
		text->parts[i] = parts[i];
		text->size += parts[i].size;
	}
	return text;
}

struct shared_text *
shared_text_copy(const char *data, size_t size)
{
	struct shared_text *text;
	struct text_part part;
	char *copy;

	copy = malloc(size + 1);
	if (copy == NULL)
		return NULL;
	if (size > 0)
		memcpy(copy, data, size);
	copy[size] = '\0';
	part.data = copy;
	part.size = size;
	text = shared_text_create(&part, 1, free, copy);
	if (text == NULL)
		free(copy);
	return text;
}

struct shared_text *
shared_text_ref(struct shared_text *text)
{
	atomic_fetch_add(&text->references, 1);
	return text;
}

void
shared_text_unref(struct shared_text *text)
{
	if (text == NULL)
		return;
	if (atomic_fetch_sub(&text->references, 1) != 1)
		return;
	if (text->destroy != NULL)
		text->destroy(text->owner);
	free(text);
}

void
text_cursor_init(struct text_cursor *cursor, const struct shared_text *text,
    size_t offset, size_t size)
{
	memset(cursor, 0, sizeof(*cursor));
	cursor->text = text;
	if (text == NULL || offset >= text->size)
		return;
	cursor->left = size;
	if (cursor->left > text->size - offset)
		cursor->left = text->size - offset;
	while (offset >= text->parts[cursor->part].size) {
		offset -= text->parts[cursor->part].size;
		cursor->part++;
	}
	cursor->offset = offset;
}

size_t
text_cursor_read(struct text_cursor *cursor, char *out, size_t max)
{
	const char *data;
	size_t done;
	size_t size;

	done = 0;
	while (done < max) {
		size = text_cursor_next(cursor, max - done, &data);
		if (size == 0)
			break;
		memcpy(out + done, data, size);
		done += size;
	}
	return done;
}

size_t
text_cursor_next(struct text_cursor *cursor, size_t max, const char **data)
{
	const struct text_part *part;
	size_t size;

	if (cursor->left == 0 || max == 0)
		return 0;
	while (cursor->offset == cursor->text->parts[cursor->part].size) {
		cursor->part++;
		cursor->offset = 0;
	}
	part = &cursor->text->parts[cursor->part];
	size = part->size - cursor->offset;
	if (size > cursor->left)
		size = cursor->left;
	if (size > max)
		size = max;
	*data = part->data + cursor->offset;
	cursor->offset += size;
	cursor->left -= size;
	return size;
}
