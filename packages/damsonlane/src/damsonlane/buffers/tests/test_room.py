"""Bodies and responses that wait for room in the budget, without a network."""

import unittest

from damsonlane.buffers import BufferAccount, BufferBudget, RoomRequest
from damsonlane.buffers._budget import HELD_UP_SECONDS, SMALL_BYTES, WAIT_SECONDS

LIMIT = 16 * 2**20
LATER = 100.0


class RoomTest(unittest.TestCase):
    def setUp(self) -> None:
        self.budget = BufferBudget(LIMIT)

    def open(self, size: int = 0, *, reads_body: bool = False) -> BufferAccount:
        account = self.budget.open(0.0)
        if reads_body:
            self.budget.begin_body(account, 0.0)
        self.budget.set_unread(account, "body", size)
        return account

    def find_evicted(self, waiting: BufferAccount, waited_seconds: float) -> list[BufferAccount]:
        waiting.room_requests = 1
        requests = [RoomRequest(waiting, 2**20)]
        evictions = self.budget.list_room_evictions(requests, LATER, waited_seconds)
        return [eviction.account for eviction in evictions]

    def test_small_bodies_go_on_beside_large_ones(self) -> None:
        """Guards against ordinary callers that wait for a crowd which sends large bodies."""
        large, _, small = self.open(LIMIT // 2), self.open(LIMIT * 3 // 8), self.open()
        self.assertFalse(self.budget.has_room(large, 1))
        self.assertFalse(self.budget.has_room(small, 2**20))
        self.assertTrue(self.budget.has_room(small, SMALL_BYTES))

    def test_a_single_body_never_waits(self) -> None:
        """Guards against requests that are refused in calm."""
        self.assertTrue(self.budget.has_room(self.open(LIMIT - 1), 1))

    def test_the_one_nearest_to_its_end_goes_on_first(self) -> None:
        """Guards against bodies that all wait for each other."""
        accounts = [self.open(size * 2**20) for size in (3, 6, 3)]
        requests = [RoomRequest(account, 2**20) for account in accounts]
        self.assertIs(self.budget.choose_request(requests), requests[1])
        requests = [RoomRequest(account, 8 * 2**20) for account in accounts]
        self.assertIsNone(self.budget.choose_request(requests))
        self.assertIsNone(self.budget.choose_request(()))

    def test_callers_that_hold_bytes_up_are_first(self) -> None:
        """Guards against callers that pay for others which neither send nor take anything."""
        waiting, moving = self.open(4 * 2**20, reads_body=True), self.open(2**20, reads_body=True)
        stalled, served = self.open(5 * 2**20, reads_body=True), self.open(6 * 2**20)
        moving.arrived_at = LATER - HELD_UP_SECONDS / 2
        self.assertEqual(self.find_evicted(waiting, 0.0), [stalled])
        self.budget.close(stalled)
        self.assertEqual(self.find_evicted(waiting, WAIT_SECONDS / 2), [])
        self.assertEqual(self.find_evicted(waiting, WAIT_SECONDS), [moving])
        self.budget.close(moving)
        self.assertEqual(self.find_evicted(waiting, WAIT_SECONDS), [served])

    def test_time_alone_disconnects_nobody_unless_it_is_limited(self) -> None:
        """Guards against slow callers that are disconnected in calm."""
        for limits_time in (True, False):
            budget = BufferBudget(LIMIT, limits_time=limits_time)
            account = budget.open(0.0)
            budget.set_unsent(account, 2**20, 0.0, 2**20)
            account.paused_at = 0.0
            self.assertEqual(len(budget.list_evictions(LATER)), int(limits_time))


if __name__ == "__main__":
    unittest.main()
