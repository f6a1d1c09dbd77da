"""Fair shares of organisations in the queue of a pool."""

from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import replace
from typing import Final

from damsonlane.fairness import (
    Claim,
    OrganisationShares,
    OrganisationUsage,
    UsageTotals,
    WaitingWork,
    equal_weight,
)
from damsonlane.pools._priorities import ROUTE_PRIORITY_LEVELS
from damsonlane.pools._schedule import WaitingStage
from damsonlane.pools._waiting import CallCapacity, WaitingPiece

#: Part of the capacity that is divided into shares.  The rest is lent to work beyond them, and
#: covers what the schedule loses by rounding times to its steps.
SHARED_CAPACITY: Final = 0.9
#: Part of the capacity in which work beyond a share is planned while organisations compete.  The
#: rest is for work within the shares that is still to come, and for calls that are not full.
EXCESS_CAPACITY: Final = 0.85


class PoolShares:
    """Finds the waiting stages that are beyond the share of their organisation.

    Work is measured in the time that a target takes for it in full calls.  Orders without an
    organisation, as entries of an older release send them, count as those of one organisation.
    While no order names one, nothing is recorded and no stage is beyond a share.

    Args:
        find_weight: returns the weight of an organisation by its name.
    """

    def __init__(self, find_weight: Callable[[str], float] = equal_weight) -> None:
        self._shares: Final = OrganisationShares(find_weight)
        self._usage: Final = OrganisationUsage()
        self._is_used = False
        self._is_contended = False
        self._piece_seconds = 0.0
        #: Groups of the stages beyond the share of their organisation, by the last evaluation.
        self._excess: Collection[tuple[str, str, int]] = frozenset()
        #: Groups of late stages that were beyond the share when they became late.
        self._late_excess: Collection[tuple[str, str, int]] = frozenset()

    def order(
        self,
        stages: Sequence[WaitingStage],
        now: float,
        capacity: CallCapacity,
        late: Sequence[WaitingStage] = (),
    ) -> Sequence[WaitingStage]:
        """Return stages with those within the shares first, for each priority of organisations.

        Args:
            stages: the stages, in the order in which they would run without shares.
            now: the monotonic clock, in seconds.
            capacity: the capacity of the pool.
            late: stages that are served late; they count for the demand of their organisations.
        """
        self._excess = frozenset()
        self._is_contended = False
        waiting = _count_pieces([*late, *stages])
        if waiting.keys() <= {""}:
            return stages
        self._is_used = True
        self._piece_seconds = capacity.full_seconds / capacity.batch
        works = {
            name: WaitingWork(
                work=pieces * self._piece_seconds, priority=rank // ROUTE_PRIORITY_LEVELS
            )
            for name, (pieces, rank) in waiting.items()
        }
        capacity_rate = SHARED_CAPACITY * capacity.pieces_per_second * self._piece_seconds
        self._is_contended = self._shares.divide(works, capacity_rate, now)
        if not self._is_contended:
            return stages
        self._excess = self._find_excess(stages, now, capacity.earliest_completion(now))
        return sorted(stages, key=self._share_key) if self._excess else stages

    def _find_excess(
        self, stages: Sequence[WaitingStage], now: float, earliest: float
    ) -> Collection[tuple[str, str, int]]:
        """Return the groups of the stages that are beyond the share of their organisation."""
        # A stage that misses its objective anyway takes nothing from the share of the others, so
        # it comes after them, and is needed by its deadline.
        in_order = sorted(stages, key=lambda stage: stage.objective_at < earliest)
        claims = [
            Claim(
                organisation=stage.organisation,
                work=len(stage.pieces) * self._piece_seconds,
                seconds=_needed_at(stage, earliest) - now,
            )
            for stage in in_order
        ]
        flags = self._shares.find_excess(claims)
        return {
            stage.pieces[0].group
            for stage, is_excess in zip(in_order, flags, strict=True)
            if is_excess
        }

    def capacity_share(self, stage: WaitingStage, usual: float, capacity: CallCapacity) -> float:
        """Return the share of the nominal throughput that is left for a stage.

        While organisations compete, less is kept free from what is within the shares: no more than
        organisations of a higher priority ask for.  The usual share is that of a rank, which a wave
        of another organisation may have filled.

        Args:
            stage: the stage.
            usual: the share that is left for its rank without shares of organisations.
            capacity: the capacity of the pool.
        """
        if not self._is_contended or not self._shares.is_contended(stage.organisation):
            return usual
        if stage.pieces[0].group in self._excess:
            return usual * EXCESS_CAPACITY
        return max(usual, capacity.throughput_ratio * self._shares.find_part(stage.organisation))

    def order_late(self, stages: Sequence[WaitingStage]) -> list[WaitingStage]:
        """Return stages that are not in time, in the order in which they are kept.

        Args:
            stages: the stages, in the order in which they would be kept without shares; those of
                requests already begun come first.
        """
        if not (self._excess or self._late_excess):
            return list(stages)
        return sorted(stages, key=lambda stage: (stage.is_unstarted, self._share_key(stage)))

    def record_late(self, late: Sequence[WaitingStage]) -> None:
        """Remember which late stages are beyond the share of their organisation.

        Late stages are not evaluated again, so they stay as they were when they became late.

        Args:
            late: all late stages.
        """
        if self._excess or self._late_excess:
            groups = {stage.pieces[0].group for stage in late}
            self._late_excess = {group for group in groups if self._is_excess(group)}

    def is_beyond_share(self, stage: WaitingStage) -> bool:
        """Return whether a stage, late or not, is beyond the share of its organisation."""
        return self._is_excess(stage.pieces[0].group)

    def record_started(self, pieces: Sequence[WaitingPiece], now: float) -> None:
        """Record pieces that were taken from the queue to run."""
        if not self._is_used:
            return
        for piece in pieces:
            self._shares.record_started(piece.order.organisation, self._piece_seconds, now)
            self._usage.record_started(
                piece.order.organisation,
                self._piece_seconds,
                now - piece.queued_at,
                is_excess=self._is_excess(piece.group),
            )

    def record_refused(self, pieces: Sequence[WaitingPiece], now: float) -> None:
        """Record pieces that were refused."""
        if not self._is_used:
            return
        for piece in pieces:
            self._shares.record_refused(piece.order.organisation, self._piece_seconds, now)
            self._usage.record_refused(
                piece.order.organisation, is_excess=self._is_excess(piece.group)
            )

    def take_usage(self) -> Mapping[str, UsageTotals]:
        """Return the work of each organisation since the last call of this method."""
        return {
            name: replace(totals, share=self._shares.find_share(name))
            for name, totals in self._usage.take().items()
        }

    def _share_key(self, stage: WaitingStage) -> tuple[int, bool]:
        organisation_rank = stage.rank // ROUTE_PRIORITY_LEVELS
        return (organisation_rank, self.is_beyond_share(stage))

    def _is_excess(self, group: tuple[str, str, int]) -> bool:
        return group in self._excess or group in self._late_excess


def _count_pieces(stages: Sequence[WaitingStage]) -> Mapping[str, tuple[int, int]]:
    """Return the number of waiting pieces and a rank of each organisation."""
    counts: dict[str, tuple[int, int]] = {}
    for stage in stages:
        order = stage.pieces[0].order
        before, _ = counts.get(order.organisation, (0, 0))
        counts[order.organisation] = (before + len(stage.pieces), order.rank)
    return counts


def _needed_at(stage: WaitingStage, earliest: float) -> float:
    """Return when a stage must be complete: in time, or at its deadline if that is too late."""
    return stage.objective_at if stage.objective_at >= earliest else stage.deadline_at
