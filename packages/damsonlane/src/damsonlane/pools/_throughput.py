"""Throughput of a pool relative to its nominal throughput."""

from typing import Final

#: Weight of one call in the moving average: the last ten calls count, which are two seconds of a
#: pool of three targets.
CALL_WEIGHT: Final = 0.1
#: Bounds of the share, so that a few outliers cannot make the pool refuse everything.
SHARE_RANGE: Final = (0.5, 1.2)


class ThroughputEstimate:
    """Moving average of the throughput of a pool while its queue could fill a call.

    Calls are smaller than possible where result memory or the size of stages limits them;
    without this correction, waits would be estimated too short.
    """

    def __init__(self) -> None:
        self._share = 1.0

    def ratio(self) -> float:
        """Return the throughput as a share of that of full calls in their nominal time."""
        low, high = SHARE_RANGE
        return min(high, max(low, self._share))

    def record_call(self, pieces: int, batch: int, seconds: float, full_seconds: float) -> None:
        """Record a call that could have been full.

        Args:
            pieces: number of pieces in the call.
            batch: maximum number of pieces in a call.
            seconds: time that the call took.
            full_seconds: nominal time of a full call, in seconds.
        """
        sample = (pieces / batch) * (full_seconds / seconds)
        self._share += CALL_WEIGHT * (sample - self._share)
