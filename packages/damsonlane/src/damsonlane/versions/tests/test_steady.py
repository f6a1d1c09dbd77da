"""Tests of the time for which a single version has served."""

import unittest

from damsonlane.targets import TargetRecord
from damsonlane.versions import SteadyVersion, SteadyVersions, VersionHistory


def make_record(target: str, version: str, service: str = "model") -> TargetRecord:
    return TargetRecord(
        target=target,
        service=service,
        address=f"10.0.0.{target[1:]}:80",
        data_centre="a",
        slots=1,
        standing="live",
        sequence=1,
        version=version,
    )


class VersionHistoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.history = VersionHistory()

    def list_steady(self, now: float) -> dict[str, tuple[str, float]]:
        steady = self.history.list_steady(now)
        return {item.service: (item.version, item.seconds) for item in steady}

    def test_a_version_is_steady_since_its_first_target(self) -> None:
        self.history.observe([make_record("t1", "v1")], 10.0)
        self.history.observe([make_record("t1", "v1"), make_record("t2", "v1")], 15.0)
        self.assertEqual(self.list_steady(20.0), {"model": ("v1", 10.0)})

    def test_two_versions_are_not_steady(self) -> None:
        self.history.observe([make_record("t1", "v1"), make_record("t2", "v2")], 10.0)
        self.assertEqual(self.list_steady(20.0), {})

    def test_a_version_that_remains_is_steady_since_the_other_one_left(self) -> None:
        self.history.observe([make_record("t1", "v1")], 1.0)
        self.history.observe([make_record("t1", "v1"), make_record("t2", "v2")], 10.0)
        self.history.observe([make_record("t1", "v1")], 12.0)
        self.assertEqual(self.list_steady(20.0), {"model": ("v1", 8.0)})

    def test_a_version_that_replaced_another_one_is_steady_since_then(self) -> None:
        self.history.observe([make_record("t1", "v1")], 1.0)
        self.history.observe([], 5.0)
        self.history.observe([make_record("t2", "v2")], 12.0)
        self.assertEqual(self.list_steady(20.0), {"model": ("v2", 8.0)})

    def test_targets_that_report_no_version_are_a_version_of_their_own(self) -> None:
        self.history.observe([make_record("t1", ""), make_record("t2", "v1")], 1.0)
        self.assertEqual(self.list_steady(2.0), {})
        self.history.observe([make_record("t1", "")], 3.0)
        self.assertEqual(self.list_steady(4.0), {"model": ("", 1.0)})

    def test_services_are_tracked_apart(self) -> None:
        self.history.observe([make_record("t1", "v1"), make_record("t2", "v2", "desk")], 1.0)
        self.assertEqual(self.list_steady(2.0), {"desk": ("v2", 1.0), "model": ("v1", 1.0)})

    def test_nothing_is_known_of_the_time_before_a_restart(self) -> None:
        self.history.observe([make_record("t1", "v1")], 1.0)
        self.history.restart()
        self.history.observe([make_record("t1", "v1")], 5.0)
        self.assertEqual(self.list_steady(6.0), {"model": ("v1", 1.0)})


class SteadyVersionsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.steady = SteadyVersions(max_age=0.5)
        report = SteadyVersion(service="model", version="v1", seconds=30.0)
        self.steady.replace([report], 100.0)
        self.steady.confirm(100.0)

    def test_a_version_that_served_alone_is_found(self) -> None:
        self.assertEqual(self.steady.find_sole("model", 30.0, 100.2), "v1")

    def test_a_time_that_is_not_covered_is_not_known(self) -> None:
        self.assertIsNone(self.steady.find_sole("model", 31.0, 100.2))

    def test_another_service_is_not_known(self) -> None:
        self.assertIsNone(self.steady.find_sole("desk", 1.0, 100.2))

    def test_a_report_that_is_not_confirmed_any_more_says_nothing(self) -> None:
        self.assertIsNone(self.steady.find_sole("model", 30.0, 100.6))
        self.steady.confirm(100.4)
        self.assertEqual(self.steady.find_sole("model", 30.0, 100.6), "v1")

    def test_a_report_without_the_service_ends_the_earlier_one(self) -> None:
        self.steady.replace([], 100.1)
        self.assertIsNone(self.steady.find_sole("model", 30.0, 100.2))


if __name__ == "__main__":
    unittest.main()
