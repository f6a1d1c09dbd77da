"""Estimated state of one engine: prefix cache, load and speed."""

import math
from typing import Final

from damsonlane.placement._engine_work import EngineWork
from damsonlane.placement._prefix_cache import PrefixCache
from damsonlane.speed import TargetSpeed

#: Ratio of measured to expected time from which an engine counts as slow.
SLOW_RATIO: Final = 2.0
#: Weight of a new sample in the moving average of the ratio.
SLOWNESS_WEIGHT: Final = 0.3
#: Half-life, in seconds, of the ratio's deviation from 1 while an engine is unused.
SLOWNESS_HALF_LIFE: Final = 5.0


class Engine:
    """Estimated state of one engine; mutable.

    Args:
        cache_tokens: capacity of its memory, in tokens.
        data_centre: its data centre.
        start: its incarnation.
        version: version of its software.
    """

    def __init__(
        self, cache_tokens: int, data_centre: str, start: int = 0, version: str = ""
    ) -> None:
        self.start: Final = start
        self.version: Final = version
        self.data_centre: Final = data_centre
        self.cache: Final = PrefixCache(cache_tokens)
        #: When it will have prefilled all prompts placed at it.
        self.prefilled_at = 0.0
        #: When its link will have finished all planned transfers.
        self.link_free_at = 0.0
        #: Until when it is ejected.
        self.ejected_until = 0.0
        #: Prompts there whose first event is awaited.
        self.work: Final = EngineWork()
        #: Its inherent speed and reported slowness.
        self.speed: Final = TargetSpeed()
        self._slowness = 1.0
        self._updated_at = 0.0

    def find_slowness(self, now: float) -> float:
        """Return the moving average of the ratio of measured to expected times."""
        decay = 0.5 ** (max(0.0, now - self._updated_at) / SLOWNESS_HALF_LIFE)
        return float(1.0 + (self._slowness - 1.0) * decay)

    def wait_seconds(self, now: float) -> float:
        """Return the seconds until it will have prefilled all prompts placed at it."""
        return max(0.0, self.prefilled_at - now)

    def find_slow_factor(self, now: float) -> float:
        """Return the factor by which its times are longer; ratios below `SLOW_RATIO` are noise."""
        slowness = self.find_slowness(now)
        return slowness if slowness >= SLOW_RATIO else 1.0

    def record_ratio(self, ratio: float, now: float) -> None:
        """Record the ratio of a measured to the expected time, if it is finite."""
        if not math.isfinite(ratio):
            return
        known = self.find_slowness(now)
        self._slowness = known + SLOWNESS_WEIGHT * (ratio - known)
        self._updated_at = now
