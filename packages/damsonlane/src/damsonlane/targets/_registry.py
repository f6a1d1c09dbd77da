"""The registry of targets: part of the replicated state."""

from dataclasses import replace
from typing import Final

from damsonlane.records import dataclass
from damsonlane.targets._records import (
    MarkTargetsSilent,
    RegisterTarget,
    RemoveTarget,
    TargetRecord,
    TargetRecorded,
)
from damsonlane.targets._shards import (
    DivideService,
    ServiceShards,
    assign_shards,
    choose_shard,
)

#: Most removed targets that are remembered, so that a delayed heartbeat does not add one again: a
#: few hours at 200 restarts a day.
MAX_REMOVED: Final = 512

#: Newer heartbeats after which a target that was replaced at its address is registered again.  A
#: delayed heartbeat of an exited target replaces the running target at the same address, which
#: keeps sending heartbeats.  A single heartbeat may itself be a delayed one.
HEARTBEATS_TO_RETURN: Final = 2


@dataclass(frozen=True, kw_only=True)
class RemovedTarget:
    """A target that was removed, or replaced by another one at its address."""

    #: Name of the target.
    target: str
    #: Revision of the registry at which it was removed.
    revision: int
    #: Number of its last heartbeat, if another target replaced it; None if this incarnation
    #: was removed permanently.
    sequence: int | None = None
    #: Its start; None while no heartbeat has reported it.
    start: int | None = None
    #: Number of newer heartbeats since then.
    heartbeats: int = 0


@dataclass(frozen=True, kw_only=True)
class RegisteredTarget:
    """A registered target."""

    #: Its record.
    record: TargetRecord
    #: Revision of the registry at which the record last changed.
    revision: int


@dataclass(frozen=True, kw_only=True)
class ServiceVersion:
    """The version that all registered targets of a service have."""

    #: Name of the service.
    service: str
    #: The version; None while targets of several versions are registered.
    version: str | None
    #: Revision of the registry since which no target had another one; 0 if none ever had.
    revision: int


@dataclass(frozen=True, kw_only=True)
class TargetsSnapshot:
    """The complete registry."""

    #: Number of changes so far.
    revision: int = 0
    #: Registered targets.
    known: tuple[RegisteredTarget, ...] = ()
    #: Removed targets, oldest first.
    gone: tuple[RemovedTarget, ...] = ()
    #: Revision up to which removals are no longer remembered.
    forgotten_revision: int = 0
    #: Services that are divided into several shards.
    divided: tuple[ServiceShards, ...] = ()
    #: Versions of the services that have had targets.
    versions: tuple[ServiceVersion, ...] = ()


@dataclass(frozen=True, kw_only=True)
class TargetChanges:
    """The changes from one revision to a later one."""

    #: The later revision.
    revision: int
    #: Records that are new or changed.
    records: tuple[TargetRecord, ...] = ()
    #: Names of removed targets.
    gone: tuple[str, ...] = ()
    #: Whether the records are complete, so that all other targets are removed.
    is_whole: bool = False


