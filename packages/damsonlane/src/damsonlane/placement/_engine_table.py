"""Selects an engine for each prompt by the expected time to its first event.

One entry places all prompts of a service.  Entries that choose on their own see only their
share of the load, so prompts queue at one engine while others are idle.

Engines that can transfer cached prompt segments to each other do so, which is much faster than
prefilling a segment again.  Thus a prompt can go to the engine that is near the results of its
stages, wherever its segments are cached.

Where engines report their slowness, the speed of each is learned and counts for the expected time
to the first event; elsewhere all are taken as equally fast.
"""

import functools
from collections.abc import Collection, Mapping, Sequence
from typing import Final, NamedTuple

from damsonlane.placement._engine import Engine
from damsonlane.placement._prefill_pace import BASE_SECONDS, PrefillPace
from damsonlane.placement._prompts import Placement, PlacementRequest, PromptOutcome
from damsonlane.placement._speed_summary import SpeedSummary, summarise_speeds
from damsonlane.placement._transfers import NO_TRANSFER, Transfer, plan_transfers
from damsonlane.records import dataclass
from damsonlane.routing import EngineLocation, rank_target
from damsonlane.speed import MAX_REPORT_AGE_SECONDS, is_plausible

#: Extra cost of prefilling a shared segment again, as a multiple of the time it takes: it costs
#: money, and evicts other segments from the cache.
RECOMPUTE_WEIGHT: Final = 1.0
#: Cost of each byte of inputs that is transferred from another data centre, in seconds: links
#: between data centres are paid for, a megabyte as much as prefilling 300 tokens again.
REMOTE_BYTE_SECONDS: Final = 0.016e-6
#: Extra cost of prefilling a new shared segment at an engine with a rate limit, as a multiple of
#: the time it takes: other engines will soon have to prefill it as well.  A higher cost would
#: overload the engines without rate limits.
RATE_LIMITED_WEIGHT: Final = 0.5
#: Extra cost of an engine that is meant for prompts of another length, in seconds.
OTHER_LENGTH_SECONDS: Final = 0.2
#: Extra cost of a first event expected after its latency objective, in seconds.
LATE_SECONDS: Final = 1.0
#: Seconds for which an engine that did not take a prompt is ejected.
EJECTION_SECONDS: Final = 1.0
#: Maximum number of placements whose outcome is awaited; older ones are dropped.
MAX_PENDING: Final = 2_048


@dataclass(frozen=True, kw_only=True)
class _Pending:
    """A placed prompt whose outcome is awaited."""

    #: Name of the engine.
    name: str
    #: The engine.
    engine: Engine
    #: Tokens to prefill until its first event, including those of the prompts before it.
    tokens: float
    #: Expected seconds until its first event.
    seconds: float


class _Candidate(NamedTuple):
    """An engine that a prompt could go to; a tuple, since each placement creates one for each."""

    #: Name of the engine.
    name: str
    #: Tokens that it would prefill.
    uncached: int
    #: Segments that it would fetch from another engine.
    transfer: Transfer
    #: Cost of the prompt there, in seconds.
    cost: float


