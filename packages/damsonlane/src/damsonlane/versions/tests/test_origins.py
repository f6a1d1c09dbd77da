"""Tests of the origins that a box remembers."""

import unittest
from dataclasses import replace

from damsonlane.routes import Route, WeightedService
from damsonlane.versions import OriginTable, StreamOrigin, find_retention_seconds

ORIGIN = StreamOrigin(attempt="a", service="model", version="v1")
ROUTE = Route(
    name="chat",
    host="shop.example",
    prefix="/chat/",
    repeat="stream",
    timeout_seconds=20.0,
    aim_seconds=1.0,
    priority=0,
    services=(WeightedService(service="model", weight=1.0),),
    is_resumable=True,
)


class OriginTableTest(unittest.TestCase):
    def test_the_newest_origin_of_an_attempt_counts(self) -> None:
        table = OriginTable()
        table.record(ORIGIN, 1.0)
        table.record(replace(ORIGIN, version="v2"), 2.0)
        self.assertEqual(table.find("a"), replace(ORIGIN, version="v2"))
        self.assertEqual(len(table), 1)

    def test_a_different_origin_that_is_replaced_is_reported(self) -> None:
        table = OriginTable()
        self.assertIsNone(table.record(ORIGIN, 1.0))
        self.assertIsNone(table.record(ORIGIN, 2.0))
        self.assertEqual(table.record(replace(ORIGIN, version="v2"), 3.0), ORIGIN)

    def test_an_unknown_attempt_has_no_origin(self) -> None:
        self.assertIsNone(OriginTable().find("a"))

    def test_the_oldest_origins_are_forgotten_beyond_the_limit(self) -> None:
        table = OriginTable(limit=2)
        for number, attempt in enumerate("abc"):
            table.record(replace(ORIGIN, attempt=attempt), float(number))
        self.assertIsNone(table.find("a"))
        self.assertIsNotNone(table.find("c"))

    def test_origins_are_forgotten_after_their_retention(self) -> None:
        table = OriginTable()
        table.record(ORIGIN, 1.0)
        table.record(replace(ORIGIN, attempt="b"), 5.0)
        table.remove_older(5.0)
        self.assertIsNone(table.find("a"))
        self.assertIsNotNone(table.find("b"))

    def test_an_origin_that_is_recorded_again_is_kept_as_a_new_one(self) -> None:
        table = OriginTable()
        table.record(ORIGIN, 1.0)
        table.record(replace(ORIGIN, attempt="b"), 2.0)
        table.record(ORIGIN, 9.0)
        table.remove_older(5.0)
        self.assertIsNotNone(table.find("a"))
        self.assertIsNone(table.find("b"))


class RetentionTest(unittest.TestCase):
    def test_the_longest_time_out_of_a_resumable_route_decides(self) -> None:
        slow = replace(ROUTE, name="slow", timeout_seconds=90.0, is_resumable=False)
        self.assertEqual(find_retention_seconds([ROUTE, slow]), 60.0)

    def test_the_retention_has_bounds(self) -> None:
        self.assertEqual(find_retention_seconds([]), 30.0)
        self.assertEqual(find_retention_seconds([replace(ROUTE, timeout_seconds=9_000.0)]), 600.0)


if __name__ == "__main__":
    unittest.main()
