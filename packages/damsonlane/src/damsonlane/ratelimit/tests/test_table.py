"""The table of announced rate limits."""

import unittest
from dataclasses import replace

from damsonlane.backoff import TargetIncarnation
from damsonlane.ratelimit import RateLimitReport, RateLimitTable

DESK = TargetIncarnation(target="d1", address="127.0.0.1:1", start=5)


class RateLimitBookTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = RateLimitTable()

    def record(self, rate: float | None, now: float, age: float = 0.0) -> bool:
        return self.table.record(RateLimitReport(named=DESK, rate=rate, age=age), now)

    def test_the_newest_report_is_in_force(self) -> None:
        self.assertTrue(self.record(1.0, 10.0))
        self.assertFalse(self.record(1.0, 11.0))
        self.assertTrue(self.record(2.0, 12.0))
        self.assertFalse(self.record(9.0, 13.0, age=2.0))
        self.assertEqual(self.table.find_rate(DESK), 2.0)

    def test_an_answer_without_a_limit_ends_it(self) -> None:
        self.record(1.0, 10.0)
        self.assertTrue(self.record(None, 11.0))
        self.assertIsNone(self.table.find_rate(DESK))
        self.assertEqual(self.table.list_reports(11.0), ())

    def test_a_delayed_report_does_not_restore_an_ended_limit(self) -> None:
        self.record(1.0, 10.0)
        self.record(None, 11.0)
        self.assertFalse(self.record(1.0, 12.0, age=1.5))
        self.assertIsNone(self.table.find_rate(DESK))

    def test_targets_without_a_limit_are_not_stored(self) -> None:
        self.assertFalse(self.record(None, 10.0))
        self.assertTrue(self.table.is_empty())

    def test_a_limit_does_not_apply_to_the_next_incarnation(self) -> None:
        self.record(1.0, 10.0)
        self.assertIsNone(self.table.find_rate(replace(DESK, start=6)))
        self.table.retain_only([replace(DESK, start=6)], 11.0)
        self.assertTrue(self.table.is_empty())

    def test_a_limit_that_ended_long_ago_is_dropped(self) -> None:
        self.record(1.0, 10.0)
        self.record(None, 11.0)
        self.table.retain_only([DESK], 60.0)
        self.assertFalse(self.table.is_empty())
        self.table.retain_only([DESK], 80.0)
        self.assertTrue(self.table.is_empty())

    def test_reports_to_other_boxes_carry_their_age(self) -> None:
        self.record(1.0, 10.0)
        self.assertEqual(
            self.table.list_reports(12.5), (RateLimitReport(named=DESK, rate=1.0, age=2.5),)
        )


if __name__ == "__main__":
    unittest.main()
