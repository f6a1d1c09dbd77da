"""Choosing an engine for each prompt by the time to its first event.

Answers a wave of long prompts, alone or while engines are lost.  Entries that choose by
themselves see a sixth or less of what engines are given, so one engine holds seconds of
prompts beside idle ones.  One entry that places all prompts of a service knows every
prompt that is being read: first events after 0.5 s fall from 5.1 to 1.4 in 100, with two
of six engines lost from 10.6 to 2.8 (replays in virtual time, ten seeds).

Engines that can take from each other what they keep do so: a shared part is read once and
moved for a tenth of the time.  Tokens read again fall from 11,500 to 1,500 and late first
events from 1.4 to 0.6 in 100 (the same replays).  So a prompt may go to the engine that
stands beside the results of its stages, wherever those were made.
"""

import functools
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from damsonlane.placing._engine import Engine
from damsonlane.placing._prefill_pace import BASE_SECONDS, ReadingPace
from damsonlane.placing._prompts import Placement, PromptOrder, PromptRead
from damsonlane.placing._transfers import NO_MOVE, Move, plan_moves
from damsonlane.routing import Place, rank_target

#: What reading a shared part once more counts besides the time that it takes, as a
#: multiple of that time: it is paid for, and takes memory from other parts.
READ_AGAIN_WEIGHT: Final = 1.0
#: Seconds that a byte of inputs counts which has to come from another data centre.  Links
#: between them are paid for: a megabyte as much as reading 300 tokens once more.
FAR_BYTE_SECONDS: Final = 0.016e-6
#: What a new shared part counts at an engine with a rate limit, as a multiple of the time that
#: reading it takes: others have to read it soon as well.  With more of it the engines without
#: limits get so many prompts that first events are late.
LIMITED_HOME_WEIGHT: Final = 0.5
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
    name: str
    #: The engine.
    engine: Engine
    #: Tokens to be read until its first event, those of the prompts before it included.
    tokens: float
    #: Seconds until then, as reckoned.
    seconds: float


@dataclass(frozen=True, kw_only=True)
class _Option:
    """An engine that a prompt could go to."""

    #: Its name.
    name: str
    #: Tokens that it would read.
    unread: int
    #: What it would take from another engine.
    move: Move
    #: What the prompt would cost there, in seconds.
    cost: float


