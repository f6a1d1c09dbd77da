"""Ways to share a target's rate among boxes, compared on the same loads and seeds."""

import unittest

from damsonlane.ratelimit.tests.replay import (
    GONE_SECONDS,
    MORE,
    TIMES,
    WINDOW,
    EvenSplit,
    Load,
    Outcome,
    Permits,
    play,
)

SEEDS = range(3)
#: Loads in which callers want more than the target takes.
LOADS = {
    "one box of 8": Load(rate=1.0, wanted=(4.0, *(0.0,) * 7)),
    "all of 8": Load(rate=1.0, wanted=(0.5,) * 8),
    "all of 8, a slow target": Load(rate=0.1, wanted=(0.5,) * 8, seconds=200.0),
    "all of 8, a fast target": Load(rate=10.0, wanted=(5.0,) * 8),
    "one of 61": Load(rate=2.0, wanted=(8.0, *(0.0,) * 60)),
    "five of 195": Load(rate=5.0, wanted=(*(4.0,) * 5, *(0.02,) * 190)),
    "all of 350": Load(rate=1.0, wanted=(0.05,) * 350),
}
#: The same, with the box that shares killed in the middle.
KILLED = Load(rate=4.0, wanted=(2.0,) * 8, killed_at=20.0)


def find_bound(load: Load) -> float:
    """Return the requests that the target may get in some four seconds."""
    return TIMES * load.rate * WINDOW + MORE


class SharingTest(unittest.TestCase):
    def play_all(self, load: Load) -> list[Outcome]:
        return [play(Permits, load, seed) for seed in SEEDS]

    def test_permits_keep_the_limit_and_use_it(self) -> None:
        for name, load in LOADS.items():
            with self.subTest(name):
                for outcome in self.play_all(load):
                    self.assertLessEqual(outcome.count_most(), find_bound(load))
                    self.assertGreaterEqual(outcome.used_share(load, after=10.0), 0.9)

    def test_a_lost_owner_costs_a_moment(self) -> None:
        assert KILLED.killed_at is not None
        recovered_at = KILLED.killed_at + GONE_SECONDS + 1.0
        for outcome in self.play_all(KILLED):
            self.assertLessEqual(outcome.count_most(), find_bound(KILLED))
            self.assertGreaterEqual(outcome.used_share(KILLED, after=recovered_at), 0.9)

    def test_an_even_split_leaves_the_rate_unused_or_breaks_it(self) -> None:
        """It needs no messages, and is why permits are worth theirs."""
        alone = play(EvenSplit, LOADS["one box of 8"], 0)
        self.assertLess(alone.used_share(LOADS["one box of 8"]), 0.2)
        slow = LOADS["all of 8, a slow target"]
        self.assertGreater(play(EvenSplit, slow, 0).count_most(), find_bound(slow))


if __name__ == "__main__":
    unittest.main()
