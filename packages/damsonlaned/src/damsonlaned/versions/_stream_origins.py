"""Where event streams began, as this box and others know it."""

import asyncio
import contextlib
import logging
import math
import ssl
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Final, Protocol

from damsonlane.membership import BoxRecord
from damsonlane.routes import Route, RouteChanges, RouteTable
from damsonlane.targets import TargetRecord
from damsonlane.versions import (
    HolderRanking,
    OriginTable,
    ReplicaRanking,
    SteadyVersions,
    StreamOrigin,
    find_retention_seconds,
)
from damsonlane_rpc import VersionsView
from damsonlaned.metrics import Metrics
from damsonlaned.tasks import stop_task
from damsonlaned.versions._client import FoundOrigin, OriginClient

_LOG: Final = logging.getLogger(__name__)


#: Most streams of a service that are told together when it gets a second version.
MAX_UNTOLD: Final = 2_000
#: Seconds for which a document that the leader has is awaited here, and between two looks.
DOCUMENT_SECONDS: Final = 0.2
DOCUMENT_POLL_SECONDS: Final = 0.02


class Fleet(Protocol):
    """What is needed of the view of the fleet."""

    @property
    def entries(self) -> tuple[BoxRecord, ...]:
        """The entries that control lists."""

    @property
    def table(self) -> RouteTable | None:
        """The routing document in force."""

    def open_targets_of(self, service: str) -> tuple[TargetRecord, ...]:
        """Return the targets of a service that may get new work."""

    @property
    def steady_versions(self) -> SteadyVersions:
        """The services that a single version has served."""

    @property
    def route_changes(self) -> RouteChanges:
        """When routes began to lead to other services."""

    def version(self) -> int:
        """Return the version of the routing document in force; 0 if there is none."""


class VersionSource(Protocol):
    """Reads the versions of services."""

    async def read(self) -> VersionsView | None:
        """Return versions that include every change accepted before the call.

        None if they are not confirmed in time.
        """


