"""The targets' side: kept connections, one request at a time on each."""

import asyncio
import socket
from collections import deque
from collections.abc import AsyncIterator, Callable
from typing import Final

import h11

from damsonlane_rpc import Endpoint
from damsonlaned.http._errors import BrokenAnswerError, NotSentError
from damsonlaned.http._messages import HttpHead, HttpRequest
from damsonlaned.http._wire import Wire

#: Largest head of an answer, in bytes.
_ANSWER_HEAD_BYTES: Final = 64 * 1024
#: Milliseconds after which bytes that a target does not take count as lost.
_SILENCE_MS: Final = 2_000
#: Seconds for which an idle connection is kept unless the target names fewer.
_IDLE_SECONDS: Final = 8.0
#: Share of the time that a target names for which its connections are used.
_IDLE_SHARE: Final = 0.6
#: Idle connections kept to one target.
_IDLE_KEPT: Final = 16


class AnswerBody:
    """The body of an answer, part by part; ``is_whole`` once its end was seen."""

    def __init__(self, connection: "TargetConnection") -> None:
        self._connection: Final = connection
        self.is_whole = False

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the parts as they come.

        Raises:
            BrokenAnswerError: the connection broke before the end.
        """
        while True:
            event = await self._connection.next_event()
            if isinstance(event, h11.EndOfMessage):
                self.is_whole = True
                return
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            else:
                raise BrokenAnswerError("the answer ended early")

    async def read_whole(self) -> bytes:
        """Return the whole body.

        Raises:
            BrokenAnswerError: the connection broke before the end.
        """
        return b"".join([part async for part in self.parts()])


class TargetConnection:
    """A connection to a target.

    Args:
        wire: the connection, made.
    """

    def __init__(self, wire: Wire) -> None:
        self._wire: Final = wire
        self._parser = self._new_parser()
        self._last_request: h11.Request | None = None
        self._idle_seconds = _IDLE_SECONDS
        #: When it became idle, by the loop's clock.
        self.idle_since = 0.0

    def is_usable(self, now: float) -> bool:
        """Tell whether a request may be sent on it."""
        is_fresh = now - self.idle_since < self._idle_seconds
        return is_fresh and not self._wire.is_over() and not self._wire.has_unread()

    def send(self, request: HttpRequest) -> None:
        """Send a whole request."""
        self._wire.on_end = None
        headers = list(request.headers)
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers.append((b"Content-Length", str(len(request.body)).encode()))
        self._last_request = h11.Request(
            method=request.method, target=request.target.encode("latin-1"), headers=headers
        )
        data = self._parser.send(self._last_request) or b""
        if request.body:
            data += self._parser.send(h11.Data(data=request.body)) or b""
        data += self._parser.send(h11.EndOfMessage()) or b""
        self._wire.write(data)

    async def read_head(self) -> HttpHead:
        """Return the head of the next answer.

        Raises:
            BrokenAnswerError: the bytes are no answer, or none came.
        """
        while True:
            event = await self.next_event()
            if isinstance(event, h11.Response):
                head = HttpHead(status=event.status_code, headers=tuple(event.headers.raw_items()))
                self._note_idle_time(head)
                return head
            if not isinstance(event, h11.InformationalResponse):
                raise BrokenAnswerError("the target closed without an answer")

    async def skip_answer(self) -> None:
        """Read an answer that belongs to an earlier request to its end, and wait for the next.

        Raises:
            BrokenAnswerError: the connection ends with that answer.
        """
        while not isinstance(await self.next_event(), h11.EndOfMessage):
            pass
        rest, _ = self._parser.trailing_data
        if self._parser.their_state is not h11.DONE or self._last_request is None:
            raise BrokenAnswerError("the connection ended with the answer to another request")
        # h11 pairs answers with requests, so a fresh parser is told of ours once more.
        self._parser = self._new_parser()
        self._parser.send(self._last_request)
        if not _has_body(self._last_request):
            self._parser.send(h11.EndOfMessage())
        self._parser.receive_data(rest)

    async def next_event(self) -> h11.Event:
        """Return the next event of the answer.

        Raises:
            BrokenAnswerError: the connection broke or the bytes are no answer.
        """
        while True:
            try:
                event = self._parser.next_event()
                if event is h11.NEED_DATA:
                    self._parser.receive_data(await self._wire.read())
                    continue
            except h11.RemoteProtocolError as error:
                raise BrokenAnswerError(f"not an answer: {error}") from None
            except ConnectionError as error:
                raise BrokenAnswerError(f"the connection broke: {error}") from None
            if isinstance(event, h11.Event):
                return event
            raise BrokenAnswerError("bytes after the answer")

    def settle(self, now: float, on_end: Callable[[], None]) -> bool:
        """Make ready for another request after a whole answer; tell whether it may be kept.

        Args:
            now: the loop's clock.
            on_end: called if the target closes the connection while it is idle.
        """
        is_done = self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE
        has_rest = bool(self._parser.trailing_data[0]) or self._wire.has_unread()
        if not is_done or has_rest or self._wire.is_over():
            return False
        self._parser.start_next_cycle()
        self.idle_since = now
        self._wire.on_end = on_end
        return True

    def abort(self) -> None:
        """Close at once, so that the target drops its work."""
        self._wire.abort()

    def close(self) -> None:
        """Close."""
        self._wire.close()

    def _note_idle_time(self, head: HttpHead) -> None:
        value = head.find(b"keep-alive") or ""
        for part in value.split(","):
            name, _, seconds = part.strip().partition("=")
            if name.lower() == "timeout" and seconds.isdecimal():
                self._idle_seconds = min(_IDLE_SECONDS, _IDLE_SHARE * int(seconds))

    @staticmethod
    def _new_parser() -> h11.Connection:
        return h11.Connection(h11.CLIENT, max_incomplete_event_size=_ANSWER_HEAD_BYTES)


def _has_body(request: h11.Request) -> bool:
    return any(name == b"content-length" and value != b"0" for name, value in request.headers)


class SentExchange:
    """A request that was sent, until its answer is whole or given up."""

    def __init__(self, pool: "ConnectionPool", connection: TargetConnection) -> None:
        self._pool: Final = pool
        self._connection: Final = connection
        self.body: Final = AnswerBody(connection)

    async def read_head(self) -> HttpHead:
        """Return the head of the answer.

        Raises:
            BrokenAnswerError: none came.
        """
        return await self._connection.read_head()

    async def skip_answer(self) -> None:
        """Pass over an answer that belongs to another request.

        Raises:
            BrokenAnswerError: the connection ends with it.
        """
        await self._connection.skip_answer()

    def finish(self) -> None:
        """Give the connection back if the answer was whole, or close it at once."""
        self._pool.give_back(self._connection, is_whole=self.body.is_whole)


class ConnectionPool:
    """Connections to one target.

    Args:
        address: address of the target.
        most: connections that may be open at once.
    """

    def __init__(self, address: str, most: int) -> None:
        self._endpoint: Final = Endpoint.parse(address)
        self.most = most
        self._idle: deque[TargetConnection] = deque()
        self._is_closed = False
        self._open = 0

    def open_connections(self) -> int:
        """Return the connections that are open, idle ones included."""
        return self._open

    async def send(self, request: HttpRequest, connect_seconds: float) -> SentExchange:
        """Send a request on a kept connection, or on a new one.

        Raises:
            NotSentError: no connection could be had.
        """
        connection = self._take_idle() or await self._connect(connect_seconds)
        connection.send(request)
        return SentExchange(self, connection)

    def give_back(self, connection: TargetConnection, *, is_whole: bool) -> None:
        """Keep a connection after a whole answer; close it at once otherwise."""
        now = asyncio.get_running_loop().time()
        may_keep = is_whole and not self._is_closed and len(self._idle) < _IDLE_KEPT
        if may_keep and connection.settle(now, lambda: self._forget(connection)):
            self._idle.append(connection)
            return
        self._open -= 1
        connection.abort()

    def close(self) -> None:
        """Close the connections that no request uses, and the others when they are given back."""
        self._is_closed = True
        while self._idle:
            self._drop(self._idle.pop())

    def _forget(self, connection: TargetConnection) -> None:
        """Drop an idle connection that the target closed."""
        if connection in self._idle:
            self._idle.remove(connection)
            self._drop(connection)

    def _take_idle(self) -> TargetConnection | None:
        now = asyncio.get_running_loop().time()
        while self._idle:
            # The one used last is the least likely to be closed by the target.
            connection = self._idle.pop()
            if connection.is_usable(now):
                return connection
            self._drop(connection)
        return None

    def _drop(self, connection: TargetConnection) -> None:
        self._open -= 1
        connection.close()

    async def _connect(self, seconds: float) -> TargetConnection:
        if self._open >= self.most:
            raise NotSentError(f"all {self.most} connections to the target are in use")
        self._open += 1
        try:
            return TargetConnection(await self._make_wire(seconds))
        except BaseException:
            self._open -= 1
            raise

    async def _make_wire(self, seconds: float) -> Wire:
        loop = asyncio.get_running_loop()
        host, port = self._endpoint.host, self._endpoint.port
        try:
            async with asyncio.timeout(seconds):
                transport, wire = await loop.create_connection(Wire, host, port)
        except TimeoutError:
            raise NotSentError(f"{host}:{port} did not answer in time") from None
        except OSError as error:
            raise NotSentError(f"{host}:{port}: {error.strerror or error}") from None
        connection = transport.get_extra_info("socket")
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _SILENCE_MS)
        return wire
