"""Which boxes there are, as control's own evidence says."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Literal

#: A box is live until it says that it is leaving; one that fell silent is deleted.
BoxStanding = Literal["live", "leaving"]


@dataclass(frozen=True, kw_only=True)
class BoxRecord:
    """One incarnation of a box."""

    #: Name of the box.
    box: str
    #: Drawn at the start of its process.
    incarnation: str
    #: Start of its process by its own clock, in seconds since 1970.
    started_at: float
    #: Its data centre.
    data_centre: str
    #: Its internal address.
    address: str
    #: Whether it takes new requests.
    standing: BoxStanding
    #: Control replica that hears it.
    via: str
    #: Its place in the order in which incarnations joined, given by the replicated list.
    place: int = 0

    def says_as(self, other: "BoxRecord") -> bool:
        """Tell whether a box said the same in another record, wherever either was put."""
        return replace(self, place=0) == replace(other, place=0)


@dataclass(frozen=True, kw_only=True)
class NoteBox:
    """A control replica hears a box."""

    kind: Literal["note-box"] = "note-box"
    #: What it hears.
    record: BoxRecord


@dataclass(frozen=True, kw_only=True)
class LoseBox:
    """A control replica no longer hears a box that it heard last."""

    kind: Literal["lose-box"] = "lose-box"
    #: Name of the box.
    box: str
    #: The incarnation that fell silent.
    incarnation: str
    #: The replica that heard it.
    via: str


@dataclass(frozen=True, kw_only=True)
class BoxNoted:
    """The reply to both."""

    kind: Literal["box-noted"] = "box-noted"
    #: Whether the record changed.
    is_changed: bool


class Membership:
    """The boxes: part of the replicated state."""

    def __init__(self, records: Iterable[BoxRecord] = ()) -> None:
        self._records = {record.box: record for record in records}

    def records(self) -> tuple[BoxRecord, ...]:
        """Return all records, sorted by box."""
        return tuple(self._records[box] for box in sorted(self._records))

    def record_of(self, box: str) -> BoxRecord | None:
        """Return the record of a box, or None."""
        return self._records.get(box)

    def live(self) -> int:
        """Return how many boxes are live."""
        return sum(1 for record in self._records.values() if record.standing == "live")

    def note(self, command: NoteBox) -> BoxNoted:
        """Take a record unless it is of an earlier incarnation than the known one."""
        record = command.record
        known = self._records.get(record.box)
        if known is not None and (known.says_as(record) or _is_older(record, known)):
            return BoxNoted(is_changed=False)
        if known is not None and known.incarnation == record.incarnation:
            # A late message must not make a leaving box live again.
            is_leaving = "leaving" in (known.standing, record.standing)
            standing: BoxStanding = "leaving" if is_leaving else "live"
            record = replace(record, standing=standing, place=known.place)
        else:
            record = replace(record, place=self._next_place())
        self._records[record.box] = record
        return BoxNoted(is_changed=True)

    def lose(self, command: LoseBox) -> BoxNoted:
        """Delete a record, if it is still the one that fell silent."""
        known = self._records.get(command.box)
        if known is None or (known.incarnation, known.via) != (command.incarnation, command.via):
            return BoxNoted(is_changed=False)
        del self._records[command.box]
        return BoxNoted(is_changed=True)

    def _next_place(self) -> int:
        """Return the place of an incarnation that joins now: after all that are there."""
        return 1 + max((record.place for record in self._records.values()), default=0)


def _is_older(record: BoxRecord, known: BoxRecord) -> bool:
    return record.incarnation != known.incarnation and record.started_at <= known.started_at
