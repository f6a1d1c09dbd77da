"""Messages by which operators and entries read the registry of targets."""

from typing import Literal

from damsonlane.records import dataclass
from damsonlane.targets import ServiceVersion, TargetRecord


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


@dataclass(frozen=True, kw_only=True)
class VersionsQuery:
    """Query of the software versions of the targets of all services."""

    kind: Literal["versions-query"] = "versions-query"


@dataclass(frozen=True, kw_only=True)
class VersionsView:
    """The software versions of the targets of all services."""

    kind: Literal["versions-view"] = "versions-view"
    #: The version of each service that has had targets, sorted by service.
    versions: tuple[ServiceVersion, ...]
    #: Version of the routing document in force.
    document_version: int = 0
