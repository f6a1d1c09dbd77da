"""Founding and repair of the control group, with real replicas on loopback ports."""

import asyncio
import unittest
from contextlib import AbstractContextManager, nullcontext
from unittest import mock

from damsonlane.agreement import Applicant, Replica
from damsonlane.cluster import PackedDocument, ReplaceDocument
from damsonlane.errors import AgreementError, UnavailableError
from damsonlane.evacuation import EvacuateDataCentre, EvacuationNoted
from damsonlane_rpc import (
    NotAMember,
    NotLeader,
)
from damsonlaned.control import ControlNode
from damsonlaned.control._leader import Leader
from damsonlaned.control.tests.boxes import PATIENCE, GroupCase


class GroupTest(GroupCase):
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
