"""Split an event stream into complete events (WHATWG HTML, server-sent events)."""

import asyncio
import re
from collections.abc import AsyncIterator, Callable
from typing import Final

from damsonlane.errors import DamsonlaneError
from damsonlane.records import dataclass

#: Largest size of one event, in bytes.
MAX_EVENT_BYTES: Final = 1024 * 1024
#: The end of an event.
_END: Final = re.compile(rb"\n\n|\r\n\r\n|\r\r")
#: Size of the longest end, in bytes.
_END_BYTES: Final = 4


class EventTooLargeError(ValueError):
    """An event exceeds the largest size."""


class StreamTimeoutError(DamsonlaneError):
    """No part of an event stream arrived in time."""


@dataclass(frozen=True, kw_only=True)
class Event:
    """One complete event."""

    #: Its bytes, including the blank line that ends it.
    data: bytes
    #: Its id, or None.
    event_id: str | None


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
            events.append(Event(data=block, event_id=_read_event_id(block)))
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


async def read_in_time(
    parts: AsyncIterator[bytes], find_pause: Callable[[], float]
) -> AsyncIterator[bytes]:
    """Yield the parts of a stream as they arrive.

    Args:
        parts: the parts.
        find_pause: returns the longest time until the next part, in seconds.

    Raises:
        StreamTimeoutError: nothing arrived for too long.
    """
    while True:
        try:
            async with asyncio.timeout(find_pause()):
                part = await anext(parts)
        except StopAsyncIteration:
            return
        except TimeoutError:
            raise StreamTimeoutError("the stream fell silent") from None
        yield part


def _read_event_id(block: bytes) -> str | None:
    event_id = None
    for line in block.splitlines():
        if line.startswith(b"id:"):
            event_id = line[3:].strip().decode("utf-8", "replace")
    return event_id
