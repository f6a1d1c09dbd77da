"""Choice of the box that serves requests in place of one that does not reach their targets."""

import random
from collections import Counter
from collections.abc import Sequence
from typing import Final

from damsonlane.records import dataclass

#: Seconds for which a box that declined a request gets no other one.
DECLINED_SECONDS: Final = 1.0
#: Most requests that one box has another one serve at once.
MAX_IN_FLIGHT: Final = 80


@dataclass(frozen=True, kw_only=True)
class HelperCandidate:
    """A box that may serve requests for another one."""

    #: Its internal address.
    address: str
    #: Its data centre.
    data_centre: str
    #: Its capacity, in cores; 0 if unknown.
    capacity: float = 0.0


class HelperChoice:
    """Chooses by power of two choices, among boxes of the same data centre first.

    Args:
        data_centre: data centre of this box.
        randomness: source of the draws.
    """

    def __init__(self, data_centre: str, randomness: random.Random) -> None:
        self._data_centre: Final = data_centre
        self._randomness: Final = randomness
        self._in_flight: Counter[str] = Counter()
        self._declined_until: dict[str, float] = {}

    def choose(self, candidates: Sequence[HelperCandidate], now: float) -> HelperCandidate | None:
        """Return the box that gets the next request, or None if no box can take one.

        Args:
            candidates: the boxes that may reach the targets.
            now: the clock, in seconds.
        """
        free = [
            candidate
            for candidate in candidates
            if self._declined_until.get(candidate.address, 0.0) <= now
            and self._in_flight[candidate.address] < MAX_IN_FLIGHT
        ]
        near = [candidate for candidate in free if candidate.data_centre == self._data_centre]
        tier = near or free
        if not tier:
            return None
        pair = self._randomness.sample(tier, min(2, len(tier)))
        return min(pair, key=self._find_load)

    def sample(self, candidates: Sequence[HelperCandidate], count: int) -> list[HelperCandidate]:
        """Return some boxes, one of another data centre among them if there is one."""
        drawn = self._randomness.sample(list(candidates), len(candidates))
        drawn.sort(key=lambda candidate: candidate.data_centre == self._data_centre)
        rest = drawn[1:]
        return drawn[:1] + self._randomness.sample(rest, max(0, min(count - 1, len(rest))))

    def begin(self, address: str) -> None:
        """Count a request as in flight at a box."""
        self._in_flight[address] += 1

    def end(self, address: str) -> None:
        """Count a request as no longer in flight at a box."""
        self._in_flight[address] -= 1
        if self._in_flight[address] <= 0:
            del self._in_flight[address]

    def record_declined(self, address: str, now: float) -> None:
        """Record that a box declined a request or could not be reached."""
        self._declined_until = {
            known: until for known, until in self._declined_until.items() if until > now
        }
        self._declined_until[address] = now + DECLINED_SECONDS

    def _find_load(self, candidate: HelperCandidate) -> float:
        return self._in_flight[candidate.address] / (candidate.capacity or 1.0)
