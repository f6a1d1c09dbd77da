"""The queue of a pool: order, load shedding and wait estimates."""

import heapq
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Final, TypeVar

from damsonlane.fairness import UsageTotals, equal_weight
from damsonlane.pools._batch import fill_batch
from damsonlane.pools._late_work import LateStage, LateWork
from damsonlane.pools._organisation_shares import PoolShares
from damsonlane.pools._pieces import PieceOrder
from damsonlane.pools._priorities import ClassPriorities
from damsonlane.pools._recent_work import RecentWork
from damsonlane.pools._schedule import Schedule, WaitingStage
from damsonlane.pools._stages import WaitingStages
from damsonlane.pools._waiting import CallCapacity, WaitingPiece

#: Largest share of a pool that is assumed to be taken by further pieces of higher priority. Their
#: load peaks last a few seconds; a larger share refuses pieces that could be in time.
MAX_HIGHER_PRIORITY_SHARE: Final = 0.5

_Stage = TypeVar("_Stage", bound=WaitingStage)


@dataclass(frozen=True, kw_only=True)
class Selection:
    """The pieces that leave the queue when a target takes a call."""

    #: Pieces to run, most urgent first.
    batch: tuple[WaitingPiece, ...]
    #: Pieces that are too late, or will be before their turn; removed from the queue.
    late: tuple[WaitingPiece, ...]


@dataclass(kw_only=True)
class CallPlan:
    """The order in which waiting stages run, from one evaluation of the queue; mutable."""

    #: The stages, most urgent first.
    ordered: list[WaitingStage]
    #: Pieces that were removed from the queue, since they are too late or will be.
    late: tuple[WaitingPiece, ...]
    #: Late stages that only fill calls which the others leave; earliest deadline first.
    spare: list[LateStage] = field(default_factory=list)

    def remove(self, batch: Sequence[WaitingPiece]) -> None:
        """Remove the pieces of a call."""
        if not batch:
            return
        self.ordered = _list_remaining(self.ordered, batch)
        self.spare = _list_remaining(self.spare, batch)


@dataclass(frozen=True, kw_only=True)
class _Evaluation:
    """The waiting stages, in the order in which they should run."""

    #: Stages that can meet their latency objective, earliest first.
    in_time: list[WaitingStage]
    #: All others; those of requests already begun come first, since work was done for them.
    not_in_time: list[WaitingStage]


