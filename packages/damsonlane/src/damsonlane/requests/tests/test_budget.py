"""The retry budget over a window."""

import unittest

from damsonlane.requests import WindowedRetryBudget


class WindowedRetryBudgetTest(unittest.TestCase):
    def test_retries_stay_within_share_and_slack_in_every_window(self) -> None:
        budget = WindowedRetryBudget(0.2, 10.0)
        for second in range(10):
            budget.count_first(float(second))
        spent = [budget.try_spend(9.5, 1.0) for _ in range(5)]
        self.assertEqual(spent, [True, True, True, False, False])

    def test_attempts_outside_the_window_do_not_count(self) -> None:
        budget = WindowedRetryBudget(0.5, 10.0)
        budget.count_first(0.0)
        budget.count_first(0.0)
        self.assertTrue(budget.try_spend(1.0, 0.0))
        self.assertFalse(budget.try_spend(9.9, 0.0))
        self.assertFalse(budget.try_spend(10.5, 0.0))
        self.assertTrue(budget.try_spend(11.1, 1.0))

    def test_without_first_attempts_only_the_slack_is_available(self) -> None:
        budget = WindowedRetryBudget(0.2, 10.0)
        self.assertFalse(budget.try_spend(0.0, 0.9))
        self.assertTrue(budget.try_spend(0.0, 1.0))


if __name__ == "__main__":
    unittest.main()
