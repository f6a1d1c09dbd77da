"""The registry of targets: part of the replicated state."""

from dataclasses import dataclass, replace
from typing import Final

from damsonlane.targets._records import (
    RegisterTarget,
    RemoveTarget,
    SilenceTargets,
    TargetNoted,
    TargetRecord,
)

#: Names of gone targets that are remembered, so that a late heartbeat can't
#: bring one back; a few hours' worth at 200 restarts a day.
GONE_REMEMBERED: Final = 512


#: Newer heartbeats after which a target that was replaced at its address is back.  Word of
#: a dead target that a cut held up replaces the one that lives there now; that one goes on
#: calling.  One heartbeat alone may itself be late word.
HEARTBEATS_TO_RETURN: Final = 2


@dataclass(frozen=True, kw_only=True)
class GoneTarget:
    """A target that left, or whose address another one has."""

    #: Its name.
    target: str
    #: Revision of the registry at which it left.
    revision: int
    #: Number of its last heartbeat, if another target took its address; None if this start
    #: of it left for good.
    sequence: int | None = None
    #: Its start; None while no heartbeat has told it.
    start: int | None = None
    #: Newer heartbeats since then.
    heartbeats: int = 0


@dataclass(frozen=True, kw_only=True)
class KnownTarget:
    """A target that is there."""

    #: Its record.
    record: TargetRecord
    #: Revision of the registry at which the record last changed.
    revision: int


@dataclass(frozen=True, kw_only=True)
class TargetsSnapshot:
    """The whole registry."""

    #: Number of changes so far.
    revision: int = 0
    #: Targets that are there.
    known: tuple[KnownTarget, ...] = ()
    #: Targets that left, oldest first.
    gone: tuple[GoneTarget, ...] = ()
    #: Revision up to which departures are forgotten.
    forgotten_revision: int = 0


@dataclass(frozen=True, kw_only=True)
class TargetChanges:
    """What takes a reader from one revision to a later one."""

    #: The later revision.
    revision: int
    #: Records that are new or changed.
    records: tuple[TargetRecord, ...] = ()
    #: Names of targets that left.
    gone: tuple[str, ...] = ()
    #: Whether the records are all there are, so that any other is gone.
    is_whole: bool = False


