"""The connections of this box to all targets, within its part of what each target takes."""

import asyncio
import contextlib
import logging
from collections import deque
from collections.abc import AsyncIterator, Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import replace
from typing import Final, Protocol

from damsonlane.connections import (
    Borrower,
    ConnectionPart,
    ConnectionUse,
    Lender,
    LoanItem,
    find_floor,
    find_kept,
    find_need,
    find_part,
)
from damsonlane.membership import BoxRecord, CapacityShares
from damsonlane.records import dataclass
from damsonlane.routes import RouteTable, Service
from damsonlane.targets import TargetRecord
from damsonlaned.http import CollectionBudget, ConnectionObserver, ConnectionPool

_LOG: Final = logging.getLogger(__name__)

#: Seconds without a request that found no connection, after which a shortage has ended.
SHORTAGE_END_SECONDS: Final = 1.0
#: Least seconds between two records of a shortage, which concern all targets of a service.
SHORTAGE_RECORD_SECONDS: Final = 0.01


class Fleet(Protocol):
    """What is needed of the view of the fleet."""

    @property
    def entries(self) -> tuple[BoxRecord, ...]:
        """The entries that control lists."""

    @property
    def table(self) -> RouteTable | None:
        """The routing document in force."""

    def find_target(self, target: str) -> TargetRecord | None:
        """Return the record of a target, or None if control does not list it."""


@dataclass(frozen=True, kw_only=True)
class _TargetConnections:
    """The connections to one target."""

    #: Its service.
    service: Service
    #: The connections.
    pool: ConnectionPool
    #: How many of them are used.
    use: ConnectionUse


@dataclass(frozen=True, kw_only=True)
class ServiceConnections:
    """The connections to the target of a service at which most are in use, for operators."""

    #: Connections in use.
    in_use: int
    #: Connections that may be open there.
    most: int
    #: Of these, those that are borrowed.
    borrowed: int
    #: Connections there that are lent.
    lent: int

    def list_counts(self) -> tuple[tuple[str, int], ...]:
        """Return the counts with their names."""
        return (
            ("in_use", self.in_use),
            ("most", self.most),
            ("borrowed", self.borrowed),
            ("lent", self.lent),
        )


