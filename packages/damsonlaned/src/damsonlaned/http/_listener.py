"""The callers' side: listening, and reading whole requests."""

import asyncio
import contextlib
import logging
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

import h11

from damsonlane.errors import StorageError
from damsonlane_rpc import Endpoint
from damsonlaned.http._errors import CallerGoneError
from damsonlaned.http._messages import HttpRequest, HttpResponse
from damsonlaned.http._response_writer import Reply
from damsonlaned.http._tcp_stream import Wire

_LOG: Final = logging.getLogger(__name__)

#: Connections that the kernel may hold before they are accepted.
_BACKLOG: Final = 512
#: Seconds for which a refused caller's bytes are read, so that it can read the refusal.
_LINGER_SECONDS: Final = 0.5
#: Seconds for which a whole body may take; the head has a limit of its own.
_BODY_SECONDS: Final = 20.0


@dataclass(frozen=True, kw_only=True)
class ListenerLimits:
    """Bounds for one caller."""

    #: Largest head, in bytes.
    header_bytes: int = 16_384
    #: Largest body, in bytes.
    body_bytes: int = 4 * 2**20
    #: Seconds within which a head that began must be whole.
    header_seconds: float = 3.0
    #: Seconds for which an idle connection is kept.
    idle_seconds: float = 15.0


class _RefusedError(Exception):
    """The bytes are no request that may be served."""

    def __init__(self, status: int, reason: str) -> None:
        self.status = status
        super().__init__(reason)


#: Answers a request by its `Reply`.
Handler = Callable[[HttpRequest, Reply], Awaitable[None]]


class _Connection:
    """One caller's connection: one request after the other."""

    def __init__(self, listener: "WebListener", wire: Wire) -> None:
        self._listener: Final = listener
        self._wire: Final = wire
        limits = listener.limits()
        self._parser: Final = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self._work: asyncio.Task[None] | None = None
        #: Whether no request is being read or served.
        self.is_idle = True

    async def run(self) -> None:
        """Serve requests until either side closes."""
        try:
            while await self._serve_one():
                self._parser.start_next_cycle()
            self._wire.close()
        except _RefusedError as error:
            await self._refuse(error)
        except (ConnectionError, CallerGoneError):
            self._wire.abort()
        except TimeoutError:
            self._wire.close()
        finally:
            self._listener.forget(self)

    def close_if_idle(self) -> None:
        """Close the connection unless a request is under way."""
        if self.is_idle and not self._wire.has_unread():
            self._wire.close()

    def abort(self) -> None:
        """Break the connection."""
        self._wire.abort()

    async def _serve_one(self) -> bool:
        """Serve one request; tell whether another may follow."""
        request = await self._read_request()
        if request is None:
            return False
        self.is_idle = False
        reply = Reply(self._wire, self._parser, self._is_last)
        self._work = asyncio.ensure_future(self._listener.handler(request, reply))
        self._wire.on_end = self._cancel_work
        if self._wire.is_over():
            self._cancel_work()
        try:
            await asyncio.wait({self._work})
        finally:
            self._wire.on_end = None
        self._check_work()
        if not reply.is_whole:
            self._wire.abort()
            return False
        self.is_idle = True
        return self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE

    def _cancel_work(self) -> None:
        if self._work is not None:
            self._work.cancel()

    def _check_work(self) -> None:
        work = self._work
        self._work = None
        if work is None or work.cancelled():
            return
        fault = work.exception()
        if fault is not None and not isinstance(fault, CallerGoneError | ConnectionError):
            _LOG.error("a request failed inside", exc_info=fault)

    def _is_last(self) -> bool:
        return self._listener.is_closing

    # Reading.

    async def _read_request(self) -> HttpRequest | None:
        limits = self._listener.limits()
        head = await self._read_head(limits)
        if head is None:
            return None
        body = await asyncio.wait_for(self._read_body(limits), _BODY_SECONDS)
        return HttpRequest(
            method=head.method.decode("ascii"),
            target=head.target.decode("latin-1"),
            headers=tuple(head.headers.raw_items()),
            body=body,
        )

    async def _read_head(self, limits: ListenerLimits) -> h11.Request | None:
        is_begun = bool(self._parser.trailing_data[0])
        if not is_begun and not await self._wait_for_bytes(limits.idle_seconds):
            return None
        event = await asyncio.wait_for(self._next_event(), limits.header_seconds)
        if isinstance(event, h11.ConnectionClosed):
            return None
        if not isinstance(event, h11.Request):
            raise _RefusedError(400, "not a request")
        _check_framing(event)
        if self._parser.they_are_waiting_for_100_continue:
            data = self._parser.send(h11.InformationalResponse(status_code=100, headers=[]))
            self._wire.write(data or b"")
        return event

    async def _wait_for_bytes(self, seconds: float) -> bool:
        """Wait for the first bytes of a request; tell whether any came."""
        try:
            data = await asyncio.wait_for(self._wire.read(), seconds)
        except TimeoutError:
            return False
        self.is_idle = False
        self._parser.receive_data(data)
        return bool(data)

    async def _read_body(self, limits: ListenerLimits) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                raise ConnectionResetError("the caller closed in the middle of a request")
            size += len(event.data)
            if size > limits.body_bytes:
                raise _RefusedError(413, f"a body may have {limits.body_bytes} bytes")
            parts.append(bytes(event.data))

    async def _next_event(self) -> h11.Event:
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise _RefusedError(error.error_status_hint, str(error)) from None
            if event is h11.NEED_DATA:
                self._parser.receive_data(await self._wire.read())
            elif isinstance(event, h11.Event):
                return event
            else:
                raise _RefusedError(400, "bytes where no request may stand")

    async def _refuse(self, error: _RefusedError) -> None:
        """Say what is wrong, close, and read on a little so that the answer arrives."""
        _LOG.info("refused bytes", extra={"status": error.status, "reason": str(error)})
        response = self._listener.render_refusal(error.status, str(error))
        with contextlib.suppress(h11.LocalProtocolError):
            Reply(self._wire, self._parser, is_last=lambda: True).send_whole(response)
        with contextlib.suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(_LINGER_SECONDS):
                while await self._wire.read():
                    pass
        self._wire.close()


