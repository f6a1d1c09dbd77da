"""Messages between processes that the core does not define."""

from typing import Annotated, Final, Literal

from grpclib.const import Cardinality
from pydantic import Field, JsonValue

from damsonlane.burn import CompletionCount
from damsonlane.cluster import AcceptedChange, ChangeReply, Command, PackedDocument, Reply
from damsonlane.consensus import Members
from damsonlane.costs import CostTotal
from damsonlane.evacuation import Evacuation
from damsonlane.membership import BoxRecord
from damsonlane.quarantine import QuarantineList
from damsonlane.ratelimit import RateLimitList
from damsonlane.records import dataclass
from damsonlane.settings import Role
from damsonlane_rpc._methods import Method, unary_method
from damsonlane_rpc._outcomes import Done, Forbidden, NotLeader, Unconfirmed
from damsonlane_rpc._quarantine_messages import QuarantineQuery, QuarantineView
from damsonlane_rpc._target_messages import TargetsQuery, TargetsView
from damsonlane_rpc._watch_messages import WatchReport


@dataclass(frozen=True, kw_only=True)
class SubmitRequest:
    """Commands to commit together."""

    #: The commands, in order.
    commands: tuple[Command, ...]


@dataclass(frozen=True, kw_only=True)
class Committed:
    """All commands are committed."""

    kind: Literal["submitted"] = "submitted"
    #: The reply to each command, in order.
    replies: tuple[Reply, ...]


@dataclass(frozen=True, kw_only=True)
class SubmitReply:
    """Reply to submitted commands."""

    #: The replies of the commands, or why there are none.
    outcome: Annotated[Committed | NotLeader | Unconfirmed | Forbidden, Field(discriminator="kind")]


@dataclass(frozen=True, kw_only=True)
class SettingsQuery:
    """Query of the settings tree."""

    kind: Literal["settings-query"] = "settings-query"


@dataclass(frozen=True, kw_only=True)
class DocumentQuery:
    """Query of the routing document in force."""

    kind: Literal["document-query"] = "document-query"


@dataclass(frozen=True, kw_only=True)
class HistoryQuery:
    """Query of the latest accepted changes."""

    kind: Literal["history-query"] = "history-query"
    #: Most changes to return.
    limit: int


@dataclass(frozen=True, kw_only=True)
class ChangeQuery:
    """Query of the outcome of a change of settings."""

    kind: Literal["change-query"] = "change-query"
    #: Id of the change.
    change: str


@dataclass(frozen=True, kw_only=True)
class CostsQuery:
    """Query of the cost totals and the counts of completed requests."""

    kind: Literal["costs-query"] = "costs-query"


@dataclass(frozen=True, kw_only=True)
class BoxesQuery:
    """Query of the boxes that report to control."""

    kind: Literal["boxes-query"] = "boxes-query"


@dataclass(frozen=True, kw_only=True)
class EvacuationsQuery:
    """Query of the evacuated data centres."""

    kind: Literal["evacuations-query"] = "evacuations-query"


@dataclass(frozen=True, kw_only=True)
class EvacuationsView:
    """The evacuated data centres."""

    kind: Literal["evacuations-view"] = "evacuations-view"
    #: In the order in which they were evacuated.
    evacuations: tuple[Evacuation, ...]


@dataclass(frozen=True, kw_only=True)
class BoxesView:
    """The boxes that report to control."""

    kind: Literal["boxes-view"] = "boxes-view"
    #: Their records, sorted by name.
    boxes: tuple[BoxRecord, ...]


@dataclass(frozen=True, kw_only=True)
class QueryRequest:
    """A query, which the leader answers from its current state."""

    query: Annotated[
        SettingsQuery
        | DocumentQuery
        | HistoryQuery
        | ChangeQuery
        | CostsQuery
        | BoxesQuery
        | EvacuationsQuery
        | QuarantineQuery
        | TargetsQuery,
        Field(discriminator="kind"),
    ]


@dataclass(frozen=True, kw_only=True)
class SettingsView:
    """The settings tree at a version."""

    kind: Literal["settings-view"] = "settings-view"
    #: The version.
    version: int
    #: The tree as operators wrote it.
    document: JsonValue


@dataclass(frozen=True, kw_only=True)
class DocumentView:
    """The routing document in force."""

    kind: Literal["document-view"] = "document-view"
    #: The document; its version is 0 if there is none.
    document: PackedDocument


@dataclass(frozen=True, kw_only=True)
class HistoryView:
    """Accepted changes, oldest first."""

    kind: Literal["history-view"] = "history-view"
    #: The changes.
    changes: tuple[AcceptedChange, ...]


@dataclass(frozen=True, kw_only=True)
class ChangeView:
    """The outcome of a change of settings."""

    kind: Literal["change-view"] = "change-view"
    #: The reply to the change, or None if no change with that id arrived.
    reply: Annotated[ChangeReply, Field(discriminator="kind")] | None


