"""Places the prompts of all entries at the engines of a service."""

import asyncio
import logging
from collections.abc import Callable, Mapping, Sequence
from dataclasses import asdict, replace
from typing import Final

from damsonlane.backoff import TargetIncarnation
from damsonlane.fairness import UsageTotals, equal_weight
from damsonlane.placement import (
    EngineShares,
    EngineTable,
    Placement,
    PlacementRequest,
    PromptOutcome,
    SpeedSummary,
)
from damsonlane.routes import EngineProperties
from damsonlane.routing import EngineLocation, PromptPartition
from damsonlane.targets import Shard
from damsonlane.warmup import WarmupLimiter
from damsonlaned.gateway._owner_activity import ActivityMeter, OwnerActivity
from damsonlaned.gateway._view import FleetView

_LOG: Final = logging.getLogger(__name__)

#: Minimum seconds between two log lines about the speeds of the engines of one service.
SPEED_LOG_SECONDS: Final = 10.0


class PromptPlacer:
    """Places prompts at the engines of one service that control lists as live.

    Args:
        service: name of the service.
        properties: cache size and transfer speed of its engines.
        view: lists the engines.
        find_weight: returns the weight of an organisation's share by its name.
    """

    def __init__(
        self,
        service: str,
        properties: EngineProperties,
        view: FleetView,
        find_weight: Callable[[str], float] = equal_weight,
    ) -> None:
        self._shares: Final = EngineShares(find_weight)
        self._service: Final = service
        self._view: Final = view
        seconds_per_token = (
            properties.token_bytes / properties.link_speed if properties.link_speed else None
        )
        self._engine_table: Final = EngineTable(properties.cache_tokens, seconds_per_token)
        self._partition: Final = PromptPartition()
        self._warm_up_gate: Final = WarmupLimiter()
        self._engines: tuple[EngineLocation, ...] = ()
        self._speeds_logged_at = float("-inf")
        #: Work of this placer, for its log.
        self.activity: Final = ActivityMeter()
        view.on_change(self._update_engines)
        self._update_engines()

    def place(self, sender: str, orders: Sequence[PlacementRequest]) -> tuple[Placement, ...]:
        """Return an engine for each prompt."""
        self.activity.record_orders(len(orders))
        with self.activity:
            return tuple(self._place_one(sender, order) for order in orders)

    def record_reads(self, sender: str, reads: Sequence[PromptOutcome]) -> None:
        """Record the outcomes of prompts."""
        now = asyncio.get_running_loop().time()
        for read in reads:
            self._engine_table.record_outcome(sender, read, now)
            self._shares.record_outcome(sender, read)
        self._log_speeds(now)

    def take_usage(self) -> Mapping[str, UsageTotals]:
        """Return the work of each organisation since the last call of this method."""
        return self._shares.take_usage()

    def summarise_speeds(self) -> SpeedSummary | None:
        """Return a summary of the learned speeds; None if the engines report no slowness."""
        if not self._engine_table.follows_speed:
            return None
        return self._engine_table.summarise_speeds(asyncio.get_running_loop().time())

    def _log_speeds(self, now: float) -> None:
        """Log the learned speeds, once in a while."""
        if now - self._speeds_logged_at < SPEED_LOG_SECONDS:
            return
        summary = self.summarise_speeds()
        if summary is not None:
            self._speeds_logged_at = now
            _LOG.info("engine speeds", extra={"service": self._service, **asdict(summary)})

    def _place_one(self, sender: str, order: PlacementRequest) -> Placement:
        self._partition.record(order.tokens)
        engines = self._partition.find_engines(order.tokens, self._engines)
        now = asyncio.get_running_loop().time()
        warming_up = self._view.list_warming_up(self._service)
        limited = self._view.list_rate_limited(self._service)
        excluded = [
            *self._list_at_warm_up_limit(warming_up, now),
            *self._list_at_rate_limit(limited),
        ]
        placement = replace(
            self._engine_table.place(sender, order, engines, now, excluded, limited),
            is_beyond_share=self._shares.is_beyond_share(order, len(self._engines), now),
        )
        self._shares.record_placed(sender, order, placement, now)
        if placement.target in warming_up:
            self._warm_up_gate.record(placement.target, now)
        if placement.target in limited:
            # The placement includes the permit for this request.
            self._view.limits.take_permit(self._service, limited[placement.target])
        return placement

    def _list_at_rate_limit(self, limited: Mapping[str, TargetIncarnation]) -> list[str]:
        """Return the engines that are at their announced rate limit."""
        wait = self._view.limits.wait_seconds
        return [
            name for name, incarnation in limited.items() if wait(self._service, incarnation) > 0
        ]

    def _list_at_warm_up_limit(self, warming_up: Sequence[str], now: float) -> Sequence[str]:
        """Return the engines that are warming up and can serve no further request yet."""
        bound = self._view.find_warmup_limit(self._service) if warming_up else None
        if bound is None:
            return ()
        limit = bound.owner_limit()
        return [name for name in warming_up if not self._warm_up_gate.admits(name, limit, now)]

    def _update_engines(self) -> None:
        """Replace the known engines by those that are live."""
        records = self._view.open_targets_of(self._service)
        self._engines = tuple(
            EngineLocation(
                target=record.target,
                data_centre=record.data_centre,
                start=record.start,
                version=record.version,
            )
            for record in records
            if record.standing == "live"
        )
        self._engine_table.update(self._engines)
        self._warm_up_gate.retain_only({engine.target for engine in self._engines})


class PromptPlacers:
    """The placers of all services that this entry owns, created on first use.

    Args:
        view: lists services and targets.
        find_weight: returns the weight of an organisation's share by its name.
    """

    def __init__(self, view: FleetView, find_weight: Callable[[str], float] = equal_weight) -> None:
        self._find_weight: Final = find_weight
        self._view: Final = view
        self._placers: dict[str, PromptPlacer] = {}

    def find(self, service: str) -> PromptPlacer | None:
        """Return the placer of a service, or None if it has no engines."""
        if service not in self._placers:
            table = self._view.table
            known = table.service(service) if table is not None else None
            if known is None or known.engine is None:
                return None
            self._placers[service] = PromptPlacer(
                service, known.engine, self._view, self._find_weight
            )
        return self._placers[service]

    def summarise_speeds(self) -> dict[str, SpeedSummary]:
        """Return the learned speeds of the services whose engines report their slowness."""
        summaries = {name: placer.summarise_speeds() for name, placer in self._placers.items()}
        return {name: summary for name, summary in summaries.items() if summary is not None}

    def take_usage(self) -> dict[Shard, Mapping[str, UsageTotals]]:
        """Return the work of organisations at each service since the last call of this method."""
        return {
            Shard(service=service): placer.take_usage() for service, placer in self._placers.items()
        }

    def take_activities(self) -> dict[Shard, OwnerActivity]:
        """Return the work of each placer since the last call of this method."""
        return {
            Shard(service=service): placer.activity.take()
            for service, placer in self._placers.items()
        }
