"""Targets that are leaving, from whichever source says so first."""

import threading
from collections.abc import Iterable
from typing import Final

from damsonlane_rpc import LeavingTarget
from damsonlaned.clock import read_clock

#: Seconds after which word of a leaving target is forgotten, unless it is heard again.
FORGET_SECONDS: Final = 60.0


class LeavingTargets:
    """Leaving targets by service and name; safe for many threads.

    Sources are the targets' own refusals, the platform's list and other
    entries.  Word keeps its age as it passes from entry to entry, so that it
    dies out everywhere once nobody hears it anew.
    """

    def __init__(self) -> None:
        self._heard_at: dict[str, dict[str, float]] = {}
        self._lock: Final = threading.Lock()

    def mark(self, service: str, target: str, age: float = 0.0) -> None:
        """Note that a target said it is leaving, ``age`` seconds ago."""
        heard_at = read_clock() - age
        with self._lock:
            known = self._heard_at.setdefault(service, {})
            known[target] = max(heard_at, known.get(target, heard_at))

    def of(self, service: str) -> frozenset[str]:
        """Return the leaving targets of a service."""
        floor = read_clock() - FORGET_SECONDS
        with self._lock:
            known = self._heard_at.get(service, {})
            return frozenset(target for target, heard_at in known.items() if heard_at > floor)

    def list(self) -> tuple[LeavingTarget, ...]:
        """Return all leaving targets, to be told to other entries."""
        now = read_clock()
        with self._lock:
            return tuple(
                LeavingTarget(service=service, target=target, age=now - heard_at)
                for service, known in self._heard_at.items()
                for target, heard_at in known.items()
                if now - heard_at < FORGET_SECONDS
            )

    def learn(self, told: Iterable[LeavingTarget]) -> None:
        """Take what another entry told."""
        for target in told:
            self.mark(target.service, target.target, target.age)
