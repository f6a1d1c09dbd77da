"""One connection to a target: send a request and parse the response."""

import asyncio
from collections.abc import AsyncIterator, Callable, Sequence
from functools import partial
from typing import Final

import h11

from damsonlaned.http._buffer_guard import BufferMeter
from damsonlaned.http._collection_budget import MAX_BODY_BYTES, CollectionBudget
from damsonlaned.http._connection_observer import ConnectionObserver, NoObserver
from damsonlaned.http._errors import IncompleteResponseError
from damsonlaned.http._messages import HttpHead, HttpRequest
from damsonlaned.http._tcp_stream import TcpStream

#: Largest head of a response, in bytes.
_MAX_HEAD_BYTES: Final = 64 * 1024
#: Statuses of responses whose length is that of another response.
_BODILESS_STATUSES: Final = (204, 304)
#: Most informational responses before a response.
_MAX_INFORMATIONAL: Final = 32
#: Parts that a body may have whatever their size; each costs processor time.
_MAX_SMALL_PARTS: Final = 10_000
#: Least mean size of the parts beyond these, in bytes.
_MIN_PART_BYTES: Final = 64
#: Events that are parsed in a row before other tasks get their turn.
_EVENTS_PER_TURN: Final = 64
#: Seconds for which an idle connection is kept unless the target announces fewer.
_IDLE_SECONDS: Final = 8.0
#: Share of the idle time-out that a target announces for which its connections are used.
_IDLE_SHARE: Final = 0.6


class ResponseBody:
    """The body of a response; ``is_complete`` once its end was received.

    Args:
        connection: the connection on which it arrives.
        budget: limits the bytes that are collected.
    """

    def __init__(self, connection: "TargetConnection", budget: CollectionBudget) -> None:
        self._connection: Final = connection
        self._budget: Final = budget
        self._is_given_up = False
        self._limit = _PartLimit()
        self.is_complete = False

    async def iter_parts(self) -> AsyncIterator[bytes]:
        """Yield the parts as they arrive.

        Raises:
            IncompleteResponseError: the connection broke before the end, or the parts are too
                small.
        """
        while True:
            event = await self._connection.next_event()
            if isinstance(event, h11.EndOfMessage):
                self.is_complete = True
                return
            if isinstance(event, h11.Data):
                parts = self._connection.take_ready(event)
                self._limit.count(parts)
                yield b"".join(parts)
            else:
                raise IncompleteResponseError("the answer ended early")

    def record_progress(self) -> None:
        """Record that the parts so far were of use, so that they don't count any more."""
        self._limit = _PartLimit()

    async def read_all(self) -> bytes:
        """Return the complete body.

        Raises:
            IncompleteResponseError: the connection broke before the end, or the body is too large.
        """
        body = bytearray()
        self._check_size(self._connection.announced_bytes)
        try:
            # Responses that hold a part of the room each could not complete.
            reserved = await self._connection.reserve_announced()
            async for part in self.iter_parts():
                size = len(body) + len(part)
                self._check_size(size)
                if size > self._connection.announced_bytes:
                    await self._connection.wait_for_room(len(part))
                body += part
                self._connection.record_collected(max(reserved, size))
                self._budget.record(self._give_up, len(body))
                if self._is_given_up:
                    raise IncompleteResponseError("the bodies under way take too much memory")
        finally:
            self._budget.record(self._give_up, 0)
        return bytes(body)

    def _check_size(self, size: int) -> None:
        if size > self._budget.body_bytes:
            raise IncompleteResponseError(f"the body has more than {self._budget.body_bytes} bytes")

    def _give_up(self) -> None:
        self._is_given_up = True
        self._connection.abort()


class _PartLimit:
    """Ends a body in many small parts, which would take the processor time of other requests."""

    def __init__(self) -> None:
        self._parts = 0
        self._size = 0

    def count(self, parts: Sequence[bytes]) -> None:
        """Count parts.

        Raises:
            IncompleteResponseError: there are too many for the size of the body.
        """
        self._parts += len(parts)
        self._size += sum(len(part) for part in parts)
        if self._parts > _MAX_SMALL_PARTS + self._size // _MIN_PART_BYTES:
            raise IncompleteResponseError("the body comes in too many small parts")


