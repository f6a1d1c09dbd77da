"""Learned speed and reported slowness of single targets."""

import math
import random
import unittest

from damsonlane.speed import (
    MAX_REPORT_AGE_SECONDS,
    MIN_SAMPLES,
    ReportedSlowness,
    TargetSpeed,
    WorkBaselines,
    is_plausible,
)

IMPLAUSIBLE = (0.0, -1.0, 1e7, 1e9, math.nan, math.inf, -math.inf)


class ReportedSlownessTest(unittest.TestCase):
    def test_implausible_reports_are_ignored(self) -> None:
        # Guards against a target that gets nothing, or everything, by one broken report.
        reported = ReportedSlowness()
        reported.record(2.5, 1.0)
        for slowness in IMPLAUSIBLE:
            with self.subTest(slowness):
                self.assertFalse(is_plausible(slowness))
                reported.record(slowness, 1.1)
                self.assertEqual(reported.find(1.1), 2.5)

    def test_a_stale_report_no_longer_counts(self) -> None:
        # Guards against a target that stays slow in our view after its last report.
        reported = ReportedSlowness()
        reported.record(2.5, 1.0)
        self.assertEqual(reported.find(1.0 + 0.99 * MAX_REPORT_AGE_SECONDS), 2.5)
        self.assertEqual(reported.find(1.0 + 1.01 * MAX_REPORT_AGE_SECONDS), 1.25)

    def test_a_constant_slowness_counts_without_a_recent_report(self) -> None:
        # Guards against a target that always reports the same slowness, which is removed from
        # its learned speed, being taken for faster than it is between its reports.
        speed = TargetSpeed()
        for number in range(100):
            speed.record_slowness(2.5, float(number))
            speed.record_duration(2.5, 2.5)
        self.assertAlmostEqual(speed.find_factor(1_000.0), 2.5, delta=0.2)

    def test_reordered_reports_are_ignored(self) -> None:
        # Guards against an older report that arrives last and replaces a newer one.
        reported = ReportedSlowness()
        reported.record(1.0, 2.0)
        reported.record(2.5, 1.9)
        self.assertEqual(reported.find(2.0), 1.0)


class TargetSpeedTest(unittest.TestCase):
    def learn(self, factor: float, samples: int, seed: int = 1) -> TargetSpeed:
        """Return the speed learned from noisy durations with reported slow periods."""
        randomness = random.Random(seed)
        speed = TargetSpeed()
        for _ in range(samples):
            slowness = 2.5 if randomness.random() < 1 / 6 else 1.0
            noise = randomness.lognormvariate(0.0, 0.3)
            speed.record_duration(factor * slowness * noise, slowness)
        return speed

    def test_the_inherent_speed_is_learned_without_the_reported_slowness(self) -> None:
        # Guards against speeds that depend on how often a target was slow when it was measured.
        for factor in (1 / 1.7, 1.0, 1 / 0.7):
            with self.subTest(factor):
                learned = self.learn(factor, 100).time_factor
                self.assertAlmostEqual(learned / factor, 1.0, delta=0.15)

    def test_the_speed_is_unknown_at_first(self) -> None:
        # Guards against a new incarnation judged by one duration.
        self.assertEqual(self.learn(3.0, MIN_SAMPLES - 1).time_factor, 1.0)
        self.assertGreater(self.learn(3.0, MIN_SAMPLES).time_factor, 1.5)

    def test_the_speed_does_not_decay(self) -> None:
        # Guards against a slow target that gets work again and again because it was unused.
        speed = self.learn(1 / 0.7, 100)
        self.assertAlmostEqual(speed.find_factor(1e6), 1 / 0.7, delta=0.2)

    def test_a_recent_slowness_multiplies_the_learned_factor(self) -> None:
        speed = self.learn(1 / 0.7, 100)
        speed.record_slowness(2.5, 10.0)
        self.assertEqual(speed.find_factor(10.1), speed.time_factor * 2.5)

    def test_implausible_samples_are_ignored(self) -> None:
        # Guards against an arithmetic error, or a lost estimate, by one broken sample.
        speed = self.learn(1 / 0.7, 100)
        known = speed.time_factor
        for ratio in (0.0, -1.0, math.nan, math.inf):
            speed.record_duration(ratio, 1.0)
        self.assertEqual(speed.time_factor, known)
        for slowness in IMPLAUSIBLE:
            with self.subTest(slowness):
                speed.record_duration(known, slowness)
                self.assertAlmostEqual(speed.time_factor / known, 1.0, delta=0.5)
                self.assertFalse(speed.reports_slowness)


class WorkBaselinesTest(unittest.TestCase):
    def test_classes_of_work_are_compared_with_themselves(self) -> None:
        # Guards against a target that seems slow because it got the longer kind of work.
        baselines = WorkBaselines()
        ratios = [
            baselines.record(work, seconds, 1.0)
            for _ in range(20)
            for work, seconds in (("short", 0.1), ("long", 2.0))
        ]
        self.assertEqual(ratios[:2], [None, None])
        for ratio in ratios[2:]:
            assert ratio is not None
            self.assertAlmostEqual(ratio, 1.0, delta=0.1)

    def test_the_baseline_does_not_depend_on_which_target_gets_the_work(self) -> None:
        # Guards against a baseline that follows the fastest target as it gets most of the work.
        baselines = WorkBaselines()
        baselines.record("w", 1.0, 1.0)
        for _ in range(100):
            baselines.record("w", 0.5, 0.5)
        ratio = baselines.record("w", 1.0, 1.0)
        assert ratio is not None
        self.assertAlmostEqual(ratio, 1.0, delta=0.1)

    def test_implausible_durations_are_ignored(self) -> None:
        baselines = WorkBaselines()
        for seconds in (0.0, -1.0, math.nan, math.inf):
            self.assertIsNone(baselines.record("w", seconds, 1.0))
        self.assertIsNone(baselines.record("w", 1.0, 1.0))

    def test_the_number_of_classes_is_bounded(self) -> None:
        # Guards against memory that grows with routes that no longer exist.
        baselines = WorkBaselines()
        for number in range(1_000):
            baselines.record(str(number), 1.0, 1.0)
        self.assertIsNone(baselines.record("0", 1.0, 1.0))
        self.assertIsNotNone(baselines.record("999", 1.0, 1.0))


if __name__ == "__main__":
    unittest.main()
