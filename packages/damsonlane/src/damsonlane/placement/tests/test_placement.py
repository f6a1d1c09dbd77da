"""Placement of prompts, for single prompts and under load patterns."""

import unittest
from dataclasses import replace

from damsonlane.placement import (
    EngineTable,
    InputLocation,
    Placement,
    PlacementRequest,
    PromptOutcome,
    PromptSegment,
)
from damsonlane.placement._prefix_cache import CACHE_SHARE, PrefixCache
from damsonlane.placement.tests.simulation import PromptLoad, simulate_central, simulate_independent
from damsonlane.routing import EngineLocation

ENGINES = ("a", "b", "c")
#: Seconds per token of a transfer between engines: 160 KB over 260 Gbit/s.
TRANSFER_PACE = 5e-6
#: Number of runs of each pattern.
SEEDS = 10


def make_order(
    number: int,
    *,
    subject: str = "s",
    tokens: int = 9_000,
    aim: float = 1.0,
    avoid: tuple[str, ...] = (),
) -> PlacementRequest:
    shared = (
        PromptSegment(identity="all", tokens=2_500),
        PromptSegment(identity=subject, tokens=3_800),
    )
    return PlacementRequest(
        number=number, shared=shared, tokens=tokens, aim_left_seconds=aim, avoid=avoid
    )


class EngineTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = EngineTable(300_000)
        self.table.update([EngineLocation(target=name, data_centre="") for name in ENGINES])

    def place(self, request: PlacementRequest, now: float = 0.0) -> str:
        return self.table.place("e", request, ENGINES, now).target

    def test_prompts_of_one_subject_go_to_one_engine_while_it_is_not_busy(self) -> None:
        chosen = {self.place(make_order(number), now=float(number)) for number in range(5)}
        self.assertEqual(len(chosen), 1)

    def test_a_busy_engine_is_avoided(self) -> None:
        chosen = [self.place(make_order(number, tokens=20_000)) for number in range(6)]
        self.assertGreater(len(set(chosen)), 1)

    def test_engines_that_the_sender_cannot_use_are_excluded(self) -> None:
        first = self.place(make_order(1))
        self.assertNotEqual(self.place(make_order(2, avoid=(first,))), first)
        self.assertEqual(self.place(make_order(3, avoid=ENGINES)), "")

    def test_an_engine_that_did_not_accept_a_prompt_is_ejected(self) -> None:
        first = self.place(make_order(1))
        self.table.record_outcome("e", PromptOutcome(number=1, seconds=None), 0.1)
        self.assertNotEqual(self.place(make_order(2), now=0.2), first)

    def test_a_slow_engine_gets_fewer_prompts(self) -> None:
        first = self.place(make_order(0), now=0.0)
        for number in range(1, 9):
            self.table.record_outcome(
                "e", PromptOutcome(number=number - 1, seconds=4.0), float(number)
            )
            if self.place(make_order(number), now=float(number)) != first:
                return
        self.fail("a slow engine still got all prompts of a subject")

    def test_engines_for_other_lengths_take_prompts_that_would_wait_long(self) -> None:
        requests = [make_order(number, tokens=20_000) for number in range(4)]
        chosen = [self.table.place("e", request, ("a",), 0.0).target for request in requests]
        self.assertEqual(chosen[0], "a")
        self.assertGreater(len(set(chosen)), 1)

    def test_without_engines_none_is_chosen(self) -> None:
        self.table.update(())
        self.assertEqual(self.place(make_order(1)), "")

    def test_the_outcome_of_an_unknown_prompt_is_ignored(self) -> None:
        self.table.record_outcome("e", PromptOutcome(number=99, seconds=0.1), 0.0)
        self.assertIn(self.place(make_order(1)), ENGINES)


