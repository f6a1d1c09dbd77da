"""Listen for callers, read their requests and pass them to a handler."""

import asyncio
import contextlib
import logging
import socket
from collections.abc import Awaitable, Callable
from typing import Final, Protocol

import h11

from damsonlane.errors import StorageError
from damsonlane.records import dataclass
from damsonlane_rpc import Endpoint
from damsonlaned.http._buffer_guard import BufferGuard
from damsonlaned.http._errors import CallerDisconnectedError
from damsonlaned.http._messages import HttpRequest, HttpResponse
from damsonlaned.http._parse_turns import ParseTurns, RequestEvents
from damsonlaned.http._response_writer import ResponseWriter
from damsonlaned.http._tcp_stream import TcpStream

_LOG: Final = logging.getLogger(__name__)

#: Largest number of connections that wait in the kernel to be accepted.
_BACKLOG: Final = 512
#: Seconds for which bytes are still read after a refusal, so that the caller can receive it.
_LINGER_SECONDS: Final = 0.5
#: Most bytes that are read meanwhile.
_LINGER_BYTES: Final = 8 * 2**20
#: Seconds between checks whether all responses have left the process.
_DRAIN_POLL_SECONDS: Final = 0.05
#: Seconds for which the bytes of a body are awaited; the head has a time-out of its own.
_BODY_TIMEOUT_SECONDS: Final = 20.0


@dataclass(frozen=True, kw_only=True)
class ListenerLimits:
    """Limits for one connection."""

    #: Largest head, in bytes.
    header_bytes: int = 16_384
    #: Largest body, in bytes.
    body_bytes: int = 4 * 2**20
    #: Seconds for which the bytes of a head are awaited, from its first ones on.
    header_seconds: float = 3.0
    #: Seconds for which an idle connection is kept.
    idle_seconds: float = 15.0


class ConnectionGate(Protocol):
    """Decides whether new connections are served."""

    def admit(self) -> bool:
        """Return whether a new connection should be served; otherwise it is closed unread."""


class _RefusedError(Exception):
    """The bytes are not a request that may be served."""

    def __init__(self, status: int, reason: str) -> None:
        self.status = status
        super().__init__(reason)


#: Handles a request and writes the response to it.
Handler = Callable[[HttpRequest, ResponseWriter], Awaitable[None]]


