"""The header in which a target announces a rate limit."""

import unittest

from damsonlaned.http import HttpHead
from damsonlaned.http._rate_limit import read_rate_limit


class ReadRateLimitTest(unittest.TestCase):
    def test_valid_values(self) -> None:
        cases: dict[tuple[str, ...], float | None] = {
            (): None,
            ("1.1",): 1.1,
            (" 2 ",): 2.0,
            ("0",): 0.0,
            ("0.05",): 0.05,
            ("1e9",): 1e9,
            ("3", "2"): 2.0,
            ("3, 2.5",): 2.5,
            ("3", "many"): 3.0,
        }
        for values, rate in cases.items():
            with self.subTest(values=values):
                self.assertEqual(read_rate_limit(values), rate)

    def test_an_invalid_value_is_ignored_and_logged(self) -> None:
        for value in ("-1", "many", "", "nan", "inf", "1;q=2"):
            with self.subTest(value=value), self.assertLogs("damsonlaned.http", "WARNING"):
                self.assertIsNone(read_rate_limit((value,)))


class HeadTest(unittest.TestCase):
    def test_all_values_of_a_header_are_found(self) -> None:
        head = HttpHead(status=200, headers=((b"X-A", b"1"), (b"X-B", b"2"), (b"x-a", b"3")))
        self.assertEqual(head.find_values(b"x-a"), ["1", "3"])
        self.assertEqual(head.find_values(b"x-c"), [])


if __name__ == "__main__":
    unittest.main()
