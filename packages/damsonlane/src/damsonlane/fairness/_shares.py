"""Shares of organisations in a queue, from recent demand and from what waits."""

import math
from collections.abc import Callable, Mapping, Sequence
from typing import Final

from damsonlane.fairness._division import Demand, divide_capacity
from damsonlane.records import dataclass

#: Time constant of the decay of recent demand, in seconds: several calls of a pool, so that one
#: call has little weight, but short against a wave of some seconds.
DECAY_SECONDS: Final = 2.0
#: Seconds in which waiting work is assumed to be wanted, for the estimate of the demand.
WAITING_SECONDS: Final = 1.0
#: Demand below which an organisation is forgotten, in units of work per second.
MIN_DEMAND: Final = 1e-4
#: Organisations whose priority is kept in any case.
MIN_NAMES: Final = 64


@dataclass(frozen=True, kw_only=True)
class Claim:
    """Waiting work of one organisation that is needed by one time."""

    #: Name of the organisation.
    organisation: str
    #: The work, in seconds of a target or in tokens.
    work: float
    #: Seconds until it must be complete.
    seconds: float


@dataclass(frozen=True, kw_only=True)
class WaitingWork:
    """All waiting work of one organisation."""

    #: The work, in seconds of a target or in tokens.
    work: float
    #: Priority of the organisation; 0 comes first.
    priority: int = 0


def equal_weight(_: str) -> float:
    """Return the weight of an organisation where all have the same."""
    return 1.0


class OrganisationShares:
    """Decides which waiting work is within the share of its organisation.

    A claim is within the share if the share alone would complete the earlier claims of the
    organisation, and what it has recently used beyond its share, before the time of this one.
    Claims within the shares therefore fit the capacity together, whatever else waits.  A share is
    a rate: nothing is saved up while an organisation is idle, so it can't displace others with a
    burst later.

    Only organisations of the same priority compete: the capacity that those of a higher priority
    leave is divided.

    Args:
        find_weight: returns the weight of an organisation by its name.
    """

    def __init__(self, find_weight: Callable[[str], float] = equal_weight) -> None:
        self._find_weight: Final = find_weight
        #: Recent rates of all work that left the queue, and of the work that was started.
        self._demanded: dict[str, float] = {}
        self._started: dict[str, float] = {}
        self._updated_at = 0.0
        self._priorities: dict[str, int] = {}
        #: Entitlement of each organisation by the last division, in units of work per second;
        #: infinite while it need not give way.
        self.entitlements: Mapping[str, float] = {}
        self._capacity = 0.0
        #: Part of the capacity that was divided among the organisations of each priority.
        self._parts: dict[int, float] = {}

    def is_contended(self, name: str) -> bool:
        """Return whether an organisation and others of its priority ask for more than there is."""
        return math.isfinite(self.entitlements.get(name, math.inf))

    def record_started(self, name: str, work: float, now: float) -> None:
        """Record work of an organisation that was started.

        Args:
            name: the organisation.
            work: the work.
            now: the monotonic clock, in seconds.
        """
        self._decay(now)
        self._demanded[name] = self._demanded.get(name, 0.0) + work / DECAY_SECONDS
        self._started[name] = self._started.get(name, 0.0) + work / DECAY_SECONDS

    def record_refused(self, name: str, work: float, now: float) -> None:
        """Record work of an organisation that was refused; the arguments are the same."""
        self._decay(now)
        self._demanded[name] = self._demanded.get(name, 0.0) + work / DECAY_SECONDS

    def divide(self, waiting: Mapping[str, WaitingWork], capacity: float, now: float) -> bool:
        """Divide a capacity by recent and waiting work, the highest priority first.

        Args:
            waiting: the waiting work by name of the organisation.
            capacity: the capacity, in units of work per second.
            now: the monotonic clock, in seconds.

        Returns:
            Whether any organisations compete.
        """
        self._decay(now)
        self._priorities.update((name, work.priority) for name, work in waiting.items())
        by_priority: dict[int, dict[str, Demand]] = {}
        for name, demand in self._list_demands(waiting).items():
            by_priority.setdefault(self._priorities.get(name, 0), {})[name] = demand
        entitlements: dict[str, float] = {}
        left = self._capacity = capacity
        for priority, group in sorted(by_priority.items()):
            self._parts[priority] = left / capacity if capacity > 0 else 1.0
            # One organisation has nobody to share with.
            parts = divide_capacity(left if len(group) > 1 else math.inf, group)
            entitlements.update(parts)
            left -= sum(min(demand.amount, parts[name]) for name, demand in group.items())
            left = max(0.0, left)
        self.entitlements = entitlements
        return math.isfinite(min(entitlements.values(), default=math.inf))

    def find_excess(self, claims: Sequence[Claim]) -> list[bool]:
        """Return for each claim whether it is beyond the share by the last division.

        Args:
            claims: the waiting work; of each organisation, the most urgent work comes first.
        """
        planned = self._list_overdrafts()
        excess: list[bool] = []
        for claim in claims:
            name = claim.organisation
            before = planned.get(name, 0.0)
            # Of an organisation that kept to its share, the first claim is within it, however
            # small the share is.
            is_excess = before > self.entitlements[name] * max(0.0, claim.seconds)
            if not is_excess:
                planned[name] = before + claim.work
            excess.append(is_excess)
        return excess

    def find_share(self, name: str) -> float | None:
        """Return the part of the capacity that an organisation was last entitled to.

        Returns:
            The part, at most 1; None while all demands fit.
        """
        entitlement = self.entitlements.get(name, math.inf)
        if not self._capacity or math.isinf(entitlement):
            return None
        return min(1.0, entitlement / self._capacity)

    def find_part(self, name: str) -> float:
        """Return the part of the capacity that higher priorities leave to an organisation."""
        return self._parts.get(self._priorities.get(name, 0), 1.0)

    def _list_overdrafts(self) -> dict[str, float]:
        """Return the work that each organisation has recently used beyond its share."""
        return {
            name: max(0.0, rate - self.entitlements[name]) * DECAY_SECONDS
            for name, rate in self._started.items()
        }

    def _list_demands(self, waiting: Mapping[str, WaitingWork]) -> Mapping[str, Demand]:
        """Return the demand of each organisation that has recent or waiting work."""
        amounts = dict(self._demanded)
        for name, work in waiting.items():
            amounts[name] = amounts.get(name, 0.0) + work.work / WAITING_SECONDS
        return {
            name: Demand(amount=amount, weight=self._find_weight(name))
            for name, amount in amounts.items()
        }

    def _decay(self, now: float) -> None:
        if now <= self._updated_at:
            return
        factor = math.exp(-(now - self._updated_at) / DECAY_SECONDS)
        self._updated_at = now
        self._demanded = _scale(self._demanded, factor)
        self._started = {
            name: rate * factor for name, rate in self._started.items() if name in self._demanded
        }
        if len(self._priorities) > 2 * len(self._demanded) + MIN_NAMES:
            self._priorities = {name: self._priorities.get(name, 0) for name in self._demanded}
            self._parts = {}


def _scale(rates: Mapping[str, float], factor: float) -> dict[str, float]:
    """Return rates times a factor, without organisations whose demand became negligible."""
    return {name: rate * factor for name, rate in rates.items() if rate * factor > MIN_DEMAND}
