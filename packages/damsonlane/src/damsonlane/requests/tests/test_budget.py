"""The budget of repeats."""

import unittest

from damsonlane.requests import WindowBudget


class WindowBudgetTest(unittest.TestCase):
    def test_repeats_stay_within_share_and_slack_in_every_window(self) -> None:
        budget = WindowBudget(0.2, 10.0)
        for second in range(10):
            budget.count_first(float(second))
        spent = [budget.try_spend(9.5, 1.0) for _ in range(5)]
        self.assertEqual(spent, [True, True, True, False, False])

    def test_old_sends_and_repeats_are_forgotten(self) -> None:
        budget = WindowBudget(0.5, 10.0)
        budget.count_first(0.0)
        budget.count_first(0.0)
        self.assertTrue(budget.try_spend(1.0, 0.0))
        self.assertFalse(budget.try_spend(9.9, 0.0))
        self.assertFalse(budget.try_spend(10.5, 0.0))
        self.assertTrue(budget.try_spend(11.1, 1.0))

    def test_without_first_sends_only_the_slack_is_there(self) -> None:
        budget = WindowBudget(0.2, 10.0)
        self.assertFalse(budget.try_spend(0.0, 0.9))
        self.assertTrue(budget.try_spend(0.0, 1.0))


if __name__ == "__main__":
    unittest.main()
