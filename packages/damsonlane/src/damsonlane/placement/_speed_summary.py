"""Summary of the learned speeds of the engines of one service, for logs and metrics."""

from collections.abc import Collection
from typing import Final

from damsonlane.records import dataclass
from damsonlane.speed import TargetSpeed

#: Slowness from which an engine counts as slow in the summary.
SLOW_FROM: Final = 1.5


@dataclass(frozen=True, kw_only=True)
class SpeedSummary:
    """The learned speeds of the engines of one service."""

    #: Number of engines.
    engines: int
    #: Number of those whose speed is known.
    known: int
    #: Least and largest time factor of those; 1 if none is known.
    least_factor: float
    largest_factor: float
    #: Number of engines that reported recently that they are slow.
    slow: int
    #: Prompts placed at an engine that had to prefill shared segments which another had cached.
    moved: int


def summarise_speeds(speeds: Collection[TargetSpeed], moved: int, now: float) -> SpeedSummary:
    """Return a summary.

    Args:
        speeds: the speeds of all engines.
        moved: number of prompts placed away from their cached segments.
        now: the monotonic clock, in seconds.
    """
    factors = [speed.time_factor for speed in speeds if speed.is_known]
    return SpeedSummary(
        engines=len(speeds),
        known=len(factors),
        least_factor=min(factors, default=1.0),
        largest_factor=max(factors, default=1.0),
        slow=sum(speed.find_slowness(now) >= SLOW_FROM for speed in speeds),
        moved=moved,
    )
