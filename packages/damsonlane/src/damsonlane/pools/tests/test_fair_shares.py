"""Fair shares of organisations in the queue of a pool."""

import unittest
from collections.abc import Callable, Sequence
from dataclasses import replace
from unittest import mock

from damsonlane.pools import (
    ROUTE_PRIORITY_LEVELS,
    CallCapacity,
    PieceQueue,
    Selection,
    WaitingPiece,
)
from damsonlane.pools._organisation_shares import PoolShares
from damsonlane.pools._schedule import Schedule
from damsonlane.pools.tests.simulation import (
    LoadPattern,
    LoadPeak,
    Outcome,
    Pool,
    RequestClass,
    Simulation,
    simulate,
)
from damsonlane.pools.tests.test_load_patterns import CLASSES, PEAK_OF_ALL, add_outage
from damsonlane.pools.tests.test_queue import CAPACITY, ORDER

#: Number of runs of each pattern.
SEEDS = 8
#: A pool that computes 85 pieces a second in full calls.
POOL = Pool(
    data_centres=("a", "b", "c"),
    batch=9,
    call_seconds=0.2,
    piece_seconds=0.0189,
    result_memory_bytes=10**9,
)
#: Requests of one organisation, which ask for 11 pieces a second.
USUAL = RequestClass(rank=2, rate=4.4, pieces=(1, 2, 3, 4), result_bytes=60_000, aim_seconds=1.3)
#: Organisations with the usual load each.
NAMES = ("large", "one", "two", "three")


def list_classes(*, is_named: bool, wave_rank: int = 2) -> tuple[RequestClass, ...]:
    classes = [replace(USUAL, organisation=name if is_named else "") for name in NAMES]
    return (replace(classes[0], rank=wave_rank), *classes[1:])


PEAK = LoadPeak(request_class=0, start=2, end=9, times=10.0)
#: Four organisations, the first of which sends ten times its usual load.
WAVE = LoadPattern(pool=POOL, classes=list_classes(is_named=True), peaks=(PEAK,))


def simulate_wave(*, is_named: bool, times: float, wave_rank: int = 2) -> list[Outcome]:
    """Return the outcomes of four organisations, the first of which sends a wave."""
    pattern = replace(
        WAVE,
        classes=list_classes(is_named=is_named, wave_rank=wave_rank),
        peaks=(replace(PEAK, times=times),),
    )
    return simulate(pattern, SEEDS)


def share_served(outcomes: Sequence[Outcome]) -> float:
    served = sum(outcome.in_time + outcome.late for outcome in outcomes)
    return served / sum(outcome.arrived for outcome in outcomes)


def make_piece(number: int, name: str, objective_at: float) -> WaitingPiece:
    order = replace(ORDER, number=number, request=f"r{number}", organisation=name)
    return WaitingPiece(order=order, sender="e1", deadline_at=20.0, objective_at=objective_at)


def list_selections(pattern: LoadPattern, seed: int) -> list[Selection]:
    """Return what left the queue in a run, one after the other."""
    selections: list[Selection] = []
    select = PieceQueue.select

    def record(queue: PieceQueue, now: float, capacity: CallCapacity) -> Selection:
        selections.append(select(queue, now, capacity))
        return selections[-1]

    with mock.patch.object(PieceQueue, "select", record):
        Simulation(pattern, seed).run()
    return selections


def list_numbers(selections: Sequence[Selection]) -> list[tuple[list[int], list[int]]]:
    """Return the numbers of the pieces that ran and that were refused, by selection."""
    return [
        (
            [piece.order.number for piece in selection.batch],
            [piece.order.number for piece in selection.late],
        )
        for selection in selections
    ]


