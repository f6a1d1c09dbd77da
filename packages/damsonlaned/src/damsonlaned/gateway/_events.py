"""Splitting an event stream into whole events (WHATWG HTML, server-sent events)."""

from dataclasses import dataclass
from typing import Final

from damsonlane.errors import DamsonlaneError

#: Bytes of one event that may wait for its end.
LARGEST_EVENT: Final = 1024 * 1024


class EventTooLargeError(ValueError):
    """An event does not end."""


class StreamSilentError(DamsonlaneError):
    """No event came for too long."""


@dataclass(frozen=True, kw_only=True)
class Event:
    """One whole event."""

    #: Its bytes, the blank line that ends it included.
    data: bytes
    #: Its id, or None.
    identity: str | None


class EventSplitter:
    """Takes bytes as they come and gives out whole events."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> tuple[Event, ...]:
        """Return the events that are whole now.

        Raises:
            EventTooLargeError: an event has more bytes than may wait.
        """
        self._rest += data
        events: list[Event] = []
        while (end := _find_end(self._rest)) > 0:
            block, self._rest = self._rest[:end], self._rest[end:]
            events.append(Event(data=block, identity=_read_identity(block)))
        if len(self._rest) > LARGEST_EVENT:
            raise EventTooLargeError(f"an event has more than {LARGEST_EVENT} bytes")
        return tuple(events)

    def rest(self) -> bytes:
        """Return the bytes that belong to no whole event."""
        return self._rest


def _find_end(data: bytes) -> int:
    """Return where the first whole event ends, or 0."""
    ends = [
        found + len(mark)
        for mark in (b"\n\n", b"\r\n\r\n", b"\r\r")
        if (found := data.find(mark)) >= 0
    ]
    return min(ends, default=0)


def _read_identity(block: bytes) -> str | None:
    identity = None
    for line in block.splitlines():
        if line.startswith(b"id:"):
            identity = line[3:].strip().decode("utf-8", "replace")
    return identity
