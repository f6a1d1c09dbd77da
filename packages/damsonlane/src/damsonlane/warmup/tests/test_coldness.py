"""Limits for targets that are warming up."""

import random
import unittest

from damsonlane.targets import TargetRecord
from damsonlane.warmup import WarmupChanges, WarmupLimit, WarmupLimiter, find_entry_share

LIMIT = WarmupLimit(rate=6.7, ratio=1.5, slack=5.0)
RECORD = TargetRecord(
    target="t1",
    service="desk",
    address="10.0.0.1:80",
    data_centre="gulberg",
    slots=4,
    standing="live",
    sequence=1,
)


def make_warming(seconds: float) -> TargetRecord:
    return TargetRecord(**{**vars(RECORD), "cold_seconds": seconds})


class LimitTest(unittest.TestCase):
    def test_two_owners_and_all_entries_stay_within_the_limit(self) -> None:
        for rate in (0.0, 0.3, 1.0, 6.7, 14.0, 100.0):
            for slack in (5.0, 10.0):
                limit = WarmupLimit(rate=rate, ratio=1.5, slack=slack)
                together = 2 * limit.owner_limit() + limit.entries_limit()
                self.assertLessEqual(together, limit.max_requests())

    def test_an_owner_places_what_a_target_can_serve(self) -> None:
        self.assertEqual(LIMIT.owner_limit(), 6)


class LimiterTest(unittest.TestCase):
    def test_a_burst_for_targets_that_start_together_stays_within_the_limit(self) -> None:
        """All entries see the targets idle and send there at the same time."""
        limiter = WarmupLimiter()
        sent: dict[str, list[float]] = {f"t{number}": [] for number in range(18)}
        randomness = random.Random(7)
        now = 0.0
        rejected = 0
        while now < 4.0:
            now += randomness.expovariate(400.0)
            admitted = [name for name in sent if limiter.admits(name, LIMIT.owner_limit(), now)]
            if not admitted:
                rejected += 1
                continue
            name = randomness.choice(admitted)
            limiter.record(name, now)
            sent[name].append(now)
        self.assertGreater(rejected, 0)
        for times in sent.values():
            busiest = max(sum(begin <= at < begin + 1.0 for at in times) for begin in times)
            self.assertLessEqual(busiest, 6)

    def test_removed_targets_are_dropped(self) -> None:
        limiter = WarmupLimiter()
        limiter.record("t1", 0.0)
        limiter.retain_only({"t2"})
        self.assertTrue(limiter.admits("t1", 1, 0.1))


class ShareTest(unittest.TestCase):
    def test_entries_together_stay_within_their_limit(self) -> None:
        for count in (1, 2, 3, 6, 86, 350):
            entries = [f"10.0.0.{number}:7000" for number in range(count)]
            for target in ("t1", "t2", "t3"):
                shares = [
                    find_entry_share(target, entry, entries, LIMIT.entries_limit())
                    for entry in entries
                ]
                self.assertLessEqual(sum(shares), LIMIT.entries_limit())
                self.assertGreater(sum(shares), 0)

    def test_an_unlisted_entry_has_no_share(self) -> None:
        self.assertEqual(find_entry_share("t1", "10.0.0.9:7000", ["10.0.0.1:7000"], 3), 0)


class ChangesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.changes = WarmupChanges()

    def test_the_start_and_the_end_of_a_warm_up_are_one_change_each(self) -> None:
        self.assertTrue(self.changes.is_change(make_warming(3.0), RECORD, 10.0))
        self.changes.record(make_warming(3.0), 10.0)
        self.assertFalse(self.changes.is_change(make_warming(1.8), make_warming(3.0), 11.3))
        self.assertTrue(self.changes.is_change(RECORD, make_warming(3.0), 13.6))
        self.changes.record(RECORD, 13.6)
        self.assertFalse(self.changes.is_change(RECORD, RECORD, 14.8))

    def test_a_warm_up_that_starts_again_is_a_change(self) -> None:
        self.changes.record(make_warming(3.0), 10.0)
        self.assertTrue(self.changes.is_change(make_warming(2.9), make_warming(3.0), 11.2))

    def test_a_warm_up_recorded_by_another_replica_is_a_change(self) -> None:
        self.assertTrue(self.changes.is_change(make_warming(1.8), make_warming(3.0), 11.2))


if __name__ == "__main__":
    unittest.main()
