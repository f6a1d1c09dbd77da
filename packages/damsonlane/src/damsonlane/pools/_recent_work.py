"""Recent throughput of a pool by priority rank."""

import math
from collections.abc import Collection
from typing import Final

#: Time constant of the decay, in seconds: several full calls, so that one batch has little
#: weight, but short enough to follow a rising load peak.
DECAY_SECONDS: Final = 1.5


class RecentWork:
    """Exponentially decaying rates at which pieces of each rank were taken from the queue."""

    def __init__(self) -> None:
        self._rates: dict[int, float] = {}
        self._updated_at = 0.0

    def record(self, rank: int, now: float) -> None:
        """Record that a piece of a rank was taken from the queue."""
        self._decay(now)
        self._rates[rank] = self._rates.get(rank, 0.0) + 1.0 / DECAY_SECONDS

    def ranks(self) -> Collection[int]:
        """Return the ranks that have a recorded rate."""
        return self._rates.keys()

    def rate_of(self, ranks: Collection[int], now: float) -> float:
        """Return the sum of the rates of the given ranks, in pieces per second."""
        self._decay(now)
        return sum(self._rates.get(rank, 0.0) for rank in ranks)

    def _decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self._updated_at) / DECAY_SECONDS)
        self._updated_at = now
        self._rates = {rank: rate * factor for rank, rate in self._rates.items()}
