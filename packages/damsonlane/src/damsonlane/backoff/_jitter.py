"""Jitter that a box adds to a back-off."""

import random
from typing import Final

#: Mean interval between the returns of two boxes, in seconds.  Without jitter, all boxes that got
#: the same back-off would return to the target at the same time.
RETURN_INTERVAL_SECONDS: Final = 0.02
#: Largest jitter, as a share of the back-off; the capacity of the target is unused meanwhile.
MAX_JITTER_SHARE: Final = 0.25


def draw_jitter_seconds(seconds: float, boxes: int, randomness: random.Random) -> float:
    """Draw the seconds that a box adds to a back-off.

    Args:
        seconds: the requested back-off.
        boxes: number of boxes that send to the target.
        randomness: source of randomness; seeded differently on each box.
    """
    most = min(MAX_JITTER_SHARE * seconds, RETURN_INTERVAL_SECONDS * boxes)
    return randomness.uniform(0.0, most)
