"""Inherent speed of one incarnation of a target, relative to the others of its service."""

import math
import statistics
from typing import Final

from damsonlane.speed._slowness import (
    MAX_REPORT_AGE_SECONDS,
    ReportedSlowness,
    is_plausible,
)

#: Samples from which the speed counts as known.  Fewer may all fall into one slow period.
MIN_SAMPLES: Final = 3
#: Samples whose median is the first estimate.
FIRST_SAMPLES: Final = 7
#: Change of the logarithm of the estimate by each later sample.
STEP: Final = 0.03
#: Bounds of the time factor; larger deviations are failures rather than speeds.
FACTOR_RANGE: Final = (0.1, 10.0)


class TargetSpeed:
    """Tracks the median of a target's durations relative to the usual ones, and its slowness.

    The median does not decay while the target is unused: an inherent speed stays as it is.

    Args:
        max_age: age above which a reported slowness no longer counts, in seconds.
    """

    def __init__(self, max_age: float = MAX_REPORT_AGE_SECONDS) -> None:
        self._reported: Final = ReportedSlowness(max_age)
        self._first: Final[list[float]] = []
        self._log_factor = 0.0
        #: Whether enough durations were recorded for an estimate of the speed.
        self.is_known = False
        #: Usual durations as a multiple of the service's; 1 while unknown.
        self.time_factor = 1.0

    @property
    def reports_slowness(self) -> bool:
        """Whether this incarnation has reported a plausible slowness."""
        return self._reported.is_known

    def find_slowness(self, now: float) -> float:
        """Return the slowness in the newest report; the usual one if that is too old."""
        return self._reported.find(now)

    def find_factor(self, now: float) -> float:
        """Return the factor by which work that starts now takes longer than usual."""
        return self.time_factor * self._reported.find(now)

    def record_slowness(self, slowness: float, reported_at: float) -> None:
        """Record a reported slowness.

        Args:
            slowness: the factor by which work takes longer there now.
            reported_at: when it was reported, by the monotonic clock.
        """
        self._reported.record(slowness, reported_at)

    def record_duration(self, ratio: float, slowness: float | None) -> None:
        """Record the duration of some work.

        Args:
            ratio: the duration as a multiple of the service's usual one for such work.
            slowness: the slowness reported with the response; None or implausible for none.
        """
        if not math.isfinite(ratio) or ratio <= 0:
            return
        if slowness is not None and is_plausible(slowness):
            ratio /= slowness
        low, high = FACTOR_RANGE
        sample = math.log(min(high, max(low, ratio)))
        if len(self._first) < FIRST_SAMPLES:
            self._first.append(sample)
            self._log_factor = statistics.median(self._first)
        else:
            self._log_factor += STEP if sample > self._log_factor else -STEP
        self.is_known = len(self._first) >= MIN_SAMPLES
        if self.is_known:
            self.time_factor = math.exp(self._log_factor)
