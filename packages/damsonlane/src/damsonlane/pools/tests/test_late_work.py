"""Requests that are served late: which are kept, when they run, and what they cost in-time work."""

import hashlib
import unittest
from collections import Counter
from collections.abc import Sequence
from dataclasses import replace
from unittest import mock

from damsonlane.codec import decode_bytes, encode_bytes
from damsonlane.pools import CallCapacity, PieceOrder, PieceQueue, Selection, WaitingPiece
from damsonlane.pools._late_work import LateStage, LateWork
from damsonlane.pools._schedule import Schedule, WaitingStage
from damsonlane.pools.tests.late_replay import ChainClass, ChainPattern, replay
from damsonlane.pools.tests.simulation import (
    LoadPattern,
    LoadPeak,
    Pool,
    RequestClass,
    Simulation,
)

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

    def test_expected_arrivals_have_late_work_refused_that_would_only_expire(self) -> None:
        """Guards against refusals seconds after it is known that a wave leaves no room."""
        for arrivals, refused in ((0, []), (8, [13, 14])):
            with self.subTest(arrivals=arrivals):
                self.queue = PieceQueue()
                for number in range(100, 100 + arrivals):
                    # These left the queue, but as many are expected again.
                    self.queue.add(make_piece(number, aim_left=1.0))
                    self.queue.cancel("e", number)
                for number in range(1, 15):
                    self.queue.add(make_piece(number, left=3.0))
                self.assertEqual(numbers(self.select(0.6).late), refused)

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

    def test_work_in_time_runs_where_late_work_may_hold_no_further_target(self) -> None:
        """Guards against an idle target while in-time work waits behind late work."""
        capacity = replace(CAPACITY, busy_seconds=(0.0, 0.0))
        for number in range(1, 5):
            self.queue.add(make_piece(number, left=2.0))
        self.queue.add(make_piece(100, aim_left=3.0))
        taken = [numbers(self.select(0.0, capacity).batch) for _ in range(2)]
        self.assertEqual(taken, [[1, 2], [100]])

    def test_expected_arrivals_cost_a_step_for_each_stage(self) -> None:
        """Guards against evaluations whose cost grows with the pieces of recent stages."""
        self.queue.add(make_piece(1, left=20.0))
        for number in range(100, 150):
            # An entry makes the orders of a stage one after the other.
            piece = make_piece(number, aim_left=0.3 - number * 1e-6, left=6.0 - number * 1e-6)
            self.queue.add(replace(piece, order=replace(piece.order, request="r100")))
        with mock.patch.object(Schedule, "reserve", autospec=True) as reserve:
            self.queue.plan_calls(0.0, CAPACITY)
        pieces = sum(call.args[1] for call in reserve.mock_calls)
        self.assertGreaterEqual(pieces, 50)
        self.assertLess(reserve.call_count, 10)

    def test_late_pieces_that_fill_a_call_leave_memory_for_work_in_time(self) -> None:
        """Guards against results of late work that keep in-time work from running."""
        late = [LateStage(pieces=(make_piece(number),)) for number in (1, 2)]
        waiting = WaitingStage(pieces=(make_piece(100, aim_left=0.25),))
        capacity = replace(CAPACITY, result_memory_bytes=30)
        cases: tuple[tuple[str, list[WaitingStage], list[int]], ...] = (
            ("nothing waits", [], [1]),
            ("in-time work waits for memory", [waiting], []),
        )
        for name, stages, expected in cases:
            with self.subTest(name):
                added = LateWork().complete([], stages, late, 0.0, capacity)
                self.assertEqual(numbers(added), expected)

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

    def test_late_work_that_may_not_be_refused_runs_if_a_short_call_ends_in_time(self) -> None:
        """Guards against begun requests that expire at an idle target."""
        piece = make_piece(1, left=0.3)
        order = replace(piece.order, is_begun=True, give_up_left_seconds=-1.0)
        self.queue.add(replace(piece, order=order, abandonable_until=-1.0))
        self.assertEqual(numbers(self.select(0.0, replace(CAPACITY, batch=20)).batch), [1])

    def test_late_work_that_is_added_again_stays_late(self) -> None:
        """Guards against late work that counts twice or takes the slots of newer stages."""
        self.queue.add(make_piece(1))
        (piece,) = self.select().batch
        self.queue.add(replace(piece, attempts=1))
        self.assertEqual((len(self.queue), self.queue.count_in_time()), (1, 0))
        self.assertEqual(numbers(self.select(0.3).batch), [1])

    def test_late_work_expires_at_its_deadline(self) -> None:
        self.add_in_time(2)
        self.queue.add(make_piece(1, left=2.0))
        self.select()
        self.assertEqual(numbers(self.queue.take_expired(1.9, CAPACITY)), [1])