class WaveTest(unittest.TestCase):
    def test_organisations_within_their_share_are_not_affected_by_a_wave(self) -> None:
        """Guards against a wave of one organisation that displaces the others."""
        for wave_rank in (2, 1, 0):
            with self.subTest(wave_rank=wave_rank):
                outcomes = simulate_wave(is_named=True, times=10.0, wave_rank=wave_rank)
                for outcome in outcomes[1:]:
                    self.assertGreater(outcome.attained, 0.95)
                    self.assertGreater(share_served([outcome]), 0.98)

    def test_every_request_is_served_or_refused_once(self) -> None:
        """Guards against stages that are lost or duplicated when their order changes."""
        for outcome in simulate_wave(is_named=True, times=30.0):
            ended = outcome.in_time + outcome.late + len(outcome.refused_after)
            self.assertEqual(ended, outcome.arrived)

    def test_without_names_the_wave_displaces_them(self) -> None:
        """Shows that the load of the tests above is one that shares are needed for."""
        for outcome in simulate_wave(is_named=False, times=10.0)[1:]:
            self.assertLess(outcome.attained, 0.7)

    def test_unused_shares_are_lent(self) -> None:
        """Guards against shares that leave capacity idle."""
        named, unnamed = (simulate_wave(is_named=named, times=10.0) for named in (True, False))
        totals = [sum(outcome.in_time for outcome in outcomes) for outcomes in (named, unnamed)]
        self.assertGreater(*totals)

    def test_the_worst_served_organisation_gets_a_quarter_of_the_usual(self) -> None:
        """Guards against starving the organisation that sends the wave."""
        for times in (3.0, 10.0, 30.0):
            with self.subTest(times=times):
                outcomes = simulate_wave(is_named=True, times=times)
                worst = min(share_served([outcome]) for outcome in outcomes)
                self.assertGreater(worst, 0.25 * share_served(outcomes))


class FailureTest(unittest.TestCase):
    """One failure at a time during the wave."""

    def simulate_seeds(self, make: Callable[[LoadPattern, int], Simulation]) -> list[Outcome]:
        """Return the outcomes of the organisations beside the one that sends the wave."""
        outcomes = [make(WAVE, seed).run() for seed in range(SEEDS)]
        return [outcome for run in outcomes for outcome in run[1:]]

    def test_a_new_owner_protects_the_others_at_once(self) -> None:
        """Guards against a wave that displaces others until a new owner has learned their use."""

        class ReplacedOwner(Simulation):
            """The state of the owner is lost in the middle of the wave."""

            def run(self) -> list[Outcome]:
                self._schedule(5.0, self._replace_owner)
                return super().run()

            def _replace_owner(self, _: float) -> None:
                waiting = self._queue.take_all()
                self._queue = PieceQueue()  # type: ignore[misc]
                for piece in waiting:
                    self._queue.add(piece)

        outcomes = self.simulate_seeds(ReplacedOwner)
        in_time = sum(outcome.in_time for outcome in outcomes)
        self.assertGreater(in_time / sum(outcome.arrived for outcome in outcomes), 0.95)

    def test_orders_of_an_older_release_count_as_those_of_one_organisation(self) -> None:
        """Guards against unnamed orders that displace others, or are displaced."""
        unnamed_small = (replace(USUAL, organisation="large"), replace(USUAL, organisation=""))
        unnamed_wave = (replace(USUAL, organisation=""), replace(USUAL, organisation="small"))
        for classes in (unnamed_small, unnamed_wave):
            pattern = replace(WAVE, classes=classes)
            with self.subTest(small=classes[1].organisation):
                outcomes = simulate(replace(pattern, peaks=(replace(PEAK, times=16.0),)), SEEDS)
                self.assertGreater(share_served(outcomes[1:]), 0.98)
                self.assertGreater(outcomes[1].attained, 0.9)

    def test_two_owners_share_fairly_what_each_of_them_receives(self) -> None:
        """Guards against unfair shares while entries disagree on the owner."""

        class HalfOfTheOrders(Simulation):
            """The other half of the requests is another owner's."""

            def _order_pieces(self, index: int, count: int, **times: float) -> None:
                if self._random.random() < 0.5:
                    super()._order_pieces(index, count, **times)
                else:
                    self.outcomes[index].arrived -= 1

        # A call takes twice as long, since the target computes one of the other owner before it.
        slow = replace(POOL, call_seconds=POOL.call_seconds + POOL.batch * POOL.piece_seconds)
        outcomes = self.simulate_seeds(
            lambda pattern, seed: HalfOfTheOrders(replace(pattern, pool=slow), seed)
        )
        self.assertGreater(share_served(outcomes), 0.95)


