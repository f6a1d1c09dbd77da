"""Select targets for requests; track their health and the connections to them."""

import asyncio
import logging
import random
from collections.abc import Callable, Collection, Sequence
from dataclasses import replace
from typing import Final, Protocol

from damsonlane.backoff import TargetIncarnation
from damsonlane.membership import CapacityShares
from damsonlane.records import dataclass
from damsonlane.routes import Service
from damsonlane.routing import (
    EngineLocation,
    HealthSignal,
    LoadReport,
    Origin,
    PromptPartition,
    TargetChoice,
    TargetLocation,
    TargetTable,
)
from damsonlane.targets import ServedModel, TargetRecord
from damsonlane.warmup import WarmupLimiter, find_entry_share
from damsonlaned.connections import FleetConnections
from damsonlaned.dialects import ResponseSignals
from damsonlaned.gateway._call import Prompt
from damsonlaned.gateway._placement_client import PlacedPrompt
from damsonlaned.gateway._view import FleetView
from damsonlaned.http import CollectionBudget, ConnectionObserver, ConnectionPool

_LOG: Final = logging.getLogger(__name__)

#: Length of a loan of connections by default, in seconds.
LOAN_SECONDS: Final = 1.0
#: Routing policy for engines, which cache prompt prefixes.
ENGINE_POLICY: Final = "prefix-affinity"
#: Routing policy for all other targets.
DEFAULT_POLICY: Final = "paced"


@dataclass(frozen=True, kw_only=True)
class ChosenTarget:
    """A target that was chosen, with the connections to it."""

    #: Its service.
    service: str
    #: Its name.
    target: str
    #: Its address.
    address: str
    #: Start time of its incarnation.
    start: int
    #: Version of its software; empty where it is not reported.
    version: str
    #: Its models.
    models: tuple[ServedModel, ...]
    #: Connections to it.
    connections: ConnectionPool
    #: The placement that is reported back to the owner that placed the prompt, or None.
    placed: PlacedPrompt | None = None
    #: Address of the engine from which it should copy cached prompt segments, or an empty string.
    source_address: str = ""

    def find_weights(self, model: str) -> int | None:
        """Return the version of the weights of a model; None if it is not reported."""
        return next((known.weights for known in self.models if known.name == model), None)

    @property
    def incarnation(self) -> TargetIncarnation:
        """The incarnation that was chosen."""
        return TargetIncarnation(target=self.target, address=self.address, start=self.start)


class TargetReach(Protocol):
    """What the connections of this entry show about targets."""

    def observe(self, service: str, target: str) -> ConnectionObserver:
        """Return the observer of the connections to a target."""

    def list_silent(self, service: str) -> Collection[str]:
        """Return the targets of a service that took requests here and sent nothing."""


