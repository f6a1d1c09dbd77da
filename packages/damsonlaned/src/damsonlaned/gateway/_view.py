"""This entry's view of the fleet; older state never replaces newer state."""

import logging
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import Final

from damsonlane.backoff import TargetIncarnation
from damsonlane.cluster import PackedDocument
from damsonlane.errors import SettingsError
from damsonlane.evacuation import EvacuationList
from damsonlane.membership import BoxRecord
from damsonlane.records import dataclass
from damsonlane.routes import RouteChanges, RouteTable, Service
from damsonlane.targets import Shard, TargetChanges, TargetRecord
from damsonlane.versions import MAX_RETENTION_SECONDS, SteadyVersion, SteadyVersions
from damsonlane.warmup import WarmupAllowance, WarmupLimit
from damsonlaned.clock import read_clock
from damsonlaned.dialects import Dialect
from damsonlaned.gateway._rate_limits import RateLimits
from damsonlaned.gateway._target_announcements import TargetAnnouncements
from damsonlaned.quarantine import KnownQuarantine

_LOG: Final = logging.getLogger(__name__)

#: Most targets that are logged one by one.  Longer lists arrive when an entry starts or was
#: partitioned for long; logging each of their targets would take longer than reading the list.
MAX_LOGGED_TARGETS: Final = 40


#: Age of the confirmed state of control, in seconds, up to which this entry expects no version that
#: is not listed here, and so need not tell others at which versions its streams began.
MAX_CONFIRMED_AGE: Final = 1.5


@dataclass(frozen=True, kw_only=True)
class ShardSize:
    """A shard with targets that may get new work."""

    #: The shard.
    shard: Shard
    #: Number of these targets in each data centre.
    targets_by_data_centre: Mapping[str, int]

    @property
    def targets(self) -> int:
        """Number of these targets."""
        return sum(self.targets_by_data_centre.values())


