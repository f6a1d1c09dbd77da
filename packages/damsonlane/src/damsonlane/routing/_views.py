"""What a routing policy sees."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class TargetView:
    """One target as an entry sees it at the moment of a choice."""

    #: Name of the target.
    name: str
    #: Data centre in which it stands.
    data_centre: str
    #: Requests that this entry has in flight there.
    in_flight: int
    #: Requests of other entries held there, as far as its last report tells.
    others: float
    #: Requests that it runs at once, from its report; 1 when unknown.
    slots: int
    #: How its times compare with those of its fellows; 1 is the usual pace.
    slowness: float

    def load(self) -> float:
        """Return the requests it probably holds."""
        return self.in_flight + self.others


@dataclass(frozen=True, kw_only=True)
class Origin:
    """Where a choice is made, and for what."""

    #: Data centre of the entry.
    data_centre: str
    #: Text whose prefix decides affinity; empty when there is none.
    affinity: str = ""
