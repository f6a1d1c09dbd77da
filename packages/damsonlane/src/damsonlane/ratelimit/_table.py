"""Table of the rate limits that targets announced, as last reported to this box."""

from collections.abc import Collection
from typing import Final

from damsonlane.backoff import TargetIncarnation
from damsonlane.ratelimit._report import RateLimitReport
from damsonlane.records import dataclass

#: Rate in requests a second at and above which a limit has no effect: no target is sent that
#: many requests.
UNLIMITED_RATE: Final = 1_000.0
#: Seconds for which the end of a limit is remembered, so that a delayed report from another box
#: does not restore it.
TOMBSTONE_SECONDS: Final = 60.0


@dataclass(frozen=True, kw_only=True)
class _StoredLimit:
    """The newest report about one incarnation of a target."""

    #: Requests a second; None once it announces no limit any more.
    rate: float | None
    #: When the target announced it, by the box's clock.
    at: float


class RateLimitTable:
    """The newest report of each target, from its own answers or from other boxes."""

    def __init__(self) -> None:
        self._limits: dict[TargetIncarnation, _StoredLimit] = {}

    def record(self, report: RateLimitReport, now: float) -> bool:
        """Record what a target announced, unless a newer report is known.

        Args:
            report: what it announced.
            now: the time by the box's clock.

        Returns:
            Whether the rate differs from the one known before.
        """
        at = now - report.age
        known = self._limits.get(report.named)
        if known is None and report.rate is None:
            return False
        if known is not None and at < known.at:
            return False
        self._limits[report.named] = _StoredLimit(rate=report.rate, at=at)
        return known is None or known.rate != report.rate

    def find_rate(self, incarnation: TargetIncarnation) -> float | None:
        """Return the requests a second that a target accepts; None where it announces no limit."""
        limit = self._limits.get(incarnation)
        return limit.rate if limit is not None else None

    def is_limited(self, incarnation: TargetIncarnation) -> bool:
        """Return whether a target announced a limit that has an effect."""
        rate = self.find_rate(incarnation)
        return rate is not None and rate < UNLIMITED_RATE

    def has_report(self, incarnation: TargetIncarnation) -> bool:
        """Return whether a target is known to have announced or ended a limit."""
        return incarnation in self._limits

    def is_empty(self) -> bool:
        """Return whether no limit or recent end of a limit is recorded."""
        return not self._limits

    def list_reports(self, now: float) -> tuple[RateLimitReport, ...]:
        """Return the limits in force, as reported to other boxes."""
        return tuple(
            RateLimitReport(named=incarnation, rate=limit.rate, age=max(0.0, now - limit.at))
            for incarnation, limit in self._limits.items()
            if limit.rate is not None
        )

    def find_report(self, incarnation: TargetIncarnation, now: float) -> RateLimitReport:
        """Return the limit of a target, as reported to other boxes."""
        limit = self._limits.get(incarnation)
        if limit is None:
            return RateLimitReport(named=incarnation, rate=None)
        return RateLimitReport(named=incarnation, rate=limit.rate, age=max(0.0, now - limit.at))

    def retain_only(self, known: Collection[TargetIncarnation], now: float) -> None:
        """Drop incarnations that control no longer lists, and limits that ended long ago.

        Args:
            known: the incarnations to keep.
            now: the time by the box's clock.
        """
        for incarnation, limit in list(self._limits.items()):
            is_old = limit.rate is None and now - limit.at > TOMBSTONE_SECONDS
            if incarnation not in known or is_old:
                del self._limits[incarnation]
