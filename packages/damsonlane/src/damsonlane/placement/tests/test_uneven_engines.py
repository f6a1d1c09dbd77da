"""Placement at engines of different speeds, whose slowness changes all the time."""

import hashlib
import math
import unittest
from dataclasses import replace

from damsonlane.placement import EngineTable, PlacementRequest, PromptOutcome, PromptSegment
from damsonlane.placement.tests.simulation import (
    AIM_SECONDS,
    CACHE_TOKENS,
    EngineSimulation,
    PromptLoad,
    UnevenEngines,
    _CentralChoice,
)
from damsonlane.routing import EngineLocation

ENGINES = tuple(f"e{number}" for number in range(12))
LOAD = PromptLoad(rate=28.0, peak_rate=55.0, start=6.0, end=10.0, subjects=200, hot_share=0.1)
SEEDS = 2
#: Digest of the choices of the release before speeds were learned, for `choose_without_reports`.
CHOICES_BEFORE = "df276ddc50a86908"


def replay(uneven: UnevenEngines, seed: int) -> tuple[EngineSimulation, EngineTable]:
    simulation = EngineSimulation(LOAD, seed, ENGINES, 6, uneven)
    choice = _CentralChoice(simulation, None, {}, weighs_limits=True)
    simulation.run(choice.choose, choice.record_outcome)
    return simulation, choice._table


def measure(uneven: UnevenEngines) -> float:
    """Return the share of late first events."""
    times = [t for seed in range(SEEDS) for t in replay(uneven, seed)[0].first_events]
    return sum(seconds > AIM_SECONDS for seconds in times) / len(times)


def choose_without_reports() -> str:
    """Return a digest of the choices for one load on engines that report no slowness."""
    table = EngineTable(CACHE_TOKENS)
    table.update([EngineLocation(target=name, data_centre="") for name in ENGINES])
    chosen = []
    for number in range(600):
        now = number * 0.02
        shared = (
            PromptSegment(identity=f"desk-{number % 4}", tokens=2_500),
            PromptSegment(identity=f"subject-{number * 7 % 90}", tokens=3_800),
        )
        order = PlacementRequest(
            number=number, shared=shared, tokens=7_000 + number % 11 * 900, aim_left_seconds=0.5
        )
        chosen.append(table.place("e", order, ENGINES, now).target)
        if number >= 10:
            seconds = 0.06 + number % 13 * 0.05
            outcome = PromptOutcome(
                number=number - 10, seconds=None if number % 97 == 0 else seconds
            )
            table.record_outcome("e", outcome, now)
    return hashlib.sha256(" ".join(chosen).encode()).hexdigest()[:16]


