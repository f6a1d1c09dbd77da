"""Targets that are draining, as reported by any of several sources."""

import threading
from collections.abc import Iterable
from typing import Final

from damsonlane_rpc import DrainingTarget
from damsonlaned.clock import read_clock

#: Seconds after which a report of a draining target expires unless a source repeats it.
EXPIRY_SECONDS: Final = 60.0


class DrainingTargets:
    """Draining targets by service and name; safe for use by many threads.

    Sources are the responses of the targets, the platform's list and other
    entries.  A report keeps its age when it is passed from entry to entry, so
    that it expires everywhere once no source repeats it.
    """

    def __init__(self) -> None:
        self._reported_at: dict[str, dict[str, float]] = {}
        self._lock: Final = threading.Lock()

    def record(self, service: str, target: str, age: float = 0.0) -> None:
        """Record that a target was reported as draining, ``age`` seconds ago."""
        reported_at = read_clock() - age
        with self._lock:
            known = self._reported_at.setdefault(service, {})
            known[target] = max(reported_at, known.get(target, reported_at))

    def find(self, service: str) -> frozenset[str]:
        """Return the draining targets of a service."""
        oldest = read_clock() - EXPIRY_SECONDS
        with self._lock:
            known = self._reported_at.get(service, {})
            return frozenset(
                target for target, reported_at in known.items() if reported_at > oldest
            )

    def list_all(self) -> tuple[DrainingTarget, ...]:
        """Return all draining targets, to report them to other entries."""
        now = read_clock()
        with self._lock:
            return tuple(
                DrainingTarget(service=service, target=target, age=now - reported_at)
                for service, known in self._reported_at.items()
                for target, reported_at in known.items()
                if now - reported_at < EXPIRY_SECONDS
            )

    def merge(self, reports: Iterable[DrainingTarget]) -> None:
        """Merge the reports of another entry."""
        for report in reports:
            self.record(report.service, report.target, report.age)
