"""Estimates how long pieces wait in the queue of a pool, by priority."""

from collections.abc import Callable
from typing import Final

from damsonlane.pools import PieceOrder
from damsonlane.records import dataclass

#: Seconds for which an estimate is reused.
FORECAST_SECONDS: Final = 0.05


@dataclass(frozen=True, kw_only=True)
class _Forecast:
    """The estimated wait of pieces of one priority."""

    #: Queueing time of such a piece in seconds.
    seconds: float
    #: When it was estimated, by the loop's clock.
    estimated_at: float


class WaitForecasts:
    """Caches wait estimates by priority (``rank``) for ``FORECAST_SECONDS``.

    Args:
        estimate: scans the whole queue and returns the queueing time in seconds
            of a piece like the given one.
    """

    def __init__(self, estimate: Callable[[PieceOrder], float]) -> None:
        self._estimate: Final = estimate
        self._forecasts: dict[int, _Forecast] = {}

    def seconds(self, like: PieceOrder, now: float) -> float:
        """Return the estimated queueing time of a piece like the given one, in seconds."""
        known = self._forecasts.get(like.rank)
        if known is None or now - known.estimated_at > FORECAST_SECONDS:
            known = _Forecast(seconds=self._estimate(like), estimated_at=now)
            self._forecasts[like.rank] = known
        return known.seconds
