"""Room for results, and what pools make of what they promise."""

import unittest

from damsonlane.pools import ResultRoom, YieldedWork
from damsonlane.pools._room import UNKNOWN_SECONDS
from damsonlane.pools._throughput import SHARE_RANGE


class ResultRoomTest(unittest.TestCase):
    def test_what_a_target_lacks_is_believed_for_a_while(self) -> None:
        room = ResultRoom(100, keep_seconds=4.0)
        room.settle(0, {"h1": 20}, 0.0)
        room.note_refused(80, 10, 1.0)
        self.assertEqual(room.free_bytes(1.1), 0)
        self.assertTrue(room.was_refused_lately(1.1))
        self.assertEqual(room.free_bytes(1.0 + UNKNOWN_SECONDS), 80)
        self.assertFalse(room.was_refused_lately(1.0 + UNKNOWN_SECONDS))

    def test_results_that_are_freed_leave_room_whoever_ordered_them(self) -> None:
        room = ResultRoom(100, keep_seconds=4.0)
        room.settle(0, {"h1": 20}, 0.0)
        room.note_refused(80, 10, 1.0)
        room.free("h1")
        self.assertEqual(room.free_bytes(1.0), 20)
        room.free("of an owner before")
        self.assertEqual(room.free_bytes(1.0), 30)

    def test_a_second_refusal_tells_of_the_rest(self) -> None:
        cases = (("while the first is believed", 1.5, 40), ("after that", 2.5, 70))
        for name, refused_at, expected in cases:
            with self.subTest(name):
                room = ResultRoom(100, keep_seconds=4.0)
                room.note_refused(30, 10, 1.0)
                room.note_refused(30, 10, refused_at)
                self.assertEqual(room.free_bytes(refused_at), expected)

    def test_room_is_taken_until_results_are_freed_or_forgotten(self) -> None:
        room = ResultRoom(100, keep_seconds=4.0)
        room.announce(40)
        self.assertEqual(room.free_bytes(0.0), 60)
        room.settle(40, {"h1": 20, "h2": 10}, 1.0)
        self.assertEqual(room.free_bytes(1.0), 70)
        self.assertTrue(room.free("h1"))
        self.assertFalse(room.free("h1"))
        self.assertEqual(room.free_bytes(1.0), 90)
        self.assertEqual(room.free_bytes(5.1), 100)


class YieldedWorkTest(unittest.TestCase):
    def test_the_share_follows_calls_that_could_have_been_full(self) -> None:
        work = YieldedWork()
        self.assertEqual(work.share(), 1.0)
        for _ in range(60):
            work.note(3, 5, 0.3, 0.37)
        self.assertAlmostEqual(work.share(), 3 / 5 * 0.37 / 0.3, places=2)

    def test_a_few_odd_calls_close_no_pool(self) -> None:
        work = YieldedWork()
        for _ in range(60):
            work.note(1, 30, 9.0, 0.37)
        self.assertEqual(work.share(), SHARE_RANGE[0])


if __name__ == "__main__":
    unittest.main()