class PieceQueue:
    """Waiting pieces of one pool.

    Args:
        find_weight: returns the weight of an organisation by its name.
    """

    def __init__(self, find_weight: Callable[[str], float] = equal_weight) -> None:
        self._shares: Final = PoolShares(find_weight)
        self._waiting: Final = WaitingStages()
        self._recent_work: Final = RecentWork()
        self._priorities: Final = ClassPriorities()
        self._late_work: Final = LateWork()

    def __len__(self) -> int:
        return len(self._waiting) + len(self._late_work.waiting)

    def count_in_time(self) -> int:
        """Return the number of pieces that are not late work."""
        return len(self._waiting)

    def add(self, piece: WaitingPiece) -> None:
        """Add a piece unless it is in the queue already.

        A late one that is added again, since its call failed, stays late.
        """
        if piece.is_late:
            self._late_work.waiting.add(piece)
        elif piece.identity not in self._late_work.waiting:
            self._waiting.add(piece)
            self._late_work.record_arrival(piece)

    def has(self, piece: WaitingPiece) -> bool:
        """Return whether a piece waits."""
        return piece.identity in self._waiting or piece.identity in self._late_work.waiting

    def cancel(self, sender: str, number: int) -> None:
        """Remove a piece that its sender no longer needs."""
        self._waiting.remove((sender, number))
        self._late_work.waiting.remove((sender, number))

    def cancel_all(self, sender: str) -> None:
        """Remove all pieces of a sender that is disconnected."""
        self._remove(
            piece for piece in _list_pieces(self._list_waiting()) if piece.sender == sender
        )

    def take_all(self) -> tuple[WaitingPiece, ...]:
        """Remove and return all pieces."""
        pieces = _list_pieces(self._list_waiting())
        self._remove(pieces)
        return tuple(pieces)

    def estimate_wait(self, now: float, capacity: CallCapacity, order: PieceOrder) -> float:
        """Return the seconds until a piece with this order would start if it were added now.

        Only pieces that go before it count: not those that already miss their latency
        objective, nor those whose objective is later.
        """
        earliest = capacity.earliest_completion(now)
        last_aim_at = now + order.aim_left_seconds
        ahead = sum(
            len(stage.pieces)
            for stage in self._waiting.list_all()
            if earliest <= stage.objective_at <= last_aim_at
        )
        wait = ahead / capacity.pieces_per_second * self._wait_factor(order.rank, now, capacity)
        return capacity.backoff_seconds + wait

    def select(self, now: float, capacity: CallCapacity) -> Selection:
        """Remove and return the pieces of the next call, and those that are too late."""
        plan = self.plan_calls(now, capacity)
        return Selection(batch=self.take_batch(plan, now, capacity), late=plan.late)

    def plan_calls(self, now: float, capacity: CallCapacity) -> CallPlan:
        """Remove the pieces that are too late, and return the order in which the others run.

        Args:
            now: the monotonic clock, in seconds.
            capacity: the capacity of the pool, whichever targets take the calls.
        """
        expired = self.take_expired(now, capacity)
        evaluation = self._evaluate(now, capacity)
        refused = self._list_refused(evaluation, now, capacity)
        late = _list_pieces(refused)
        self._record_refused(late, now)
        self._remove(late)
        dropped = {id(stage) for stage in refused}
        kept = [
            stage
            for stage in evaluation.not_in_time
            if id(stage) not in dropped and not stage.may_be_late
        ]
        among, spare = self._late_work.split(
            evaluation.in_time, now, capacity, self._shares.is_beyond_share
        )
        first = heapq.merge(evaluation.in_time, among, key=lambda stage: stage.objective_at)
        return CallPlan(ordered=[*first, *kept], late=(*expired, *late), spare=spare)

    def take_batch(
        self, plan: CallPlan, now: float, capacity: CallCapacity
    ) -> tuple[WaitingPiece, ...]:
        """Remove and return the pieces of a call, which the plan omits afterwards.

        Args:
            plan: the order in which pieces run, from the same event.
            now: the monotonic clock, in seconds.
            capacity: the target that takes the call.
        """
        batch = fill_batch(plan.ordered, now, capacity)
        if len(self._late_work.waiting):
            batch = self._late_work.complete(batch, plan.ordered, plan.spare, now, capacity)
        plan.remove(batch)
        self._shares.record_started(batch, now)
        for piece in batch:
            if piece.identity in self._late_work.waiting:
                continue
            self._recent_work.record(piece.order.rank, now)
            if not piece.order.is_late_return:
                self._priorities.record_served(piece.order.rank, now)
        self._remove(batch)
        return tuple(batch)

    def take_late(self, now: float, capacity: CallCapacity) -> tuple[WaitingPiece, ...]:
        """Remove and return the pieces that are too late, or will be before their turn."""
        expired = self.take_expired(now, capacity)
        refused = _list_pieces(self._list_refused(self._evaluate(now, capacity), now, capacity))
        self._record_refused(refused, now)
        self._remove(refused)
        return (*expired, *refused)

    def take_expired(self, now: float, capacity: CallCapacity) -> tuple[WaitingPiece, ...]:
        """Remove and return the pieces whose deadline passes before a call could compute them."""
        earliest = capacity.earliest_completion(now)
        stages = [stage for stage in self._list_waiting() if stage.deadline_at < earliest]
        expired = _list_pieces(stages)
        self._shares.record_refused(expired, now)
        self._remove(expired)
        return tuple(expired)

    def take_usage(self) -> Mapping[str, UsageTotals]:
        """Return the work of each organisation since the last call of this method."""
        return self._shares.take_usage()

    def _evaluate(self, now: float, capacity: CallCapacity) -> _Evaluation:
        """Order the waiting stages and separate those that can meet their latency objective."""
        schedule = Schedule(capacity, now)
        stages = self._waiting.list_all()
        in_time: list[WaitingStage] = []
        not_in_time: list[WaitingStage] = []
        ranks = {stage.rank for stage in stages}
        priorities = {rank: self._priorities.sort_key(rank) for rank in ranks}
        # Computed once per rank and not per stage, to keep evaluations cheap.
        shares = {rank: self._capacity_share(rank, now, capacity) for rank in ranks}
        ordered = sorted(stages, key=lambda stage: _priority_key(stage, priorities[stage.rank]))
        late = self._late_work.waiting.list_all()
        for stage in self._shares.order(ordered, now, capacity, late):
            share = self._shares.capacity_share(stage, shares[stage.rank], capacity)
            is_scheduled = schedule.try_add(stage, share)
            (in_time if is_scheduled else not_in_time).append(stage)
        in_time.sort(key=lambda stage: stage.objective_at)
        not_in_time.sort(key=_late_key)
        return _Evaluation(in_time=in_time, not_in_time=self._shares.order_late(not_in_time))

    def _list_refused(
        self, evaluation: _Evaluation, now: float, capacity: CallCapacity
    ) -> list[WaitingStage]:
        """Return the stages not in time whose requests are to be refused.

        Requests that are not begun are refused while their callers can still retry.
        Those begun are abandoned as well, since their results occupy result memory that
        requests in time need, but not once their callers have waited for long.  Stages that
        the targets can take at once are not refused, unless no target can be used.

        Those whose orders allow a late result are late work from now on, and refused only if they
        can't meet their deadline.
        """
        at_once = capacity.pieces_within_call
        ahead = sum(len(stage.pieces) for stage in evaluation.in_time)
        for stage in evaluation.not_in_time:
            if stage.may_be_late:
                # Counted as refused, so that priorities are the same as if it were.
                self._record_late(stage.pieces, now)
                self._remove(stage.pieces)
                self._late_work.add(stage)
        late = sorted(self._late_work.waiting.list_all(), key=_late_key)
        self._shares.record_late(late)
        refused = self._late_work.list_refused(
            evaluation.in_time, now, capacity, self._shares.order_late(late)
        )
        for stage in evaluation.not_in_time:
            if stage.may_be_late:
                continue
            if ahead >= at_once and stage.may_be_refused(now):
                refused.append(stage)
            else:
                ahead += len(stage.pieces)
        return refused

    def _capacity_share(self, rank: int, now: float, capacity: CallCapacity) -> float:
        """Return the share of the nominal throughput that is left for a rank."""
        return capacity.throughput_ratio / self._wait_factor(rank, now, capacity)

    def _wait_factor(self, rank: int, now: float, capacity: CallCapacity) -> float:
        """Return the factor by which later pieces of higher priority lengthen the wait of a rank.

        Such pieces are assumed to keep arriving at their recent rate.
        """
        before = self._priorities.list_before(rank, self._recent_work.ranks())
        share = self._recent_work.rate_of(before, now) / capacity.pieces_per_second
        return 1.0 / (1.0 - min(MAX_HIGHER_PRIORITY_SHARE, share))

    def _record_refused(self, pieces: Sequence[WaitingPiece], now: float) -> None:
        """Record pieces that are refused; late work was recorded when it became late."""
        self._shares.record_refused(pieces, now)
        self._record_late([piece for piece in pieces if not piece.order.may_be_late], now)

    def _record_late(self, pieces: Sequence[WaitingPiece], now: float) -> None:
        """Record that a rank gives way with some pieces."""
        for piece in pieces:
            if not piece.order.is_late_return:
                self._priorities.record_refused(piece.order.rank, now)

    def _remove(self, pieces: Iterable[WaitingPiece]) -> None:
        for piece in pieces:
            self._waiting.remove(piece.identity)
            self._late_work.waiting.remove(piece.identity)

    def _list_waiting(self) -> Sequence[WaitingStage]:
        """Return all stages, those that are served late included."""
        late = self._late_work.waiting.list_all()
        return [*self._waiting.list_all(), *late] if late else self._waiting.list_all()


