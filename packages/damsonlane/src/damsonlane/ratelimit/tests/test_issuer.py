"""Permits for requests to targets that announced rate limits."""

import unittest
from collections.abc import Sequence
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from damsonlane.backoff import TargetIncarnation
from damsonlane.ratelimit import (
    MIN_RATE,
    NON_OWNER_SHARE,
    UNLIMITED_RATE,
    PermitIssuer,
    PermitRequest,
    RateBucket,
    RateLimitReport,
    RateLimitTable,
)

DESK = TargetIncarnation(target="d1", address="127.0.0.1:1")
OTHER = TargetIncarnation(target="d2", address="127.0.0.1:2")


class RateBucketTest(unittest.TestCase):
    def test_it_starts_empty_and_fills_at_its_rate(self) -> None:
        bucket = RateBucket(2.0, 0.0)
        self.assertFalse(bucket.try_acquire(0.4))
        self.assertAlmostEqual(bucket.wait_seconds(0.4), 0.1)
        self.assertTrue(bucket.try_acquire(0.5))
        self.assertFalse(bucket.try_acquire(0.9))

    def test_unused_tokens_accumulate_up_to_the_burst(self) -> None:
        bucket = RateBucket(4.0, 0.0)
        taken = [bucket.try_acquire(100.0) for _ in range(5)]
        self.assertEqual(taken.count(True), 3)

    def test_a_lower_rate_applies_at_once(self) -> None:
        bucket = RateBucket(10.0, 0.0)
        bucket.set_rate(0.1, 100.0)
        self.assertTrue(bucket.try_acquire(100.0))
        self.assertFalse(bucket.try_acquire(101.0))

    def test_a_clock_that_goes_back_adds_no_tokens(self) -> None:
        bucket = RateBucket(1.0, 100.0)
        self.assertFalse(bucket.try_acquire(50.0))
        self.assertFalse(bucket.try_acquire(50.5))
        self.assertTrue(bucket.try_acquire(51.5))


class PermitIssuerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = RateLimitTable()
        self.issuer = PermitIssuer(self.table)

    def announce(
        self, rate: float | None, now: float = 0.0, incarnation: TargetIncarnation = DESK
    ) -> None:
        self.table.record(RateLimitReport(named=incarnation, rate=rate), now)
        self.issuer.wait_seconds(incarnation, 1.0, now)

    def count(self, times: Sequence[float], incarnation: TargetIncarnation = DESK) -> int:
        return sum(self.issuer.try_acquire(incarnation, 1.0, at) for at in times)

    def test_rates_below_the_minimum_and_above_the_maximum(self) -> None:
        many = [step / 100 for step in range(10_000)]
        at_min_rate = int(100 * MIN_RATE)
        cases = (
            (0.0, at_min_rate),
            (MIN_RATE / 10, at_min_rate),
            (1.0, 101),
            (UNLIMITED_RATE, 10_000),
        )
        for rate, limit in cases:
            with self.subTest(rate=rate):
                self.setUp()
                self.announce(rate)
                count = self.count(many)
                self.assertLessEqual(count, limit)
                self.assertGreaterEqual(count, 0.9 * limit - 1)

    def test_a_target_without_a_limit_gets_all_requests(self) -> None:
        self.assertEqual(self.count([0.0] * 50), 50)

    def test_the_end_of_a_limit_ends_the_wait(self) -> None:
        self.announce(0.1)
        self.assertEqual(self.count([1.0]), 0)
        self.announce(None, 2.0)
        self.assertEqual(self.count([2.0] * 10), 10)

    def test_a_limit_does_not_apply_to_the_next_incarnation(self) -> None:
        self.announce(0.1)
        self.assertEqual(self.count([1.0] * 10, replace(DESK, start=7)), 10)

    def test_the_permit_is_for_the_first_target_that_has_a_token(self) -> None:
        self.announce(1.0)
        self.announce(1.0, incarnation=OTHER)
        request = PermitRequest(number=3, targets=(DESK, OTHER))
        targets = [self.issuer.issue("s", request, 1.0, 1.0).target for _ in range(3)]
        self.assertEqual(targets, ["d1", "d2", ""])
        denied = self.issuer.issue("s", request, 1.0, 1.0)
        self.assertEqual(denied.number, 3)
        self.assertGreater(denied.wait_seconds, 0.0)

    def test_refused_callers_retry_one_after_the_other(self) -> None:
        """If all retried at the same time, all but one would be refused again."""
        self.announce(2.0)
        request = PermitRequest(number=1, targets=(DESK,), is_last=True)
        retries = [self.issuer.issue("s", request, 1.0, 0.0).return_seconds for _ in range(4)]
        self.assertEqual([round(retry_after, 3) for retry_after in retries], [0.5, 1.0, 1.5, 2.0])
        self.assertEqual(self.issuer.issue("s", request, 1.0, 60.0).target, "d1")

    def test_as_many_requests_are_admitted_as_can_be_sent(self) -> None:
        self.announce(1.0)
        self.announce(1.0, incarnation=OTHER)
        request = PermitRequest(number=1, targets=(DESK, OTHER), is_beginning=True, is_last=True)
        times = [step / 10 for step in range(100)]
        admitted = [at for at in times if self.issuer.issue("s", request, 1.0, at).may_begin]
        self.assertAlmostEqual(len(admitted), 20, delta=2)
        denied = self.issuer.issue("s", request, 1.0, 9.9)
        self.assertGreater(denied.return_seconds, 0.0)

    def test_removed_targets_lose_their_buckets(self) -> None:
        self.announce(1.0)
        self.issuer.retain_only([])
        self.assertEqual(self.count([5.0]), 0)


class ConcurrentIssuersTest(unittest.TestCase):
    """The owner and two boxes that issue permits in its place, at arbitrary times."""

    @settings(max_examples=200, deadline=None)
    @given(
        rate=st.floats(0.05, 60.0),
        gaps=st.lists(st.floats(0.0, 1.0), min_size=1, max_size=120),
        boxes=st.lists(st.integers(0, 2), min_size=1, max_size=120),
    )
    def test_the_owner_and_two_others_stay_within_what_a_target_tolerates(
        self, rate: float, gaps: list[float], boxes: list[int]
    ) -> None:
        issuers = []
        for _ in range(3):
            table = RateLimitTable()
            table.record(RateLimitReport(named=DESK, rate=rate), 0.0)
            issuers.append(PermitIssuer(table))
        times: list[float] = []
        now = 0.0
        for gap, box in zip(gaps, boxes, strict=False):
            now += gap
            share = 1.0 if box == 0 else NON_OWNER_SHARE
            while issuers[box].try_acquire(DESK, share, now):
                times.append(now)
        for begin in times:
            count = sum(begin <= at < begin + 4.0 for at in times)
            self.assertLessEqual(count, 1.5 * rate * 4.0 + 5.0)


if __name__ == "__main__":
    unittest.main()
