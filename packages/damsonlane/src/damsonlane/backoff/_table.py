"""Table of the targets that back off or are draining."""

import math
from collections.abc import Collection
from typing import Final

from damsonlane.backoff._incarnation import TargetIncarnation

#: Longest back-off that is accepted, in seconds.  A longer one is probably a mistake, and would
#: make the target unusable for this box until it restarts; after an hour one request tries again.
LONGEST_BACKOFF_SECONDS: Final = 3_600.0
#: Maximum number of draining incarnations in the table; the oldest are removed.  It holds ten days
#: at 200 restarts of targets a day.
MAX_DRAINING: Final = 2_048


class BackoffTable:
    """Back-off and draining of targets, by incarnation.

    There is one table per box, not per connection, request or service: everything that sends to
    a target must respect it.
    """

    def __init__(self) -> None:
        self._until: dict[TargetIncarnation, float] = {}
        self._draining: dict[TargetIncarnation, None] = {}

    def record(
        self, incarnation: TargetIncarnation, seconds: float, now: float, jitter: float = 0.0
    ) -> None:
        """Record a back-off that a target requested.

        An earlier back-off that ends later remains in force.

        Args:
            incarnation: the target.
            seconds: length of the back-off.
            now: clock of the box, in seconds.
            jitter: seconds that this box adds, so that boxes do not return simultaneously.
        """
        until = now + min(seconds, LONGEST_BACKOFF_SECONDS) + jitter
        self._until[incarnation] = max(until, self._until.get(incarnation, until))

    def record_draining(self, incarnation: TargetIncarnation) -> bool:
        """Record that a target is draining, which is final; return whether it was not known yet."""
        is_new = incarnation not in self._draining
        self._draining[incarnation] = None
        if len(self._draining) > MAX_DRAINING:
            del self._draining[next(iter(self._draining))]
        return is_new

    def is_empty(self) -> bool:
        """Return whether no target backs off or is draining."""
        return not self._until and not self._draining

    def list_backing_off(self, now: float) -> set[TargetIncarnation]:
        """Return the targets that back off at present, including draining ones."""
        backing_off = {incarnation for incarnation, until in self._until.items() if until > now}
        return backing_off | self._draining.keys()

    def is_draining(self, incarnation: TargetIncarnation) -> bool:
        """Return whether a target announced that it is draining."""
        return incarnation in self._draining

    def seconds_left(self, incarnation: TargetIncarnation, now: float) -> float:
        """Return the remaining seconds of the back-off of a target; infinite if it is draining."""
        if incarnation in self._draining:
            return math.inf
        return max(0.0, self._until.get(incarnation, now) - now)

    def prune(self, known: Collection[TargetIncarnation], now: float) -> None:
        """Remove back-offs that are over, and draining targets that may have restarted.

        A target that control no longer lists may be listed again by a lagging replica, and its
        back-off still applies then.  Draining targets that do not report a start are an
        exception, since their incarnations cannot be distinguished.

        Args:
            known: the targets that control lists.
            now: clock of the box, in seconds.
        """
        for incarnation in [
            incarnation for incarnation in self._draining if incarnation.start == 0
        ]:
            if incarnation not in known:
                del self._draining[incarnation]
        for incarnation in [
            incarnation for incarnation, until in self._until.items() if until <= now
        ]:
            del self._until[incarnation]
