"""Pooled connections to targets, and the headers of their responses."""

import http.client
import io
import itertools
import json
import socket
import threading
from collections.abc import Iterator, Mapping
from typing import Any, Final

import urllib3
import urllib3.connection
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from damsonlane.records import dataclass
from damsonlane.routing import LoadReport
from damsonlane_rpc import Endpoint
from damsonlaned.clock import read_clock
from damsonlaned.http import CollectionBudget, read_rate_limit, read_retry_after
from damsonlaned.targets._body_budget import BodyBudget

#: Largest number of idle connections to one target.
IDLE_CONNECTIONS: Final = 64
#: Time-out for connecting, in seconds.
CONNECT_TIMEOUT_SECONDS: Final = 0.5
#: Largest number of bytes per read.
CHUNK_BYTES: Final = 65_536
#: Largest body of a response, in bytes.
MAX_BODY_BYTES: Final = 16 * 2**20
#: Chunks that a body may have whatever their size; each costs processor time.
MAX_SMALL_CHUNKS: Final = 10_000
#: Least mean size of the chunks beyond these, in bytes.
MIN_CHUNK_BYTES: Final = 64
#: Largest rest of a response that is read so that its connection can be used again, in bytes.
MAX_DRAINED_BYTES: Final = 64 * 1024
#: Largest size of the lines of a head, or of those between or after the chunks, in bytes.
MAX_LINE_BYTES: Final = 256 * 1024
#: Header in which a target reports its load.
LOAD_HEADER: Final = "Damsonlane-Load"
#: Header with which a target announces that it is draining.
LEAVING_HEADER: Final = "Damsonlane-Leaving"
#: Header with which a target announces its rate limit, in requests a second from all boxes.
RATE_LIMIT_HEADER: Final = "Damsonlane-Rate-Limit"

#: Errors after which no byte of the request can have reached the target.
UNSENT_ERRORS: Final = (NewConnectionError, ConnectTimeoutError)
#: Errors after which the request may have reached the target.
SENT_ERRORS: Final = (HTTPError, OSError)


#: Statuses with which a target rejects a request without running it.
REJECTING_STATUSES: Final = frozenset({429, 503})
#: Status with which a target reports that it is overloaded itself.
OVERLOADED_STATUS: Final = 503


@dataclass(frozen=True, kw_only=True)
class TargetAnnouncement:
    """What a target announces in the headers of a response."""

    #: Seconds for which the target asks this box to back off.
    backoff_seconds: float = 0.0
    #: Whether the target is draining.
    is_draining: bool = False
    #: Rate limit in requests a second from all boxes together; None without a limit.
    rate_limit: float | None = None
    #: Whether the target accepted the request of this response.
    was_accepted: bool = True


class LateError(OSError):
    """The deadline of the attempt passed."""


class OversizedError(OSError):
    """A response is larger than any that is read."""


class CutOffError(OSError):
    """A response ended inside its head, the size of a chunk, or its trailers."""


class _LimitedFile(io.BufferedReader):
    """Fails a response whose head, sizes of chunks or trailers don't end, or are cut off.

    The libraries read such lines without regard to the deadline, and take the end of a connection
    for that of a head.
    """

    _line_bytes = 0

    def readline(self, size: int | None = -1, /) -> bytes:
        """Read a line.

        Raises:
            OversizedError: there are too many since the last part of a body.
            CutOffError: the connection ended before the end of the line.
        """
        line = super().readline(size)
        is_limited = size is not None and 0 <= size <= len(line)
        if not line.endswith(b"\n") and not is_limited:
            raise CutOffError("the connection ended in the middle of the head or between chunks")
        self._line_bytes += len(line)
        if self._line_bytes > MAX_LINE_BYTES:
            raise OversizedError("the head or the trailers are too large")
        return line

    def read(self, size: int | None = -1, /) -> bytes:
        """Read a part of a body."""
        self._line_bytes = 0
        return super().read(size)


class _LimitedResponse(http.client.HTTPResponse):
    def __init__(self, sock: socket.socket, *arguments: Any, **named: Any) -> None:
        super().__init__(sock, *arguments, **named)
        self.fp = _LimitedFile(self.fp.detach())


class _LimitedConnection(urllib3.connection.HTTPConnection):
    response_class = _LimitedResponse
    #: Limits the bodies that are collected on all connections.
    body_budget = BodyBudget()
    #: Responses read since it was opened.
    response_count = 0

    def connect(self) -> None:
        """Open the connection."""
        super().connect()
        self.response_count = 0


class _LimitedPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _LimitedConnection


