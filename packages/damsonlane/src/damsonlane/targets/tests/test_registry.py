"""The registry of targets."""

import unittest
from dataclasses import replace

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from damsonlane.codec import decode_bytes, encode_bytes
from damsonlane.targets import (
    MarkTargetsSilent,
    RegisterTarget,
    RemoveTarget,
    TargetRecord,
    TargetRegistry,
    TargetsSnapshot,
)
from damsonlane.targets._registry import MAX_REMOVED

RECORD = TargetRecord(
    target="t1",
    service="desk",
    address="10.0.0.1:80",
    data_centre="gulberg",
    slots=4,
    standing="live",
    sequence=1,
)


class TargetRegistryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = TargetRegistry()

    def register(self, **changes: object) -> bool:
        record = replace(RECORD, **changes)  # type: ignore[arg-type]
        return self.registry.apply(RegisterTarget(record=record)).is_changed

    def standing(self) -> str:
        record = self.registry.find("t1")
        return record.standing if record else "unknown"

    def test_a_delayed_heartbeat_does_not_revive_a_draining_target(self) -> None:
        self.register()
        self.register(standing="leaving", sequence=5)
        self.assertFalse(self.register(sequence=4))
        self.assertEqual(self.standing(), "leaving")

    def test_draining_is_irrevocable(self) -> None:
        self.register(standing="leaving")
        self.register(sequence=9)
        self.assertEqual(self.standing(), "leaving")

    def test_a_delayed_heartbeat_does_not_restore_a_removed_target(self) -> None:
        self.register()
        self.registry.apply(RemoveTarget(target="t1"))
        self.assertFalse(self.register(sequence=9))
        self.assertEqual(self.standing(), "unknown")

    def test_a_removal_before_any_heartbeat_stays_in_force(self) -> None:
        self.registry.apply(RemoveTarget(target="t1"))
        self.assertFalse(self.register())

    def test_another_target_at_the_address_replaces_the_first(self) -> None:
        self.register()
        self.register(target="t2", service="ledger")
        self.assertEqual(self.standing(), "unknown")
        self.assertEqual([record.target for record in self.registry.records()], ["t2"])

    def test_delayed_heartbeats_do_not_restore_a_replaced_target(self) -> None:
        self.register()
        self.register(target="t2", service="ledger")
        for sequence in (1, 2):
            self.assertFalse(self.register(sequence=sequence))
        self.assertEqual([record.target for record in self.registry.records()], ["t2"])

    def test_a_target_replaced_by_a_delayed_heartbeat_of_a_dead_one_is_soon_restored(self) -> None:
        """A network partition delayed all heartbeats of the dead target."""
        self.register(sequence=7)
        self.register(target="dead", sequence=1)
        self.assertEqual(self.standing(), "unknown")
        self.assertFalse(self.register(sequence=8))
        self.assertTrue(self.register(sequence=9))
        self.assertEqual([record.target for record in self.registry.records()], ["t1"])
        self.assertFalse(self.register(target="dead", sequence=2))
        self.assertEqual(self.standing(), "live")

    def test_a_replaced_target_that_is_removed_is_not_restored(self) -> None:
        self.register(sequence=7)
        self.register(target="t2")
        self.registry.apply(RemoveTarget(target="t1"))
        for sequence in (8, 9, 10):
            self.assertFalse(self.register(sequence=sequence))

    def test_a_restored_target_is_in_the_changes(self) -> None:
        self.register(sequence=7)
        self.register(target="dead")
        revision = self.registry.revision
        for sequence in (8, 9):
            self.register(sequence=sequence)
        changes = self.registry.changes_after(revision)
        self.assertEqual([record.target for record in changes.records], ["t1"])
        self.assertEqual(changes.gone, ("dead",))

    def test_heartbeats_of_a_replaced_target_are_counted_across_a_snapshot(self) -> None:
        self.register(sequence=7)
        self.register(target="dead")
        self.register(sequence=8)
        text = encode_bytes(self.registry.snapshot(), TargetsSnapshot)
        self.registry = TargetRegistry(decode_bytes(text, TargetsSnapshot))
        self.assertTrue(self.register(sequence=9))

    def list_versions(self) -> dict[str, tuple[str | None, int]]:
        return {
            item.service: (item.version, item.revision) for item in self.registry.list_versions()
        }

    def test_the_first_version_of_a_service_has_always_been_its_only_one(self) -> None:
        self.register(version="v1")
        self.register(target="t2", address="10.0.0.2:80", version="v1")
        self.assertEqual(self.list_versions(), {"desk": ("v1", 0)})

    def test_a_second_version_ends_the_first_one(self) -> None:
        self.register(version="v1")
        self.register(target="t2", address="10.0.0.2:80", version="v2")
        self.assertEqual(self.list_versions(), {"desk": (None, 2)})
        self.registry.apply(RemoveTarget(target="t1"))
        self.assertEqual(self.list_versions(), {"desk": ("v2", 3)})

    def test_a_version_that_follows_the_last_target_of_another_one_is_a_new_one(self) -> None:
        self.register(version="v1")
        self.registry.apply(RemoveTarget(target="t1"))
        self.assertEqual(self.list_versions(), {"desk": ("v1", 0)})
        self.register(target="t2", version="v2")
        self.assertEqual(self.list_versions(), {"desk": ("v2", 3)})

    def test_a_target_that_restarts_with_another_version_ends_the_first_one(self) -> None:
        self.register(version="v1", start=1)
        self.register(version="v2", start=2)
        self.assertEqual(self.list_versions(), {"desk": ("v2", 2)})

    def test_versions_are_kept_across_a_snapshot(self) -> None:
        self.register(version="v1")
        self.register(target="t2", address="10.0.0.2:80", version="v2")
        text = encode_bytes(self.registry.snapshot(), TargetsSnapshot)
        self.registry = TargetRegistry(decode_bytes(text, TargetsSnapshot))
        self.assertEqual(self.list_versions(), {"desk": (None, 2)})

    def test_nothing_is_known_of_the_time_before_a_snapshot_without_versions(self) -> None:
        self.register(version="v1")
        stored = replace(self.registry.snapshot(), versions=())
        self.registry = TargetRegistry(stored)
        self.assertEqual(self.list_versions(), {"desk": ("v1", 1)})

    def test_a_heartbeat_makes_a_silent_target_live_again(self) -> None:
        self.register()
        self.registry.apply(MarkTargetsSilent(targets=("t1", "unknown")))
        self.assertEqual(self.standing(), "silent")
        self.register(sequence=2)
        self.assertEqual(self.standing(), "live")

    def test_a_draining_target_does_not_turn_silent(self) -> None:
        self.register(standing="leaving")
        self.registry.apply(MarkTargetsSilent(targets=("t1",)))
        self.assertEqual(self.standing(), "leaving")

    def test_changes_lead_to_the_same_records(self) -> None:
        self.register()
        self.register(target="t2", address="10.0.0.2:80")
        seen = self.registry.changes_after(0)
        self.assertTrue(seen.is_whole)
        self.registry.apply(RemoveTarget(target="t1"))
        self.register(target="t3", address="10.0.0.3:80")
        later = self.registry.changes_after(seen.revision)
        self.assertFalse(later.is_whole)
        self.assertEqual([record.target for record in later.records], ["t3"])
        self.assertEqual(later.gone, ("t1",))

    def test_a_reader_with_an_unknown_revision_gets_all_records(self) -> None:
        self.register()
        self.assertTrue(self.registry.changes_after(99).is_whole)

    def test_changes_are_complete_when_removals_are_forgotten(self) -> None:
        for number in range(MAX_REMOVED + 2):
            self.registry.apply(RemoveTarget(target=f"gone-{number}"))
        copy = TargetRegistry(
            decode_bytes(encode_bytes(self.registry.snapshot(), TargetsSnapshot), TargetsSnapshot)
        )
        for registry in (self.registry, copy):
            self.assertTrue(registry.changes_after(1).is_whole)
            self.assertFalse(registry.changes_after(MAX_REMOVED).is_whole)

    def test_a_snapshot_holds_everything(self) -> None:
        self.register()
        self.registry.apply(RemoveTarget(target="other"))
        copy = TargetRegistry(self.registry.snapshot())
        self.assertEqual(copy.snapshot(), self.registry.snapshot())

    def test_a_newer_incarnation_replaces_the_older_one_whatever_its_sequence(self) -> None:
        self.register(start=100, sequence=40, standing="leaving")
        self.assertTrue(self.register(start=200, sequence=1))
        self.assertEqual(self.standing(), "live")
        self.assertEqual(self.registry.changes_after(1).records[0].start, 200)

    def test_delayed_heartbeats_of_an_older_incarnation_change_nothing(self) -> None:
        self.register(start=200)
        for changes in ({"standing": "leaving"}, {"address": "10.0.0.9:80"}, {}):
            self.assertFalse(self.register(start=100, sequence=99, **changes))
        self.registry.apply(RemoveTarget(target="t1", start=100))
        self.assertEqual(self.standing(), "live")

    def test_a_removed_target_is_registered_when_it_starts_again(self) -> None:
        self.register(start=100)
        self.registry.apply(RemoveTarget(target="t1"))
        self.assertFalse(self.register(start=100, sequence=9))
        self.assertFalse(self.register(start=50, sequence=9))
        self.assertTrue(self.register(start=200))

    def test_a_removal_before_any_heartbeat_applies_to_the_incarnation_reported_next(self) -> None:
        self.registry.apply(RemoveTarget(target="t1"))
        self.assertFalse(self.register(start=100))
        self.assertFalse(self.register(start=100, sequence=2))
        self.assertTrue(self.register(start=200))

    def test_delayed_heartbeats_of_an_older_target_do_not_replace_a_newer_one(self) -> None:
        self.register(target="t2", start=200)
        for sequence in range(1, 6):
            self.assertFalse(self.register(start=100, sequence=sequence))
        self.assertEqual([record.target for record in self.registry.records()], ["t2"])


