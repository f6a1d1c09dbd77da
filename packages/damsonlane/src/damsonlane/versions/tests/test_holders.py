"""Tests of the choice of the boxes that hold origins."""

import unittest
from collections import Counter

from damsonlane.membership import BoxRecord
from damsonlane.versions import HolderRanking


def make_records(count: int) -> list[BoxRecord]:
    return [
        BoxRecord(
            box=f"e{number}",
            incarnation="i",
            started_at=0.0,
            data_centre="a",
            address=f"10.0.{number // 250}.{number % 250}:7000",
            standing="live",
            via="c1",
            place=number,
        )
        for number in range(count)
    ]


def make_ranking(own: int, records: list[BoxRecord]) -> HolderRanking:
    ranking = HolderRanking(records[own].address)
    ranking.update(records)
    return ranking


class HolderRankingTest(unittest.TestCase):
    def test_all_boxes_rank_the_same_way(self) -> None:
        records = make_records(8)
        for attempt in ("a", "b", "c"):
            first = make_ranking(0, records).rank(attempt)
            second = make_ranking(1, records).rank(attempt)
            shared = {*first} & {*second}
            self.assertEqual(
                [name for name in first if name in shared],
                [name for name in second if name in shared],
            )

    def test_a_box_does_not_rank_itself(self) -> None:
        records = make_records(3)
        self.assertNotIn(records[0].address, make_ranking(0, records).rank("a"))

    def test_a_large_fleet_has_a_bounded_number_of_holders(self) -> None:
        self.assertLessEqual(len(make_ranking(0, make_records(350)).rank("a")), 24)

    def test_streams_are_spread_over_the_holders(self) -> None:
        ranking = make_ranking(0, make_records(8))
        firsts = Counter(ranking.rank(f"attempt {number}")[0] for number in range(700))
        self.assertEqual(len(firsts), 7)
        self.assertGreater(min(firsts.values()), 50)

    def test_a_box_that_leaves_changes_no_other_place(self) -> None:
        records = make_records(8)
        before = make_ranking(0, records).rank("a")
        after = make_ranking(0, [*records[:5], *records[6:]]).rank("a")
        self.assertEqual([name for name in before if name != records[5].address], after)

    def test_a_fleet_of_one_has_no_holder(self) -> None:
        self.assertEqual(make_ranking(0, make_records(1)).rank("a"), [])


if __name__ == "__main__":
    unittest.main()
