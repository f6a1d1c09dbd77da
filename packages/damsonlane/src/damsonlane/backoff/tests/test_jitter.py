"""Jitter of the return of boxes that got the same back-off from a target."""

import random
import unittest

from damsonlane.backoff import draw_jitter_seconds

#: Interval in which returns count as simultaneous, in seconds.
INTERVAL = 0.05
#: Seeds over which results are averaged.
SEEDS = range(20)


def count_most_at_once(boxes: int, seconds: float, *, has_jitter: bool) -> float:
    """Return the maximum number of boxes that return within one interval, averaged over seeds."""
    most: list[int] = []
    for seed in SEEDS:
        randomness = random.Random(seed)
        # Boxes receive the back-off within some milliseconds of each other.
        received_at = [randomness.uniform(0.0, 0.005) for _ in range(boxes)]
        jitter = [draw_jitter_seconds(seconds, boxes, randomness) for _ in range(boxes)]
        returns = sorted(a + b * has_jitter for a, b in zip(received_at, jitter, strict=True))
        most.append(
            max(sum(first <= one < first + INTERVAL for one in returns) for first in returns)
        )
    return sum(most) / len(most)


class JitterTest(unittest.TestCase):
    def test_boxes_do_not_return_simultaneously(self) -> None:
        for boxes in (8, 39, 86, 195, 350):
            without_jitter = count_most_at_once(boxes, 3.0, has_jitter=False)
            jitter = count_most_at_once(boxes, 3.0, has_jitter=True)
            evenly_spaced = boxes * INTERVAL / min(0.75, 0.02 * boxes)
            self.assertEqual(without_jitter, boxes)
            self.assertLess(jitter, 3.0 * evenly_spaced, boxes)

    def test_the_jitter_is_at_most_a_quarter_of_the_backoff(self) -> None:
        randomness = random.Random(1)
        for seconds in (0.1, 3.0, 600.0):
            for boxes in (1, 8, 350):
                jitter = draw_jitter_seconds(seconds, boxes, randomness)
                self.assertLessEqual(jitter, min(seconds / 4, boxes * 0.02))


if __name__ == "__main__":
    unittest.main()
