"""Work that misses its latency objective but can still meet its deadline.

Late work runs by deadline in the capacity that in-time work leaves.  It runs before in-time work
that has time to spare only if that work, and as much as arrived recently, still meets its latency
objectives; otherwise it only fills calls for which no in-time work waits.
"""

import operator
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from typing import Final

from damsonlane.pools._batch import fill_batch, may_run_at
from damsonlane.pools._schedule import CALLS_AHEAD, Schedule, WaitingStage
from damsonlane.pools._stages import WaitingStages
from damsonlane.pools._waiting import CallCapacity, WaitingPiece

#: Largest share of the usable targets that run calls with late pieces only, and of the free result
#: memory of a target that is taken by late pieces that merely fill a call.
LATE_SHARE: Final = 0.5
#: Share of the capacity that is planned for in-time work, expected arrivals and late work together.
#: The rest absorbs a wave that begins while late work runs.
PLANNED_SHARE: Final = 0.6
#: Period whose arrivals are expected again, in seconds.
ARRIVAL_SECONDS: Final = 1.0
#: Seconds for which such arrivals take the capacity that late work needs to be kept.  Without them,
#: late work of a wave is kept until it expires; with those of all later calls, a wave is taken to
#: last, and hardly any late work is kept.
KEEP_SECONDS: Final = 0.5


@dataclass(frozen=True, kw_only=True)
class LateStage(WaitingStage):
    """A stage that misses its latency objective; its deadline is the objective that is left."""

    @property
    def objective_at(self) -> float:
        """When the results must be available, which is the deadline."""
        return self.deadline_at


class LateWork:
    """Late stages of one pool, and the calls in which their pieces run.

    A stage that was found late stays late.  If it were judged again with each call, it would take
    the place of newer stages of its rank, whose objectives are later, and become late after all.
    """

    def __init__(self) -> None:
        #: The late stages, which are not in the queue of in-time work.
        self.waiting: Final = WaitingStages()
        #: Arrival time, time until the objective and number of recently ordered pieces.
        self._arrivals: Final[deque[tuple[float, float, int]]] = deque()
        #: Group of the newest arrival.
        self._newest: tuple[str, str, int] | None = None
        #: When each call with late pieces only ends, by the monotonic clock.
        self._ends: list[float] = []
        self._is_used = False

    def record_arrival(self, piece: WaitingPiece) -> None:
        """Record a piece that was ordered."""
        self._is_used = self._is_used or piece.order.may_be_late
        if not self._is_used or piece.attempts:
            return
        arrived_at = piece.deadline_at - piece.order.left_seconds
        # The pieces of a stage are ordered together, but the times in their orders differ slightly.
        # Counted one by one they would lengthen each evaluation of the queue several times.
        if self._arrivals and piece.group == self._newest:
            first_at, slack, pieces = self._arrivals[-1]
            self._arrivals[-1] = (first_at, slack, pieces + 1)
        else:
            self._arrivals.append((arrived_at, piece.order.aim_left_seconds, 1))
            self._newest = piece.group
        while self._arrivals[0][0] < arrived_at - ARRIVAL_SECONDS:
            self._arrivals.popleft()

    def add(self, stage: WaitingStage) -> None:
        """Add a stage that can't meet its latency objective."""
        for piece in stage.pieces:
            self.waiting.add(replace(piece, is_late=True))

    def split(
        self,
        in_time: Sequence[WaitingStage],
        now: float,
        capacity: CallCapacity,
        gives_way: Callable[[WaitingStage], bool],
    ) -> tuple[list[LateStage], list[LateStage]]:
        """Return the stages that may run among in-time work, and the others.

        The former are sorted by deadline, and leave enough capacity for the in-time stages and
        for as many arrivals as there were recently.  The latter are sorted in the same way, but
        those that give way come last.

        Args:
            in_time: the stages that meet their latency objective.
            now: the monotonic clock, in seconds.
            capacity: the capacity of the pool.
            gives_way: returns whether a late stage gives way to the other late ones.
        """
        # The call that takes a late stage may be full.  A stage that may no longer be refused is
        # not left to expire for this reason, since its call may well be shorter.
        earliest = now + capacity.full_seconds
        stages = [
            LateStage(pieces=stage.pieces)
            for stage in self.waiting.list_all()
            if stage.deadline_at >= earliest or not stage.may_be_refused(now)
        ]
        if not stages:
            return [], []
        schedule = _reserve_in_time(in_time, now, capacity)
        self._reserve_arrivals(schedule, now, capacity, CALLS_AHEAD * capacity.full_seconds)
        among: list[LateStage] = []
        after: list[LateStage] = []
        for late in sorted(stages, key=lambda stage: (gives_way(stage), stage.deadline_at)):
            may_run = schedule.try_add(late, capacity.throughput_ratio * PLANNED_SHARE)
            (among if may_run else after).append(late)
        among.sort(key=operator.attrgetter("deadline_at"))
        return among, after

    def list_refused(
        self,
        in_time: Sequence[WaitingStage],
        now: float,
        capacity: CallCapacity,
        late: Sequence[WaitingStage],
    ) -> list[WaitingStage]:
        """Return the stages that can't meet their deadline and may still be refused.

        Args:
            in_time: the stages that meet their latency objective.
            now: the monotonic clock, in seconds.
            capacity: the capacity of the pool.
            late: the late stages; if not all can meet their deadline, the last ones are refused.
        """
        if not late:
            return []
        schedule = _reserve_in_time(in_time, now, capacity)
        self._reserve_arrivals(schedule, now, capacity, KEEP_SECONDS)
        earliest = now + capacity.backoff_seconds + capacity.full_seconds
        refused: list[WaitingStage] = []
        for stage in late:
            is_kept = stage.deadline_at >= earliest and schedule.try_add(
                LateStage(pieces=stage.pieces), capacity.throughput_ratio
            )
            if not is_kept and stage.may_be_refused(now):
                refused.append(stage)
        return refused

    def _reserve_arrivals(
        self, schedule: Schedule, now: float, capacity: CallCapacity, seconds: float
    ) -> None:
        """Reserve capacity for arrivals like the recent ones within the next seconds."""
        horizon = CALLS_AHEAD * capacity.full_seconds
        for arrived_at, slack, pieces in self._arrivals:
            if slack < capacity.call_seconds or arrived_at < now - ARRIVAL_SECONDS:
                continue
            again_at = arrived_at + ARRIVAL_SECONDS
            while again_at < now + seconds and again_at + slack < now + horizon:
                schedule.reserve(pieces, again_at + slack)
                again_at += ARRIVAL_SECONDS

    def complete(
        self,
        batch: Sequence[WaitingPiece],
        waiting: Sequence[WaitingStage],
        late: Sequence[LateStage],
        now: float,
        capacity: CallCapacity,
    ) -> list[WaitingPiece]:
        """Return the pieces of a call with as many late ones as do not harm in-time work.

        Args:
            batch: the pieces that were chosen, some of them late.
            waiting: the stages from which they were chosen.
            late: further late stages, earliest deadline first.
            now: the monotonic clock, in seconds.
            capacity: the target that takes the call.
        """
        in_time = [piece for piece in batch if piece.identity not in self.waiting]
        if not in_time and not self._may_hold_another(now, capacity):
            # The target would be idle although work in time may wait behind the late pieces.
            waiting = [stage for stage in waiting if stage.pieces[0].identity not in self.waiting]
            batch = in_time = fill_batch(waiting, now, capacity)
            if not in_time:
                return []
        slots = _count_slots(in_time, now, capacity)
        if slots <= 0:
            return in_time
        added = [piece for piece in batch if piece.identity in self.waiting][:slots]
        if late and not _has_contention(waiting, batch, now, capacity):
            free_bytes = capacity.result_memory_bytes - _sum_bytes([*in_time, *added])
            limited = replace(capacity, result_memory_bytes=int(LATE_SHARE * max(0, free_bytes)))
            added.extend(fill_batch(late, now, limited, slots - len(added)))
        if added and not in_time:
            seconds = capacity.call_seconds + len(added) * capacity.piece_seconds
            self._ends.append(now + seconds)
        return [*in_time, *added]

    def _may_hold_another(self, now: float, capacity: CallCapacity) -> bool:
        """Return whether one more target may run a call with late pieces only."""
        self._ends = [ends_at for ends_at in self._ends if ends_at > now]
        return len(self._ends) < max(1, int(LATE_SHARE * capacity.targets))


