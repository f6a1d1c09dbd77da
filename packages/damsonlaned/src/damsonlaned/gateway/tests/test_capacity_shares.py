"""Connections of entries of different capacities to a target."""

import asyncio
import unittest
from dataclasses import replace

from damsonlane.connections._division import UNEVEN_FLOOR
from damsonlane.membership import CapacityShares
from damsonlane.membership._shares import HOLD_SECONDS
from damsonlane.routes import Service
from damsonlaned.dialects import NativeDialect
from damsonlaned.gateway._target_selector import TargetSelector
from damsonlaned.gateway._view import FleetView
from damsonlaned.gateway.tests.harness import make_box_record

SERVICE = Service(name="desk", most_connections=500)


class ConnectionShareTest(unittest.IsolatedAsyncioTestCase):
    def count_connections(self, capacities: list[float]) -> list[int]:
        """Return the connections that each entry may open to a target."""
        records = tuple(
            replace(make_box_record(f"127.0.0.1:{number}"), capacity=capacity)
            for number, capacity in enumerate(capacities)
        )
        counts: list[int] = []
        for record in records:
            view = FleetView(NativeDialect())
            view.put_entries(records)
            shares = CapacityShares(record.address)
            now = asyncio.get_running_loop().time()
            shares.record(records, now - HOLD_SECONDS - 1.0)
            targets = TargetSelector(
                view, "dha", lambda: len(records), record.address, shares=shares
            )
            counts.append(targets.connections(SERVICE, "t1", "127.0.0.1:9").max_connections)
        return counts

    async def test_a_larger_entry_may_open_more_connections(self) -> None:
        """Guards against small entries that hold connections which larger ones need."""
        counts = self.count_connections([0.387] * 51 + [1.29] * 15)
        self.assertGreater(counts[-1], 2 * counts[0])
        self.assertGreaterEqual(counts[0], UNEVEN_FLOOR)
        self.assertLessEqual(sum(counts), SERVICE.most_connections)

    async def test_entries_of_one_size_divide_evenly(self) -> None:
        """Guards against deployments of boxes of one size that behave differently than before."""
        for capacity in (0.0, 0.516):
            for size in (1, 7, 49, 83):
                counts = self.count_connections([capacity] * size)
                self.assertEqual(set(counts), {max(2, int(0.9 * 500 / size))})


if __name__ == "__main__":
    unittest.main()
