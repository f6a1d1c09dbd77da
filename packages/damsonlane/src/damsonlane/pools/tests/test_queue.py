"""The queue of a pool: order, load shedding and wait estimates."""

import unittest
from dataclasses import replace

from damsonlane.pools import (
    CallCapacity,
    PieceOrder,
    PieceQueue,
    WaitingPiece,
)

ORDER = PieceOrder(
    number=1,
    request="r",
    stage=0,
    piece=0,
    material_key="k",
    inputs=(),
    left_seconds=5.0,
    aim_left_seconds=1.0,
    give_up_left_seconds=2.0,
    rank=0,
    result_bytes=10,
)


#: A piece whose latency objective is later than that of all others.
LATEST = replace(ORDER, aim_left_seconds=10.0)


def make_piece(
    number: int, *, objective_at: float = 1.0, due_at: float = 5.0, rank: int = 0
) -> WaitingPiece:
    order = replace(ORDER, number=number, request=f"r{number}", rank=rank)
    return WaitingPiece(order=order, sender="e1", deadline_at=due_at, objective_at=objective_at)


CAPACITY = CallCapacity(
    data_centre="dha",
    result_memory_bytes=1000,
    seconds_until_free={"dha": 0.0, "johar": 0.1, "model-town": 1.0},
    busy_seconds=(0.0,),
    batch=10,
    call_seconds=0.2,
    piece_seconds=0.01,
)


def select(
    queue: PieceQueue, *, limit: int = 10, result_memory: int = 1000, now: float = 0.0
) -> list[int]:
    selection = queue.select(now, replace(CAPACITY, batch=limit, result_memory_bytes=result_memory))
    return [piece.order.number for piece in selection.batch]