class ShareOrderTest(unittest.TestCase):
    def fill(self, names: Sequence[str]) -> PieceQueue:
        """Return a queue with much work of one organisation, and a piece of another one.

        All have the same rank, and the piece of the other one has the latest objective.
        """
        queue = PieceQueue()
        for number in range(60):
            queue.add(make_piece(number, names[0], objective_at=0.9))
        queue.add(make_piece(99, names[1], objective_at=0.91))
        return queue

    def list_late(self, *names: str) -> list[int]:
        """Return the numbers of the refused pieces."""
        selection = self.fill(names).select(0.0, CAPACITY)
        return [piece.order.number for piece in selection.late]

    def test_work_beyond_a_share_gives_way(self) -> None:
        """Guards against refusing the work that is within its share."""
        late = self.list_late("large", "small")
        self.assertNotIn(99, late)
        self.assertGreater(len(late), 10)

    def test_an_organisation_of_higher_priority_goes_first_beyond_its_share(self) -> None:
        """Guards against shares that override the configured priority of organisations."""
        queue = PieceQueue()
        for number in range(40):
            queue.add(make_piece(number, "first", objective_at=0.9))
        for number in range(40, 43):
            piece = make_piece(number, "second", objective_at=0.9)
            order = replace(piece.order, rank=ROUTE_PRIORITY_LEVELS)
            queue.add(replace(piece, order=order))
        late = [piece.order.number for piece in queue.select(0.0, CAPACITY).late]
        self.assertTrue({40, 41, 42} <= set(late))

    def test_shares_add_at_most_one_run_for_each_rank(self) -> None:
        """Guards against a search that costs a pass over the steps for each organisation."""
        queue = PieceQueue()
        for number in range(240):
            piece = make_piece(number, f"o{min(7, number % 40)}", 0.8 + number % 9 / 10)
            queue.add(replace(piece, order=replace(piece.order, rank=number % 3)))
        runs = 0
        begin_run = Schedule._begin_run

        def count(schedule: Schedule, share: float) -> None:
            nonlocal runs
            runs += 1
            begin_run(schedule, share)

        with mock.patch.object(Schedule, "_begin_run", count):
            queue.select(0.0, CAPACITY)
        self.assertLessEqual(runs, 2 * 3)

    def test_without_names_the_latest_objective_gives_way(self) -> None:
        """Guards against an effect on deployments without fair shares."""
        self.assertIn(99, self.list_late("", ""))


class UnnamedTest(unittest.TestCase):
    """Deployments without fair shares are unaffected: their orders name no organisation."""

    @staticmethod
    def make_pattern(name: str) -> LoadPattern:
        """Return an overload of all classes with a lost target and retries."""
        classes = tuple(replace(kind, organisation=name) for kind in CLASSES)
        return replace(add_outage(PEAK_OF_ALL), classes=classes, retry_seconds=0.6)

    def test_without_names_every_order_is_that_of_a_queue_without_shares(self) -> None:
        """Guards against an effect of the shares on other deployments."""
        for seed in range(3):
            pattern = self.make_pattern("")
            selections = list_selections(pattern, seed)
            self.assertTrue(any(selection.late for selection in selections))
            with mock.patch.multiple(
                PoolShares,
                order=lambda _, stages, now, capacity, late: stages,
                order_late=lambda _, stages: stages,
                capacity_share=lambda _, stage, usual, capacity: usual,
                record_started=lambda _, pieces, now: None,
                record_refused=lambda _, pieces, now: None,
            ):
                self.assertEqual(
                    list_numbers(selections), list_numbers(list_selections(pattern, seed))
                )

    def test_one_organisation_alone_has_the_order_of_none(self) -> None:
        """Guards against shares that matter while there is nobody to share with."""
        runs = [list_selections(self.make_pattern(name), 1) for name in ("", "alone")]
        self.assertEqual(*map(list_numbers, runs))


if __name__ == "__main__":
    unittest.main()
