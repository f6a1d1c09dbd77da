"""Values of the header that requests back-off, among them invalid and huge ones."""

import random
import string
import unittest

from damsonlaned.http import read_retry_after

DATE = "Thu, 03 Dec 2026 10:00:00 GMT"


class RetryAfterTest(unittest.TestCase):
    def test_numbers_may_have_fractions(self) -> None:
        for value, seconds in (("3", 3.0), ("0.25", 0.25), (" 12 ", 12.0), ("0", 0.0)):
            self.assertEqual(read_retry_after(value), seconds)

    def test_a_huge_number_is_not_limited(self) -> None:
        self.assertEqual(read_retry_after("1e9"), 1e9)

    def test_a_date_is_compared_with_the_date_of_the_response(self) -> None:
        self.assertEqual(read_retry_after("Thu, 03 Dec 2026 10:00:07 GMT", DATE), 7.0)
        self.assertEqual(read_retry_after("Thu, 03 Dec 2026 10:00:07", DATE), 7.0)
        self.assertEqual(read_retry_after("Thu, 03 Dec 2026 09:59:00 GMT", DATE), 0.0)
        self.assertEqual(read_retry_after("Thu, 03 Dec 2020 09:59:00 GMT"), 0.0)

    def test_a_missing_header_requests_no_back_off(self) -> None:
        with self.assertNoLogs():
            self.assertEqual(read_retry_after(None), 0.0)

    def test_an_invalid_value_is_ignored_and_logged(self) -> None:
        values = ("", "soon", "-3", "nan", "inf", "1e999", "3 seconds", "Thu, 99 Foo 2026", "\xff")
        for value in values:
            with self.assertLogs("damsonlaned.http", "WARNING"):
                self.assertEqual(read_retry_after(value, DATE), 0.0, value)
        with self.assertLogs("damsonlaned.http", "WARNING"):
            self.assertEqual(read_retry_after("Thu, 03 Dec 2026 10:00:07 GMT", "now"), 0.0)

    def test_any_text_yields_a_number(self) -> None:
        source = random.Random(11)
        with self.assertLogs("damsonlaned.http", "WARNING"):
            for _ in range(2_000):
                value = "".join(source.choices(string.printable, k=source.randrange(1, 30)))
                self.assertGreaterEqual(read_retry_after(value, DATE), 0.0)


if __name__ == "__main__":
    unittest.main()
