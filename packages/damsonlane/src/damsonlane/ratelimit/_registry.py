"""The replicated list of the rate limits that targets announced.

Without it, a box that has had no answer from a target would send it requests without permits,
and hundreds of boxes would send hundreds.  Only the start and the end of a limit and large changes
of the rate are replicated; the owner of the service knows the current rate.
"""

from typing import Final, Literal

from damsonlane.backoff import TargetIncarnation
from damsonlane.ratelimit._report import RateLimitReport
from damsonlane.ratelimit._table import RateLimitTable
from damsonlane.records import dataclass

#: Ratio by which a rate must differ from the listed one to be reported again.  Boxes that ask the
#: owner for permits need not know the exact rate, and a new owner gets it with the first request.
MIN_CHANGE_RATIO: Final = 1.5
#: Most limits that are stored; the oldest ones are dropped.
MAX_LIMITS: Final = 4_096


@dataclass(frozen=True, kw_only=True)
class RecordRateLimits:
    """Command: record that targets announced limits, or ended them."""

    kind: Literal["note-rate-limits"] = "note-rate-limits"
    #: What they announced.
    words: tuple[RateLimitReport, ...]


@dataclass(frozen=True, kw_only=True)
class RateLimitsRecorded:
    """The reply."""

    kind: Literal["rate-limits-noted"] = "rate-limits-noted"
    #: Whether the command changed anything.
    is_changed: bool


@dataclass(frozen=True, kw_only=True)
class RateLimitList:
    """All limits at a revision, as sent to boxes and stored in snapshots."""

    #: Number of changes so far; a lower one is older.
    revision: int = 0
    #: The limits in force.
    words: tuple[RateLimitReport, ...] = ()


class RateLimitRegistry:
    """Applies committed commands about rate limits."""

    def __init__(self, snapshot: RateLimitList | None = None) -> None:
        start = snapshot or RateLimitList()
        self.revision = start.revision
        self._reports = {report.named: report for report in start.words}

    def list_all(self) -> RateLimitList:
        """Return all limits."""
        return RateLimitList(revision=self.revision, words=tuple(self._reports.values()))

    def apply(self, command: RecordRateLimits) -> RateLimitsRecorded:
        """Apply one command."""
        before = dict(self._reports)
        for report in command.words:
            self._reports.pop(report.named, None)
            if report.rate is not None:
                self._reports[report.named] = RateLimitReport(named=report.named, rate=report.rate)
        for incarnation in list(self._reports)[:-MAX_LIMITS]:
            del self._reports[incarnation]
        return RateLimitsRecorded(is_changed=self._count_change(before))

    def forget(self, target: str, start: int = -1) -> None:
        """Remove the limits of a target, except those of one incarnation.

        Args:
            target: name of the target.
            start: the start of the incarnation to keep; -1 for none.
        """
        before = dict(self._reports)
        for incarnation in before:
            if incarnation.target == target and incarnation.start != start:
                del self._reports[incarnation]
        self._count_change(before)

    def _count_change(self, before: dict[TargetIncarnation, RateLimitReport]) -> bool:
        is_changed = before != self._reports
        self.revision += is_changed
        return is_changed


def list_changes(before: RateLimitList, after: RateLimitList) -> tuple[RateLimitReport, ...]:
    """Return the limits that changed from one list to a newer one, with age 0."""
    old = {report.named: report.rate for report in before.words}
    new = {report.named: report.rate for report in after.words}
    return tuple(
        RateLimitReport(named=incarnation, rate=new.get(incarnation))
        for incarnation in old.keys() | new.keys()
        if old.get(incarnation) != new.get(incarnation)
    )


def list_unreported(
    table: RateLimitTable, listed: RateLimitList, now: float
) -> tuple[RateLimitReport, ...]:
    """Return the limits, and ends of limits, that a box knows and the replicated list lacks.

    Args:
        table: the limits that the box knows.
        listed: the current replicated list.
        now: the time by the box's clock.
    """
    rates = {report.named: report.rate for report in listed.words}
    known = {report.named: report for report in table.list_reports(now)}
    changed = [
        report for report in known.values() if _differs(rates.get(report.named), report.rate)
    ]
    ended = [
        incarnation
        for incarnation in rates
        if incarnation not in known and table.has_report(incarnation)
    ]
    return (*changed, *(RateLimitReport(named=incarnation, rate=None) for incarnation in ended))


def _differs(listed: float | None, known: float | None) -> bool:
    """Return whether a rate differs from the listed one by enough to report it."""
    if listed is None or known is None:
        return listed != known
    low, high = sorted((listed, known))
    return high > MIN_CHANGE_RATIO * low
