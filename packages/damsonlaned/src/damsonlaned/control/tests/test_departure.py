"""Planned replacements of control replicas, and the loss of disks soon after."""

import asyncio
import logging
from dataclasses import replace
from unittest import mock

from damsonlane.cluster import PackedDocument, ReplaceDocument
from damsonlane.consensus import _repair
from damsonlane.errors import UnavailableError
from damsonlane_rpc import ControlClient
from damsonlaned._process import SettingsReloader, TlsContexts
from damsonlaned.control import ControlNode, _process
from damsonlaned.control._process import run_control
from damsonlaned.control.tests.boxes import TEST_TIMEOUT_SECONDS, Box, GroupCase
from damsonlaned.storage import DataFolder
from damsonlaned.tests.addresses import find_free_address


class _Process:
    """The process of a control replica, which ends on a simulated SIGTERM."""

    def __init__(self, box: Box, *, is_first_start: bool) -> None:
        settings = box.make_settings(is_first_start=is_first_start)
        self.settings = replace(settings, admin_address=find_free_address())
        self.stop = asyncio.Event()
        self.node: ControlNode | None = None
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        def wait_for_stop(_: SettingsReloader) -> object:
            return self.stop.wait()

        def make_node(*arguments: object) -> ControlNode:
            self.node = ControlNode(*arguments)  # type: ignore[arg-type]
            return self.node

        with (
            mock.patch.object(_process, "wait_for_stop", wait_for_stop),
            mock.patch.object(_process, "ControlNode", make_node),
            DataFolder(self.settings.data_folder) as folder,
        ):
            await run_control(self.settings, folder, TlsContexts(self.settings), None)

    async def terminate(self) -> None:
        self.stop.set()
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            await self._task

    def cut_off(self) -> None:
        """Drop all messages between this replica and the others."""
        assert self.node is not None
        self.node.receive = mock.Mock()  # type: ignore[method-assign]
        self.node._peers.send = mock.Mock()  # type: ignore[method-assign]


class DepartureCase(GroupCase):
    async def found_with_process(self, number: int, size: int) -> _Process:
        """Found a group in which one replica is a whole process, and let a successor join."""
        members = range(size)
        process: _Process | None = None
        # The box with the lowest seed address founds the group and leads it.
        order = sorted(members, key=lambda member: self.addresses[member])
        for member in order:
            if member == number:
                process = _Process(self.boxes[self.addresses[member]], is_first_start=True)
            else:
                await self.start(member, is_first_start=True)
        await self.wait_for_voter_count(size)
        await self.start(5)
        await self.wait_for_voter_count(size + 1)
        assert process is not None
        return process

    async def wait_for_voter_count(self, count: int) -> None:
        await self.wait(
            lambda: all(len(box.voters()) == count for box in self.running),
            f"the group never had {count} voters",
        )

    def founder(self, size: int) -> int:
        return min(range(size), key=lambda member: self.addresses[member])

    def follower(self, size: int) -> int:
        return max(range(size), key=lambda member: self.addresses[member])

    async def put(self, version: int) -> None:
        """Submit a document until it is acknowledged."""
        command = ReplaceDocument(document=PackedDocument.pack(version, b"text"))
        client = ControlClient(tuple(box.address for box in self.running))
        try:
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                while True:
                    try:
                        await client.submit([command], 1.0)
                    except UnavailableError:
                        await asyncio.sleep(0.05)
                    else:
                        return
        finally:
            client.close()

    async def lose_disks(self, count: int) -> None:
        """Stop boxes, the leader first, and start them again with empty disks."""
        boxes = sorted(self.running, key=lambda box: not box.is_leader())[:count]
        numbers = [self.addresses.index(box.address) for box in boxes]
        await self.stop(*numbers)
        for box in boxes:
            box.erase()
            box.seeds = tuple(other.address for other in self.running)
        await asyncio.sleep(0.5)
        await self.start(*numbers)

    async def assert_recovers(self, version: int, voters: int) -> None:
        """Check that all replicas hold a document and that the group accepts the next one."""
        await self.wait(
            lambda: all(
                box.node.state.documents.document.version == version and len(box.voters()) == voters
                for box in self.running
            ),
            "what was acknowledged is lost",
        )
        await self.put(version + 1)


class DepartureTest(DepartureCase):
    async def test_a_replaced_leader_and_two_lost_disks(self) -> None:
        """Guards against a group that never has a quorum again (review/1)."""
        process = await self.found_with_process(self.founder(5), 5)
        await process.terminate()
        await self.put(7)
        await self.lose_disks(2)
        await self.assert_recovers(7, voters=5)

    async def test_a_replaced_follower_and_two_lost_disks(self) -> None:
        """The same, where the group keeps its leader until that one loses its disk."""
        process = await self.found_with_process(self.follower(5), 5)
        with self.assertLogs("damsonlaned", logging.INFO) as logs:
            await process.terminate()
        await self.put(7)
        await self.lose_disks(2)
        await self.assert_recovers(7, voters=5)
        changes = [
            record
            for record in logs.records
            if record.getMessage() == "members of the group changed"
        ]
        name = process.node.identity.replica if process.node else ""
        self.assertIn([name], [record.__dict__["demoted"] for record in changes])

    async def test_disks_lost_while_a_replaced_replica_ends(self) -> None:
        """The old replica stays until the group tolerates its end."""
        process = await self.found_with_process(self.follower(5), 5)
        await self.put(7)
        await asyncio.gather(self.lose_disks(2), process.terminate())
        await self.assert_recovers(7, voters=5)

    async def test_a_replaced_replica_that_is_cut_off_and_two_lost_disks(self) -> None:
        """It can't give up its vote, so it ends once the others had time to demote it."""
        process = await self.found_with_process(self.follower(5), 5)
        process.cut_off()
        await process.terminate()
        await self.put(7)
        await self.lose_disks(2)
        await self.assert_recovers(7, voters=5)


class KilledTest(DepartureCase):
    async def test_a_replica_that_ends_without_a_word_loses_its_vote_before_it_is_silent(
        self,
    ) -> None:
        """Guards against a vote that counts for as long as a silent box may take to return."""
        await self.start(0, 1, 2, 3, 4, is_first_start=True)
        await self.wait_for_voter_count(5)
        await self.start(5)
        await self.wait_for_voter_count(6)
        killed = next(box for box in self.running if not box.is_leader())
        leader = next(box for box in self.running if box.is_leader())
        with mock.patch.object(_repair, "VOTER_SILENCE_SECONDS", 2 * TEST_TIMEOUT_SECONDS):
            await self.stop(self.addresses.index(killed.address))
            await self.wait(lambda: killed.address not in leader.voters(), "the vote still counts")


class SmallGroupDepartureTest(DepartureCase):
    lost_boxes = 1

    async def test_a_replaced_leader_and_a_lost_disk(self) -> None:
        """A group of three tolerates the loss of one disk."""
        process = await self.found_with_process(self.founder(3), 3)
        await process.terminate()
        await self.put(7)
        await self.lose_disks(1)
        await self.assert_recovers(7, voters=3)
