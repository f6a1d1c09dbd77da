"""The server for calls of other boxes, which limits unused connections and held messages."""

import asyncio
import resource
import ssl
from asyncio import sslproto
from collections.abc import Callable
from typing import Final

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.protocol import Buffer, EventsProcessor, H2Protocol, Stream, UnackedData
from grpclib.server import Server

from damsonlane_rpc import MAX_MESSAGE_BYTES, DataclassCodec, RpcService
from damsonlaned.http import CollectionBudget

#: Share of the descriptors of a process that connections without a request yet may take.
_UNUSED_SHARE: Final = 0.25
#: Time-out of a TLS handshake, in seconds.
_HANDSHAKE_SECONDS: Final = 10


class RpcServer(Server):
    """A gRPC server whose unused connections and incomplete messages are limited.

    Args:
        service: the methods that it serves.
        budget: limits the messages of all connections; the largest one is given up first.
        context: TLS context, or None for plaintext.
    """

    def __init__(
        self, service: RpcService, budget: CollectionBudget, context: ssl.SSLContext | None
    ) -> None:
        super().__init__([service], codec=DataclassCodec())
        self._budget: Final = budget
        self._context: Final = context
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self._unused: Final = _UnusedConnections(int(_UNUSED_SHARE * descriptors))

    def _protocol_factory(self) -> asyncio.Protocol:  # type: ignore[override]
        protocol = _LimitedProtocol(super()._protocol_factory(), self._budget, self._unused)
        return _AcceptedConnection(protocol, self._context, self._unused)


class _UnusedConnections:
    """Connections on which no request has arrived; the oldest are closed beyond a limit.

    Args:
        limit: how many there may be.
    """

    def __init__(self, limit: int) -> None:
        self._limit: Final = limit
        self._transports: Final[dict[H2Protocol, asyncio.Transport]] = {}

    def add(self, protocol: H2Protocol, transport: asyncio.Transport) -> None:
        """Add a connection that was accepted."""
        self._transports[protocol] = transport
        if len(self._transports) > self._limit:
            oldest = next(iter(self._transports))
            self._transports.pop(oldest).abort()

    def remove(self, protocol: H2Protocol) -> None:
        """Remove a connection that is used or closed."""
        self._transports.pop(protocol, None)


class _AcceptedConnection(asyncio.Protocol):
    """A connection that was accepted, until its protocol takes over."""

    def __init__(
        self,
        protocol: "_LimitedProtocol",
        context: ssl.SSLContext | None,
        unused: _UnusedConnections,
    ) -> None:
        self._protocol: Final = protocol
        self._context: Final = context
        self._unused: Final = unused

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin the TLS handshake, if there is one."""
        assert isinstance(transport, asyncio.Transport)
        self._unused.add(self._protocol, transport)
        protocol: asyncio.BaseProtocol = self._protocol
        if self._context is not None:
            protocol = _TlsProtocol(self._protocol, self._context, self._unused)
        transport.set_protocol(protocol)
        protocol.connection_made(transport)


class _TlsProtocol(sslproto.SSLProtocol):
    """TLS beneath a protocol, which learns nothing of a handshake that fails."""

    def __init__(
        self, protocol: "_LimitedProtocol", context: ssl.SSLContext, unused: _UnusedConnections
    ) -> None:
        loop = asyncio.get_running_loop()
        finished: asyncio.Future[None] = loop.create_future()
        # A handshake that fails closes the connection, and needs no other handling.
        finished.add_done_callback(lambda future: future.cancelled() or future.exception())
        super().__init__(
            loop,
            protocol,
            context,
            finished,
            server_side=True,
            ssl_handshake_timeout=_HANDSHAKE_SECONDS,
        )
        self._protocol: Final = protocol
        self._unused: Final = unused

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record that the connection is lost."""
        self._unused.remove(self._protocol)
        super().connection_lost(exc)


class _LimitedProtocol(H2Protocol):
    """A connection whose streams hold a limited number of bytes."""

    def __init__(
        self, protocol: H2Protocol, budget: CollectionBudget, unused: _UnusedConnections
    ) -> None:
        super().__init__(protocol.handler, protocol.config, protocol.h2_config)
        self._budget: Final = budget
        self._unused: Final = unused

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and open the connection."""
        super().connection_made(transport)
        self.processor = _LimitedProcessor(
            self.processor, self._budget, lambda: self._unused.remove(self)
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record that the connection is lost."""
        self._unused.remove(self)
        super().connection_lost(exc)


class _LimitedProcessor(EventsProcessor):
    """Gives each stream of a connection a buffer that counts towards the budget."""

    def __init__(
        self,
        processor: EventsProcessor,
        budget: CollectionBudget,
        on_request: Callable[[], None],
    ) -> None:
        super().__init__(processor.handler, processor.connection)
        self._budget: Final = budget
        self._on_request: Final = on_request

    def register(self, stream: Stream) -> Callable[[], None]:
        """Register a stream; the function that is returned releases it."""
        self._on_request()
        buffer = _LimitedBuffer(stream, self._budget)
        stream.buffer = buffer
        release = super().register(stream)

        def release_stream() -> None:
            release()
            buffer.close()

        return release_stream

    def close(self, reason: str = "Connection closed") -> None:
        """Close the connection and forget its messages."""
        super().close(reason)
        for stream in self.streams.values():
            if isinstance(stream.buffer, _LimitedBuffer):
                stream.buffer.close()


class _LimitedBuffer(Buffer):
    """The bytes of a stream that no handler has taken."""

    def __init__(self, stream: Stream, budget: CollectionBudget) -> None:
        super().__init__(stream.buffer._ack_callback)
        self._connection: Final = stream.connection
        self._budget: Final = budget
        self._size = 0
        self._is_closed = False
        self._is_given_up = False

    def add(self, data: bytes, ack_size: int) -> None:
        """Buffer bytes that arrived."""
        if self._is_given_up:
            self._ack_callback(ack_size)
            return
        super().add(data, ack_size)
        self._record(self._size + len(data))

    async def read(self, size: int) -> bytes:
        """Return that many bytes; none if the stream has ended.

        Raises:
            GRPCError: a message is too large, or messages take too much memory.
        """
        if size > MAX_MESSAGE_BYTES:
            raise GRPCError(
                Status.RESOURCE_EXHAUSTED, f"a message may have {MAX_MESSAGE_BYTES} bytes"
            )
        self._check_given_up()
        try:
            data = await super().read(size)
        except AssertionError:
            # The library raises this for a stream that ends in the middle of a message.
            self._check_given_up()
            raise
        self._check_given_up()
        self._record(self._size - len(data))
        return data

    def close(self) -> None:
        """Stop counting."""
        self._record(0)
        self._is_closed = True

    def _record(self, size: int) -> None:
        if not self._is_closed:
            self._size = size
            self._budget.record(self._give_up, size)

    def _give_up(self) -> None:
        """Drop what is buffered and wake the reader."""
        self._is_given_up = True
        self._is_closed = True
        self._acked.clear()
        self._acked_size = 0
        unacked = self.unacked_size()
        if not self._connection.is_closing():
            self._ack_callback(unacked)
        self._unacked.put_nowait(UnackedData(b"", 0, 0))

    def _check_given_up(self) -> None:
        if self._is_given_up:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "messages take too much memory")