class TargetRegistry:
    """Applies commands about targets."""

    def __init__(self, snapshot: TargetsSnapshot | None = None) -> None:
        start = snapshot or TargetsSnapshot()
        self.revision = start.revision
        self._known = {known.record.target: known for known in start.known}
        self._removed = {removed.target: removed for removed in start.gone}
        self._forgotten_revision = start.forgotten_revision
        self._shards = {divided.service: divided.shards for divided in start.divided}
        self._versions = {item.service: item for item in start.versions}
        for service in {known.record.service for known in start.known} - set(self._versions):
            self._versions[service] = self._find_version(service)

    def snapshot(self) -> TargetsSnapshot:
        """Return the complete registry."""
        return TargetsSnapshot(
            revision=self.revision,
            known=tuple(self._known[name] for name in sorted(self._known)),
            gone=tuple(self._removed.values()),
            forgotten_revision=self._forgotten_revision,
            divided=tuple(
                ServiceShards(service=service, shards=shards)
                for service, shards in sorted(self._shards.items())
            ),
            versions=self.list_versions(),
        )

    def records(self) -> tuple[TargetRecord, ...]:
        """Return all records, sorted by name."""
        return tuple(self._known[name].record for name in sorted(self._known))

    def list_versions(self) -> tuple[ServiceVersion, ...]:
        """Return the versions of the services that have had targets, sorted by service."""
        return tuple(self._versions[service] for service in sorted(self._versions))

    def find(self, target: str) -> TargetRecord | None:
        """Return the record of a target, or None."""
        known = self._known.get(target)
        return known.record if known else None

    def count_shards(self, service: str) -> int:
        """Return the number of shards of a service."""
        return self._shards.get(service, 1)

    def is_removed(self, target: str) -> bool:
        """Return whether a target was removed permanently."""
        removed = self._removed.get(target)
        return removed is not None and removed.sequence is None

    def changes_after(self, revision: int) -> TargetChanges:
        """Return the changes after a revision, or all records if those are not known any more."""
        if revision == 0 or revision < self._forgotten_revision or revision > self.revision:
            return TargetChanges(revision=self.revision, records=self.records(), is_whole=True)
        return TargetChanges(
            revision=self.revision,
            records=tuple(
                known.record for known in self._known.values() if known.revision > revision
            ),
            gone=tuple(
                removed.target for removed in self._removed.values() if removed.revision > revision
            ),
        )

    def apply(
        self, command: RegisterTarget | RemoveTarget | MarkTargetsSilent | DivideService
    ) -> TargetRecorded:
        """Apply one command."""
        match command:
            case RegisterTarget(record=record):
                return TargetRecorded(is_changed=self._register(record))
            case RemoveTarget():
                return TargetRecorded(is_changed=self._apply_removal(command))
            case MarkTargetsSilent(targets=targets):
                changes = [self._silence(target) for target in targets]
                return TargetRecorded(is_changed=any(changes))
            case DivideService():
                return TargetRecorded(is_changed=self._divide(command))

    def _register(self, record: TargetRecord) -> bool:
        others = self._list_others_at(record)
        if any(other.start > record.start > 0 for other in others):
            # Its address belongs to a target that started later: a delayed heartbeat.
            return False
        if record.target in self._removed and not self._may_return(record):
            return False
        known = self._known.get(record.target)
        if known is not None and not _is_newer(record, known.record):
            return False
        if known is not None and _was_draining(record, known.record):
            # Draining is irrevocable: the target stops soon, whatever a later heartbeat reports.
            record = record.with_standing("leaving")
        for other in others:
            # Two targets can't have one address, so the one reported later replaced the other.
            self._remove(other.target, other.sequence)
        self._store(
            record.with_shard(self._find_shard(record, known.record if known is not None else None))
        )
        return True

    def _find_shard(self, record: TargetRecord, known: TargetRecord | None) -> int:
        """Return the shard of a target: the one that it has, or the smallest one."""
        if known is not None and known.service == record.service:
            return known.shard
        shards = self.count_shards(record.service)
        return choose_shard(self._list_service(record.service), shards, record.data_centre)

    def _divide(self, command: DivideService) -> bool:
        records = self._list_service(command.service)
        if self.count_shards(command.service) != command.expected:
            return False
        if command.shards == command.expected or not 1 <= command.shards <= max(1, len(records)):
            return False
        self._shards[command.service] = command.shards
        assigned = assign_shards(records, command.shards)
        for record in records:
            if assigned[record.target] != record.shard:
                self._store(record.with_shard(assigned[record.target]))
        return True

    def _list_service(self, service: str) -> tuple[TargetRecord, ...]:
        """Return the records of a service's targets, sorted by name."""
        return tuple(record for record in self.records() if record.service == service)

    def _may_return(self, record: TargetRecord) -> bool:
        """Count a heartbeat of a removed target; return whether to register it again."""
        removed = self._removed[record.target]
        if removed.start is None:
            self._removed[record.target] = replace(removed, start=record.start)
            return False
        if record.start != removed.start:
            return self._restore_if(record.start > removed.start, record)
        if removed.sequence is None or record.sequence <= removed.sequence:
            return False
        heartbeats = removed.heartbeats + 1
        self._removed[record.target] = replace(
            removed, sequence=record.sequence, heartbeats=heartbeats
        )
        return self._restore_if(heartbeats >= HEARTBEATS_TO_RETURN, record)

    def _restore_if(self, is_alive: bool, record: TargetRecord) -> bool:
        """Drop the removal of a target if it is alive; return whether it is."""
        if is_alive:
            del self._removed[record.target]
        return is_alive

    def _list_others_at(self, record: TargetRecord) -> tuple[TargetRecord, ...]:
        """Return the records of other targets that have the same address."""
        return tuple(
            other
            for other in self.records()
            if other.address == record.address and other.target != record.target
        )

    def _apply_removal(self, command: RemoveTarget) -> bool:
        known = self._known.get(command.target)
        if known is not None and known.record.start > command.start > 0:
            return False
        removed = self._removed.get(command.target)
        if (
            removed is not None
            and removed.sequence is None
            and command.start <= (removed.start or 0)
        ):
            return False
        return self._remove(command.target, start=command.start)

    def _remove(self, target: str, sequence: int | None = None, *, start: int = 0) -> bool:
        self.revision += 1
        self._removed[target] = RemovedTarget(
            target=target,
            revision=self.revision,
            sequence=sequence,
            start=self._find_last_start(target, start),
        )
        former = self._known.pop(target, None)
        if former is not None:
            self._update_version(former.record.service)
        while len(self._removed) > MAX_REMOVED:
            oldest = next(iter(self._removed))
            self._forgotten_revision = self._removed.pop(oldest).revision
        return True

    def _find_last_start(self, target: str, reported: int) -> int | None:
        """Return the last start of a target that is removed; None if it was never reported."""
        known = self._known.get(target)
        if known is not None:
            return max(reported, known.record.start)
        removed = self._removed.get(target)
        recorded = removed.start if removed is not None else None
        return reported or recorded

    def _silence(self, target: str) -> bool:
        known = self._known.get(target)
        if known is None or known.record.standing != "live":
            return False
        self._store(known.record.with_standing("silent"))
        return True

    def _store(self, record: TargetRecord) -> None:
        self.revision += 1
        former = self._known.get(record.target)
        self._known[record.target] = RegisteredTarget(record=record, revision=self.revision)
        self._update_version(record.service)
        if former is not None and former.record.service != record.service:
            self._update_version(former.record.service)

    def _update_version(self, service: str) -> None:
        """Record the version of a service after a change of its targets."""
        before = self._versions.get(service)
        found = self._find_version(service)
        if before is None:
            # Nothing served before its first target.
            self._versions[service] = replace(found, revision=0)
        elif found.version != before.version and not self._is_empty(service):
            self._versions[service] = found

    def _is_empty(self, service: str) -> bool:
        return all(known.record.service != service for known in self._known.values())

    def _find_version(self, service: str) -> ServiceVersion:
        """Return the version of a service, as of now."""
        versions = {
            known.record.version
            for known in self._known.values()
            if known.record.service == service
        }
        sole = next(iter(versions)) if len(versions) == 1 else None
        return ServiceVersion(service=service, version=sole, revision=self.revision)


def _is_newer(record: TargetRecord, known: TargetRecord) -> bool:
    """Return whether a heartbeat is newer than the known one, by start, then by sequence."""
    return (record.start, record.sequence) > (known.start, known.sequence)


def _was_draining(record: TargetRecord, known: TargetRecord) -> bool:
    """Return whether this incarnation of a target announced before that it is draining."""
    return known.standing == "leaving" and record.start == known.start
