"""A box finds out that it does not reach targets, and tells that apart from targets that failed.

Guards against boxes that take failed, busy or silent targets for a cut of their own path.
"""

import asyncio
import unittest
from dataclasses import replace
from typing import get_args
from unittest import mock

from damsonlane_rpc import ReachQuery, ReachReply
from damsonlaned.gateway.tests.harness import Entry, FakeTarget, answer_ok
from damsonlaned.relay import _path_prober, _reach_monitor
from damsonlaned.relay.tests.cuts import CutForm
from damsonlaned.relay.tests.late_answers import delay_first_answer
from damsonlaned.relay.tests.test_unreachable_targets import (
    CUT_DOCUMENT,
    DEADLINE_MS,
    CutTestCase,
    make_targets,
)

#: Longest time for an entry to find something out, in seconds.
TIMEOUT_SECONDS = 10.0
#: Connections that each target takes.
MOST_CONNECTIONS = 8


async def hang(_: ReachQuery) -> ReachReply:
    """Answer nothing."""
    await asyncio.sleep(TIMEOUT_SECONDS)
    return ReachReply(results={})


class ReachMonitorTestCase(CutTestCase):
    async def wait_until(self, index: int, service: str, *, is_reached: bool) -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while self.fleet.entries[index].reach.is_reached(service) != is_reached:
                await asyncio.sleep(0.02)


class ReachMonitorTest(ReachMonitorTestCase):
    async def test_a_cut_and_its_end_are_noticed(self) -> None:
        for form in get_args(CutForm):
            with self.subTest(form=form):
                await self.start_fleet(*make_targets())
                entry = self.fleet.entries[0]
                await self.cut(0, form)
                callers = asyncio.create_task(self.call_until_cut(entry))
                await self.wait_until(0, "desk", is_reached=False)
                await callers
                self.assertEqual(entry.reach.list_unreached(), ("desk",))
                self.assertTrue(self.fleet.entries[1].reach.is_reached("desk"))
                await self.heal(0)
                await self.wait_until(0, "desk", is_reached=True)

    async def call_until_cut(self, entry: Entry) -> None:
        while entry.reach.is_reached("desk"):
            await entry.call("/ping/a", deadline_ms=DEADLINE_MS)

    async def test_targets_that_failed_for_all_boxes_are_no_cut(self) -> None:
        targets = make_targets()
        await self.start_fleet(*targets)
        for target in targets:
            await target.stop()
        for _ in range(3):
            await self.fleet.entries[0].call("/ping/a", deadline_ms=500)
        self.assertTrue(self.fleet.entries[0].reach.is_reached("desk"))
        self.assertTrue(self.fleet.entries[1].reach.is_reached("desk"))

    async def test_a_cut_is_noticed_where_the_other_box_is_silent_at_first(self) -> None:
        """Guards against a silent box that counts as one which does not reach the targets."""
        await self.start_fleet(*make_targets(count=2))
        await self.cut(0, "refuse")
        with delay_first_answer(self.fleet.entries[1].reach):
            await self.fleet.entries[0].call("/ping/a", deadline_ms=DEADLINE_MS)
            await self.wait_until(0, "desk", is_reached=False)

    async def test_targets_are_not_tried_again_since_other_boxes_are_silent(self) -> None:
        """Guards against a cut that counts as ended, since no box answers that it gets further."""
        await self.start_fleet(*make_targets(count=2))
        entry, other = self.fleet.entries
        await self.cut(0, "refuse")
        await self.call_until_cut(entry)
        with (
            mock.patch.object(other.reach, "answer", hang),
            mock.patch.object(_path_prober, "ANSWER_SECONDS", 0.1),
            mock.patch.object(_reach_monitor, "FIRST_PROBE_SECONDS", 0.02),
            mock.patch.object(_reach_monitor, "MAX_PROBE_SECONDS", 0.02),
        ):
            await asyncio.sleep(2.0)
            self.assertFalse(entry.reach.admit_trial("desk"))
            self.assertFalse(entry.reach.is_reached("desk"))

    async def test_a_target_that_is_silent_for_a_second_is_no_cut(self) -> None:
        async def answer_late(request, writer):  # type: ignore[no-untyped-def]
            await asyncio.sleep(1.0)
            await answer_ok(request, writer)

        await self.start_fleet(*[FakeTarget(f"t{index}", answer_late) for index in range(2)])
        response = await self.fleet.entries[0].call("/once/a", deadline_ms=DEADLINE_MS)
        self.assertEqual(response.status, 200)
        self.assertTrue(self.fleet.entries[0].reach.is_reached("desk"))


class FullTargetsTest(ReachMonitorTestCase):
    """Targets that take few connections."""

    document = replace(
        CUT_DOCUMENT,
        services=tuple(
            replace(service, most_connections=MOST_CONNECTIONS) for service in CUT_DOCUMENT.services
        ),
    )

    async def test_a_cut_that_holds_all_connections_of_a_box_is_noticed(self) -> None:
        """Guards against boxes that can't probe since all their connections are in use."""
        await self.start_fleet(*make_targets(count=2))
        entry = self.fleet.entries[0]
        await self.cut(0, "hang")
        calls = [
            asyncio.create_task(
                entry.call("/once/a", request_id=f"r{number}", deadline_ms=DEADLINE_MS)
            )
            for number in range(4 * MOST_CONNECTIONS)
        ]
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while len(entry.connections.list_full(self.document.services[0], ("t0", "t1"))) < 2:
                await asyncio.sleep(0.01)
        await self.wait_until(0, "desk", is_reached=False)
        await asyncio.gather(*calls)


if __name__ == "__main__":
    unittest.main()
