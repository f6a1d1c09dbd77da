"""Shares of one box in limits that boxes divide by capacity without exchanging messages."""

import math
from collections import deque
from collections.abc import Collection, Mapping, Sequence
from dataclasses import replace
from typing import Final

from damsonlane.membership._boxes import BoxRecord
from damsonlane.membership._capacity import is_plausible_capacity
from damsonlane.membership._owners import rank_boxes
from damsonlane.records import dataclass

#: Seconds for which a share does not grow after a change of the list of boxes, by default.  An
#: entry that reaches any control replica has a list within 2 s, the time allowed for documents.
HOLD_SECONDS: Final = 3.0
#: Most lists that are kept; the two oldest become one beyond it.  Control commits a few changes a
#: second, and more while all boxes restart.
MAX_LISTS: Final = 64
#: Most whole parts of a limit that are given to one box each.  Rounded down, the shares of many
#: boxes in a small limit would all be 0.
MAX_SINGLE_PARTS: Final = 16


@dataclass(frozen=True, kw_only=True)
class _BoxList:
    """A list of boxes, with their weights."""

    #: Until when it was in force; infinite for the current one.
    until: float
    #: Weight of each box, by address.
    weights: Mapping[str, float]
    #: Whether some boxes have a larger weight than others.
    is_uneven: bool = False


class CapacityShares:
    """The shares of one box by the lists of boxes of the last seconds.

    The box counts with its least weight in these lists and every other box with its largest, so
    boxes that have different lists stay within a limit together. This holds as long as each list
    arrives within `hold_seconds` and the weight of a box changes once in twice that time; lists
    may be skipped. If all lists have boxes of equal or unknown capacity, limits are not divided
    here.

    Args:
        address: address of the box.
        hold_seconds: seconds within which a list has reached all boxes.
    """

    def __init__(self, address: str, hold_seconds: float = HOLD_SECONDS) -> None:
        self._address: Final = address
        self._hold_seconds: Final = hold_seconds
        self._lists: deque[_BoxList] = deque()
        #: The least weight of this box and the largest of each other one; None if outdated.
        self._merged: Mapping[str, float] | None = None
        self._total = 0.0
        #: Results of `is_among_first` for these weights; ranking all boxes for each call is slow.
        self._singles: dict[tuple[str, int], bool] = {}

    def record(self, records: Sequence[BoxRecord], now: float) -> None:
        """Record the list that is in force from now on."""
        if self._lists:
            self._lists.append(replace(self._lists.pop(), until=now))
        else:
            # This box has just started, and others have no list yet that contains it.
            self._lists.append(_BoxList(until=now, weights={}))
        weights = _find_weights(records)
        is_uneven = len(set(weights.values())) > 1
        self._lists.append(_BoxList(until=math.inf, weights=weights, is_uneven=is_uneven))
        self._merged = None
        self._drop_expired(now)
        if len(self._lists) > MAX_LISTS:
            first, second = self._lists.popleft(), self._lists.popleft()
            self._lists.appendleft(self._combine(first, second))

    def is_uneven(self, now: float) -> bool:
        """Return whether a list of the last seconds has boxes of different capacities."""
        self._drop_expired(now)
        return any(known.is_uneven for known in self._lists)

    def count(self, now: float) -> int:
        """Return the number of boxes in the lists of the last seconds."""
        return len(self._merge(now))

    def find_share(self, now: float) -> float:
        """Return the share of the box in a limit."""
        weights = self._merge(now)
        return weights.get(self._address, 0.0) / self._total if self._total else 0.0

    def split(self, limit: float, least: int, now: float) -> int:
        """Return the part of the box in a limit of whole things.

        Args:
            limit: the limit for all boxes together; exceeded if it has not the least for each.
            least: what each box may use at least.
            now: the monotonic clock, in seconds.
        """
        rest = max(0.0, limit - least * len(self._merge(now)))
        return least + int(rest * self.find_share(now))

    def split_singly(self, subject: str, limit: int, now: float) -> int:
        """Return the part of the box in a limit of few whole things, which is 0 for most boxes.

        Args:
            subject: name of the limit, which decides which boxes get one thing each.
            limit: the limit for all boxes together.
            now: the monotonic clock, in seconds.
        """
        if not self._merge(now).get(self._address):
            return 0
        singles = min(limit, MAX_SINGLE_PARTS)
        is_single = self.is_among_first(subject, singles, now)
        return is_single + int((limit - singles) * self.find_share(now))

    def is_among_first(self, subject: str, number: int, now: float) -> bool:
        """Return whether the box is one of the first boxes in the order that a subject decides.

        Args:
            subject: name that decides the order.
            number: number of boxes that count as the first ones.
            now: the monotonic clock, in seconds.
        """
        weights = self._merge(now)
        if not weights.get(self._address):
            return False
        key = (subject, number)
        if key not in self._singles:
            self._singles[key] = self._address in rank_boxes(subject, weights)[:number]
        return self._singles[key]

    def _merge(self, now: float) -> Mapping[str, float]:
        """Return the least weight of this box and the largest of each other one."""
        self._drop_expired(now)
        if self._merged is None:
            self._merged = self._merge_weights(self._lists)
            self._singles.clear()
            self._total = math.fsum(self._merged.values())
        return self._merged

    def _merge_weights(self, lists: Collection[_BoxList]) -> Mapping[str, float]:
        """Return the least weight of this box in some lists and the largest of each other one."""
        merged: dict[str, float] = {}
        for known in lists:
            for address, weight in known.weights.items():
                merged[address] = max(weight, merged.get(address, 0.0))
        if self._address in merged:
            merged[self._address] = min(known.weights.get(self._address, 0.0) for known in lists)
        return merged

    def _combine(self, first: _BoxList, second: _BoxList) -> _BoxList:
        """Return one list that restricts the share of the box as two do, until both are old."""
        return _BoxList(
            until=max(first.until, second.until),
            weights=self._merge_weights((first, second)),
            is_uneven=first.is_uneven or second.is_uneven,
        )

    def _drop_expired(self, now: float) -> None:
        while self._lists and self._lists[0].until <= now - self._hold_seconds:
            self._lists.popleft()
            self._merged = None


def _find_weights(records: Sequence[BoxRecord]) -> dict[str, float]:
    """Return the weight of each box; one of unknown capacity weighs as the smallest."""
    known = {
        record.address: record.capacity
        for record in records
        if record.capacity > 0 and is_plausible_capacity(record.capacity)
    }
    smallest = min(known.values(), default=1.0)
    return {record.address: known.get(record.address, smallest) for record in records}
