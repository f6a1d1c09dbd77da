"""Choice of owners: the same at all boxes, and rarely changed."""

import hashlib
import math
import random
import unittest
from collections import Counter
from collections.abc import Collection, Sequence
from dataclasses import replace

from damsonlane.membership import BoxRecord, are_uneven, choose_owner

_SUBJECTS = tuple(f"pool-{number}" for number in range(40))


def _make_record(number: int, place: int) -> BoxRecord:
    return BoxRecord(
        box=f"entry-{number}",
        incarnation="one",
        started_at=0.0,
        data_centre="dha",
        address=f"127.0.0.1:{number}",
        standing="live",
        via="control-1",
        place=place,
    )


def _owners(records: list[BoxRecord], avoid: tuple[str, ...] = ()) -> dict[str, str]:
    owners: dict[str, str] = {}
    for subject in _SUBJECTS:
        owner = choose_owner(subject, records, avoid)
        owners[subject] = owner.box if owner is not None else ""
    return owners


class ChooseOwnerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.records = [_make_record(number, place=number) for number in range(1, 7)]

    def test_the_order_of_the_list_does_not_matter(self) -> None:
        self.assertEqual(_owners(self.records), _owners(self.records[::-1]))

    def test_boxes_that_joined_first_own_all_subjects(self) -> None:
        self.assertEqual(set(_owners(self.records).values()), {"entry-1", "entry-2", "entry-3"})

    def test_a_restarted_box_takes_back_no_subjects(self) -> None:
        before = _owners(self.records)
        without = _owners([record for record in self.records if record.box != "entry-1"])
        restarted = replace(self.records[0], incarnation="two", place=7)
        after = _owners([*self.records[1:], restarted])
        reassigned = {subject for subject in _SUBJECTS if before[subject] != without[subject]}
        self.assertLessEqual({s for s in _SUBJECTS if before[s] == "entry-1"}, reassigned)
        self.assertEqual(after, without)

    def test_avoiding_a_box_does_not_change_other_owners(self) -> None:
        before = _owners(self.records)
        avoiding = _owners(self.records, avoid=("127.0.0.1:2",))
        for subject in _SUBJECTS:
            if before[subject] != "entry-2":
                self.assertEqual(avoiding[subject], before[subject])
            else:
                self.assertNotEqual(avoiding[subject], "entry-2")

    def test_no_owner_without_eligible_boxes(self) -> None:
        cases: tuple[tuple[str, list[BoxRecord], tuple[str, ...]], ...] = (
            ("no box", [], ()),
            ("all avoided", self.records[:1], ("127.0.0.1:1",)),
        )
        for name, records, avoid in cases:
            with self.subTest(name):
                self.assertIsNone(choose_owner("pool", records, avoid))


def _choose_unweighted(
    subject: str, records: Sequence[BoxRecord], avoid: Collection[str]
) -> BoxRecord | None:
    """Return the owner as before capacities were known."""
    by_seniority = sorted(records, key=lambda record: (record.place, record.box))
    seniors = by_seniority[: math.ceil(0.5 * len(by_seniority))]
    eligible = [record for record in seniors if record.address not in avoid] or [
        record for record in by_seniority if record.address not in avoid
    ]

    def hash_of(record: BoxRecord) -> bytes:
        text = f"{subject}\0{record.address}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return max(eligible, key=hash_of, default=None)


def _make_records(capacities: Sequence[float], seed: int = 0) -> list[BoxRecord]:
    """Return boxes with these capacities that joined in random order."""
    places = random.Random(seed).sample(range(1, len(capacities) + 1), len(capacities))
    return [
        replace(_make_record(number, place), capacity=capacity)
        for number, (place, capacity) in enumerate(zip(places, capacities, strict=True), 1)
    ]