class EngineBook:
    """Engines of one service with the prompts that each was given.

    Args:
        cache_tokens: tokens that an engine's memory holds.
        move_pace: seconds in which an engine takes a token from another one; None where
            engines can't.
    """

    def __init__(self, cache_tokens: int, move_pace: float | None = None) -> None:
        self._cache_tokens: Final = cache_tokens
        self._move_pace: Final = move_pace
        self._engines: dict[str, Engine] = {}
        self._pace: Final = ReadingPace()
        self._placed: dict[tuple[str, int], _Placed] = {}

    def update(self, places: Collection[Place]) -> None:
        """Follow the engines that may be used; one that started again keeps nothing."""
        for gone in set(self._engines) - {place.target for place in places}:
            del self._engines[gone]
        for place in places:
            known = self._engines.get(place.target)
            if known is None or known.start != place.start:
                engine = Engine(self._cache_tokens, place.data_centre, place.start)
                self._engines[place.target] = engine

    def place(
        self,
        sender: str,
        order: PromptOrder,
        among: Collection[str],
        now: float,
        shut: Collection[str] = (),
        limited: Collection[str] = (),
    ) -> Placement:
        """Choose the engine for a prompt and count it as being read there.

        Args:
            sender: who asks.
            order: the prompt.
            among: names of the engines for prompts of this length.
            now: the time by the monotonic clock.
            shut: names of engines that may get nothing at the moment.
            limited: names of engines that take only some requests a second.

        Returns:
            The engine, and the one from which it should take parts of the prompt.
        """
        usable = self._find_usable(order, shut, now)
        if not usable:
            return Placement(number=order.number, target="")
        options = self._list_options(usable, order, among, limited, now)
        chosen = min(options, key=lambda option: (option.cost, _rank(option.name, order)))
        self._note_placed(sender, order, chosen, now)
        return Placement(number=order.number, target=chosen.name, source=chosen.move.source)

    def _list_options(
        self,
        usable: Mapping[str, Engine],
        order: PromptOrder,
        among: Collection[str],
        limited: Collection[str],
        now: float,
    ) -> Sequence[_Option]:
        """Return what a prompt would cost at each engine."""
        kept = {name: engine.kept.count_kept(order.shared) for name, engine in usable.items()}
        moves = self._plan_moves(usable, order, kept, now)
        owner = self._find_owner(order, kept, among)
        options: list[_Option] = []
        for name, engine in usable.items():
            move = moves[name]
            unread = order.tokens - kept[name] - move.tokens
            counted = order.tokens - order.shared_tokens if name == owner else unread
            cost = self._reckon_cost(engine, order, counted, move, now)
            if name not in among:
                cost += OTHER_SIDE_SECONDS
            if name in limited:
                # What it reads of the shared parts serves few of the prompts that follow.
                new = max(0, order.shared_tokens - kept[name])
                cost += LIMITED_HOME_WEIGHT * self._pace.seconds(new)
            options.append(_Option(name=name, unread=unread, move=move, cost=cost))
        return options

    def _find_owner(
        self, order: PromptOrder, kept: Mapping[str, int], among: Collection[str]
    ) -> str:
        """Return the engine that should read shared parts which nobody keeps; empty for any.

        It is the one that they hash to, unless others can take them from any engine.
        """
        if self._move_pace is not None or any(kept.values()):
            return ""
        return min(kept, key=lambda name: (name not in among, _rank(name, order)))

    def note_read(self, sender: str, read: PromptRead, now: float) -> None:
        """Take what became of a prompt."""
        placed = self._placed.pop((sender, read.number), None)
        if placed is None or self._engines.get(placed.name) is not placed.engine:
            return
        engine = placed.engine
        if read.seconds is None:
            engine.rests_until = now + REST_SECONDS
            engine.kept.clear()
            return
        self._pace.note(placed.tokens, read.seconds)
        engine.note_ratio(read.seconds / placed.seconds, now)

    def _find_usable(
        self, order: PromptOrder, shut: Collection[str], now: float
    ) -> Mapping[str, Engine]:
        """Return the engines that may get a prompt, resting ones only where no other is left."""
        barred = {*order.avoid, *shut}
        known = {n: e for n, e in self._engines.items() if n not in barred}
        return {n: e for n, e in known.items() if e.rests_until <= now} or known

    def _plan_moves(
        self, usable: Mapping[str, Engine], order: PromptOrder, kept: Mapping[str, int], now: float
    ) -> Mapping[str, Move]:
        """Return what each engine would take from another one."""
        if self._move_pace is None:
            return dict.fromkeys(usable, NO_MOVE)
        return plan_moves(usable, order, kept, self._move_pace, now)

    def _reckon_cost(
        self, engine: Engine, order: PromptOrder, unread: int, move: Move, now: float
    ) -> float:
        """Return what a prompt would cost, in seconds, at an engine that reads some tokens."""
        wait = max(engine.wait_seconds(now), move.done_at - now)
        own = self._pace.seconds(unread)
        first_event = (wait + own) * engine.find_pace(now) + BASE_SECONDS
        shared = unread - (order.tokens - order.shared_tokens)
        again = READ_AGAIN_WEIGHT * self._pace.seconds(shared)
        late = LATE_SECONDS if first_event > order.aim_left_seconds else 0.0
        return first_event + again + late + _count_far(engine, order) * FAR_BYTE_SECONDS

    def _note_placed(self, sender: str, order: PromptOrder, chosen: _Option, now: float) -> None:
        engine = self._engines[chosen.name]
        move = chosen.move
        wait = max(engine.wait_seconds(now), move.done_at - now)
        own = self._pace.seconds(chosen.unread)
        engine.read_at = now + engine.wait_seconds(now) + own
        engine.kept.note(order.shared, now + wait + own)
        if move.source:
            engine.link_free_at = move.done_at
            self._engines[move.source].link_free_at = move.done_at
        ahead = wait / max(1e-9, self._pace.seconds(1.0))
        self._placed[(sender, order.number)] = _Placed(
            name=chosen.name,
            engine=engine,
            tokens=chosen.unread + ahead,
            seconds=BASE_SECONDS + wait + own,
        )
        if len(self._placed) > MOST_PLACED:
            del self._placed[next(iter(self._placed))]


def _count_far(engine: Engine, order: PromptOrder) -> int:
    """Return the bytes of a prompt's inputs that lie in other data centres."""
    return sum(place.size for place in order.inputs if place.data_centre != engine.data_centre)


def _rank(name: str, order: PromptOrder) -> bytes:
    """Return the rank of an engine for a prompt by rendezvous hashing; the least owns it."""
    return _rank_prefix(name, order.shared[-1].identity if order.shared else "")


#: Hashes of an engine and a prefix: 45 engines and 700 prefixes fit, and hashing took
#: most of the time of a placement.
_rank_prefix: Final = functools.lru_cache(maxsize=32_768)(rank_target)
