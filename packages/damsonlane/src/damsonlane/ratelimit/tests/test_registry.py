"""The replicated list of rate limits."""

import unittest

from damsonlane.backoff import TargetIncarnation
from damsonlane.cluster import ClusterState, decode_command, encode_command
from damsonlane.ratelimit import (
    RateLimitRegistry,
    RateLimitReport,
    RateLimitTable,
    RecordRateLimits,
    list_unreported,
)
from damsonlane.targets import RegisterTarget, RemoveTarget, TargetRecord

DESK = TargetIncarnation(target="d1", address="127.0.0.1:1", start=5)
PIPELINE = TargetIncarnation(target="encode/d1", address="127.0.0.1:1")
RECORD = TargetRecord(
    target="d1",
    service="desk",
    address="127.0.0.1:1",
    data_centre="dha",
    slots=4,
    standing="live",
    sequence=1,
    start=5,
)


def make_command(*reports: tuple[TargetIncarnation, float | None]) -> RecordRateLimits:
    return RecordRateLimits(
        words=tuple(RateLimitReport(named=incarnation, rate=rate) for incarnation, rate in reports)
    )


class RateLimitRegistryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = RateLimitRegistry()

    def test_only_changes_raise_the_revision(self) -> None:
        self.assertTrue(self.registry.apply(make_command((DESK, 1.0))).is_changed)
        self.assertFalse(self.registry.apply(make_command((DESK, 1.0))).is_changed)
        self.assertTrue(self.registry.apply(make_command((DESK, 2.0))).is_changed)
        self.assertTrue(self.registry.apply(make_command((DESK, None))).is_changed)
        self.assertFalse(self.registry.apply(make_command((DESK, None))).is_changed)
        self.assertEqual(self.registry.list_all().revision, 3)

    def test_limits_of_older_incarnations_are_removed(self) -> None:
        self.registry.apply(make_command((DESK, 1.0)))
        self.registry.forget("d1", 5)
        self.assertEqual(len(self.registry.list_all().words), 1)
        self.registry.forget("d1", 6)
        self.assertEqual(self.registry.list_all().words, ())

    def test_only_new_ended_and_much_changed_limits_are_reported(self) -> None:
        table = RateLimitTable()
        listed = self.registry.list_all()
        self.assertEqual(list_unreported(table, listed, 0.0), ())
        table.record(RateLimitReport(named=DESK, rate=1.0), 0.0)
        self.assertEqual([report.rate for report in list_unreported(table, listed, 0.0)], [1.0])
        self.registry.apply(make_command((DESK, 1.0), (PIPELINE, 3.0)))
        listed = self.registry.list_all()
        # Small changes are not reported, nor are limits that this table does not know.
        table.record(RateLimitReport(named=DESK, rate=1.4), 1.0)
        self.assertEqual(list_unreported(table, listed, 1.0), ())
        table.record(RateLimitReport(named=DESK, rate=0.5), 2.0)
        self.assertEqual([report.rate for report in list_unreported(table, listed, 2.0)], [0.5])
        table.record(RateLimitReport(named=DESK, rate=None), 3.0)
        self.assertEqual(
            list_unreported(table, listed, 3.0), (RateLimitReport(named=DESK, rate=None),)
        )


class ReplicatedLimitsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state = ClusterState()
        self.state.apply(RegisterTarget(record=RECORD))
        self.state.apply(decode_command(encode_command(make_command((DESK, 1.0), (PIPELINE, 2.0)))))

    def rates(self) -> dict[str, float | None]:
        restored = ClusterState.from_text(self.state.to_text())
        return {
            report.named.target: report.rate for report in restored.rate_limits.list_all().words
        }

    def test_limits_are_restored_from_a_snapshot(self) -> None:
        self.assertEqual(self.rates(), {"d1": 1.0, "encode/d1": 2.0})

    def test_a_new_incarnation_removes_the_limit(self) -> None:
        later = RECORD.__class__(**{**RECORD.__dict__, "sequence": 1, "start": 9})
        self.state.apply(RegisterTarget(record=later))
        self.assertEqual(self.rates(), {"encode/d1": 2.0})

    def test_removing_a_target_removes_its_limit(self) -> None:
        self.state.apply(RemoveTarget(target="d1", start=5))
        self.assertEqual(self.rates(), {"encode/d1": 2.0})

    def test_heartbeats_of_the_same_incarnation_keep_the_limit(self) -> None:
        again = RECORD.__class__(**{**RECORD.__dict__, "sequence": 2})
        self.state.apply(RegisterTarget(record=again))
        self.assertEqual(self.rates(), {"d1": 1.0, "encode/d1": 2.0})


if __name__ == "__main__":
    unittest.main()
