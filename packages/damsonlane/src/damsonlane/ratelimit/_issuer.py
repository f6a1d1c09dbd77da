"""Sharing what limited targets take among all boxes, by permits for single requests.

Answers targets that name a few requests a second for boxes of which one, some or all have work
for them.  One box, the owner of a service, issues a permit for each request to such a target,
so that nothing is saved up at boxes without work, and whoever has work gets all of the rate.
docs/ratelimit.md compares other ways.
"""

from collections.abc import Collection, Sequence
from typing import Final

from damsonlane.backoff import TargetStart
from damsonlane.ratelimit._bucket import SAVED_SECONDS, RateBucket
from damsonlane.ratelimit._permits import Permit, PermitOrder
from damsonlane.ratelimit._table import UNBOUND_RATE, RateLimitBook

#: Lowest rate that is taken at its word, in requests a second.  A target that names less, or
#: none at all, is asked this often whether that still holds, since only an answer can end a
#: limit; five requests beyond its rate are borne in four seconds.
LEAST_RATE: Final = 0.2
#: Share of a rate that a box issues which does not own the service, to boxes that can't reach
#: the owner or know of another one.  Two such boxes beside the owner still keep what a target
#: bears: 4.5 and twice 0.15 times 4.5 of the rate in four seconds, where 6 are borne.
SECOND_SHARE: Final = 0.15
#: Longest time after which a caller is told to come back, in seconds.
LONGEST_RETURN_SECONDS: Final = 30.0


class PermitIssuer:
    """Issues permits for the targets of all services that this box owns.

    Args:
        book: what targets named.
    """

    def __init__(self, book: RateLimitBook) -> None:
        self._book: Final = book
        self._buckets: dict[TargetStart, RateBucket] = {}
        self._promised_until: dict[str, float] = {}
        self._begun_until: dict[str, float] = {}

    def wait_seconds(self, named: TargetStart, share: float, now: float) -> float:
        """Return the seconds until a target may get one more request; 0 if it may get it now.

        Args:
            named: the target.
            share: the part of its rate that this box issues.
            now: the time by the box's clock.
        """
        bucket = self._find_bucket(named, share, now)
        return bucket.wait_seconds(now) if bucket is not None else 0.0

    def take(self, named: TargetStart, share: float, now: float) -> bool:
        """Count a request that this box sends to a target now; tell whether it may be sent."""
        bucket = self._find_bucket(named, share, now)
        return bucket is None or bucket.take(now)

    def gap_seconds(self, named: TargetStart, share: float) -> float:
        """Return the seconds from one permit for a target to the next."""
        return 1.0 / self._reckon_rate(named, share)

    def issue(self, service: str, order: PermitOrder, share: float, now: float) -> Permit:
        """Answer an order.

        Args:
            service: the service of its targets.
            order: what is asked.
            share: the part of the rates that this box issues.
            now: the time by the box's clock.
        """
        if order.is_beginning:
            return self._begin(service, order, share, now)
        for named in order.targets:
            if self.take(named, share, now):
                word = self._book.find_word(named, now)
                return Permit(number=order.number, target=named.target, words=(word,))
        waits = [self.wait_seconds(named, share, now) for named in order.targets]
        wait = min(waits, default=0.0)
        back = self._promise(service, order.targets, share, wait, now) if order.is_last else wait
        return Permit(number=order.number, wait_seconds=wait, return_seconds=back)

    def forget_others(self, known: Collection[TargetStart]) -> None:
        """Forget the targets that are not among some."""
        for named in self._buckets.keys() - set(known):
            del self._buckets[named]

    def _begin(self, service: str, order: PermitOrder, share: float, now: float) -> Permit:
        """Tell whether a request may begin that needs a permit once its stages are made.

        As many begin as will be sent, so that no stages are made in vain.  Each bucket saves
        as much as may begin in a moment.
        """
        rate = sum(self._reckon_rate(named, share) for named in order.targets)
        wait = max(0.0, self._begun_until.get(service, 0.0) - now)
        if wait <= SAVED_SECONDS:
            self._begun_until[service] = now + wait + 1.0 / rate
            return Permit(number=order.number, may_begin=True)
        wait -= SAVED_SECONDS
        back = self._promise(service, order.targets, share, wait, now)
        return Permit(number=order.number, wait_seconds=wait, return_seconds=back)

    def _promise(
        self,
        service: str,
        targets: Sequence[TargetStart],
        share: float,
        wait: float,
        now: float,
    ) -> float:
        """Return the seconds after which a place is free that nobody else was told of."""
        rates = [self._reckon_rate(named, share) for named in targets]
        at = max(now + wait, self._promised_until.get(service, 0.0))
        at = min(at, now + LONGEST_RETURN_SECONDS)
        self._promised_until[service] = at + 1.0 / sum(rates)
        return at - now

    def _find_bucket(self, named: TargetStart, share: float, now: float) -> RateBucket | None:
        """Return what counts a target's requests; None where it names no limit that binds."""
        if not self._book.is_limited(named):
            self._buckets.pop(named, None)
            return None
        issued = self._reckon_rate(named, share)
        bucket = self._buckets.get(named)
        if bucket is None:
            bucket = self._buckets[named] = RateBucket(issued, now)
        bucket.set_rate(issued, now)
        return bucket

    def _reckon_rate(self, named: TargetStart, share: float) -> float:
        """Return the requests a second that this box issues for a target."""
        rate = self._book.find_rate(named)
        return share * max(LEAST_RATE, UNBOUND_RATE if rate is None else rate)