class TargetConnection:
    """A connection to a target.

    Args:
        stream: the established connection.
        observer: learns whether the target is reached; None for nobody.
    """

    def __init__(self, stream: TcpStream, observer: ConnectionObserver | None = None) -> None:
        self._stream: Final = stream
        self._observer: Final = observer or NoObserver()
        self._is_new = True
        #: Whether a byte arrived since the last request was sent.
        self.has_received = False
        #: Length of the body that the last head announced, in bytes; 0 without one.
        self.announced_bytes = 0
        #: Events parsed since other tasks got their turn.
        self._events = 0
        #: An event that was parsed and not returned yet.
        self._next: h11.Event | None = None
        self._parser = self._make_parser()
        self._last_request: h11.Request | None = None
        self._idle_seconds = _IDLE_SECONDS
        #: Time at which it became idle, by the loop's clock.
        self.idle_since = 0.0

    def is_usable(self, now: float) -> bool:
        """Return whether a request may be sent on it."""
        is_fresh = now - self.idle_since < self._idle_seconds
        return is_fresh and not self._stream.is_closed() and not self._stream.has_unread()

    def send(self, request: HttpRequest) -> None:
        """Send a request with its body."""
        self._stream.on_closed = None
        self._stream.on_unexpected = None
        self.has_received = False
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
        self._stream.write(data)

    def charge_to(self, meter: BufferMeter | None) -> None:
        """Count the buffered bytes of the response for a caller; None to stop."""
        self.record_collected(0)
        self._stream.charge_to(meter)

    def record_collected(self, size: int) -> None:
        """Record how many bytes of a response are kept until it is complete."""
        if self._stream.meter is not None:
            self._stream.meter.record_unread(self, size)

    async def reserve_announced(self) -> int:
        """Wait for room for the announced body, and return the bytes that are reserved.

        Raises:
            IncompleteResponseError: the caller was disconnected.
        """
        missing = max(0, self.announced_bytes - self._stream.count_unread())
        await self.wait_for_room(missing)
        self.record_collected(missing)
        return missing

    async def wait_for_room(self, size: int) -> None:
        """Wait until the caller's budget has room for more bytes of a response.

        Raises:
            IncompleteResponseError: the caller was disconnected.
        """
        meter = self._stream.meter
        if meter is not None and not meter.has_room(size):
            try:
                await meter.wait_for_room(size)
            except ConnectionError as error:
                raise IncompleteResponseError(str(error)) from None

    async def read_head(self) -> HttpHead:
        """Return the head of the next response.

        Raises:
            IncompleteResponseError: the bytes are not a response, or none arrived.
        """
        for _ in range(_MAX_INFORMATIONAL + 1):
            event = await self.next_event()
            if isinstance(event, h11.Response):
                head = HttpHead(status=event.status_code, headers=tuple(event.headers.raw_items()))
                self._apply_idle_timeout(head)
                self.announced_bytes = self._read_length(head)
                return head
            if not isinstance(event, h11.InformationalResponse):
                raise IncompleteResponseError("the target closed without an answer")
        raise IncompleteResponseError("the target sent only informational answers")

    async def skip_response(self) -> None:
        """Read a response to an earlier request to its end, so that the next one can be read.

        Raises:
            IncompleteResponseError: the connection ends with that response.
        """
        size = 0
        limit = _PartLimit()
        while not isinstance(event := await self.next_event(), h11.EndOfMessage):
            if isinstance(event, h11.Data):
                parts = self.take_ready(event)
                limit.count(parts)
                size += sum(len(part) for part in parts)
            if size > MAX_BODY_BYTES:
                raise IncompleteResponseError("the answer to another request is too large")
        rest, _ = self._parser.trailing_data
        if self._parser.their_state is not h11.DONE or self._last_request is None:
            raise IncompleteResponseError("the connection ended with the answer to another request")
        # h11 pairs responses with requests, so a new parser is given our request once more.
        self._parser = self._make_parser()
        self._parser.send(self._last_request)
        if not _has_body(self._last_request):
            self._parser.send(h11.EndOfMessage())
        if rest:
            # To the parser no bytes mean that the connection has ended.
            self._parser.receive_data(rest)

    async def next_event(self) -> h11.Event:
        """Return the next event of the response.

        Raises:
            IncompleteResponseError: the connection broke or the bytes are not a response.
        """
        if self._next is not None:
            following, self._next = self._next, None
            return following
        while True:
            try:
                event = self._parser.next_event()
                if event is h11.NEED_DATA:
                    data = await self._stream.read()
                    if data:
                        self._record_received()
                    self._parser.receive_data(data)
                    continue
            except h11.RemoteProtocolError as error:
                raise IncompleteResponseError(f"not an answer: {error}") from None
            except ConnectionError as error:
                self._observer.record_failed("broken")
                raise IncompleteResponseError(f"the connection broke: {error}") from None
            if isinstance(event, h11.Event):
                await self._take_turn()
                return event
            raise IncompleteResponseError("bytes after the answer")

    def take_ready(self, first: h11.Data) -> list[bytes]:
        """Return a part of the body with those after it that have arrived already."""
        parts = [bytes(first.data)]
        while len(parts) < _EVENTS_PER_TURN:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError:
                # The parser raises it again for the next event.
                break
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                continue
            if isinstance(event, h11.Event):
                self._next = event
            break
        self._events += len(parts) - 1
        return parts

    async def _take_turn(self) -> None:
        """Let other tasks run after some events, as bytes that have arrived need no waiting."""
        self._events += 1
        if self._events >= _EVENTS_PER_TURN:
            self._events = 0
            await asyncio.sleep(0)

    def _record_received(self) -> None:
        self.has_received = True
        self._observer.record_reached(is_new=self._is_new)
        self._is_new = False

    def make_idle(self, now: float, on_unusable: Callable[[], None]) -> bool:
        """Prepare for another request after a complete response.

        Args:
            now: time by the loop's clock.
            on_unusable: called if the target closes the connection, or sends bytes that belong
                to no request, while it is idle.

        Returns:
            Whether the connection may be kept.
        """
        is_done = self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE
        has_rest = bool(self._parser.trailing_data[0]) or self._stream.has_unread()
        if is_done and has_rest:
            self._observer.record_extra_bytes()
        if not is_done or has_rest or self._stream.is_closed():
            return False
        self._parser.start_next_cycle()
        self.idle_since = now
        self._stream.on_closed = on_unusable
        self._stream.on_unexpected = partial(self._record_unexpected, on_unusable)
        return True

    def _record_unexpected(self, on_unusable: Callable[[], None]) -> None:
        self._observer.record_extra_bytes()
        on_unusable()

    def abort(self) -> None:
        """Close at once, so that the target stops its work on the request."""
        self._stream.abort()

    def close(self) -> None:
        """Close after sending what is queued."""
        self._stream.close()

    def _read_length(self, head: HttpHead) -> int:
        """Return the length of the body that follows a head, in bytes; 0 without one."""
        is_for_head = self._last_request is not None and self._last_request.method == b"HEAD"
        if is_for_head or head.status in _BODILESS_STATUSES:
            return 0
        # The parser accepts digits only.
        return int(head.find(b"content-length") or 0)

    def _apply_idle_timeout(self, head: HttpHead) -> None:
        value = head.find(b"keep-alive") or ""
        for part in value.split(","):
            name, _, seconds = part.strip().partition("=")
            if name.lower() == "timeout" and seconds.isdecimal():
                self._idle_seconds = min(_IDLE_SECONDS, _IDLE_SHARE * int(seconds))

    @staticmethod
    def _make_parser() -> h11.Connection:
        return h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)


def _has_body(request: h11.Request) -> bool:
    return any(name == b"content-length" and value != b"0" for name, value in request.headers)
