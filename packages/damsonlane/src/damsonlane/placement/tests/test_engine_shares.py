"""Fair shares of organisations at engines, for single prompts and in a replay."""

import unittest
from collections import Counter
from collections.abc import Callable
from dataclasses import replace

from damsonlane.codec import decode_bytes, encode_bytes
from damsonlane.placement import (
    EngineShares,
    EngineTable,
    Placement,
    PlacementRequest,
    PromptOutcome,
)
from damsonlane.placement._engine_shares import PENDING_SECONDS
from damsonlane.placement.tests.simulation import (
    AIM_SECONDS,
    CACHE_TOKENS,
    EngineSimulation,
    PromptLoad,
)
from damsonlane.placement.tests.test_placement import make_order
from damsonlane.routing import EngineLocation

#: Number of runs of each pattern.
SEEDS = 6
#: Engines that prefill 40 prompts a second together, with most segments cached.
ENGINES = "abc"
NAMES = ("large", "one", "two", "three")
#: Organisations with the same load, of which the first one sends a wave.
WAVE = PromptLoad(rate=10.0, peak_rate=32.5, start=2.0, end=10.0)


class WaveSimulation(EngineSimulation):
    """Prompts of several organisations; those beyond the usual rate are of the first one.

    Engines prefill urgent prompts before the others.
    """

    def __init__(self, seed: int, *, is_named: bool) -> None:
        super().__init__(WAVE, seed, engines=ENGINES)
        self._is_named = is_named
        self._table = EngineTable(CACHE_TOKENS)
        self._shares = EngineShares()
        self._names: dict[int, str] = {}
        self._less_urgent: set[int] = set()
        #: Numbers of all prompts and of those with a first event in time, by organisation.
        self.placed: Counter[str] = Counter()
        self.in_time: Counter[str] = Counter()

    def _draw(self, number: int, now: float) -> PlacementRequest:
        request = super()._draw(number, now)
        is_usual = self._random.random() < WAVE.rate / self._find_rate(now)
        name = self._random.choice(NAMES) if is_usual else NAMES[0]
        self._names[number] = name
        return replace(request, organisation=name if self._is_named else "")

    def choose(self, entry: int, request: PlacementRequest, now: float) -> Placement:
        self._table.update([EngineLocation(target=name, data_centre="") for name in self.engines])
        sender = f"e{entry}"
        placement = replace(
            self._table.place(sender, request, self.engines, now),
            is_beyond_share=self._shares.is_beyond_share(request, len(self.engines), now),
        )
        self._shares.record_placed(sender, request, placement, now)
        if placement.is_beyond_share:
            self._less_urgent.add(request.number)
        self.placed[self._names[request.number]] += 1
        return placement

    def finish(self, entry: int, outcome: PromptOutcome, now: float) -> None:
        self._table.record_outcome(f"e{entry}", outcome, now)
        self._shares.record_outcome(f"e{entry}", outcome)
        assert outcome.seconds is not None
        self.in_time[self._names[outcome.number]] += outcome.seconds <= AIM_SECONDS

    def _prefill(
        self, now: float, record_outcome: Callable[[int, PromptOutcome, float], None]
    ) -> None:
        waiting = self._prefills.copy()
        for name, prefills in waiting.items():
            urgent = [p for p in prefills if p.request.number not in self._less_urgent]
            self._prefills[name] = urgent or prefills
        urgent_lists = self._prefills.copy()
        super()._prefill(now, record_outcome)
        for name, prefills in waiting.items():
            if urgent_lists[name] is not prefills:
                later = [p for p in prefills if p.request.number in self._less_urgent]
                self._prefills[name] = [*urgent_lists[name], *later]
            else:
                self._prefills[name] = prefills


def simulate_wave(*, is_named: bool) -> dict[str, float]:
    """Return the share of the first events in time by organisation."""
    in_time: Counter[str] = Counter()
    placed: Counter[str] = Counter()
    for seed in range(SEEDS):
        simulation = WaveSimulation(seed, is_named=is_named)
        simulation.run(simulation.choose, simulation.finish)
        in_time += simulation.in_time
        placed += simulation.placed
    return {name: in_time[name] / placed[name] for name in NAMES}


class EngineWaveTest(unittest.TestCase):
    def test_organisations_within_their_share_are_served_in_time(self) -> None:
        """Guards against a wave of prompts that makes those of other organisations wait."""
        named, unnamed = (simulate_wave(is_named=is_named) for is_named in (True, False))
        for name in NAMES[1:]:
            self.assertGreater(named[name], 0.85)
            self.assertLess(unnamed[name], 0.5)


class EngineSharesTest(unittest.TestCase):
    """Two organisations at one engine that prefills a token in 30 us, as assumed initially."""

    def setUp(self) -> None:
        self.shares = EngineShares()

    def place(self, number: int, name: str, now: float = 0.0) -> bool:
        """Place a prompt of 9,000 tokens and return whether it is beyond the share."""
        request = replace(make_order(number), organisation=name)
        is_beyond = self.shares.is_beyond_share(request, 1, now)
        placement = Placement(number=number, target="a", is_beyond_share=is_beyond)
        self.shares.record_placed("e", request, placement, now)
        return is_beyond

    def test_a_wave_is_beyond_its_share_and_others_are_not(self) -> None:
        self.place(100, "small")
        flags = [self.place(number, "large") for number in range(20)]
        self.assertFalse(flags[0])
        self.assertTrue(flags[-1])
        self.assertFalse(self.place(101, "small"))

    def test_one_organisation_alone_has_no_share(self) -> None:
        self.assertFalse(any(self.place(number, "alone") for number in range(50)))

    def test_unnamed_prompts_are_not_recorded(self) -> None:
        """Guards against an effect on deployments without fair shares."""
        self.assertFalse(any(self.place(number, "") for number in range(50)))
        self.assertEqual(self.shares.take_usage(), {})

    def test_messages_say_nothing_of_prompts_within_the_share(self) -> None:
        """Guards against messages that differ in deployments without fair shares."""
        within, beyond = (
            Placement(number=1, target="a", is_beyond_share=is_beyond)
            for is_beyond in (False, True)
        )
        self.assertEqual(encode_bytes(within, Placement), b'{"number":1,"target":"a","source":""}')
        for placement in (within, beyond):
            decoded = decode_bytes(encode_bytes(placement, Placement), Placement)
            self.assertEqual(decoded, placement)

    def test_outcomes_that_never_come_are_forgotten(self) -> None:
        """Guards against prompts of a crashed entry that count against a share for ever."""
        for number in range(50):
            self.place(number, "large")
        later = 2 * PENDING_SECONDS
        self.place(100, "small", now=later)
        self.assertFalse(self.place(101, "large", now=later))

    def test_a_prompt_of_unknown_length_is_placed(self) -> None:
        """Guards against an error for requests that announce no tokens."""
        request = replace(make_order(1, tokens=0), organisation="small")
        placement = Placement(number=1, target="a")
        self.shares.record_placed("e", request, placement, 0.0)
        self.shares.record_outcome("e", PromptOutcome(number=1, seconds=None))
        self.assertEqual(self.shares.take_usage()["small"].started, 1)

    def test_the_wait_until_the_first_event_is_reported(self) -> None:
        self.place(1, "small")
        self.shares.record_outcome("e", PromptOutcome(number=1, seconds=0.4))
        self.shares.record_outcome("e", PromptOutcome(number=1, seconds=0.4))
        usage = self.shares.take_usage()["small"]
        self.assertEqual((usage.started, usage.work, usage.wait_seconds), (1, 9_000, 0.4))


if __name__ == "__main__":
    unittest.main()
