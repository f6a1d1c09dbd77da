"""Simulation of prompts and engines in virtual time; placement uses the real code.

An engine prefills all its prompts concurrently, each at an equal share of its speed, and caches
their shared segments.
"""

import random
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from functools import partial
from typing import Final

from damsonlane.placement import (
    EngineTable,
    Placement,
    PlacementRequest,
    PromptOutcome,
    PromptSegment,
)
from damsonlane.placement._prefix_cache import PrefixCache
from damsonlane.ratelimit import RateBucket
from damsonlane.routing import EngineLocation, Origin, TargetLocation, TargetTable

#: Prefill speed of an engine, in tokens per second.
TOKENS_PER_SECOND: Final = 38_400
#: Capacity of the memory of an engine, in tokens.
CACHE_TOKENS: Final = 340_000
#: Time step of the simulation, in seconds.
STEP_SECONDS: Final = 0.01
#: Latency objective of first events, in seconds.
AIM_SECONDS: Final = 0.5

#: Chooses an engine for an entry, a prompt and a time.
Choose = Callable[[int, PlacementRequest, float], Placement]


@dataclass(frozen=True, kw_only=True)
class PromptLoad:
    """A load pattern of long prompts that share their first segments."""

    #: Prompts per second, normally and during the load peak.
    rate: float = 5.8
    peak_rate: float = 13.9
    #: Start and end of the load peak, in seconds.
    start: float = 2.0
    end: float = 8.0
    #: Number of different shared segments, all equally likely.
    subjects: int = 91
    #: Share of the prompts in the peak that have the same subject.
    hot_share: float = 0.0
    #: Engines that crash, with the time of the crash.
    crashed: tuple[tuple[str, float], ...] = ()
    #: Rate limits of engines, in prompts per second.
    rate_limits: tuple[tuple[str, float], ...] = ()


@dataclass(frozen=True, kw_only=True)
class UnevenEngines:
    """Engines with inherent speeds, which are slow for a time again and again and report it."""

    #: Inherent speeds; the engines have them in turn.
    speeds: tuple[float, ...] = (0.7, 0.7, 1.7)
    #: Slowness in a slow period.
    slowness: float = 2.5
    #: Mean length of a slow period and of the time between two, in seconds.
    slow_seconds: float = 0.6
    normal_seconds: float = 3.0
    #: Seconds from a response to the arrival of its report at the entry that places the prompts.
    delay: float = 0.1
    #: Whether the engines report their slowness.
    reports: bool = True


class _SlowPeriods:
    """The slowness of one engine over time."""

    def __init__(self, engines: UnevenEngines, randomness: random.Random) -> None:
        self._engines: Final = engines
        self._random: Final = randomness
        self._changes_at = randomness.uniform(0.0, engines.normal_seconds)
        self._is_slow = False

    def find(self, now: float) -> float:
        while now >= self._changes_at:
            self._is_slow = not self._is_slow
            engines = self._engines
            mean = engines.slow_seconds if self._is_slow else engines.normal_seconds
            self._changes_at += mean * self._random.uniform(0.6, 1.4)
        return self._engines.slowness if self._is_slow else 1.0


@dataclass(kw_only=True)
class _Prefill:
    entry: int
    request: PlacementRequest
    sent_at: float
    left: float


