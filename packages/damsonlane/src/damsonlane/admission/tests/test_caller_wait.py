"""Callers that come back are known by their shorter deadlines."""

import random
import unittest

from damsonlane.admission import CallerAges
from damsonlane.admission._caller_wait import LEAST_SEEN, REMEMBERED


class CallerAgesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ages = CallerAges()

    def see(self, *deadlines: float, route: str = "r") -> list[float]:
        return [round(self.ages.find_waited(route, deadline), 2) for deadline in deadlines]

    def test_who_comes_back_has_waited_since_the_first_try(self) -> None:
        self.see(*[6.0] * LEAST_SEEN)
        self.assertEqual(self.see(4.5, 6.0, 5.99), [1.49, 0.0, 0.0])

    def test_nothing_is_known_at_first(self) -> None:
        self.assertEqual(self.see(6.0, 4.0), [0.0, 0.0])

    def test_routes_are_known_one_by_one(self) -> None:
        self.see(*[6.0] * LEAST_SEEN)
        self.assertEqual(self.see(4.0, route="other"), [0.0])

    def test_callers_that_all_differ_tell_nothing(self) -> None:
        drawn = random.Random(1)
        self.assertEqual(set(self.see(*(drawn.uniform(1, 9) for _ in range(200)))), {0.0})

    def test_a_storm_of_returns_is_still_told_from_first_tries(self) -> None:
        drawn = random.Random(2)
        self.see(*[6.0] * LEAST_SEEN)
        for _ in range(REMEMBERED):
            self.assertEqual(self.see(6.0), [0.0])
            back = drawn.uniform(4.0, 5.0)
            self.assertAlmostEqual(self.see(back)[0], 6.0 - back, delta=0.02)

    def test_a_new_usual_deadline_is_learned(self) -> None:
        self.see(*[6.0] * REMEMBERED)
        self.see(*[3.0] * REMEMBERED)
        self.assertEqual(self.see(3.0, 2.0), [0.0, 0.99])

    def test_a_request_without_a_deadline_has_not_waited(self) -> None:
        self.assertEqual(self.ages.find_waited("r", None), 0.0)


if __name__ == "__main__":
    unittest.main()
