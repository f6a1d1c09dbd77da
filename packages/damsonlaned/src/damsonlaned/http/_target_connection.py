"""One connection to a target: a request, then the bytes of its answer."""

from collections.abc import AsyncIterator, Callable
from typing import Final

import h11

from damsonlaned.http._errors import BrokenAnswerError
from damsonlaned.http._messages import HttpHead, HttpRequest
from damsonlaned.http._tcp_stream import Wire

#: Largest head of an answer, in bytes.
_ANSWER_HEAD_BYTES: Final = 64 * 1024
#: Seconds for which an idle connection is kept unless the target names fewer.
_IDLE_SECONDS: Final = 8.0
#: Share of the time that a target names for which its connections are used.
_IDLE_SHARE: Final = 0.6


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
