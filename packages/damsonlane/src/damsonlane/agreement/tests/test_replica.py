"""Cases that the stateful machine found, told step by step."""

import unittest

from damsonlane.agreement import Member
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


if __name__ == "__main__":
    unittest.main()
