"""Fair shares of organisations at the engines of one service.

A prompt is placed as soon as it is requested, so prompts wait at engines and not at the owner.
Engines process their prompts by urgency.  While organisations compete, a prompt beyond the share
of its organisation is sent with the least urgency that the organisation's priority allows.
"""

import math
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Final

from damsonlane.fairness import (
    Claim,
    OrganisationShares,
    OrganisationUsage,
    UsageTotals,
    WaitingWork,
    equal_weight,
)
from damsonlane.placement._prefill_pace import PrefillPace
from damsonlane.placement._prompts import Placement, PlacementRequest, PromptOutcome
from damsonlane.records import dataclass

#: Maximum number of placements whose outcome is awaited; older ones are dropped.
MAX_PENDING: Final = 2_048
#: Seconds after which the outcome of a prompt is no longer awaited: that of an entry that crashed
#: never comes, and would count against the share of its organisation.
PENDING_SECONDS: Final = 10.0


@dataclass(frozen=True, kw_only=True)
class _Pending:
    """A placed prompt whose first event is awaited."""

    #: Organisation of its caller.
    organisation: str
    #: Name of the engine.
    target: str
    #: Its length, in tokens.
    tokens: int
    #: Tokens that were awaited at the engine, its own included, when it was placed.
    queued: int
    #: When it was placed, by the monotonic clock.
    placed_at: float


class EngineShares:
    """Finds the prompts that are beyond the share of their organisation.

    Work is measured in prompt tokens, whether cached or not.  While no request names an
    organisation, nothing is recorded and no prompt is beyond a share.

    Args:
        find_weight: returns the weight of an organisation by its name.
    """

    def __init__(self, find_weight: Callable[[str], float] = equal_weight) -> None:
        self._shares: Final = OrganisationShares(find_weight)
        self._usage: Final = OrganisationUsage()
        self._pace: Final = PrefillPace()
        self._is_used = False
        self._pending: dict[tuple[str, int], _Pending] = {}
        #: Tokens of prompts whose first event is awaited, by organisation and by engine.
        self._awaited: dict[str, int] = {}
        self._queued: dict[str, int] = {}

    def is_beyond_share(self, request: PlacementRequest, engines: int, now: float) -> bool:
        """Return whether a prompt is beyond the share of its organisation.

        Args:
            request: the prompt.
            engines: number of engines.
            now: the monotonic clock, in seconds.
        """
        if not (self._is_used or request.organisation) or not engines:
            return False
        name, own = request.organisation, request.tokens
        waiting = {other: WaitingWork(work=tokens) for other, tokens in self._awaited.items()} | {
            name: WaitingWork(work=self._awaited.get(name, 0) + own)
        }
        capacity = engines / self._pace.seconds(1.0)
        if not self._shares.divide(waiting, capacity, now):
            return False
        claims = [
            Claim(organisation=name, work=self._awaited.get(name, 0), seconds=math.inf),
            Claim(organisation=name, work=own, seconds=request.aim_left_seconds),
        ]
        return self._shares.find_excess(claims)[-1]

    def record_placed(
        self,
        sender: str,
        request: PlacementRequest,
        placement: Placement,
        now: float,
    ) -> None:
        """Record where a prompt was placed.

        Args:
            sender: name of the sender.
            request: the prompt.
            placement: the engine.
            now: the monotonic clock, in seconds.
        """
        if request.organisation:
            self._is_used = True
        if not self._is_used or not placement.target:
            return
        name, target = request.organisation, placement.target
        self._remove((sender, request.number))
        self._forget_old(now)
        self._add(name, target, request.tokens)
        self._pending[(sender, request.number)] = _Pending(
            organisation=name,
            target=target,
            tokens=request.tokens,
            queued=self._queued.get(target, 0),
            placed_at=now,
        )
        self._shares.record_started(name, request.tokens, now)
        self._usage.record_started(name, request.tokens, 0.0, is_excess=placement.is_beyond_share)

    def record_outcome(self, sender: str, outcome: PromptOutcome) -> None:
        """Record the outcome of a placed prompt."""
        pending = self._remove((sender, outcome.number))
        if pending is not None and outcome.seconds is not None:
            self._pace.record(pending.queued, outcome.seconds)
            self._usage.record_wait(pending.organisation, outcome.seconds)

    def take_usage(self) -> Mapping[str, UsageTotals]:
        """Return the work of each organisation since the last call of this method."""
        return {
            name: replace(totals, share=self._shares.find_share(name))
            for name, totals in self._usage.take().items()
        }

    def _forget_old(self, now: float) -> None:
        """Drop prompts whose outcome is late or was lost together with their entry."""
        while self._pending:
            identity, oldest = next(iter(self._pending.items()))
            is_recent = now - oldest.placed_at < PENDING_SECONDS
            if is_recent and len(self._pending) < MAX_PENDING:
                return
            self._remove(identity)

    def _remove(self, identity: tuple[str, int]) -> _Pending | None:
        pending = self._pending.pop(identity, None)
        if pending is not None:
            self._add(pending.organisation, pending.target, -pending.tokens)
        return pending

    def _add(self, name: str, target: str, tokens: int) -> None:
        """Add to the tokens awaited of an organisation and at an engine."""
        for counts, key in ((self._awaited, name), (self._queued, target)):
            counts[key] = counts.get(key, 0) + tokens
            if counts[key] <= 0:
                del counts[key]
