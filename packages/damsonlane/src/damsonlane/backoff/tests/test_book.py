"""What targets asked of a box: how long it holds, for which start, and what ends it."""

import math
import unittest
from dataclasses import replace

from damsonlane.backoff import LONGEST_BACKOFF_SECONDS, BackoffBook, TargetStart

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

    def test_leaving_holds_as_long_as_that_start_is_listed(self) -> None:
        self.assertTrue(self.book.note_leaving(DESK))
        self.assertFalse(self.book.note_leaving(DESK))
        self.book.forget_others([DESK], now=1e6)
        self.assertEqual(self.book.seconds_left(DESK, 1e6), math.inf)
        self.book.forget_others([NEXT], now=1e6)
        self.assertFalse(self.book.is_leaving(DESK))


if __name__ == "__main__":
    unittest.main()
