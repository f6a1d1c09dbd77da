"""Targets of all services as this entry uses them: choice, health, connections."""

import asyncio
import random
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, replace
from typing import Final

from damsonlane.backoff import TargetStart
from damsonlane.coldness import ColdGate, find_entry_share
from damsonlane.routes import Service
from damsonlane.routing import (
    Choice,
    Health,
    LoadReport,
    Origin,
    Place,
    PromptSides,
    Standing,
    TargetBook,
)
from damsonlane.targets import TargetRecord
from damsonlaned.dialects import AnswerSigns
from damsonlaned.gateway._placement_client import PlacedPrompt
from damsonlaned.gateway._view import FleetView
from damsonlaned.http import ConnectionPool

#: Connections that one entry may always open to a target, however many entries share it.
LEAST_CONNECTIONS: Final = 2
#: Share of a target's connections that the fleet uses, so that entries which
#: do not know of each other yet stay within its limit together.
CONNECTION_SHARE: Final = 0.9
#: Policy for engines, whose memory keeps prefixes.
ENGINE_POLICY: Final = "prefix-affinity"
#: Policy for everything else.
PLAIN_POLICY: Final = "paced"


@dataclass(frozen=True, kw_only=True)
class Prompt:
    """What the choice of an engine depends on; empty for other targets."""

    #: The last part of the prompt that other requests share, or an empty string.
    affinity: str = ""
    #: Its length in tokens.
    tokens: int = 0


@dataclass(frozen=True, kw_only=True)
class Chosen:
    """A target that was chosen, with the connections to it."""

    #: Its service.
    service: str
    #: Its name.
    target: str
    #: Its address.
    address: str
    #: Its start.
    start: int
    #: Connections to it.
    connections: ConnectionPool
    #: What the owner that placed the prompt is told of it; None where none did.
    placed: PlacedPrompt | None = None
    #: Address of the engine from which it should take parts of the prompt, or an empty string.
    source_address: str = ""

    @property
    def named(self) -> TargetStart:
        """The start that was chosen."""
        return TargetStart(target=self.target, address=self.address, start=self.start)


