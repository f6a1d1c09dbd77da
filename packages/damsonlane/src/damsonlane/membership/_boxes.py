"""Membership of boxes, as reported by the control replicas that they connect to."""

from collections.abc import Iterable
from dataclasses import replace
from typing import Literal

from damsonlane.hints import FlagHint, NamesHint, NumberHint
from damsonlane.records import dataclass

#: A box is live until it announces that it is draining ("leaving"); a silent one is deleted.
BoxStanding = Literal["live", "leaving"]


@dataclass(frozen=True, kw_only=True)
class BoxRecord:
    """One incarnation of a box."""

    #: Name of the box.
    box: str
    #: Random identity of its process, drawn at the start.
    incarnation: str
    #: Start time of its process by its own clock, in seconds since 1970.
    started_at: float
    #: Its data centre.
    data_centre: str
    #: Its internal address.
    address: str
    #: Whether it accepts new requests.
    standing: BoxStanding
    #: Control replica that it reports to.
    via: str
    #: Its position in the order in which incarnations joined, assigned by `Membership`.
    place: int = 0
    #: Its capacity, in cores; 0 if unknown.
    capacity: NumberHint = 0.0
    #: Whether it should own nothing while another box can, since it is short of processor time.
    is_overloaded: FlagHint = False
    #: Services whose targets it does not reach, though other boxes do.
    unreached: NamesHint = ()

    def is_same_report(self, other: "BoxRecord") -> bool:
        """Return whether two records are equal, apart from their positions."""
        return replace(self, place=0) == replace(other, place=0)


@dataclass(frozen=True, kw_only=True)
class UpdateBox:
    """A control replica reports the current record of a box."""

    kind: Literal["note-box"] = "note-box"
    #: The record.
    record: BoxRecord


@dataclass(frozen=True, kw_only=True)
class RemoveBox:
    """A control replica reports that a box fell silent."""

    kind: Literal["lose-box"] = "lose-box"
    #: Name of the box.
    box: str
    #: The incarnation that fell silent.
    incarnation: str
    #: Control replica that it reported to.
    via: str


@dataclass(frozen=True, kw_only=True)
class BoxUpdated:
    """Reply to `UpdateBox` and `RemoveBox`."""

    kind: Literal["box-noted"] = "box-noted"
    #: Whether the membership changed.
    is_changed: bool


class Membership:
    """The records of all boxes; part of the replicated state."""

    def __init__(self, records: Iterable[BoxRecord] = ()) -> None:
        self._records = {record.box: record for record in records}

    def records(self) -> tuple[BoxRecord, ...]:
        """Return all records, sorted by box."""
        return tuple(self._records[box] for box in sorted(self._records))

    def record_of(self, box: str) -> BoxRecord | None:
        """Return the record of a box, or None if there is none."""
        return self._records.get(box)

    def count_live(self) -> int:
        """Return the number of live boxes."""
        return sum(1 for record in self._records.values() if record.standing == "live")

    def update(self, command: UpdateBox) -> BoxUpdated:
        """Store a record, unless it is of an earlier incarnation than the stored one."""
        record = command.record
        stored = self._records.get(record.box)
        if stored is not None and (
            stored.is_same_report(record) or _is_earlier_incarnation(record, stored)
        ):
            return BoxUpdated(is_changed=False)
        if stored is not None and stored.incarnation == record.incarnation:
            # A delayed message must not make a draining box live again.
            is_leaving = "leaving" in (stored.standing, record.standing)
            standing: BoxStanding = "leaving" if is_leaving else "live"
            record = replace(record, standing=standing, place=stored.place)
        else:
            record = replace(record, place=self._next_position())
        self._records[record.box] = record
        return BoxUpdated(is_changed=True)

    def remove(self, command: RemoveBox) -> BoxUpdated:
        """Delete a record, unless its box has restarted or moved to another control replica."""
        stored = self._records.get(command.box)
        if stored is None or (stored.incarnation, stored.via) != (command.incarnation, command.via):
            return BoxUpdated(is_changed=False)
        del self._records[command.box]
        return BoxUpdated(is_changed=True)

    def _next_position(self) -> int:
        """Return the position for a new incarnation, after all stored ones."""
        return 1 + max((record.place for record in self._records.values()), default=0)


def _is_earlier_incarnation(record: BoxRecord, stored: BoxRecord) -> bool:
    return record.incarnation != stored.incarnation and record.started_at <= stored.started_at
