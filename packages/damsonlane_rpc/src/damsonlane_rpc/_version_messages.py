"""Messages by which entries read which software versions of targets serve."""

from typing import Annotated, Final, Literal

from pydantic import Field

from damsonlane.records import dataclass
from damsonlane.targets import ServiceVersion
from damsonlane_rpc._methods import unary_method
from damsonlane_rpc._outcomes import NotLeader, Unconfirmed


@dataclass(frozen=True, kw_only=True)
class VersionsQuery:
    """Query of the software versions of the targets of all services."""


@dataclass(frozen=True, kw_only=True)
class VersionsView:
    """The software versions of the targets of all services."""

    kind: Literal["versions-view"] = "versions-view"
    #: The version of each service that has had targets, sorted by service.
    versions: tuple[ServiceVersion, ...]
    #: Version of the routing document in force.
    document_version: int = 0


@dataclass(frozen=True, kw_only=True)
class VersionsReply:
    """Reply to a query of versions."""

    #: The versions, or why there are none.
    outcome: Annotated[VersionsView | NotLeader | Unconfirmed, Field(discriminator="kind")]


READ_VERSIONS: Final = unary_method("/damsonlane.Control/Versions", VersionsQuery, VersionsReply)
