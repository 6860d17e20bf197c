#include "protocol/request_history.h"

#include <string.h>

#include <xxhash.h>

static uint64_t hash(const char *id);
static bool was_carried(const struct request_history *history, const char *id);

void
request_history_finish(struct request_history *history)
{
	g_free(history->id);
	if (history->hashes != NULL)
		g_array_unref(history->hashes);
	memset(history, 0, sizeof(*history));
}

void
request_history_add(struct request_history *history, const char *id)
{
	uint64_t earlier;

	if (history->id != NULL) {
		if (history->hashes == NULL)
			history->hashes =
			    g_array_new(FALSE, FALSE, sizeof(uint64_t));
		earlier = hash(history->id);
		g_array_append_val(history->hashes, earlier);
	}
	g_free(history->id);
	history->id = g_strdup(id);
	history->count++;
}

bool
request_history_accepts(const struct request_history *history, const char *id)
{
	if (history->count == 0)
		return true;
	if (id == NULL || history->count >= REQUEST_HISTORY_MAX)
		return false;
	return g_strcmp0(id, history->id) != 0 && !was_carried(history, id);
}

enum answer_owner
request_history_attribute(const struct request_history *history, const char *id)
{
	if (id == NULL)
		return history->count == 1 ? ANSWER_OF_REQUEST
					   : ANSWER_OF_UNKNOWN;
	if (g_strcmp0(id, history->id) == 0)
		return ANSWER_OF_REQUEST;
	return was_carried(history, id) ? ANSWER_OF_EARLIER : ANSWER_OF_FOREIGN;
}

static uint64_t
hash(const char *id)
{
	return XXH64(id, strlen(id), 0);
}

/* Whether an earlier request than the last one bore the id. */
static bool
was_carried(const struct request_history *history, const char *id)
{
	uint64_t wanted;
	guint i;

	if (history->hashes == NULL)
		return false;
	wanted = hash(id);
	for (i = 0; i < history->hashes->len; i++) {
		if (g_array_index(history->hashes, uint64_t, i) == wanted)
			return true;
	}
	return false;
}
