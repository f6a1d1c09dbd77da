"""Strategies to share a target's rate among boxes, simulated with the same loads and seeds."""

import unittest

from damsonlane.ratelimit.tests.replay import (
    FAILOVER_SECONDS,
    TOLERATED_EXTRA,
    TOLERATED_RATIO,
    WINDOW_SECONDS,
    EvenSplit,
    Load,
    Outcome,
    Permits,
    simulate,
)

SEEDS = range(3)
#: Loads with more requests than the target accepts.
LOADS = {
    "one box of 8": Load(rate=1.0, wanted=(4.0, *(0.0,) * 7)),
    "all of 8": Load(rate=1.0, wanted=(0.5,) * 8),
    "all of 8, a slow target": Load(rate=0.1, wanted=(0.5,) * 8, seconds=200.0),
    "all of 8, a fast target": Load(rate=10.0, wanted=(5.0,) * 8),
    "one of 61": Load(rate=2.0, wanted=(8.0, *(0.0,) * 60)),
    "five of 195": Load(rate=5.0, wanted=(*(4.0,) * 5, *(0.02,) * 190)),
    "all of 350": Load(rate=1.0, wanted=(0.05,) * 350),
}
#: A load during which the owner is killed.
OWNER_KILLED = Load(rate=4.0, wanted=(2.0,) * 8, killed_at=20.0)


def find_bound(load: Load) -> float:
    """Return the most requests that the target tolerates in a window."""
    return TOLERATED_RATIO * load.rate * WINDOW_SECONDS + TOLERATED_EXTRA


class SharingTest(unittest.TestCase):
    def simulate_seeds(self, load: Load) -> list[Outcome]:
        return [simulate(Permits, load, seed) for seed in SEEDS]

    def test_permits_stay_within_the_limit_and_use_the_rate(self) -> None:
        for name, load in LOADS.items():
            with self.subTest(name):
                for outcome in self.simulate_seeds(load):
                    self.assertLessEqual(outcome.count_most(), find_bound(load))
                    self.assertGreaterEqual(outcome.used_share(load, after=10.0), 0.9)

    def test_the_rate_is_used_again_soon_after_the_owner_was_killed(self) -> None:
        assert OWNER_KILLED.killed_at is not None
        recovered_at = OWNER_KILLED.killed_at + FAILOVER_SECONDS + 1.0
        for outcome in self.simulate_seeds(OWNER_KILLED):
            self.assertLessEqual(outcome.count_most(), find_bound(OWNER_KILLED))
            self.assertGreaterEqual(outcome.used_share(OWNER_KILLED, after=recovered_at), 0.9)

    def test_an_even_split_wastes_the_rate_or_exceeds_the_limit(self) -> None:
        """An even split needs no messages; this is why permits are used instead."""
        alone = simulate(EvenSplit, LOADS["one box of 8"], 0)
        self.assertLess(alone.used_share(LOADS["one box of 8"]), 0.2)
        slow = LOADS["all of 8, a slow target"]
        self.assertGreater(simulate(EvenSplit, slow, 0).count_most(), find_bound(slow))


if __name__ == "__main__":
    unittest.main()
