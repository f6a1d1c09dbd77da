"""One TCP connection as a stream of bytes, with the ways in which it can end."""

import array
import asyncio
import fcntl
import itertools
import socket
import termios
from collections import deque
from collections.abc import Callable
from typing import Final, cast

from damsonlaned.http._buffer_guard import BufferMeter

#: Buffered bytes beyond which reading from the connection pauses until they are read.
MAX_UNREAD_BYTES: Final = 256 * 1024
#: Most bytes that are received at once.
MAX_RECEIVED_BYTES: Final = 64 * 1024
#: Bytes that may be buffered for sending before a writer must wait.
MAX_UNSENT_BYTES: Final = 64 * 1024
#: Size of the kernel's buffers of a connection whose bytes are counted.  Otherwise the kernel
#: buffers megabytes for a caller that doesn't read, and delays the time at which that shows.
KERNEL_BUFFER_BYTES: Final = 64 * 1024
#: Most bytes of a response that are read at once if they are counted for a caller.  While they are
#: passed on, the target may have to wait; it would wait for seconds if all unread bytes were.
MAX_COUNTED_READ_BYTES: Final = 16 * 1024
#: Most bytes of a caller that its parser is given at once if they are counted.
MAX_PARSED_BYTES: Final = 64 * 1024


class TcpStream(asyncio.Protocol):
    """A connection whose reads and writes are awaited; its end is reported at once.

    Args:
        on_connected: called once the connection is established.
    """

    def __init__(self, on_connected: "Callable[[TcpStream], None] | None" = None) -> None:
        self._on_connected: Final = on_connected
        self._transport: asyncio.Transport | None = None
        self._chunks: list[bytes] = []
        self._size = 0
        #: Bytes of a caller that were read last, and that its parser may still hold.
        self._parsed_size = 0
        self._is_paused = False
        self._has_received_eof = False
        self._error: Exception | None = None
        self._is_lost = False
        self._lost: Final = asyncio.Event()
        self._reader: asyncio.Future[None] | None = None
        self._writer: asyncio.Future[None] | None = None
        self._may_write = True
        #: Parts that the transport is given later.  It would keep them in one growing buffer.
        self._queue: deque[bytes] = deque()
        self._queued_size = 0
        self._closes_when_sent = False
        self._meter: BufferMeter | None = None
        self._has_small_buffers = False
        #: Called once when the other side closed or the connection broke.
        self.on_closed: Callable[[], None] | None = None
        #: Called once when bytes arrive; None where they are expected.
        self.on_unexpected: Callable[[], None] | None = None

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its options."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        # asyncio has no function for it; a connection without unread bytes receives 256 KiB.
        vars(self._transport)["max_size"] = MAX_RECEIVED_BYTES
        connection = self._transport.get_extra_info("socket")
        if connection is not None:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._on_connected is not None:
            self._on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Buffer bytes until they are read."""
        self._chunks.append(data)
        self._size += len(data)
        if self.on_unexpected is not None:
            notify, self.on_unexpected = self.on_unexpected, None
            notify()
        self._record_unread()
        if not self._may_read() and self._transport is not None and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()
            self._record_paused(is_paused=True)
        self._wake_reader()

    def eof_received(self) -> bool:
        """Record that the other side sends no more; it may still read what is written."""
        self._has_received_eof = True
        self._wake_reader()
        self._notify_closed()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the connection is lost."""
        self._is_lost = True
        self._queue.clear()
        self._queued_size = 0
        self._lost.set()
        if self._meter is not None and self._meter.caller is self:
            self._meter.close()
        if not self._has_received_eof:
            self._error = exc or ConnectionResetError("the connection was closed")
        self._wake_reader()
        if self._writer is not None and not self._writer.done():
            self._writer.set_result(None)
        self._notify_closed()

    def pause_writing(self) -> None:
        """Make writers wait."""
        self._may_write = False

    def resume_writing(self) -> None:
        """Write what is queued, then let writers continue."""
        self._may_write = True
        self._write_queued()
        if self._closes_when_sent and not self._queue and self._transport is not None:
            # The transport would end twice if it was closed while it calls this.
            asyncio.get_running_loop().call_soon(self._transport.close)
        if self._may_write and self._writer is not None and not self._writer.done():
            self._writer.set_result(None)

    # Interface for users.

    def peer_port(self) -> int:
        """Return the port of the other side; 0 if it is not known."""
        peer = self._transport.get_extra_info("peername") if self._transport is not None else None
        return int(peer[1]) if peer else 0

    def is_closed(self) -> bool:
        """Return whether the other side has closed or the connection is lost."""
        return self._has_received_eof or self._is_lost

    def is_lost(self) -> bool:
        """Return whether the connection is lost."""
        return self._is_lost

    def count_unread(self) -> int:
        """Return the bytes that wait to be read."""
        return self._size

    def has_unread(self) -> bool:
        """Return whether bytes wait to be read."""
        return self._size > 0

    def has_arrived(self) -> bool:
        """Return whether bytes wait to be read, here or in the kernel."""
        connection = self._transport.get_extra_info("socket") if self._transport else None
        if self._size or connection is None or self._is_lost:
            return self._size > 0
        count = array.array("i", (0,))
        fcntl.ioctl(connection.fileno(), termios.FIONREAD, count)
        return count[0] > 0

    def is_closing(self) -> bool:
        """Return whether this side closes the connection, or it is lost."""
        return self._is_lost or self._transport is None or self._transport.is_closing()

    async def read(self) -> bytes:
        """Return the bytes that arrived; none if the other side closed.

        Raises:
            ConnectionError: the connection broke.
        """
        if self._parsed_size:
            self._parsed_size = 0
            self._record_unread()
        while not self._chunks:
            if self._error is not None:
                raise ConnectionResetError(str(self._error))
            if self._has_received_eof:
                return b""
            self._reader = asyncio.get_running_loop().create_future()
            await self._reader
        data = self._take_unread()
        self._size -= len(data)
        if self._meter is not None and self._meter.caller is self:
            self._parsed_size = len(data)
        self._record_unread()
        may_resume = not self._chunks or self._may_read()
        if self._is_paused and may_resume and self._transport is not None and not self._is_lost:
            self._is_paused = False
            self._transport.resume_reading()
            self._record_paused(is_paused=False)
        return data

    def _take_unread(self) -> bytes:
        """Remove and return the bytes that arrived; only the first ones if they are counted."""
        most = self._find_most_read()
        first = self._chunks[0]
        if most and len(first) > most:
            self._chunks[0] = first[most:]
            return first[:most]
        sizes = itertools.accumulate(len(chunk) for chunk in self._chunks)
        count = sum(1 for _ in itertools.takewhile(most.__ge__, sizes)) if most else None
        data = b"".join(self._chunks[:count])
        del self._chunks[:count]
        return data

    def _find_most_read(self) -> int:
        """Return the most bytes that are read at once; 0 for any number."""
        if self._meter is None:
            return 0
        if self._meter.caller is self:
            return MAX_PARSED_BYTES
        return MAX_COUNTED_READ_BYTES if self._meter.limits_time else 0

    def write(self, data: bytes) -> None:
        """Queue bytes; they are dropped if the connection is lost."""
        if self._transport is None or self._is_lost:
            return
        if len(data) <= MAX_UNSENT_BYTES and not self._queue:
            self._transport.write(data)
        else:
            self._write_parts(data)
        if self._meter is not None and self._meter.caller is self:
            self._meter.record_written(len(data))

    def _write_parts(self, data: bytes) -> None:
        """Write large data in parts, and queue those that must wait, so that each frees memory."""
        for start in range(0, len(data), MAX_UNSENT_BYTES):
            part = data[start : start + MAX_UNSENT_BYTES]
            if self._may_write and not self._queue and self._transport is not None:
                self._transport.write(part)
            else:
                self._queue.append(part)
                self._queued_size += len(part)

    def _write_queued(self) -> None:
        """Give the transport what is queued, as far as it may be given more."""
        while self._queue and self._may_write and self._transport is not None:
            part = self._queue.popleft()
            self._queued_size -= len(part)
            self._transport.write(part)

    def must_drain(self) -> bool:
        """Return whether more bytes may be queued only after `drain`."""
        return not self._may_write and not self._is_lost

    async def drain(self) -> None:
        """Wait until more bytes may be queued.

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
            self._closes_when_sent = True
            self._write_queued()
            if not self._queue:
                self._transport.close()

    async def wait_lost(self) -> None:
        """Wait until the connection is lost; a closed one is once all that was queued is sent."""
        if self._transport is not None:
            await self._lost.wait()

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None and not self._is_lost:
            self._transport.abort()

    # The budget of buffered bytes.

    @property
    def meter(self) -> BufferMeter | None:
        """Counts the buffered bytes; None without a budget."""
        return self._meter

    def charge_to(self, meter: BufferMeter | None) -> None:
        """Count the buffered bytes for a caller from now on; None to stop."""
        if self._meter is not None and self._meter is not meter:
            self._meter.record_unread(self, 0)
            self._record_paused(is_paused=False)
        self._meter = meter
        if meter is not None:
            if meter.limits_time:
                self._limit_kernel_buffers()
            self._record_paused(is_paused=self._is_paused)
            self._record_unread()

    def count_unsent(self) -> int:
        """Return the bytes that are queued for sending."""
        if self._transport is None or self._is_lost:
            return 0
        return self._transport.get_write_buffer_size() + self._queued_size

    def _limit_kernel_buffers(self) -> None:
        connection = self._transport.get_extra_info("socket") if self._transport else None
        if connection is not None and not self._is_lost and not self._has_small_buffers:
            self._has_small_buffers = True
            for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
                connection.setsockopt(socket.SOL_SOCKET, option, KERNEL_BUFFER_BYTES)

    def _may_read(self) -> bool:
        if self._size > MAX_UNREAD_BYTES:
            return False
        return self._meter is None or self._meter.may_read()

    def _record_unread(self) -> None:
        if self._meter is not None:
            self._meter.record_unread(self, self._size + self._parsed_size)

    def _record_paused(self, *, is_paused: bool) -> None:
        if self._meter is not None and self._meter.caller is not self:
            self._meter.record_paused(is_paused=is_paused)

    def _wake_reader(self) -> None:
        if self._reader is not None and not self._reader.done():
            self._reader.set_result(None)

    def _notify_closed(self) -> None:
        if self.on_closed is not None:
            notify, self.on_closed = self.on_closed, None
            notify()
