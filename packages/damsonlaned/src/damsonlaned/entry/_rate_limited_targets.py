"""Targets of pipelines that announced rate limits."""

import logging
import threading
from collections.abc import Collection, Mapping
from typing import Final, Protocol

from damsonlane.backoff import TargetIncarnation
from damsonlane.ratelimit import (
    Permit,
    PermitRequest,
    RateLimitList,
    RateLimitReport,
    RateLimitTable,
    list_changes,
)
from damsonlane.routing import TargetLocation
from damsonlane_rpc import PermitBatchRequest
from damsonlaned.clock import read_clock

_LOG: Final = logging.getLogger(__name__)

#: Seconds for which rate-limited targets get nothing after control did not answer.
UNANSWERED_BACKOFF_SECONDS: Final = 0.5
#: Least time between two permit requests for a target while others can serve, in seconds.
MIN_PERMIT_INTERVAL_SECONDS: Final = 0.02


class PermitSource(Protocol):
    """Issues permits and receives reports of rate limits."""

    def request_permits(self, request: PermitBatchRequest) -> tuple[Permit, ...] | None:
        """Return the issued permits, or None on a timeout."""

    def report(self, report: RateLimitReport) -> None:
        """Report a rate limit that a target announced, without waiting."""


class NoPermitSource:
    """Issues no permits: without control, rate-limited targets get nothing."""

    def request_permits(self, _: PermitBatchRequest) -> None:
        """Return no permits."""

    def report(self, _: RateLimitReport) -> None:
        """Drop the report."""


class RateLimitedTargets:
    """Rate limits of targets, and permits to send to them; safe for use by many threads.

    Args:
        source: issues permits and receives reports.
    """

    def __init__(self, source: PermitSource) -> None:
        self._source: Final = source
        self._table: Final = RateLimitTable()
        self._listed = RateLimitList(revision=-1)
        self._exhausted_until: dict[TargetIncarnation, float] = {}
        self._lock: Final = threading.Lock()

    def record(
        self, service: str, target: str, address: str, rate: float | None, *, may_end: bool
    ) -> None:
        """Record what the head of a response says of the rate limit of its target.

        Args:
            service: service of the target.
            target: name of the target.
            address: address of the target.
            rate: announced limit, in requests a second; None if none is announced.
            may_end: whether a response of this kind ends a limit that it does not announce.
        """
        incarnation = make_incarnation(service, target, address)
        if rate is None and not may_end:
            return
        report = RateLimitReport(named=incarnation, rate=rate)
        if self._record(report):
            self._source.report(report)

    def apply_list(self, newer: RateLimitList) -> None:
        """Apply a newer list of control; another box has just reported what changed in it."""
        if newer.revision <= self._listed.revision:
            return
        before, self._listed = self._listed, newer
        for report in list_changes(before, newer):
            self._record(report)

    def list_rate_limited(
        self, service: str, locations: Mapping[str, TargetLocation]
    ) -> dict[str, TargetIncarnation]:
        """Return those of some targets of a service that have a rate limit, by name."""
        with self._lock:
            if self._table.is_empty():
                return {}
            incarnations = {
                name: make_incarnation(service, name, location.address)
                for name, location in locations.items()
            }
            return {
                name: incarnation
                for name, incarnation in incarnations.items()
                if self._table.is_limited(incarnation)
            }

    def list_exhausted(self, rate_limited: Mapping[str, TargetIncarnation]) -> set[str]:
        """Return the targets whose limit was exhausted when this box last requested a permit."""
        now = read_clock()
        with self._lock:
            return {
                name
                for name, incarnation in rate_limited.items()
                if self._exhausted_until.get(incarnation, 0) > now
            }

    def find_wait_seconds(self, rate_limited: Collection[TargetIncarnation]) -> float:
        """Return the seconds until a limit of some targets allows a request; 0 if not known."""
        now = read_clock()
        with self._lock:
            waits = [
                self._exhausted_until.get(incarnation, now) - now for incarnation in rate_limited
            ]
        return max(0.0, min(waits, default=0.0))

    def request_permit(
        self, service: str, targets: tuple[TargetIncarnation, ...], *, is_last: bool
    ) -> Permit:
        """Request a permit to send one request to one of some targets.

        Args:
            service: service of the targets.
            targets: targets that can get the request, the best one first.
            is_last: whether the request is refused without a permit.
        """
        now = read_clock()
        with self._lock:
            reports = tuple(self._table.find_report(incarnation, now) for incarnation in targets)
        order = PermitRequest(number=0, targets=targets, is_last=is_last)
        permits = self._source.request_permits(
            PermitBatchRequest(service=service, orders=(order,), words=reports)
        )
        if not permits:
            permit = Permit(
                number=0,
                wait_seconds=UNANSWERED_BACKOFF_SECONDS,
                return_seconds=UNANSWERED_BACKOFF_SECONDS,
            )
        else:
            permit = permits[0]
        for report in permit.words:
            self._record(report)
        if not permit.target:
            until = now + max(MIN_PERMIT_INTERVAL_SECONDS, permit.wait_seconds)
            with self._lock:
                self._exhausted_until.update(dict.fromkeys(targets, until))
        return permit

    def _record(self, report: RateLimitReport) -> bool:
        with self._lock:
            is_change = self._table.record(report, read_clock())
        if is_change:
            _LOG.info(
                "rate limit announced",
                extra={"target": report.named.target, "rate": report.rate},
            )
        return is_change


def make_incarnation(service: str, target: str, address: str) -> TargetIncarnation:
    """Return the incarnation by which all boxes identify a pipeline's target, without its start."""
    return TargetIncarnation(target=f"{service}/{target}", address=address)
