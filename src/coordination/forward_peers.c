#include "coordination/forward_peers.h"

/* Time for which a host is not picked after it could not take a request. */
#define AVOID_MS 1000
/* A host without a path repeats that more often than this. */
#define WITHOUT_PATH_EXPIRY_MS 3000

static struct forward_peer *find(
    const struct forward_peers *peers, uint32_t host_id);
static bool is_eligible(const struct forward_peer *peer, const uint32_t *tried,
    uint32_t tried_count, int64_t now_ms);

void
forward_peers_init(struct forward_peers *peers)
{
	peers->peers = g_hash_table_new_full(NULL, NULL, NULL, g_free);
}

void
forward_peers_finish(struct forward_peers *peers)
{
	if (peers->peers != NULL)
		g_hash_table_unref(peers->peers);
	peers->peers = NULL;
}

void
forward_peers_record(struct forward_peers *peers, uint32_t host_id,
    const struct work_forwarding *says, int64_t received_ms)
{
	struct forward_peer *peer;

	peer = find(peers, host_id);
	if (peer == NULL) {
		peer = g_new0(struct forward_peer, 1);
		peer->host_id = host_id;
		g_hash_table_insert(
		    peers->peers, GUINT_TO_POINTER(host_id), peer);
	}
	/* A new process at the same address may take what the last one could
	 * not. */
	if (peer->says.token != says->token)
		peer->avoid_until_ms = 0;
	peer->says = *says;
	peer->received_ms = received_ms;
}

const struct forward_peer *
forward_peers_pick(struct forward_peers *peers, const uint32_t *tried,
    uint32_t tried_count, struct random_source *random, int64_t now_ms)
{
	struct forward_peer *peer, *best;
	GHashTableIter iter;
	uint32_t equals;

	best = NULL;
	equals = 0;
	g_hash_table_iter_init(&iter, peers->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (peer->running == 0 &&
		    now_ms - peer->received_ms >= FORWARD_PEER_EXPIRY_MS) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		if (!is_eligible(peer, tried, tried_count, now_ms) ||
		    (best != NULL && peer->running > best->running))
			continue;
		if (best == NULL || peer->running < best->running)
			equals = 0;
		/* Each of several equal ones is picked with the same chance. */
		if (random_below(random, ++equals) == 0)
			best = peer;
	}
	return best;
}

const struct forward_peer *
forward_peers_find(const struct forward_peers *peers, uint32_t host_id)
{
	return find(peers, host_id);
}

void
forward_peers_begin(struct forward_peers *peers, uint32_t host_id)
{
	struct forward_peer *peer = find(peers, host_id);

	if (peer != NULL)
		peer->running++;
}

void
forward_peers_end(struct forward_peers *peers, uint32_t host_id)
{
	struct forward_peer *peer = find(peers, host_id);

	if (peer != NULL && peer->running > 0)
		peer->running--;
}

void
forward_peers_avoid(
    struct forward_peers *peers, uint32_t host_id, int64_t now_ms)
{
	struct forward_peer *peer = find(peers, host_id);

	if (peer != NULL)
		peer->avoid_until_ms = now_ms + AVOID_MS;
}

static struct forward_peer *
find(const struct forward_peers *peers, uint32_t host_id)
{
	return g_hash_table_lookup(peers->peers, GUINT_TO_POINTER(host_id));
}

static bool
is_eligible(const struct forward_peer *peer, const uint32_t *tried,
    uint32_t tried_count, int64_t now_ms)
{
	uint32_t i;

	if (peer->says.address == 0 || peer->avoid_until_ms > now_ms ||
	    now_ms - peer->received_ms >= FORWARD_PEER_EXPIRY_MS)
		return false;
	if (peer->says.is_without_path &&
	    now_ms - peer->received_ms < WITHOUT_PATH_EXPIRY_MS)
		return false;
	for (i = 0; i < tried_count; i++) {
		if (tried[i] == peer->host_id)
			return false;
	}
	return true;
}
