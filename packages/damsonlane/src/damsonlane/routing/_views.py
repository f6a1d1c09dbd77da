"""The input of routing policies."""

from damsonlane.records import dataclass


@dataclass(frozen=True, kw_only=True)
class TargetView:
    """The state of one target at one entry at the time of a choice."""

    #: Name of the target.
    name: str
    #: Its data centre.
    data_centre: str
    #: Requests that this entry has in flight there.
    in_flight: int
    #: Requests of other entries there, estimated from its last load report.
    others: float
    #: Requests that it runs concurrently, from its last load report; 1 when unknown.
    slots: int
    #: Its response times as a multiple of the usual ones; 1 is normal.
    slowness: float
    #: Factor by which work takes longer there, by its learned speed and the slowness that it
    #: reported; None if the targets of its service report none.
    time_factor: float | None = None
    #: Moving average of its requests from all entries, by its reports, as a share of its slots;
    #: only where `time_factor` is known.
    crowding: float = 0.0

    def load(self) -> float:
        """Return the estimated number of requests there."""
        return self.in_flight + self.others


@dataclass(frozen=True, kw_only=True)
class Origin:
    """Where a choice is made, and for which prompt."""

    #: Data centre of the entry.
    data_centre: str
    #: Text whose prefix decides affinity; empty when there is none.
    affinity: str = ""
