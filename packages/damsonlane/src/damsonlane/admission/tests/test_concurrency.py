"""A crowded box whose requests take processor time for as long as they last."""

import unittest
from collections.abc import Callable

from damsonlane.admission import ConcurrencyLimit

STEP_SECONDS = 0.1
#: Processor time of a request, of which it uses a part in each step of its life.
WORK_SECONDS = 0.02
LIFE_STEPS = 15


def play(
    offered: Callable[[float], float], seconds: float, limit: ConcurrencyLimit
) -> list[tuple[float, int]]:
    """Return the demand for processor time and the admitted requests of each step."""
    lives: list[int] = []
    steps: list[tuple[float, int]] = []
    load = 0.0
    for step in range(int(seconds / STEP_SECONDS)):
        now = step * STEP_SECONDS
        lives = [left - 1 for left in lives if left > 1]
        before = len(lives)
        for _ in range(int(offered(now) * STEP_SECONDS)):
            if limit.admits(len(lives), now):
                lives.append(LIFE_STEPS)
        demand = len(lives) * WORK_SECONDS / LIFE_STEPS / STEP_SECONDS
        load += 0.3 * (min(1.0, demand) - load)
        if limit.most is not None:
            limit.adjust(load + (demand > 1.0), len(lives), now)
        elif load >= 0.9:
            limit.begin(len(lives), now)
        steps.append((demand, len(lives) - before))
    return steps


class ConcurrencyLimitTest(unittest.TestCase):
    def test_the_demand_of_a_crowd_settles_near_what_the_box_has(self) -> None:
        """Guards against a crowded box that takes bursts of work by turns."""
        steps = play(lambda _: 400.0, 20.0, ConcurrencyLimit())
        settled = [demand for demand, _ in steps[40:]]
        self.assertLess(max(settled), 1.2)
        self.assertGreater(sum(settled) / len(settled), 0.7)

    def test_all_are_admitted_again_within_a_second_of_the_end(self) -> None:
        limit = ConcurrencyLimit()
        steps = play(lambda now: 400.0 if now < 5.0 else 20.0, 10.0, limit)
        self.assertEqual([admitted for _, admitted in steps[60:]], [2] * 40)
        self.assertIsNone(limit.most)

    def test_a_box_with_time_to_spare_has_no_limit(self) -> None:
        steps = play(lambda _: 30.0, 5.0, ConcurrencyLimit())
        self.assertEqual({admitted for _, admitted in steps}, {3})


if __name__ == "__main__":
    unittest.main()
