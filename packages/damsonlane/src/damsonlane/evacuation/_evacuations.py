"""Data centres that operators evacuated: their targets get no new requests.

Evacuations and restorations are commands of the replicated log and as durable as the settings.
They have no versions: of two concurrent commands the one committed last wins.  A command that
asks for the current state changes nothing and is accepted.
"""

from typing import Literal

from damsonlane.records import dataclass


@dataclass(frozen=True, kw_only=True)
class EvacuateDataCentre:
    """Command: send no new requests to the targets of a data centre."""

    kind: Literal["evacuate-data-centre"] = "evacuate-data-centre"
    #: The data centre.
    data_centre: str
    #: Random id of the operator's call, to match log lines with the state.
    call: str
    #: The operator.
    operator: str
    #: Time of the call, in seconds since 1970.
    at: float


@dataclass(frozen=True, kw_only=True)
class RestoreDataCentre:
    """Command: use the targets of a data centre again."""

    kind: Literal["restore-data-centre"] = "restore-data-centre"
    #: The data centre.
    data_centre: str
    #: Random id of the operator's call.
    call: str
    #: The operator.
    operator: str
    #: Time of the call, in seconds since 1970.
    at: float


@dataclass(frozen=True, kw_only=True)
class EvacuationRecorded:
    """The reply to both commands: the command was accepted."""

    kind: Literal["evacuation-noted"] = "evacuation-noted"
    #: Whether this command changed anything.
    is_changed: bool


@dataclass(frozen=True, kw_only=True)
class Evacuation:
    """A data centre that is evacuated."""

    #: Its name.
    data_centre: str
    #: Id of the call that evacuated it.
    call: str
    #: The operator.
    operator: str
    #: Time of the call, in seconds since 1970.
    at: float


@dataclass(frozen=True, kw_only=True)
class EvacuationsSnapshot:
    """The complete state."""

    #: Number of changes so far.
    revision: int = 0
    #: Evacuated data centres, in the order of their evacuation.
    evacuations: tuple[Evacuation, ...] = ()


@dataclass(frozen=True, kw_only=True)
class EvacuationList:
    """All evacuated data centres at a revision, as sent to entries."""

    #: Number of changes so far; a lower one is older.
    revision: int
    #: Names of the data centres.
    data_centres: tuple[str, ...]


class Evacuations:
    """Applies the commands of operators."""

    def __init__(self, snapshot: EvacuationsSnapshot | None = None) -> None:
        start = snapshot or EvacuationsSnapshot()
        self.revision = start.revision
        self._evacuations = {item.data_centre: item for item in start.evacuations}

    def snapshot(self) -> EvacuationsSnapshot:
        """Return the complete state."""
        return EvacuationsSnapshot(revision=self.revision, evacuations=self.evacuations())

    def evacuations(self) -> tuple[Evacuation, ...]:
        """Return the evacuated data centres, in the order of their evacuation."""
        return tuple(self._evacuations.values())

    def list_for_entries(self) -> EvacuationList:
        """Return the list that is sent to entries."""
        return EvacuationList(revision=self.revision, data_centres=tuple(self._evacuations))

    def apply(self, command: EvacuateDataCentre | RestoreDataCentre) -> EvacuationRecorded:
        """Apply one command; it changes nothing if it asks for the current state."""
        name = command.data_centre
        is_evacuation = isinstance(command, EvacuateDataCentre)
        if is_evacuation == (name in self._evacuations):
            return EvacuationRecorded(is_changed=False)
        self.revision += 1
        if is_evacuation:
            self._evacuations[name] = Evacuation(
                data_centre=name, call=command.call, operator=command.operator, at=command.at
            )
        else:
            del self._evacuations[name]
        return EvacuationRecorded(is_changed=True)