class TransferTest(unittest.TestCase):
    """Engines that can transfer cached segments to each other."""

    def setUp(self) -> None:
        self.table = EngineTable(300_000, TRANSFER_PACE)
        self.table.update([EngineLocation(target=name, data_centre=name) for name in ENGINES])

    def place(self, request: PlacementRequest, now: float = 0.0) -> Placement:
        return self.table.place("e", request, ENGINES, now)

    def test_an_engine_fetches_shared_segments_from_the_one_that_cached_them(self) -> None:
        first = self.place(make_order(1)).target
        other = next(name for name in ENGINES if name != first)
        inputs = (InputLocation(data_centre=other, size=40_000_000),)
        second = self.place(replace(make_order(2), inputs=inputs), now=5.0)
        self.assertEqual((second.target, second.source), (other, first))

    def test_no_segments_are_fetched_from_an_engine_of_another_version(self) -> None:
        first = self.place(make_order(1)).target
        other = next(name for name in ENGINES if name != first)
        versions = {name: "v2" if name == other else "v1" for name in ENGINES}
        table = EngineTable(300_000, TRANSFER_PACE)
        table.update(
            [
                EngineLocation(target=name, data_centre=name, version=version)
                for name, version in versions.items()
            ]
        )
        table.place("e", make_order(1), ENGINES, 0.0)
        inputs = (InputLocation(data_centre=other, size=40_000_000),)
        second = table.place("e", replace(make_order(2), inputs=inputs), ENGINES, 5.0)
        self.assertEqual((second.target, second.source), (other, ""))

    def test_segments_not_prefilled_yet_are_not_fetched(self) -> None:
        first = self.place(make_order(1)).target
        other = next(name for name in ENGINES if name != first)
        inputs = (InputLocation(data_centre=other, size=40_000_000),)
        self.assertEqual(self.place(replace(make_order(2), inputs=inputs)).source, "")

    def test_an_engine_with_all_segments_fetches_none(self) -> None:
        first = self.place(make_order(1)).target
        second = self.place(make_order(2), now=5.0)
        self.assertEqual((second.target, second.source), (first, ""))

    def test_without_transfers_no_segments_are_fetched(self) -> None:
        table = EngineTable(300_000)
        table.update([EngineLocation(target=name, data_centre=name) for name in ENGINES])
        first = table.place("e", make_order(1), ENGINES, 0.0).target
        self.assertEqual(table.place("e", make_order(2, avoid=(first,)), ENGINES, 5.0).source, "")

    def test_segments_are_fetched_from_the_engine_that_prefilled_most(self) -> None:
        half = replace(make_order(1), shared=make_order(1).shared[:1])
        some = self.place(half).target
        most = next(name for name in ENGINES if name != some)
        other = next(name for name in ENGINES if name not in (some, most))
        for number, target in ((2, most), (3, other)):
            inputs = (InputLocation(data_centre=target, size=40_000_000),)
            placed = self.place(replace(make_order(number), inputs=inputs), now=5.0 * number)
        self.assertEqual((placed.target, placed.source), (other, most))

    def test_no_segments_are_fetched_from_an_engine_that_may_have_restarted(self) -> None:
        first = self.place(make_order(1)).target
        self.table.record_outcome("e", PromptOutcome(number=1, seconds=None), 1.0)
        self.assertEqual(self.place(make_order(2, avoid=(first,)), now=5.0).source, "")

    def test_a_prompt_goes_to_the_data_centre_of_its_large_inputs(self) -> None:
        for home in ENGINES:
            with self.subTest(home=home):
                inputs = (InputLocation(data_centre=home, size=4_000_000),)
                request = replace(make_order(9, subject=f"of {home}"), inputs=inputs)
                self.assertEqual(self.place(request, now=20.0).target, home)

    def test_transfers_reduce_recomputation_and_late_first_events_in_a_peak(self) -> None:
        late, recomputed_tokens = simulate_central(PromptLoad(hot_share=0.3), 6)
        late_with_transfers, recomputed_with_transfers = simulate_central(
            PromptLoad(hot_share=0.3), 6, TRANSFER_PACE
        )
        self.assertLess(recomputed_with_transfers, 0.7 * recomputed_tokens)
        self.assertLessEqual(late_with_transfers, late)


class PrefixCacheTest(unittest.TestCase):
    def test_a_segment_counts_only_after_all_before_it(self) -> None:
        cache = PrefixCache(100_000)
        one, two = (PromptSegment(identity=name, tokens=10) for name in ("one", "two"))
        cache.add((two,))
        self.assertEqual(cache.count_cached((one, two)), 0)
        cache.add((one,))
        self.assertEqual(cache.count_cached((one, two)), 20)

    def test_the_least_recently_used_segment_is_evicted(self) -> None:
        cache = PrefixCache(int(30 / CACHE_SHARE) + 1)
        parts = [PromptSegment(identity=f"{n}", tokens=10) for n in range(4)]
        for part in (*parts[:3], parts[0], parts[3]):
            cache.add((part,))
        self.assertEqual([cache.count_cached((part,)) for part in parts], [10, 0, 10, 10])


class LoadPatternTest(unittest.TestCase):
    """Placement by one entry, compared with entries that each choose on their own."""

    def test_a_peak_of_long_prompts(self) -> None:
        self._compare(PromptLoad())

    def test_a_peak_while_engines_crash(self) -> None:
        self._compare(PromptLoad(crashed=(("a", 2.0), ("b", 4.0))))

    def test_a_peak_of_one_subject(self) -> None:
        self._compare(PromptLoad(hot_share=0.4))

    def test_new_segments_are_not_prefilled_first_at_engines_with_low_rate_limits(self) -> None:
        """Guards against recomputation: few following prompts can go to such an engine."""
        prompts = PromptLoad(rate_limits=(("a", 0.5), ("b", 0.5)))
        for transfer_pace in (None, 3e-6):
            late, recomputed_tokens = simulate_central(prompts, SEEDS, transfer_pace)
            late_unweighted, recomputed_unweighted = simulate_central(
                prompts, SEEDS, transfer_pace, weighs_limits=False
            )
            self.assertLess(recomputed_tokens, 0.75 * recomputed_unweighted)
            self.assertLessEqual(late, late_unweighted + 0.005)

    def _compare(self, prompts: PromptLoad) -> None:
        late_independent, _ = simulate_independent(prompts, SEEDS)
        late, _ = simulate_central(prompts, SEEDS)
        self.assertLess(late, 0.6 * late_independent)


if __name__ == "__main__":
    unittest.main()
