"""What targets asked of a box: how long it holds, for which start, and what ends it."""

import math
import unittest
from dataclasses import replace

from damsonlane.backoff import LONGEST_BACKOFF_SECONDS, BackoffBook, TargetStart
from damsonlane.backoff._table import MOST_LEAVING

DESK = TargetStart(target="desk-1", address="10.0.0.1:80", start=7)
NEXT = replace(DESK, start=8)


class BackoffBookTest(unittest.TestCase):
    def setUp(self) -> None:
        self.book = BackoffBook()

    def test_a_backoff_holds_until_its_end(self) -> None:
        self.book.note(DESK, 3.0, now=10.0)
        for now, left in ((10.0, 3.0), (12.5, 0.5), (13.0, 0.0), (20.0, 0.0)):
            self.assertEqual(self.book.seconds_left(DESK, now), left)
            self.assertEqual(self.book.list_backing_off(now), {DESK} if left else set())

    def test_a_shorter_word_does_not_end_a_longer_one(self) -> None:
        self.book.note(DESK, 3.0, now=10.0)
        self.book.note(DESK, 0.5, now=10.2)
        self.assertAlmostEqual(self.book.seconds_left(DESK, 10.2), 2.8)
        self.book.note(DESK, 4.0, now=11.0)
        self.assertEqual(self.book.seconds_left(DESK, 11.0), 4.0)

    def test_it_says_nothing_of_the_next_start(self) -> None:
        self.book.note(DESK, 3.0, now=10.0)
        self.book.note_leaving(DESK)
        self.assertEqual(self.book.seconds_left(NEXT, 10.0), 0.0)
        self.assertEqual(self.book.seconds_left(replace(DESK, address="10.0.0.2:80"), 10.0), 0.0)

    def test_a_huge_one_ends_after_an_hour(self) -> None:
        self.book.note(DESK, 1e300, now=10.0)
        self.assertEqual(self.book.seconds_left(DESK, 10.0), LONGEST_BACKOFF_SECONDS)

    def test_it_outlasts_a_list_without_its_target(self) -> None:
        self.book.note(DESK, 3.0, now=10.0)
        self.book.forget_others([], now=11.0)
        self.assertEqual(self.book.seconds_left(DESK, 11.0), 2.0)
        self.book.forget_others([DESK], now=13.0)
        self.assertTrue(self.book.is_empty())

    def test_leaving_holds_for_good_for_that_start(self) -> None:
        self.assertTrue(self.book.note_leaving(DESK))
        self.assertFalse(self.book.note_leaving(DESK))
        self.book.forget_others([NEXT], now=1e6)
        self.assertEqual(self.book.seconds_left(DESK, 1e6), math.inf)
        self.assertEqual(self.book.list_backing_off(1e6), {DESK})

    def test_one_that_tells_no_start_may_come_back_once_it_was_listed_no_more(self) -> None:
        unnamed = replace(DESK, start=0)
        self.book.note_leaving(unnamed)
        self.book.forget_others([unnamed], now=1e6)
        self.assertTrue(self.book.is_leaving(unnamed))
        self.book.forget_others([], now=1e6)
        self.assertFalse(self.book.is_leaving(unnamed))

    def test_only_so_many_leaving_targets_are_remembered(self) -> None:
        for start in range(1, MOST_LEAVING + 2):
            self.book.note_leaving(replace(DESK, start=start))
        self.assertFalse(self.book.is_leaving(replace(DESK, start=1)))
        self.assertTrue(self.book.is_leaving(replace(DESK, start=2)))


if __name__ == "__main__":
    unittest.main()