class WeightedOwnerTest(unittest.TestCase):
    def test_equal_and_unknown_capacities_change_no_owner(self) -> None:
        """Guards against an upgrade that moves owners of boxes of one size."""
        for seed in range(400):
            randomness = random.Random(seed)
            size = randomness.randint(1, 90)
            # Cores beyond the first do not make a box a better owner.
            capacities = randomness.choice(([0.0], [0.516], [0.387, 0.0], [1.0, 2.58, 64.0]))
            records = _make_records(randomness.choices(capacities, k=size), seed)
            self.assertFalse(are_uneven(records))
            avoid = [record.address for record in records if randomness.random() < 0.3]
            for subject in _SUBJECTS[:8]:
                before = _choose_unweighted(subject, records, avoid)
                self.assertEqual(choose_owner(subject, records, avoid), before)
                taken = choose_owner(subject, records, taken=avoid)
                before = before or _choose_unweighted(subject, records, ())
                self.assertEqual(taken, before)

    def test_small_boxes_own_nothing_while_a_larger_one_can(self) -> None:
        """Guards against owners that need most of the processor time of their box."""
        for seed in range(100):
            records = _make_records(
                [0.387] * 51 + [1.29] * random.Random(seed).randint(1, 15), seed
            )
            large = {record.address for record in records if record.capacity > 1}
            for subject in _SUBJECTS[:8]:
                owners = [choose_owner(subject, records, taken=large - {"127.0.0.1:52"})]
                owners.append(choose_owner(subject, records, taken=large))
                owners.append(choose_owner(subject, records, avoid=sorted(large)[1:]))
                for owner in owners:
                    assert owner is not None
                    self.assertEqual(owner.capacity, 1.29)
                small = choose_owner(subject, records, avoid=large)
                assert small is not None
                self.assertEqual(small.capacity, 0.387)

    def test_shares_of_subjects_follow_the_weights(self) -> None:
        """Guards against a choice that ignores the difference of two large sizes."""
        records = [
            replace(_make_record(number, place=number), capacity=(0.6, 0.9)[number % 2])
            for number in range(1, 21)
        ]
        owners = [choose_owner(f"pool-{number}", records) for number in range(4_000)]
        counts = Counter(owner.capacity for owner in owners if owner is not None)
        self.assertAlmostEqual(counts[0.9] / len(owners), 0.6, delta=0.03)

    def test_a_lost_box_moves_only_what_it_owned(self) -> None:
        """Guards against a loss that moves what other boxes own."""
        moved = 0
        for seed in range(50):
            records = _make_records([0.387] * 51 + [0.7, 1.29, 0.9] * 5, seed)
            before = _owners(records)
            lost = random.Random(seed).choice([r for r in records if r.capacity > 0.5]).box
            after = _owners([record for record in records if record.box != lost])
            moved += sum(before[s] not in (lost, after[s]) for s in _SUBJECTS)
        # Seven of the eight boxes that could be owners still can, so what one owned may move.
        self.assertLess(moved / 50 / len(_SUBJECTS), 0.15)

    def test_overloaded_boxes_are_passed_over_and_others_keep_what_they_own(self) -> None:
        """Guards against an owner that is kept while it is short of processor time."""
        for capacities in ([0.516] * 20, [0.387] * 51 + [1.29] * 15):
            records = _make_records(capacities)
            before = _owners(records)
            busy = before[_SUBJECTS[0]]
            marked = [replace(record, is_overloaded=record.box == busy) for record in records]
            after = _owners(marked)
            for subject in _SUBJECTS:
                if before[subject] == busy:
                    self.assertNotEqual(after[subject], busy)
                else:
                    self.assertEqual(after[subject], before[subject])
            largest = max(capacities)
            large = {record.box for record in records if record.capacity == largest}
            self.assertLessEqual(set(after.values()), large)
            # If all of them are, they own the same as if none was.
            marked = [replace(record, is_overloaded=record.box in large) for record in records]
            self.assertEqual(_owners(marked), before)

    def test_implausible_capacities_count_as_unknown(self) -> None:
        """Guards against a box that owns everything since its record is wrong."""
        for wrong in (-1.0, 1e9, float("nan"), float("inf")):
            records = _make_records([1.0, wrong, 1.0, wrong])
            self.assertFalse(are_uneven(records))
            unknown = _make_records([0.0] * 4)
            self.assertEqual(_owners(records), _owners(unknown))


if __name__ == "__main__":
    unittest.main()
