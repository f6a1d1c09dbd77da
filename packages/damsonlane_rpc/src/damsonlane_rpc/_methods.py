"""RPC methods; each is defined beside its messages, so that a role imports only its own."""

from collections.abc import Awaitable, Callable
from typing import Any, Generic, TypeVar

from grpclib.client import Channel, StreamStreamMethod, StreamUnaryMethod, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler
from grpclib.server import Stream

from damsonlane.records import dataclass

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


def unary_method(path: str, request: type[Request], reply: type[Reply]) -> Method[Request, Reply]:
    """Return a method with one request and one reply."""
    return Method(path=path, cardinality=Cardinality.UNARY_UNARY, request=request, reply=reply)


class RpcService:
    """The methods that a process serves, in the form that grpclib expects.

    Args:
        handlers: handlers by path.
    """

    def __init__(self, handlers: dict[str, Any]) -> None:
        self._handlers = handlers

    def __mapping__(self) -> dict[str, Any]:
        return self._handlers
