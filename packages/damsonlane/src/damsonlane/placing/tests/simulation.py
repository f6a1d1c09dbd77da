"""Prompts played against engines in virtual time: only the choice of an engine is real.

An engine reads all prompts that it was given side by side, each at an equal share of its
speed, and keeps the shared parts that it has read.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Final

from damsonlane.placing import EngineBook, Placement, PromptOrder, PromptPart, PromptRead
from damsonlane.placing._prefix_cache import KeptParts
from damsonlane.ratelimit import RateBucket
from damsonlane.routing import Origin, Place, Standing, TargetBook

#: Tokens that an engine reads in a second.
TOKENS_PER_SECOND: Final = 38_400
#: Tokens that an engine's memory holds.
CACHE_TOKENS: Final = 340_000
#: Seconds of a step of the play.
STEP_SECONDS: Final = 0.01
#: Seconds within which a first event keeps its request in aim.
AIM_SECONDS: Final = 0.5

#: Chooses an engine: entry, order, time.
Choose = Callable[[int, PromptOrder, float], Placement]


@dataclass(frozen=True, kw_only=True)
class Prompts:
    """A load pattern of long prompts that share their first parts."""

    #: Prompts a second, usually and in the wave.
    rate: float = 5.8
    wave_rate: float = 13.9
    #: When the wave starts and ends, in seconds.
    start: float = 2.0
    end: float = 8.0
    #: Different shared parts, each about as likely.
    subjects: int = 91
    #: Share of the prompts in the wave that have one subject.
    hot_share: float = 0.0
    #: Engines that are lost, with the time of the loss.
    lost: tuple[tuple[str, float], ...] = ()
    #: Engines that take only so many prompts a second.
    limited: tuple[tuple[str, float], ...] = ()


@dataclass(kw_only=True)
class _Reading:
    entry: int
    order: PromptOrder
    sent_at: float
    left: float


class EngineReplay:
    """One play of a pattern.

    Args:
        prompts: the pattern.
        seed: draws prompts.
        engines: names of the engines.
        entries: number of entries that the prompts come to.
    """

    def __init__(
        self, prompts: Prompts, seed: int, engines: Sequence[str] = "abcdef", entries: int = 6
    ) -> None:
        self._prompts: Final = prompts
        self._random: Final = random.Random(seed)
        self._entries: Final = entries
        self.engines: Final = list(engines)
        self._reading: Final[dict[str, list[_Reading]]] = {name: [] for name in engines}
        self._kept: Final = {name: KeptParts(CACHE_TOKENS) for name in engines}
        #: Seconds from sending to first event, of all prompts.
        self.first_events: Final[list[float]] = []
        #: Tokens of shared parts that were read though an engine kept them.
        self.read_again = 0

    def run(self, choose: Choose, note: Callable[[int, PromptRead, float], None]) -> None:
        """Play to the end."""
        number = 0
        now = 0.0
        while now < self._prompts.end + 2.0:
            for name, lost_at in self._prompts.lost:
                if name in self.engines and now >= lost_at:
                    self.engines.remove(name)
            if self._random.random() < self._find_rate(now) * STEP_SECONDS:
                number += 1
                order = self._draw(number, now)
                entry = self._random.randrange(self._entries)
                self._send(choose(entry, order, now), entry, order, now)
            self._read(now, note)
            now += STEP_SECONDS

    def _is_wave(self, now: float) -> bool:
        return self._prompts.start <= now < self._prompts.end

    def _find_rate(self, now: float) -> float:
        return self._prompts.wave_rate if self._is_wave(now) else self._prompts.rate

    def _draw(self, number: int, now: float) -> PromptOrder:
        subject = self._random.randrange(self._prompts.subjects)
        if self._is_wave(now) and self._random.random() < self._prompts.hot_share:
            subject = 0
        own = min(20_000, max(300, int(self._random.lognormvariate(7.6, 0.8))))
        shared = (
            PromptPart(identity=f"desk-{subject % 4}", tokens=2_500),
            PromptPart(identity=f"subject-{subject}", tokens=3_800),
        )
        return PromptOrder(
            number=number, shared=shared, tokens=6_300 + own, aim_left_seconds=AIM_SECONDS
        )

    def _send(self, placement: Placement, entry: int, order: PromptOrder, now: float) -> None:
        name = placement.target
        kept = self._kept[name].count_kept(order.shared)
        if placement.source:
            # Moves take milliseconds, a tenth of reading at most; they count as none here.
            kept = max(kept, self._kept[placement.source].count_kept(order.shared))
        best = max(self._kept[other].count_kept(order.shared) for other in self.engines)
        self.read_again += max(0, best - kept)
        self._kept[name].note(order.shared)
        self._reading[name].append(
            _Reading(entry=entry, order=order, sent_at=now, left=order.tokens - kept)
        )

    def _read(self, now: float, note: Callable[[int, PromptRead, float], None]) -> None:
        for name, readings in self._reading.items():
            if name not in self.engines:
                readings.clear()
            for reading in readings:
                reading.left -= TOKENS_PER_SECOND * STEP_SECONDS / len(readings)
            for reading in [reading for reading in readings if reading.left <= 0]:
                readings.remove(reading)
                seconds = now - reading.sent_at + 0.02
                self.first_events.append(seconds)
                note(reading.entry, PromptRead(number=reading.order.number, seconds=seconds), now)


def play_together(
    prompts: Prompts,
    seeds: int,
    move_pace: float | None = None,
    *,
    weighs_limits: bool = True,
) -> tuple[float, float]:
    """Return the late share and the tokens read again where one entry places all prompts.

    Args:
        prompts: the pattern.
        seeds: number of plays.
        move_pace: seconds in which an engine takes a token from another one; None where
            engines can't.
        weighs_limits: whether the rate limits of engines count before they are used up.
    """
    limited = dict(prompts.limited)
    make = partial(
        _TogetherChoice, move_pace=move_pace, limited=limited, weighs_limits=weighs_limits
    )
    return _play(prompts, seeds, make)


def play_apart(prompts: Prompts, seeds: int) -> tuple[float, float]:
    """Return the same where each entry chooses by the prefix and its own requests."""
    return _play(prompts, seeds, _ApartChoice)


class _TogetherChoice:
    def __init__(
        self,
        replay: EngineReplay,
        move_pace: float | None,
        limited: dict[str, float],
        *,
        weighs_limits: bool,
    ) -> None:
        self._replay = replay
        self._book = EngineBook(CACHE_TOKENS, move_pace)
        self._buckets = {name: RateBucket(rate, 0.0) for name, rate in limited.items()}
        self._counted = self._buckets.keys() if weighs_limits else ()

    def choose(self, entry: int, order: PromptOrder, now: float) -> Placement:
        self._book.update([Place(target=name, data_centre="") for name in self._replay.engines])
        shut = [name for name, bucket in self._buckets.items() if bucket.wait_seconds(now) > 0]
        placement = self._book.place(
            f"e{entry}", order, self._replay.engines, now, shut, self._counted
        )
        if placement.target in self._buckets:
            self._buckets[placement.target].take(now)
        return placement

    def note(self, entry: int, read: PromptRead, now: float) -> None:
        self._book.note_read(f"e{entry}", read, now)


class _ApartChoice:
    def __init__(self, replay: EngineReplay) -> None:
        self._replay = replay
        self._random = random.Random(1)
        self._books = [TargetBook() for _ in range(6)]
        self._chosen: dict[int, str] = {}

    def choose(self, entry: int, order: PromptOrder, now: float) -> Placement:
        names = self._replay.engines
        self._books[entry].update({n: Standing(address=n, data_centre="x") for n in names})
        origin = Origin(data_centre="x", affinity=order.shared[-1].identity)
        choice = self._books[entry].choose(
            "prefix-affinity", origin, now=now, randomness=self._random
        )
        assert choice is not None
        self._chosen[order.number] = choice.target
        return Placement(number=order.number, target=choice.target)

    def note(self, entry: int, read: PromptRead, now: float) -> None:
        self._books[entry].finish(self._chosen[read.number], "good", now)


def _play(
    prompts: Prompts,
    seeds: int,
    make_choice: Callable[[EngineReplay], _TogetherChoice | _ApartChoice],
) -> tuple[float, float]:
    times: list[float] = []
    read_again = 0
    for seed in range(seeds):
        replay = EngineReplay(prompts, seed)
        choice = make_choice(replay)
        replay.run(choice.choose, choice.note)
        times.extend(replay.first_events)
        read_again += replay.read_again
    late = sum(seconds > AIM_SECONDS for seconds in times) / len(times)
    return round(late, 3), read_again / seeds
