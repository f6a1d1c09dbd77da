"""How much of a pool's work went to each rank lately."""

import math
from collections.abc import Collection
from typing import Final

#: Seconds over which work is remembered: about four full calls of the first users'
#: pools, so that one batch is no trend and a wave is noticed while it rises.
MEMORY_SECONDS: Final = 1.5


class TakenWork:
    """Rates at which pieces of each rank were taken from the queue, fading with time."""

    def __init__(self) -> None:
        self._rates: dict[int, float] = {}
        self._noted_at = 0.0

    def note(self, rank: int, now: float) -> None:
        """Note that a piece of a rank was taken."""
        self._fade(now)
        self._rates[rank] = self._rates.get(rank, 0.0) + 1.0 / MEMORY_SECONDS

    def ranks(self) -> Collection[int]:
        """Return the ranks of which pieces were taken."""
        return self._rates.keys()

    def rate_of(self, ranks: Collection[int], now: float) -> float:
        """Return the pieces a second that were taken of some ranks."""
        self._fade(now)
        return sum(self._rates.get(rank, 0.0) for rank in ranks)

    def _fade(self, now: float) -> None:
        left = math.exp(-max(0.0, now - self._noted_at) / MEMORY_SECONDS)
        self._noted_at = now
        self._rates = {rank: rate * left for rank, rate in self._rates.items()}
