"""Log lines about changes of targets."""

import unittest
from dataclasses import replace
from typing import Literal

from damsonlane.targets import TargetChanges, TargetRecord
from damsonlaned.dialects import NativeDialect
from damsonlaned.gateway._view import MAX_LOGGED_TARGETS, FleetView

_RECORD = TargetRecord(
    target="t0",
    service="desk",
    address="127.0.0.1:1",
    data_centre="dha",
    slots=1,
    standing="live",
    sequence=1,
)


def _make(count: int, standing: Literal["live", "leaving"] = "live") -> tuple[TargetRecord, ...]:
    return tuple(
        replace(_RECORD, target=f"t{number}", standing=standing) for number in range(count)
    )


class TargetLogTest(unittest.TestCase):
    def log(self, view: FleetView, revision: int, records: tuple[TargetRecord, ...]) -> list[str]:
        changes = TargetChanges(revision=revision, records=records, gone=(), is_whole=True)
        with self.assertLogs("damsonlaned.gateway._view", "INFO") as logs:
            view.put_targets(replace(changes, gone=("nobody",)))
        return [record.getMessage() for record in logs.records][:-1]

    def test_short_lists_are_logged_by_target_and_long_ones_in_one_line(self) -> None:
        cases = (
            ("a few", _make(3), ["target updated"] * 3),
            ("many", _make(MAX_LOGGED_TARGETS + 1), ["targets updated"]),
        )
        for name, records, expected in cases:
            with self.subTest(name):
                self.assertEqual(self.log(FleetView(NativeDialect()), 1, records), expected)

    def test_only_changes_are_logged(self) -> None:
        view = FleetView(NativeDialect())
        self.log(view, 1, _make(3))
        self.assertEqual(self.log(view, 2, _make(3)), [])
        self.assertEqual(self.log(view, 3, _make(4)), ["target updated"])
        self.assertEqual(self.log(view, 4, _make(4, "leaving")), ["target updated"] * 4)


if __name__ == "__main__":
    unittest.main()
