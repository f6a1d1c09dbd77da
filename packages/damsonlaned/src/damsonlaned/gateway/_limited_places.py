"""Choosing among targets of which some named rate limits."""

import asyncio
from collections.abc import Collection
from dataclasses import dataclass
from typing import Final

from damsonlane.backoff import TargetStart
from damsonlane.ratelimit import Permit
from damsonlane.routes import Service
from damsonlaned.gateway._permit_client import PermitClient
from damsonlaned.gateway._targets import Chosen, Prompt, Targets

#: Seconds for which limited targets get nothing where no owner answers.
UNANSWERED_SECONDS: Final = 0.2
#: Least time between two orders for the same target, in seconds, where others take the request.
LEAST_PAUSE_SECONDS: Final = 0.02


@dataclass(frozen=True, kw_only=True)
class NoPlace:
    """No target may get a request now."""

    #: Why, for a person.
    detail: str = "the service has no target"
    #: Seconds until one may get it; 0 where that is not known.
    wait_seconds: float = 0.0
    #: Seconds after which its caller should come back; 0 where that is not known.
    return_seconds: float = 0.0


class LimitedPlaces:
    """Chooses targets, with a permit where the best one named a rate limit.

    Args:
        targets: chooses targets.
        permits: gets permits.
    """

    def __init__(self, targets: Targets, permits: PermitClient) -> None:
        self._targets: Final = targets
        self._permits: Final = permits
        self._at_rate_until: dict[TargetStart, float] = {}

    async def choose(
        self, service: Service, prompt: Prompt, avoid: Collection[str]
    ) -> Chosen | NoPlace:
        """Choose a target for a request that is sent at once."""
        limited = self._targets.list_limited(service)
        if not limited:
            return self._targets.choose(service, prompt, avoid) or NoPlace()
        if self._targets.are_all_limited(service):
            return await self._choose_last(service, limited, avoid)
        at_rate = self._list_at_rate(limited)
        chosen = self._targets.choose(service, prompt, avoid, at_rate)
        if chosen is None or chosen.target not in limited:
            return chosen or NoPlace()
        # A limited target is as good as the others, until it has what it named.
        self._targets.give_back(chosen)
        others = [named for name, named in limited.items() if name not in {*avoid, *at_rate}]
        others.sort(key=lambda named: named.target != chosen.target)
        permitted = await self._try_permit(service, others)
        return permitted or self._targets.choose(service, prompt, avoid, limited) or NoPlace()

    async def find_begin_wait(self, service: Service) -> NoPlace | None:
        """Return when a request may begin whose stages are made first; None for now."""
        limited = self._targets.list_limited(service)
        if not limited or not self._targets.are_all_limited(service):
            return None
        permit = await self._permits.ask(
            service.name, list(limited.values()), is_last=True, is_beginning=True
        )
        return None if permit is not None and permit.may_begin else _tell(permit)

    async def _choose_last(
        self, service: Service, limited: dict[str, TargetStart], avoid: Collection[str]
    ) -> Chosen | NoPlace:
        """Choose a target where all named limits; the caller is told when one is free."""
        untried = [named for name, named in limited.items() if name not in avoid]
        targets = untried or list(limited.values())
        permit = await self._permits.ask(service.name, targets, is_last=True)
        chosen = self._take(service, permit)
        return chosen or _tell(permit)

    async def _try_permit(self, service: Service, targets: list[TargetStart]) -> Chosen | None:
        """Return a limited target that may get a request, or None where others should."""
        permit = await self._permits.ask(service.name, targets, is_last=False)
        chosen = self._take(service, permit)
        if chosen is None:
            wait = permit.wait_seconds if permit is not None else UNANSWERED_SECONDS
            until = asyncio.get_running_loop().time() + max(LEAST_PAUSE_SECONDS, wait)
            self._at_rate_until.update(dict.fromkeys(targets, until))
        return chosen

    def _take(self, service: Service, permit: Permit | None) -> Chosen | None:
        if permit is None or not permit.target:
            return None
        return self._targets.take_permitted(service, permit.target)

    def _list_at_rate(self, limited: dict[str, TargetStart]) -> set[str]:
        """Return the targets that had what they named when this entry asked last."""
        now = asyncio.get_running_loop().time()
        over = [named for named, until in self._at_rate_until.items() if until <= now]
        for named in over:
            del self._at_rate_until[named]
        return {name for name, named in limited.items() if named in self._at_rate_until}


def _tell(permit: Permit | None) -> NoPlace:
    """Return what a request without a permit is told."""
    if permit is None:
        return NoPlace(
            detail="nobody issues permits for the targets of the service",
            wait_seconds=UNANSWERED_SECONDS,
        )
    return NoPlace(
        detail="all targets of the service have the requests that they take",
        wait_seconds=permit.wait_seconds,
        return_seconds=permit.return_seconds,
    )
