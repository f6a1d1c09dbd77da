"""The totals of costs by account: part of the replicated state."""

from collections.abc import Iterable

from damsonlane.burn import BurnBuckets, CompletionCount
from damsonlane.costs._lines import (
    AttemptOutcome,
    CostLine,
    CostsRecorded,
    CostTotal,
    RecordCosts,
    SenderProgress,
)
from damsonlane.records import dataclass


@dataclass(frozen=True, kw_only=True)
class _Account:
    organisation: str
    pipeline: str
    stage: str
    outcome: AttemptOutcome


class CostAccounts:
    """Totals of costs by organisation, pipeline, stage and outcome."""

    def __init__(
        self,
        totals: Iterable[CostTotal] = (),
        senders: Iterable[SenderProgress] = (),
        completions: Iterable[CompletionCount] = (),
    ) -> None:
        self.burn = BurnBuckets(completions)
        self._totals = {_account(total): total for total in totals}
        self._batches = {progress.sender: progress.batch for progress in senders}

    def record(self, command: RecordCosts) -> CostsRecorded:
        """Add a batch unless it was recorded before or an earlier one is missing."""
        last = self._batches.get(command.sender, 0)
        if command.batch == last + 1:
            for line in command.lines:
                self._add(line)
            self.burn.record(command.endings)
            last = command.batch
            self._batches[command.sender] = last
        return CostsRecorded(batch=last)

    def totals(self) -> tuple[CostTotal, ...]:
        """Return the totals, sorted by account."""
        return tuple(
            sorted(
                self._totals.values(),
                key=lambda total: (total.organisation, total.pipeline, total.stage, total.outcome),
            )
        )

    def senders(self) -> tuple[SenderProgress, ...]:
        """Return the last recorded batch of each sender."""
        return tuple(
            SenderProgress(sender=sender, batch=batch) for sender, batch in self._batches.items()
        )

    def _add(self, line: CostLine) -> None:
        account = _account(line)
        old = self._totals.get(account)
        self._totals[account] = CostTotal(
            organisation=line.organisation,
            pipeline=line.pipeline,
            stage=line.stage,
            outcome=line.outcome,
            attempts=(old.attempts if old else 0) + 1,
            seconds=round((old.seconds if old else 0.0) + line.seconds, 6),
            tokens=(old.tokens if old else 0) + line.tokens,
        )


def _account(item: CostLine | CostTotal) -> _Account:
    return _Account(
        organisation=item.organisation,
        pipeline=item.pipeline,
        stage=item.stage,
        outcome=item.outcome,
    )
