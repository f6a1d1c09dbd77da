"""Windows of requests in flight at targets that fail when they reject too many."""

import math
import random
from collections.abc import Collection, Sequence
from typing import Final

from damsonlane.backoff import TargetIncarnation
from damsonlane.records import dataclass

#: Ratio of the interval between two attempts of a box to have more in flight to the one at which
#: all boxes together would use up the limit.
INTERVAL_RATIO: Final = 4.0
#: Bounds of that interval, in seconds.
MIN_INTERVAL_SECONDS: Final = 0.1
MAX_INTERVAL_SECONDS: Final = 60.0
#: Seconds for which a target that has just started is treated like the others of its service.
SERVICE_SECONDS: Final = 15.0


@dataclass(frozen=True, kw_only=True)
class SentWork:
    """What a box has in flight at one target."""

    #: The target.
    target: TargetIncarnation
    #: Requests of this box there.
    in_flight: int
    #: Requests that it runs concurrently; 0 if unknown.
    slots: int = 0
    #: Whether it reported that nothing more can run there.
    is_crowded: bool = False


class _Window:
    """The window of one target at this box."""

    def __init__(self, limit: float, size: float, now: float) -> None:
        self.limit = limit
        #: Most requests in flight from this box.
        self.size = size
        #: When it last grew or was cut, in seconds.
        self.changed_at = now

    def interval_seconds(self, boxes: float) -> float:
        """Return the least seconds between two steps of growth at one box."""
        return _find_interval(self.limit, boxes)


class RejectionWindows:
    """Limits what this box has in flight at targets that announced a limit of rejections.

    Such a target fails if all boxes together make it reject more requests a second than the limit.
    A window grows by one request at a time, no more often than the share of this box in the limit
    allows, since each step may be rejected, now or by taking the place of another box.  A rejection
    cuts it to what the target accepted.

    Args:
        randomness: source of the draws by which boxes differ.
    """

    def __init__(self, randomness: random.Random) -> None:
        self._randomness: Final = randomness
        self._limits: dict[TargetIncarnation, float] = {}
        self._windows: dict[TargetIncarnation, _Window] = {}
        #: Last limit of any target of a service, and when it was last in force.
        self._services: dict[str, tuple[float, float]] = {}
        #: When a target of a service last rejected a request, in seconds.
        self._rejected_at: dict[str, float] = {}

    def record_limit(self, target: TargetIncarnation, limit: float | None) -> bool:
        """Record the limit that a response announced; return whether it changed.

        Args:
            target: the target.
            limit: rejections a second that it bears from all boxes together; None if it announced
                none, which ends an earlier limit.
        """
        known = self._limits.get(target)
        if limit is None:
            self._limits.pop(target, None)
            self._windows.pop(target, None)
            return known is not None
        self._limits[target] = limit
        if target in self._windows:
            self._windows[target].limit = limit
        return known != limit

    def find_limit(self, target: TargetIncarnation) -> float | None:
        """Return the limit that a target announced, or None."""
        return self._limits.get(target)

    def list_limited(self) -> list[TargetIncarnation]:
        """Return the targets that announced a limit."""
        return list(self._limits)

    def is_empty(self) -> bool:
        """Return whether no target announced a limit lately."""
        return not self._limits and not self._services

    def record_rejection(
        self, target: TargetIncarnation, service: str, in_flight: int, now: float
    ) -> None:
        """Record that a target rejected a request for lack of room.

        Args:
            target: the target.
            service: its service.
            in_flight: requests of this box there, with the one that was rejected.
            now: the clock, in seconds.
        """
        window = self._windows.get(target)
        if window is not None:
            self._rejected_at[service] = now
            window.size = max(0.0, min(window.size, in_flight - 1.0))
            window.changed_at = now

    def list_full(
        self, service: str, work: Sequence[SentWork], boxes: float, now: float
    ) -> set[str]:
        """Return the targets that may get no more requests of this box now.

        Args:
            service: the service.
            work: what this box has in flight at each of its targets.
            boxes: boxes that send to them.
            now: the clock, in seconds.
        """
        full = {item.target.target for item in work if self._is_full(service, item, boxes, now)}
        if len(full) < len(work) or any(item.in_flight for item in work):
            return full
        # A box whose windows are all empty would serve nothing beside idle targets.
        return set() if self._may_send_one(service, len(work), boxes, now) else full

    def _is_full(self, service: str, work: SentWork, boxes: float, now: float) -> bool:
        """Return whether a target is full; grow its window if it is time."""
        window = self._find_window(service, work, boxes, now)
        if window is None or work.in_flight < window.size:
            return False
        if work.is_crowded or now - window.changed_at < window.interval_seconds(boxes):
            return True
        window.size = work.in_flight + 1.0
        window.changed_at = now
        return False

    def _may_send_one(self, service: str, targets: int, boxes: float, now: float) -> bool:
        """Return whether a request to any of the targets is within the share of this box."""
        limit, _ = self._services.get(service, (0.0, 0.0))
        rejected_at = self._rejected_at.get(service, -math.inf)
        return now - rejected_at >= _find_interval(limit * targets, boxes)

    def prune(self, known: Collection[TargetIncarnation]) -> None:
        """Forget targets that control no longer lists."""
        for target in (self._limits.keys() | self._windows.keys()) - set(known):
            self._limits.pop(target, None)
            self._windows.pop(target, None)

    def _find_window(
        self, service: str, work: SentWork, boxes: float, now: float
    ) -> _Window | None:
        """Return the window of a target; None if it takes what comes."""
        target = work.target
        limit = self._limits.get(target)
        if limit is not None:
            self._services[service] = (limit, now)
            known = self._windows.get(target)
            return known or self._open_window(target, limit, work.slots, boxes, now)
        last, at = self._services.get(service, (0.0, -math.inf))
        if now - at > SERVICE_SECONDS:
            self._services.pop(service, None)
            return None
        # It has probably just started: what waited must not come at once.
        return self._windows.get(target) or self._open_window(target, last, 1, boxes, now)

    def _open_window(
        self, target: TargetIncarnation, limit: float, slots: int, boxes: float, now: float
    ) -> _Window:
        """Open the window of a target; those of all boxes together have about as much as its slots.

        Boxes grow their windows at different times.
        """
        share = max(1, slots) / max(1.0, boxes)
        size = math.floor(share + self._randomness.random())
        window = _Window(limit, size, now)
        window.changed_at -= self._randomness.random() * window.interval_seconds(boxes)
        self._windows[target] = window
        return window


def _find_interval(limit: float, boxes: float) -> float:
    """Return the least seconds between two attempts of one box that may be rejected.

    Args:
        limit: rejections a second of all boxes together.
        boxes: boxes that send.
    """
    if limit <= 0:
        return MAX_INTERVAL_SECONDS
    seconds = INTERVAL_RATIO * max(1.0, boxes) / limit
    return min(MAX_INTERVAL_SECONDS, max(MIN_INTERVAL_SECONDS, seconds))