class UnevenEnginesTest(unittest.TestCase):
    def test_learned_speeds_at_most_halve_the_late_share(self) -> None:
        # Guards against engines whose speeds differ 2.4 times being loaded alike.
        ignoring = measure(UnevenEngines(reports=False))
        self.assertGreater(ignoring, 0.08)
        self.assertLess(measure(UnevenEngines()), ignoring / 2)

    def test_speeds_are_learned_within_the_replay(self) -> None:
        # Guards against speeds that are confused with queues or with slow periods.
        simulation, table = replay(UnevenEngines(), seed=1)
        speeds: dict[float, list[float]] = {}
        for number, name in enumerate(ENGINES):
            if simulation.arrivals[name] >= 20:
                factor = table._engines[name].speed.time_factor
                speeds.setdefault((0.7, 0.7, 1.7)[number % 3], []).append(1 / factor)
        self.assertLess(max(speeds[0.7]), min(speeds[1.7]))

    def test_the_speed_of_every_engine_becomes_known(self) -> None:
        # Guards against fast engines that stay unused since they have cached no segments.
        simulation, table = replay(UnevenEngines(), seed=1)
        self.assertEqual(set(simulation.arrivals), set(ENGINES))
        self.assertEqual(table.summarise_speeds(0.0).known, len(ENGINES))

    def test_engines_that_report_nothing_are_chosen_as_before(self) -> None:
        # Guards against any effect on services whose engines report no slowness.
        self.assertEqual(choose_without_reports(), CHOICES_BEFORE)

    def test_an_implausible_report_changes_no_choice(self) -> None:
        # Guards against a broken report that turns the learning on, or an engine off.
        for slowness in (0.0, -2.5, 1e9, math.nan):
            with self.subTest(slowness):
                table = EngineTable(CACHE_TOKENS)
                table.update([EngineLocation(target=name, data_centre="") for name in ENGINES])
                order = PlacementRequest(number=1, shared=(), tokens=9_000, aim_left_seconds=1.0)
                first = table.place("e", order, ENGINES, 0.0).target
                outcome = PromptOutcome(number=1, seconds=0.2, slowness=slowness)
                table.record_outcome("e", outcome, 0.2)
                self.assertFalse(table.follows_speed)
                again = table.place("e", replace(order, number=2), ENGINES, 1.0)
                self.assertEqual(again.target, first)

    def test_a_report_that_is_old_on_arrival_is_not_followed(self) -> None:
        # Guards against following a slowness that has probably ended.
        for age, is_followed in ((0.0, True), (1.0, False), (-1.0, False), (math.nan, False)):
            with self.subTest(age):
                table = EngineTable(CACHE_TOKENS)
                table.update([EngineLocation(target="e0", data_centre="")])
                order = PlacementRequest(number=1, shared=(), tokens=9_000, aim_left_seconds=1.0)
                table.place("e", order, ("e0",), 0.0)
                outcome = PromptOutcome(
                    number=1, seconds=0.2, slowness=2.5, slowness_age_seconds=age
                )
                table.record_outcome("e", outcome, 0.2)
                self.assertTrue(table.follows_speed)
                slowness = table._engines["e0"].speed.find_slowness(0.2)
                self.assertEqual(slowness == 2.5, is_followed)

    def test_a_new_incarnation_is_not_judged_by_its_predecessor(self) -> None:
        # Guards against speeds kept under the name of a target that was replaced.
        table = EngineTable(CACHE_TOKENS)
        table.update([EngineLocation(target="e0", data_centre="", start=1)])
        order = PlacementRequest(number=0, shared=(), tokens=9_000, aim_left_seconds=1.0)
        for number in range(20):
            table.place("e", replace(order, number=number), ("e0",), float(number))
            outcome = PromptOutcome(number=number, seconds=0.9, slowness=1.0)
            table.record_outcome("e", outcome, number + 0.9)
        self.assertGreater(table._engines["e0"].speed.time_factor, 1.1)
        table.update([EngineLocation(target="e0", data_centre="", start=2)])
        self.assertEqual(table._engines["e0"].speed.time_factor, 1.0)

    def test_wrong_durations_do_not_stop_the_learning(self) -> None:
        # Guards against one outcome with an impossible duration that hides all later ones.
        table = EngineTable(CACHE_TOKENS)
        table.update([EngineLocation(target="e0", data_centre="")])
        order = PlacementRequest(number=0, shared=(), tokens=9_000, aim_left_seconds=1.0)
        wrong = (math.inf, math.nan, -1.0, 1e9)
        for number in range(20):
            table.place("e", replace(order, number=number), ("e0",), float(number))
            seconds = wrong[number] if number < len(wrong) else 0.9
            outcome = PromptOutcome(number=number, seconds=seconds, slowness=1.0)
            table.record_outcome("e", outcome, number + 0.95)
        self.assertGreater(table._engines["e0"].speed.time_factor, 1.1)

    def test_a_prompt_without_an_outcome_is_forgotten(self) -> None:
        # Guards against an engine that seems busy for ever after a lost message or cancellation.
        table = EngineTable(CACHE_TOKENS)
        table.update([EngineLocation(target="e0", data_centre="")])
        order = PlacementRequest(number=0, shared=(), tokens=9_000, aim_left_seconds=1.0)
        for number in range(50):
            table.place("e", replace(order, number=number), ("e0",), 0.0)
        work = table._engines["e0"].work
        self.assertGreater(work.min_left_tokens(1.0), 0.0)
        self.assertEqual(work.min_left_tokens(6.0), 0.0)

    def test_infinite_durations_do_not_stop_the_placement(self) -> None:
        # Guards against an engine that is avoided for ever, and against a failed placement, after
        # one infinite duration where no engine reports its slowness.
        table = EngineTable(CACHE_TOKENS)
        table.update([EngineLocation(target="e0", data_centre="")])
        segment = PromptSegment(identity="s", tokens=9_000)
        order = PlacementRequest(number=0, shared=(segment,), tokens=9_000, aim_left_seconds=1.0)
        for number, seconds in enumerate((math.inf, math.nan, 0.2)):
            now = 10.0 * number
            placement = table.place("e", replace(order, number=number), ("e0",), now)
            self.assertEqual(placement.target, "e0")
            table.record_outcome("e", PromptOutcome(number=number, seconds=seconds), now)
        self.assertLess(table._engines["e0"].find_slowness(20.0), 10.0)

    def test_a_sender_that_restarts_uses_numbers_again(self) -> None:
        # Guards against tokens that are counted as awaited although their prompt was replaced.
        table = EngineTable(CACHE_TOKENS)
        table.update([EngineLocation(target="e0", data_centre="")])
        order = PlacementRequest(number=1, shared=(), tokens=9_000, aim_left_seconds=1.0)
        work = table._engines["e0"].work
        table.place("e", order, ("e0",), 0.0)
        awaited = work.min_left_tokens(0.0)
        table.place("e", order, ("e0",), 1.0)
        self.assertEqual(work.min_left_tokens(1.0), awaited)


if __name__ == "__main__":
    unittest.main()