@dataclass(frozen=True, kw_only=True)
class CostsView:
    """Cost totals and counts of completed requests."""

    kind: Literal["costs-view"] = "costs-view"
    #: The totals, sorted by account.
    totals: tuple[CostTotal, ...]
    #: Counts of completed requests, sorted by pipeline and time.
    endings: tuple[CompletionCount, ...] = ()


@dataclass(frozen=True, kw_only=True)
class QueryReply:
    """Reply to a query."""

    #: The queried state, or why there is none.
    outcome: Annotated[
        SettingsView
        | DocumentView
        | HistoryView
        | ChangeView
        | CostsView
        | BoxesView
        | EvacuationsView
        | QuarantineView
        | TargetsView
        | NotLeader
        | Unconfirmed
        | Forbidden,
        Field(discriminator="kind"),
    ]


@dataclass(frozen=True, kw_only=True)
class WatchUpdate:
    """Newer settings: as changes if the history reaches back far enough, else as a whole."""

    #: Version of the settings after this update.
    version: int
    #: Accepted changes in order, from the version the box reported.
    changes: tuple[AcceptedChange, ...] = ()
    #: The whole tree, or None if the changes suffice.
    document: JsonValue = None
    #: Whether the sender is in contact with a quorum; a box disconnects from one that is not.
    is_current: bool = True
    #: Number of live entries.
    live_entries: int = 1
    #: Internal addresses of some other entries.
    peers: tuple[str, ...] = ()
    #: Quarantined requests, or None if unchanged.
    quarantine: QuarantineList | None = None
    #: Rate limits that targets announced, or None if unchanged.
    rate_limits: RateLimitList | None = None


@dataclass(frozen=True, kw_only=True)
class StatusRequest:
    """Request for the status of a control replica."""


@dataclass(frozen=True, kw_only=True)
class BoxStatus:
    """What a control replica knows of a box that receives its updates."""

    #: Name of the box.
    box: str
    #: Incarnation of its process.
    incarnation: str
    #: Its data centre.
    data_centre: str
    #: Version of the settings in force there.
    version: int
    #: Seconds since its last report.
    silent_seconds: float


@dataclass(frozen=True, kw_only=True)
class StatusReply:
    """The status of a control replica."""

    #: Name of the box.
    box: str
    #: Role of the box.
    role: Role
    #: Name of the replica.
    replica: str
    #: Identity of its group; empty until it is added to one.
    cluster: str
    #: Its role in the consensus protocol, such as leader or follower.
    standing: str
    #: Its consensus term.
    term: int
    #: Internal address of the leader; empty if unknown.
    leader: str
    #: Index of the last committed log entry.
    commit: int
    #: Index of the last log entry.
    last_index: int
    #: Version of the settings tree in its state.
    version: int
    #: Members of the group as it knows them.
    members: Members
    #: Boxes that receive updates from this replica.
    boxes: tuple[BoxStatus, ...] = ()


@dataclass(frozen=True, kw_only=True)
class FoundGroupRequest:
    """Request to found a group whose only member is the receiving box."""


@dataclass(frozen=True, kw_only=True)
class AddReplicaRequest:
    """Request to add a replica to the group."""

    #: Name of the replica, as its box reports it.
    replica: str
    #: Internal address of its box.
    address: str


@dataclass(frozen=True, kw_only=True)
class RemoveReplicaRequest:
    """Request to remove a replica from the group."""

    #: Name of the replica.
    replica: str


@dataclass(frozen=True, kw_only=True)
class GroupChangeDenied:
    """The members of the group can't be changed now."""

    kind: Literal["denied"] = "denied"
    #: The reason, and what to do.
    detail: str


@dataclass(frozen=True, kw_only=True)
class GroupReply:
    """Reply to a request to change the members of the group."""

    outcome: Annotated[
        Done | GroupChangeDenied | NotLeader | Forbidden, Field(discriminator="kind")
    ]


@dataclass(frozen=True, kw_only=True)
class ExchangeEnd:
    """Reply at the end of a stream of envelopes."""


SUBMIT: Final = unary_method("/damsonlane.Control/Submit", SubmitRequest, SubmitReply)
QUERY: Final = unary_method("/damsonlane.Control/Query", QueryRequest, QueryReply)
STATUS: Final = unary_method("/damsonlane.Control/Status", StatusRequest, StatusReply)
FOUND_GROUP: Final = unary_method("/damsonlane.Control/Found", FoundGroupRequest, GroupReply)
ADD_REPLICA: Final = unary_method("/damsonlane.Control/Add", AddReplicaRequest, GroupReply)
REMOVE_REPLICA: Final = unary_method("/damsonlane.Control/Remove", RemoveReplicaRequest, GroupReply)
WATCH: Final = Method(
    path="/damsonlane.Control/Watch",
    cardinality=Cardinality.STREAM_STREAM,
    request=WatchReport,
    reply=WatchUpdate,
)