def _check_framing(event: h11.Request) -> None:
    """Refuse a request whose end is in doubt.

    h11 refuses differing lengths; a length beside chunks it would take.
    """
    names = {name for name, _ in event.headers}
    if b"content-length" in names and b"transfer-encoding" in names:
        raise _RefusedError(400, "a request has a length or chunks, not both")
    if not event.target.startswith(b"/"):
        raise _RefusedError(400, "the path must begin with a slash")


class WebListener:
    """Listens at one address and hands whole requests to a handler.

    Args:
        address: where to listen.
        handler: answers a request by its `Reply`.
        limits: returns the bounds in force.
        render_refusal: makes the answer to bytes that are no proper request.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        *,
        limits: Callable[[], ListenerLimits] = ListenerLimits,
        render_refusal: Callable[[int, str], HttpResponse],
    ) -> None:
        self._endpoint: Final = Endpoint.parse(address)
        self.handler: Final = handler
        self.limits: Final = limits
        self.render_refusal: Final = render_refusal
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        #: Whether each answer is the last one of its connection.
        self.is_closing = False

    async def start(self) -> None:
        """Listen.

        Raises:
            StorageError: the address can't be had.
        """
        loop = asyncio.get_running_loop()
        try:
            self._server = await loop.create_server(
                lambda: Wire(self._accept),
                self._endpoint.host,
                self._endpoint.port,
                backlog=_BACKLOG,
                family=socket.AF_INET,
            )
        except OSError as error:
            where = f"{self._endpoint.host}:{self._endpoint.port}"
            raise StorageError(f"cannot listen on {where}: {error.strerror or error}") from None

    def port(self) -> int:
        """Return the port, which the kernel chose if 0 was asked for."""
        if self._server is None:
            return self._endpoint.port
        return int(self._server.sockets[0].getsockname()[1])

    def busy(self) -> int:
        """Return the connections with a request under way."""
        return sum(1 for connection in self._connections if not connection.is_idle)

    def forget(self, connection: _Connection) -> None:
        """Forget a connection that is over."""
        self._connections.discard(connection)

    def close_idle(self) -> None:
        """Close the connections without a request under way."""
        for connection in tuple(self._connections):
            connection.close_if_idle()

    async def stop(self) -> None:
        """Stop listening and break what is left."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._connections):
            connection.abort()
        if self._tasks:
            await asyncio.wait(self._tasks)

    def _accept(self, wire: Wire) -> None:
        connection = _Connection(self, wire)
        self._connections.add(connection)
        task = asyncio.ensure_future(connection.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