class PieceQueueTest(unittest.TestCase):
    def setUp(self) -> None:
        self.queue = PieceQueue()

    def test_the_earliest_objective_goes_first(self) -> None:
        for number, objective_at in ((1, 3.0), (2, 1.0), (3, 2.0)):
            self.queue.add(make_piece(number, objective_at=objective_at))
        self.assertEqual(select(self.queue, limit=2), [2, 3])
        self.assertEqual(select(self.queue), [1])

    def test_a_piece_that_misses_its_objective_goes_after_others(self) -> None:
        self.queue.add(make_piece(1, objective_at=0.1))
        self.queue.add(make_piece(2, objective_at=4.0))
        self.assertEqual(select(self.queue), [2, 1])

    def test_late_pieces_go_after_all_that_can_meet_their_objective(self) -> None:
        begun = replace(ORDER, number=1, inputs=("h",))
        self.queue.add(WaitingPiece(order=begun, sender="e1", deadline_at=99.0, objective_at=0.1))
        self.queue.add(make_piece(2, objective_at=90.0, due_at=99.0, rank=9))
        self.queue.add(make_piece(3, objective_at=0.05, due_at=99.0))
        self.assertEqual(select(self.queue), [2, 1, 3])

    def test_rank_does_not_affect_the_order_of_pieces_in_time(self) -> None:
        self.queue.add(make_piece(1, objective_at=2.0, rank=0))
        self.queue.add(make_piece(2, objective_at=1.0, rank=9))
        self.assertEqual(select(self.queue, limit=1), [2])
        self.assertEqual(select(self.queue, limit=1), [1])

    def test_rank_decides_what_is_refused(self) -> None:
        for number, rank in ((1, 2), (2, 0), (3, 1)):
            self.queue.add(make_piece(number, objective_at=0.3, rank=rank))
        selection = self.queue.select(0.0, replace(CAPACITY, batch=1))
        self.assertEqual([piece.order.number for piece in selection.batch], [2])
        self.assertEqual([piece.order.number for piece in selection.late], [3, 1])

    def test_pieces_past_their_deadline_are_removed_before_they_run(self) -> None:
        self.queue.add(make_piece(1, due_at=0.2))
        self.queue.add(make_piece(2, due_at=0.3))
        selection = self.queue.select(0.0, CAPACITY)
        self.assertEqual([piece.order.number for piece in selection.late], [1])
        self.assertEqual([piece.order.number for piece in selection.batch], [2])

    def test_pieces_that_would_be_late_after_others_are_refused_at_once(self) -> None:
        for number in range(5):
            self.queue.add(make_piece(number, objective_at=0.3 + number / 100))
        selection = self.queue.select(0.0, replace(CAPACITY, batch=2, busy_seconds=(0.0, 0.0)))
        self.assertEqual([piece.order.number for piece in selection.batch], [0, 1])
        self.assertEqual([piece.order.number for piece in selection.late], [4])

    def test_begun_late_requests_are_abandoned_unless_their_caller_waited_long(self) -> None:
        begun = replace(ORDER, number=9, inputs=("h",))
        for abandonable_until, late in ((0.5, [9]), (0.0, [])):
            with self.subTest(abandonable_until=abandonable_until):
                queue = PieceQueue()
                for number in range(2):
                    queue.add(make_piece(number, objective_at=9.0, due_at=20.0))
                piece = WaitingPiece(order=begun, sender="e1", deadline_at=20.0, objective_at=0.1)
                queue.add(replace(piece, abandonable_until=abandonable_until))
                selection = queue.select(0.0, replace(CAPACITY, batch=2))
                self.assertEqual([piece.order.number for piece in selection.batch], [0, 1])
                self.assertEqual([piece.order.number for piece in selection.late], late)

    def test_late_pieces_are_refused_while_no_target_is_usable(self) -> None:
        cases: tuple[tuple[str, int, float, list[int]], ...] = (
            ("a usable target, few pieces wait", 1, 0.25, []),
            ("no usable target, no time for a call", 0, 0.2, [1]),
            ("no usable target, time for a call", 0, 0.35, []),
        )
        for name, targets, objective_at, expected in cases:
            with self.subTest(name):
                queue = PieceQueue()
                queue.add(make_piece(1, objective_at=objective_at))
                late = queue.take_late(
                    0.0, replace(CAPACITY, busy_seconds=(0.0,) * targets, result_memory_bytes=0)
                )
                self.assertEqual([piece.order.number for piece in late], expected)
                self.assertEqual(len(queue), 1 - len(expected))

    def test_a_request_with_computed_stages_is_not_refused_for_its_objective(self) -> None:
        for number in range(4):
            self.queue.add(make_piece(number, objective_at=9.0, due_at=20.0))
        for number, is_begun in ((8, True), (9, False)):
            order = replace(ORDER, number=number, request=f"r{number}", is_begun=is_begun)
            self.queue.add(
                WaitingPiece(order=order, sender="e1", deadline_at=20.0, objective_at=0.5)
            )
        selection = self.queue.select(0.0, replace(CAPACITY, batch=1, call_seconds=0.4))
        self.assertEqual([piece.order.number for piece in selection.late], [9])
        self.assertEqual([piece.order.number for piece in selection.batch], [8])

    def test_begun_requests_are_finished_even_if_late(self) -> None:
        for number in range(4):
            self.queue.add(make_piece(number, objective_at=0.1))
        begun = replace(ORDER, number=9, inputs=("h",))
        self.queue.add(WaitingPiece(order=begun, sender="e1", deadline_at=5.0, objective_at=0.1))
        selection = self.queue.select(0.0, replace(CAPACITY, batch=1))
        self.assertEqual([piece.order.number for piece in selection.batch], [9])
        self.assertEqual(len(selection.late), 4)

    def test_pieces_wait_for_a_target_near_their_inputs_while_there_is_time(self) -> None:
        cases = (
            ("inputs here", "dha", 9.0, True),
            ("inputs elsewhere, time to wait", "johar", 9.0, False),
            ("inputs elsewhere, no time to wait", "johar", 0.4, True),
            ("inputs where no target is usable", "gulberg", 9.0, True),
            ("inputs where no target is free for long", "model-town", 9.0, True),
            ("little data to transfer", "", 9.0, True),
        )
        for name, home, objective_at, is_run in cases:
            with self.subTest(name):
                queue = PieceQueue()
                order = replace(ORDER, home=home, inputs=("h",))
                queue.add(
                    WaitingPiece(
                        order=order, sender="e1", deadline_at=20.0, objective_at=objective_at
                    )
                )
                self.assertEqual(bool(select(queue)), is_run)

    def test_pieces_of_one_stage_run_in_one_call(self) -> None:
        cases = (
            ("the second stage does not fit completely", 5, 1000, 9.0, [1, 2, 3]),
            ("both fit", 6, 1000, 9.0, [1, 2, 3, 4, 5, 6]),
            ("too little memory for the second one", 9, 55, 9.0, [1, 2, 3]),
            ("no time to wait", 5, 1000, 0.4, [1, 2, 3, 4, 5]),
            ("too large for any call", 2, 1000, 9.0, [1, 2]),
        )
        for name, limit, result_memory, objective_at, expected in cases:
            with self.subTest(name):
                queue = PieceQueue()
                for number in range(1, 7):
                    order = replace(ORDER, number=number, request="ab"[number > 3])
                    queue.add(
                        WaitingPiece(
                            order=order, sender="e1", deadline_at=20.0, objective_at=objective_at
                        )
                    )
                self.assertEqual(select(queue, limit=limit, result_memory=result_memory), expected)

    def test_a_target_prefers_local_pieces_among_those_that_run_at_once(self) -> None:
        for number, home in ((1, "johar"), (2, "dha"), (3, "johar"), (4, "dha")):
            order = replace(ORDER, number=number, request=f"r{number}", home=home)
            self.queue.add(
                WaitingPiece(order=order, sender="e1", deadline_at=20.0, objective_at=0.5)
            )
        capacity = replace(
            CAPACITY,
            batch=1,
            busy_seconds=(0.0, 0.0),
            seconds_until_free={"dha": 0.0, "johar": 0.3},
        )
        taken = [
            piece.order.number for _ in range(3) for piece in self.queue.select(0.0, capacity).batch
        ]
        self.assertEqual(taken, [2, 1, 4])

    def test_the_forecast_grows_with_recent_work_of_higher_priority(self) -> None:
        capacity = replace(CAPACITY, batch=100)
        for number in range(100):
            self.queue.add(make_piece(number, objective_at=9.0, due_at=20.0))
        self.assertEqual(len(self.queue.select(0.0, capacity).batch), 100)
        for number in range(100, 120):
            self.queue.add(make_piece(number, objective_at=9.0, due_at=20.0, rank=1))
        usual = self.queue.estimate_wait(
            0.0, capacity, replace(LATEST, rank=0, aim_left_seconds=19.0)
        )
        after = self.queue.estimate_wait(
            0.0, capacity, replace(LATEST, rank=2, aim_left_seconds=19.0)
        )
        later = self.queue.estimate_wait(
            60.0, capacity, replace(LATEST, rank=2, aim_left_seconds=19.0)
        )
        self.assertGreater(after, 1.5 * usual)
        self.assertEqual(later, 0.0)

    def test_the_forecast_ignores_late_pieces(self) -> None:
        for number in range(20):
            self.queue.add(make_piece(number, objective_at=0.1 if number < 10 else 9.0))
        self.assertAlmostEqual(self.queue.estimate_wait(0.0, CAPACITY, LATEST), 0.3)

    def test_the_forecast_ignores_pieces_with_later_objectives(self) -> None:
        for number in range(20):
            self.queue.add(make_piece(number, objective_at=2.0 if number < 5 else 4.0))
        for aim_left, seconds in ((1.0, 0.0), (3.0, 0.15), (5.0, 0.6)):
            with self.subTest(aim_left=aim_left):
                order = replace(ORDER, aim_left_seconds=aim_left)
                self.assertAlmostEqual(self.queue.estimate_wait(0.0, CAPACITY, order), seconds)

    def test_the_forecast_grows_with_the_queue(self) -> None:
        self.assertEqual(self.queue.estimate_wait(0.0, CAPACITY, LATEST), 0.0)
        for number in range(20):
            self.queue.add(make_piece(number))
        self.assertAlmostEqual(self.queue.estimate_wait(0.0, CAPACITY, LATEST), 0.6)
        self.assertAlmostEqual(
            self.queue.estimate_wait(0.0, replace(CAPACITY, busy_seconds=(0.0, 0.0)), LATEST), 0.3
        )

    def test_a_batch_fits_the_free_result_memory(self) -> None:
        for number in range(4):
            self.queue.add(make_piece(number))
        self.assertEqual(len(select(self.queue, result_memory=25)), 2)

    def test_result_sizes_of_pieces_with_inputs_include_a_margin(self) -> None:
        cases = (("without inputs", (), 3), ("with inputs", ("h",), 2))
        for name, inputs, expected in cases:
            with self.subTest(name):
                queue = PieceQueue()
                for number in range(3):
                    piece = make_piece(number)
                    queue.add(replace(piece, order=replace(piece.order, inputs=inputs)))
                self.assertEqual(len(select(queue, result_memory=30)), expected)

    def test_a_piece_is_queued_only_once(self) -> None:
        self.queue.add(make_piece(1))
        self.queue.add(make_piece(1, objective_at=0.0))
        self.assertEqual(select(self.queue), [1])

    def test_withdrawn_pieces_do_not_run(self) -> None:
        for number in range(3):
            self.queue.add(make_piece(number))
        self.queue.cancel("e1", 1)
        self.queue.cancel("e2", 2)
        self.assertEqual(select(self.queue), [0, 2])
        self.queue.add(make_piece(5))
        self.queue.cancel_all("e1")
        self.assertEqual(len(self.queue), 0)

    def test_a_pool_with_lower_throughput_keeps_fewer_waiting(self) -> None:
        for share, late in ((1.0, []), (0.5, [3, 4])):
            with self.subTest(share=share):
                queue = PieceQueue()
                for number in range(1, 5):
                    queue.add(make_piece(number, objective_at=0.5))
                capacity = replace(CAPACITY, batch=2, throughput_ratio=share)
                selection = queue.select(0.0, capacity)
                self.assertEqual([piece.order.number for piece in selection.late], late)


