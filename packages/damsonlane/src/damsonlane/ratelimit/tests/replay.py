"""Simulation of boxes that share the rate limit of one target, in virtual time and by seed.

Requests arrive at random, messages between boxes have a latency, and requests that may not be sent
are refused.
"""

import heapq
import itertools
import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from damsonlane.backoff import TargetIncarnation
from damsonlane.ratelimit import (
    NON_OWNER_SHARE,
    PermitIssuer,
    PermitRequest,
    RateBucket,
    RateLimitReport,
    RateLimitTable,
)

#: The target.
TARGET: Final = TargetIncarnation(target="t", address="127.0.0.1:1")
#: Latency of a message between two boxes, in seconds.
LATENCY_SECONDS: Final = 0.0015
#: Window over which requests are counted, and what a target tolerates in it: a multiple of its
#: rate, and a number of requests in addition.
WINDOW_SECONDS: Final = 4.0
TOLERATED_RATIO: Final = 1.5
TOLERATED_EXTRA: Final = 5.0
#: Seconds until all boxes know that one is gone, and until they know that one joined.
FAILOVER_SECONDS: Final = 6.0
JOINED_SECONDS: Final = 0.3


@dataclass(frozen=True, kw_only=True)
class Load:
    """A load pattern."""

    #: Requests a second that the target accepts.
    rate: float
    #: Requests a second at each box that need the target.
    wanted: tuple[float, ...]
    #: Length, in seconds.
    seconds: float = 60.0
    #: When the owner is killed, None for never; and for how long it is gone.
    killed_at: float | None = None
    gone_seconds: float = 8.0


@dataclass(kw_only=True)
class Outcome:
    """What a simulation recorded."""

    #: When requests reached the target.
    times: list[float] = field(default_factory=list)
    #: Messages between boxes.
    messages: int = 0

    def count_most(self) -> int:
        """Return the largest number of requests within any window."""
        times = sorted(self.times)
        last = 0
        largest = 0
        for index, at in enumerate(times):
            while times[last] <= at - WINDOW_SECONDS:
                last += 1
            largest = max(largest, index - last + 1)
        return largest

    def used_share(self, load: Load, after: float = 0.0) -> float:
        """Return the share of the rate that was used after a time."""
        served = sum(at >= after for at in self.times)
        return served / (load.rate * (load.seconds - after))


class SharingStrategy(ABC):
    """A strategy to share a rate among boxes."""

    def __init__(self, load: Load, outcome: Outcome) -> None:
        self.load = load
        self.outcome = outcome

    @abstractmethod
    def find_send_time(self, box: int, now: float) -> float | None:
        """Return when a request at a box may be sent; None if it is refused."""


class EvenSplit(SharingStrategy):
    """Each box has a token bucket with an equal share of the rate."""

    def __init__(self, load: Load, outcome: Outcome) -> None:
        super().__init__(load, outcome)
        rate = load.rate / len(load.wanted)
        self._buckets = [RateBucket(rate, 0.0) for _ in load.wanted]

    def find_send_time(self, box: int, now: float) -> float | None:
        return now if self._buckets[box].try_acquire(now) else None


class Adaptive(SharingStrategy):
    """Each box raises its rate additively and halves it when the target signals overload.

    The target signals overload while it got more requests than its rate in the last second.
    """

    def __init__(self, load: Load, outcome: Outcome) -> None:
        super().__init__(load, outcome)
        boxes = len(load.wanted)
        self._rates = [load.rate / boxes] * boxes
        self._buckets = [RateBucket(load.rate / boxes, 0.0) for _ in range(boxes)]

    def find_send_time(self, box: int, now: float) -> float | None:
        self._buckets[box].set_rate(self._rates[box], now)
        if not self._buckets[box].try_acquire(now):
            return None
        recent = sum(at > now - 1.0 for at in self.outcome.times[-200:])
        if recent > self.load.rate:
            self._rates[box] = max(0.01, self._rates[box] / 2)
        else:
            self._rates[box] += self.load.rate / (4 * len(self._rates))
        return now


class Permits(SharingStrategy):
    """The owner issues a permit for each request; another box does while the owner is gone."""

    def __init__(self, load: Load, outcome: Outcome) -> None:
        super().__init__(load, outcome)
        self._issuers = [self._make_issuer() for _ in load.wanted]

    def find_send_time(self, box: int, now: float) -> float | None:
        issuer, share = self._find_issuer(now)
        self.outcome.messages += 2
        request = PermitRequest(number=1, targets=(TARGET,))
        permit = self._issuers[issuer].issue("s", request, share, now + LATENCY_SECONDS)
        return now + 2 * LATENCY_SECONDS if permit.target else None

    def _find_issuer(self, now: float) -> tuple[int, float]:
        """Return the issuing box and the share of the rate that it issues."""
        killed_at = self.load.killed_at
        if killed_at is None or now < killed_at:
            return 0, 1.0
        if now < killed_at + FAILOVER_SECONDS:
            return 1, NON_OWNER_SHARE
        return 1, 1.0

    def _make_issuer(self) -> PermitIssuer:
        table = RateLimitTable()
        table.record(RateLimitReport(named=TARGET, rate=self.load.rate), 0.0)
        return PermitIssuer(table)


class Leases(Permits):
    """The owner issues permits for half a second at once, which expire after that time."""

    def __init__(self, load: Load, outcome: Outcome) -> None:
        super().__init__(load, outcome)
        self._leases: list[list[float]] = [[] for _ in load.wanted]

    def find_send_time(self, box: int, now: float) -> float | None:
        leases = [until for until in self._leases[box] if until > now]
        if not leases:
            self.outcome.messages += 2
            issuer, share = self._find_issuer(now)
            for _ in range(max(1, int(0.5 * self.load.rate))):
                request = PermitRequest(number=1, targets=(TARGET,))
                if not self._issuers[issuer].issue("s", request, share, now).target:
                    break
                leases.append(now + 0.5)
        self._leases[box] = leases[1:]
        return now + 2 * LATENCY_SECONDS if leases else None


def simulate(
    strategy: Callable[[Load, Outcome], SharingStrategy], load: Load, seed: int
) -> Outcome:
    """Simulate a load with a sharing strategy."""
    randomness = random.Random(seed)
    outcome = Outcome()
    chosen = strategy(load, outcome)
    tie_breaks = itertools.count()
    arrivals: list[tuple[float, int, int]] = []
    for box, wanted in enumerate(load.wanted):
        if wanted > 0:
            heapq.heappush(arrivals, (randomness.expovariate(wanted), next(tie_breaks), box))
    while arrivals:
        now, _, box = heapq.heappop(arrivals)
        if now >= load.seconds:
            continue
        next_at = now + randomness.expovariate(load.wanted[box])
        heapq.heappush(arrivals, (next_at, next(tie_breaks), box))
        at = chosen.find_send_time(box, now)
        if at is not None:
            outcome.times.append(at)
    return outcome