class OrganisationTest(unittest.TestCase):
    """Late work of organisations that share a pool fairly."""

    def setUp(self) -> None:
        self.queue = PieceQueue()

    def add(self, number: int, name: str, **times: float) -> None:
        piece = make_piece(number, **times)  # type: ignore[arg-type]
        self.queue.add(replace(piece, order=replace(piece.order, organisation=name)))

    def test_late_work_within_a_share_is_kept_first(self) -> None:
        """Guards against a wave whose late work has all late work of others refused."""
        for number in range(1, 41):
            self.add(number, "large", left=3.0)
        self.add(99, "small", left=3.01, aim_left=0.11)
        late = numbers(self.queue.select(0.0, CAPACITY).late)
        self.assertTrue(late)
        self.assertNotIn(99, late)

    def test_late_work_counts_for_the_demand_of_its_organisation(self) -> None:
        """Guards against a large backlog that leaves its organisation without a share."""
        capacity = replace(CAPACITY, batch=40)
        for number in range(1, 150):
            self.add(number, "large")
        self.queue.plan_calls(0.0, capacity)
        self.assertGreater(len(self.queue), 100)
        self.add(200, "small", aim_left=3.0)
        self.queue.take_batch(self.queue.plan_calls(0.1, capacity), 0.1, capacity)
        self.assertIsNotNone(self.queue.take_usage()["large"].share)

    def test_expired_work_counts_once_as_refused(self) -> None:
        """Guards against late work that an organisation loses but operators do not see."""
        for number, name in enumerate(("large", "small")):
            self.add(number, name, left=1.0)
        self.queue.plan_calls(0.0, replace(CAPACITY, busy_seconds=(0.3,)))
        self.assertEqual(len(self.queue.take_expired(0.9, CAPACITY)), 2)
        self.queue.plan_calls(1.0, CAPACITY)
        usage = self.queue.take_usage()
        self.assertEqual(
            {name: totals.refused for name, totals in usage.items()}, {"large": 1, "small": 1}
        )


class RefusePolicyTest(unittest.TestCase):
    def test_orders_of_earlier_releases_are_refused_when_late(self) -> None:
        data = encode_bytes(ORDER, PieceOrder).replace(b',"may_be_late":false', b"")
        self.assertNotIn(b"may_be_late", data)
        self.assertFalse(decode_bytes(data, PieceOrder).may_be_late)

    def test_fields_of_later_releases_are_ignored(self) -> None:
        """An owner of an earlier release gets orders with fields that it does not know."""
        data = encode_bytes(ORDER, PieceOrder).replace(b'"rank"', b'"unknown":true,"rank"')
        self.assertEqual(decode_bytes(data, PieceOrder), ORDER)

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


class WaveTest(unittest.TestCase):
    """Overlapping waves of two classes, of which one needs three pools in sequence."""

    POOLS = (
        Pool(
            data_centres=("a",) * 9, batch=9, piece_seconds=0.0189, result_memory_bytes=20_000_000
        ),
        Pool(
            data_centres=("a",) * 8, batch=36, piece_seconds=0.00475, result_memory_bytes=4_750_000
        ),
        Pool(
            data_centres=("a",) * 9, batch=54, piece_seconds=0.0032, result_memory_bytes=10_000_000
        ),
    )
    URGENT = ChainClass(
        rank=0,
        rate=13.9,
        pieces=(3,),
        result_bytes=(1_500_000,),
        aim_seconds=1.235,
        deadline_seconds=6.2,
        last_step_seconds=0.4,
    )
    MIDDLE = ChainClass(
        rank=2,
        rate=43.9,
        pieces=(1, 6, 10),
        result_bytes=(8_000, 60_000, 6_000),
        aim_seconds=4.0,
        deadline_seconds=6.0,
    )
    STREAM = replace(
        MIDDLE, rank=1, rate=24.0, aim_seconds=2.0, deadline_seconds=15.1, stream_seconds=3.0
    )

    def play(
        self, *peaks: LoadPeak, seconds: float, may_be_late: bool, seeds: int = 1
    ) -> list[Counter[str]]:
        classes = tuple(
            replace(kind, may_be_late=may_be_late)
            for kind in (self.URGENT, self.MIDDLE, self.STREAM)
        )
        pattern = ChainPattern(pools=self.POOLS, classes=classes, peaks=peaks, seconds=seconds)
        return replay(pattern, seeds)

    def check(self, *peaks: LoadPeak, seconds: float) -> None:
        refusing = self.play(*peaks, seconds=seconds, may_be_late=False)
        serving = self.play(*peaks, seconds=seconds, may_be_late=True)
        for before, after in zip(refusing, serving, strict=True):
            self.assertGreaterEqual(after["in time"], before["in time"])
        unserved = [sum(map(_count_unserved, counts)) for counts in (refusing, serving)]
        self.assertGreater(unserved[0], 8)
        self.assertLess(unserved[1], 0.25 * unserved[0])

    def test_requests_refused_in_a_wave_are_served_after_it(self) -> None:
        wave = LoadPeak(request_class=1, start=2, end=7, times=3.2)
        urgent = LoadPeak(request_class=0, start=4, end=9, times=2.4)
        self.check(wave, urgent, seconds=11.0)

    def test_late_work_of_a_wave_makes_no_work_of_the_next_one_late(self) -> None:
        """Guards against a backlog of late work that takes the slots of requests in time."""
        waves = (
            LoadPeak(request_class=1, start=start, end=start + 5, times=2.6) for start in (4, 12)
        )
        self.check(*waves, LoadPeak(request_class=0, start=6, end=11, times=2.4), seconds=22.0)


def _count_unserved(counts: Counter[str]) -> int:
    return sum(counts[outcome] for outcome in ("refused", "refused begun", "failed"))


if __name__ == "__main__":
    unittest.main()
