"""The list of versions that operators see."""

import unittest
from dataclasses import replace

from damsonlane.targets import TargetRecord
from damsonlane_cli._targets import count_versions

RECORD = TargetRecord(
    target="t1",
    service="model",
    address="10.0.0.1:80",
    data_centre="dha",
    slots=4,
    standing="live",
    sequence=1,
    version="v1",
)


class VersionsTest(unittest.TestCase):
    def test_targets_are_counted_by_service_version_and_standing(self) -> None:
        rows = count_versions(
            [
                RECORD,
                replace(RECORD, target="t2", standing="leaving"),
                replace(RECORD, target="t3", version="v2"),
                replace(RECORD, target="t4", service="desk", version=""),
            ]
        )
        self.assertEqual(
            [tuple(row.values()) for row in rows],
            [("desk", "not reported", 1, 0, 0), ("model", "v1", 1, 1, 0), ("model", "v2", 1, 0, 0)],
        )


if __name__ == "__main__":
    unittest.main()
