"""The part of one box in the connections that a target takes from all boxes together."""

from typing import Final

from damsonlane.membership import CapacityShares
from damsonlane.records import dataclass

#: Share of a target's connections that the fleet uses, so that boxes which do not know each other
#: yet stay within its limit together.
CONNECTION_SHARE: Final = 0.9
#: Most connections that a box of an uneven fleet keeps whatever its capacity.
UNEVEN_FLOOR: Final = 2
#: Most of the connections of a target that a box keeps as its floor.  Two boxes that start at once
#: stay within what the fleet leaves unused.
FLOOR_SHARE: Final = 0.05
#: Part below which the remainder of a division among equal boxes is given out one by one.
MIN_EVEN_PART: Final = 5


@dataclass(frozen=True, kw_only=True)
class ConnectionPart:
    """The part of one box in the connections to one target."""

    #: Connections that the box may open, unless it has lent some of them.
    share: int
    #: Those of them that it never lends, and that it may open as soon as it has started.
    floor: int

    def count_left(self, lent: int) -> int:
        """Return the connections that the box may open after it has lent some."""
        return max(self.floor, self.share - lent)


def find_part(most: int, target: str, shares: CapacityShares, now: float) -> ConnectionPart:
    """Return the part of a box in the connections to a target.

    Args:
        most: connections that the target takes from all boxes together.
        target: name of the target, which decides who gets what can't be divided evenly.
        shares: the shares of the box by the lists of boxes.
        now: the monotonic clock, in seconds.
    """
    limit = CONNECTION_SHARE * most
    boxes = max(1, shares.count(now))
    if limit < boxes:
        is_single = shares.is_among_first(target, int(limit), now)
        return ConnectionPart(share=int(is_single), floor=0)
    floor = find_floor(most, shares, now)
    share = shares.split(limit, floor, now)
    if limit / boxes < MIN_EVEN_PART and not shares.is_uneven(now):
        share += shares.is_among_first(target, int(limit) % boxes, now)
    return ConnectionPart(share=share, floor=floor)


def find_floor(most: int, shares: CapacityShares, now: float) -> int:
    """Return the floor of the part of a box, which is the same for all targets of a service.

    In a fleet of unequal boxes a large floor would take connections from the larger ones.

    Args:
        most: connections that a target takes from all boxes together.
        shares: the shares of the box by the lists of boxes.
        now: the monotonic clock, in seconds.
    """
    even_part = CONNECTION_SHARE * most / max(1, shares.count(now))
    if even_part < 1:
        return 0
    if shares.is_uneven(now):
        return min(UNEVEN_FLOOR, int(even_part))
    return max(1, min(int(even_part / 2), int(FLOOR_SHARE * most)))