class TargetRegistry:
    """Applies commands about targets."""

    def __init__(self, snapshot: TargetsSnapshot | None = None) -> None:
        start = snapshot or TargetsSnapshot()
        self.revision = start.revision
        self._known = {known.record.target: known for known in start.known}
        self._gone = {gone.target: gone for gone in start.gone}
        self._forgotten_revision = start.forgotten_revision

    def snapshot(self) -> TargetsSnapshot:
        """Return the whole registry."""
        return TargetsSnapshot(
            revision=self.revision,
            known=tuple(self._known[name] for name in sorted(self._known)),
            gone=tuple(self._gone.values()),
            forgotten_revision=self._forgotten_revision,
        )

    def records(self) -> tuple[TargetRecord, ...]:
        """Return all records, sorted by name."""
        return tuple(self._known[name].record for name in sorted(self._known))

    def find(self, target: str) -> TargetRecord | None:
        """Return the record of a target, or None."""
        known = self._known.get(target)
        return known.record if known else None

    def is_gone(self, target: str) -> bool:
        """Tell whether a target has left for good."""
        gone = self._gone.get(target)
        return gone is not None and gone.sequence is None

    def changes_after(self, revision: int) -> TargetChanges:
        """Return what changed after a revision; everything when that is too long ago."""
        if revision == 0 or revision < self._forgotten_revision or revision > self.revision:
            return TargetChanges(revision=self.revision, records=self.records(), is_whole=True)
        return TargetChanges(
            revision=self.revision,
            records=tuple(
                known.record for known in self._known.values() if known.revision > revision
            ),
            gone=tuple(gone.target for gone in self._gone.values() if gone.revision > revision),
        )

    def apply(self, command: RegisterTarget | RemoveTarget | SilenceTargets) -> TargetNoted:
        """Apply one command."""
        match command:
            case RegisterTarget(record=record):
                return TargetNoted(is_changed=self._register(record))
            case RemoveTarget():
                return TargetNoted(is_changed=self._leave(command))
            case SilenceTargets(targets=targets):
                changes = [self._silence(target) for target in targets]
                return TargetNoted(is_changed=any(changes))

    def _register(self, record: TargetRecord) -> bool:
        others = self._list_others_at(record)
        if any(other.start > record.start > 0 for other in others):
            # Its address belongs to a target that started later: this is late word of a dead one.
            return False
        if record.target in self._gone and not self._may_return(record):
            return False
        known = self._known.get(record.target)
        if known is not None and not _is_newer(record, known.record):
            return False
        if known is not None and _has_left(record, known.record):
            # Leaving is for good: the target ends soon, whatever a confused heartbeat says.
            record = record.with_standing("leaving")
        for other in others:
            # Two targets can't hold one address, so the one heard later replaced the other.
            self._remove(other.target, other.sequence)
        self._store(record)
        return True

    def _may_return(self, record: TargetRecord) -> bool:
        """Count a heartbeat of a target that is gone; tell whether it is there after all."""
        gone = self._gone[record.target]
        if gone.start is None:
            self._gone[record.target] = replace(gone, start=record.start)
            return False
        if record.start != gone.start:
            return self._return_if(record.start > gone.start, record)
        if gone.sequence is None or record.sequence <= gone.sequence:
            return False
        heartbeats = gone.heartbeats + 1
        self._gone[record.target] = replace(gone, sequence=record.sequence, heartbeats=heartbeats)
        return self._return_if(heartbeats >= HEARTBEATS_TO_RETURN, record)

    def _return_if(self, is_there: bool, record: TargetRecord) -> bool:
        """Forget that a target is gone if it is there; tell whether it is."""
        if is_there:
            del self._gone[record.target]
        return is_there

    def _list_others_at(self, record: TargetRecord) -> tuple[TargetRecord, ...]:
        """Return the records of other targets at the address of one."""
        return tuple(
            other
            for other in self.records()
            if other.address == record.address and other.target != record.target
        )

    def _leave(self, command: RemoveTarget) -> bool:
        known = self._known.get(command.target)
        if known is not None and known.record.start > command.start > 0:
            return False
        gone = self._gone.get(command.target)
        if gone is not None and gone.sequence is None and command.start <= (gone.start or 0):
            return False
        return self._remove(command.target, start=command.start)

    def _remove(self, target: str, sequence: int | None = None, *, start: int = 0) -> bool:
        self.revision += 1
        self._gone[target] = GoneTarget(
            target=target,
            revision=self.revision,
            sequence=sequence,
            start=self._find_last_start(target, start),
        )
        self._known.pop(target, None)
        while len(self._gone) > GONE_REMEMBERED:
            oldest = next(iter(self._gone))
            self._forgotten_revision = self._gone.pop(oldest).revision
        return True

    def _find_last_start(self, target: str, told: int) -> int | None:
        """Return the last start of a target that leaves; None if nobody told it."""
        known = self._known.get(target)
        if known is not None:
            return max(told, known.record.start)
        gone = self._gone.get(target)
        noted = gone.start if gone is not None else None
        return told or noted

    def _silence(self, target: str) -> bool:
        known = self._known.get(target)
        if known is None or known.record.standing != "live":
            return False
        self._store(known.record.with_standing("silent"))
        return True

    def _store(self, record: TargetRecord) -> None:
        self.revision += 1
        self._known[record.target] = KnownTarget(record=record, revision=self.revision)


def _is_newer(record: TargetRecord, known: TargetRecord) -> bool:
    """Tell whether a heartbeat says more than what is known: by start, then by count."""
    return (record.start, record.sequence) > (known.start, known.sequence)


def _has_left(record: TargetRecord, known: TargetRecord) -> bool:
    """Tell whether this start of a target said before that it leaves."""
    return known.standing == "leaving" and record.start == known.start
