"""Messages between control replicas."""

from typing import Annotated, Final, Literal

from grpclib.const import Cardinality
from pydantic import Field

from damsonlane.consensus import Envelope
from damsonlane.records import dataclass
from damsonlane_rpc._messages import ExchangeEnd
from damsonlane_rpc._methods import Method, unary_method
from damsonlane_rpc._outcomes import Done, NotLeader


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
class LeaveRequest:
    """A replica whose process is about to end asks the leader whether it may end."""

    #: Name of the replica.
    replica: str


@dataclass(frozen=True, kw_only=True)
class LeavePending:
    """The group is still changing its members; the replica asks again shortly."""

    kind: Literal["leave-pending"] = "leave-pending"


@dataclass(frozen=True, kw_only=True)
class LeaveReply:
    """Reply to a replica whose process is about to end."""

    #: ``done`` means that the process may end.
    outcome: Annotated[Done | NotLeader | LeavePending, Field(discriminator="kind")]


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


EXCHANGE: Final = Method(
    path="/damsonlane.Replication/Exchange",
    cardinality=Cardinality.STREAM_UNARY,
    request=Envelope,
    reply=ExchangeEnd,
)
JOIN: Final = unary_method("/damsonlane.Replication/Join", JoinRequest, JoinReply)
LEAVE: Final = unary_method("/damsonlane.Replication/Leave", LeaveRequest, LeaveReply)
REPORT_HEARTBEATS: Final = unary_method(
    "/damsonlane.Control/Heard", HeartbeatReport, HeartbeatReportReply
)
