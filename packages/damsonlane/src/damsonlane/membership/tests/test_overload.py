"""Detection of owners that are short of processor time."""

import unittest

from damsonlane.membership import OverloadDetector
from damsonlane.membership._overload import OVERLOAD_SECONDS, RECOVERY_SECONDS


class OverloadDetectorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.detector = OverloadDetector()
        self.now = 0.0

    def run_at(self, load: float, seconds: float, *, is_owner: bool = True) -> int:
        """Report a load once a second; return how often the result changed."""
        changes = 0
        for _ in range(int(seconds)):
            self.now += 1.0
            changes += self.detector.update(self.now, load, is_owner=is_owner)
        return changes

    def test_an_owner_hands_over_before_it_is_full(self) -> None:
        """Guards against an owner that is passed over only once it answers nobody."""
        self.run_at(0.8, OVERLOAD_SECONDS + 1)
        self.assertTrue(self.detector.is_overloaded)

    def test_a_short_wave_changes_no_owner(self) -> None:
        """Guards against a handover in each wave, which disrupts more than the wave does."""
        for _ in range(20):
            self.run_at(1.0, OVERLOAD_SECONDS)
            self.run_at(0.3, 2)
        self.assertFalse(self.detector.is_overloaded)

    def test_a_box_that_owns_nothing_is_not_overloaded(self) -> None:
        """Guards against reports of all boxes in a wave, which would move nothing."""
        self.assertEqual(self.run_at(1.0, 100, is_owner=False), 0)

    def test_owners_do_not_alternate(self) -> None:
        """Guards against a box that takes back at once what made it overloaded."""
        self.run_at(0.9, 10)
        self.assertEqual(self.run_at(0.2, RECOVERY_SECONDS - 1, is_owner=False), 0)
        self.assertEqual(self.run_at(0.5, 1, is_owner=False), 0)
        self.assertEqual(self.run_at(0.2, RECOVERY_SECONDS - 1, is_owner=False), 0)
        self.assertEqual(self.run_at(0.2, 3, is_owner=False), 1)
        self.assertFalse(self.detector.is_overloaded)


if __name__ == "__main__":
    unittest.main()
