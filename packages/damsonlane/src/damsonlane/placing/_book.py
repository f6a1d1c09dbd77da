"""Choosing an engine for each prompt by the time to its first event.

Answers a wave of long prompts, alone or while engines are lost.  Entries that choose by
themselves see a sixth or less of what engines are given, so one engine holds seconds of
prompts beside idle ones.  One entry that places all prompts of a service knows every
prompt that is being read: first events after 0.5 s fall from 5.1 to 1.4 in 100, with two
of six engines lost from 10.6 to 2.8 (replays in virtual time, ten seeds).
"""

import functools
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import Final

from damsonlane.placing._engine import Engine
from damsonlane.placing._pace import BASE_SECONDS, ReadingPace
from damsonlane.placing._prompts import PromptOrder, PromptRead
from damsonlane.routing import rank_target

#: What reading a shared part once more counts besides the time that it takes, as a
#: multiple of that time: it is paid for, and takes memory from other parts.
READ_AGAIN_WEIGHT: Final = 1.0
#: Seconds that an engine for prompts of another length counts in addition.
OTHER_SIDE_SECONDS: Final = 0.2
#: Seconds that a first event counts in addition if it is expected after its aim.
LATE_SECONDS: Final = 1.0
#: Seconds for which an engine that did not take a prompt is left alone.
REST_SECONDS: Final = 1.0
#: Placements that are remembered until their reading is told.
MOST_PLACED: Final = 2_048


@dataclass(frozen=True, kw_only=True)
class _Placed:
    """A prompt that was placed."""

    #: Name of the engine.
    engine: str
    #: Tokens to be read until its first event, those of the prompts before it included.
    tokens: float
    #: Seconds until then, as reckoned.
    seconds: float


class EngineBook:
    """Engines of one service with the prompts that each was given.

    Args:
        cache_tokens: tokens that an engine's memory holds.
    """

    def __init__(self, cache_tokens: int) -> None:
        self._cache_tokens: Final = cache_tokens
        self._engines: dict[str, Engine] = {}
        self._pace: Final = ReadingPace()
        self._placed: dict[tuple[str, int], _Placed] = {}

    def update(self, names: Collection[str]) -> None:
        """Follow the engines that may be used."""
        for gone in set(self._engines) - set(names):
            del self._engines[gone]
        for name in names:
            if name not in self._engines:
                self._engines[name] = Engine(self._cache_tokens)

    def place(self, sender: str, order: PromptOrder, among: Collection[str], now: float) -> str:
        """Choose the engine for a prompt and count it as being read there.

        Args:
            sender: who asks.
            order: the prompt.
            among: names of the engines for prompts of this length.
            now: the time by the monotonic clock.

        Returns:
            The name of the engine, or an empty string when none may be used.
        """
        usable = self._find_usable(order, now)
        if not usable:
            return ""
        owner = min(usable, key=lambda name: (name not in among, _rank(name, order)))
        is_kept = any(engine.kept.count_kept(order.shared) for engine in usable.values())

        def count(name: str) -> float:
            # Where nobody keeps the shared parts, the engine that they hash to should.
            belongs = not is_kept and name == owner
            cost = self._reckon_cost(usable[name], order, now, belongs=belongs)
            return cost if name in among else cost + OTHER_SIDE_SECONDS

        chosen = min(usable, key=lambda name: (count(name), _rank(name, order)))
        self._note_placed(sender, order, chosen, now)
        return chosen

    def note_read(self, sender: str, read: PromptRead, now: float) -> None:
        """Take what became of a prompt."""
        placed = self._placed.pop((sender, read.number), None)
        engine = self._engines.get(placed.engine) if placed is not None else None
        if placed is None or engine is None:
            return
        if read.seconds is None:
            engine.rests_until = now + REST_SECONDS
            engine.kept.clear()
            return
        self._pace.note(placed.tokens, read.seconds)
        engine.note_ratio(read.seconds / placed.seconds, now)

    def _find_usable(self, order: PromptOrder, now: float) -> Mapping[str, Engine]:
        """Return the engines that may get a prompt, resting ones only where no other is left."""
        known = {n: e for n, e in self._engines.items() if n not in order.avoid}
        return {n: e for n, e in known.items() if e.rests_until <= now} or known

    def _reckon_cost(
        self, engine: Engine, order: PromptOrder, now: float, *, belongs: bool
    ) -> float:
        """Return what a prompt would cost at an engine, in seconds."""
        shared = sum(part.tokens for part in order.shared)
        unread = 0 if belongs else shared - engine.kept.count_kept(order.shared)
        own = self._pace.seconds(order.tokens - shared + unread)
        first_event = (engine.wait_seconds(now) + own) * engine.find_pace(now) + BASE_SECONDS
        again = READ_AGAIN_WEIGHT * self._pace.seconds(unread)
        late = LATE_SECONDS if first_event > order.aim_left_seconds else 0.0
        return first_event + again + late

    def _note_placed(self, sender: str, order: PromptOrder, name: str, now: float) -> None:
        engine = self._engines[name]
        unread = order.tokens - engine.kept.count_kept(order.shared)
        wait = engine.wait_seconds(now)
        own = self._pace.seconds(unread)
        engine.read_at = now + wait + own
        engine.kept.note(order.shared)
        ahead = wait / max(1e-9, self._pace.seconds(1.0))
        self._placed[(sender, order.number)] = _Placed(
            engine=name, tokens=unread + ahead, seconds=BASE_SECONDS + wait + own
        )
        if len(self._placed) > MOST_PLACED:
            del self._placed[next(iter(self._placed))]


def _rank(name: str, order: PromptOrder) -> bytes:
    """Return the rank of an engine for a prompt by rendezvous hashing; the least owns it."""
    return _rank_prefix(name, order.shared[-1].identity if order.shared else "")


#: Hashes of an engine and a prefix: 45 engines and 700 prefixes fit, and hashing took
#: most of the time of a placement.
_rank_prefix: Final = functools.lru_cache(maxsize=32_768)(rank_target)