def _priority_key(
    stage: WaitingStage, priority: tuple[int, float, int]
) -> tuple[tuple[int, float, int], bool, float]:
    """Return the sort key by which stages are scheduled; the least goes first.

    Late retries go last within their rank, since they miss their latency objective anyway.
    """
    return (priority, stage.pieces[0].order.is_late_return, stage.objective_at)


def _late_key(stage: WaitingStage) -> tuple[bool, int, float]:
    """Return the sort key of a stage that misses its latency objective; the least goes first."""
    return (stage.is_unstarted, stage.rank, stage.objective_at)


def _list_pieces(stages: Sequence[WaitingStage]) -> list[WaitingPiece]:
    """Return the pieces of stages, in order."""
    return [piece for stage in stages for piece in stage.pieces]


def _list_remaining(stages: Sequence[_Stage], batch: Sequence[WaitingPiece]) -> list[_Stage]:
    """Return the stages without the pieces of a call."""
    taken = {piece.identity for piece in batch}
    groups = {piece.group for piece in batch}
    remaining: list[_Stage] = []
    for stage in stages:
        if stage.pieces[0].group not in groups:
            remaining.append(stage)
            continue
        pieces = tuple(piece for piece in stage.pieces if piece.identity not in taken)
        if pieces:
            remaining.append(replace(stage, pieces=pieces))
    return remaining
