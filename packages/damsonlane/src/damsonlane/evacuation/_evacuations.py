"""Data centres whose targets get nothing new, as operators ordered it.

An order is a command of the replicated log: once it is committed it survives whatever the
settings survive.  Orders have no versions, so of two that cross the one committed last holds;
one that says what holds already changes nothing and is accepted again.
"""

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, kw_only=True)
class EvacuateDataCentre:
    """Nothing new is to be sent to the targets of a data centre."""

    kind: Literal["evacuate-data-centre"] = "evacuate-data-centre"
    #: The data centre.
    data_centre: str
    #: Drawn for each call, so that a line of the log can be matched with the state.
    call: str
    #: Who asks.
    operator: str
    #: When it was asked, in seconds since 1970.
    at: float


@dataclass(frozen=True, kw_only=True)
class RestoreDataCentre:
    """The targets of a data centre are to be used again."""

    kind: Literal["restore-data-centre"] = "restore-data-centre"
    #: The data centre.
    data_centre: str
    #: Drawn for each call.
    call: str
    #: Who asks.
    operator: str
    #: When it was asked, in seconds since 1970.
    at: float


@dataclass(frozen=True, kw_only=True)
class EvacuationNoted:
    """The reply to both: the caller may take the order as accepted."""

    kind: Literal["evacuation-noted"] = "evacuation-noted"
    #: Whether this command changed anything.
    is_changed: bool


@dataclass(frozen=True, kw_only=True)
class Evacuation:
    """A data centre that is evacuated."""

    #: Its name.
    data_centre: str
    #: The call that asked for it first.
    call: str
    #: Who asked.
    operator: str
    #: When it was asked, in seconds since 1970.
    at: float


@dataclass(frozen=True, kw_only=True)
class EvacuationsSnapshot:
    """The whole state."""

    #: Number of changes so far.
    revision: int = 0
    #: Data centres that are evacuated, in the order in which they were.
    evacuations: tuple[Evacuation, ...] = ()


@dataclass(frozen=True, kw_only=True)
class EvacuationList:
    """What entries are told: all data centres that are evacuated at a revision."""

    #: Number of changes that led there; a lower one is older.
    revision: int
    #: Names of the data centres.
    data_centres: tuple[str, ...]


class Evacuations:
    """Applies the orders of operators."""

    def __init__(self, snapshot: EvacuationsSnapshot | None = None) -> None:
        start = snapshot or EvacuationsSnapshot()
        self.revision = start.revision
        self._evacuations = {item.data_centre: item for item in start.evacuations}

    def snapshot(self) -> EvacuationsSnapshot:
        """Return the whole state."""
        return EvacuationsSnapshot(revision=self.revision, evacuations=self.evacuations())

    def evacuations(self) -> tuple[Evacuation, ...]:
        """Return what is evacuated, in the order in which it was."""
        return tuple(self._evacuations.values())

    def list_for_entries(self) -> EvacuationList:
        """Return what entries are told."""
        return EvacuationList(revision=self.revision, data_centres=tuple(self._evacuations))

    def apply(self, command: EvacuateDataCentre | RestoreDataCentre) -> EvacuationNoted:
        """Apply one command; what holds already stays as it is."""
        name = command.data_centre
        is_wanted = isinstance(command, EvacuateDataCentre)
        if is_wanted == (name in self._evacuations):
            return EvacuationNoted(is_changed=False)
        self.revision += 1
        if is_wanted:
            self._evacuations[name] = Evacuation(
                data_centre=name, call=command.call, operator=command.operator, at=command.at
            )
        else:
            del self._evacuations[name]
        return EvacuationNoted(is_changed=True)
