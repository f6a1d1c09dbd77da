import unittest

from damsonlane.connections import CONNECTION_SHARE, ConnectionPart, find_part
from damsonlane.membership import BoxRecord, CapacityShares
from damsonlane.membership._shares import HOLD_SECONDS


def make_records(count: int, capacity: float = 0.0) -> tuple[BoxRecord, ...]:
    return tuple(
        BoxRecord(
            box=f"b{number}",
            incarnation="i",
            started_at=0.0,
            data_centre="dha",
            address=f"127.0.0.1:{number}",
            standing="live",
            via="control-1",
            capacity=capacity,
        )
        for number in range(count)
    )


def find_parts(most: int, count: int, target: str = "t1") -> list[ConnectionPart]:
    parts = []
    for record in make_records(count):
        shares = CapacityShares(record.address)
        shares.record(make_records(count), 0.0)
        parts.append(find_part(most, target, shares, HOLD_SECONDS + 1.0))
    return parts


class DivisionTest(unittest.TestCase):
    def test_many_boxes_stay_within_a_small_limit(self) -> None:
        """Guards against a least number for each box that exceeds the limit by arithmetic."""
        for most in (2, 10, 50, 100, 640):
            for count in (1, 2, 3, 12, 24, 74, 350):
                parts = find_parts(most, count)
                total = sum(part.share for part in parts)
                self.assertLessEqual(total, CONNECTION_SHARE * most, (most, count))
                self.assertGreaterEqual(total, min(0.8, CONNECTION_SHARE) * most - 1)
                self.assertTrue(all(part.floor <= part.share for part in parts))

    def test_a_starting_box_has_its_floor_only(self) -> None:
        """Guards against a box that uses connections which others still use."""
        for most, count in ((50, 12), (640, 74), (10, 74)):
            shares = CapacityShares("127.0.0.1:0")
            shares.record(make_records(count), 0.0)
            part = find_part(most, "t1", shares, 0.1)
            self.assertEqual(part.share, part.floor)
            self.assertEqual(part.floor, find_parts(most, count)[0].floor)
        self.assertEqual(find_parts(10, 74)[0].floor, 0)

    def test_two_boxes_that_start_at_once_stay_within_what_is_unused(self) -> None:
        for most, count in ((50, 1), (50, 3), (640, 11), (100, 2)):
            floor = find_parts(most, count)[0].floor
            self.assertLessEqual(2 * floor + CONNECTION_SHARE * most, most)


if __name__ == "__main__":
    unittest.main()
