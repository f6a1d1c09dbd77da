"""Time buckets, their retention, and burn rates."""

import unittest

from damsonlane.burn import Burn, BurnBuckets, CompletionCount, Window, measure_burn


def _count(start: int, attained: int, total: int, length: int = 60) -> CompletionCount:
    return CompletionCount(
        organisation="o", pipeline="p", start=start, length=length, attained=attained, total=total
    )


class BurnTest(unittest.TestCase):
    def test_counts_are_added_in_fine_and_coarse_buckets(self) -> None:
        buckets = BurnBuckets()
        buckets.record([_count(3600, 1, 2), _count(3600, 3, 3), _count(3660, 0, 1)])
        expected = (_count(3600, 4, 5), _count(3660, 0, 1), _count(3600, 4, 6, length=3600))
        self.assertEqual(buckets.counts(), expected)

    def test_buckets_are_restored_from_their_counts(self) -> None:
        buckets = BurnBuckets()
        buckets.record([_count(3600, 1, 2)])
        self.assertEqual(BurnBuckets(buckets.counts()).counts(), buckets.counts())

    def test_old_fine_buckets_are_dropped_and_coarse_ones_kept(self) -> None:
        buckets = BurnBuckets()
        buckets.record([_count(0, 1, 1), _count(7 * 3600, 1, 1)])
        remaining = [(count.start, count.length) for count in buckets.counts()]
        self.assertEqual(remaining, [(25200, 60), (0, 3600), (25200, 3600)])

    def test_the_burn_rate_compares_failures_with_the_error_budget(self) -> None:
        window = Window(name="5m", start=3600, end=3900)
        burns = measure_burn([_count(3600, 95, 100), _count(7200, 0, 9)], window, 0.99)
        self.assertEqual(len(burns), 1)
        self.assertEqual((burns[0].total, burns[0].attainment), (100, 0.95))
        self.assertAlmostEqual(burns[0].rate, 5.0)
        self.assertIsInstance(burns[0], Burn)


if __name__ == "__main__":
    unittest.main()
