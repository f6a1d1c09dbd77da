"""Messages by which operators ask which requests are kept from targets."""

from dataclasses import dataclass
from typing import Literal

from damsonlane.quarantine import QuarantineList


@dataclass(frozen=True, kw_only=True)
class QuarantineQuery:
    """Ask which requests are kept from targets."""

    kind: Literal["quarantine-query"] = "quarantine-query"


@dataclass(frozen=True, kw_only=True)
class QuarantineView:
    """The requests that are kept from targets."""

    kind: Literal["quarantine-view"] = "quarantine-view"
    #: The list as entries are told it.
    quarantine: QuarantineList
