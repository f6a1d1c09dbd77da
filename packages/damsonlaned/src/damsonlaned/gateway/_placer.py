"""Placing the prompts of all entries at the engines of one service."""

import asyncio
from collections.abc import Mapping, Sequence
from typing import Final

from damsonlane.backoff import TargetStart
from damsonlane.coldness import ColdGate
from damsonlane.placing import EngineBook, Placement, PromptOrder, PromptRead
from damsonlane.routes import EngineTraits
from damsonlane.routing import Place, PromptSides
from damsonlaned.gateway._view import FleetView


class PromptPlacer:
    """Places prompts at the engines that control lists.

    Args:
        service: name of the service.
        traits: what its engines can do.
        view: where they stand.
    """

    def __init__(self, service: str, traits: EngineTraits, view: FleetView) -> None:
        self._service: Final = service
        self._view: Final = view
        pace = traits.token_bytes / traits.link_speed if traits.link_speed else None
        self._book: Final = EngineBook(traits.cache_tokens, pace)
        self._sides: Final = PromptSides()
        self._gate: Final = ColdGate()
        self._places: tuple[Place, ...] = ()
        view.on_change(self._follow_engines)
        self._follow_engines()

    def place(self, sender: str, orders: Sequence[PromptOrder]) -> tuple[Placement, ...]:
        """Return an engine for each prompt."""
        return tuple(self._place_one(sender, order) for order in orders)

    def note_reads(self, sender: str, reads: Sequence[PromptRead]) -> None:
        """Take what became of prompts."""
        now = asyncio.get_running_loop().time()
        for read in reads:
            self._book.note_read(sender, read, now)

    def _place_one(self, sender: str, order: PromptOrder) -> Placement:
        self._sides.note(order.tokens)
        side = self._sides.find_side(order.tokens, self._places)
        now = asyncio.get_running_loop().time()
        cold = self._view.list_cold(self._service)
        limited = self._view.list_limited(self._service)
        shut = [*self._list_shut(cold, now), *self._list_at_rate(limited)]
        placement = self._book.place(sender, order, side, now, shut, limited)
        if placement.target in cold:
            self._gate.note(placement.target, now)
        if placement.target in limited:
            # Whoever is given this engine has its permit with it.
            self._view.limits.take_permit(self._service, limited[placement.target])
        return placement

    def _list_at_rate(self, limited: Mapping[str, TargetStart]) -> list[str]:
        """Return the engines that have what they named for the moment."""
        wait = self._view.limits.wait_seconds
        return [name for name, named in limited.items() if wait(self._service, named) > 0]

    def _list_shut(self, cold: Sequence[str], now: float) -> Sequence[str]:
        """Return the cold engines that have what they bear for the moment."""
        bound = self._view.find_cold_bound(self._service) if cold else None
        if bound is None:
            return ()
        limit = bound.owner_limit()
        return [name for name in cold if not self._gate.admits(name, limit, now)]

    def _follow_engines(self) -> None:
        """Follow the engines that are live."""
        records = self._view.open_targets_of(self._service)
        self._places = tuple(
            Place(target=record.target, data_centre=record.data_centre, start=record.start)
            for record in records
            if record.standing == "live"
        )
        self._book.update(self._places)
        self._gate.forget_others({place.target for place in self._places})


class PromptPlacers:
    """Placers of all services that this entry is asked for, made when first asked.

    Args:
        view: where services and targets stand.
    """

    def __init__(self, view: FleetView) -> None:
        self._view: Final = view
        self._placers: dict[str, PromptPlacer] = {}

    def find(self, service: str) -> PromptPlacer | None:
        """Return the placer of a service, or None if it has no engines."""
        if service not in self._placers:
            table = self._view.table
            known = table.service(service) if table is not None else None
            if known is None or known.engine is None:
                return None
            self._placers[service] = PromptPlacer(service, known.engine, self._view)
        return self._placers[service]
