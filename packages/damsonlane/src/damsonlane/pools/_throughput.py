"""How much a pool makes of what its traits promise."""

from typing import Final

#: Weight of one call: about the last ten count, two seconds of a pool of three targets.
CALL_WEIGHT: Final = 0.1
#: Bounds of the share, so that a few odd calls can't close a pool.
SHARE_RANGE: Final = (0.5, 1.2)


class YieldedWork:
    """Pieces made a second while more waited than one call takes, by the calls of a pool.

    Answers queues that are forecast too short: calls are not full where room for results
    or the size of stages binds, so a pool made 0.72 to 0.94 of what full calls would.
    """

    def __init__(self) -> None:
        self._share = 1.0

    def share(self) -> float:
        """Return what the pool makes as a share of full calls in the time that was told."""
        low, high = SHARE_RANGE
        return min(high, max(low, self._share))

    def note(self, pieces: int, batch: int, seconds: float, full_seconds: float) -> None:
        """Note a call that could have been full.

        Args:
            pieces: pieces in it.
            batch: most pieces in a call.
            seconds: time that it took.
            full_seconds: time that a full one should take.
        """
        sample = (pieces / batch) * (full_seconds / seconds)
        self._share += CALL_WEIGHT * (sample - self._share)