def _sum_bytes(pieces: Sequence[WaitingPiece]) -> int:
    """Return the announced size of the results of pieces."""
    return sum(piece.order.result_bytes for piece in pieces)


def _has_contention(
    waiting: Sequence[WaitingStage],
    batch: Sequence[WaitingPiece],
    now: float,
    capacity: CallCapacity,
) -> bool:
    """Return whether stages that fit the call were left out, for lack of result memory."""
    groups = {piece.group for piece in batch}
    slots = capacity.batch - len(batch)
    return any(
        len(stage.pieces) <= slots
        and stage.pieces[0].group not in groups
        and may_run_at(stage, now, capacity)
        for stage in waiting
    )


def _count_slots(batch: Sequence[WaitingPiece], now: float, capacity: CallCapacity) -> int:
    """Return how many pieces a call can take more without making any of its pieces late."""
    slots = capacity.batch - len(batch)
    # Pieces that have no time to spare anyway do not limit the call.
    earliest = now + capacity.call_seconds + len(batch) * capacity.piece_seconds
    objectives = [piece.objective_at for piece in batch if piece.objective_at >= earliest]
    if not objectives:
        return slots
    return min(slots, int((min(objectives) - earliest) / capacity.piece_seconds))


def _reserve_in_time(
    in_time: Sequence[WaitingStage], now: float, capacity: CallCapacity
) -> Schedule:
    """Return a schedule in which in-time stages have reserved their capacity."""
    schedule = Schedule(capacity, now)
    for stage in in_time:
        schedule.reserve(len(stage.pieces), stage.objective_at)
    return schedule
