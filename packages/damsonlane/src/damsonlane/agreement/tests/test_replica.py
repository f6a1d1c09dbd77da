"""Cases that the stateful machine found, told step by step."""

import random
import unittest

from damsonlane.agreement import (
    AppendRequest,
    Envelope,
    HardState,
    Member,
    Members,
    Replica,
    Snapshot,
    Stored,
)
from damsonlane.agreement.tests.group import Box, Fault, Group


def _elect(group: Group) -> Box:
    group.settle(100, until=lambda: group.leader() is not None)
    leader = group.leader()
    assert leader is not None
    group.settle(8)
    return leader


class RemovedLeaderTest(unittest.TestCase):
    def test_leader_that_removed_itself_still_campaigns_until_that_is_committed(self) -> None:
        """Its log is the longest, so without it the rest can't elect anyone."""
        group = Group(3, Fault.NONE, seed=1)
        leader = _elect(group)
        lost = next(name for name in group.boxes if name != leader.name)
        del group.boxes[lost]
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
    def test_a_group_that_was_killed_elects_a_leader_within_one_election_time(self) -> None:
        """Nobody serves until then, and no leader is left that could be disturbed."""
        for seed in range(20):
            with self.subTest(seed=seed):
                self.assertIsNotNone(self._find_leader_after_kill(seed))

    def _find_leader_after_kill(self, seed: int) -> Box | None:
        """Return the leader one election time after a group was killed and started."""
        group = Group(5, Fault.NONE, seed=seed)
        _elect(group)
        for box in group.boxes.values():
            box.crash()
        group.flying.clear()
        for box in group.boxes.values():
            box.start()
        group.settle(8, until=lambda: group.leader() is not None)
        return group.leader()

    def test_a_replica_that_starts_beside_a_leader_leaves_it_in_place(self) -> None:
        group = Group(3, Fault.NONE, seed=1)
        leader = _elect(group)
        follower = next(box for box in group.boxes.values() if box is not leader)
        follower.crash()
        group.settle(20)
        follower.start()
        group.settle(100)
        self.assertIs(group.leader(), leader)


class FreshnessTest(unittest.TestCase):
    """A replica must never call its state newer than it is."""

    def setUp(self) -> None:
        members = Members(
            voters=tuple(Member(replica=name, address=name) for name in ("a", "b", "c"))
        )
        snapshot = Snapshot(index=1, term=1, members=members, state="")
        self.replica = Replica(
            cluster="g",
            name="a",
            stored=Stored(hard_state=HardState(term=1), snapshot=snapshot),
            election_seconds=1.0,
            randomness=random.Random(1),
            now=0.0,
        )

    def hear(self, now: float, *, previous: int = 1, commit: int = 1, age: float | None) -> None:
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

    def test_nothing_is_known_before_the_leader_said_so(self) -> None:
        self.assertEqual(self.replica.state_age(0.0), float("inf"))
        self.hear(0.1, age=None)
        self.assertEqual(self.replica.state_age(0.1), float("inf"))

    def test_age_grows_from_what_the_leader_told(self) -> None:
        self.hear(1.0, age=0.2)
        self.assertAlmostEqual(self.replica.state_age(1.5), 0.7)

    def test_a_message_that_it_cannot_follow_makes_it_no_newer(self) -> None:
        self.hear(1.0, age=0.0)
        self.hear(1.8, previous=9, commit=9, age=0.0)
        self.assertAlmostEqual(self.replica.state_age(1.8), 0.8)

    def test_a_commit_that_it_does_not_hold_makes_it_no_newer(self) -> None:
        self.hear(1.0, age=0.0)
        self.hear(1.8, commit=9, age=0.0)
        self.assertAlmostEqual(self.replica.state_age(1.8), 0.8)

    def test_a_frozen_replica_is_old_before_its_first_tick(self) -> None:
        self.hear(1.0, age=0.0)
        self.assertAlmostEqual(self.replica.state_age(31.0), 30.0)

    def test_a_new_leader_must_say_it_anew(self) -> None:
        self.hear(1.0, age=0.0)
        request = AppendRequest(
            term=2, previous_index=1, previous_term=1, entries=(), commit=1, round=0
        )
        self.replica.receive(1.1, Envelope(cluster="g", sender="c", receiver="a", message=request))
        self.assertEqual(self.replica.state_age(1.1), float("inf"))

    def test_a_leader_is_as_new_as_its_quorum(self) -> None:
        group = Group(3, Fault.NONE, seed=1)
        leader = _elect(group)
        replica = leader.replica
        assert replica is not None
        self.assertLess(replica.state_age(leader.clock), 1.0)
        self.assertGreater(replica.state_age(leader.clock + 5.0), 4.9)


if __name__ == "__main__":
    unittest.main()
