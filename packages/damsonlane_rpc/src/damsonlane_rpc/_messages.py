"""Messages between processes, besides those that the core defines."""

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import Field, JsonValue

from damsonlane.agreement import Members
from damsonlane.burn import EndingCount
from damsonlane.cluster import AcceptedChange, ChangeReply, Command, PackedDocument, Reply
from damsonlane.costs import CostTotal
from damsonlane.evacuation import Evacuation
from damsonlane.membership import BoxRecord
from damsonlane.quarantine import QuarantineList
from damsonlane.ratelimit import RateLimitList
from damsonlane.settings import Role
from damsonlane_rpc._quarantine_messages import QuarantineQuery, QuarantineView


@dataclass(frozen=True, kw_only=True)
class SubmitRequest:
    """Commands to commit together."""

    #: The commands, in order.
    commands: tuple[Command, ...]


@dataclass(frozen=True, kw_only=True)
class Submitted:
    """All commands are committed."""

    kind: Literal["submitted"] = "submitted"
    #: The reply to each command, in order.
    replies: tuple[Reply, ...]


@dataclass(frozen=True, kw_only=True)
class NotLeader:
    """This replica can't answer; ask the leader."""

    kind: Literal["not-leader"] = "not-leader"
    #: Internal address of the leader, or empty when unknown.
    leader: str


@dataclass(frozen=True, kw_only=True)
class Unconfirmed:
    """The outcome is unknown: a quorum could not be reached in time."""

    kind: Literal["unconfirmed"] = "unconfirmed"


@dataclass(frozen=True, kw_only=True)
class Forbidden:
    """The operator may not do this."""

    kind: Literal["forbidden"] = "forbidden"
    #: Why.
    detail: str


@dataclass(frozen=True, kw_only=True)
class SubmitReply:
    """The outcome of a submission."""

    #: What became of it.
    outcome: Annotated[Submitted | NotLeader | Unconfirmed | Forbidden, Field(discriminator="kind")]


@dataclass(frozen=True, kw_only=True)
class SettingsQuery:
    """Ask for the settings tree."""

    kind: Literal["settings-query"] = "settings-query"


@dataclass(frozen=True, kw_only=True)
class DocumentQuery:
    """Ask for the routing document in force."""

    kind: Literal["document-query"] = "document-query"


@dataclass(frozen=True, kw_only=True)
class HistoryQuery:
    """Ask for the latest accepted changes."""

    kind: Literal["history-query"] = "history-query"
    #: How many at the most.
    limit: int


@dataclass(frozen=True, kw_only=True)
class ChangeQuery:
    """Ask what became of a change id."""

    kind: Literal["change-query"] = "change-query"
    #: The change id.
    change: str


@dataclass(frozen=True, kw_only=True)
class CostsQuery:
    """Ask for the cost totals and the counts of endings."""

    kind: Literal["costs-query"] = "costs-query"


@dataclass(frozen=True, kw_only=True)
class BoxesQuery:
    """Ask which boxes are heard."""

    kind: Literal["boxes-query"] = "boxes-query"


@dataclass(frozen=True, kw_only=True)
class EvacuationsQuery:
    """Ask which data centres are evacuated."""

    kind: Literal["evacuations-query"] = "evacuations-query"


@dataclass(frozen=True, kw_only=True)
class EvacuationsView:
    """The data centres that are evacuated."""

    kind: Literal["evacuations-view"] = "evacuations-view"
    #: In the order in which they were.
    evacuations: tuple[Evacuation, ...]


@dataclass(frozen=True, kw_only=True)
class BoxesView:
    """The boxes that are heard."""

    kind: Literal["boxes-view"] = "boxes-view"
    #: Their records, sorted by name.
    boxes: tuple[BoxRecord, ...]


@dataclass(frozen=True, kw_only=True)
class QueryRequest:
    """A read that must be current."""

    #: What is asked.
    query: Annotated[
        SettingsQuery
        | DocumentQuery
        | HistoryQuery
        | ChangeQuery
        | CostsQuery
        | BoxesQuery
        | EvacuationsQuery
        | QuarantineQuery,
        Field(discriminator="kind"),
    ]


@dataclass(frozen=True, kw_only=True)
class SettingsView:
    """The settings tree at a version."""

    kind: Literal["settings-view"] = "settings-view"
    #: The version.
    version: int
    #: The tree as written.
    document: JsonValue


@dataclass(frozen=True, kw_only=True)
class DocumentView:
    """The routing document in force."""

    kind: Literal["document-view"] = "document-view"
    #: The document; version 0 when there is none.
    document: PackedDocument


@dataclass(frozen=True, kw_only=True)
class HistoryView:
    """Accepted changes, oldest first."""

    kind: Literal["history-view"] = "history-view"
    #: The changes.
    changes: tuple[AcceptedChange, ...]


