"""What is remembered of the rate limits that targets name."""

import unittest
from dataclasses import replace

from damsonlane.backoff import TargetStart
from damsonlane.ratelimit import RateLimitBook, RateWord

DESK = TargetStart(target="d1", address="127.0.0.1:1", start=5)


class RateLimitBookTest(unittest.TestCase):
    def setUp(self) -> None:
        self.book = RateLimitBook()

    def say(self, rate: float | None, now: float, age: float = 0.0) -> bool:
        return self.book.note(RateWord(named=DESK, rate=rate, age=age), now)

    def test_the_newest_word_holds(self) -> None:
        self.assertTrue(self.say(1.0, 10.0))
        self.assertFalse(self.say(1.0, 11.0))
        self.assertTrue(self.say(2.0, 12.0))
        self.assertFalse(self.say(9.0, 13.0, age=2.0))
        self.assertEqual(self.book.find_rate(DESK), 2.0)

    def test_an_answer_without_it_ends_it(self) -> None:
        self.say(1.0, 10.0)
        self.assertTrue(self.say(None, 11.0))
        self.assertIsNone(self.book.find_rate(DESK))
        self.assertEqual(self.book.list_words(11.0), ())

    def test_late_word_does_not_bring_an_ended_limit_back(self) -> None:
        self.say(1.0, 10.0)
        self.say(None, 11.0)
        self.assertFalse(self.say(1.0, 12.0, age=1.5))
        self.assertIsNone(self.book.find_rate(DESK))

    def test_targets_that_name_nothing_take_no_room(self) -> None:
        self.assertFalse(self.say(None, 10.0))
        self.assertTrue(self.book.is_empty())

    def test_the_next_start_is_free_of_it(self) -> None:
        self.say(1.0, 10.0)
        self.assertIsNone(self.book.find_rate(replace(DESK, start=6)))
        self.book.forget_others([replace(DESK, start=6)], 11.0)
        self.assertTrue(self.book.is_empty())

    def test_what_ended_long_ago_is_forgotten(self) -> None:
        self.say(1.0, 10.0)
        self.say(None, 11.0)
        self.book.forget_others([DESK], 60.0)
        self.assertFalse(self.book.is_empty())
        self.book.forget_others([DESK], 80.0)
        self.assertTrue(self.book.is_empty())

    def test_another_box_is_told_how_old_the_word_is(self) -> None:
        self.say(1.0, 10.0)
        self.assertEqual(self.book.list_words(12.5), (RateWord(named=DESK, rate=1.0, age=2.5),))


if __name__ == "__main__":
    unittest.main()
