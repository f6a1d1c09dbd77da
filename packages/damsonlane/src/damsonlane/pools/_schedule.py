"""Feasibility check: which waiting stages a pool can finish in time.

If not all can be finished in time, priority decides which are refused, but not the order: the
rest run earliest objective first, so that an urgent request with time to spare does not displace
a less urgent one without.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from damsonlane.pools._waiting import CallCapacity, WaitingPiece

#: Time steps per full call; more steps cost processor time.
STEPS_PER_CALL: Final = 8
#: Planning horizon, in full calls; later objectives count as if they were at its end.
CALLS_AHEAD: Final = 12
#: Limit of the planning horizon, in steps, where a rate limit delays the next call for long.
MAX_STEPS: Final = 800


@dataclass(frozen=True, kw_only=True)
class WaitingStage:
    """The waiting pieces of one stage of one request; they are needed together."""

    #: The pieces.
    pieces: tuple[WaitingPiece, ...]

    @property
    def rank(self) -> int:
        """Priority rank of the request; 0 comes first."""
        return self.pieces[0].order.rank

    @property
    def objective_at(self) -> float:
        """When the results must be available to meet the latency objective."""
        return self.pieces[0].objective_at

    @property
    def is_unstarted(self) -> bool:
        """Whether no work has been done for the request yet."""
        return all(piece.is_unstarted for piece in self.pieces)

    def may_be_refused(self, now: float) -> bool:
        """Return whether the request may still be refused or abandoned."""
        return self.is_unstarted or now < self.pieces[0].abandonable_until


class Schedule:
    """Capacity of a pool in its next calls, which stages reserve in the order they are added.

    Args:
        capacity: the capacity of the pool.
        now: the monotonic clock, in seconds.
    """

    def __init__(self, capacity: CallCapacity, now: float) -> None:
        self._now: Final = now
        self._step: Final = capacity.full_seconds / STEPS_PER_CALL
        steps = _count_steps(capacity, self._step)
        #: Pieces that can be computed by the end of each step, and those that must be.
        self._computable: Final = _find_capacity(capacity, self._step, steps)
        self._needed: Final = [0] * steps
        self._last = 0

    def try_add(self, stage: WaitingStage, share: float) -> bool:
        """Reserve capacity for a stage if it and all stages added before stay in time.

        Args:
            stage: the stage.
            share: share of the capacity that is left for work of its rank.

        Returns:
            Whether the stage can be in time.
        """
        step = self._find_step(stage.objective_at)
        if step < 0:
            return False
        count = len(stage.pieces)
        last = max(step, self._last)
        needed, computable = self._needed, self._computable
        for later in range(step, last + 1):
            if needed[later] + count > computable[later] * share:
                return False
        for later in range(step, len(needed)):
            needed[later] += count
        self._last = last
        return True

    def _find_step(self, ends_by: float) -> int:
        """Return the last step that ends by a time; -1 for none."""
        step = int((ends_by - self._now) / self._step + 1e-6) - 1
        return min(step, len(self._needed) - 1)


def group_stages(pieces: Iterable[WaitingPiece]) -> list[WaitingStage]:
    """Return pieces grouped by stage and request, in the order of each group's first piece."""
    groups: dict[tuple[str, str, int], list[WaitingPiece]] = {}
    for piece in pieces:
        groups.setdefault(piece.group, []).append(piece)
    return [WaitingStage(pieces=tuple(group)) for group in groups.values()]


def _count_steps(capacity: CallCapacity, step: float) -> int:
    """Return the length of the horizon; it includes the next calls of rate-limited targets."""
    usual = STEPS_PER_CALL * CALLS_AHEAD
    if not capacity.call_interval_seconds:
        return usual
    next_calls = map(sum, zip(capacity.busy_seconds, capacity.call_interval_seconds, strict=True))
    return min(MAX_STEPS, usual + int(max(next_calls) / step))


def _find_capacity(capacity: CallCapacity, step: float, steps: int) -> Sequence[float]:
    """Return how many pieces the targets can compute by the end of each step."""
    computable = [0.0] * steps
    # If no target can be used, one is assumed to return at once or after its back-off.
    waits = capacity.busy_seconds or (capacity.backoff_seconds,)
    gaps = capacity.call_interval_seconds or (0.0,) * len(waits)
    for busy, gap in zip(waits, gaps, strict=True):
        _add_target(computable, capacity, step, busy, gap)
    return computable


def _add_target(
    computable: list[float], capacity: CallCapacity, step: float, busy: float, gap: float
) -> None:
    """Add what one target computes by the end of each step: full calls, then a partial one.

    Args:
        computable: pieces that all targets compute by the end of each step.
        capacity: the capacity of the pool.
        step: length of a step, in seconds.
        busy: seconds until the target takes a call.
        gap: minimum seconds from the start of one call to the next, by its rate limit.
    """
    # Read once: the loop runs for every target and step of each evaluation.
    full_seconds = capacity.full_seconds
    call_seconds = capacity.call_seconds
    piece_seconds = capacity.piece_seconds
    batch = capacity.batch
    cycle = max(full_seconds, gap)
    idle = cycle - full_seconds
    for index in range(int(busy / step), len(computable)):
        seconds = (index + 1) * step - busy
        if seconds <= 0:
            continue
        # The tolerance counts a call that ends together with the step, despite rounding.
        calls = int((seconds + idle) / cycle + 1e-6)
        rest = seconds - calls * cycle - call_seconds
        computable[index] += calls * batch + max(0.0, rest / piece_seconds)
