"""Feasibility check: which waiting stages a pool can finish in time.

If not all can be finished in time, priority decides which are refused, but not the order: the
rest run earliest objective first, so that an urgent request with time to spare does not displace
a less urgent one without.
"""

import functools
import itertools
import math
import operator
from dataclasses import dataclass
from typing import Final

from damsonlane.pools._waiting import CallCapacity, WaitingPiece

#: Time steps per full call; more steps cost processor time.
STEPS_PER_CALL: Final = 8
#: Planning horizon, in full calls; later objectives count as if they were at its end.
CALLS_AHEAD: Final = 12
#: Limit of the planning horizon, in steps, where a rate limit delays the next call for long.
MAX_STEPS: Final = 800
#: Parts of a step to which the time until a target is free is rounded up.
PARTS_PER_STEP: Final = 16


@dataclass(frozen=True, kw_only=True)
class WaitingStage:
    """The waiting pieces of one stage of one request; they are needed together."""

    #: The pieces, which have the same time limits and the same preferred data centre.
    pieces: tuple[WaitingPiece, ...]

    @property
    def home(self) -> str:
        """Data centre where its pieces should run, or an empty string."""
        return self.pieces[0].order.home

    @property
    def deadline_at(self) -> float:
        """Deadline after which nobody waits for the results."""
        return self.pieces[0].deadline_at

    @property
    def rank(self) -> int:
        """Priority rank of the request; 0 comes first."""
        return self.pieces[0].order.rank

    @property
    def organisation(self) -> str:
        """Organisation of the caller, or an empty string."""
        return self.pieces[0].order.organisation

    @property
    def objective_at(self) -> float:
        """When the results must be available to meet the latency objective."""
        return self.pieces[0].objective_at

    @property
    def is_unstarted(self) -> bool:
        """Whether no work has been done for the request yet."""
        return all(piece.is_unstarted for piece in self.pieces)

    @property
    def may_be_late(self) -> bool:
        """Whether a result that misses the latency objective is wanted."""
        return self.pieces[0].order.may_be_late

    def may_be_refused(self, now: float) -> bool:
        """Return whether the request may still be refused or abandoned."""
        return self.is_unstarted or now < self.pieces[0].abandonable_until


class Schedule:
    """Capacity of a pool in its next calls, which stages reserve in the order they are added.

    Stages that are added with one share and rising objectives form a run.  Within it, what the
    run has reserved so far counts for every later stage, so each takes a constant time.

    Args:
        capacity: the capacity of the pool.
        now: the monotonic clock, in seconds.
    """

    def __init__(self, capacity: CallCapacity, now: float) -> None:
        self._now: Final = now
        self._step: Final = capacity.full_seconds / STEPS_PER_CALL
        steps = _count_steps(capacity, self._step)
        #: Pieces that can be computed by the end of each step.
        self._computable: Final = _find_capacity(capacity, self._step, steps)
        #: Pieces whose objective lies in each step.
        self._reserved: Final = [0] * steps
        #: Last step in which a piece has its objective.
        self._last = 0
        #: Share, last step and pieces of the run.
        self._share = 0.0
        self._run_step = steps
        self._run_pieces = 0
        #: Pieces that can be added by the end of each step, and by the end of each step up to the
        #: last one before the run, without the pieces of the run.
        self._spare: list[float] = []
        self._least_spare: list[float] = []

    def reserve(self, pieces: int, ends_by: float) -> None:
        """Reserve capacity for pieces until a time, whether or not there is enough."""
        step = max(0, self._find_step(ends_by))
        self._reserved[step] += pieces
        self._last = max(step, self._last)
        self._run_step = len(self._reserved)

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
        if share != self._share or step < self._run_step:
            self._begin_run(share)
        count = len(stage.pieces)
        spare = self._least_spare[step] if step < len(self._least_spare) else self._spare[step]
        if spare - self._run_pieces < count:
            return False
        self._reserved[step] += count
        self._run_pieces += count
        self._run_step = step
        self._last = max(step, self._last)
        return True

    def _begin_run(self, share: float) -> None:
        """Begin a run of stages with the same share and rising objectives."""
        needed = itertools.accumulate(self._reserved)
        self._spare = [
            computable * share - pieces
            for computable, pieces in zip(self._computable, needed, strict=True)
        ]
        before = self._spare[: self._last + 1]
        self._least_spare = list(itertools.accumulate(reversed(before), min))[::-1]
        self._share = share
        self._run_step = 0
        self._run_pieces = 0

    def _find_step(self, ends_by: float) -> int:
        """Return the last step that ends by a time; -1 for none."""
        step = int((ends_by - self._now) / self._step + 1e-6) - 1
        return min(step, len(self._reserved) - 1)


def _count_steps(capacity: CallCapacity, step: float) -> int:
    """Return the length of the horizon; it includes the next calls of rate-limited targets."""
    usual = STEPS_PER_CALL * CALLS_AHEAD
    if not capacity.call_interval_seconds:
        return usual
    next_calls = map(sum, zip(capacity.busy_seconds, capacity.call_interval_seconds, strict=True))
    return min(MAX_STEPS, usual + int(max(next_calls) / step))


def _find_capacity(capacity: CallCapacity, step: float, steps: int) -> list[float]:
    """Return how many pieces the targets can compute by the end of each step."""
    computable = [0.0] * steps
    # If no target can be used, one is assumed to return at once or after its back-off.
    waits = capacity.busy_seconds or (capacity.backoff_seconds,)
    gaps = capacity.call_interval_seconds or (0.0,) * len(waits)
    for busy, gap in zip(waits, gaps, strict=True):
        first, part = divmod(math.ceil(busy / step * PARTS_PER_STEP - 1e-6), PARTS_PER_STEP)
        work = _TargetWork(
            call_seconds=capacity.call_seconds,
            piece_seconds=capacity.piece_seconds,
            batch=capacity.batch,
            interval_seconds=max(capacity.full_seconds, gap),
            delay_seconds=part * step / PARTS_PER_STEP,
        )
        computable[first:] = map(
            operator.add, computable[first:], _list_completions(work, step, steps)
        )
    return computable


@dataclass(frozen=True, kw_only=True)
class _TargetWork:
    """The calls that one target can process one after another."""

    #: Fixed time of a call besides its pieces, in seconds.
    call_seconds: float
    #: Time of one piece, in seconds.
    piece_seconds: float
    #: Maximum number of pieces in a call.
    batch: int
    #: Seconds from the start of one call to the next.
    interval_seconds: float
    #: Seconds until the first call starts, less than one step.
    delay_seconds: float


@functools.lru_cache(maxsize=1_024)
def _list_completions(work: _TargetWork, step: float, steps: int) -> tuple[float, ...]:
    """Return the pieces that a target computes by the end of each step."""
    full_seconds = work.call_seconds + work.batch * work.piece_seconds
    idle = work.interval_seconds - full_seconds
    completions: list[float] = []
    for index in range(steps):
        seconds = (index + 1) * step - work.delay_seconds
        # The tolerance counts a call that ends together with the step, despite rounding.
        calls = int((seconds + idle) / work.interval_seconds + 1e-6)
        rest = seconds - calls * work.interval_seconds - work.call_seconds
        completions.append(calls * work.batch + max(0.0, rest / work.piece_seconds))
    return tuple(completions)