class EngineSimulation:
    """One run of a load pattern.

    Args:
        prompts: the load pattern.
        seed: seed of the prompts.
        engines: names of the engines.
        entries: number of entries that receive the prompts.
        uneven: speeds of the engines; None if all are equally fast.
    """

    def __init__(
        self,
        prompts: PromptLoad,
        seed: int,
        engines: Sequence[str] = "abcdef",
        entries: int = 6,
        uneven: UnevenEngines | None = None,
    ) -> None:
        self._prompts: Final = prompts
        self._random: Final = random.Random(seed)
        self._entries: Final = entries
        self.engines: Final = list(engines)
        self._prefills: Final[dict[str, list[_Prefill]]] = {name: [] for name in engines}
        self._caches: Final = {name: PrefixCache(CACHE_TOKENS) for name in engines}
        #: Times from sending to first event of all prompts, in seconds.
        self.first_events: Final[list[float]] = []
        #: Number of prompts by engine.
        self.arrivals: Final[Counter[str]] = Counter()
        self._uneven: Final = uneven
        randomness = random.Random(seed + 1_000)
        self._periods: Final = {
            name: _SlowPeriods(uneven, randomness) for name in engines if uneven is not None
        }
        self._delayed: Final[deque[tuple[float, int, PromptOutcome]]] = deque()
        #: Tokens of shared segments that were prefilled although an engine had cached them.
        self.recomputed = 0

    def run(
        self, choose: Choose, record_outcome: Callable[[int, PromptOutcome, float], None]
    ) -> None:
        """Run to the end."""
        number = 0
        now = 0.0
        while now < self._prompts.end + 2.0:
            for name, crashed_at in self._prompts.crashed:
                if name in self.engines and now >= crashed_at:
                    self.engines.remove(name)
            due = self._find_rate(now) * STEP_SECONDS
            for _ in range(int(due) + (self._random.random() < due % 1)):
                number += 1
                request = self._draw(number, now)
                entry = self._random.randrange(self._entries)
                self._send(choose(entry, request, now), entry, request, now)
            self._prefill(now, record_outcome)
            while self._delayed and self._delayed[0][0] <= now:
                _, entry, outcome = self._delayed.popleft()
                record_outcome(entry, outcome, now)
            now += STEP_SECONDS

    def _find_speed(self, name: str, now: float) -> float:
        if self._uneven is None:
            return 1.0
        speeds = self._uneven.speeds
        return speeds[self.engines.index(name) % len(speeds)] / self._periods[name].find(now)

    def _is_peak(self, now: float) -> bool:
        return self._prompts.start <= now < self._prompts.end

    def _find_rate(self, now: float) -> float:
        return self._prompts.peak_rate if self._is_peak(now) else self._prompts.rate

    def _draw(self, number: int, now: float) -> PlacementRequest:
        subject = self._random.randrange(self._prompts.subjects)
        if self._is_peak(now) and self._random.random() < self._prompts.hot_share:
            subject = 0
        own = min(20_000, max(300, int(self._random.lognormvariate(7.6, 0.8))))
        shared = (
            PromptSegment(identity=f"desk-{subject % 4}", tokens=2_500),
            PromptSegment(identity=f"subject-{subject}", tokens=3_800),
        )
        return PlacementRequest(
            number=number, shared=shared, tokens=6_300 + own, aim_left_seconds=AIM_SECONDS
        )

    def _send(
        self, placement: Placement, entry: int, request: PlacementRequest, now: float
    ) -> None:
        name = placement.target
        self.arrivals[name] += 1
        cached = self._caches[name].count_cached(request.shared)
        if placement.source:
            # A transfer is assumed to take no time: it is much faster than the prefill.
            cached = max(cached, self._caches[placement.source].count_cached(request.shared))
        best = max(self._caches[other].count_cached(request.shared) for other in self.engines)
        self.recomputed += max(0, best - cached)
        self._caches[name].add(request.shared)
        self._prefills[name].append(
            _Prefill(entry=entry, request=request, sent_at=now, left=request.tokens - cached)
        )

    def _prefill(
        self, now: float, record_outcome: Callable[[int, PromptOutcome, float], None]
    ) -> None:
        for name, prefills in self._prefills.items():
            if name not in self.engines:
                prefills.clear()
            step = TOKENS_PER_SECOND * STEP_SECONDS
            if prefills and self._uneven is not None:
                step *= self._find_speed(name, now)
            for prefill in prefills:
                prefill.left -= step / len(prefills)
            for prefill in [prefill for prefill in prefills if prefill.left <= 0]:
                prefills.remove(prefill)
                seconds = now - prefill.sent_at + 0.02
                self.first_events.append(seconds)
                outcome = PromptOutcome(number=prefill.request.number, seconds=seconds)
                if self._uneven is None:
                    record_outcome(prefill.entry, outcome, now)
                    continue
                if self._uneven.reports:
                    outcome = replace(
                        outcome,
                        slowness=self._periods[name].find(now),
                        slowness_age_seconds=self._uneven.delay,
                    )
                self._delayed.append((now + self._uneven.delay, prefill.entry, outcome))


