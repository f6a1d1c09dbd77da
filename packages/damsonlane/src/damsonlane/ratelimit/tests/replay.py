"""Boxes that share what one target takes, in virtual time and by seed.

Only the ways to share are real.  Requests arrive at boxes at random, messages between boxes take
a millisecond or more, and what may not be sent is refused.
"""

import heapq
import itertools
import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from damsonlane.backoff import TargetStart
from damsonlane.ratelimit import (
    SECOND_SHARE,
    PermitIssuer,
    PermitOrder,
    RateBucket,
    RateLimitBook,
    RateWord,
)

#: The target.
TARGET: Final = TargetStart(target="t", address="127.0.0.1:1")
#: Seconds that a message between two boxes takes.
MESSAGE_SECONDS: Final = 0.0015
#: Seconds over which requests are counted, how often the rate fits into them, and how many more.
WINDOW: Final = 4.0
TIMES: Final = 1.5
MORE: Final = 5.0
#: Seconds until all boxes hear that one is gone, and until they hear that one joined.
GONE_SECONDS: Final = 6.0
JOINED_SECONDS: Final = 0.3


@dataclass(frozen=True, kw_only=True)
class Load:
    """A load pattern."""

    #: Requests a second that the target takes.
    rate: float
    #: Requests a second at each box that would go there.
    wanted: tuple[float, ...]
    #: Length, in seconds.
    seconds: float = 60.0
    #: When the box that shares is killed, and how long it is gone; None for never.
    killed_at: float | None = None
    gone_seconds: float = 8.0


@dataclass(kw_only=True)
class Outcome:
    """What came of it."""

    #: When requests reached the target.
    times: list[float] = field(default_factory=list)
    #: Messages between boxes.
    messages: int = 0

    def count_most(self) -> int:
        """Return the most requests in some four seconds."""
        times = sorted(self.times)
        last = 0
        most = 0
        for index, at in enumerate(times):
            while times[last] <= at - WINDOW:
                last += 1
            most = max(most, index - last + 1)
        return most

    def used_share(self, load: Load, after: float = 0.0) -> float:
        """Return the part of the rate that was used from some second on."""
        served = sum(at >= after for at in self.times)
        return served / (load.rate * (load.seconds - after))


class Way(ABC):
    """A way to share a rate among boxes."""

    def __init__(self, load: Load, outcome: Outcome) -> None:
        self.load = load
        self.outcome = outcome

    @abstractmethod
    def find_send_time(self, box: int, now: float) -> float | None:
        """Return when a request that a box has now may be sent; None if it is refused."""


class EvenSplit(Way):
    """Each box has its part, with one request saved up at the most."""

    def __init__(self, load: Load, outcome: Outcome) -> None:
        super().__init__(load, outcome)
        rate = load.rate / len(load.wanted)
        self._buckets = [RateBucket(rate, 0.0) for _ in load.wanted]

    def find_send_time(self, box: int, now: float) -> float | None:
        return now if self._buckets[box].take(now) else None


class Adaptive(Way):
    """Each box raises its rate while it is not told off, and halves it when it is.

    The target tells a box that asks while it has had more than its rate lately.
    """

    def __init__(self, load: Load, outcome: Outcome) -> None:
        super().__init__(load, outcome)
        boxes = len(load.wanted)
        self._rates = [load.rate / boxes] * boxes
        self._buckets = [RateBucket(load.rate / boxes, 0.0) for _ in range(boxes)]

    def find_send_time(self, box: int, now: float) -> float | None:
        self._buckets[box].set_rate(self._rates[box], now)
        if not self._buckets[box].take(now):
            return None
        recent = sum(at > now - 1.0 for at in self.outcome.times[-200:])
        if recent > self.load.rate:
            self._rates[box] = max(0.01, self._rates[box] / 2)
        else:
            self._rates[box] += self.load.rate / (4 * len(self._rates))
        return now


class Permits(Way):
    """The owner issues a permit for each request; the next one does while it is gone."""

    def __init__(self, load: Load, outcome: Outcome) -> None:
        super().__init__(load, outcome)
        self._issuers = [self._make_issuer() for _ in load.wanted]

    def find_send_time(self, box: int, now: float) -> float | None:
        issuer, share = self._find_issuer(now)
        self.outcome.messages += 2
        order = PermitOrder(number=1, targets=(TARGET,))
        permit = self._issuers[issuer].issue("s", order, share, now + MESSAGE_SECONDS)
        return now + 2 * MESSAGE_SECONDS if permit.target else None

    def _find_issuer(self, now: float) -> tuple[int, float]:
        """Return who is asked now, and the part of the rate that it issues."""
        killed_at = self.load.killed_at
        if killed_at is None or now < killed_at:
            return 0, 1.0
        if now < killed_at + GONE_SECONDS:
            return 1, SECOND_SHARE
        return 1, 1.0

    def _make_issuer(self) -> PermitIssuer:
        book = RateLimitBook()
        book.note(RateWord(named=TARGET, rate=self.load.rate), 0.0)
        return PermitIssuer(book)


class Leases(Permits):
    """The owner hands out permits for half a second's worth at once, to use within that time."""

    def __init__(self, load: Load, outcome: Outcome) -> None:
        super().__init__(load, outcome)
        self._held: list[list[float]] = [[] for _ in load.wanted]

    def find_send_time(self, box: int, now: float) -> float | None:
        held = [until for until in self._held[box] if until > now]
        if not held:
            self.outcome.messages += 2
            issuer, share = self._find_issuer(now)
            for _ in range(max(1, int(0.5 * self.load.rate))):
                order = PermitOrder(number=1, targets=(TARGET,))
                if not self._issuers[issuer].issue("s", order, share, now).target:
                    break
                held.append(now + 0.5)
        self._held[box] = held[1:]
        return now + 2 * MESSAGE_SECONDS if held else None


def play(way: Callable[[Load, Outcome], Way], load: Load, seed: int) -> Outcome:
    """Play a load with a way to share."""
    randomness = random.Random(seed)
    outcome = Outcome()
    sharing = way(load, outcome)
    numbers = itertools.count()
    arrivals: list[tuple[float, int, int]] = []
    for box, wanted in enumerate(load.wanted):
        if wanted > 0:
            heapq.heappush(arrivals, (randomness.expovariate(wanted), next(numbers), box))
    while arrivals:
        now, _, box = heapq.heappop(arrivals)
        if now >= load.seconds:
            continue
        later = now + randomness.expovariate(load.wanted[box])
        heapq.heappush(arrivals, (later, next(numbers), box))
        at = sharing.find_send_time(box, now)
        if at is not None:
            outcome.times.append(at)
    return outcome
