"""One TCP connection as bytes in and out, with the ways in which it can end."""

import asyncio
import socket
from collections.abc import Callable
from typing import Final, cast

#: Bytes that may wait to be read before the other side is slowed down.
READ_AHEAD: Final = 256 * 1024
#: Bytes that may wait to be sent before a writer must wait.
WRITE_AHEAD: Final = 64 * 1024


class Wire(asyncio.Protocol):
    """A connection; reading and writing are awaited, its end is told at once.

    Args:
        on_made: called once the connection is there.
    """

    def __init__(self, on_made: "Callable[[Wire], None] | None" = None) -> None:
        self._on_made: Final = on_made
        self._transport: asyncio.Transport | None = None
        self._chunks: list[bytes] = []
        self._size = 0
        self._is_paused = False
        self._has_ended = False
        self._fault: Exception | None = None
        self._is_lost = False
        self._reader: asyncio.Future[None] | None = None
        self._writer: asyncio.Future[None] | None = None
        self._may_write = True
        #: Called once when the other side closed or the connection broke.
        self.on_end: Callable[[], None] | None = None

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_AHEAD)
        connection = self._transport.get_extra_info("socket")
        if connection is not None:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._on_made is not None:
            self._on_made(self)

    def data_received(self, data: bytes) -> None:
        """Keep bytes until they are read."""
        self._chunks.append(data)
        self._size += len(data)
        if self._size > READ_AHEAD and self._transport is not None and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        """Note that the other side sends no more; what it may still read can be written."""
        self._has_ended = True
        self._wake_reader()
        self._tell_end()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection is gone."""
        self._is_lost = True
        if not self._has_ended:
            self._fault = exc or ConnectionResetError("the connection was closed")
        self._wake_reader()
        if self._writer is not None and not self._writer.done():
            self._writer.set_result(None)
        self._tell_end()

    def pause_writing(self) -> None:
        """Let writers wait."""
        self._may_write = False

    def resume_writing(self) -> None:
        """Let writers go on."""
        self._may_write = True
        if self._writer is not None and not self._writer.done():
            self._writer.set_result(None)

    # What users call.

    def is_over(self) -> bool:
        """Tell whether the other side has closed or the connection is gone."""
        return self._has_ended or self._is_lost

    def has_unread(self) -> bool:
        """Tell whether bytes wait to be read."""
        return self._size > 0

    async def read(self) -> bytes:
        """Return the bytes that came, or an empty string after the other side's close.

        Raises:
            ConnectionError: the connection broke.
        """
        while not self._chunks:
            if self._fault is not None:
                raise ConnectionResetError(str(self._fault))
            if self._has_ended:
                return b""
            self._reader = asyncio.get_running_loop().create_future()
            await self._reader
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._size = 0
        if self._is_paused and self._transport is not None and not self._is_lost:
            self._is_paused = False
            self._transport.resume_reading()
        return data

    def write(self, data: bytes) -> None:
        """Queue bytes; a connection that is gone swallows them."""
        if self._transport is not None and not self._is_lost:
            self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the other side takes more.

        Raises:
            ConnectionError: the connection broke.
        """
        while not self._may_write and not self._is_lost:
            self._writer = asyncio.get_running_loop().create_future()
            await self._writer
        if self._is_lost:
            raise ConnectionResetError("the connection was closed")

    def close(self) -> None:
        """Send what is queued, then close."""
        if self._transport is not None and not self._is_lost:
            self._transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None and not self._is_lost:
            self._transport.abort()

    def _wake_reader(self) -> None:
        if self._reader is not None and not self._reader.done():
            self._reader.set_result(None)

    def _tell_end(self) -> None:
        if self.on_end is not None:
            tell, self.on_end = self.on_end, None
            tell()
