"""Limit of the requests in progress at a box that has more work than processor time."""

import math
from typing import Final

#: Load of the box that the limit aims at: below the one at which time-outs of its own expire.
TARGET_LOAD: Final = 0.85
#: Exponent of an adjustment, since the measured load is an average that follows the work late.
STEP_EXPONENT: Final = 0.4
#: Largest factor of an adjustment.
MAX_FACTOR: Final = 1.3
#: Seconds without a request beyond the limit after which there is none any more.
END_SECONDS: Final = 0.5


class ConcurrencyLimit:
    """Limits the requests in progress from a moment of overload on, until fewer come.

    The processor time that requests need at a moment follows their number, while a rate of new ones
    shows in it only as they go on.
    """

    def __init__(self) -> None:
        self._most: float | None = None
        self._exceeded_at = -math.inf

    @property
    def most(self) -> float | None:
        """Most requests in progress; None without a limit."""
        return self._most

    def begin(self, in_flight: int, now: float) -> None:
        """Limit the requests in progress to fewer than now."""
        self._most = max(1.0, TARGET_LOAD * in_flight)
        self._exceeded_at = now

    def adjust(self, load: float, in_flight: int, now: float) -> None:
        """Adjust the limit to the load of the box: 0 for idle, 1 for full; once in 0.1 s."""
        if self._most is None:
            return
        if now - self._exceeded_at >= END_SECONDS:
            self._most = None
            return
        factor = (TARGET_LOAD / load) ** STEP_EXPONENT if load > 0 else MAX_FACTOR
        # More than the limit may be in progress, which the load is due to.
        basis = max(self._most, in_flight) if factor > 1.0 else float(in_flight)
        self._most = max(1.0, basis * min(MAX_FACTOR, factor))

    def admits(self, in_flight: int, now: float) -> bool:
        """Return whether one more request may begin."""
        if self._most is None or in_flight < self._most:
            return True
        self.record_closed(now)
        return False

    def record_closed(self, now: float) -> None:
        """Record that a request could not begin."""
        self._exceeded_at = now
