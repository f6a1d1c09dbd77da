"""Limits on the time that reading requests takes in the threads of a WSGI server."""

import socket
import time
from typing import Any, Final

from cheroot.makefile import StreamReader

#: Time-out for reading a head from its first bytes on, in seconds.
HEADER_SECONDS: Final = 3.0
#: Time in which a body must arrive whatever its size, in seconds.
FIRST_BODY_SECONDS: Final = 5.0
#: Bytes of a body that extend this time by a second.
MIN_BODY_RATE: Final = 500
#: Longest time for reading a body, in seconds.
MAX_BODY_SECONDS: Final = 20.0


class RequestSocket(socket.SocketIO):
    """The reading side of a connection, with limits for each part of a request.

    Args:
        connection: the connection.
    """

    def __init__(self, connection: socket.socket) -> None:
        super().__init__(connection, "rb")
        self._connection: Final = connection
        self._body_began_at: float | None = None
        self._deadline = 0.0
        self._size = 0

    def begin_head(self) -> None:
        """Limit the time of the next head."""
        self._deadline = time.monotonic() + HEADER_SECONDS

    def begin_body(self) -> None:
        """Limit the time of the body that follows."""
        self._body_began_at = time.monotonic()
        self._deadline = self._body_began_at + FIRST_BODY_SECONDS

    def end_request(self) -> None:
        """Forget the body, whose request has ended."""
        self._body_began_at = None
        self._size = 0

    def readinto(self, buffer: Any) -> int | None:
        """Read bytes into a buffer.

        Raises:
            TimeoutError: the part of the request took too long.
        """
        left = self._deadline - time.monotonic()
        if left <= 0:
            raise TimeoutError("timed out")
        seconds = self._connection.gettimeout()
        self._connection.settimeout(left if seconds is None else min(left, seconds))
        try:
            count = super().readinto(buffer)
        finally:
            self._connection.settimeout(seconds)
        if count and self._body_began_at is not None:
            self._record_body(self._body_began_at, count)
        return count

    def _record_body(self, began_at: float, count: int) -> None:
        self._size += count
        seconds = min(MAX_BODY_SECONDS, FIRST_BODY_SECONDS + self._size / MIN_BODY_RATE)
        self._deadline = began_at + seconds


class RequestReader(StreamReader):
    """A buffered reader of a connection's requests.

    Args:
        raw: the reading side of the connection.
        buffer_bytes: size of its buffer, in bytes.
    """

    def __init__(self, raw: RequestSocket, buffer_bytes: int) -> None:
        # The base class would create a socket without limits.
        super(StreamReader, self).__init__(raw, buffer_bytes)
        self.bytes_read = 0
