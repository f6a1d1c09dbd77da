"""What this entry knows of the fleet; it only ever moves forward."""

import logging
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Final

from damsonlane.backoff import TargetStart
from damsonlane.cluster import PackedDocument
from damsonlane.coldness import ColdAllowance, ColdBound
from damsonlane.errors import SettingsError
from damsonlane.evacuation import EvacuationList
from damsonlane.membership import BoxRecord
from damsonlane.routes import RouteTable, Service
from damsonlane.targets import TargetChanges, TargetRecord
from damsonlaned.clock import read_clock
from damsonlaned.dialects import Dialect
from damsonlaned.gateway._rate_limits import RateLimits
from damsonlaned.gateway._target_notices import TargetNotices
from damsonlaned.quarantine import KnownQuarantine

_LOG: Final = logging.getLogger(__name__)

#: Targets that are logged one by one.  A list of more comes when an entry starts or was
#: cut off for long; its lines would take longer to write than the list to read.
MOST_LINES: Final = 40


class FleetView:
    """Document in force, targets, evacuations and entries, as control last said.

    Args:
        dialect: reads documents.
        cold: what cold targets bear besides the rate that the document tells.
        clock: returns the monotonic time, in seconds.
    """

    def __init__(
        self,
        dialect: Dialect,
        cold: ColdAllowance | None = None,
        clock: Callable[[], float] = read_clock,
    ) -> None:
        self._dialect: Final = dialect
        self._cold: Final = cold or ColdAllowance()
        self._clock: Final = clock
        #: The document in force, or None until the first one was heard.
        self.table: RouteTable | None = None
        #: Revision of the registry of targets.
        self.targets_revision = 0
        #: Revision of the list of evacuated data centres; -1 until one was heard.
        self.evacuations_revision = -1
        #: Data centres whose targets get nothing new.
        self.evacuated: frozenset[str] = frozenset()
        #: Which requests are kept from targets.
        self.quarantine: Final = KnownQuarantine()
        #: Rate limits that targets named, to this box or to others.
        self.limits: Final = RateLimits(clock, self._find_service)
        #: What targets say of themselves to this box.
        self.notices: Final = TargetNotices(
            clock, lambda: len(self.entries), self._tell, self.limits
        )
        #: Entries that take requests, this one included once control lists it.
        self.entries: tuple[BoxRecord, ...] = ()
        self._targets: dict[str, TargetRecord] = {}
        self._cold_until: dict[str, float] = {}
        self._listeners: list[Callable[[], None]] = []
        self._entry_listeners: list[Callable[[], None]] = []

    def version(self) -> int:
        """Return the version in force, 0 when there is none."""
        return self.table.version if self.table is not None else 0

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a function after each change of document or targets."""
        self._listeners.append(listener)

    def on_entries(self, listener: Callable[[], None]) -> None:
        """Call a function after each change of the list of entries."""
        self._entry_listeners.append(listener)

    def targets_of(self, service: str) -> tuple[TargetRecord, ...]:
        """Return the records of a service's targets."""
        return tuple(record for record in self._targets.values() if record.service == service)

    def find_target(self, target: str) -> TargetRecord | None:
        """Return the record of a target, or None where control lists it no more."""
        return self._targets.get(target)

    def has_target_at(self, address: str) -> bool:
        """Tell whether control lists a target at an address."""
        return any(record.address == address for record in self._targets.values())

    def open_targets_of(self, service: str) -> tuple[TargetRecord, ...]:
        """Return the records of a service's targets that may get new work."""
        return tuple(record for record in self.targets_of(service) if self.is_open(record))

    def is_open(self, record: TargetRecord) -> bool:
        """Tell whether a target may get new work: it stays, and its data centre is in use.

        It may say that it leaves in its answers before control hears it, or where control
        is out of reach.
        """
        if record.standing == "leaving" or self.notices.is_leaving(record):
            return False
        return record.data_centre not in self.evacuated

    def list_backing_off(self, service: str) -> set[str]:
        """Return the targets of a service that want nothing from this box for now."""
        asked = self.notices.list_backing_off()
        records = (self._targets[named.target] for named in asked if self.is_listed(named))
        return {record.target for record in records if record.service == service}

    def find_return_seconds(self, service: str) -> float:
        """Return how long all targets of a service still want nothing from this box.

        0 where one may get something, and where the service has no target.
        """
        if not self.list_backing_off(service):
            return 0.0
        records = self.open_targets_of(service)
        lefts = [self.notices.seconds_left(TargetStart.of(record)) for record in records]
        return min(lefts, default=0.0)

    def _find_service(self, named: TargetStart) -> str:
        """Return the service of a start that control lists, or an empty string."""
        return self._targets[named.target].service if self.is_listed(named) else ""

    def list_limited(self, service: str) -> dict[str, TargetStart]:
        """Return the targets of a service that named a rate limit, by their names."""
        starts = [word.named for word in self.limits.list_words()]
        listed = [named for named in starts if self.is_listed(named)]
        return {
            named.target: named
            for named in listed
            if self._targets[named.target].service == service and self.limits.is_limited(named)
        }

    def is_listed(self, named: TargetStart) -> bool:
        """Tell whether control lists this very start of a target."""
        record = self._targets.get(named.target)
        return record is not None and TargetStart.of(record) == named

    def find_cold_bound(self, service: str) -> ColdBound | None:
        """Return what cold targets of a service bear; None where none turn cold."""
        known = self.table.service(service) if self.table is not None else None
        if known is None or known.cold_rate <= 0:
            return None
        return self._cold.bound(known.cold_rate)

    def list_cold(self, service: str) -> list[str]:
        """Return the targets of a service that bear only a few requests a second for now."""
        now = self._clock()
        cold = [name for name, until in self._cold_until.items() if now < until]
        return [name for name in cold if self._targets[name].service == service]

    def data_centre_at(self, address: str) -> str:
        """Return the data centre of the target at an address, or an empty string."""
        for record in self._targets.values():
            if record.address == address:
                return record.data_centre
        return ""

    def put_document(self, document: PackedDocument) -> None:
        """Put a document in force if it is newer than the one held."""
        if document.version <= self.version():
            return
        try:
            self.table = RouteTable(self._dialect.read_document(document.unpack()))
        except SettingsError as error:
            # Control checked it with the same dialect, so this box is the older program.
            _LOG.error("document not understood", extra={"fault": str(error)})
            return
        _LOG.info("document in force", extra={"version": document.version})
        self._tell()

    def put_targets(self, changes: TargetChanges) -> None:
        """Take over changes of targets unless they are older than what is held."""
        if changes.revision < self.targets_revision:
            return
        self.targets_revision = changes.revision
        news = [record for record in changes.records if self._is_news(record)]
        if changes.is_whole:
            self._targets = {record.target: record for record in changes.records}
        else:
            self._targets.update({record.target: record for record in changes.records})
        for name in changes.gone:
            self._targets.pop(name, None)
        self._note_cold(changes.records)
        self.notices.follow(tuple(self._targets.values()))
        _log_targets(news, changes)
        self._tell()

    def put_evacuations(self, evacuations: EvacuationList) -> None:
        """Take over which data centres are evacuated, unless it is older than what is held."""
        if evacuations.revision <= self.evacuations_revision:
            return
        self.evacuations_revision = evacuations.revision
        before, self.evacuated = self.evacuated, frozenset(evacuations.data_centres)
        self._reckon_cold(before - self.evacuated)
        if before != self.evacuated:
            fields = {"evacuated": sorted(self.evacuated), "revision": evacuations.revision}
            _LOG.info("evacuations in force", extra=fields)
        self._tell()

    def put_entries(self, entries: tuple[BoxRecord, ...]) -> None:
        """Take over the list of entries."""
        self.entries = tuple(entry for entry in entries if entry.standing == "live")
        for listener in self._entry_listeners:
            listener()

    def _note_cold(self, records: Sequence[TargetRecord]) -> None:
        """Note until when targets are cold; told late, they count as cold for too long."""
        now = self._clock()
        for record in records:
            self._cold_until.pop(record.target, None)
            if record.cold_seconds > 0:
                self._cold_until[record.target] = now + record.cold_seconds
        for name in set(self._cold_until) - set(self._targets):
            del self._cold_until[name]

    def _reckon_cold(self, restored: frozenset[str]) -> None:
        """Reckon the targets of data centres that are used again as cold.

        They got nothing for a while, and may say so only with their next heartbeat, when all
        entries want them already.
        """
        services = {service.name: service for service in self._list_services()}
        now = self._clock()
        for record in self._targets.values():
            service = services.get(record.service)
            if record.data_centre in restored and service is not None and service.cold_rate > 0:
                until = now + service.cold_start_seconds
                known = self._cold_until.get(record.target, 0.0)
                self._cold_until[record.target] = max(known, until)

    def _list_services(self) -> tuple[Service, ...]:
        return self.table.document.services if self.table is not None else ()

    def _is_news(self, record: TargetRecord) -> bool:
        """Tell whether a target is new here or stands otherwise than before."""
        known = self._targets.get(record.target)
        if known is None:
            return True
        return (known.standing, known.start) != (record.standing, record.start)

    def _tell(self) -> None:
        for listener in self._listeners:
            listener()


def _log_targets(news: Sequence[TargetRecord], changes: TargetChanges) -> None:
    """Log what is new of targets: a line each, or one line for a long list."""
    if len(news) > MOST_LINES:
        counts = Counter(record.standing for record in news)
        fields = {"standings": dict(counts), "revision": changes.revision}
        _LOG.info("targets known", extra=fields)
    else:
        for record in news:
            _LOG.info(
                "target known",
                extra={
                    "target": record.target,
                    "service": record.service,
                    "standing": record.standing,
                    "start": record.start,
                    "cold_seconds": record.cold_seconds,
                    "revision": changes.revision,
                },
            )
    if changes.gone:
        _LOG.info("targets gone", extra={"targets": changes.gone})