class StreamOrigins:
    """Records the origins of streams and finds those of streams that are resumed.

    Args:
        fleet: entries, routes and versions of the fleet.
        address: internal address of this box.
        context: TLS context towards other boxes, or None.
        metrics: metrics of the process.
        versions: reads the versions of services.
    """

    def __init__(
        self,
        fleet: Fleet,
        address: str,
        context: ssl.SSLContext | None,
        metrics: Metrics,
        versions: VersionSource,
    ) -> None:
        self._fleet: Final = fleet
        self._versions: Final = versions
        self._metrics: Final = metrics
        self._table: Final = OriginTable()
        #: Streams that began here and that no other box was told of, by service and by attempt.
        self._untold: dict[str, dict[str, StreamOrigin]] = {}
        self._ranking: Final = HolderRanking(address)
        self._replicas: Final = ReplicaRanking(address)
        self._client: Final = OriginClient(
            self._ranking,
            self._replicas,
            context,
            self._retention_seconds,
            lambda: len(fleet.entries),
        )

    def follow_entries(self) -> None:
        """Choose the boxes that hold origins anew, after a change of the list of entries."""
        self._ranking.update(self._fleet.entries)

    def follow_replicas(self, addresses: Sequence[str]) -> None:
        """Choose the control replicas that hold origins, after a change of their list."""
        self._replicas.update(addresses)

    def record(self, origin: StreamOrigin) -> None:
        """Record the origin of a stream whose first event is about to be sent to its caller.

        Other boxes are told of it unless all of them know the version without it.
        """
        self.record_told((origin,), self._retention_seconds())
        if not self._is_expected_sole(origin.service):
            self._tell_untold(origin.service)
            self._client.tell(origin)
            return
        untold = self._untold.setdefault(origin.service, {})
        untold[origin.attempt] = origin
        if len(untold) > MAX_UNTOLD:
            del untold[next(iter(untold))]

    def tell_uncertain(self) -> None:
        """Tell other boxes of the streams whose service may have a second version."""
        for service in tuple(self._untold):
            if not self._is_expected_sole(service):
                self._tell_untold(service)

    def _tell_untold(self, service: str) -> None:
        """Tell other boxes of the streams of a service that they were not told of."""
        for attempt, origin in self._untold.pop(service, {}).items():
            if self._table.find(attempt) is not None:
                self._client.tell(origin)

    def record_told(self, origins: Iterable[StreamOrigin], retention_seconds: float) -> None:
        """Record origins that another box told; they are kept for as long as those of this box."""
        now = asyncio.get_running_loop().time()
        for origin in origins:
            former = self._table.record(origin, now)
            if former is not None:
                _log_replaced(former, origin)
        self._table.remove_older(now - self._retention_seconds())

    def find_here(self, attempt: str) -> StreamOrigin | None:
        """Return an origin that this box knows, or None."""
        return self._table.find(attempt)

    async def resolve(self, attempt: str, route: Route, request: str) -> StreamOrigin | None:
        """Return the origin of a stream that is resumed; None if it is not certain.

        Args:
            attempt: id of the caller's attempt that brought its first event; may be empty.
            route: route of the request.
            request: id of the request, for logs.
        """
        origin, source = self.find_here(attempt), "here"
        if origin is None:
            origin, source = await self._find_elsewhere(attempt, route)
        fields = {"request": request, "route": route.name, "first_attempt": attempt}
        if origin is None:
            self.count("unknown")
            _LOG.warning("stream of unknown version", extra={**fields, **self._describe(route)})
            return None
        self.count(source)
        fields |= {"service": origin.service, "target_version": origin.version, "source": source}
        _LOG.info("stream resumed", extra={**fields, "list_age": self._find_list_age()})
        return origin

    def count(self, outcome: str) -> None:
        """Count a stream that is resumed, by how its version was found or why it was refused."""
        self._metrics.resumed_streams.inc({"outcome": outcome})

    async def stop(self) -> None:
        """Stop telling other boxes."""
        await self._client.stop()

    async def _find_elsewhere(self, attempt: str, route: Route) -> tuple[StreamOrigin | None, str]:
        """Return an origin that this box doesn't know, and how it was found.

        Control is read while holders are asked: first some, then all if both are of no use.
        """
        reading = asyncio.create_task(self._find_certain(attempt, route))
        try:
            found = await self._client.find(attempt, is_needed=False) if attempt else None
            if found is None and attempt:
                found = await self._find_unless_certain(attempt, reading)
            certain = await reading if found is None else None
        finally:
            await stop_task(reading)
        if found is not None:
            return found.origin, "control" if found.is_from_control else "told"
        return certain, "certain"

    async def _find_unless_certain(
        self, attempt: str, reading: "asyncio.Task[StreamOrigin | None]"
    ) -> FoundOrigin | None:
        """Ask all holders until one knows an origin, or until it is certain without them."""
        finding = asyncio.create_task(self._client.find(attempt))
        try:
            await asyncio.wait({reading, finding}, return_when=asyncio.FIRST_COMPLETED)
            if reading.done() and reading.result() is not None:
                return None
            return await finding
        finally:
            await stop_task(finding)

    async def _find_certain(self, attempt: str, route: Route) -> StreamOrigin | None:
        """Return the origin that follows from the routes and targets alone, or None."""
        if len(route.services) != 1:
            return None
        service = route.services[0].service
        seconds, now = self._retention_seconds(), asyncio.get_running_loop().time()
        listed = self._fleet.steady_versions.find_sole(service, seconds, now)
        if listed is None or listed.version is None:
            return None
        confirmed = await self._versions.read()
        if confirmed is None or listed not in confirmed.versions:
            return None
        if not await self._has_document(confirmed.document_version):
            return None
        if not self._fleet.route_changes.is_steady(route, seconds, now):
            return None
        return StreamOrigin(attempt=attempt, service=service, version=listed.version)

    async def _has_document(self, version: int) -> bool:
        """Return whether this entry has a document, for which it waits for a moment."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DOCUMENT_SECONDS):
                while self._fleet.version() < version:
                    await asyncio.sleep(DOCUMENT_POLL_SECONDS)
        return self._fleet.version() >= version

    def _is_expected_sole(self, service: str) -> bool:
        """Return whether one version has served a service while origins are remembered."""
        now = asyncio.get_running_loop().time()
        seconds = self._retention_seconds()
        if self._fleet.route_changes.has_moved(service, seconds, now):
            return False
        return self._fleet.steady_versions.is_expected_sole(service, seconds, now)

    def _retention_seconds(self) -> float:
        table = self._fleet.table
        return find_retention_seconds(table.document.routes if table is not None else ())

    def _describe(self, route: Route) -> dict[str, object]:
        """Return what is known of the services of a route, for logs."""
        versions = {
            share.service: Counter(
                record.version for record in self._fleet.open_targets_of(share.service)
            )
            for share in route.services
        }
        return {
            "targets": versions,
            "asked": self._ranking.count(),
            "asked_control": len(self._replicas.rank()),
            "list_age": self._find_list_age(),
        }

    def _find_list_age(self) -> float | None:
        """Return the age of control's list of versions in seconds, for logs; None without one."""
        age = self._fleet.steady_versions.find_age(asyncio.get_running_loop().time())
        return round(age, 3) if math.isfinite(age) else None


def _log_replaced(former: StreamOrigin, origin: StreamOrigin) -> None:
    """Log that a stream has two origins."""
    _LOG.warning(
        "origin replaced",
        extra={
            "attempt": origin.attempt,
            "service": origin.service,
            "target_version": origin.version,
            "former_service": former.service,
            "former_version": former.version,
        },
    )
