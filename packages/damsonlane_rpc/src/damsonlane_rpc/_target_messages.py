"""Messages by which operators list the registered targets."""

from typing import Literal

from damsonlane.records import dataclass
from damsonlane.targets import TargetRecord


@dataclass(frozen=True, kw_only=True)
class TargetsQuery:
    """Query of the registered targets."""

    kind: Literal["targets-query"] = "targets-query"


@dataclass(frozen=True, kw_only=True)
class TargetsView:
    """The registered targets."""

    kind: Literal["targets-view"] = "targets-view"
    #: Their records, sorted by name.
    targets: tuple[TargetRecord, ...]
