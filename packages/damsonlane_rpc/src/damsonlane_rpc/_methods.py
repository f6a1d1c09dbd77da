"""The RPC methods of the processes."""

from collections.abc import Awaitable, Callable
from typing import Any, Final, Generic, TypeVar

from grpclib.client import Channel, StreamStreamMethod, StreamUnaryMethod, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler
from grpclib.server import Stream

from damsonlane.consensus import Envelope
from damsonlane.records import dataclass
from damsonlane_rpc._fleet_messages import (
    FollowReport,
    FollowUpdate,
    HeartbeatReport,
    HeartbeatReportReply,
    JoinReply,
    JoinRequest,
    PoolOrders,
    PoolResults,
)
from damsonlane_rpc._messages import (
    AddReplicaRequest,
    ExchangeEnd,
    FoundGroupRequest,
    GroupReply,
    QueryReply,
    QueryRequest,
    RemoveReplicaRequest,
    StatusReply,
    StatusRequest,
    SubmitReply,
    SubmitRequest,
    WatchReport,
    WatchUpdate,
)
from damsonlane_rpc._peer_messages import PeerReply, PeerRequest
from damsonlane_rpc._permit_messages import PermitBatchReply, PermitBatchRequest

Request = TypeVar("Request")
Reply = TypeVar("Reply")


@dataclass(frozen=True, kw_only=True)
class Method(Generic[Request, Reply]):
    """One RPC method: its path, cardinality and message types."""

    #: Full path of the method.
    path: str
    #: Whether each peer sends one message or a stream.
    cardinality: Cardinality
    #: Type of the messages that the client sends.
    request: type[Request]
    #: Type of the messages that the server sends.
    reply: type[Reply]

    def handler(self, function: Callable[[Stream[Request, Reply]], Awaitable[None]]) -> Handler:
        """Return the server's side of the method."""
        return Handler(function, self.cardinality, self.request, self.reply)

    def unary(self, channel: Channel) -> UnaryUnaryMethod[Request, Reply]:
        """Return the client's side of a unary method."""
        return UnaryUnaryMethod(channel, self.path, self.request, self.reply)

    def stream(self, channel: Channel) -> StreamStreamMethod[Request, Reply]:
        """Return the client's side of a bidirectional streaming method."""
        return StreamStreamMethod(channel, self.path, self.request, self.reply)

    def upload(self, channel: Channel) -> StreamUnaryMethod[Request, Reply]:
        """Return the client's side of a client streaming method."""
        return StreamUnaryMethod(channel, self.path, self.request, self.reply)


def _unary(path: str, request: type[Request], reply: type[Reply]) -> Method[Request, Reply]:
    return Method(path=path, cardinality=Cardinality.UNARY_UNARY, request=request, reply=reply)


SUBMIT: Final = _unary("/damsonlane.Control/Submit", SubmitRequest, SubmitReply)
QUERY: Final = _unary("/damsonlane.Control/Query", QueryRequest, QueryReply)
STATUS: Final = _unary("/damsonlane.Control/Status", StatusRequest, StatusReply)
FOUND_GROUP: Final = _unary("/damsonlane.Control/Found", FoundGroupRequest, GroupReply)
ADD_REPLICA: Final = _unary("/damsonlane.Control/Add", AddReplicaRequest, GroupReply)
REMOVE_REPLICA: Final = _unary("/damsonlane.Control/Remove", RemoveReplicaRequest, GroupReply)
WATCH: Final = Method(
    path="/damsonlane.Control/Watch",
    cardinality=Cardinality.STREAM_STREAM,
    request=WatchReport,
    reply=WatchUpdate,
)
EXCHANGE: Final = Method(
    path="/damsonlane.Replication/Exchange",
    cardinality=Cardinality.STREAM_UNARY,
    request=Envelope,
    reply=ExchangeEnd,
)
JOIN: Final = _unary("/damsonlane.Replication/Join", JoinRequest, JoinReply)
PERMIT: Final = _unary("/damsonlane.Control/Permit", PermitBatchRequest, PermitBatchReply)
REPORT_HEARTBEATS: Final = _unary(
    "/damsonlane.Control/Heard", HeartbeatReport, HeartbeatReportReply
)
FOLLOW: Final = Method(
    path="/damsonlane.Control/Follow",
    cardinality=Cardinality.STREAM_STREAM,
    request=FollowReport,
    reply=FollowUpdate,
)
POOL: Final = Method(
    path="/damsonlane.Pool/Exchange",
    cardinality=Cardinality.STREAM_STREAM,
    request=PoolOrders,
    reply=PoolResults,
)
COMPARE: Final = _unary("/damsonlane.Peer/Compare", PeerRequest, PeerReply)


class RpcService:
    """The methods that a process serves, in the form that grpclib expects.

    Args:
        handlers: handlers by path.
    """

    def __init__(self, handlers: dict[str, Any]) -> None:
        self._handlers = handlers

    def __mapping__(self) -> dict[str, Any]:
        return self._handlers
