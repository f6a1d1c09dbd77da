"""Priorities of request classes while a pool cannot serve all of them in time.

With strict priorities all load shedding would hit the least urgent class alone.  Here the
organisation's priority decides first, and the most urgent class of the same organisations goes
first.  The other classes are ordered by the share of their pieces that was refused recently,
less a fixed share for each step of urgency, so that they are shed by about the same share.
While nothing is refused, the more urgent class goes first.

The most urgent class takes no part in this balancing: it has the least time, so its requests
would be refused before their turn came.
"""

import math
from collections.abc import Collection
from typing import Final

#: Number of priority ranks of routes.  A rank combines both priorities: that of the
#: organisation times this number, plus that of the route.
ROUTE_PRIORITY_LEVELS: Final = 4
#: Time constant of the decay of the counts, in seconds.  Longer than a load peak, so that
#: classes that were shed in one peak go first in the next.
DECAY_SECONDS: Final = 10.0
#: Additional share of a class that may be refused for each step that it is less urgent.
STEP_SHARE: Final = 0.05
#: Pieces that count as served initially, so that a single refusal has little weight.
INITIAL_PIECES: Final = 20.0


class ClassPriorities:
    """Exponentially decaying counts of served and refused pieces by rank."""

    def __init__(self) -> None:
        self._served: dict[int, float] = {}
        self._refused: dict[int, float] = {}
        self._updated_at = 0.0

    def record_served(self, rank: int, now: float) -> None:
        """Record that a piece of a rank was taken from the queue to run."""
        self._decay(now)
        self._served[rank] = self._served.get(rank, 0.0) + 1.0

    def record_refused(self, rank: int, now: float) -> None:
        """Record that a piece of a rank was refused."""
        self._decay(now)
        self._refused[rank] = self._refused.get(rank, 0.0) + 1.0

    def sort_key(self, rank: int) -> tuple[int, float, int]:
        """Return the priority of a rank; the least goes first."""
        refused = self._refused.get(rank, 0.0)
        total = refused + self._served.get(rank, 0.0) + INITIAL_PIECES
        organisation_rank, step = divmod(rank, ROUTE_PRIORITY_LEVELS)
        if step == 0:
            return (organisation_rank, -1.0, step)
        return (organisation_rank, step * STEP_SHARE - refused / total, step)

    def list_before(self, rank: int, ranks: Collection[int]) -> list[int]:
        """Return those of the given ranks that go before a rank."""
        own = self.sort_key(rank)
        return [other for other in ranks if other != rank and self.sort_key(other) < own]

    def _decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self._updated_at) / DECAY_SECONDS)
        self._updated_at = now
        for counts in (self._served, self._refused):
            for rank in counts:
                counts[rank] *= factor