class _Connection:
    """One caller's connection, which serves one request after the other."""

    def __init__(self, listener: "HttpListener", stream: TcpStream) -> None:
        self._listener: Final = listener
        self._stream: Final = stream
        limits = listener.limits()
        self._parser: Final = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        #: Ends the reading of a body; None while none is read, or once it is to end.
        self._body_scope: asyncio.Timeout | None = None
        self._events: Final = RequestEvents(listener.turns)
        self._handler_task: asyncio.Task[None] | None = None
        #: Seconds for which further bytes of the head or body are awaited.
        self._wait_seconds = 0.0
        #: Whether a byte of a request has arrived.
        self.has_begun = False
        #: Whether no request is being read or served.
        self.is_idle = True

    async def run(self) -> None:
        """Serve requests until either side closes."""
        try:
            refusal = await self._serve_all()
            if refusal is not None:
                await self._refuse(*refusal)
            self._stream.close()
        except (ConnectionError, CallerDisconnectedError):
            self._stream.abort()
        except TimeoutError:
            self._stream.close()
        finally:
            await self._wait_lost()
            self._listener.forget(self)

    def is_busy(self) -> bool:
        """Return whether a request is in progress or its response has not left this process."""
        return not self.is_idle or self._stream.count_unsent() > 0

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress."""
        if self.is_idle and not self._stream.has_unread():
            self._stream.close()

    def abort(self) -> None:
        """Break the connection."""
        self._stream.abort()

    async def _serve_all(self) -> tuple[int, str] | None:
        """Serve requests; return the status and reason with which one is refused, if any is."""
        try:
            while await self._serve_one():
                if self._stream.must_drain():
                    await self._wait_sent()
                self._parser.start_next_cycle()
        except _RefusedError as error:
            # The frames of the traceback would keep what was read of the body.
            error.__traceback__ = None
            return error.status, str(error)
        return None

    async def _wait_sent(self) -> None:
        """Wait until the caller has taken most of a response, before its next request is served."""
        while self._stream.must_drain():
            unsent = self._stream.count_unsent()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._listener.limits().idle_seconds):
                    await self._stream.drain()
            self._abort_if_stalled(unsent)

    async def _wait_lost(self) -> None:
        """Wait until the connection is lost; break it if the caller takes no more of a response."""
        while not self._stream.is_lost():
            unsent = self._stream.count_unsent()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._listener.limits().idle_seconds):
                    await self._stream.wait_lost()
            self._abort_if_stalled(unsent)

    def _abort_if_stalled(self, unsent: int) -> None:
        if unsent and self._stream.count_unsent() >= unsent:
            _LOG.info("closed a stalled connection", extra={"unsent": unsent})
            self._stream.abort()

    async def _serve_one(self) -> bool:
        """Serve one request; return whether another may follow."""
        request = await self._read_request()
        if request is None:
            return False
        self.is_idle = False
        writer = ResponseWriter(self._stream, self._parser, self._is_last)
        self._handler_task = asyncio.ensure_future(self._listener.handler(request, writer))
        self._stream.on_closed = self._cancel_handler
        if self._stream.is_closed():
            self._cancel_handler()
        try:
            await asyncio.wait({self._handler_task})
        finally:
            self._stream.on_closed = None
            if self._stream.meter is not None:
                self._stream.meter.record_unread(self, 0)
        self._check_handler()
        if not writer.is_complete:
            self._stream.abort()
            return False
        self.is_idle = True
        return self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE

    def _cancel_handler(self) -> None:
        if self._handler_task is not None:
            self._handler_task.cancel()

    def _check_handler(self) -> None:
        task = self._handler_task
        self._handler_task = None
        if task is None or task.cancelled():
            return
        error = task.exception()
        if error is not None and not isinstance(error, CallerDisconnectedError | ConnectionError):
            _LOG.error("a request handler failed", exc_info=error)

    def _is_last(self) -> bool:
        return self._listener.is_closing

    # Reading requests.

    async def _read_request(self) -> HttpRequest | None:
        limits = self._listener.limits()
        self._events.begin_request()
        head = await self._read_head(limits)
        if head is None:
            return None
        self._wait_seconds = _BODY_TIMEOUT_SECONDS
        body = await self._read_body(limits)
        return HttpRequest(
            method=head.method.decode("ascii"),
            target=head.target.decode("latin-1"),
            headers=tuple(head.headers.raw_items()),
            body=body,
        )

    async def _read_head(self, limits: ListenerLimits) -> h11.Request | None:
        has_bytes = bool(self._parser.trailing_data[0])
        if not has_bytes and not await self._wait_for_bytes(limits.idle_seconds):
            return None
        self._wait_seconds = limits.header_seconds
        event = await self._next_event()
        if isinstance(event, h11.ConnectionClosed):
            return None
        if not isinstance(event, h11.Request):
            raise _RefusedError(400, "not a request")
        _check_framing(event, limits.body_bytes)
        if self._parser.they_are_waiting_for_100_continue:
            data = self._parser.send(h11.InformationalResponse(status_code=100, headers=[]))
            self._stream.write(data or b"")
        return event

    async def _wait_for_bytes(self, seconds: float) -> bool:
        """Wait for the first bytes of a request; return whether any arrived."""
        try:
            async with asyncio.timeout(seconds):
                data = await self._stream.read()
        except TimeoutError:
            return False
        self.is_idle = False
        self.has_begun = True
        self._parser.receive_data(data)
        return bool(data)

    async def _read_body(self, limits: ListenerLimits) -> bytes:
        event = await self._next_event()
        meter = self._stream.meter
        if isinstance(event, h11.EndOfMessage):
            return b""
        if meter is None:
            return await self._collect_body(event, limits)
        try:
            async with asyncio.timeout(None) as scope:
                self._body_scope = scope
                meter.begin_body(self._refuse_body)
                return await self._collect_body(event, limits)
        except (TimeoutError, ConnectionError):
            if self._body_scope is not None:
                raise
            raise _RefusedError(503, "there is no memory for the body") from None
        finally:
            self._body_scope = None
            meter.end_body()

    def _refuse_body(self) -> None:
        """Refuse the request whose body is read, since the budget is exhausted."""
        if self._body_scope is not None:
            self._body_scope.reschedule(asyncio.get_running_loop().time())
            self._body_scope = None

    async def _collect_body(self, event: h11.Event, limits: ListenerLimits) -> bytes:
        """Return the body whose first event is given."""
        body = bytearray()
        meter = self._stream.meter
        while not isinstance(event, h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                raise ConnectionResetError("the caller closed in the middle of a request")
            size = len(event.data)
            if len(body) + size > limits.body_bytes:
                raise _make_too_large(limits.body_bytes)
            if meter is not None and not meter.has_room(size):
                await meter.wait_for_room(size)
            body += event.data
            if meter is not None:
                meter.record_body(self, len(body))
            event = await self._next_event()
        return bytes(body)

    async def _next_event(self) -> h11.Event:
        if self._events.must_wait():
            await self._events.wait()
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise _RefusedError(error.error_status_hint, str(error)) from None
            if event is h11.NEED_DATA:
                self._parser.receive_data(await self._read_more())
            elif isinstance(event, h11.Event):
                return event
            else:
                raise _RefusedError(400, "bytes where no request may stand")

    async def _read_more(self) -> bytes:
        """Return further bytes of a request; time in which none are awaited doesn't count.

        Raises:
            TimeoutError: they did not arrive in time.
        """
        if self._stream.has_unread():
            return await self._stream.read()
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        async with asyncio.timeout(self._wait_seconds):
            data = await self._stream.read()
        self._wait_seconds -= loop.time() - began_at
        return data

    async def _refuse(self, status: int, reason: str) -> None:
        """Send a refusal and read for a moment, so that the caller receives it."""
        _LOG.info("refused an invalid request", extra={"status": status, "reason": reason})
        response = self._listener.render_refusal(status, reason)
        with contextlib.suppress(h11.LocalProtocolError):
            ResponseWriter(self._stream, self._parser, is_last=lambda: True).send_response(response)
        left = _LINGER_BYTES
        with contextlib.suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(_LINGER_SECONDS):
                while left > 0 and (data := await self._stream.read()):
                    left -= len(data)


def _check_framing(event: h11.Request, body_bytes: int) -> None:
    """Refuse a request whose length is ambiguous or too large, or whose target is not a path.

    h11 refuses lengths that differ, but accepts a length together with chunks.
    """
    names = {name for name, _ in event.headers}
    if b"content-length" in names and b"transfer-encoding" in names:
        raise _RefusedError(400, "a request has a length or chunks, not both")
    # h11 accepts digits only.
    if any(name == b"content-length" and int(value) > body_bytes for name, value in event.headers):
        raise _make_too_large(body_bytes)
    if not event.target.startswith(b"/"):
        raise _RefusedError(400, "the path must begin with a slash")


def _make_too_large(body_bytes: int) -> _RefusedError:
    return _RefusedError(413, f"a body may have {body_bytes} bytes")


class HttpListener:
    """Listens at one address and passes complete requests to a handler.

    Args:
        address: where to listen.
        handler: handles a request and writes the response to it.
        limits: returns the limits in force.
        render_refusal: returns the response to an invalid request.
        guard: enforces the budget of buffered bytes; None without one.
        gate: decides whether a new connection is served; None to serve all.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        *,
        limits: Callable[[], ListenerLimits] = ListenerLimits,
        render_refusal: Callable[[int, str], HttpResponse],
        guard: BufferGuard | None = None,
        gate: ConnectionGate | None = None,
    ) -> None:
        self._gate: Final = gate
        self._guard: Final = guard
        self._endpoint: Final = Endpoint.parse(address)
        self.handler: Final = handler
        self.limits: Final = limits
        self.render_refusal: Final = render_refusal
        #: Divides the turns of the event loop among connections that have much to parse.
        self.turns: Final = ParseTurns()
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        #: Whether each response is the last one of its connection.
        self.is_closing = False

    async def start(self) -> None:
        """Start listening.

        Raises:
            StorageError: the address is not available.
        """
        loop = asyncio.get_running_loop()
        try:
            self._server = await loop.create_server(
                lambda: TcpStream(self._accept),
                self._endpoint.host,
                self._endpoint.port,
                backlog=_BACKLOG,
                family=socket.AF_INET,
            )
        except OSError as error:
            where = f"{self._endpoint.host}:{self._endpoint.port}"
            raise StorageError(f"cannot listen on {where}: {error.strerror or error}") from None

    def port(self) -> int:
        """Return the port, which the kernel chose if the address has port 0."""
        if self._server is None:
            return self._endpoint.port
        return int(self._server.sockets[0].getsockname()[1])

    def count_open(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def count_unread(self) -> int:
        """Return the number of connections on which no byte has arrived yet."""
        return sum(1 for connection in self._connections if not connection.has_begun)

    def count_busy(self) -> int:
        """Return the number of connections with a request in progress or a response to send."""
        return sum(1 for connection in self._connections if connection.is_busy())

    def forget(self, connection: _Connection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for connection in tuple(self._connections):
            connection.close_if_idle()

    async def drain(self, ends_at: float) -> int:
        """Accept nothing new, and wait until the responses in progress have left this process.

        Args:
            ends_at: time until which it waits, by the loop's clock.

        Returns:
            The number of connections with a response that is not complete.
        """
        self.is_closing = True
        if self._server is not None:
            self._server.close()
        loop = asyncio.get_running_loop()
        while True:
            self.close_idle()
            busy = self.count_busy()
            if not busy or loop.time() >= ends_at:
                return busy
            await asyncio.sleep(_DRAIN_POLL_SECONDS)

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._connections):
            connection.abort()
        if self._tasks:
            await asyncio.wait(self._tasks)

    def _accept(self, stream: TcpStream) -> None:
        if self._gate is not None and not self._gate.admit():
            stream.abort()
            return
        if self._guard is not None:
            self._guard.watch(stream)
        connection = _Connection(self, stream)
        self._connections.add(connection)
        task = asyncio.ensure_future(connection.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
