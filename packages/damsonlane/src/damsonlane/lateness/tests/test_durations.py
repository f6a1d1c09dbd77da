"""Forecasts of the durations of answers."""

import random
import unittest

from damsonlane.lateness import AnswerDurations
from damsonlane.lateness._durations import HALF_LIFE_SECONDS, MAX_ROUTES, MIN_SAMPLES, QUANTILE


def learn(
    durations: AnswerDurations, seconds: float, *, tokens: int = 280, now: float = 0.0
) -> None:
    for _ in range(MIN_SAMPLES):
        durations.record("chat", tokens, seconds, now)


class AnswerDurationsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.durations = AnswerDurations()

    def test_a_new_route_has_no_forecast(self) -> None:
        """A guessed duration would refuse requests of a route that nothing is known of."""
        self.assertIsNone(self.durations.find_seconds("chat", 280, 0.0))
        for _ in range(MIN_SAMPLES - 1):
            self.durations.record("chat", 280, 5.0, 0.0)
        self.assertIsNone(self.durations.find_seconds("chat", 280, 0.0))
        self.durations.record("chat", 280, 5.0, 0.0)
        self.assertAlmostEqual(self.durations.find_seconds("chat", 280, 0.0) or 0.0, 5.0)
        self.assertIsNone(self.durations.find_seconds("draft", 280, 0.0))

    def test_more_tokens_take_longer(self) -> None:
        learn(self.durations, 5.0)
        self.assertAlmostEqual(self.durations.find_seconds("chat", 420, 0.0) or 0.0, 7.5)
        self.assertAlmostEqual(
            self.durations.find_seconds("chat", 4_000, 0.0) or 0.0, 5 * 256 / 280
        )
        self.assertIsNone(self.durations.find_seconds("chat", 100, 0.0))

    def test_any_number_of_tokens_has_a_forecast(self) -> None:
        """Guards against requests that fail because they announce more than a float can hold."""
        learn(self.durations, 5.0)
        self.assertIsNotNone(self.durations.find_seconds("chat", 10**400, 0.0))
        learn(self.durations, 5.0, tokens=10**400)
        self.assertAlmostEqual(self.durations.find_seconds("chat", 10**400, 0.0) or 0.0, 5.0)

    def test_the_forecast_follows_a_low_quantile(self) -> None:
        randomness = random.Random(5)
        for median in (1.0, 4.0):
            samples = [median * randomness.lognormvariate(0.0, 0.3) for _ in range(2_000)]
            for sample in samples:
                self.durations.record("chat", 280, sample, 0.0)
            forecast = self.durations.find_seconds("chat", 280, 0.0) or 0.0
            shorter = sum(sample < forecast for sample in samples) / len(samples)
            self.assertAlmostEqual(shorter, QUANTILE, delta=0.1)

    def test_a_forecast_that_refuses_all_requests_ends(self) -> None:
        """Refused requests add no durations, so the route would be refused for ever."""
        learn(self.durations, 8.0)
        later = self.durations.find_seconds("chat", 280, 2 * HALF_LIFE_SECONDS)
        self.assertAlmostEqual(later or 0.0, 2.0)

    def test_implausible_durations_are_ignored(self) -> None:
        learn(self.durations, 5.0)
        for seconds in (-1.0, float("nan"), float("inf")):
            self.durations.record("chat", 280, seconds, 0.0)
        self.assertAlmostEqual(self.durations.find_seconds("chat", 280, 0.0) or 0.0, 5.0)

    def test_the_number_of_routes_is_bounded(self) -> None:
        learn(self.durations, 5.0)
        for number in range(MAX_ROUTES):
            self.durations.record(f"r{number}", 1, 1.0, 0.0)
        self.assertIsNone(self.durations.find_seconds("chat", 280, 0.0))


class ReplayTest(unittest.TestCase):
    """Streams with 40 events whose engine is at times slower, some close to their deadlines."""

    def test_work_that_overruns_its_deadline_is_refused_but_little_else(self) -> None:
        randomness = random.Random(3)
        durations = AnswerDurations()
        wrong = saved = overruns = ended = 0
        for number in range(4_000):
            now = number / 24
            slowness = 2.5 if number % 360 < 60 else 1.0
            seconds = 2.0 * slowness * randomness.lognormvariate(0.0, 0.1)
            remaining = randomness.uniform(0.0, 8.0)
            forecast = durations.find_seconds("chat", 280, now)
            is_refused = forecast is not None and forecast > remaining
            if seconds > remaining:
                overruns += 1
                saved += is_refused
                continue
            ended += 1
            wrong += is_refused
            if not is_refused:
                durations.record("chat", 280, seconds, now)
        self.assertGreater(saved, 0.6 * overruns)
        self.assertLess(wrong, 0.02 * ended)


if __name__ == "__main__":
    unittest.main()
