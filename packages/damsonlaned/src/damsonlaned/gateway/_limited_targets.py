"""Selects a target for a request where some targets announced rate limits."""

import asyncio
from collections.abc import Collection
from typing import Final

from damsonlane.backoff import TargetIncarnation
from damsonlane.ratelimit import Permit
from damsonlane.records import dataclass
from damsonlane.routes import Service
from damsonlaned.gateway._call import Prompt
from damsonlaned.gateway._permit_client import PermitClient
from damsonlaned.gateway._target_selector import ChosenTarget, TargetSelector

#: Seconds for which rate-limited targets get nothing after a permit order was not answered.
UNANSWERED_SECONDS: Final = 0.2
#: Seconds after which to look for a target with room again, and after which a caller should.
FULL_WAIT_SECONDS: Final = 0.02
FULL_RETURN_SECONDS: Final = 0.5
#: Least seconds between two permit orders for a target, while other targets accept requests.
MIN_PERMIT_INTERVAL_SECONDS: Final = 0.02


@dataclass(frozen=True, kw_only=True)
class NoTarget:
    """The result of a selection when no target may get the request."""

    #: Human-readable reason.
    detail: str = "the service has no target"
    #: Seconds until a target may get it; 0 if unknown.
    wait_seconds: float = 0.0
    #: Seconds after which the caller should retry; 0 if unknown.
    return_seconds: float = 0.0
    #: Whether a target is probably free within a fraction of the latency objective.
    is_brief: bool = False
    #: Whether it only lacks a connection, which another request may release at any moment.
    lacks_connection: bool = False


class LimitedTargetSelector:
    """Selects targets, with a permit if the selected one is rate limited.

    Args:
        targets: chooses among the targets.
        permits: requests permits.
    """

    def __init__(self, targets: TargetSelector, permits: PermitClient) -> None:
        self._targets: Final = targets
        self._permits: Final = permits
        self._limited_until: dict[TargetIncarnation, float] = {}

    async def choose(
        self,
        service: Service,
        prompt: Prompt,
        avoid: Collection[str],
        excluded: Collection[str] = (),
    ) -> ChosenTarget | NoTarget:
        """Return a target for a request that is sent immediately.

        Args:
            service: the service.
            prompt: what the choice of an engine depends on.
            avoid: targets that failed the request already.
            excluded: targets that may not get it.
        """
        limited = {
            name: incarnation
            for name, incarnation in self._targets.list_rate_limited(service).items()
            if name not in excluded
        }
        if not limited:
            # One that is ejected would be the last resort, without a permit.
            left_out = {*excluded, *self._targets.list_all_rate_limited(service)}
            found = self._targets.choose(service, prompt, avoid, left_out)
            return found or self._explain_none(service, {*avoid, *left_out})
        if self._targets.are_all_rate_limited(service, excluded):
            return await self._choose_among_limited(service, limited, avoid)
        at_rate_limit = self._list_at_rate_limit(limited)
        chosen = self._targets.choose(service, prompt, avoid, {*at_rate_limit, *excluded})
        if chosen is None or chosen.target not in limited:
            left_out = {*avoid, *at_rate_limit, *excluded}
            return chosen or self._find_shortage(service, left_out) or NoTarget()
        # A rate-limited target is preferred like any other until it is at its limit.
        self._targets.release_unused(chosen)
        others = [
            incarnation
            for name, incarnation in limited.items()
            if name not in {*avoid, *at_rate_limit}
        ]
        others.sort(key=lambda incarnation: incarnation.target != chosen.target)
        permitted = await self._choose_with_permit(service, others)
        if permitted is not None:
            return permitted
        left_out = {*limited, *excluded}
        unlimited = self._targets.choose(service, prompt, avoid, left_out)
        return unlimited or self._find_shortage(service, {*avoid, *left_out}) or NoTarget()

    def _explain_none(self, service: Service, left_out: Collection[str]) -> NoTarget:
        """Return why no target was chosen, apart from some that may not get the request."""
        if (shortage := self._find_shortage(service, left_out)) is not None:
            return shortage
        if not self._targets.list_full(service):
            return NoTarget()
        return NoTarget(
            detail="the targets of the service would fail if they had to reject more",
            wait_seconds=FULL_WAIT_SECONDS,
            return_seconds=FULL_RETURN_SECONDS,
            is_brief=True,
        )

    def _find_shortage(self, service: Service, left_out: Collection[str]) -> NoTarget | None:
        """Return that only connections to the other targets lack; None if that is not so."""
        if not self._targets.record_shortage(service, left_out):
            return None
        return NoTarget(
            detail="all connections of this entry to the targets of the service are in use",
            wait_seconds=FULL_WAIT_SECONDS,
            return_seconds=FULL_RETURN_SECONDS,
            is_brief=True,
            lacks_connection=True,
        )

    async def check_admission(self, service: Service) -> NoTarget | None:
        """Return why a request with stages may not begin yet; None if it may begin now."""
        limited = self._targets.list_rate_limited(service)
        if not limited or not self._targets.are_all_rate_limited(service):
            return None
        permit = await self._permits.ask(
            service.name, list(limited.values()), is_last=True, is_beginning=True
        )
        return None if permit is not None and permit.may_begin else _explain(permit)

    async def _choose_among_limited(
        self, service: Service, limited: dict[str, TargetIncarnation], avoid: Collection[str]
    ) -> ChosenTarget | NoTarget:
        """Return a target where all are rate limited, or why none may get the request."""
        untried = [incarnation for name, incarnation in limited.items() if name not in avoid]
        targets = untried or list(limited.values())
        permit = await self._permits.ask(service.name, targets, is_last=True)
        chosen = self._accept(service, permit)
        return chosen or _explain(permit)

    async def _choose_with_permit(
        self, service: Service, targets: list[TargetIncarnation]
    ) -> ChosenTarget | None:
        """Return a rate-limited target with a permit, or None without a permit."""
        permit = await self._permits.ask(service.name, targets, is_last=False)
        chosen = self._accept(service, permit)
        if chosen is None:
            wait = permit.wait_seconds if permit is not None else UNANSWERED_SECONDS
            until = asyncio.get_running_loop().time() + max(MIN_PERMIT_INTERVAL_SECONDS, wait)
            self._limited_until.update(dict.fromkeys(targets, until))
        return chosen

    def _accept(self, service: Service, permit: Permit | None) -> ChosenTarget | None:
        if permit is None or not permit.target:
            return None
        if self._targets.fleet_connections.is_full(service, permit.target):
            return None
        return self._targets.choose_permitted(service, permit.target)

    def _list_at_rate_limit(self, limited: dict[str, TargetIncarnation]) -> set[str]:
        """Return the targets for which this entry was refused a permit and should not ask yet."""
        now = asyncio.get_running_loop().time()
        expired = [
            incarnation for incarnation, until in self._limited_until.items() if until <= now
        ]
        for incarnation in expired:
            del self._limited_until[incarnation]
        return {name for name, incarnation in limited.items() if incarnation in self._limited_until}


def _explain(permit: Permit | None) -> NoTarget:
    """Return the reason and the waits for a request that got no permit."""
    if permit is None:
        return NoTarget(
            detail="nobody issues permits for the targets of the service",
            wait_seconds=UNANSWERED_SECONDS,
        )
    return NoTarget(
        detail="all targets of the service have the requests that they take",
        wait_seconds=permit.wait_seconds,
        return_seconds=permit.return_seconds,
    )