class FleetConnections:
    """Keeps the connections to targets, lends those that are not needed and uses borrowed ones.

    Args:
        fleet: entries and targets of the fleet.
        shares: the shares of this box in what the fleet has.
        loan_seconds: length of a loan of connections, in seconds.
        observe: returns the observer of the connections to a target of a service, by their names;
            None if nobody observes them.
        budget: limits the bytes of responses that are collected.
    """

    def __init__(
        self,
        fleet: Fleet,
        shares: CapacityShares,
        loan_seconds: float,
        observe: Callable[[str, str], ConnectionObserver] | None = None,
        budget: CollectionBudget | None = None,
    ) -> None:
        self._budget: Final = budget or CollectionBudget()
        self._fleet: Final = fleet
        self._shares: Final = shares
        self._observe: Final = observe
        self._lender: Final = Lender(loan_seconds)
        self.borrower: Final = Borrower(loan_seconds)
        self._targets: Final[dict[str, _TargetConnections]] = {}
        #: Requests that wait for a connection, by service, the first one first.
        self._waiting: Final[dict[str, deque[asyncio.Future[None]]]] = {}
        #: When a request of a service last found no connection, while a shortage lasts.
        self._shortages: Final[dict[str, float]] = {}
        #: Times that a request found no connection, by service.
        self.shortage_counts: Final[dict[str, int]] = {}
        #: Called when more connections are needed than this box has.
        self.on_need: Callable[[], None] = lambda: None

    # Requests of this box.

    def find_pool(self, service: Service, target: str, address: str) -> ConnectionPool:
        """Return the connections to a target."""
        known = self._targets.get(target)
        if known is None:
            pool = ConnectionPool(
                address,
                0,
                self._observe(service.name, target) if self._observe else None,
                lambda: self._wake_waiting(service.name, 1),
                self._budget,
            )
            known = _TargetConnections(service=service, pool=pool, use=ConnectionUse())
            self._targets[target] = known
        elif known.service != service:
            known = self._targets[target] = replace(known, service=service)
        now = self._now()
        known.pool.set_limit(self._find_limit(service, target, now))
        known.use.record(known.pool.count_busy() + 1, now)
        if find_need(known.use, self._find_own(service, target, now), now):
            self.on_need()
        return known.pool

    @contextlib.asynccontextmanager
    async def reserve(self, record: TargetRecord) -> AsyncIterator[bool]:
        """Leave room for a connection to a target that is opened elsewhere.

        Yields:
            Whether there is room: not if all connections that may be open are in use.
        """
        table = self._fleet.table
        service = table.service(record.service) if table is not None else None
        if service is None:
            yield False
            return
        async with self.find_pool(service, record.target, record.address).reserve() as has_room:
            yield has_room

    def list_full(self, service: Service, targets: Iterable[str]) -> set[str]:
        """Return the targets to which this box may open no further connection now."""
        now = self._now()
        # No limit is below the floor, and most targets have fewer connections in use than that.
        floor = find_floor(service.most_connections, self._shares, now)
        return {
            target
            for target in targets
            if (busy := self._count_busy(target)) >= floor
            and busy >= self._find_limit(service, target, now)
        }

    def is_full(self, service: Service, target: str) -> bool:
        """Return whether this box may open no further connection to a target now."""
        return self._count_busy(target) >= self._find_limit(service, target, self._now())

    def record_shortage(self, service: Service, targets: Collection[str]) -> None:
        """Record that a request found no connection to any of some targets."""
        now = self._now()
        self.shortage_counts[service.name] = self.shortage_counts.get(service.name, 0) + 1
        recorded_at = self._shortages.get(service.name)
        if recorded_at is not None and now - recorded_at < SHORTAGE_RECORD_SECONDS:
            return
        if recorded_at is None:
            fields = {"service": service.name, "entries": self._shares.count(now)}
            _LOG.info("connection shortage began", extra={**fields, **self._describe(service, now)})
        self._shortages[service.name] = now
        for target in targets:
            record = self._fleet.find_target(target)
            if record is not None:
                self.find_pool(service, target, record.address)
                self._targets[target].use.record_shortage(now)
        self.on_need()

    async def wait_for_free(self, service: str, seconds: float) -> None:
        """Wait until a connection to a target of a service may be free, at most for a time."""
        woken: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiting = self._waiting.setdefault(service, deque())
        waiting.append(woken)
        is_cancelled = True
        try:
            await asyncio.wait({woken}, timeout=seconds)
            is_cancelled = False
        finally:
            if not woken.done():
                waiting.remove(woken)
            elif is_cancelled:
                self._wake_waiting(service, 1)

    def follow_entries(self) -> None:
        """Close idle connections beyond parts that a new list of entries made smaller."""
        now = self._now()
        floors = {
            service.name: find_floor(service.most_connections, self._shares, now)
            for service in self._list_services()
        }
        self.apply_limits(
            [
                target
                for target, known in self._targets.items()
                if known.pool.count_open() > floors[known.service.name]
            ]
        )

    def retain_only(self, known: Collection[str]) -> None:
        """Close the connections to all other targets."""
        for target in self._targets.keys() - known:
            self._targets.pop(target).pool.close()

    # Loans.

    def find_needs(self) -> dict[str, int]:
        """Return the connections that are needed beyond the own ones, by target."""
        now = self._now()
        needs: dict[str, int] = {}
        for target, known in self._targets.items():
            known.use.record(known.pool.count_busy(), now)
            if known.use.is_idle(now):
                continue
            need = find_need(known.use, self._find_own(known.service, target, now), now)
            if need:
                needs[target] = need
        self._log_ended_shortages(now)
        return needs

    def count_open(self, target: str) -> int:
        """Return the open connections to a target, idle ones included."""
        known = self._targets.get(target)
        return known.pool.count_open() if known is not None else 0

    def find_spare(self, target: str) -> int:
        """Return the connections to a target that this box would lend if it had no requests."""
        known = self._targets.get(target)
        if known is None:
            return 0
        part = self._find_part(known.service, target, self._now())
        return part.share - part.floor

    def has_shortage(self) -> bool:
        """Return whether requests found no connection lately."""
        return bool(self._shortages)

    def lend(self, borrower: str, number: int, items: Sequence[LoanItem]) -> tuple[LoanItem, ...]:
        """Answer the order of another box, and close idle connections that are lent."""
        now = self._now()
        available = {item.target: self._find_available(item.target, now) for item in items}
        granted = self._lender.lend(borrower, number, items, available, now)
        self.apply_limits(item.target for item in granted)
        return granted

    def apply_limits(self, targets: Iterable[str]) -> None:
        """Close idle connections beyond changed limits, and wake requests that find free ones.

        Args:
            targets: the targets whose limits changed.
        """
        now = self._now()
        for target in targets:
            known = self._targets.get(target)
            if known is not None:
                pool = known.pool
                pool.set_limit(self._find_limit(known.service, target, now))
                self._wake_waiting(known.service.name, pool.max_connections - pool.count_busy())

    # For operators.

    def summarise(self) -> Mapping[str, ServiceConnections]:
        """Return the use of connections by service."""
        now = self._now()
        return {service.name: self._summarise(service, now) for service in self._list_services()}

    def _list_services(self) -> Collection[Service]:
        """Return the services of the targets that were used."""
        return {known.service.name: known.service for known in self._targets.values()}.values()

    def _summarise(self, service: Service, now: float) -> ServiceConnections:
        targets = [
            target for target, known in self._targets.items() if known.service.name == service.name
        ]
        busiest = max(targets, key=self._count_busy)
        return ServiceConnections(
            in_use=self._count_busy(busiest),
            most=self._find_limit(service, busiest, now),
            borrowed=self.borrower.count_borrowed(busiest, now),
            lent=self._lender.count_lent(busiest, now),
        )

    def _describe(self, service: Service, now: float) -> dict[str, int]:
        """Return log fields on the use of the connections to a service."""
        if all(known.service.name != service.name for known in self._targets.values()):
            return {}
        counts = dict(self._summarise(service, now).list_counts())
        return {**counts, "limit": service.most_connections}

    def _log_ended_shortages(self, now: float) -> None:
        for name, at in tuple(self._shortages.items()):
            if now - at >= SHORTAGE_END_SECONDS:
                del self._shortages[name]
                fields = {"service": name, "found_none": self.shortage_counts[name]}
                _LOG.info("connection shortage ended", extra=fields)

    # Limits.

    def _find_part(self, service: Service, target: str, now: float) -> ConnectionPart:
        return find_part(service.most_connections, target, self._shares, now)

    def _find_own(self, service: Service, target: str, now: float) -> int:
        """Return the connections that this box may open without loans."""
        part = self._find_part(service, target, now)
        return part.count_left(self._lender.count_lent(target, now))

    def _find_limit(self, service: Service, target: str, now: float) -> int:
        borrowed = self.borrower.count_borrowed(target, now)
        return self._find_own(service, target, now) + borrowed

    def _find_available(self, target: str, now: float) -> int:
        """Return the connections to a target that this box can lend to all others together."""
        record = self._fleet.find_target(target)
        table = self._fleet.table
        service = table.service(record.service) if record is not None and table else None
        if service is None:
            return 0
        part = self._find_part(service, target, now)
        known = self._targets.get(target)
        if known is None:
            return part.share - part.floor
        known.use.record(known.pool.count_busy(), now)
        return part.share - find_kept(known.use, part.floor, now)

    def _count_busy(self, target: str) -> int:
        known = self._targets.get(target)
        return known.pool.count_busy() if known is not None else 0

    def _wake_waiting(self, service: str, number: int) -> None:
        waiting = self._waiting.get(service)
        while waiting and number > 0:
            woken = waiting.popleft()
            if not woken.done():
                woken.set_result(None)
                number -= 1

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
