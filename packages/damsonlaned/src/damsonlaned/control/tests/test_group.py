"""Founding and repair of the control group, with real replicas on loopback ports."""

import asyncio
import tempfile
import unittest
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from pathlib import Path
from unittest import mock

from grpclib.protocol import H2Protocol
from grpclib.server import Server

from damsonlane.agreement import Applicant, Replica
from damsonlane.cluster import PackedDocument, ReplaceDocument
from damsonlane.errors import AgreementError, UnavailableError
from damsonlane.evacuation import EvacuateDataCentre, EvacuationNoted
from damsonlane.settings import BoxSettings, Founding
from damsonlane_rpc import (
    ControlClient,
    DataclassCodec,
    Endpoint,
    NotAMember,
    NotLeader,
    Service,
)
from damsonlaned.control import ControlNode, ControlService, FollowingService, GroupRepairer
from damsonlaned.control._leader import Leader
from damsonlaned.storage import DataFolder
from damsonlaned.tests.addresses import find_addresses

#: Seconds after which a test gives up.
PATIENCE = 20.0
#: Short, so that a test is quick; long enough for a busy machine.
ELECTION_SECONDS = 0.4


class BreakableServer(Server):
    """A server whose connections break when it stops, as those of a process that ends."""

    def __init__(self, service: Service) -> None:
        super().__init__([service], codec=DataclassCodec())
        self.protocols: list[H2Protocol] = []

    def _protocol_factory(self) -> H2Protocol:
        protocol = super()._protocol_factory()
        self.protocols.append(protocol)
        return protocol

    async def stop(self) -> None:
        self.close()
        await self.wait_closed()
        for protocol in self.protocols:
            if not protocol.connection.is_closing():
                protocol.connection._transport.abort()


class Box:
    """One control box, which may be stopped, wiped and started again."""

    def __init__(self, address: str, seeds: tuple[str, ...], folder: Path) -> None:
        self.address = address
        self.seeds = seeds
        self.folder = folder

    async def start(self, *, is_first_start: bool) -> None:
        founding = Founding(seeds=self.seeds, is_first_start=is_first_start, lost_boxes=2)
        settings = BoxSettings(
            name=f"box-{self.address.rpartition(':')[2]}",
            data_centre="gulberg",
            role="control",
            data_folder=str(self.folder),
            internal_address=self.address,
            admin_address="127.0.0.1:1",
            control=self.seeds,
            election_seconds=ELECTION_SECONDS,
            founding=founding,
        )
        self.data = DataFolder(str(self.folder))
        self.data.open()
        self.node = ControlNode(settings, self.data, None)
        self.client = ControlClient(self.seeds)
        self.group = GroupRepairer(self.node, founding, self.client, None)
        handlers = {**self.group.handlers(), **FollowingService(self.node).handlers()}
        self.server = BreakableServer(ControlService(self.node).service(handlers))
        endpoint = Endpoint.parse(self.address)
        await self.server.start(endpoint.host, endpoint.port)
        self.node.start()
        self.group.start()

    async def stop(self) -> None:
        await self.group.stop()
        await self.node.stop()
        await self.server.stop()
        self.client.close()
        self.data.close()

    def wipe(self) -> None:
        for path in self.folder.iterdir():
            path.unlink()

    def voters(self) -> list[str]:
        replica = self.node.replica
        return sorted(member.address for member in replica.members.voters) if replica else []

    def leads(self) -> bool:
        replica = self.node.replica
        return replica is not None and replica.is_leader


class GroupTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.addresses = find_addresses(6)
        self.seeds = tuple(self.addresses[:3])
        self.boxes: dict[str, Box] = {}
        for number, address in enumerate(self.addresses):
            path = Path(folder.name) / str(number)
            path.mkdir()
            self.boxes[address] = Box(address, self.seeds, path)
        self.running: list[Box] = []

    async def asyncTearDown(self) -> None:
        for box in self.running:
            await box.stop()

    async def start(self, *numbers: int, is_first_start: bool = False) -> None:
        for number in numbers:
            box = self.boxes[self.addresses[number]]
            await box.start(is_first_start=is_first_start)
            self.running.append(box)

    async def stop(self, *numbers: int) -> None:
        for number in numbers:
            box = self.boxes[self.addresses[number]]
            self.running.remove(box)
            await box.stop()

    async def wait(self, holds: Callable[[], bool], what: str) -> None:
        try:
            async with asyncio.timeout(PATIENCE):
                while not holds():
                    await asyncio.sleep(0.05)
        except TimeoutError:
            self.fail(f"{what}; voters: {[box.voters() for box in self.running]}")

    async def wait_for_voters(self, *numbers: int) -> None:
        wanted = sorted(self.addresses[number] for number in numbers)

        def holds() -> bool:
            agrees = all(box.voters() == wanted for box in self.running)
            return agrees and sum(box.leads() for box in self.running) == 1

        await self.wait(holds, f"the group never became {wanted}")

    async def put(self, version: int) -> None:
        document = PackedDocument.pack(version, b"text")
        async with asyncio.timeout(PATIENCE):
            await self.running[0].client.submit([ReplaceDocument(document=document)], PATIENCE)

    async def test_the_seeds_found_one_group_and_the_others_join(self) -> None:
        await self.start(4, 2, 0, 3, 1, is_first_start=True)
        await self.wait_for_voters(0, 1, 2, 3, 4)
        clusters = {box.node.identity.cluster for box in self.running}
        self.assertEqual(len(clusters), 1)

    async def test_nothing_is_accepted_before_the_group_bears_a_loss(self) -> None:
        await self.start(0, is_first_start=True)
        await self.wait(lambda: self.running[0].leads(), "nobody leads")
        self.assertFalse(self.running[0].group.takes_orders())
        await self.start(1, 2, 3, 4, is_first_start=True)
        await self.wait_for_voters(0, 1, 2, 3, 4)
        self.assertTrue(all(box.group.takes_orders() for box in self.running))

    async def test_only_a_confirmed_leader_says_that_a_replica_was_removed(self) -> None:
        await self.start(0, is_first_start=True)
        box = self.running[0]
        await self.wait(box.leads, "nobody leads")
        applicant = Applicant(replica="removed", address="127.0.0.1:1", cluster="known")
        unconfirmed = mock.patch.object(box.node, "confirm", side_effect=UnavailableError("no"))
        undone = mock.patch.object(Replica, "is_members_committed", return_value=False)
        cases: tuple[tuple[str, AbstractContextManager[object], type], ...] = (
            ("no quorum confirms it", unconfirmed, NotLeader),
            ("the removal may be undone", undone, NotLeader),
            ("confirmed and final", nullcontext(), NotAMember),
        )
        for name, patch, expected in cases:
            with self.subTest(name), patch:
                async with asyncio.timeout(PATIENCE):
                    self.assertIsInstance(await box.group._admit(applicant), expected)

    async def test_an_admission_that_is_sent_again_is_accepted_again(self) -> None:
        """The client sends it again when its answer is late, and the operator asked once."""
        await self.start(0, is_first_start=True)
        box = self.running[0]
        await self.wait(box.leads, "nobody leads")
        for _ in range(2):
            box.node.add("another", "127.0.0.1:1")
        with self.assertRaises(AgreementError):
            box.node.add("another", "127.0.0.1:2")

    async def test_an_empty_box_never_founds_a_second_group(self) -> None:
        await self.start(0)
        with mock.patch.object(ControlNode, "found") as found:
            await asyncio.sleep(1.0)
            found.assert_not_called()
        self.assertIsNone(self.running[0].node.replica)

    async def test_two_wiped_boxes_come_back_as_new_replicas(self) -> None:
        await self.start(0, 1, 2, 3, 4, is_first_start=True)
        await self.wait_for_voters(0, 1, 2, 3, 4)
        await self.put(7)
        old = {self.boxes[self.addresses[number]].node.identity.replica for number in (0, 1)}
        await self.stop(0, 1)
        for number in (0, 1):
            self.boxes[self.addresses[number]].wipe()
        await self.start(0, 1)
        await self.wait_for_voters(0, 1, 2, 3, 4)
        replica = self.running[0].node.replica
        names = {member.replica for member in replica.members.everyone()} if replica else old
        self.assertFalse(names & old)
        await self.wait(
            lambda: all(box.node.state.documents.document.version == 7 for box in self.running),
            "the document is not everywhere",
        )

    async def test_a_box_gone_for_good_is_replaced_by_one_at_another_address(self) -> None:
        await self.start(0, 1, 2, 3, 4, is_first_start=True)
        await self.wait_for_voters(0, 1, 2, 3, 4)
        await self.stop(0)
        await self.start(5)
        await self.wait_for_voters(1, 2, 3, 4, 5)
        # The old box comes back with its old disk: it is no member and must start anew.
        await self.start(0)
        await self.wait_for_voters(0, 1, 2, 3, 4, 5)

    async def test_all_boxes_stopped_at_once_come_back_with_what_was_accepted(self) -> None:
        await self.start(0, 1, 2, 3, 4, is_first_start=True)
        await self.wait_for_voters(0, 1, 2, 3, 4)
        await self.put(7)
        await self.stop(0, 1, 2, 3, 4)
        await self.start(0, 1, 2, 3, 4)
        await self.wait_for_voters(0, 1, 2, 3, 4)
        await self.put(8)
        await self.wait(
            lambda: all(box.node.state.documents.document.version == 8 for box in self.running),
            "the document is not everywhere",
        )

    async def test_an_evacuation_sent_to_any_box_survives_wipes_and_the_loss_of_all(self) -> None:
        await self.start(0, 1, 2, 3, 4, is_first_start=True)
        await self.wait_for_voters(0, 1, 2, 3, 4)
        follower = next(box for box in self.running if not box.leads())
        leader = Leader(follower.node, follower.group, follower.client)
        command = EvacuateDataCentre(data_centre="dha", call="c", operator="registry", at=1.0)
        reply = await leader.submit(command)
        self.assertEqual(reply, EvacuationNoted(is_changed=True))
        await self.stop(0, 1)
        for number in (0, 1):
            self.boxes[self.addresses[number]].wipe()
        await self.start(0, 1)
        await self.wait_for_voters(0, 1, 2, 3, 4)
        await self.stop(0, 1, 2, 3, 4)
        await self.start(0, 1, 2, 3, 4)

        def holds() -> bool:
            return all(
                box.node.state.evacuations.list_for_entries().data_centres == ("dha",)
                for box in self.running
            )

        await self.wait(holds, "all boxes hold the evacuation")

    async def test_followers_know_how_fresh_they_are(self) -> None:
        await self.start(0, 1, 2, 3, 4, is_first_start=True)
        await self.wait_for_voters(0, 1, 2, 3, 4)
        await self.wait(
            lambda: all((box.node.state_age() or 9.0) < 1.0 for box in self.running),
            "a follower is not fresh",
        )
        # Two of five are no quorum: neither the leader among them nor a follower stays fresh.
        await self.stop(2, 3, 4)

        def holds() -> bool:
            ages = [box.node.state_age() for box in self.running]
            return all(age is None or age > 1.0 for age in ages)

        await self.wait(holds, "a box without a quorum calls itself fresh")


if __name__ == "__main__":
    unittest.main()
