"""Requests that are served late: which are kept, when they run, and what they cost in-time work."""

import hashlib
import unittest
from collections.abc import Sequence
from dataclasses import replace

from damsonlane.codec import decode_bytes, encode_bytes
from damsonlane.pools import CallCapacity, PieceOrder, PieceQueue, Selection, WaitingPiece
from damsonlane.pools.tests.simulation import LoadPattern, LoadPeak, RequestClass, Simulation

ORDER = PieceOrder(
    number=1,
    request="r",
    stage=0,
    piece=0,
    material_key="k",
    inputs=(),
    left_seconds=6.0,
    aim_left_seconds=0.1,
    give_up_left_seconds=2.0,
    rank=0,
    result_bytes=10,
)
CAPACITY = CallCapacity(
    data_centre="dha",
    result_memory_bytes=1_000,
    seconds_until_free={"dha": 0.0},
    busy_seconds=(0.0,),
    batch=2,
    call_seconds=0.2,
    piece_seconds=0.01,
)


def make_piece(
    number: int,
    *,
    aim_left: float = 0.1,
    left: float = 6.0,
    may_be_late: bool = True,
    rank: int = 0,
) -> WaitingPiece:
    order = replace(
        ORDER,
        number=number,
        request=f"r{number}",
        aim_left_seconds=aim_left,
        left_seconds=left,
        may_be_late=may_be_late,
        rank=rank,
    )
    return WaitingPiece(order=order, sender="e", deadline_at=left, objective_at=aim_left)


def numbers(pieces: Sequence[WaitingPiece]) -> list[int]:
    return [piece.order.number for piece in pieces]


class LateWorkTest(unittest.TestCase):
    def setUp(self) -> None:
        self.queue = PieceQueue()

    def add_in_time(self, count: int) -> None:
        for number in range(100, 100 + count):
            self.queue.add(make_piece(number, aim_left=0.25))

    def select(self, now: float = 0.0, capacity: CallCapacity = CAPACITY) -> Selection:
        return self.queue.select(now, capacity)

    def test_late_work_is_kept_and_runs_by_deadline_once_no_other_work_waits(self) -> None:
        self.add_in_time(2)
        for number, left in ((1, 6.0), (2, 4.0), (3, 5.0)):
            self.queue.add(make_piece(number, left=left))
        first = self.select()
        self.assertEqual((numbers(first.batch), first.late), ([100, 101], ()))
        later = [numbers(self.select(now).batch) for now in (0.3, 0.6)]
        self.assertEqual(later, [[2, 3], [1]])

    def test_late_work_that_cannot_meet_its_deadline_is_refused_at_once(self) -> None:
        self.add_in_time(2)
        for number in range(1, 11):
            self.queue.add(make_piece(number, left=1.0))
        selection = self.select()
        self.assertEqual(numbers(selection.batch), [100, 101])
        self.assertEqual(numbers(selection.late), [7, 8, 9, 10])

    def test_work_of_entries_with_other_settings_is_refused_as_before(self) -> None:
        """An owner serves entries with and without the setting while they are restarted."""
        self.add_in_time(2)
        self.queue.add(make_piece(1, may_be_late=False))
        self.queue.add(make_piece(2))
        self.assertEqual(numbers(self.select().late), [1])

    def test_late_retries_are_kept_like_first_tries(self) -> None:
        """A caller that retries after a refusal would otherwise be refused again."""
        self.add_in_time(2)
        piece = make_piece(1)
        self.queue.add(replace(piece, order=replace(piece.order, is_late_return=True)))
        self.assertEqual(self.select().late, ())
        self.assertEqual(numbers(self.select(0.3).batch), [1])

    def test_late_work_does_not_make_the_pieces_of_its_call_late(self) -> None:
        capacity = replace(CAPACITY, batch=10)
        self.queue.add(make_piece(100, aim_left=0.235))
        for number in range(1, 9):
            self.queue.add(make_piece(number))
        self.assertEqual(numbers(self.select(0.0, capacity).batch), [100, 1, 2])

    def test_late_work_holds_at_most_half_of_the_targets(self) -> None:
        """Otherwise in-time work that arrives would find all targets busy with late work."""
        capacity = replace(CAPACITY, busy_seconds=(0.0, 0.0, 0.0, 0.0))
        for number in range(1, 9):
            self.queue.add(make_piece(number))
        taken = [numbers(self.select(0.0, capacity).batch) for _ in range(4)]
        self.assertEqual([bool(batch) for batch in taken], [True, True, False, False])

    def test_late_results_leave_memory_for_work_in_time(self) -> None:
        for number in range(1, 3):
            self.queue.add(make_piece(number))
        capacity = replace(CAPACITY, result_memory_bytes=30)
        self.assertEqual(numbers(self.select(0.0, capacity).batch), [1])

    def test_late_work_is_withdrawn_and_returned_like_other_work(self) -> None:
        """Guards against pieces that stay at an owner whose sender or role is gone."""
        self.add_in_time(2)
        for number in (1, 2, 3):
            self.queue.add(make_piece(number))
        self.select()
        self.assertEqual(len(self.queue), 3)
        self.queue.add(make_piece(1))
        self.queue.cancel("e", 1)
        self.assertEqual(len(self.queue), 2)
        self.assertEqual(sorted(numbers(self.queue.take_all())), [2, 3])
        self.add_in_time(2)
        self.queue.add(make_piece(4))
        self.select()
        self.queue.cancel_all("e")
        self.assertEqual(len(self.queue), 0)

    def test_late_work_expires_at_its_deadline(self) -> None:
        self.add_in_time(2)
        self.queue.add(make_piece(1, left=2.0))
        self.select()
        self.assertEqual(numbers(self.queue.take_expired(1.9, CAPACITY)), [1])


class RefusePolicyTest(unittest.TestCase):
    def test_orders_of_earlier_releases_are_refused_when_late(self) -> None:
        data = encode_bytes(ORDER, PieceOrder).replace(b',"may_be_late":false', b"")
        self.assertNotIn(b"may_be_late", data)
        self.assertFalse(decode_bytes(data, PieceOrder).may_be_late)

    def test_choices_are_those_of_the_queue_without_the_policy(self) -> None:
        """Guards against a change of choices where the policy is off; the digest is older."""
        classes = (
            RequestClass(rank=0, rate=6.0, pieces=(1, 2, 3), result_bytes=1, aim_seconds=0.75),
            RequestClass(rank=1, rate=7.0, pieces=(1, 4), result_bytes=1, aim_seconds=1.5),
            RequestClass(rank=2, rate=5.0, pieces=(6,), result_bytes=1, aim_seconds=2.5),
        )
        peak = LoadPeak(request_class=1, start=1, end=4, times=2.4)
        pattern = LoadPattern(classes=classes, peaks=(peak,), seconds=6.0, retry_seconds=0.6)
        digest = hashlib.sha256()
        simulation = Simulation(pattern, 7)
        select = simulation._queue.select

        def record(now: float, capacity: CallCapacity) -> Selection:
            selection = select(now, capacity)
            digest.update(f"{numbers(selection.batch)}{numbers(selection.late)}".encode())
            return selection

        simulation._queue.select = record  # type: ignore[method-assign]
        simulation.run()
        self.assertEqual(digest.hexdigest()[:16], "bf7593e26c693ea4")
