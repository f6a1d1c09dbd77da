"""Forecasts of first events."""

import random
import unittest

from damsonlane.admission import FirstEventForecast
from damsonlane.admission._first_event import (
    BASE_SECONDS,
    MAX_OBJECTIVE_SHARE,
    PACE_RANGE,
    QUANTILE,
)

#: A latency objective that limits no forecast, in seconds.
LONG = 60.0


class FirstEventForecastTest(unittest.TestCase):
    def test_longer_prompts_take_longer(self) -> None:
        forecast = FirstEventForecast()
        self.assertEqual(forecast.seconds(0, LONG), BASE_SECONDS)
        self.assertLess(forecast.seconds(700, LONG), forecast.seconds(9_000, LONG))

    def test_the_forecast_follows_the_quantile_of_the_measurements(self) -> None:
        randomness = random.Random(1)
        for pace in (20e-6, 200e-6):
            with self.subTest(pace=pace):
                forecast = FirstEventForecast()
                samples = [BASE_SECONDS + 1_000 * pace * randomness.random() for _ in range(2_000)]
                for sample in samples:
                    forecast.record(1_000, sample)
                within = sum(sample <= forecast.seconds(1_000, LONG) for sample in samples)
                self.assertAlmostEqual(within / len(samples), QUANTILE, delta=0.12)

    def test_the_pace_stays_within_bounds(self) -> None:
        forecast = FirstEventForecast()
        for seconds, bound in ((99.0, PACE_RANGE[1]), (0.0, PACE_RANGE[0])):
            for _ in range(1_000):
                forecast.record(1_000, seconds)
            self.assertAlmostEqual(forecast.seconds(1_000, LONG), BASE_SECONDS + 1_000 * bound)

    def test_the_forecast_is_limited_to_a_share_of_the_objective(self) -> None:
        forecast = FirstEventForecast()
        self.assertEqual(forecast.seconds(9_000_000, 2.0), MAX_OBJECTIVE_SHARE * 2.0)
        self.assertEqual(forecast.seconds(0, 0.1), MAX_OBJECTIVE_SHARE * 0.1)

    def test_short_prompts_are_ignored(self) -> None:
        forecast = FirstEventForecast()
        before = forecast.seconds(1_000, LONG)
        forecast.record(10, 5.0)
        self.assertEqual(forecast.seconds(1_000, LONG), before)


if __name__ == "__main__":
    unittest.main()
