"""The slowness that a target reports: the factor by which work takes longer there than usual."""

import math
from typing import Final

#: Bounds of a plausible slowness.  Reports outside of them are ignored.
MIN_SLOWNESS: Final = 0.05
MAX_SLOWNESS: Final = 100.0
#: Age above which a report no longer counts, in seconds; see docs/design/target-speed.md.
MAX_REPORT_AGE_SECONDS: Final = 0.3
#: Reports of a usual slowness that are assumed before the first one, so that a first report in a
#: slow period does not count as typical.
ASSUMED_REPORTS: Final = 5
#: Least weight of a new report in the moving average of the slowness.
TYPICAL_WEIGHT: Final = 0.05


def is_plausible(slowness: float) -> bool:
    """Return whether a target may have reported this slowness in earnest."""
    return math.isfinite(slowness) and MIN_SLOWNESS <= slowness <= MAX_SLOWNESS


class ReportedSlowness:
    """The newest slowness that one target reported, and its usual one.

    While the newest report is too old, the average of all reports counts.  A target that always
    reports the same has a learned speed from which that slowness is removed, so it would seem too
    fast if 1 counted instead.

    Args:
        max_age: age above which a report no longer counts, in seconds.
    """

    def __init__(self, max_age: float = MAX_REPORT_AGE_SECONDS) -> None:
        self._max_age: Final = max_age
        self._slowness = 1.0
        self._typical = 1.0
        self._count = ASSUMED_REPORTS
        self._reported_at: float | None = None

    @property
    def is_known(self) -> bool:
        """Whether the target has reported a plausible slowness, however long ago."""
        return self._reported_at is not None

    def record(self, slowness: float, reported_at: float) -> None:
        """Record a report.

        An implausible one is ignored; one older than the newest counts for the average alone.
        """
        if not is_plausible(slowness):
            return
        self._count += 1
        weight = max(TYPICAL_WEIGHT, 1 / self._count)
        self._typical += weight * (slowness - self._typical)
        if self._reported_at is not None and reported_at < self._reported_at:
            return
        self._slowness = slowness
        self._reported_at = reported_at

    def find(self, now: float) -> float:
        """Return the slowness at a time: the usual one if no report is recent enough."""
        if self._reported_at is None or now - self._reported_at > self._max_age:
            return self._typical
        return self._slowness
