"""The operator: configurations, evacuations, and looks at what is in force."""

import asyncio
import json

import http1

ACK_S = 3.0
KEPT_VERSIONS = 3  # Versions whose own route a configuration still has.


def make_config(version):
    """A configuration with a route of its own, and of the versions before."""

    def route(name, prefix, kind, service, **more):
        return {
            "name": name,
            "host": "h.example",
            "pathPrefix": prefix,
            "kind": kind,
            "timeoutMs": 3500,
            "sloMs": 500,
            "priority": 1,
            "maxAttempts": 3,
            "public": False,
            "service": service,
            **more,
        }

    streams = {"resumable": True, "targetGapMs": 1000}
    routes = [
        route("once", "/p/", "non_idempotent", "plain"),
        route("again", "/i/", "idempotent", "plain"),
        route("stream", "/s/", "streaming", "plain", **streams),
        route("large", "/m/", "streaming", "model", affinity=True, **streams),
    ]
    for kept in range(max(1, version - KEPT_VERSIONS + 1), version + 1):
        routes.append(route(f"v{kept}", f"/v{kept}/", "idempotent", "plain", public=True))
    engine = {
        "slots": 16,
        "kvCapacityTokens": 405000,
        "stride": 34,
        "step_ms": 1.31,
        "per_seq_ms": 0.0009,
        "context_per_k": 0.002,
        "read_per_s": 1540000.0,
        "pairs_per_m": 0.001,
        "chunk": 2048,
        "hopMs": 0.1,
    }
    plain = {"name": "plain", "maxConns": 64, "coldStartS": 0.0, "coldPerS": 0.0}
    model = {"name": "model", "maxConns": 64, "coldStartS": 0.0, "coldPerS": 0.0, "engine": engine}
    return {
        "version": version,
        "routes": routes,
        "services": [plain, model],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 65536,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "t", "apiKeys": ["k1"], "priority": 1}],
    }


class Operator:
    """Gives orders until they are acknowledged, and checks what is in force."""

    def __init__(self, world):
        self.world = world
        self.random = world.random_of("operator")
        self.version = 0

    async def call(self, method, path, body=b"", address=None):
        """Status and body; 0 for no clear answer."""
        if address is None:
            address = self.world.control_addresses(self.random)[0]
        return await http1.ask(address, method, path, http1.JSON_FIELDS, body, ACK_S)

    async def order(self, path, body=b"", until=None):
        """Sends an order to one host after another until it is acknowledged."""
        while until is None or self.world.now() < until:
            status, text = await self.call("POST", path, body)
            if 200 <= status < 300:
                return True
            if status in (400, 409, 412, 413, 422):
                self.world.ledger.violate(
                    "proper orders are taken", f"{path} got {status} {text[:80]!r}"
                )
                return False
            await asyncio.sleep(0.1)
        return False

    async def put_next(self, until=None):
        self.version += 1
        body = json.dumps(make_config(self.version)).encode()
        version = self.version
        if await self.order("/v1/Config.Put", body, until):
            self.world.ledger.acked_version = max(self.world.ledger.acked_version, version)
            return True
        return False

    async def change_things(self, until):
        while self.world.now() < until:
            await self.put_next(until)
            await asyncio.sleep(self.random.uniform(0.1, 1.5))

    async def read_back(self, until):
        """No host may give a configuration older than what was acknowledged."""
        while self.world.now() < until:
            host = self.random.choice(self.world.control_hosts)
            await self.read_config(host)
            await asyncio.sleep(self.random.uniform(0.05, 0.3))

    async def read_config(self, host):
        floor = self.world.ledger.acked_version
        status, text = await self.call("GET", "/v1/Config.Get", address=host.control.listen)
        if status != 200:
            return False
        version = json.loads(text)["version"]
        if version < floor:
            self.world.ledger.violate(
                "a read is never older than an acknowledgement",
                f"{host.name} gave {version} after {floor} was acknowledged",
            )
        return version >= floor

    async def look_at_entry(self, until):
        while self.world.now() < until:
            host = self.random.choice(self.world.entry_hosts)
            await self.knows_version(host, max(1, self.world.ledger.acked_version))
            await asyncio.sleep(self.random.uniform(0.02, 0.2))

    async def knows_version(self, host, version):
        """Asks for a route that only this version and the next ones have."""
        start = host.starts
        fields = {"Attempt-Id": f"look-{self.random.getrandbits(40):x}", "Deadline-Ms": 2000}
        status, _ = await http1.ask(host.front.listen, "GET", f"/v{version}/look", fields)
        is_kept = self.version - version < KEPT_VERSIONS
        if start != host.starts or not is_kept or status not in (200, 404):
            return False
        self.world.ledger.judge_version(host.name, start, version, status == 200)
        return status == 200