@dataclass(frozen=True, kw_only=True)
class ChangeView:
    """What became of a change id."""

    kind: Literal["change-view"] = "change-view"
    #: The answer given, or None when the change id never arrived.
    reply: Annotated[ChangeReply, Field(discriminator="kind")] | None


@dataclass(frozen=True, kw_only=True)
class CostsView:
    """Cost totals and counts of endings."""

    kind: Literal["costs-view"] = "costs-view"
    #: The totals, sorted by account.
    totals: tuple[CostTotal, ...]
    #: Endings, sorted by pipeline and time.
    endings: tuple[EndingCount, ...] = ()


@dataclass(frozen=True, kw_only=True)
class QueryReply:
    """The outcome of a query."""

    #: What came of it.
    outcome: Annotated[
        SettingsView
        | DocumentView
        | HistoryView
        | ChangeView
        | CostsView
        | BoxesView
        | EvacuationsView
        | QuarantineView
        | NotLeader
        | Unconfirmed
        | Forbidden,
        Field(discriminator="kind"),
    ]


@dataclass(frozen=True, kw_only=True)
class WatchReport:
    """A box says which settings it has in force."""

    #: Name of the box.
    box: str
    #: Drawn anew at each start of its process.
    incarnation: str
    #: Its data centre.
    data_centre: str
    #: Version in force there.
    version: int
    #: Start of its process by its own clock, in seconds since 1970.
    started_at: float
    #: Its internal address.
    address: str
    #: Whether it is stopping.
    is_leaving: bool = False


@dataclass(frozen=True, kw_only=True)
class WatchUpdate:
    """Newer settings, as changes where the history reaches back far enough."""

    #: Version that holds after this update.
    version: int
    #: Accepted changes in order, from the version the box reported.
    changes: tuple[AcceptedChange, ...] = ()
    #: The whole tree, or None when the changes say it all.
    document: JsonValue = None
    #: Whether the sender is in touch with a quorum; a box leaves one that is not.
    is_current: bool = True
    #: How many entries are live.
    live_entries: int = 1
    #: Internal addresses of some other entries.
    peers: tuple[str, ...] = ()
    #: Requests that are kept from targets, or None when they are as before.
    quarantine: QuarantineList | None = None
    #: Rate limits that targets named, or None when they are as before.
    rate_limits: RateLimitList | None = None


@dataclass(frozen=True, kw_only=True)
class StatusRequest:
    """Ask a box how it is."""


@dataclass(frozen=True, kw_only=True)
class BoxStatus:
    """What a control replica knows of a box that watches it."""

    #: Name of the box.
    box: str
    #: Incarnation of its process.
    incarnation: str
    #: Its data centre.
    data_centre: str
    #: Version in force there.
    version: int
    #: Seconds since it was last heard.
    silent_seconds: float


@dataclass(frozen=True, kw_only=True)
class StatusReply:
    """How a control box is."""

    #: Name of the box.
    box: str
    #: What it does.
    role: Role
    #: Name of its replica.
    replica: str
    #: Identity of its group, or empty while it waits to be admitted.
    cluster: str
    #: Its standing in the agreement.
    standing: str
    #: Its term.
    term: int
    #: Internal address of the leader, or empty.
    leader: str
    #: Index of the last committed entry.
    commit: int
    #: Index of the last entry.
    last_index: int
    #: Version of the settings tree in its state.
    version: int
    #: The group as it knows it.
    members: Members
    #: Boxes that watch this replica.
    boxes: tuple[BoxStatus, ...] = ()


@dataclass(frozen=True, kw_only=True)
class FoundRequest:
    """Found a group whose only member is the box that is asked."""


@dataclass(frozen=True, kw_only=True)
class AddRequest:
    """Admit a replica to the group."""

    #: Name of the replica, as its box reports it.
    replica: str
    #: Internal address of its box.
    address: str


@dataclass(frozen=True, kw_only=True)
class RemoveRequest:
    """Remove a replica from the group."""

    #: Name of the replica.
    replica: str


@dataclass(frozen=True, kw_only=True)
class Done:
    """The change of the group is under way."""

    kind: Literal["done"] = "done"


@dataclass(frozen=True, kw_only=True)
class Denied:
    """The change of the group can't be made now."""

    kind: Literal["denied"] = "denied"
    #: Why, and what to do.
    detail: str


@dataclass(frozen=True, kw_only=True)
class GroupReply:
    """The outcome of a change of the group."""

    #: What came of it.
    outcome: Annotated[Done | Denied | NotLeader | Forbidden, Field(discriminator="kind")]


@dataclass(frozen=True, kw_only=True)
class ExchangeEnd:
    """The end of a stream of envelopes."""