HEARTBEATS = st.builds(
    lambda start, sequence, is_leaving: replace(
        RECORD, start=start, sequence=sequence, standing="leaving" if is_leaving else "live"
    ),
    st.sampled_from((100, 200, 300)),
    st.integers(min_value=1, max_value=9),
    st.booleans(),
)


class IncarnationsTest(unittest.TestCase):
    @settings(deadline=None, suppress_health_check=[HealthCheck.too_slow])
    @given(st.lists(HEARTBEATS, min_size=1, max_size=30), st.integers(min_value=0, max_value=30))
    def test_any_interleaving_leads_to_the_newest_incarnation(
        self, heartbeats: list[TargetRecord], restored_at: int
    ) -> None:
        registry = TargetRegistry()
        for number, heartbeat in enumerate(heartbeats):
            if number == restored_at:
                registry = TargetRegistry(registry.snapshot())
            registry.apply(RegisterTarget(record=heartbeat))
        last = max(heartbeat.start for heartbeat in heartbeats)
        record = registry.find("t1")
        assert record is not None
        self.assertEqual(record.start, last)
        reported = [heartbeat for heartbeat in heartbeats if heartbeat.start == last]
        self.assertEqual(record.sequence, max(heartbeat.sequence for heartbeat in reported))


if __name__ == "__main__":
    unittest.main()
