"""The operator takes away the keys of two tenants, one tenant after the other.
Then requests with these keys, with a key that no config held, and without a key
are sent. See claim.txt.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common-3"))
from cluster import (BROKEN, HELD, KEY, TENANT, ZONES, CannotRun, Client,
                     Cluster, Replica, route, run)

KEYS = {TENANT: KEY, "spa-north": "r8fzq0w2mcv5xk1ty7ud"}
NEVER_HELD = "anfqasnmgkcuyj8pjbvk"
CONFIG_MS = 2000        # bounds.configMs
MARGIN_MS = 1000
REQUESTS = 5            # Requests with each key at each entry host.


def tenants(names):
    return [{"name": name, "apiKeys": [KEYS[name]], "priority": 1}
            for name in names]


async def count_runs(cluster, replicas, keys):
    """Sends requests with each of the keys to each entry host. Returns how many
    ran at a replica, by key."""
    runs = {}
    for key in keys:
        attempts = set()
        for ip in cluster.entries:
            client = Client(cluster, ip)
            for _ in range(REQUESTS):
                answer = await client.request("GET", "/lohu930/x", key=key)
                attempts.add(getattr(answer, "attempt", None))
            client.close()
        runs[key] = sum(1 for replica in replicas for ran in replica.ran
                        if ran[0] in attempts)
    return runs


async def case(folder, has_trouble):
    cluster = Cluster(folder)
    try:
        replicas = [Replica(cluster, "i-%d" % i, "chat", ZONES[i])
                    for i in range(2)]
        routes = [route("/lohu930/", "idempotent", "chat")]
        everyone = list(KEYS)
        await cluster.start(
            cluster.config(1, routes, tenants=tenants(everyone)), replicas)
        held = {1: everyone, 2: everyone, 3: everyone}
        if has_trouble:
            held = {1: everyone, 2: everyone[1:], 3: []}
        is_broken = False
        for version in (1, 2, 3):
            if version > 1:
                answer = await cluster.order(
                    "POST", "/v1/Config.Put", cluster.config(
                        version, routes, tenants=tenants(held[version])))
                if answer.status != 200:
                    raise CannotRun("version %d was refused" % version)
            await asyncio.sleep((CONFIG_MS + MARGIN_MS) / 1000)
            runs = await count_runs(
                cluster, replicas, list(KEYS.values()) + [NEVER_HELD, None])
            allowed = [KEYS[name] for name in held[version]]
            for key, count in runs.items():
                is_allowed = key in allowed
                print("version %d, tenants %s: key %s %s: %d of %d ran" % (
                    version, held[version], key,
                    "held" if is_allowed else "not held", count,
                    REQUESTS * len(cluster.entries)))
                is_broken = is_broken or (count > 0 and not is_allowed)
        return BROKEN if is_broken else HELD
    finally:
        cluster.finish()


run(os.path.dirname(os.path.abspath(__file__)), case)
