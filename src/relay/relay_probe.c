/*
 * Connections that the relay tries without a request, to find out whether an
 * upstream or the path to the upstreams is there.
 */
#include "relay/relay_parts.h"

/* A connection that is being tried. */
struct relay_probe {
	struct relay *relay;
	uint64_t upstream_id;
	void (*on_done)(
	    struct relay *relay, uint64_t upstream_id, enum error_code error);
};

static void on_probed(void *context, enum error_code error);

void
relay_probes_init(struct relay *relay)
{
	relay->probes = g_hash_table_new_full(NULL, NULL, g_free, NULL);
}

void
relay_probes_finish(struct relay *relay)
{
	g_hash_table_unref(relay->probes);
}

bool
relay_probe_begin(struct relay *relay, uint64_t upstream_id, uint64_t address,
    void (*on_done)(
	struct relay *relay, uint64_t upstream_id, enum error_code error))
{
	struct relay_probe *probe;

	probe = g_new0(struct relay_probe, 1);
	probe->relay = relay;
	probe->upstream_id = upstream_id;
	probe->on_done = on_done;
	g_hash_table_add(relay->probes, probe);
	if (upstream_pool_probe(&relay->pool, address, on_probed, probe) !=
	    NULL)
		return true;
	g_hash_table_remove(relay->probes, probe);
	return false;
}

static void
on_probed(void *context, enum error_code error)
{
	struct relay_probe probe = *(struct relay_probe *)context;

	g_hash_table_remove(probe.relay->probes, context);
	probe.on_done(probe.relay, probe.upstream_id, error);
}
