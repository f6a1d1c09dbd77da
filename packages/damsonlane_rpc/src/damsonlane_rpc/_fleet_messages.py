"""Messages between control, entries and the owners of stage pools."""

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import Field

from damsonlane.cluster import PackedDocument
from damsonlane.evacuation import EvacuationList
from damsonlane.membership import BoxRecord
from damsonlane.placing import Placement, PromptOrder, PromptRead
from damsonlane.pools import PieceOrder, PieceResult
from damsonlane.quarantine import QuarantineList
from damsonlane.ratelimit import Permit, PermitOrder, RateLimitList, RateWord
from damsonlane.targets import TargetChanges
from damsonlane_rpc._messages import Done, NotLeader, WatchReport


@dataclass(frozen=True, kw_only=True)
class FollowReport:
    """An entry says who it is and what it holds."""

    #: The box, with the version of the document in force there.
    box: WatchReport
    #: Revision of the registry of targets that it holds.
    targets_revision: int
    #: Revision of the list of evacuated data centres that it holds; -1 for none.
    evacuations_revision: int = -1
    #: Revision of the list of requests that are kept from targets; -1 for none.
    quarantine_revision: int = -1
    #: Revision of the list of rate limits that it holds; -1 for none.
    rate_limits_revision: int = -1


@dataclass(frozen=True, kw_only=True)
class FollowUpdate:
    """What is new since the report, or nothing but how fresh the sender is."""

    #: Whatever was acknowledged longer ago than this is known to the sender; None if unknown.
    state_age: float | None
    #: A newer document, or None.
    document: PackedDocument | None = None
    #: Changes of targets, or None.
    targets: TargetChanges | None = None
    #: Data centres that are evacuated, or None when they are as before.
    evacuations: EvacuationList | None = None
    #: Requests that are kept from targets, or None when they are as before.
    quarantine: QuarantineList | None = None
    #: Rate limits that targets named, or None when they are as before.
    rate_limits: RateLimitList | None = None
    #: All entries that are heard, or None when they are as before.
    entries: tuple[BoxRecord, ...] | None = None
    #: Internal addresses of the control replicas, or None when they are as before.
    control: tuple[str, ...] | None = None


@dataclass(frozen=True, kw_only=True)
class JoinRequest:
    """A replica without a group, or without a leader, asks where it stands."""

    #: Name of the replica.
    replica: str
    #: Internal address of its box.
    address: str
    #: Identity of the group that it knows; empty when it has none.
    cluster: str


@dataclass(frozen=True, kw_only=True)
class NotAMember:
    """The group that the replica knows has removed it: it must start anew."""

    kind: Literal["not-a-member"] = "not-a-member"


@dataclass(frozen=True, kw_only=True)
class JoinReply:
    """Where the replica stands."""

    #: ``done`` means that it is a member, or that its admission is under way.
    outcome: Annotated[Done | NotLeader | NotAMember, Field(discriminator="kind")]


@dataclass(frozen=True, kw_only=True)
class HeardRequest:
    """A replica that does not lead names the targets whose heartbeats it took lately."""

    #: Names of the targets.
    targets: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class HeardReply:
    """Whether the leader noted them."""

    #: ``done`` means that they count as heard.
    outcome: Annotated[Done | NotLeader, Field(discriminator="kind")]


@dataclass(frozen=True, kw_only=True)
class PoolOrders:
    """What one entry wants of the owner of a service's targets; empty keeps the stream alive."""

    #: The service whose targets form the pool.
    service: str
    #: Pieces to make.
    orders: tuple[PieceOrder, ...] = ()
    #: Numbers of orders that nobody waits for any more.
    withdrawn: tuple[int, ...] = ()
    #: Handles of results that were used or given up.
    freed: tuple[str, ...] = ()
    #: Prompts to place, where the targets are engines.
    prompts: tuple[PromptOrder, ...] = ()
    #: What became of prompts that were placed.
    reads: tuple[PromptRead, ...] = ()
    #: Requests to targets that named rate limits, which need permits.
    permits: tuple[PermitOrder, ...] = ()
    #: Rate limits that targets of the service named, as the sender knows them.
    words: tuple[RateWord, ...] = ()


@dataclass(frozen=True, kw_only=True)
class PoolResults:
    """What the owner of a pool answers; empty keeps the stream alive."""

    #: Results, in any order.
    results: tuple[PieceResult, ...] = ()
    #: Numbers of orders whose inputs a target has read; their pieces are still at work.
    read: tuple[int, ...] = ()
    #: Engines for prompts.
    placements: tuple[Placement, ...] = ()
    #: Permits for requests to targets that named rate limits.
    permits: tuple[Permit, ...] = ()
