"""How long the pieces of each rank wait at one pool."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from damsonlane.pools import PieceOrder

#: Seconds for which one forecast of a rank's wait serves.
FORECAST_SECONDS: Final = 0.05


@dataclass(frozen=True, kw_only=True)
class _Forecast:
    """How long pieces of one rank wait."""

    #: Seconds until such a piece would begin.
    seconds: float
    #: When that was reckoned, by the loop's clock.
    made_at: float


class WaitForecasts:
    """Forecasts of waits; one serves all pieces of a rank for a moment.

    Args:
        reckon: looks at the whole queue and returns the seconds that a piece
            like a given one would wait for its turn.
    """

    def __init__(self, reckon: Callable[[PieceOrder], float]) -> None:
        self._reckon: Final = reckon
        self._forecasts: dict[int, _Forecast] = {}

    def seconds(self, like: PieceOrder, now: float) -> float:
        """Return the seconds that a piece like another would wait for its turn."""
        known = self._forecasts.get(like.rank)
        if known is None or now - known.made_at > FORECAST_SECONDS:
            known = _Forecast(seconds=self._reckon(like), made_at=now)
            self._forecasts[like.rank] = known
        return known.seconds
