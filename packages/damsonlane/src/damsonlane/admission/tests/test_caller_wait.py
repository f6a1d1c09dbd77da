"""Retries are recognised by their shorter deadlines."""

import random
import unittest

from damsonlane.admission import CallerWaitEstimator
from damsonlane.admission._caller_wait import MIN_SEEN, WINDOW_SIZE


class CallerWaitEstimatorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.estimator = CallerWaitEstimator()

    def estimate(self, *deadlines: float, route: str = "r") -> list[float]:
        return [
            round(self.estimator.estimate_seconds(route, deadline), 2) for deadline in deadlines
        ]

    def test_a_retry_has_waited_since_the_first_attempt(self) -> None:
        self.estimate(*[6.0] * MIN_SEEN)
        self.assertEqual(self.estimate(4.5, 6.0, 5.99), [1.49, 0.0, 0.0])

    def test_no_wait_is_estimated_from_few_requests(self) -> None:
        self.assertEqual(self.estimate(6.0, 4.0), [0.0, 0.0])

    def test_routes_are_independent(self) -> None:
        self.estimate(*[6.0] * MIN_SEEN)
        self.assertEqual(self.estimate(4.0, route="other"), [0.0])

    def test_no_wait_is_estimated_if_all_deadlines_differ(self) -> None:
        randomness = random.Random(1)
        self.assertEqual(set(self.estimate(*(randomness.uniform(1, 9) for _ in range(200)))), {0.0})

    def test_many_retries_are_still_distinguished_from_first_attempts(self) -> None:
        randomness = random.Random(2)
        self.estimate(*[6.0] * MIN_SEEN)
        for _ in range(WINDOW_SIZE):
            self.assertEqual(self.estimate(6.0), [0.0])
            retry = randomness.uniform(4.0, 5.0)
            self.assertAlmostEqual(self.estimate(retry)[0], 6.0 - retry, delta=0.02)

    def test_a_new_usual_deadline_is_learned(self) -> None:
        self.estimate(*[6.0] * WINDOW_SIZE)
        self.estimate(*[3.0] * WINDOW_SIZE)
        self.assertEqual(self.estimate(3.0, 2.0), [0.0, 0.99])

    def test_a_request_without_a_deadline_has_not_waited(self) -> None:
        self.assertEqual(self.estimator.estimate_seconds("r", None), 0.0)


if __name__ == "__main__":
    unittest.main()
