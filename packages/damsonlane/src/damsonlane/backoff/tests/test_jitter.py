"""All boxes return to a target that asked them for the same time: how many in one moment."""

import random
import unittest

from damsonlane.backoff import find_spread_seconds

#: Length of a moment, in seconds: a target of a few slots works off a request or two in it.
MOMENT = 0.05
#: Days on which the same is looked at.
SEEDS = range(20)


def count_most_at_once(boxes: int, seconds: float, *, is_spread: bool) -> float:
    """Return the most boxes that return within one moment, the mean of all seeds."""
    most: list[int] = []
    for seed in SEEDS:
        source = random.Random(seed)
        # Answers reach boxes within some milliseconds of each other.
        heard = [source.uniform(0.0, 0.005) for _ in range(boxes)]
        spread = [find_spread_seconds(seconds, boxes, source) for _ in range(boxes)]
        at = sorted(a + b * is_spread for a, b in zip(heard, spread, strict=True))
        most.append(max(sum(first <= one < first + MOMENT for one in at) for first in at))
    return sum(most) / len(most)


class SpreadTest(unittest.TestCase):
    def test_boxes_return_one_after_the_other(self) -> None:
        for boxes in (8, 39, 86, 195, 350):
            together = count_most_at_once(boxes, 3.0, is_spread=False)
            spread = count_most_at_once(boxes, 3.0, is_spread=True)
            evenly = boxes * MOMENT / min(0.75, 0.02 * boxes)
            self.assertEqual(together, boxes)
            self.assertLess(spread, 3.0 * evenly, boxes)

    def test_the_target_is_missed_for_no_more_than_a_quarter_of_what_it_asked(self) -> None:
        source = random.Random(1)
        for seconds in (0.1, 3.0, 600.0):
            for boxes in (1, 8, 350):
                spread = find_spread_seconds(seconds, boxes, source)
                self.assertLessEqual(spread, min(seconds / 4, boxes * 0.02))


if __name__ == "__main__":
    unittest.main()
