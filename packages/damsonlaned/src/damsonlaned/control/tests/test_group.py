"""Founding and repair of the control group, with replicas on loopback ports."""

import asyncio
import unittest
from contextlib import AbstractContextManager, nullcontext
from unittest import mock

from damsonlane.cluster import PackedDocument, ReplaceDocument
from damsonlane.consensus import JoinCandidate, Replica
from damsonlane.errors import GroupChangeError, UnavailableError
from damsonlane.evacuation import EvacuateDataCentre, EvacuationRecorded
from damsonlane_rpc import (
    NotAMember,
    NotLeader,
)
from damsonlaned.control import ControlNode
from damsonlaned.control._leader_client import LeaderClient
from damsonlaned.control.tests.boxes import TEST_TIMEOUT_SECONDS, GroupCase


class GroupTest(GroupCase):
    async def put(self, version: int) -> None:
        document = PackedDocument.pack(version, b"text")
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            await self.running[0].client.submit(
                [ReplaceDocument(document=document)], TEST_TIMEOUT_SECONDS
            )

    async def test_the_seeds_found_one_group_and_the_others_join(self) -> None:
        await self.start(4, 2, 0, 3, 1, is_first_start=True)
        await self.wait_for_voters(0, 1, 2, 3, 4)
        clusters = {box.node.identity.cluster for box in self.running}
        self.assertEqual(len(clusters), 1)

    async def test_commands_are_refused_until_the_group_has_its_full_size(self) -> None:
        await self.start(0, is_first_start=True)
        await self.wait(lambda: self.running[0].is_leader(), "no box leads")
        self.assertFalse(self.running[0].group.accepts_commands())
        await self.start(1, 2, 3, 4, is_first_start=True)
        await self.wait_for_voters(0, 1, 2, 3, 4)
        self.assertTrue(all(box.group.accepts_commands() for box in self.running))

    async def test_only_a_confirmed_leader_answers_that_a_replica_was_removed(self) -> None:
        await self.start(0, is_first_start=True)
        box = self.running[0]
        await self.wait(box.is_leader, "no box leads")
        applicant = JoinCandidate(replica="removed", address="127.0.0.1:1", cluster="known")
        unconfirmed = mock.patch.object(box.node, "confirm", side_effect=UnavailableError("no"))
        undone = mock.patch.object(Replica, "is_members_committed", return_value=False)
        cases: tuple[tuple[str, AbstractContextManager[object], type], ...] = (
            ("no quorum confirms it", unconfirmed, NotLeader),
            ("the removal may be undone", undone, NotLeader),
            ("confirmed and final", nullcontext(), NotAMember),
        )
        for name, patch, expected in cases:
            with self.subTest(name), patch:
                async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                    self.assertIsInstance(await box.group._answer_join(applicant), expected)

    async def test_a_retried_admission_is_accepted(self) -> None:
        """Guards against an error for an operator whose client retried a call with a late reply."""
        await self.start(0, is_first_start=True)
        box = self.running[0]
        await self.wait(box.is_leader, "no box leads")
        for _ in range(2):
            box.node.add("another", "127.0.0.1:1")
        with self.assertRaises(GroupChangeError):
            box.node.add("another", "127.0.0.1:2")

    async def test_an_empty_box_never_founds_a_second_group(self) -> None:
        await self.start(0)
        with mock.patch.object(ControlNode, "found_group") as found:
            await asyncio.sleep(1.0)
            found.assert_not_called()
        self.assertIsNone(self.running[0].node.replica)

    async def test_two_erased_boxes_rejoin_as_new_replicas(self) -> None:
        await self.start(0, 1, 2, 3, 4, is_first_start=True)
        await self.wait_for_voters(0, 1, 2, 3, 4)
        await self.put(7)
        old = {self.boxes[self.addresses[number]].node.identity.replica for number in (0, 1)}
        await self.stop(0, 1)
        for number in (0, 1):
            self.boxes[self.addresses[number]].erase()
        await self.start(0, 1)
        await self.wait_for_voters(0, 1, 2, 3, 4)
        replica = self.running[0].node.replica
        names = {member.replica for member in replica.members.all_members()} if replica else old
        self.assertFalse(names & old)
        await self.wait(
            lambda: all(box.node.state.documents.document.version == 7 for box in self.running),
            "the document is not everywhere",
        )

    async def test_a_lost_box_is_replaced_by_one_at_another_address(self) -> None:
        await self.start(0, 1, 2, 3, 4, is_first_start=True)
        await self.wait_for_voters(0, 1, 2, 3, 4)
        await self.stop(0)
        await self.start(5)
        await self.wait_for_voters(1, 2, 3, 4, 5)
        # The old box restarts with its old disk: it was removed and must rejoin as a new replica.
        await self.start(0)
        await self.wait_for_voters(0, 1, 2, 3, 4, 5)

    async def test_accepted_changes_survive_a_stop_of_all_boxes(self) -> None:
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

    async def test_an_evacuation_sent_to_a_follower_survives_erased_and_stopped_boxes(
        self,
    ) -> None:
        await self.start(0, 1, 2, 3, 4, is_first_start=True)
        await self.wait_for_voters(0, 1, 2, 3, 4)
        follower = next(box for box in self.running if not box.is_leader())
        leader = LeaderClient(follower.node, follower.group, follower.client)
        command = EvacuateDataCentre(data_centre="dha", call="c", operator="registry", at=1.0)
        reply = await leader.submit(command)
        self.assertEqual(reply, EvacuationRecorded(is_changed=True))
        await self.stop(0, 1)
        for number in (0, 1):
            self.boxes[self.addresses[number]].erase()
        await self.start(0, 1)
        await self.wait_for_voters(0, 1, 2, 3, 4)
        await self.stop(0, 1, 2, 3, 4)
        await self.start(0, 1, 2, 3, 4)

        def is_true() -> bool:
            return all(
                box.node.state.evacuations.list_for_entries().data_centres == ("dha",)
                for box in self.running
            )

        await self.wait(is_true, "not all boxes hold the evacuation")

    async def test_the_state_age_grows_without_a_quorum(self) -> None:
        await self.start(0, 1, 2, 3, 4, is_first_start=True)
        await self.wait_for_voters(0, 1, 2, 3, 4)
        await self.wait(
            lambda: all((box.node.state_age() or 9.0) < 1.0 for box in self.running),
            "the state of a follower is not current",
        )
        # Two of five are no quorum, so the state of both becomes stale, also at a leader.
        await self.stop(2, 3, 4)

        def is_true() -> bool:
            ages = [box.node.state_age() for box in self.running]
            return all(age is None or age > 1.0 for age in ages)

        await self.wait(is_true, "a box without a quorum reports a current state")


if __name__ == "__main__":
    unittest.main()
