"""The server for calls of other boxes, which limits what their messages hold in memory."""

from collections.abc import Callable
from typing import Final

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.protocol import Buffer, EventsProcessor, H2Protocol, Stream, UnackedData
from grpclib.server import Server

from damsonlane_rpc import MAX_MESSAGE_BYTES, DataclassCodec, RpcService
from damsonlaned.http import CollectionBudget


class RpcServer(Server):
    """A gRPC server whose unread and incomplete messages are limited together.

    Args:
        service: the methods that it serves.
        budget: limits the messages of all connections; the largest one is given up first.
    """

    def __init__(self, service: RpcService, budget: CollectionBudget) -> None:
        super().__init__([service], codec=DataclassCodec())
        self._budget: Final = budget

    def _protocol_factory(self) -> H2Protocol:
        return _LimitedProtocol(super()._protocol_factory(), self._budget)


class _LimitedProtocol(H2Protocol):
    """A connection whose streams hold a limited number of bytes."""

    def __init__(self, protocol: H2Protocol, budget: CollectionBudget) -> None:
        super().__init__(protocol.handler, protocol.config, protocol.h2_config)
        self._budget: Final = budget

    def connection_made(self, transport: object) -> None:
        """Store the transport and open the connection."""
        super().connection_made(transport)  # type: ignore[arg-type]
        self.processor = _LimitedProcessor(self.processor, self._budget)


class _LimitedProcessor(EventsProcessor):
    """Gives each stream of a connection a buffer that counts towards the budget."""

    def __init__(self, processor: EventsProcessor, budget: CollectionBudget) -> None:
        super().__init__(processor.handler, processor.connection)
        self._budget: Final = budget

    def register(self, stream: Stream) -> Callable[[], None]:
        """Register a stream; the function that is returned releases it."""
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
