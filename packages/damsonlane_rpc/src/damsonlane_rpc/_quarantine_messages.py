"""Messages by which operators list the quarantined requests."""

from typing import Literal

from damsonlane.quarantine import QuarantineList
from damsonlane.records import dataclass


@dataclass(frozen=True, kw_only=True)
class QuarantineQuery:
    """Query of the quarantined requests."""

    kind: Literal["quarantine-query"] = "quarantine-query"


@dataclass(frozen=True, kw_only=True)
class QuarantineView:
    """The quarantined requests."""

    kind: Literal["quarantine-view"] = "quarantine-view"
    #: The list as entries receive it.
    quarantine: QuarantineList