class EngineTable:
    """Engines of one service with the prompts that are placed at each.

    Args:
        cache_tokens: capacity of the memory of an engine, in tokens.
        transfer_pace: seconds per token of a transfer between engines; None if they cannot
            transfer segments.
    """

    def __init__(self, cache_tokens: int, transfer_pace: float | None = None) -> None:
        self._cache_tokens: Final = cache_tokens
        self._transfer_pace: Final = transfer_pace
        self._engines: dict[str, Engine] = {}
        self._pace: Final = PrefillPace()
        self._pending: dict[tuple[str, int], _Pending] = {}
        self._follows_speed = False
        self._moved = 0

    def update(self, locations: Collection[EngineLocation]) -> None:
        """Replace the usable engines; the cache of a restarted engine is empty."""
        for removed in set(self._engines) - {location.target for location in locations}:
            del self._engines[removed]
        for location in locations:
            known = self._engines.get(location.target)
            incarnation = (location.start, location.version)
            if known is None or (known.start, known.version) != incarnation:
                engine = Engine(self._cache_tokens, location.data_centre, *incarnation)
                self._engines[location.target] = engine
        self._follows_speed = any(
            engine.speed.reports_slowness for engine in self._engines.values()
        )

    def place(
        self,
        sender: str,
        request: PlacementRequest,
        preferred: Collection[str],
        now: float,
        excluded: Collection[str] = (),
        rate_limited: Collection[str] = (),
    ) -> Placement:
        """Choose the engine for a prompt and add the prompt to its load.

        Args:
            sender: name of the sender.
            request: the prompt.
            preferred: names of the engines for prompts of this length.
            now: the monotonic clock, in seconds.
            excluded: names of engines that must not get prompts at the moment.
            rate_limited: names of engines with a rate limit.

        Returns:
            The engine, and the one from which it should fetch segments of the prompt.
        """
        usable = self._find_usable(request, excluded, now)
        if not usable:
            return Placement(number=request.number, target="")
        candidates = self._list_candidates(usable, request, preferred, rate_limited, now)
        least = min(candidate.cost for candidate in candidates)
        chosen = min(
            (candidate for candidate in candidates if candidate.cost <= least),
            key=lambda candidate: _rank(candidate.name, request),
        )
        if self._follows_speed and request.shared:
            self._moved += chosen.uncached > min(other.uncached for other in candidates)
        self._record_placement(sender, request, chosen, now)
        return Placement(number=request.number, target=chosen.name, source=chosen.transfer.source)

    def _list_candidates(
        self,
        usable: Mapping[str, Engine],
        request: PlacementRequest,
        preferred: Collection[str],
        rate_limited: Collection[str],
        now: float,
    ) -> Sequence[_Candidate]:
        """Return the usable engines with the cost of a prompt at each."""
        cached = {
            name: engine.cache.count_cached(request.shared) for name, engine in usable.items()
        }
        transfers = self._plan_transfers(usable, request, cached, now)
        home = self._find_home(request, cached, preferred)
        shared_tokens = request.shared_tokens
        own_tokens = request.tokens - shared_tokens
        remote_bytes = _count_remote_bytes(request, {e.data_centre for e in usable.values()})
        candidates: list[_Candidate] = []
        for name, engine in usable.items():
            transfer = transfers[name]
            uncached = request.tokens - cached[name] - transfer.tokens
            charged = own_tokens if name == home else uncached
            first_event = self._estimate_first_event(engine, charged, transfer, now)
            cost = first_event + self._estimate_recompute(engine, charged - own_tokens)
            if first_event > request.aim_left_seconds:
                cost += LATE_SECONDS
            cost += remote_bytes[engine.data_centre] * REMOTE_BYTE_SECONDS
            if name not in preferred:
                cost += OTHER_LENGTH_SECONDS
            if name in rate_limited:
                # Few of the following prompts can use the segments that it prefills.
                new = max(0, shared_tokens - cached[name])
                cost += RATE_LIMITED_WEIGHT * self._pace.seconds(new)
            candidates.append(
                _Candidate(name=name, uncached=uncached, transfer=transfer, cost=cost)
            )
        return candidates

    def _find_home(
        self, request: PlacementRequest, cached: Mapping[str, int], preferred: Collection[str]
    ) -> str:
        """Return the engine that should prefill shared segments not cached anywhere; or empty.

        It is chosen by rendezvous hashing.  If engines can transfer segments, any will do.
        """
        if self._transfer_pace is not None or any(cached.values()):
            return ""
        return min(cached, key=lambda name: (name not in preferred, _rank(name, request)))

    def record_outcome(self, sender: str, outcome: PromptOutcome, now: float) -> None:
        """Record the outcome of a placed prompt."""
        pending = self._pending.pop((sender, outcome.number), None)
        if pending is None or self._engines.get(pending.name) is not pending.engine:
            return
        engine = pending.engine
        if outcome.seconds is None:
            engine.ejected_until = now + EJECTION_SECONDS
            engine.cache.clear()
            engine.work.remove((sender, outcome.number))
            return
        if outcome.slowness is not None:
            engine.speed.record_slowness(outcome.slowness, now - _find_report_age(outcome))
            self._follows_speed = self._follows_speed or engine.speed.reports_slowness
        if self.follows_speed:
            self._record_speed(engine, (sender, outcome.number), outcome, now)
            return
        engine.work.remove((sender, outcome.number))
        self._pace.record(pending.tokens, outcome.seconds)
        engine.record_ratio(outcome.seconds / pending.seconds, now)

    @property
    def follows_speed(self) -> bool:
        """Whether any engine reports its slowness, so that speeds are learned and used."""
        return self._follows_speed

    def summarise_speeds(self, now: float) -> SpeedSummary:
        """Return a summary of the learned speeds."""
        speeds = [engine.speed for engine in self._engines.values()]
        return summarise_speeds(speeds, self._moved, now)

    def _record_speed(
        self, engine: Engine, prompt: tuple[str, int], outcome: PromptOutcome, now: float
    ) -> None:
        """Record an outcome for the pace of the service and for the speed of its engine."""
        slowness = outcome.slowness
        if slowness is None or not is_plausible(slowness):
            slowness = 1.0
        sample = engine.work.finish(prompt, outcome.seconds or 0.0, slowness, now)
        if sample is None:
            return
        engine.speed.record_duration(
            sample.usual_seconds / self._pace.seconds(sample.tokens), slowness=None
        )
        usual = sample.usual_seconds / engine.speed.time_factor
        self._pace.record(sample.tokens, BASE_SECONDS + usual)

    def _wait_seconds(self, engine: Engine, now: float) -> float:
        """Return the expected seconds until an engine has prefilled all prompts placed at it."""
        factor = engine.speed.find_factor(now) if self._follows_speed else 1.0
        return self._wait_seconds_at(engine, factor, now)

    def _wait_seconds_at(self, engine: Engine, factor: float, now: float) -> float:
        """Return the same for an engine whose times are longer by a known factor."""
        wait = engine.wait_seconds(now)
        if not self._follows_speed:
            return wait
        left = self._pace.seconds(engine.work.min_left_tokens(now))
        return max(wait, left * factor)

    def _find_usable(
        self, request: PlacementRequest, excluded: Collection[str], now: float
    ) -> Mapping[str, Engine]:
        """Return the engines that may get a prompt; ejected ones only if no other is left."""
        unusable = {*request.avoid, *excluded}
        known = {n: e for n, e in self._engines.items() if n not in unusable}
        return {n: e for n, e in known.items() if e.ejected_until <= now} or known

    def _plan_transfers(
        self,
        usable: Mapping[str, Engine],
        request: PlacementRequest,
        cached: Mapping[str, int],
        now: float,
    ) -> Mapping[str, Transfer]:
        """Return what each engine would fetch from another one."""
        if self._transfer_pace is None:
            return dict.fromkeys(usable, NO_TRANSFER)
        return plan_transfers(usable, request, cached, self._transfer_pace, now)

    def _estimate_first_event(
        self, engine: Engine, uncached: int, transfer: Transfer, now: float
    ) -> float:
        """Return the seconds until the first event of a prompt, some tokens of it prefilled."""
        prefill = self._pace.seconds(uncached)
        if not self._follows_speed:
            wait = max(engine.wait_seconds(now), transfer.done_at - now)
            return (wait + prefill) * engine.find_slow_factor(now) + BASE_SECONDS
        factor = engine.speed.find_factor(now)
        wait = max(self._wait_seconds_at(engine, factor, now), transfer.done_at - now)
        return wait + prefill * factor + BASE_SECONDS

    def _estimate_recompute(self, engine: Engine, shared: int) -> float:
        """Return the extra cost of prefilling shared tokens again at an engine, in seconds."""
        if self._follows_speed and not engine.speed.is_known:
            # Prompts follow their cached segments, so without this an engine that has cached none
            # would stay unused and its speed unknown.
            return 0.0
        return RECOMPUTE_WEIGHT * self._pace.seconds(shared)

    def _record_placement(
        self, sender: str, request: PlacementRequest, chosen: _Candidate, now: float
    ) -> None:
        engine = self._engines[chosen.name]
        transfer = chosen.transfer
        wait = max(self._wait_seconds(engine, now), transfer.done_at - now)
        factor = engine.speed.find_factor(now) if self.follows_speed else 1.0
        prefill = self._pace.seconds(chosen.uncached) * factor
        engine.prefilled_at = now + self._wait_seconds(engine, now) + prefill
        engine.cache.add(request.shared, now + wait + prefill)
        if transfer.source:
            engine.link_free_at = transfer.done_at
            self._engines[transfer.source].link_free_at = transfer.done_at
        engine.work.add((sender, request.number), chosen.uncached, now)
        ahead = wait / max(1e-9, self._pace.seconds(1.0) * factor)
        self._pending[(sender, request.number)] = _Pending(
            name=chosen.name,
            engine=engine,
            tokens=chosen.uncached + ahead,
            seconds=BASE_SECONDS + wait + prefill,
        )
        if len(self._pending) > MAX_PENDING:
            del self._pending[next(iter(self._pending))]


def _find_report_age(outcome: PromptOutcome) -> float:
    """Return the age of a reported slowness; an implausible one counts as too old to follow."""
    age = outcome.slowness_age_seconds
    return age if 0.0 <= age <= MAX_REPORT_AGE_SECONDS else 2 * MAX_REPORT_AGE_SECONDS


def _count_remote_bytes(
    request: PlacementRequest, data_centres: Collection[str]
) -> Mapping[str, int]:
    """Return for each data centre the bytes of a prompt's inputs that are stored in others."""
    return {
        data_centre: sum(
            location.size for location in request.inputs if location.data_centre != data_centre
        )
        for data_centre in data_centres
    }


def _rank(name: str, request: PlacementRequest) -> bytes:
    """Return the rank of an engine for a prompt by rendezvous hashing; the least wins."""
    return _rank_by_prefix(name, request.shared[-1].identity if request.shared else "")


#: Cached ranks of an engine for a prefix: hashing would take most of the time of a placement.  The
#: size is enough for 45 engines and 700 prefixes.
_rank_by_prefix: Final = functools.lru_cache(maxsize=32_768)(rank_target)
