"""Whose work has the first claim to a place where not all can be served in time.

Answers a wave that a pool can't make in time.  Given to the most urgent kind first, whatever
is missing is taken from the least urgent kind alone: in a wave of another one 0.69 of it
attained, with these claims 0.92 (replays).

An organisation's rank still decides first; among the kinds of request
of one rank of organisations the most urgent one still goes first, and of the others the one
that was refused most lately, less a little for each step that it is less urgent.  So they give
way by about the same share, and while nothing is refused the more urgent kind goes first.

The most urgent kind is left out since it has the least time: what has to wait for its claim to
come round is refused meanwhile (with it, 0.64 of it attained instead of 0.73 with a target
lost, replays of 12 seeds).
"""

import math
from collections.abc import Collection
from typing import Final

#: Ranks that routes use; a rank of organisations is worth as many.
RANKS_OF_ROUTES: Final = 4
#: Seconds over which refusals are remembered: longer than a wave, so that who gave way in one
#: is made up for in the next.
MEMORY_SECONDS: Final = 10.0
#: Share of its work that a kind may be refused more than one that is a step more urgent.
STEP_SHARE: Final = 0.05
#: Pieces that count as served before any was, so that a first refusal says little.
INITIAL_PIECES: Final = 20.0


class Claims:
    """Pieces of each rank that were taken and refused lately, fading with time."""

    def __init__(self) -> None:
        self._taken: dict[int, float] = {}
        self._refused: dict[int, float] = {}
        self._noted_at = 0.0

    def note_taken(self, rank: int, now: float) -> None:
        """Note that a piece of a rank was taken."""
        self._fade(now)
        self._taken[rank] = self._taken.get(rank, 0.0) + 1.0

    def note_refused(self, rank: int, now: float) -> None:
        """Note that a piece of a rank was refused."""
        self._fade(now)
        self._refused[rank] = self._refused.get(rank, 0.0) + 1.0

    def rate(self, rank: int) -> tuple[int, float, int]:
        """Return the claim of a rank; the least goes first."""
        refused = self._refused.get(rank, 0.0)
        seen = refused + self._taken.get(rank, 0.0) + INITIAL_PIECES
        organisations, step = divmod(rank, RANKS_OF_ROUTES)
        if step == 0:
            return (organisations, -1.0, step)
        return (organisations, step * STEP_SHARE - refused / seen, step)

    def list_before(self, rank: int, ranks: Collection[int]) -> list[int]:
        """Return those of some ranks that have a claim before one."""
        own = self.rate(rank)
        return [other for other in ranks if other != rank and self.rate(other) < own]

    def _fade(self, now: float) -> None:
        left = math.exp(-max(0.0, now - self._noted_at) / MEMORY_SECONDS)
        self._noted_at = now
        for counts in (self._taken, self._refused):
            for rank in counts:
                counts[rank] *= left
