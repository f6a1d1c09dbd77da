"""Persistent connections to a target, with one request at a time on each."""

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import AsyncIterator, Callable
from typing import Final

from damsonlane_rpc import Endpoint
from damsonlaned.http._buffer_guard import BufferMeter
from damsonlaned.http._collection_budget import CollectionBudget
from damsonlaned.http._connection_observer import (
    SILENCE_SECONDS,
    ConnectionObserver,
    NoObserver,
)
from damsonlaned.http._errors import (
    ConnectionsInUseError,
    IncompleteResponseError,
    NotSentError,
)
from damsonlaned.http._messages import HttpHead, HttpRequest
from damsonlaned.http._target_connection import ResponseBody, TargetConnection
from damsonlaned.http._tcp_stream import TcpStream
from damsonlaned.tasks import limit_time

#: Milliseconds after which a connection is lost whose bytes the target does not acknowledge.
_USER_TIMEOUT_MS: Final = 2_000
#: Largest number of idle connections to one target.
_MAX_IDLE: Final = 16


class HttpExchange:
    """A request that was sent, until its response is complete or abandoned."""

    def __init__(
        self,
        pool: "ConnectionPool",
        connection: TargetConnection,
        observer: ConnectionObserver,
        budget: CollectionBudget,
        *,
        is_reused: bool,
    ) -> None:
        #: Whether an earlier request was sent on the same connection.
        self.is_reused: Final = is_reused
        self._pool: Final = pool
        self._observer: Final = observer
        self._sent_at: Final = asyncio.get_running_loop().time()
        self._silence_timer: asyncio.TimerHandle
        self._connection: Final = connection
        self.body: Final = ResponseBody(connection, budget)

    async def read_head(self) -> HttpHead:
        """Return the head of the response.

        Raises:
            IncompleteResponseError: none arrived.
        """
        loop = asyncio.get_running_loop()
        self._silence_timer = loop.call_later(SILENCE_SECONDS, self._report_silence)
        try:
            head = await self._connection.read_head()
            self._observer.record_response(loop.time() - self._sent_at)
            return head
        except IncompleteResponseError:
            if not self._connection.has_received:
                self._observer.record_failed("broken")
            raise
        except asyncio.CancelledError:
            # Given up before the timer reported the silence, or between two of its reports.
            self._observer.record_silent(self._sent_at)
            raise
        finally:
            self._silence_timer.cancel()

    def _report_silence(self) -> None:
        self._observer.record_silent(self._sent_at)
        loop = asyncio.get_running_loop()
        self._silence_timer = loop.call_later(SILENCE_SECONDS, self._report_silence)

    async def skip_response(self) -> None:
        """Skip a response to another request.

        Raises:
            IncompleteResponseError: the connection ends with it.
        """
        await self._connection.skip_response()

    def charge_to(self, meter: BufferMeter | None) -> None:
        """Count the buffered bytes of the response for a caller."""
        if meter is not None:
            self._connection.charge_to(meter)

    def record_collected(self, size: int) -> None:
        """Record how many bytes of the response are kept until more of it arrives."""
        self._connection.record_collected(size)
        self.body.record_collected(size)

    def finish(self, *, may_keep: bool = True) -> None:
        """Return the connection to the pool if the response is complete; otherwise close it.

        Args:
            may_keep: whether the connection may be used again.
        """
        self._connection.charge_to(None)
        self.body.record_collected(0)
        self._pool.release(self._connection, is_complete=may_keep and self.body.is_complete)


