"""Connections to targets, kept open between requests."""

import json
import threading
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Final

import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from damsonlane.routing import LoadReport
from damsonlane_rpc import Endpoint
from damsonlaned.clock import read_clock
from damsonlaned.http import read_rate_limit, read_retry_after

#: Idle connections kept for one target.
IDLE_CONNECTIONS: Final = 64
#: Longest time to connect, in seconds.
CONNECT_SECONDS: Final = 0.5
#: Bytes read at once.
CHUNK_BYTES: Final = 65_536
#: Header in which a target reports its load.
LOAD_HEADER: Final = "Damsonlane-Load"
#: Header by which a target says that it is leaving.
LEAVING_HEADER: Final = "Damsonlane-Leaving"
#: Header by which a target names the requests a second that it takes from all boxes.
RATE_LIMIT_HEADER: Final = "Damsonlane-Rate-Limit"

#: Raised when no byte of the request can have reached the target.
UNSENT_FAULTS: Final = (NewConnectionError, ConnectTimeoutError)
#: Raised when the request may have reached the target.
SENT_FAULTS: Final = (HTTPError, OSError)


#: Statuses by which a target refuses without running anything.
REFUSING_STATUSES: Final = frozenset({429, 503})
#: Status by which a target says that it is the one that has too much to do.
BUSY_STATUS: Final = 503


@dataclass(frozen=True, kw_only=True)
class TargetNotice:
    """What the head of an answer says of its target."""

    #: Seconds for which the target wants nothing from this box.
    backoff_seconds: float = 0.0
    #: Whether it leaves.
    is_leaving: bool = False
    #: Requests a second that it takes from all boxes together; None where it names no limit.
    rate_limit: float | None = None
    #: Whether it took the request that it answers.
    has_taken: bool = True


class LateError(OSError):
    """The time for the attempt is over."""


class Connections:
    """One pool of connections for each target address."""

    def __init__(self) -> None:
        self._pools: dict[str, urllib3.HTTPConnectionPool] = {}
        self._lock = threading.Lock()

    def post(
        self, address: str, path: str, body: Mapping[str, object], due_at: float
    ) -> urllib3.BaseHTTPResponse:
        """Send a request once and return the response with its body unread.

        The library's own retries stay off: whether a call may be sent again
        is decided elsewhere.
        """
        seconds = due_at - read_clock()
        if seconds <= 0:
            raise LateError("the deadline passed before the request was sent")
        timeout = urllib3.Timeout(connect=min(CONNECT_SECONDS, seconds), read=seconds)
        return self._pool(address).urlopen(
            "POST",
            path,
            body=json.dumps(body).encode(),
            headers={"Content-Type": "application/json"},
            retries=False,
            redirect=False,
            timeout=timeout,
            preload_content=False,
        )

    def close(self) -> None:
        """Close all connections."""
        with self._lock:
            for pool in self._pools.values():
                pool.close()
            self._pools.clear()

    def _pool(self, address: str) -> urllib3.HTTPConnectionPool:
        with self._lock:
            pool = self._pools.get(address)
            if pool is None:
                endpoint = Endpoint.parse(address)
                pool = urllib3.HTTPConnectionPool(
                    endpoint.host, endpoint.port, maxsize=IDLE_CONNECTIONS, block=False
                )
                self._pools[address] = pool
            return pool


def read_chunks(response: urllib3.BaseHTTPResponse, due_at: float) -> Iterator[bytes]:
    """Yield the body as it arrives, until its end.

    Raises:
        LateError: the time is over first.
    """
    while True:
        remaining = due_at - read_clock()
        if remaining <= 0:
            raise LateError("the deadline passed while the answer arrived")
        socket = getattr(response.connection, "sock", None)
        if socket is not None:
            socket.settimeout(remaining)
        chunk = response.read1(CHUNK_BYTES)
        if not chunk:
            return
        yield chunk


def read_notice(response: urllib3.BaseHTTPResponse) -> TargetNotice:
    """Return what an answer says of its target besides its load."""
    headers = response.headers
    seconds = 0.0
    if response.status == BUSY_STATUS:
        seconds = read_retry_after(headers.get("Retry-After"), headers.get("Date"))
    is_leaving = headers.get(LEAVING_HEADER, "").strip() not in ("", "0")
    return TargetNotice(
        backoff_seconds=seconds,
        is_leaving=is_leaving,
        rate_limit=read_rate_limit(headers.getlist(RATE_LIMIT_HEADER)),
        has_taken=response.status not in REFUSING_STATUSES,
    )


def read_load(response: urllib3.BaseHTTPResponse) -> LoadReport | None:
    """Return the load that a target reported with its answer, or None."""
    text = response.headers.get(LOAD_HEADER)
    if text is None:
        return None
    try:
        value = json.loads(text)
        return LoadReport(held=int(value["held"]), slots=int(value["slots"]))
    except (ValueError, KeyError, TypeError):
        return None
