"""Which waiting work a pool can finish in time.

When less can be finished than waits, priority decides what is refused.  It does not
decide the order: what is kept runs soonest due first, so that an urgent request which
can wait does not push a less urgent one out that can't.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from damsonlane.pools._waiting import Offer, WaitingPiece

#: Parts of a full call in which times are counted; finer ones cost processor time.
STEPS_PER_CALL: Final = 8
#: Full calls ahead that are looked at; what is due later counts as due then.
CALLS_AHEAD: Final = 12


@dataclass(frozen=True, kw_only=True)
class WaitingStage:
    """The pieces of one stage of one request; they are needed together."""

    #: The pieces that wait.
    pieces: tuple[WaitingPiece, ...]

    @property
    def rank(self) -> int:
        """Urgency of the request; 0 comes first."""
        return self.pieces[0].order.rank

    @property
    def aim_at(self) -> float:
        """When the results must be there to keep the request in aim."""
        return self.pieces[0].aim_at

    @property
    def is_first(self) -> bool:
        """Whether nothing has been done for its request yet."""
        return all(piece.is_first for piece in self.pieces)

    def may_be_refused(self, now: float) -> bool:
        """Tell whether its request may still be given up."""
        return self.is_first or now < self.pieces[0].give_up_until


class Schedule:
    """Places for pieces in the calls to come, given away until none is left in time.

    Args:
        offer: what the pool can do.
        now: the time by the monotonic clock.
    """

    def __init__(self, offer: Offer, now: float) -> None:
        self._now: Final = now
        self._step: Final = offer.full_seconds / STEPS_PER_CALL
        steps = STEPS_PER_CALL * CALLS_AHEAD
        #: Pieces that can be made by the end of each step, and those that must be.
        self._places: Final = _count_places(offer, self._step, steps)
        self._needed: Final = [0] * steps
        self._last = 0

    def try_add(self, stage: WaitingStage, share: float) -> bool:
        """Give a stage its places, if it and all before it can be in time.

        Args:
            stage: the stage.
            share: part of the pool that is there for work of its rank.
        """
        step = self._find_step(stage.aim_at)
        if step < 0:
            return False
        count = len(stage.pieces)
        last = max(step, self._last)
        for later in range(step, last + 1):
            if self._needed[later] + count > self._places[later] * share:
                return False
        for later in range(step, len(self._needed)):
            self._needed[later] += count
        self._last = last
        return True

    def _find_step(self, due_at: float) -> int:
        """Return the last step that ends by a time; -1 for none."""
        step = int((due_at - self._now) / self._step + 1e-6) - 1
        return min(step, len(self._needed) - 1)


def group_stages(pieces: Iterable[WaitingPiece]) -> list[WaitingStage]:
    """Return pieces by stage and request, in the order of their first pieces."""
    groups: dict[tuple[str, str, int], list[WaitingPiece]] = {}
    for piece in pieces:
        groups.setdefault(piece.group, []).append(piece)
    return [WaitingStage(pieces=tuple(group)) for group in groups.values()]


def _count_places(offer: Offer, step: float, steps: int) -> Sequence[float]:
    """Return how many pieces the targets can make by the end of each step."""
    # Where no target works, one is reckoned to come back at once.
    busy_seconds = offer.busy_seconds or (0.0,)
    places: list[float] = []
    for number in range(1, steps + 1):
        left = number * step
        places.append(sum(_count_made(offer, left - busy) for busy in busy_seconds))
    return places


def _count_made(offer: Offer, seconds: float) -> float:
    """Return how many pieces one target makes in a time: full calls, then a smaller one."""
    if seconds <= 0:
        return 0.0
    # A step that ends with a call has it whole, whatever the rounding of its length.
    calls = int(seconds / offer.full_seconds + 1e-6)
    rest = seconds - calls * offer.full_seconds - offer.call_seconds
    return calls * offer.batch + max(0.0, rest / offer.piece_seconds)
