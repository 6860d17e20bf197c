"""The simulated operator of the soak.

Stores new configurations, starts evacuations of zones, and checks on control
hosts and entry hosts which configuration is in force.
"""

import asyncio
import json

import http1

REQUEST_TIMEOUT_S = 3.0
# Time after which an order about an evacuation goes to another control host.
EVACUATION_TIMEOUT_S = 1.0
# Number of latest versions whose own routes a configuration contains.
KEPT_VERSIONS = 3


def make_config(version):
    """Returns the configuration of a version.

    Besides the routes of the callers it contains a route /vN/ for itself and
    for each of the latest versions, by which has_version() recognises them.
    """

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
        route("stream_once", "/t/", "streaming", "plain", **streams | {"resumable": False}),
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
        "tenants": [{"name": "t", "apiKeys": ["k1", f"r{version}"], "priority": 1}],
    }


class Operator:
    """Sends orders until they are acknowledged, and checks what is in force.

    `version` is that of the newest configuration sent. `evacuated` is the zone whose
    evacuation was acknowledged last and not ended since, at `evacuated_at`.
    """

    def __init__(self, fixture):
        self.fixture = fixture
        self.random = fixture.random_of("operator")
        self.version = 0
        self.evacuated = None
        self.evacuated_at = None

    async def call(self, method, path, body=b"", address=None, timeout_s=REQUEST_TIMEOUT_S):
        """Sends a request to a control host, by default a random one.

        Returns the status and the body of the answer; the status is 0 if no
        complete answer came in time.
        """
        if address is None:
            address = self.fixture.control_addresses(self.random)[0]
        return await http1.send_request(
            address, method, path, http1.JSON_FIELDS, body, timeout_s
        )

    async def order(self, path, body=b"", until=None, timeout_s=REQUEST_TIMEOUT_S):
        """Sends an order to random control hosts until it is acknowledged.

        Returns False if it wasn't acknowledged by the time `until`. A refusal
        as invalid is a violation because the soak sends only valid orders.
        """
        while until is None or self.fixture.now() < until:
            status, text = await self.call("POST", path, body, timeout_s=timeout_s)
            if 200 <= status < 300:
                return True
            if status in (400, 409, 412, 413, 422):
                self.fixture.ledger.record_violation(
                    "proper orders are taken", f"{path} got {status} {text[:80]!r}"
                )
                return False
            await asyncio.sleep(0.1)
        return False

    async def put_next_config(self, until=None):
        """Stores a configuration with the next version; returns whether it was
        acknowledged by the time `until`."""
        self.version += 1
        body = json.dumps(make_config(self.version)).encode()
        version = self.version
        if await self.order("/v1/Config.Put", body, until):
            self.fixture.ledger.acked_version = max(
                self.fixture.ledger.acked_version, version
            )
            return True
        return False

    async def change_configuration(self, until):
        while self.fixture.now() < until:
            await self.put_next_config(until)
            await asyncio.sleep(self.random.uniform(0.1, 1.5))

    async def change_evacuation(self, zone, until, latest):
        """Starts and ends the evacuation of a zone in turn until the time `until`, and
        gives up at the time `latest`. The last order is a start."""
        source = self.fixture.random_of("evacuations")
        while self.fixture.now() < until or self.evacuated is None:
            word = "End" if self.evacuated else "Start"
            path = f"/v1/Evacuations.{word}/{zone}"
            if not await self.order(path, until=latest, timeout_s=EVACUATION_TIMEOUT_S):
                return
            self.evacuated = None if self.evacuated else zone
            self.evacuated_at = self.fixture.now()
            await asyncio.sleep(source.uniform(0.05, 1.0))

    async def check_reads(self, until):
        """Checks continually that no control host returns a configuration older than
        the newest one that was acknowledged before the read."""
        while self.fixture.now() < until:
            host = self.random.choice(self.fixture.control_hosts)
            await self.read_config(host)
            await asyncio.sleep(self.random.uniform(0.05, 0.3))

    async def read_config(self, host):
        """Returns whether a control host answers with a configuration at least as new
        as the newest acknowledged one; an older one is a violation."""
        floor = self.fixture.ledger.acked_version
        status, text = await self.call("GET", "/v1/Config.Get", address=host.control.listen)
        if status != 200:
            return False
        version = json.loads(text)["version"]
        if version < floor:
            self.fixture.ledger.record_violation(
                "a read is never older than an acknowledgement",
                f"{host.name} gave {version} after {floor} was acknowledged",
            )
        return version >= floor

    async def check_entry_hosts(self, until):
        while self.fixture.now() < until:
            host = self.random.choice(self.fixture.entry_hosts)
            await self.has_version(host, max(1, self.fixture.ledger.acked_version))
            await asyncio.sleep(self.random.uniform(0.02, 0.2))

    async def has_version(self, host, version):
        """Returns True if an entry host certainly serves by this version or a newer one.

        Requests the route of this version, which older versions don't contain. The
        answer says nothing, and the result is False, if the host was restarted
        meanwhile or if newer configurations no longer contain the route; otherwise
        the ledger checks the answer.
        """
        start = host.starts
        fields = {"Attempt-Id": f"look-{self.random.getrandbits(40):x}", "Deadline-Ms": 2000}
        status, _ = await http1.send_request(host.front.listen, "GET", f"/v{version}/look", fields)
        is_kept = self.version - version < KEPT_VERSIONS
        if start != host.starts or not is_kept or status not in (200, 404):
            return False
        self.fixture.ledger.check_version(host.name, start, version, status == 200)
        return status == 200