class ConnectionPool:
    """Connections to one target.

    Args:
        address: address of the target.
        most: largest number of open connections.
        observer: learns whether the target is reached; None for nobody.
        on_free: called when a connection may be used by another request.
        budget: limits the bytes of responses that are collected; None for one of its own.
    """

    def __init__(
        self,
        address: str,
        most: int,
        observer: ConnectionObserver | None = None,
        on_free: Callable[[], None] = lambda: None,
        budget: CollectionBudget | None = None,
    ) -> None:
        self._budget: Final = budget or CollectionBudget()
        self._on_free: Final = on_free
        self._observer: Final = observer or NoObserver()
        self._endpoint: Final = Endpoint.parse(address)
        self.max_connections = most
        self._idle: deque[TargetConnection] = deque()
        self._is_closed = False
        self._open = 0

    def set_limit(self, most: int) -> None:
        """Set the largest number of open connections; idle ones beyond it are closed."""
        self.max_connections = most
        while self._idle and self._open > most:
            self._drop(self._idle.popleft())

    def count_open(self) -> int:
        """Return the number of open connections, idle ones included."""
        return self._open

    def count_busy(self) -> int:
        """Return the number of connections with a request, or that are being opened."""
        return self._open - len(self._idle)

    @contextlib.asynccontextmanager
    async def reserve(self) -> AsyncIterator[bool]:
        """Leave room for a connection that is opened elsewhere; yield whether there is room."""
        self._make_room()
        has_room = self._open < self.max_connections
        self._open += has_room
        try:
            await self._await_closed()
            yield has_room
        finally:
            self._open -= has_room
            if has_room:
                self._on_free()

    def _make_room(self) -> None:
        """Close an idle connection if otherwise no other one may be opened."""
        if self._open >= self.max_connections and self._idle:
            self._drop(self._idle.popleft())

    def has_free(self) -> bool:
        """Return whether one more request may be sent."""
        return self.count_busy() < self.max_connections

    async def send(
        self, request: HttpRequest, connect_seconds: float, *, is_repeat: bool = False
    ) -> HttpExchange:
        """Send a request on an idle connection, or on a new one.

        Args:
            request: the request.
            connect_seconds: time-out of a new connection, in seconds.
            is_repeat: whether the target had the same request before.  An idle connection may
                still bring a copy of the earlier response, so a new one is opened.

        Raises:
            NotSentError: no connection could be opened.
            ConnectionsInUseError: all connections that may be open are in use.
        """
        if is_repeat:
            self._make_room()
        idle = self._take_idle() if not is_repeat else None
        connection = idle or await self._connect(connect_seconds)
        connection.send(request)
        return HttpExchange(
            self, connection, self._observer, self._budget, is_reused=idle is not None
        )

    def release(self, connection: TargetConnection, *, is_complete: bool) -> None:
        """Keep a connection after a complete response; otherwise close it at once."""
        now = asyncio.get_running_loop().time()
        may_keep = (
            is_complete
            and not self._is_closed
            and len(self._idle) < _MAX_IDLE
            and self._open <= self.max_connections
        )
        if may_keep and connection.make_idle(now, lambda: self._forget(connection)):
            self._idle.append(connection)
        else:
            self._open -= 1
            connection.abort()
        self._on_free()

    def close(self) -> None:
        """Close the idle connections, and the others when they are released."""
        self._is_closed = True
        while self._idle:
            self._drop(self._idle.pop())

    def _forget(self, connection: TargetConnection) -> None:
        """Drop an idle connection that the target closed, or on which it sent bytes."""
        if connection in self._idle:
            self._idle.remove(connection)
            self._drop(connection)

    def _take_idle(self) -> TargetConnection | None:
        now = asyncio.get_running_loop().time()
        while self._idle:
            # The target is least likely to close the one that was used last.
            connection = self._idle.pop()
            if connection.is_usable(now):
                return connection
            self._drop(connection)
        return None

    def _drop(self, connection: TargetConnection) -> None:
        self._open -= 1
        connection.close()

    async def _connect(self, seconds: float) -> TargetConnection:
        if self._open >= self.max_connections:
            detail = f"all {self.max_connections} connections to the target are in use"
            raise ConnectionsInUseError(detail)
        self._open += 1
        try:
            await self._await_closed()
            return TargetConnection(await self._open_stream(seconds), self._observer)
        except BaseException:
            self._open -= 1
            self._on_free()
            raise

    async def _await_closed(self) -> None:
        """Let the kernel close what this turn of the loop closed, if all that may be open is."""
        if self._open >= self.max_connections:
            await asyncio.sleep(0)

    async def _open_stream(self, seconds: float) -> TcpStream:
        loop = asyncio.get_running_loop()
        host, port = self._endpoint.host, self._endpoint.port
        try:
            async with limit_time(seconds):
                transport, stream = await loop.create_connection(TcpStream, host, port)
        except TimeoutError:
            self._observer.record_failed("connect")
            raise NotSentError(f"{host}:{port} did not answer in time") from None
        except OSError as error:
            self._observer.record_failed("connect")
            raise NotSentError(f"{host}:{port}: {error.strerror or error}") from None
        connection = transport.get_extra_info("socket")
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)
        return stream
