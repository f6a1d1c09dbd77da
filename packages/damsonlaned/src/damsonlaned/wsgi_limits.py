"""Limits on the time and memory that reading requests takes in the threads of a WSGI server."""

import io
import resource
import socket
import threading
from typing import Any, Final

from cheroot.makefile import StreamReader

from damsonlane.settings import Capacity
from damsonlaned.clock import read_clock

#: Time-out for reading a head from its first bytes on, in seconds.
HEADER_SECONDS: Final = 3.0
#: Time in which a body must arrive whatever its size, in seconds.
FIRST_BODY_SECONDS: Final = 5.0
#: Bytes of a body that extend this time by a second.
MIN_BODY_RATE: Final = 500
#: Longest time for reading a body, in seconds.
MAX_BODY_SECONDS: Final = 20.0
#: Limit of all bodies together, in bytes, where the memory of the process is not known.
DEFAULT_BUDGET_BYTES: Final = 64 * 2**20
#: Share of the memory of a process that bodies may hold.
_MEMORY_SHARE: Final = 0.125
#: Most bytes that are read at once; a buffer of that size is allocated before any arrive.
_MAX_READ_BYTES: Final = 64 * 1024


#: Share of the descriptors of a process that connections of callers may take.
_DESCRIPTOR_SHARE: Final = 0.5


def find_connection_limit() -> int:
    """Return how many connections of callers the process may have open."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return int(_DESCRIPTOR_SHARE * descriptors)


def find_budget_bytes(capacity: Capacity | None) -> int:
    """Return the limit of all bodies together, in bytes."""
    if capacity is None:
        return DEFAULT_BUDGET_BYTES
    return min(DEFAULT_BUDGET_BYTES, int(_MEMORY_SHARE * capacity.memory_bytes))


class BodyBudget:
    """Limits the bodies that threads hold; of those being read, the largest is given up first.

    Args:
        total_bytes: limit for all bodies together, in bytes.
    """

    def __init__(self, total_bytes: int) -> None:
        self._total_bytes: Final = total_bytes
        self._lock: Final = threading.Lock()
        self._sizes: Final[dict[RequestSocket, int]] = {}
        self._total = 0

    def record(self, reader: "RequestSocket", size: int) -> None:
        """Record how many bytes of a body a reader holds; 0 once its request has ended."""
        with self._lock:
            self._total += size - self._sizes.pop(reader, 0)
            if size:
                self._sizes[reader] = size
            while self._total > self._total_bytes and (largest := self._find_largest()):
                self._total -= self._sizes.pop(largest)
                largest.give_up()

    def _find_largest(self) -> "RequestSocket | None":
        """Return the reader that holds most of a body that is not whole yet."""
        reading = [reader for reader in self._sizes if not reader.has_whole_body()]
        return max(reading, key=self._sizes.__getitem__, default=None)


class RequestSocket(socket.SocketIO):
    """The reading side of a connection, with limits for each part of a request.

    Args:
        connection: the connection.
        budget: limits the bodies of all connections.
    """

    def __init__(self, connection: socket.socket, budget: BodyBudget) -> None:
        super().__init__(connection, "rb")
        self._connection: Final = connection
        self._budget: Final = budget
        self._is_given_up = False
        self._body_began_at: float | None = None
        self._deadline = 0.0
        #: Announced length of the body, and what has arrived, in bytes.
        self._length = 0
        self._size = 0
        self._is_skipping = False

    def begin_head(self) -> None:
        """Limit the time of the next head."""
        self._deadline = read_clock() + HEADER_SECONDS

    def begin_body(self, length: int) -> None:
        """Limit the time and count the bytes of the body that follows.

        Args:
            length: its announced length, in bytes.
        """
        self._length = length
        self._size = 0
        self._is_skipping = False
        self._body_began_at = read_clock()
        self._deadline = self._body_began_at + FIRST_BODY_SECONDS

    def end_request(self) -> None:
        """Stop counting the body, whose request has ended."""
        self._body_began_at = None
        self._budget.record(self, 0)

    def skip_body(self) -> None:
        """Stop counting the body, whose bytes are dropped from now on."""
        self._is_skipping = True
        self._budget.record(self, 0)

    def has_whole_body(self) -> bool:
        """Return whether the body has arrived; its first bytes may have come with the head."""
        return self._size + io.DEFAULT_BUFFER_SIZE >= self._length

    def give_up(self) -> None:
        """End reading, from any thread."""
        self._is_given_up = True
        try:
            self._connection.shutdown(socket.SHUT_RD)
        except OSError:
            # The connection is closed already.
            return

    def read(self, size: int = -1, /) -> bytes:
        """Return bytes that have arrived, at most ``size``."""
        return super().read(min(size, _MAX_READ_BYTES))

    def readinto(self, buffer: Any) -> int | None:
        """Read bytes into a buffer.

        Raises:
            TimeoutError: the part of the request took too long, or too much memory is in use.
        """
        left = self._deadline - read_clock()
        if left <= 0 or self._is_given_up:
            raise TimeoutError("timed out")
        seconds = self._connection.gettimeout()
        self._connection.settimeout(left if seconds is None else min(left, seconds))
        try:
            count = super().readinto(buffer)
        finally:
            self._connection.settimeout(seconds)
        if self._is_given_up:
            raise TimeoutError("timed out")
        if count and self._body_began_at is not None:
            self._record_body(self._body_began_at, count)
        return count

    def _record_body(self, began_at: float, count: int) -> None:
        self._size += count
        seconds = min(MAX_BODY_SECONDS, FIRST_BODY_SECONDS + self._size / MIN_BODY_RATE)
        self._deadline = began_at + seconds
        if not self._is_skipping:
            self._budget.record(self, self._size)


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
