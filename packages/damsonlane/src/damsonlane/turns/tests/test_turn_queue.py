"""The queue of connections that have much to parse, without a network."""

import unittest
from collections import Counter

from damsonlane.turns import EVENTS_PER_GRANT, GRANTS_PER_TURN, TurnQueue


class TurnQueueTest(unittest.TestCase):
    def test_many_connections_share_a_bounded_part_of_each_turn(self) -> None:
        """Guards against turns that grow with the number of connections that have much to parse."""
        queue = TurnQueue[int](lambda member: True)
        for member in range(240):
            queue.join(member)
        granted = Counter[int]()
        for _ in range(1_200):
            members = queue.take()
            self.assertLessEqual(len(members) * EVENTS_PER_GRANT, GRANTS_PER_TURN * 64)
            for member in members:
                granted[member] += 1
                queue.join(member)
        self.assertEqual(set(granted.values()), {1_200 * GRANTS_PER_TURN // 240})

    def test_a_newcomer_waits_for_one_grant_of_each_other(self) -> None:
        """Guards against requests that never get a turn while others go on and on."""
        queue = TurnQueue[int](lambda member: True)
        for member in range(10):
            queue.join(member)
        queue.join(99)
        turns = 0
        while 99 not in (members := queue.take()):
            turns += 1
            for member in members:
                queue.join(member)
        self.assertEqual(turns, 10 // GRANTS_PER_TURN)

    def test_members_that_gave_up_take_no_grants(self) -> None:
        queue = TurnQueue[int](lambda member: member >= 5)
        for member in range(6):
            queue.join(member)
        self.assertEqual(queue.take(), (5,))
        self.assertEqual(len(queue), 0)
        self.assertEqual(queue.take(), ())


if __name__ == "__main__":
    unittest.main()
