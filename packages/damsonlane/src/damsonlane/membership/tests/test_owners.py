"""Choice of owners: the same at all boxes, and rarely changed."""

import unittest
from dataclasses import replace

from damsonlane.membership import BoxRecord, choose_owner

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


if __name__ == "__main__":
    unittest.main()
