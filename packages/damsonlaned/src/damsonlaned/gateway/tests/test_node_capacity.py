"""Assembly of an entry: its overload, its shares and its buffers."""

import unittest
from dataclasses import replace
from unittest import mock

from damsonlane.membership._overload import OVERLOAD_SECONDS
from damsonlane.settings import BoxSettings, Capacity, Gateway
from damsonlaned.gateway import _node
from damsonlaned.gateway._node import GatewayNode
from damsonlaned.gateway.tests.harness import make_box_record

SETTINGS = BoxSettings(
    name="entry-1",
    data_centre="dha",
    role="entry",
    data_folder="/tmp/none",
    internal_address="127.0.0.1:1",
    admin_address="127.0.0.1:2",
    caller_address="127.0.0.1:3",
    control=("127.0.0.1:4",),
    capacity=Capacity(cores=0.516, memory_bytes=2**28, link_bits=1e7),
)
GATEWAY = Gateway(dialect="damsonlane", ready_address="127.0.0.1:5")


class NodeCapacityTest(unittest.IsolatedAsyncioTestCase):
    async def make_node(
        self, settings: BoxSettings = SETTINGS, gateway: Gateway = GATEWAY
    ) -> GatewayNode:
        node = GatewayNode(settings, gateway, None)
        self.addCleanup(node._control.close)
        return node

    async def make_uneven_node(self) -> GatewayNode:
        """Return an entry whose list has boxes of different capacities."""
        node = await self.make_node()
        record = make_box_record("127.0.0.1:1")
        other = make_box_record("127.0.0.1:6")
        node._view.put_entries((replace(record, capacity=0.516), replace(other, capacity=1.29)))
        return node

    def report_load(self, node: GatewayNode, load: float) -> bool:
        """Report a load for long enough; return whether the entry then reports an overload."""
        with mock.patch.object(node._pools, "count_owned", lambda: 1):
            for now in (100.0, 100.0 + OVERLOAD_SECONDS):
                with mock.patch.object(_node, "read_clock", lambda now=now: now):
                    node._check_overload(load)
        return node._control_follower._report().box.is_overloaded

    async def test_an_overloaded_owner_reports_it(self) -> None:
        """Guards against an entry that detects its overload and tells nobody."""
        self.assertTrue(self.report_load(await self.make_uneven_node(), 0.9))
        self.assertFalse(self.report_load(await self.make_uneven_node(), 0.6))

    async def test_capacities_are_compared_once_for_each_list(self) -> None:
        """Guards against idle wake-ups whose cost grows with the number of boxes."""
        node = await self.make_uneven_node()
        with mock.patch.object(_node, "are_uneven") as are_uneven:
            self.assertEqual(node._find_cores(), 0.516)
            self.assertTrue(self.report_load(node, 0.9))
        are_uneven.assert_not_called()

    async def test_an_overload_ends_when_all_boxes_become_equal(self) -> None:
        """Guards against an entry that owns nothing for ever after the small boxes were removed."""
        node = await self.make_uneven_node()
        self.assertTrue(self.report_load(node, 0.9))
        records = [make_box_record(f"127.0.0.1:{number}") for number in (1, 6)]
        node._view.put_entries(tuple(replace(record, capacity=0.516) for record in records))
        self.assertFalse(self.report_load(node, 0.9))

    async def test_an_entry_among_equal_ones_reports_no_overload(self) -> None:
        """Guards against deployments with boxes of one size that change their owners."""
        for settings in (replace(SETTINGS, capacity=None), SETTINGS):
            node = await self.make_node(settings)
            records = [make_box_record(f"127.0.0.1:{number}") for number in (1, 6)]
            node._view.put_entries(tuple(replace(record, capacity=0.516) for record in records))
            self.assertFalse(self.report_load(node, 1.0))
            self.assertEqual(node._find_cores(), 0.0)
        self.assertEqual((await self.make_uneven_node())._find_cores(), 0.516)

    async def test_the_memory_limits_buffers_and_only_the_setting_limits_time(self) -> None:
        """Guards against boxes without a budget, and against slow callers cut off in calm."""
        node = await self.make_node()
        self.assertIs(node._listener._guard, node._guard)
        self.assertEqual((node._guard._limit, node._guard.limits_time), (3 * 2**24, False))
        node = await self.make_node(gateway=replace(GATEWAY, buffer_bytes=2**20))
        self.assertIs(node._listener._guard, node._guard)
        self.assertEqual((node._guard._limit, node._guard.limits_time), (2**20, True))

    async def test_the_retry_budget_is_divided_by_capacity_only_where_it_differs(self) -> None:
        """Guards against entries of one size that divide limits differently than before."""
        node = await self.make_node()
        records = tuple(make_box_record(f"127.0.0.1:{number}") for number in range(1, 50))
        node._view.put_entries(records)
        self.assertEqual(node._count_equivalents(), 49)
        node._view.put_entries((replace(records[0], capacity=1.29), *records[1:]))
        self.assertEqual(node._count_equivalents(), 49)
        smaller = [replace(record, capacity=0.387) for record in records[1:]]
        node._view.put_entries((replace(records[0], capacity=1.29), *smaller))
        # The entry has just started, and has no share until the others know it.
        self.assertEqual(node._count_equivalents(), float("inf"))


if __name__ == "__main__":
    unittest.main()
