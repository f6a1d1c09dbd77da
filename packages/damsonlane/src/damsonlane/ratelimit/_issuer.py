"""Sharing the rate of limited targets among all boxes, by permits for single requests.

One box, the owner of a service, issues a permit for each request to a target with a rate limit.
So no part of the rate is reserved for boxes without work.  docs/ratelimit.md compares the
alternatives.
"""

from collections.abc import Collection, Sequence
from typing import Final

from damsonlane.backoff import TargetIncarnation
from damsonlane.ratelimit._bucket import BURST_SECONDS, RateBucket
from damsonlane.ratelimit._permits import Permit, PermitRequest
from damsonlane.ratelimit._table import UNLIMITED_RATE, RateLimitTable

#: Lowest rate that is issued, in requests a second.  A target that announces a lower one, or 0,
#: still gets this many requests, since only an answer can end a limit; it tolerates five requests
#: beyond its rate in four seconds.
MIN_RATE: Final = 0.2
#: Share of a rate that is issued by a box which does not own the service, to boxes that can't
#: reach the owner or mistake another box for it.  The owner and two such boxes stay within what a
#: target tolerates: in four seconds 4.5 + 2 * 0.15 * 4.5 times its rate, of 6 times.
NON_OWNER_SHARE: Final = 0.15
#: Longest time after which a refused caller is asked to retry, in seconds.
MAX_RETRY_AFTER_SECONDS: Final = 30.0


class PermitIssuer:
    """Issues permits for the targets of all services that this box owns.

    Args:
        table: the limits that targets announced.
    """

    def __init__(self, table: RateLimitTable) -> None:
        self._table: Final = table
        self._buckets: dict[TargetIncarnation, RateBucket] = {}
        self._reserved_until: dict[str, float] = {}
        self._admitted_until: dict[str, float] = {}

    def wait_seconds(self, incarnation: TargetIncarnation, share: float, now: float) -> float:
        """Return the seconds until a target may get one more request; 0 if it may now.

        Args:
            incarnation: the target.
            share: the share of its rate that this box issues.
            now: the time by the box's clock.
        """
        bucket = self._find_bucket(incarnation, share, now)
        return bucket.wait_seconds(now) if bucket is not None else 0.0

    def try_acquire(self, incarnation: TargetIncarnation, share: float, now: float) -> bool:
        """Count a request that this box sends to a target now; return whether it may be sent."""
        bucket = self._find_bucket(incarnation, share, now)
        return bucket is None or bucket.try_acquire(now)

    def interval_seconds(self, incarnation: TargetIncarnation, share: float) -> float:
        """Return the interval between two permits for a target, in seconds."""
        return 1.0 / self._find_issued_rate(incarnation, share)

    def issue(self, service: str, request: PermitRequest, share: float, now: float) -> Permit:
        """Issue a permit, or return the time after which to ask again.

        Args:
            service: the service of the targets.
            request: the request for a permit.
            share: the share of the rates that this box issues.
            now: the time by the box's clock.
        """
        if request.is_beginning:
            return self._admit(service, request, share, now)
        for incarnation in request.targets:
            if self.try_acquire(incarnation, share, now):
                report = self._table.find_report(incarnation, now)
                return Permit(number=request.number, target=incarnation.target, words=(report,))
        waits = [self.wait_seconds(incarnation, share, now) for incarnation in request.targets]
        wait = min(waits, default=0.0)
        retry_after = (
            self._reserve_retry(service, request.targets, share, wait, now)
            if request.is_last
            else wait
        )
        return Permit(number=request.number, wait_seconds=wait, return_seconds=retry_after)

    def retain_only(self, known: Collection[TargetIncarnation]) -> None:
        """Drop the buckets of all targets but the given ones."""
        for incarnation in self._buckets.keys() - set(known):
            del self._buckets[incarnation]

    def _admit(self, service: str, request: PermitRequest, share: float, now: float) -> Permit:
        """Admit a request that needs a permit once its stages are computed.

        Admits requests at the rate at which they can be sent later, so that no stages are
        computed in vain, with the same burst as the buckets.
        """
        rate = sum(self._find_issued_rate(incarnation, share) for incarnation in request.targets)
        wait = max(0.0, self._admitted_until.get(service, 0.0) - now)
        if wait <= BURST_SECONDS:
            self._admitted_until[service] = now + wait + 1.0 / rate
            return Permit(number=request.number, may_begin=True)
        wait -= BURST_SECONDS
        retry_after = self._reserve_retry(service, request.targets, share, wait, now)
        return Permit(number=request.number, wait_seconds=wait, return_seconds=retry_after)

    def _reserve_retry(
        self,
        service: str,
        targets: Sequence[TargetIncarnation],
        share: float,
        wait: float,
        now: float,
    ) -> float:
        """Reserve the next free time for a refused caller to retry; return the seconds until it."""
        rates = [self._find_issued_rate(incarnation, share) for incarnation in targets]
        at = max(now + wait, self._reserved_until.get(service, 0.0))
        at = min(at, now + MAX_RETRY_AFTER_SECONDS)
        self._reserved_until[service] = at + 1.0 / sum(rates)
        return at - now

    def _find_bucket(
        self, incarnation: TargetIncarnation, share: float, now: float
    ) -> RateBucket | None:
        """Return the token bucket of a target; None where no limit is in effect."""
        if not self._table.is_limited(incarnation):
            self._buckets.pop(incarnation, None)
            return None
        issued = self._find_issued_rate(incarnation, share)
        bucket = self._buckets.get(incarnation)
        if bucket is None:
            bucket = self._buckets[incarnation] = RateBucket(issued, now)
        bucket.set_rate(issued, now)
        return bucket

    def _find_issued_rate(self, incarnation: TargetIncarnation, share: float) -> float:
        """Return the requests a second that this box issues for a target."""
        rate = self._table.find_rate(incarnation)
        return share * max(MIN_RATE, UNLIMITED_RATE if rate is None else rate)
