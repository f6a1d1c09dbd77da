"""The rate limits that targets announced, and the permits that this box issues for them."""

import logging
from collections.abc import Callable, Collection, Sequence
from typing import Final

from damsonlane.backoff import TargetIncarnation
from damsonlane.ratelimit import (
    Permit,
    PermitIssuer,
    PermitRequest,
    RateLimitList,
    RateLimitReport,
    RateLimitTable,
    list_changes,
)
from damsonlaned.dialects import ResponseSignals

_LOG: Final = logging.getLogger(__name__)

#: Called with a rate limit report that changes what is known.
OnReport = Callable[[RateLimitReport], None]


class RateLimits:
    """The announced rate limits, as any box last received them, and the permits issued here.

    Args:
        clock: returns the box's time, in seconds.
        find_service: returns the service of a target; an empty string where none is known.
    """

    def __init__(
        self, clock: Callable[[], float], find_service: Callable[[TargetIncarnation], str]
    ) -> None:
        self._clock: Final = clock
        self._find_service: Final = find_service
        self._table: Final = RateLimitTable()
        self._issuer: Final = PermitIssuer(self._table)
        self._listed = RateLimitList(revision=-1)
        self._received_listeners: list[OnReport] = []
        self._update_listeners: list[OnReport] = []
        #: Returns the share of the rate of a target, or of all targets of a service if its name is
        #: empty, for which this box issues permits.
        self.find_share: Callable[[str, str], float] = lambda _service, _target: 1.0

    def on_received(self, listener: OnReport) -> None:
        """Call a function with each change that a target announces to this box."""
        self._received_listeners.append(listener)

    def on_update(self, listener: OnReport) -> None:
        """Call a function with each change that this box or a peer received."""
        self._update_listeners.append(listener)

    # Reports from targets, peers and control.

    def process_signals(
        self, incarnation: TargetIncarnation, signals: ResponseSignals, *, may_end: bool
    ) -> None:
        """Process the head of an answer.

        Args:
            incarnation: the incarnation of the target that answered.
            signals: the signals in the head.
            may_end: whether an answer without a rate limit ends the one announced before.
        """
        if signals.rate_limit is None and not (may_end and self.is_limited(incarnation)):
            return
        report = RateLimitReport(named=incarnation, rate=signals.rate_limit)
        if self._record(report):
            for listener in (*self._received_listeners, *self._update_listeners):
                listener(report)

    def merge_reports(self, reports: Sequence[RateLimitReport]) -> None:
        """Merge reports that a peer received."""
        for report in reports:
            if self._record(report):
                for listener in self._update_listeners:
                    listener(report)

    def apply_list(self, newer: RateLimitList) -> None:
        """Apply a newer list from control; each change in it was just received by a peer."""
        if newer.revision <= self.revision:
            return
        before, self._listed = self._listed, newer
        for report in list_changes(before, newer):
            self._record(report)

    @property
    def revision(self) -> int:
        """Revision of the list from control that was applied last; -1 for none."""
        return self._listed.revision

    def forget_unlisted(self, known: Collection[TargetIncarnation]) -> None:
        """Forget incarnations that control no longer lists, as targets or as rate limited."""
        listed = {*known, *(report.named for report in self._listed.words)}
        self._table.retain_only(listed, self._clock())
        self._issuer.retain_only(listed)

    # Known limits.

    def is_limited(self, incarnation: TargetIncarnation) -> bool:
        """Return whether a target announced a rate limit low enough to bind."""
        return self._table.is_limited(incarnation)

    def find_rate(self, incarnation: TargetIncarnation) -> float | None:
        """Return the rate limit of a target in requests per second; None without one."""
        return None if self._table.is_empty() else self._table.find_rate(incarnation)

    def list_reports(self) -> tuple[RateLimitReport, ...]:
        """Return a report of each rate limit in force, to send to a peer."""
        return () if self._table.is_empty() else self._table.list_reports(self._clock())

    # Permits that this box issues.

    def is_owned(self, service: str, incarnation: TargetIncarnation) -> bool:
        """Return whether this box owns a target, so that it issues all of its permits."""
        return self.find_share(service, incarnation.target) >= 1.0

    def wait_seconds(self, service: str, incarnation: TargetIncarnation) -> float:
        """Return the seconds until this box may issue one more permit for a target."""
        if not self.is_limited(incarnation):
            return 0.0
        share = self.find_share(service, incarnation.target)
        return self._issuer.wait_seconds(incarnation, share, self._clock())

    def take_permit(self, service: str, incarnation: TargetIncarnation) -> bool:
        """Count a request to a target; return whether it may be sent."""
        if not self.is_limited(incarnation):
            return True
        share = self.find_share(service, incarnation.target)
        return self._issuer.try_acquire(incarnation, share, self._clock())

    def gap_seconds(self, service: str, incarnation: TargetIncarnation) -> float:
        """Return the seconds between two permits of this box for a target; 0 without a limit."""
        if not self.is_limited(incarnation):
            return 0.0
        return self._issuer.interval_seconds(
            incarnation, self.find_share(service, incarnation.target)
        )

    def issue(self, service: str, orders: Sequence[PermitRequest]) -> tuple[Permit, ...]:
        """Answer the permit orders of a box."""
        share = self.find_share(service, "")
        now = self._clock()
        return tuple(self._issuer.issue(service, order, share, now) for order in orders)

    def _record(self, report: RateLimitReport) -> bool:
        is_new = self._table.record(report, self._clock())
        if is_new:
            # Create the token bucket now, so that it fills before the first permit is ordered.
            self.wait_seconds(self._find_service(report.named), report.named)
            fields = {"target": report.named.target, "start": report.named.start}
            times = {"rate": report.rate, "age": round(report.age, 3)}
            _LOG.info("rate limit announced", extra={**fields, **times})
        return is_new


class ServiceLimits:
    """The rate limits of one service's targets, for the box that sends all of their calls.

    Args:
        limits: the rate limits of all services.
        service: name of the service.
    """

    def __init__(self, limits: RateLimits, service: str) -> None:
        self._limits: Final = limits
        self._service: Final = service

    def wait_seconds(self, incarnation: TargetIncarnation) -> float:
        """Return the seconds until a target may get one more call."""
        return self._limits.wait_seconds(self._service, incarnation)

    def take_permit(self, incarnation: TargetIncarnation) -> bool:
        """Count a call to a target; return whether it may be sent."""
        return self._limits.take_permit(self._service, incarnation)

    def gap_seconds(self, incarnation: TargetIncarnation) -> float:
        """Return the least seconds between two calls to a target; 0 without a limit."""
        return self._limits.gap_seconds(self._service, incarnation)
