"""What a box needs of the connections to one target, by its use in the last second."""

import math
from typing import Final

#: Seconds for which the largest use counts: for one to two periods of this length.
PERIOD_SECONDS: Final = 0.5
#: Connections that are needed beyond those in use, as a share of these.
HEADROOM_SHARE: Final = 0.5


class ConnectionUse:
    """The connections to one target that are in use, and the requests that found none."""

    def __init__(self) -> None:
        self._began_at = -math.inf
        self._largest = 0
        self._largest_before = 0
        self._shortages = 0
        self._shortages_before = 0

    def record(self, busy: int, now: float) -> None:
        """Record the number of connections in use."""
        self._follow(now)
        self._largest = max(self._largest, busy)

    def record_shortage(self, now: float) -> None:
        """Record a request that found no connection."""
        self._follow(now)
        self._shortages += 1

    def find_largest(self, now: float) -> int:
        """Return the largest number of connections that were in use lately."""
        self._follow(now)
        return max(self._largest, self._largest_before)

    def count_shortages(self, now: float) -> int:
        """Return the number of requests that found no connection lately."""
        self._follow(now)
        return max(self._shortages, self._shortages_before)

    def is_idle(self, now: float) -> bool:
        """Return whether no connection was in use lately and no request found none."""
        return not self.find_largest(now) and not self.count_shortages(now)

    def _follow(self, now: float) -> None:
        """Begin another period once the current one has ended."""
        age = now - self._began_at
        if age < PERIOD_SECONDS:
            return
        is_next = age < 2 * PERIOD_SECONDS
        self._largest_before = self._largest if is_next else 0
        self._shortages_before = self._shortages if is_next else 0
        self._began_at = now
        self._largest = 0
        self._shortages = 0


def find_need(use: ConnectionUse, own: int, now: float) -> int:
    """Return the connections that a box needs beyond its own.

    Args:
        use: what it used lately.
        own: connections that it may open without loans.
        now: the monotonic clock, in seconds.
    """
    largest = use.find_largest(now)
    # What found no connection may be more than what could run at once, so need at most doubles.
    unserved = min(use.count_shortages(now), largest + 1)
    return max(0, _with_headroom(largest) + unserved - own)


def find_kept(use: ConnectionUse, floor: int, now: float) -> int:
    """Return the connections of its part that a box keeps for itself."""
    return max(floor, _with_headroom(use.find_largest(now)))


def _with_headroom(busy: int) -> int:
    return busy + int(HEADROOM_SHARE * busy)