class Targets:
    """Chooses targets and remembers how they did.

    Args:
        view: where targets and services stand.
        data_centre: data centre of this entry.
        entries: returns how many entries share the targets.
        own_address: internal address of this entry, by which its share of cold targets goes.
    """

    def __init__(
        self,
        view: FleetView,
        data_centre: str,
        entries: Callable[[], int],
        own_address: str = "",
    ) -> None:
        self._own_address: Final = own_address
        self._gate: Final = ColdGate()
        self._starts: dict[str, int] = {}
        self._view: Final = view
        self._data_centre: Final = data_centre
        self._entries: Final = entries
        self._books: dict[str, TargetBook] = {}
        self._sides: dict[str, PromptSides] = {}
        self._connections: dict[str, ConnectionPool] = {}
        self._misdirected: set[str] = set()
        self._randomness: Final = random.Random()
        view.on_change(self._update)
        self._update()

    def choose(
        self,
        service: Service,
        prompt: Prompt,
        avoid: Collection[str],
        at_rate: Collection[str] = (),
    ) -> Chosen | None:
        """Choose a target, or return None when the service has none that may be used.

        Args:
            service: the service.
            prompt: what the choice of an engine depends on.
            avoid: targets that failed the request already.
            at_rate: targets that get nothing now, since they have what they named.
        """
        records = self._view.targets_of(service.name)
        cold = self._view.list_cold(service.name)
        closed = self._list_closed(records) | self._view.list_backing_off(service.name)
        shut = {*closed, *self._misdirected, *self._list_shut(service, cold), *at_rate}
        silent = {record.target for record in records if record.standing == "silent"}
        choice = self._book(service.name).choose(
            ENGINE_POLICY if service.engine is not None else PLAIN_POLICY,
            Origin(data_centre=self._data_centre, affinity=prompt.affinity),
            prefer=self._find_side(service, prompt, records),
            avoid=avoid,
            silent=silent,
            leaving=shut,
            now=self._now(),
            randomness=self._randomness,
        )
        if choice is None:
            return None
        if choice.target in cold:
            self._gate.note(choice.target, self._now())
        return self._make_chosen(service, choice)

    def _list_closed(self, records: Sequence[TargetRecord]) -> set[str]:
        """Return the targets that get nothing new, since they leave or are evacuated."""
        return {record.target for record in records if not self._view.is_open(record)}

    def _list_shut(self, service: Service, cold: Sequence[str]) -> list[str]:
        """Return the cold targets to which this entry may send nothing by itself for now."""
        bound = self._view.find_cold_bound(service.name) if cold else None
        if bound is None:
            return []
        entries = {entry.address for entry in self._view.entries}
        limit = bound.entries_limit()
        now = self._now()
        shares = {name: find_entry_share(name, self._own_address, entries, limit) for name in cold}
        return [name for name in cold if not self._gate.admits(name, shares[name], now)]

    def take_placed(self, service: Service, placed: PlacedPrompt) -> Chosen | None:
        """Return the engine at which a prompt was placed; None if it is not known here."""
        choice = self._book(service.name).take(placed.target)
        if choice is None:
            return None
        chosen = self._make_chosen(service, choice)
        return replace(chosen, placed=placed, source_address=self._find_source(service, placed))

    def take_permitted(self, service: Service, target: str) -> Chosen | None:
        """Return the target that a permit names; None if it is not known here."""
        choice = self._book(service.name).take(target)
        return self._make_chosen(service, choice) if choice is not None else None

    def give_back(self, chosen: Chosen) -> None:
        """Count a target that was chosen as one that got nothing."""
        self.finish(chosen, "neutral")

    def list_limited(self, service: Service) -> dict[str, TargetStart]:
        """Return the targets that named a rate limit and may get requests, by their names."""
        limited = self._view.list_limited(service.name)
        if not limited:
            return {}
        unusable = self.list_unusable(service)
        return {name: named for name, named in limited.items() if name not in unusable}

    def are_all_limited(self, service: Service) -> bool:
        """Tell whether each target that may get requests named a rate limit."""
        limited = self.list_limited(service)
        unusable = {*self.list_unusable(service), *limited}
        records = self._view.targets_of(service.name)
        return bool(limited) and all(record.target in unusable for record in records)

    def _find_source(self, service: Service, placed: PlacedPrompt) -> str:
        """Return the address of the engine that gives parts of a prompt, or an empty string."""
        records = self._view.open_targets_of(service.name)
        named = [record.address for record in records if record.target == placed.source]
        return named[0] if named else ""

    def list_unusable(self, service: Service) -> set[str]:
        """Return the targets that this entry should not use now."""
        ejected = self._book(service.name).list_ejected(self._now())
        closed = self._list_closed(self._view.targets_of(service.name))
        backing_off = self._view.list_backing_off(service.name)
        return ejected | closed | backing_off | self._misdirected

    def find_return_seconds(self, service: Service) -> float:
        """Return how long all targets of a service want nothing from this box; 0 if one may."""
        return self._view.find_return_seconds(service.name)

    def note_prompt(self, service: Service, prompt: Prompt) -> None:
        """Note a request that arrived, for how engines are divided."""
        if service.engine is not None:
            self._sides.setdefault(service.name, PromptSides()).note(prompt.tokens)

    def _find_side(
        self, service: Service, prompt: Prompt, records: Sequence[TargetRecord]
    ) -> frozenset[str]:
        """Return the live engines for a prompt of this length; empty for other services."""
        if service.engine is None:
            return frozenset()
        places = tuple(
            Place(target=record.target, data_centre=record.data_centre)
            for record in records
            if record.standing == "live" and self._view.is_open(record)
        )
        sides = self._sides.setdefault(service.name, PromptSides())
        return sides.find_side(prompt.tokens, places)

    def finish(
        self,
        chosen: Chosen,
        health: Health,
        *,
        load: LoadReport | None = None,
        pace: float | None = None,
    ) -> None:
        """Count a request at a target as ended."""
        book = self._books.get(chosen.service)
        if book is not None:
            book.finish(
                chosen.target, health, self._now(), report=load, pace=pace, start=chosen.start
            )

    def note_signs(self, chosen: Chosen, signs: AnswerSigns, *, is_own: bool) -> None:
        """Take what the head of an answer says of its target.

        Args:
            chosen: the target.
            signs: what the head says.
            is_own: whether it answers the request that was sent there last.
        """
        self._view.notices.take(chosen.named, signs, is_work=is_own)

    def note_misdirected(self, chosen: Chosen) -> None:
        """Note that another target answered at the address of this one, so it is gone."""
        self._misdirected.add(chosen.target)

    def connections(self, service: Service, target: str, address: str) -> ConnectionPool:
        """Return the connections to a target."""
        share = int(CONNECTION_SHARE * service.most_connections / max(1, self._entries()))
        most = max(LEAST_CONNECTIONS, share)
        connections = self._connections.get(target)
        if connections is None:
            connections = self._connections[target] = ConnectionPool(address, most)
        connections.most = most
        return connections

    def _make_chosen(self, service: Service, choice: Choice) -> Chosen:
        return Chosen(
            service=service.name,
            target=choice.target,
            address=choice.address,
            start=choice.start,
            connections=self.connections(service, choice.target, choice.address),
        )

    def _book(self, service: str) -> TargetBook:
        if service not in self._books:
            self._books[service] = TargetBook()
            self._update_book(service)
        return self._books[service]

    def _update(self) -> None:
        for service in self._books:
            self._update_book(service)
        table = self._view.table
        starts = {
            record.target: record.start
            for service in (table.document.services if table else ())
            for record in self._view.targets_of(service.name)
        }
        known = {name for name, start in starts.items() if self._starts.get(name, start) == start}
        # Connections to an earlier start, and what was learnt of it, end with it.
        for target in set(self._connections) - known:
            self._connections.pop(target).close()
        self._misdirected &= known
        self._gate.forget_others(known)
        self._starts = starts

    def _update_book(self, service: str) -> None:
        self._books[service].update(
            {
                record.target: Standing(
                    address=record.address, data_centre=record.data_centre, start=record.start
                )
                for record in self._view.targets_of(service)
            }
        )

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