def simulate_central(
    prompts: PromptLoad,
    seeds: int,
    transfer_pace: float | None = None,
    *,
    weighs_limits: bool = True,
) -> tuple[float, float]:
    """Return the late share and the recomputed tokens if one entry places all prompts.

    Args:
        prompts: the load pattern.
        seeds: number of runs.
        transfer_pace: seconds per token of a transfer between engines; None if they cannot
            transfer segments.
        weighs_limits: whether rate limits count before they are exhausted.
    """
    rate_limits = dict(prompts.rate_limits)
    make = partial(
        _CentralChoice,
        transfer_pace=transfer_pace,
        rate_limits=rate_limits,
        weighs_limits=weighs_limits,
    )
    return _simulate(prompts, seeds, make)


def simulate_independent(prompts: PromptLoad, seeds: int) -> tuple[float, float]:
    """Return the same if each entry chooses by prefix affinity and its own requests."""
    return _simulate(prompts, seeds, _IndependentChoice)


class _CentralChoice:
    def __init__(
        self,
        simulation: EngineSimulation,
        transfer_pace: float | None,
        rate_limits: dict[str, float],
        *,
        weighs_limits: bool,
    ) -> None:
        self._simulation = simulation
        self._table = EngineTable(CACHE_TOKENS, transfer_pace)
        self._buckets = {name: RateBucket(rate, 0.0) for name, rate in rate_limits.items()}
        self._counted = self._buckets.keys() if weighs_limits else ()

    def choose(self, entry: int, request: PlacementRequest, now: float) -> Placement:
        self._table.update(
            [EngineLocation(target=name, data_centre="") for name in self._simulation.engines]
        )
        exhausted = [name for name, bucket in self._buckets.items() if bucket.wait_seconds(now) > 0]
        placement = self._table.place(
            f"e{entry}", request, self._simulation.engines, now, exhausted, self._counted
        )
        if placement.target in self._buckets:
            self._buckets[placement.target].try_acquire(now)
        return placement

    def record_outcome(self, entry: int, outcome: PromptOutcome, now: float) -> None:
        self._table.record_outcome(f"e{entry}", outcome, now)


class _IndependentChoice:
    def __init__(self, simulation: EngineSimulation) -> None:
        self._simulation = simulation
        self._random = random.Random(1)
        self._tables = [TargetTable() for _ in range(6)]
        self._chosen: dict[int, str] = {}

    def choose(self, entry: int, request: PlacementRequest, now: float) -> Placement:
        names = self._simulation.engines
        self._tables[entry].update({n: TargetLocation(address=n, data_centre="x") for n in names})
        origin = Origin(data_centre="x", affinity=request.shared[-1].identity)
        choice = self._tables[entry].choose(
            "prefix-affinity", origin, now=now, randomness=self._random
        )
        assert choice is not None
        self._chosen[request.number] = choice.target
        return Placement(number=request.number, target=choice.target)

    def record_outcome(self, entry: int, outcome: PromptOutcome, now: float) -> None:
        self._tables[entry].finish(self._chosen[outcome.number], "good", now)


def _simulate(
    prompts: PromptLoad,
    seeds: int,
    make_choice: Callable[[EngineSimulation], _CentralChoice | _IndependentChoice],
) -> tuple[float, float]:
    times: list[float] = []
    recomputed = 0
    for seed in range(seeds):
        simulation = EngineSimulation(prompts, seed)
        choice = make_choice(simulation)
        simulation.run(choice.choose, choice.record_outcome)
        times.extend(simulation.first_events)
        recomputed += simulation.recomputed
    late = sum(seconds > AIM_SECONDS for seconds in times) / len(times)
    return round(late, 3), recomputed / seeds
