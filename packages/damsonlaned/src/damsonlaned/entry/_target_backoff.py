"""Targets of pipelines that asked this box for rest."""

import logging
import random
import threading
from collections.abc import Mapping
from typing import Final

from damsonlane.backoff import BackoffBook, TargetStart, find_spread_seconds
from damsonlane.routing import Standing
from damsonlaned.clock import read_clock

_LOG: Final = logging.getLogger(__name__)


class RestingTargets:
    """How long targets want nothing from this box; safe for many threads."""

    def __init__(self) -> None:
        self._book: Final = BackoffBook()
        self._randomness: Final = random.Random()
        self._lock: Final = threading.Lock()

    def note(self, service: str, target: str, address: str, seconds: float, boxes: int) -> None:
        """Note that a target wants nothing for a while.

        Args:
            service: its service.
            target: its name.
            address: its address.
            seconds: for how long.
            boxes: how many boxes send to it.
        """
        with self._lock:
            spread = find_spread_seconds(seconds, boxes, self._randomness)
            self._book.note(_name(service, target, address), seconds, read_clock(), spread)
        fields = {"service": service, "target": target, "seconds": seconds}
        _LOG.info("back-off asked", extra={**fields, "spread": round(spread, 3)})

    def seconds_left(self, service: str, target: str, address: str) -> float:
        """Return for how long a target wants nothing; 0 if it takes requests."""
        with self._lock:
            return self._book.seconds_left(_name(service, target, address), read_clock())

    def list_resting(self, service: str, standings: Mapping[str, Standing]) -> frozenset[str]:
        """Return the targets of a service that want nothing for now."""
        return frozenset(
            name
            for name, standing in standings.items()
            if self.seconds_left(service, name, standing.address) > 0
        )

    def find_return_seconds(self, service: str, standings: Mapping[str, Standing]) -> float:
        """Return how long all of some targets want nothing; 0 if one takes requests."""
        lefts = (
            self.seconds_left(service, name, standing.address)
            for name, standing in standings.items()
        )
        return min(lefts, default=0.0)


def _name(service: str, target: str, address: str) -> TargetStart:
    return TargetStart(target=f"{service}/{target}", address=address)
