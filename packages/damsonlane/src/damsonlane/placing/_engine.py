"""What is known of one engine: what it keeps, what it was given to read, and its pace."""

from typing import Final

from damsonlane.placing._prefix_cache import KeptParts

#: Times the expected time from which on an engine counts as slow.
SLOW: Final = 2.0
#: Weight of a new sample in an engine's slowness.
SLOWNESS_WEIGHT: Final = 0.3
#: Seconds in which an unused engine's slowness goes half way back to normal.
SLOWNESS_HALF_LIFE: Final = 5.0


class Engine:
    """What is known of one engine; mutable.

    Args:
        cache_tokens: tokens that its memory holds.
        data_centre: where it stands.
        start: its start.
    """

    def __init__(self, cache_tokens: int, data_centre: str, start: int = 0) -> None:
        self.start: Final = start
        self.data_centre: Final = data_centre
        self.kept: Final = KeptParts(cache_tokens)
        #: When it has read all that it was given.
        self.read_at = 0.0
        #: When its link has moved all that it was asked to.
        self.link_free_at = 0.0
        #: Until when it is left alone.
        self.rests_until = 0.0
        self._slowness = 1.0
        self._measured_at = 0.0

    def find_slowness(self, now: float) -> float:
        """Return how its times compare with those expected; 1 is the usual pace."""
        fading = 0.5 ** (max(0.0, now - self._measured_at) / SLOWNESS_HALF_LIFE)
        return float(1.0 + (self._slowness - 1.0) * fading)

    def wait_seconds(self, now: float) -> float:
        """Return the seconds until it has read all that it was given."""
        return max(0.0, self.read_at - now)

    def find_pace(self, now: float) -> float:
        """Return by how much its times are longer; differences below `SLOW` are noise."""
        slowness = self.find_slowness(now)
        return slowness if slowness >= SLOW else 1.0

    def note_ratio(self, ratio: float, now: float) -> None:
        """Note a time as a multiple of the expected one."""
        known = self.find_slowness(now)
        self._slowness = known + SLOWNESS_WEIGHT * (ratio - known)
        self._measured_at = now
