"""What was seen from outside, and the promises that it must keep."""

import collections


class Ledger:
    """Runs at replicas, answers at callers, orders of the operator."""

    def __init__(self, clock):
        self.clock = clock
        self.violations = []
        self.runs = collections.defaultdict(list)  # attempt id: (time, replica)
        self.kinds = {}  # attempt id: kind
        self.refused = {}  # attempt id: time of the refusal
        self.outcomes = collections.Counter()
        self.acked_version = 0
        self.shown_versions = {}  # entry host and its start: newest version seen

    def violate(self, promise, text):
        self.violations.append(f"{self.clock():7.3f} s {promise}: {text}")

    def run(self, attempt, replica):
        self.runs[attempt].append((self.clock(), replica))

    def refusal(self, attempt, status, host):
        self.refused[attempt] = (self.clock(), status, host)

    def judge_runs(self):
        """Promises that hold at the end of all runs."""
        for attempt, runs in self.runs.items():
            where = ", ".join(f"{replica} at {time:.3f}" for time, replica in runs)
            if self.kinds.get(attempt) == "once" and len(runs) > 1:
                self.violate("runs at most once", f"{attempt} ran at {where}")
            if attempt in self.refused:
                time, status, host = self.refused[attempt]
                self.violate(
                    "a refusal is true",
                    f"{attempt} got {status} of {host} at {time:.3f} and ran at {where}",
                )

    def judge_version(self, host, start, version, is_known):
        """A host that served by a version never serves by an older one."""
        newest = self.shown_versions.get((host, start), 0)
        if is_known:
            self.shown_versions[host, start] = max(newest, version)
        elif version <= newest:
            self.violate(
                "the configuration never reverts", f"{host} knew {newest} and not {version}"
            )
