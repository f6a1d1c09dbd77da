"""Back-off that targets of pipelines requested from this box."""

import logging
import random
import threading
from collections.abc import Mapping
from typing import Final

from damsonlane.backoff import BackoffTable, TargetIncarnation, draw_jitter_seconds
from damsonlane.routing import TargetLocation
from damsonlaned.clock import read_clock

_LOG: Final = logging.getLogger(__name__)


class TargetBackoff:
    """Records for how long targets back off; safe for use by many threads."""

    def __init__(self) -> None:
        self._table: Final = BackoffTable()
        self._randomness: Final = random.Random()
        self._lock: Final = threading.Lock()

    def record(self, service: str, target: str, address: str, seconds: float, boxes: int) -> None:
        """Record that a target requested back-off.

        Args:
            service: service of the target.
            target: name of the target.
            address: address of the target.
            seconds: duration of the back-off.
            boxes: number of boxes that send to the target.
        """
        with self._lock:
            spread = draw_jitter_seconds(seconds, boxes, self._randomness)
            self._table.record(
                _make_incarnation(service, target, address), seconds, read_clock(), spread
            )
        fields = {"service": service, "target": target, "seconds": seconds}
        _LOG.info("target requested back-off", extra={**fields, "spread": round(spread, 3)})

    def seconds_left(self, service: str, target: str, address: str) -> float:
        """Return the seconds until the back-off of a target ends; 0 if it requested none."""
        with self._lock:
            return self._table.seconds_left(
                _make_incarnation(service, target, address), read_clock()
            )

    def list_backing_off(
        self, service: str, locations: Mapping[str, TargetLocation]
    ) -> frozenset[str]:
        """Return those of some targets of a service that back off now."""
        return frozenset(
            name
            for name, location in locations.items()
            if self.seconds_left(service, name, location.address) > 0
        )

    def find_backoff_seconds(self, service: str, locations: Mapping[str, TargetLocation]) -> float:
        """Return the seconds until one of some targets no longer backs off; 0 if one does not."""
        seconds = (
            self.seconds_left(service, name, location.address)
            for name, location in locations.items()
        )
        return min(seconds, default=0.0)


def _make_incarnation(service: str, target: str, address: str) -> TargetIncarnation:
    return TargetIncarnation(target=f"{service}/{target}", address=address)