class Connections:
    """A pool of connections for each address of a target.

    Args:
        budget: limits the bytes of responses that are collected; None for the default.
    """

    def __init__(self, budget: CollectionBudget | None = None) -> None:
        self._budget: Final = BodyBudget(budget)
        self._pools: dict[str, _LimitedPool] = {}
        self._lock = threading.Lock()

    def post(
        self, address: str, path: str, body: Mapping[str, object], deadline_at: float
    ) -> urllib3.BaseHTTPResponse:
        """Send a request once and return the response with its body unread.

        The retries of urllib3 are disabled: the caller decides whether a call may be retried.

        Args:
            address: address of the target.
            path: path of the request.
            body: JSON body of the request.
            deadline_at: deadline of the attempt, by the monotonic clock, in seconds.

        Raises:
            LateError: the deadline passed before the request was sent.
        """
        seconds = deadline_at - read_clock()
        if seconds <= 0:
            raise LateError("the deadline passed before the request was sent")
        timeout = urllib3.Timeout(connect=min(CONNECT_TIMEOUT_SECONDS, seconds), read=seconds)
        response = self._pool(address).urlopen(
            "POST",
            path,
            body=json.dumps(body).encode(),
            headers={"Content-Type": "application/json"},
            retries=False,
            redirect=False,
            timeout=timeout,
            preload_content=False,
            decode_content=False,
        )
        if isinstance(response.connection, _LimitedConnection):
            response.connection.response_count += 1
            response.connection.body_budget = self._budget
        return response

    def close(self) -> None:
        """Close all connections."""
        with self._lock:
            for pool in self._pools.values():
                pool.close()
            self._pools.clear()

    def _pool(self, address: str) -> _LimitedPool:
        with self._lock:
            pool = self._pools.get(address)
            if pool is None:
                endpoint = Endpoint.parse(address)
                pool = _LimitedPool(
                    endpoint.host, endpoint.port, maxsize=IDLE_CONNECTIONS, block=False
                )
                self._pools[address] = pool
            return pool


def read_chunks(
    response: urllib3.BaseHTTPResponse, deadline_at: float, most_bytes: int = MAX_BODY_BYTES
) -> Iterator[bytes]:
    """Yield the body of a response as it arrives.

    Raises:
        LateError: the deadline passed before the end of the body.
        OversizedError: the body is larger than allowed.
    """
    size = 0
    for count in itertools.count(1):
        remaining = deadline_at - read_clock()
        if remaining <= 0:
            raise LateError("the deadline passed while the answer arrived")
        open_socket = getattr(response.connection, "sock", None)
        if open_socket is not None:
            open_socket.settimeout(remaining)
        chunk = response.read1(CHUNK_BYTES)
        if not chunk:
            return
        size += len(chunk)
        if size > most_bytes:
            raise OversizedError(f"the body has more than {most_bytes} bytes")
        if count > MAX_SMALL_CHUNKS + size // MIN_CHUNK_BYTES:
            raise OversizedError("the body comes in too many small chunks")
        yield chunk


def read_body(response: urllib3.BaseHTTPResponse, deadline_at: float) -> bytes:
    """Return the whole body of a response.

    Raises:
        LateError: the deadline passed before the end of the body.
        OversizedError: the body, or the sum of those under way, is larger than allowed.
    """
    connection = response.connection
    if not isinstance(connection, _LimitedConnection):
        return b"".join(read_chunks(response, deadline_at))
    body = bytearray()
    with connection.body_budget.collect(connection.sock) as record:
        for chunk in read_chunks(response, deadline_at):
            body += chunk
            if not record(len(body)):
                raise OversizedError("the bodies under way take too much memory")
    return bytes(body)


def is_first_response(response: urllib3.BaseHTTPResponse) -> bool:
    """Return whether a response with its body unread is the first one on its connection."""
    connection = response.connection
    return isinstance(connection, _LimitedConnection) and connection.response_count == 1


def drain(response: urllib3.BaseHTTPResponse, deadline_at: float) -> bytes:
    """Read a short body and release its connection; close it if the body is large.

    Returns:
        The body; empty if it is large or cut off.
    """
    body = b""
    try:
        body = b"".join(read_chunks(response, deadline_at, MAX_DRAINED_BYTES))
    except (HTTPError, OSError):
        response.close()
    response.release_conn()
    return body


def read_announcement(response: urllib3.BaseHTTPResponse) -> TargetAnnouncement:
    """Return what a target announces in the headers of a response, besides its load."""
    headers = response.headers
    seconds = 0.0
    if response.status == OVERLOADED_STATUS:
        seconds = read_retry_after(headers.get("Retry-After"), headers.get("Date"))
    is_draining = headers.get(LEAVING_HEADER, "").strip() not in ("", "0")
    return TargetAnnouncement(
        backoff_seconds=seconds,
        is_draining=is_draining,
        rate_limit=read_rate_limit(headers.getlist(RATE_LIMIT_HEADER)),
        was_accepted=response.status not in REJECTING_STATUSES,
    )


def read_load(response: urllib3.BaseHTTPResponse) -> LoadReport | None:
    """Return the load that a target reported with a response, or None."""
    text = response.headers.get(LOAD_HEADER)
    if text is None:
        return None
    try:
        value = json.loads(text)
        return LoadReport(held=int(value["held"]), slots=int(value["slots"]))
    except (ValueError, KeyError, TypeError):
        return None
