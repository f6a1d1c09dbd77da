"""Tests of the time for which a single version has served."""

import unittest

from damsonlane.targets import ServiceVersion
from damsonlane.versions import SteadyVersion, SteadyVersions, VersionHistory


def make_version(version: str | None, revision: int, service: str = "model") -> ServiceVersion:
    return ServiceVersion(service=service, version=version, revision=revision)


class VersionHistoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.history = VersionHistory()

    def list_steady(self, now: float) -> dict[str, tuple[str, float]]:
        steady = self.history.list_steady(now)
        return {item.service: (item.version, item.seconds) for item in steady}

    def test_a_version_that_no_other_one_preceded_has_always_been_steady(self) -> None:
        self.history.observe([make_version("v1", 0)], 10.0)
        self.assertEqual(self.list_steady(10.0), {"model": ("v1", 1e9)})

    def test_a_later_version_is_steady_since_it_served_alone(self) -> None:
        self.history.observe([make_version(None, 4)], 10.0)
        self.assertEqual(self.list_steady(20.0), {})
        self.history.observe([make_version("v2", 7)], 22.0)
        self.history.observe([make_version("v2", 7)], 25.0)
        self.assertEqual(self.list_steady(30.0), {"model": ("v2", 8.0)})

    def test_a_version_that_returns_is_not_steady_since_its_first_time(self) -> None:
        self.history.observe([make_version("v1", 3)], 1.0)
        self.history.observe([make_version("v1", 9)], 12.0)
        self.assertEqual(self.list_steady(20.0), {"model": ("v1", 8.0)})

    def test_nothing_is_known_of_the_time_before_a_restart(self) -> None:
        versions = [make_version("v1", 3), make_version("v1", 0, "desk")]
        self.history.observe(versions, 1.0)
        self.history.restart()
        self.history.observe(versions, 5.0)
        self.assertEqual(self.list_steady(6.0), {"desk": ("v1", 1e9), "model": ("v1", 1.0)})


class SteadyVersionsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.steady = SteadyVersions(max_age=0.5)
        report = SteadyVersion(service="model", version="v1", seconds=30.0, revision=4)
        self.steady.replace([report], 100.0)
        self.steady.confirm(100.0)

    def test_a_version_that_served_alone_is_found(self) -> None:
        self.assertEqual(self.steady.find_sole("model", 30.0, 100.2), make_version("v1", 4))
        self.assertTrue(self.steady.is_expected_sole("model", 30.0, 100.2))

    def test_a_time_that_is_not_covered_is_not_known(self) -> None:
        self.assertIsNone(self.steady.find_sole("model", 31.0, 100.2))

    def test_another_service_is_not_known(self) -> None:
        self.assertIsNone(self.steady.find_sole("desk", 1.0, 100.2))

    def test_a_report_that_is_not_confirmed_any_more_is_not_expected_to_hold(self) -> None:
        self.assertFalse(self.steady.is_expected_sole("model", 30.0, 100.6))
        self.steady.confirm(100.4)
        self.assertTrue(self.steady.is_expected_sole("model", 30.0, 100.6))

    def test_a_report_without_the_service_ends_the_earlier_one(self) -> None:
        self.steady.replace([], 100.1)
        self.assertIsNone(self.steady.find_sole("model", 30.0, 100.2))


if __name__ == "__main__":
    unittest.main()