class LimitedPoolTest(unittest.TestCase):
    """Targets with rate limits below their throughput.

    Guards against a division by zero where the limited targets of a pool together take less than
    one piece within the time of a call.
    """

    def setUp(self) -> None:
        self.queue = PieceQueue()

    def test_a_free_target_gets_waiting_pieces_despite_its_rate_limit(self) -> None:
        self.queue.add(make_piece(1))
        for gap in (0.5, 5.0, 20.0):
            limited = replace(CAPACITY, batch=1, busy_seconds=(0.0,), call_interval_seconds=(gap,))
            selection = self.queue.select(0.0, limited)
            self.assertEqual(len(selection.batch), 1)
            self.queue.add(make_piece(1))

    def test_late_pieces_run_where_a_target_is_free_now(self) -> None:
        self.queue.add(make_piece(1, objective_at=-1.0))
        limited = replace(CAPACITY, batch=1, busy_seconds=(0.0,), call_interval_seconds=(20.0,))
        selection = self.queue.select(0.0, limited)
        self.assertEqual((len(selection.batch), selection.late), (1, ()))

    def test_pieces_late_after_the_next_call_are_refused_at_once(self) -> None:
        for number in range(1, 4):
            self.queue.add(make_piece(number))
        limited = replace(CAPACITY, batch=1, busy_seconds=(0.1,), call_interval_seconds=(20.0,))
        self.assertEqual(len(self.queue.take_late(0.0, limited)), 2)

    def test_pieces_in_time_with_the_next_call_are_kept(self) -> None:
        """The next call may lie beyond the planning horizon of a pool without rate limits."""
        self.queue.add(make_piece(1, objective_at=10.0, due_at=12.0))
        self.queue.add(make_piece(2, objective_at=3.0))
        limited = replace(CAPACITY, batch=1, busy_seconds=(6.0,), call_interval_seconds=(8.0,))
        late = self.queue.take_late(0.0, limited)
        self.assertEqual([piece.order.number for piece in late], [2])

    def test_wait_estimates_include_rate_limits(self) -> None:
        for number in range(1, 4):
            self.queue.add(make_piece(number))
        unlimited = replace(CAPACITY, batch=1, busy_seconds=(0.0, 0.0))
        limited = replace(unlimited, call_interval_seconds=(4.0, 0.0))
        wait = self.queue.estimate_wait(0.0, limited, LATEST)
        self.assertGreater(wait, 1.5 * self.queue.estimate_wait(0.0, unlimited, LATEST))


if __name__ == "__main__":
    unittest.main()
