"""Regression tests of single replicas and groups, and of the reported staleness."""

import random
import unittest

from damsonlane.consensus import (
    AppendRequest,
    Envelope,
    HardState,
    Member,
    Members,
    PersistentState,
    Replica,
    Snapshot,
)
from damsonlane.consensus.tests.group import Box, Fault, Group


def _elect(group: Group) -> Box:
    group.settle(100, until=lambda: group.leader() is not None)
    leader = group.leader()
    assert leader is not None
    group.settle(8)
    return leader


class RemovedLeaderTest(unittest.TestCase):
    def test_leader_that_removes_itself_campaigns_until_the_removal_is_committed(self) -> None:
        """Otherwise no leader can be elected, since its log is the longest."""
        group = Group(3, Fault.NONE, seed=1)
        leader = _elect(group)
        removed_box = next(name for name in group.boxes if name != leader.name)
        del group.boxes[removed_box]
        group.boxes["new"] = Box(group, "new")
        member = Member(replica="new", address="new")
        group.change_members(leader.name, lambda replica, now: replica.add_learner(now, member))
        group.settle(20)
        group.change_members(leader.name, lambda replica, now: replica.remove(now, leader.name))
        group.flying.clear()
        leader.crash()
        group.settle(20)
        leader.start()
        group.settle(100, until=lambda: group.leader() is not None)
        self.assertIsNotNone(group.leader())


class StartTest(unittest.TestCase):
    def test_a_restarted_group_elects_a_leader_within_one_election_time(self) -> None:
        """Entries cannot serve until then, and there is no leader left to disturb."""
        for seed in range(20):
            with self.subTest(seed=seed):
                self.assertIsNotNone(self._find_leader_after_kill(seed))

    def _find_leader_after_kill(self, seed: int) -> Box | None:
        """Return the leader one election time after all boxes crashed and restarted."""
        group = Group(5, Fault.NONE, seed=seed)
        _elect(group)
        for box in group.boxes.values():
            box.crash()
        group.flying.clear()
        for box in group.boxes.values():
            box.start()
        group.settle(8, until=lambda: group.leader() is not None)
        return group.leader()

    def test_a_restarted_replica_does_not_depose_the_leader(self) -> None:
        group = Group(3, Fault.NONE, seed=1)
        leader = _elect(group)
        follower = next(box for box in group.boxes.values() if box is not leader)
        follower.crash()
        group.settle(20)
        follower.start()
        group.settle(100)
        self.assertIs(group.leader(), leader)


class CatchUpTest(unittest.TestCase):
    def test_a_replica_that_was_down_during_an_election_catches_up_once_it_is_back(self) -> None:
        """Otherwise the new leader sends it nothing but a snapshot, every five election times."""
        group = Group(5, Fault.NONE, seed=1)
        old = _elect(group)
        down = next(box for box in group.boxes.values() if box is not old)
        down.crash()
        old.crash()
        group.settle(60, until=lambda: group.leader() is not None)
        group.settle(8)
        down.start()
        group.settle(4)
        leader = group.leader()
        assert leader is not None
        assert leader.replica is not None
        self.assertEqual(leader.replica.match_index(down.name), leader.replica.last_index)


class StalenessTest(unittest.TestCase):
    """A replica must never report its state as fresher than it is."""

    def setUp(self) -> None:
        members = Members(
            voters=tuple(Member(replica=name, address=name) for name in ("a", "b", "c"))
        )
        snapshot = Snapshot(index=1, term=1, members=members, state="")
        self.replica = Replica(
            cluster="g",
            name="a",
            stored=PersistentState(hard_state=HardState(term=1), snapshot=snapshot),
            election_seconds=1.0,
            randomness=random.Random(1),
            now=0.0,
        )

    def receive_append(
        self, now: float, *, previous: int = 1, commit: int = 1, age: float | None
    ) -> None:
        request = AppendRequest(
            term=1,
            previous_index=previous,
            previous_term=1,
            entries=(),
            commit=commit,
            round=0,
            quorum_age=age,
        )
        envelope = Envelope(cluster="g", sender="b", receiver="a", message=request)
        self.replica.receive(now, envelope)

    def test_age_is_unknown_before_the_leader_reports_it(self) -> None:
        self.assertEqual(self.replica.state_age(0.0), float("inf"))
        self.receive_append(0.1, age=None)
        self.assertEqual(self.replica.state_age(0.1), float("inf"))

    def test_age_grows_from_the_age_that_the_leader_reports(self) -> None:
        self.receive_append(1.0, age=0.2)
        self.assertAlmostEqual(self.replica.state_age(1.5), 0.7)

    def test_a_message_with_a_gap_in_the_log_does_not_reduce_the_age(self) -> None:
        self.receive_append(1.0, age=0.0)
        self.receive_append(1.8, previous=9, commit=9, age=0.0)
        self.assertAlmostEqual(self.replica.state_age(1.8), 0.8)

    def test_a_commit_index_beyond_the_log_does_not_reduce_the_age(self) -> None:
        self.receive_append(1.0, age=0.0)
        self.receive_append(1.8, commit=9, age=0.0)
        self.assertAlmostEqual(self.replica.state_age(1.8), 0.8)

    def test_a_thawed_replica_reports_its_age_before_its_first_tick(self) -> None:
        self.receive_append(1.0, age=0.0)
        self.assertAlmostEqual(self.replica.state_age(31.0), 30.0)

    def test_age_is_unknown_until_a_new_leader_reports_it(self) -> None:
        self.receive_append(1.0, age=0.0)
        request = AppendRequest(
            term=2, previous_index=1, previous_term=1, entries=(), commit=1, round=0
        )
        self.replica.receive(1.1, Envelope(cluster="g", sender="c", receiver="a", message=request))
        self.assertEqual(self.replica.state_age(1.1), float("inf"))

    def test_age_of_a_leader_is_the_time_since_a_quorum_replied(self) -> None:
        group = Group(3, Fault.NONE, seed=1)
        leader = _elect(group)
        replica = leader.replica
        assert replica is not None
        self.assertLess(replica.state_age(leader.clock), 1.0)
        self.assertGreater(replica.state_age(leader.clock + 5.0), 4.9)


if __name__ == "__main__":
    unittest.main()
