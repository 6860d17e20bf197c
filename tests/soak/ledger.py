"""Records what callers, replicas and the operator observed, and checks it
against the guarantees that the programs give."""

import collections

# Kinds of requests that may run at most once.
ONCE_KINDS = ("once", "stream_once")


class Ledger:
    """Observations of one seed and the violations found in them.

    `clock` returns the time in seconds since the faults started.
    """

    def __init__(self, clock):
        self.clock = clock
        self.violations = []
        self.runs = collections.defaultdict(list)  # Attempt id: list of (time, replica).
        self.kinds = {}  # Attempt id: kind of request.
        self.refused = {}  # Attempt id: (time, status, host) of the refusal.
        self.outcomes = collections.Counter()
        self.faults = collections.Counter()  # Wrong answers of replicas, by class.
        self.crashes = []  # Times at which the crashing request ended a replica.
        self.acked_version = 0  # Newest configuration version that was acknowledged.
        # (entry host, number of its start): newest version that it served.
        self.served_versions = {}

    def record_violation(self, promise, text):
        self.violations.append(f"{self.clock():7.3f} s {promise}: {text}")

    def record_run(self, attempt, replica):
        self.runs[attempt].append((self.clock(), replica))

    def record_refusal(self, attempt, status, host):
        self.refused[attempt] = (self.clock(), status, host)

    def check_runs(self):
        """Checks, after all runs have ended, that requests that aren't idempotent ran
        at most once and that refused requests didn't run."""
        for attempt, runs in self.runs.items():
            where = ", ".join(f"{replica} at {time:.3f}" for time, replica in runs)
            if self.kinds.get(attempt) in ONCE_KINDS and len(runs) > 1:
                self.record_violation("runs at most once", f"{attempt} ran at {where}")
            if attempt in self.refused:
                time, status, host = self.refused[attempt]
                self.record_violation(
                    "a refusal is true",
                    f"{attempt} got {status} of {host} at {time:.3f} and ran at {where}",
                )

    def check_version(self, host, start, version, is_known):
        """Checks that a host that has served a version doesn't go back to an older one.

        `is_known` tells whether the host knew `version` when it was queried;
        `start` counts the starts of its process.
        """
        newest = self.served_versions.get((host, start), 0)
        if is_known:
            self.served_versions[host, start] = max(newest, version)
        elif version <= newest:
            self.record_violation(
                "the configuration never reverts", f"{host} knew {newest} and not {version}"
            )
