"""Division of the targets of a service into shards."""

import unittest
from collections import Counter
from dataclasses import replace

from damsonlane.targets import (
    DivideService,
    MarkTargetsSilent,
    RegisterTarget,
    RemoveTarget,
    TargetRecord,
    TargetRegistry,
)

RECORD = TargetRecord(
    target="t0",
    service="pool",
    address="127.0.0.1:1",
    data_centre="a",
    slots=1,
    standing="live",
    sequence=1,
)


def make_record(number: int) -> TargetRecord:
    return replace(
        RECORD, target=f"t{number}", address=f"127.0.0.1:{number}", data_centre="abc"[number % 3]
    )


class ShardsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = TargetRegistry()
        for number in range(21):
            self.registry.apply(RegisterTarget(record=make_record(number)))

    def divide(self, expected: int, shards: int) -> bool:
        command = DivideService(service="pool", expected=expected, shards=shards)
        return self.registry.apply(command).is_changed

    def sizes(self) -> list[int]:
        return sorted(Counter(record.shard for record in self.registry.records()).values())

    def test_a_service_has_one_shard_until_it_is_divided(self) -> None:
        self.assertEqual(self.sizes(), [21])
        self.assertEqual(self.registry.count_shards("pool"), 1)

    def test_shards_are_balanced_and_keep_their_targets(self) -> None:
        for shards, sizes in ((2, [10, 11]), (3, [7, 7, 7]), (4, [5, 5, 5, 6])):
            before = {record.target: record.shard for record in self.registry.records()}
            self.assertTrue(self.divide(shards - 1, shards))
            self.assertEqual(self.sizes(), sizes)
            after = {record.target: record.shard for record in self.registry.records()}
            moved = {after[target] for target in after if after[target] != before[target]}
            self.assertEqual(moved, {shards - 1})

    def test_each_shard_has_targets_in_each_data_centre(self) -> None:
        self.divide(1, 2)
        places = Counter((record.shard, record.data_centre) for record in self.registry.records())
        self.assertEqual(len(places), 6)
        self.assertGreaterEqual(min(places.values()), 3)

    def test_shards_are_merged_again(self) -> None:
        self.divide(1, 3)
        self.assertTrue(self.divide(3, 1))
        self.assertEqual(self.sizes(), [21])

    def test_a_second_request_for_the_same_division_has_no_effect(self) -> None:
        self.assertTrue(self.divide(1, 2))
        revision = self.registry.revision
        self.assertFalse(self.divide(1, 2))
        self.assertFalse(self.divide(2, 22))
        self.assertFalse(self.divide(2, 0))
        self.assertEqual(self.registry.revision, revision)

    def test_heartbeats_and_restarts_do_not_move_a_target(self) -> None:
        self.divide(1, 3)
        moved = next(record for record in self.registry.records() if record.shard == 2)
        for later in (
            replace(moved, sequence=2, standing="leaving", shard=0),
            replace(moved, sequence=1, start=5, shard=0),
        ):
            self.registry.apply(RegisterTarget(record=later))
            found = self.registry.find(moved.target)
            assert found is not None
            self.assertEqual(found.shard, 2)
        self.registry.apply(MarkTargetsSilent(targets=(moved.target,)))
        found = self.registry.find(moved.target)
        assert found is not None
        self.assertEqual((found.shard, found.standing), (2, "silent"))

    def test_new_targets_join_the_smallest_shard(self) -> None:
        self.divide(1, 3)
        for record in self.registry.records():
            if record.shard == 1:
                self.registry.apply(RemoveTarget(target=record.target))
        for number in range(30, 35):
            self.registry.apply(RegisterTarget(record=make_record(number)))
            found = self.registry.find(f"t{number}")
            assert found is not None
            self.assertEqual(found.shard, 1)

    def test_a_snapshot_keeps_the_shards(self) -> None:
        self.divide(1, 3)
        restored = TargetRegistry(self.registry.snapshot())
        self.assertEqual(restored.records(), self.registry.records())
        self.assertEqual(restored.count_shards("pool"), 3)
        self.assertEqual(restored.count_shards("other"), 1)


if __name__ == "__main__":
    unittest.main()
