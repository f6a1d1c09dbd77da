"""Duration and scope of back-off and draining."""

import math
import unittest
from dataclasses import replace

from damsonlane.backoff import LONGEST_BACKOFF_SECONDS, BackoffTable, TargetIncarnation
from damsonlane.backoff._table import MAX_DRAINING

DESK = TargetIncarnation(target="desk-1", address="10.0.0.1:80", start=7)
NEXT_INCARNATION = replace(DESK, start=8)


class BackoffTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = BackoffTable()

    def test_a_backoff_lasts_for_its_time(self) -> None:
        self.table.record(DESK, 3.0, now=10.0)
        for now, left in ((10.0, 3.0), (12.5, 0.5), (13.0, 0.0), (20.0, 0.0)):
            self.assertEqual(self.table.seconds_left(DESK, now), left)
            self.assertEqual(self.table.list_backing_off(now), {DESK} if left else set())

    def test_a_shorter_backoff_does_not_end_a_longer_one(self) -> None:
        self.table.record(DESK, 3.0, now=10.0)
        self.table.record(DESK, 0.5, now=10.2)
        self.assertAlmostEqual(self.table.seconds_left(DESK, 10.2), 2.8)
        self.table.record(DESK, 4.0, now=11.0)
        self.assertEqual(self.table.seconds_left(DESK, 11.0), 4.0)

    def test_it_does_not_apply_to_the_next_incarnation(self) -> None:
        self.table.record(DESK, 3.0, now=10.0)
        self.table.record_draining(DESK)
        self.assertEqual(self.table.seconds_left(NEXT_INCARNATION, 10.0), 0.0)
        self.assertEqual(self.table.seconds_left(replace(DESK, address="10.0.0.2:80"), 10.0), 0.0)

    def test_the_length_is_limited(self) -> None:
        self.table.record(DESK, 1e300, now=10.0)
        self.assertEqual(self.table.seconds_left(DESK, 10.0), LONGEST_BACKOFF_SECONDS)

    def test_it_remains_while_its_target_is_not_listed(self) -> None:
        self.table.record(DESK, 3.0, now=10.0)
        self.table.prune([], now=11.0)
        self.assertEqual(self.table.seconds_left(DESK, 11.0), 2.0)
        self.table.prune([DESK], now=13.0)
        self.assertTrue(self.table.is_empty())

    def test_draining_is_final_for_an_incarnation(self) -> None:
        self.assertTrue(self.table.record_draining(DESK))
        self.assertFalse(self.table.record_draining(DESK))
        self.table.prune([NEXT_INCARNATION], now=1e6)
        self.assertEqual(self.table.seconds_left(DESK, 1e6), math.inf)
        self.assertEqual(self.table.list_backing_off(1e6), {DESK})

    def test_a_target_without_a_start_may_return_once_it_was_not_listed(self) -> None:
        without_start = replace(DESK, start=0)
        self.table.record_draining(without_start)
        self.table.prune([without_start], now=1e6)
        self.assertTrue(self.table.is_draining(without_start))
        self.table.prune([], now=1e6)
        self.assertFalse(self.table.is_draining(without_start))

    def test_the_oldest_draining_targets_are_removed(self) -> None:
        for start in range(1, MAX_DRAINING + 2):
            self.table.record_draining(replace(DESK, start=start))
        self.assertFalse(self.table.is_draining(replace(DESK, start=1)))
        self.assertTrue(self.table.is_draining(replace(DESK, start=2)))


if __name__ == "__main__":
    unittest.main()