class TargetSelector:
    """Chooses targets and records their health.

    Args:
        view: targets and services of the fleet.
        data_centre: data centre of this entry.
        entries: returns how many entries share the targets.
        own_address: internal address of this entry, which decides its share of the requests to
            targets that warm up.
        shares: the shares of this entry in the limits that entries divide; None for one that knows
            no other entry.
        reach: observes the connections to targets; None if nobody does.
        loan_seconds: length of a loan of connections to targets, in seconds.
        budget: limits the bytes of responses that are collected.
    """

    def __init__(
        self,
        view: FleetView,
        data_centre: str,
        entries: Callable[[], int],
        own_address: str = "",
        shares: CapacityShares | None = None,
        reach: TargetReach | None = None,
        loan_seconds: float = LOAN_SECONDS,
        budget: CollectionBudget | None = None,
    ) -> None:
        self._shares: Final = shares or CapacityShares(own_address)
        #: The connections to targets, and loans of them.
        self.fleet_connections: Final = FleetConnections(
            view, self._shares, loan_seconds, reach.observe if reach is not None else None, budget
        )
        self._reach: Final = reach
        self._own_address: Final = own_address
        self._warm_up_gate: Final = WarmupLimiter()
        self._incarnations: dict[str, int] = {}
        self._view: Final = view
        self._data_centre: Final = data_centre
        self._entries: Final = entries
        self._tables: dict[str, TargetTable] = {}
        self._partitions: dict[str, PromptPartition] = {}
        self._misdirected: set[str] = set()
        self._randomness: Final = random.Random()
        self._logged_slowness: set[TargetIncarnation] = set()
        #: Reports of a slowness that were ignored as implausible.
        self.implausible_slowness = 0
        view.on_change(self._update)
        self._update()

    def choose(
        self,
        service: Service,
        prompt: Prompt,
        avoid: Collection[str],
        excluded: Collection[str] = (),
    ) -> ChosenTarget | None:
        """Choose a target, or return None when the service has none that may be used.

        Args:
            service: the service.
            prompt: what the choice of an engine depends on.
            avoid: targets that failed the request already.
            excluded: further targets that may not get it now.
        """
        records = self._view.targets_of(service.name)
        warming_up = self._view.list_warming_up(service.name)
        closed = self._list_closed(records) | self._view.list_backing_off(service.name)
        unusable = {
            *closed,
            *self.list_full(service),
            *self._misdirected,
            *self._list_over_warm_up_limit(service, warming_up),
            *excluded,
        }
        full = self.fleet_connections.list_full(service, [record.target for record in records])
        if full and self._are_healthy_targets_full(service, records, {*avoid, *unusable}, full):
            return None
        silent = {record.target for record in records if record.standing == "silent"}
        if self._reach is not None:
            silent.update(self._reach.list_silent(service.name))
        choice = self._table(service.name).choose(
            ENGINE_POLICY if service.engine is not None else DEFAULT_POLICY,
            Origin(data_centre=self._data_centre, affinity=prompt.affinity),
            prefer=self._find_side(service, prompt, records),
            avoid=avoid,
            silent=silent,
            leaving={*unusable, *full},
            now=self._now(),
            randomness=self._randomness,
        )
        if choice is None:
            return None
        if choice.target in warming_up:
            self._warm_up_gate.record(choice.target, self._now())
        return self._make_chosen(service, choice)

    def _are_healthy_targets_full(
        self,
        service: Service,
        records: Sequence[TargetRecord],
        left_out: Collection[str],
        full: Collection[str],
    ) -> bool:
        """Return whether there are healthy targets and only connections to them lack.

        A request waits for one of these rather than going to a target that is ejected or silent.
        """
        ejected = self._table(service.name).list_ejected(self._now())
        healthy = {
            record.target
            for record in records
            if record.standing == "live" and record.target not in ejected
        }
        healthy -= set(left_out)
        return bool(healthy) and healthy <= set(full)

    def _list_closed(self, records: Sequence[TargetRecord]) -> set[str]:
        """Return the targets that get nothing new, since they are draining or evacuated."""
        return {record.target for record in records if not self._view.is_open(record)}

    def _list_over_warm_up_limit(self, service: Service, warming_up: Sequence[str]) -> list[str]:
        """Return the targets that have had this entry's share of their warm-up limit."""
        bound = self._view.find_warmup_limit(service.name) if warming_up else None
        if bound is None:
            return []
        limit = bound.entries_limit()
        now = self._now()
        if self._shares.is_uneven(now):
            shares = {name: self._shares.split_singly(name, limit, now) for name in warming_up}
        else:
            entries = {entry.address for entry in self._view.entries}
            shares = {
                name: find_entry_share(name, self._own_address, entries, limit)
                for name in warming_up
            }
        return [
            name for name in warming_up if not self._warm_up_gate.admits(name, shares[name], now)
        ]

    def choose_placed(self, service: Service, placed: PlacedPrompt) -> ChosenTarget | None:
        """Return the engine at which a prompt was placed; None if this entry does not list it."""
        choice = self._table(service.name).assign(placed.target)
        if choice is None:
            return None
        chosen = self._make_chosen(service, choice)
        return replace(
            chosen,
            placed=placed,
            source_address=self._find_source_address(service, placed, chosen.version),
        )

    def choose_permitted(self, service: Service, target: str) -> ChosenTarget | None:
        """Return the target that a permit names; None if this entry does not list it."""
        choice = self._table(service.name).assign(target)
        return self._make_chosen(service, choice) if choice is not None else None

    def release_unused(self, chosen: ChosenTarget) -> None:
        """Undo the choice of a target to which nothing was sent."""
        self.finish(chosen, "neutral")

    def list_rate_limited(self, service: Service) -> dict[str, TargetIncarnation]:
        """Return the usable targets that announced a rate limit, by name."""
        limited = self._view.list_rate_limited(service.name)
        if not limited:
            return {}
        unusable = self.list_unusable(service)
        return {name: incarnation for name, incarnation in limited.items() if name not in unusable}

    def list_all_rate_limited(self, service: Service) -> set[str]:
        """Return the targets that announced a rate limit, also those that are not usable now."""
        return set(self._view.list_rate_limited(service.name))

    def are_all_rate_limited(self, service: Service, excluded: Collection[str] = ()) -> bool:
        """Return whether all usable targets, apart from some, announced a rate limit."""
        limited = set(self.list_rate_limited(service)) - set(excluded)
        unusable = {*self.list_unusable(service), *limited, *excluded}
        records = self._view.targets_of(service.name)
        return bool(limited) and all(record.target in unusable for record in records)

    def _find_source_address(self, service: Service, placed: PlacedPrompt, version: str) -> str:
        """Return the address of the engine to copy prompt segments from, or an empty string.

        Engines of another version may store them in another form.
        """
        records = self._view.open_targets_of(service.name)
        addresses = [
            record.address
            for record in records
            if record.target == placed.source and record.version == version
        ]
        return addresses[0] if addresses else ""

    def list_unusable(self, service: Service) -> set[str]:
        """Return the targets that are ejected, draining, evacuated, backing off or misdirected."""
        ejected = self._table(service.name).list_ejected(self._now())
        closed = self._list_closed(self._view.targets_of(service.name))
        backing_off = self._view.list_backing_off(service.name)
        return ejected | closed | backing_off | self._misdirected

    def list_full(self, service: Service) -> set[str]:
        """Return the targets that would fail if they rejected more, and get nothing more now."""
        rejections = self._view.announcements.rejections
        if rejections.is_empty():
            return set()
        records = self._view.targets_of(service.name)
        work = self._table(service.name).list_work(records, self._now())
        return rejections.list_full(service.name, work, self._entries(), self._now())

    def list_unconnectable(self, service: Service) -> set[str]:
        """Return the targets to which all connections that this entry may open are in use."""
        names = [record.target for record in self._view.targets_of(service.name)]
        return self.fleet_connections.list_full(service, names)

    def record_shortage(self, service: Service, left_out: Collection[str]) -> bool:
        """Record it if only connections lack for a request; return whether that is so.

        Args:
            service: the service.
            left_out: targets that may not get the request, or failed it.
        """
        records = self._view.targets_of(service.name)
        unusable = {*self.list_unusable(service), *self.list_full(service), *left_out}
        full = self.list_unconnectable(service)
        is_short = self._are_healthy_targets_full(service, records, unusable, full)
        if is_short:
            self.fleet_connections.record_shortage(service, full - unusable)
        return is_short

    def find_backoff_seconds(self, service: Service) -> float:
        """Return the seconds for which all targets of a service back off; 0 if one does not."""
        return self._view.find_backoff_seconds(service.name)

    def record_prompt(self, service: Service, prompt: Prompt) -> None:
        """Record the prompt of a new request, by which engines are partitioned."""
        if service.engine is not None:
            self._partitions.setdefault(service.name, PromptPartition()).record(prompt.tokens)

    def _find_side(
        self, service: Service, prompt: Prompt, records: Sequence[TargetRecord]
    ) -> frozenset[str]:
        """Return the live engines that serve prompts of this length; empty for other services."""
        if service.engine is None:
            return frozenset()
        engines = tuple(
            EngineLocation(target=record.target, data_centre=record.data_centre)
            for record in records
            if record.standing == "live" and self._view.is_open(record)
        )
        partition = self._partitions.setdefault(service.name, PromptPartition())
        return partition.find_engines(prompt.tokens, engines)

    def finish(
        self,
        chosen: ChosenTarget,
        health: HealthSignal,
        *,
        load: LoadReport | None = None,
        reported_at: float | None = None,
        work: str = "",
        seconds: float | None = None,
    ) -> None:
        """Record that a request at a target has completed, and how.

        Args:
            chosen: the target.
            health: what the outcome says about its health.
            load: the load that it reported in its response.
            reported_at: when that report arrived, by the loop's clock.
            work: the class of the work.
            seconds: duration of the work; None if unknown.
        """
        target_table = self._tables.get(chosen.service)
        if target_table is not None:
            target_table.finish(
                chosen.target,
                health,
                self._now(),
                report=load,
                reported_at=reported_at,
                work=work,
                seconds=seconds,
                start=chosen.start,
            )

    def record_failure(self, chosen: ChosenTarget) -> None:
        """Record that a target failed a request that is still under way there."""
        target_table = self._tables.get(chosen.service)
        if target_table is not None:
            target_table.record_failure(chosen.target, chosen.start, self._now())

    def record_signals(
        self, chosen: ChosenTarget, signals: ResponseSignals, *, is_own: bool
    ) -> None:
        """Record the signals of a target in the head of a response.

        Args:
            chosen: the target.
            signals: the signals.
            is_own: whether it is the response to the request that was just sent there.
        """
        self._view.announcements.record(chosen.incarnation, signals, is_work=is_own)
        if is_own and signals.has_not_run and signals.is_overloaded:
            in_flight = self._table(chosen.service).count_in_flight(chosen.target)
            self._view.announcements.rejections.record_rejection(
                chosen.incarnation, chosen.service, in_flight, self._now()
            )
        if signals.load is not None and signals.load.has_implausible_slowness:
            self._record_implausible_slowness(chosen)

    def _record_implausible_slowness(self, chosen: ChosenTarget) -> None:
        """Count an implausible slowness; log the first one of each incarnation."""
        self.implausible_slowness += 1
        if chosen.incarnation not in self._logged_slowness:
            self._logged_slowness.add(chosen.incarnation)
            extra = {"service": chosen.service, "target": chosen.target, "address": chosen.address}
            _LOG.warning("ignored an implausible slowness", extra=extra)

    def reset_health(self, service: str) -> None:
        """Forget the failures of targets, which were due to the path to them."""
        self._table(service).reset_health()

    def record_misdirected(self, chosen: ChosenTarget) -> None:
        """Record that another target responds at the address of this one."""
        self._misdirected.add(chosen.target)

    def connections(self, service: Service, target: str, address: str) -> ConnectionPool:
        """Return the connections to a target."""
        return self.fleet_connections.find_pool(service, target, address)

    def _make_chosen(self, service: Service, choice: TargetChoice) -> ChosenTarget:
        record = self._view.find_target(choice.target)
        return ChosenTarget(
            service=service.name,
            target=choice.target,
            address=choice.address,
            start=choice.start,
            version=record.version if record is not None else "",
            models=record.models if record is not None else (),
            connections=self.connections(service, choice.target, choice.address),
        )

    def _table(self, service: str) -> TargetTable:
        if service not in self._tables:
            self._tables[service] = TargetTable()
            self._update_table(service)
        return self._tables[service]

    def _update(self) -> None:
        for service in self._tables:
            self._update_table(service)
        table = self._view.table
        incarnations = {
            record.target: record.start
            for service in (table.document.services if table else ())
            for record in self._view.targets_of(service.name)
        }
        known = {
            name
            for name, start in incarnations.items()
            if self._incarnations.get(name, start) == start
        }
        # Drop the connections to and the records of earlier incarnations.
        self.fleet_connections.retain_only(known)
        self._misdirected &= known
        self._logged_slowness = {
            logged for logged in self._logged_slowness if logged.target in known
        }
        self._warm_up_gate.retain_only(known)
        self._incarnations = incarnations

    def _update_table(self, service: str) -> None:
        self._tables[service].update(
            {
                record.target: TargetLocation(
                    address=record.address, data_centre=record.data_centre, start=record.start
                )
                for record in self._view.targets_of(service)
            }
        )

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
