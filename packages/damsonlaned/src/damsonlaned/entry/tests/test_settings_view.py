"""Settings in force at an entry: their version only rises, and only if they are valid."""

import unittest

from damsonlane.cluster import AcceptedChange
from damsonlane.errors import UnsupportedSettingsError
from damsonlane.settings import Edit
from damsonlaned.entry._settings_view import SettingsView


def _change(version: int, value: object = 2) -> AcceptedChange:
    edit = Edit(path="/policy/weight", value=value)  # type: ignore[arg-type]
    return AcceptedChange(version=version, change=f"c{version}", operator="o", at=0, edits=(edit,))


class SettingsViewTest(unittest.TestCase):
    def setUp(self) -> None:
        self.view = SettingsView()
        self.view.replace(5, {"policy": {"weight": 1}})

    def test_an_older_tree_changes_nothing(self) -> None:
        self.assertFalse(self.view.replace(4, {}))
        self.assertFalse(self.view.replace(5, {}))
        self.assertEqual(self.view.current.version, 5)

    def test_newer_changes_are_merged_and_known_ones_skipped(self) -> None:
        self.assertTrue(self.view.merge((_change(5, 9), _change(6, 3))))
        current = self.view.current
        self.assertEqual((current.version, current.document), (6, {"policy": {"weight": 3}}))

    def test_changes_after_a_gap_are_ignored(self) -> None:
        self.assertFalse(self.view.merge((_change(7),)))
        self.assertEqual(self.view.current.version, 5)

    def test_invalid_settings_leave_the_old_ones_in_force(self) -> None:
        with self.assertRaises(UnsupportedSettingsError):
            self.view.merge((_change(6, "heavy"),))
        self.assertEqual(self.view.current.version, 5)


if __name__ == "__main__":
    unittest.main()