class FleetView:
    """Routing document in force, targets, evacuations and entries, as control last reported.

    Args:
        dialect: reads routing documents.
        warm_up: load that targets accept during warm-up besides the rate in the document.
        clock: returns the monotonic time, in seconds.
    """

    def __init__(
        self,
        dialect: Dialect,
        warm_up: WarmupAllowance | None = None,
        clock: Callable[[], float] = read_clock,
    ) -> None:
        self._dialect: Final = dialect
        self._warm_up_allowance: Final = warm_up or WarmupAllowance()
        self._clock: Final = clock
        #: The routing document in force, or None until the first one was received.
        self.table: RouteTable | None = None
        #: Revision of the target registry.
        self.targets_revision = 0
        #: Revision of the list of evacuated data centres; -1 until one was received.
        self.evacuations_revision = -1
        #: Data centres whose targets get nothing new.
        self.evacuated: frozenset[str] = frozenset()
        #: Requests that are quarantined.
        self.quarantine: Final = KnownQuarantine()
        #: Rate limits that targets announced to any box.
        self.limits: Final = RateLimits(clock, self._find_service)
        #: What targets announced to this box.
        self.announcements: Final = TargetAnnouncements(
            clock, lambda: len(self.entries), self._notify, self.limits
        )
        #: Services that a single version of targets has served.
        self.steady_versions: Final = SteadyVersions(MAX_CONFIRMED_AGE)
        #: When routes began to lead to other services.
        self.route_changes: Final = RouteChanges()
        #: Entries that accept requests, including this one once control lists it.
        self.entries: tuple[BoxRecord, ...] = ()
        self._targets: dict[str, TargetRecord] = {}
        #: Caches, cleared by each change.
        self._by_address: dict[str, TargetRecord] = {}
        self._shards: dict[str, tuple[ShardSize, ...]] = {}
        self._warm_up_until: dict[str, float] = {}
        self._listeners: list[Callable[[], None]] = []
        self._entry_listeners: list[Callable[[], None]] = []

    def version(self) -> int:
        """Return the version of the routing document in force; 0 if there is none."""
        return self.table.version if self.table is not None else 0

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a function after each change of the document or the targets."""
        self._listeners.append(listener)

    def on_entries(self, listener: Callable[[], None]) -> None:
        """Call a function after each change of the list of entries."""
        self._entry_listeners.append(listener)

    def targets_of(self, service: str) -> tuple[TargetRecord, ...]:
        """Return the records of a service's targets."""
        return tuple(record for record in self._targets.values() if record.service == service)

    def find_target(self, target: str) -> TargetRecord | None:
        """Return the record of a target, or None if control does not list it."""
        return self._targets.get(target)

    def has_target_at(self, address: str) -> bool:
        """Return whether control lists a target at an address."""
        return self._find_at(address) is not None

    def open_targets_of(self, service: str) -> tuple[TargetRecord, ...]:
        """Return the records of a service's targets that may get new work."""
        return tuple(record for record in self.targets_of(service) if self.is_open(record))

    def list_shards(self, service: str) -> tuple[ShardSize, ...]:
        """Return the shards of a service that have targets for new work, by index."""
        if service not in self._shards:
            counts: dict[int, Counter[str]] = {}
            for record in self.open_targets_of(service):
                counts.setdefault(record.shard, Counter())[record.data_centre] += 1
            self._shards[service] = tuple(
                ShardSize(
                    shard=Shard(service=service, index=index), targets_by_data_centre=counts[index]
                )
                for index in sorted(counts)
            )
        return self._shards[service]

    def count_shards(self, service: str) -> int:
        """Return the number of shards of a service, including those whose targets are draining."""
        return 1 + max((record.shard for record in self.targets_of(service)), default=0)

    def find_shard_at(self, service: str, address: str) -> Shard:
        """Return the shard of the target at an address; shard 0 if it is not listed."""
        record = self._find_at(address)
        if record is None or record.service != service:
            return Shard(service=service)
        return Shard(service=service, index=record.shard)

    def find_shard_of(self, service: str, target: str) -> Shard:
        """Return the shard of a target; shard 0 if it is not listed."""
        record = self._targets.get(target)
        index = record.shard if record is not None and record.service == service else 0
        return Shard(service=service, index=index)

    def is_open(self, record: TargetRecord) -> bool:
        """Return whether a target may get new work: it is not draining or evacuated.

        A target may announce its draining in a response before control reports it, or while
        control is unreachable.
        """
        if record.standing == "leaving" or self.announcements.is_draining(record):
            return False
        return record.data_centre not in self.evacuated

    def count_unreaching(self, service: str) -> int:
        """Return the number of entries that don't reach the targets of a service."""
        return sum(service in entry.unreached for entry in self.entries)

    def has_rejection_limits(self, service: str) -> bool:
        """Return whether a target of a service fails if it rejects too many requests."""
        limited = self.announcements.rejections.list_limited()
        return any(self._find_service(incarnation) == service for incarnation in limited)

    def list_backing_off(self, service: str) -> set[str]:
        """Return the targets of a service that requested back-off from this box."""
        backing_off = self.announcements.list_backing_off()
        records = (
            self._targets[incarnation.target]
            for incarnation in backing_off
            if self.is_listed(incarnation)
        )
        return {record.target for record in records if record.service == service}

    def find_backoff_seconds(self, service: str) -> float:
        """Return the seconds for which all targets of a service back off.

        0 if one of them does not, or if the service has no target.
        """
        if not self.list_backing_off(service):
            return 0.0
        records = self.open_targets_of(service)
        waits = [
            self.announcements.backoff_seconds_left(TargetIncarnation.of(record))
            for record in records
        ]
        return min(waits, default=0.0)

    def _find_service(self, incarnation: TargetIncarnation) -> str:
        """Return the service of an incarnation that control lists, or an empty string."""
        return self._targets[incarnation.target].service if self.is_listed(incarnation) else ""

    def list_rate_limited(self, service: str) -> dict[str, TargetIncarnation]:
        """Return the targets of a service that announced a rate limit, by name."""
        incarnations = [report.named for report in self.limits.list_reports()]
        listed = [incarnation for incarnation in incarnations if self.is_listed(incarnation)]
        return {
            incarnation.target: incarnation
            for incarnation in listed
            if self._targets[incarnation.target].service == service
            and self.limits.is_limited(incarnation)
        }

    def is_listed(self, incarnation: TargetIncarnation) -> bool:
        """Return whether control lists this incarnation of a target."""
        record = self._targets.get(incarnation.target)
        return record is not None and TargetIncarnation.of(record) == incarnation

    def find_warmup_limit(self, service: str) -> WarmupLimit | None:
        """Return the load limit of a service's targets during warm-up; None if there is none."""
        known = self.table.service(service) if self.table is not None else None
        if known is None or known.cold_rate <= 0:
            return None
        return self._warm_up_allowance.limit_for(known.cold_rate)

    def list_warming_up(self, service: str) -> list[str]:
        """Return the targets of a service that are warming up."""
        now = self._clock()
        names = [name for name, until in self._warm_up_until.items() if now < until]
        return [name for name in names if self._targets[name].service == service]

    def data_centre_at(self, address: str) -> str:
        """Return the data centre of the target at an address, or an empty string."""
        record = self._find_at(address)
        return record.data_centre if record is not None else ""

    def _find_at(self, address: str) -> TargetRecord | None:
        """Return the record of the target at an address, or None if control lists none."""
        if not self._by_address:
            self._by_address = {record.address: record for record in self._targets.values()}
        return self._by_address.get(address)

    def put_document(self, document: PackedDocument) -> None:
        """Apply a routing document if it is newer than the one in force."""
        if document.version <= self.version():
            return
        try:
            self.table = RouteTable(self._dialect.read_document(document.unpack()))
        except SettingsError as error:
            # Control validated it with the same dialect, so this box runs an older release.
            _LOG.error("cannot read the routing document", extra={"fault": str(error)})
            return
        self.route_changes.observe(self.table.document.routes, self._clock(), MAX_RETENTION_SECONDS)
        _LOG.info("document in force", extra={"version": document.version})
        self._notify()

    def put_targets(self, changes: TargetChanges) -> None:
        """Apply changes of targets unless they are older than the current revision."""
        if changes.revision < self.targets_revision:
            return
        self.targets_revision = changes.revision
        changed = [record for record in changes.records if self._is_changed(record)]
        if changes.is_whole:
            self._targets = {record.target: record for record in changes.records}
        else:
            self._targets.update({record.target: record for record in changes.records})
        for name in changes.gone:
            self._targets.pop(name, None)
        self._by_address = {}
        self._record_warm_up(changes.records)
        self.announcements.follow(tuple(self._targets.values()))
        _log_targets(changed, changes)
        self._notify()

    def put_steady_versions(self, steady: Sequence[SteadyVersion]) -> None:
        """Apply a list of the services that a single version of targets has served."""
        self.steady_versions.replace(steady, self._clock())

    def put_evacuations(self, evacuations: EvacuationList) -> None:
        """Apply a list of evacuated data centres if it is newer than the current one."""
        if evacuations.revision <= self.evacuations_revision:
            return
        self.evacuations_revision = evacuations.revision
        before, self.evacuated = self.evacuated, frozenset(evacuations.data_centres)
        self._assume_warm_up(before - self.evacuated)
        if before != self.evacuated:
            fields = {"evacuated": sorted(self.evacuated), "revision": evacuations.revision}
            _LOG.info("evacuations in force", extra=fields)
        self._notify()

    def put_entries(self, entries: tuple[BoxRecord, ...]) -> None:
        """Apply a list of entries."""
        self.entries = tuple(entry for entry in entries if entry.standing == "live")
        for listener in self._entry_listeners:
            listener()

    def _record_warm_up(self, records: Sequence[TargetRecord]) -> None:
        """Record until when targets warm up; that time is too late if a report arrives late."""
        now = self._clock()
        for record in records:
            self._warm_up_until.pop(record.target, None)
            if record.cold_seconds > 0:
                self._warm_up_until[record.target] = now + record.cold_seconds
        for name in set(self._warm_up_until) - set(self._targets):
            del self._warm_up_until[name]

    def _assume_warm_up(self, restored: frozenset[str]) -> None:
        """Assume that the targets of restored data centres have to warm up.

        They got nothing for a while, and may report their warm-up only with their next heartbeat,
        when all entries already send to them.
        """
        services = {service.name: service for service in self._list_services()}
        now = self._clock()
        for record in self._targets.values():
            service = services.get(record.service)
            if record.data_centre in restored and service is not None and service.cold_rate > 0:
                until = now + service.cold_start_seconds
                known = self._warm_up_until.get(record.target, 0.0)
                self._warm_up_until[record.target] = max(known, until)

    def list_service_names(self) -> tuple[str, ...]:
        """Return the names of the services in the document in force, sorted."""
        return tuple(sorted(service.name for service in self._list_services()))

    def _list_services(self) -> tuple[Service, ...]:
        return self.table.document.services if self.table is not None else ()

    def _is_changed(self, record: TargetRecord) -> bool:
        """Return whether a target is new or changed in what is logged of it."""
        known = self._targets.get(record.target)
        if known is None:
            return True
        before = (known.standing, known.start, known.version)
        return before != (record.standing, record.start, record.version)

    def _notify(self) -> None:
        self._shards = {}
        for listener in self._listeners:
            listener()


def _log_targets(changed: Sequence[TargetRecord], changes: TargetChanges) -> None:
    """Log the targets that changed: one line each, or a single line for a long list."""
    if len(changed) > MAX_LOGGED_TARGETS:
        counts = Counter(record.standing for record in changed)
        fields = {"standings": dict(counts), "revision": changes.revision}
        _LOG.info("targets updated", extra=fields)
    else:
        for record in changed:
            _LOG.info(
                "target updated",
                extra={
                    "target": record.target,
                    "service": record.service,
                    "standing": record.standing,
                    "start": record.start,
                    "target_version": record.version,
                    "cold_seconds": record.cold_seconds,
                    "revision": changes.revision,
                },
            )
    if changes.gone:
        _LOG.info("targets removed", extra={"targets": changes.gone})
