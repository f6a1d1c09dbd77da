"""Split an event stream into complete events (WHATWG HTML, server-sent events)."""

import asyncio
import re
from collections.abc import AsyncIterator, Callable, Sequence
from typing import Final

from damsonlane.records import dataclass
from damsonlaned.attempts import AttemptTurn

#: Largest size of one event, in bytes.
MAX_EVENT_BYTES: Final = 1024 * 1024
#: Most blank events in a row: some keep a connection alive, and no target needs more for that.
MAX_BLANK_EVENTS: Final = 1_000
#: Bytes of a stream that are split in a row before other tasks get their turn.
_BYTES_PER_TURN: Final = 16 * 1024
#: The end of an event.
_END: Final = re.compile(rb"\n\n|\r\n\r\n|\r\r")
#: Size of the longest end, in bytes.
_END_BYTES: Final = 4


class EventTooLargeError(ValueError):
    """An event exceeds the largest size."""


class BlankStreamError(ValueError):
    """A stream holds blank events only."""


@dataclass(frozen=True, kw_only=True)
class Event:
    """One complete event."""

    #: Its bytes, including the blank line that ends it.
    data: bytes
    #: Its id, or None.
    event_id: str | None
    #: Whether it has no field: it is a comment or an empty line, and means nothing.
    is_blank: bool


class EventSplitter:
    """Buffers the bytes of a stream and returns complete events."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        #: Offset in the buffer before which no event ends.
        self._searched = 0

    def feed(self, data: bytes) -> tuple[Event, ...]:
        """Return the events that are complete now.

        Raises:
            EventTooLargeError: an event exceeds the largest size.
        """
        self._buffer += data
        events: list[Event] = []
        begin = 0
        while (found := _END.search(self._buffer, max(begin, self._searched))) is not None:
            block = bytes(self._buffer[begin : found.end()])
            begin = found.end()
            events.append(_read_event(block))
        del self._buffer[:begin]
        # The end of an event may have arrived in part.
        self._searched = max(0, len(self._buffer) - _END_BYTES + 1)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f"an event has more than {MAX_EVENT_BYTES} bytes")
        return tuple(events)

    @property
    def pending_bytes(self) -> int:
        """Size of the buffered part of an incomplete event, in bytes."""
        return len(self._buffer)


class BlankEventLimit:
    """Ends a stream of blank events, which would keep its caller waiting until the deadline."""

    def __init__(self) -> None:
        self._count = 0

    def count(self, events: Sequence[Event]) -> bool:
        """Count events of a stream, and return whether any of them is not blank.

        Raises:
            BlankStreamError: there were too many blank ones in a row.
        """
        has_content = any(not event.is_blank for event in events)
        self._count = 0 if has_content else self._count + len(events)
        if self._count > MAX_BLANK_EVENTS:
            raise BlankStreamError(f"more than {MAX_BLANK_EVENTS} blank events in a row")
        return has_content


async def read_in_turn(
    parts: AsyncIterator[bytes],
    turn: AttemptTurn,
    find_pause: Callable[[], float],
    on_silent: Callable[[], None],
) -> AsyncIterator[bytes]:
    """Yield the parts of a stream as they arrive, large ones in pieces.

    Args:
        parts: the parts.
        turn: is told of silences, and decides when a part may be forwarded.
        find_pause: returns the longest time until the next part, in seconds.
        on_silent: called when that has passed.
    """
    while True:
        with turn.expect(find_pause, on_silent):
            part = await anext(parts, None)
        await turn.wait()
        if part is None:
            return
        yield part[:_BYTES_PER_TURN]
        for begin in range(_BYTES_PER_TURN, len(part), _BYTES_PER_TURN):
            await asyncio.sleep(0)
            yield part[begin : begin + _BYTES_PER_TURN]


def _read_event(block: bytes) -> Event:
    event_id, is_blank = None, True
    for line in block.splitlines():
        if line and not line.startswith(b":"):
            is_blank = False
        if line.startswith(b"id:"):
            event_id = line[3:].strip().decode("utf-8", "replace")
    return Event(data=block, event_id=event_id, is_blank=is_blank)
