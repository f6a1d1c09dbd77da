"""Messages between control, entries and the owners of stage pools."""

from typing import Annotated, Literal

from pydantic import Field

from damsonlane.cluster import PackedDocument
from damsonlane.evacuation import EvacuationList
from damsonlane.membership import BoxRecord
from damsonlane.placement import Placement, PlacementRequest, PromptOutcome
from damsonlane.pools import PieceOrder, PieceResult
from damsonlane.quarantine import QuarantineList
from damsonlane.ratelimit import Permit, PermitRequest, RateLimitList, RateLimitReport
from damsonlane.records import dataclass
from damsonlane.targets import TargetChanges
from damsonlane_rpc._messages import Done, NotLeader, WatchReport


@dataclass(frozen=True, kw_only=True)
class FollowReport:
    """An entry's report of itself and of the revisions that it has."""

    #: The box, with the version of the routing document in force there.
    box: WatchReport
    #: Its revision of the registry of targets.
    targets_revision: int
    #: Its revision of the list of evacuated data centres; -1 for none.
    evacuations_revision: int = -1
    #: Its revision of the list of quarantined requests; -1 for none.
    quarantine_revision: int = -1
    #: Its revision of the list of rate limits; -1 for none.
    rate_limits_revision: int = -1


@dataclass(frozen=True, kw_only=True)
class FollowUpdate:
    """Changes since an entry's report; without any, a heartbeat with the sender's staleness."""

    #: Upper bound of the staleness of the sender's state, in seconds: it includes everything
    #: that was acknowledged longer ago than this.  None if unknown.
    state_age: float | None
    #: A newer routing document, or None.
    document: PackedDocument | None = None
    #: Changes of the registry of targets, or None.
    targets: TargetChanges | None = None
    #: Evacuated data centres, or None if unchanged.
    evacuations: EvacuationList | None = None
    #: Quarantined requests, or None if unchanged.
    quarantine: QuarantineList | None = None
    #: Rate limits that targets announced, or None if unchanged.
    rate_limits: RateLimitList | None = None
    #: All entries that report to control, or None if unchanged.
    entries: tuple[BoxRecord, ...] | None = None
    #: Internal addresses of the control replicas, or None if unchanged.
    control: tuple[str, ...] | None = None


@dataclass(frozen=True, kw_only=True)
class JoinRequest:
    """A replica without a group or a leader asks to join, or whether it is still a member."""

    #: Name of the replica.
    replica: str
    #: Internal address of its box.
    address: str
    #: Identity of its group; empty if it has none.
    cluster: str


@dataclass(frozen=True, kw_only=True)
class NotAMember:
    """The group of the replica has removed it: it must discard its state and join as a new one."""

    kind: Literal["not-a-member"] = "not-a-member"


@dataclass(frozen=True, kw_only=True)
class JoinReply:
    """Reply to a replica that asks to join."""

    #: ``done`` means that the replica is a member or is being added.
    outcome: Annotated[Done | NotLeader | NotAMember, Field(discriminator="kind")]


@dataclass(frozen=True, kw_only=True)
class HeartbeatReport:
    """A follower's report to the leader of targets whose heartbeats it recently received."""

    #: Names of the targets.
    targets: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class HeartbeatReportReply:
    """Reply to a report of heartbeats."""

    #: ``done`` means that the leader counts the heartbeats as its own.
    outcome: Annotated[Done | NotLeader, Field(discriminator="kind")]


@dataclass(frozen=True, kw_only=True)
class PoolOrders:
    """What an entry sends to the owner of a pool; empty to keep the stream alive."""

    #: The service whose targets form the pool.
    service: str
    #: Index of the shard of this service that the pieces and results below belong to.
    shard: int = 0
    #: Pieces to compute.
    orders: tuple[PieceOrder, ...] = ()
    #: Numbers of cancelled orders, whose results nothing waits for any more.
    withdrawn: tuple[int, ...] = ()
    #: Handles of results that were used or discarded.
    freed: tuple[str, ...] = ()
    #: Prompts to place, if the targets are engines.
    prompts: tuple[PlacementRequest, ...] = ()
    #: Outcomes of placed prompts.
    reads: tuple[PromptOutcome, ...] = ()
    #: Requests that need permits, since their targets announced rate limits.
    permits: tuple[PermitRequest, ...] = ()
    #: Rate limits that targets of the service announced, as the sender knows them.
    words: tuple[RateLimitReport, ...] = ()


@dataclass(frozen=True, kw_only=True)
class PoolResults:
    """What the owner of a pool sends to an entry; empty to keep the stream alive."""

    #: Results, in any order.
    results: tuple[PieceResult, ...] = ()
    #: Numbers of orders whose inputs a target has read; their pieces are still being computed.
    read: tuple[int, ...] = ()
    #: The engines at which prompts are placed.
    placements: tuple[Placement, ...] = ()
    #: Permits for requests to targets that announced rate limits.
    permits: tuple[Permit, ...] = ()
