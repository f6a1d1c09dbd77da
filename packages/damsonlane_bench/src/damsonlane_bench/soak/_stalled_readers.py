"""Callers that stop reading in the middle of a large stream, and the checks of their effects."""

import http.client
import itertools
import random
import socket
from bisect import bisect_left, bisect_right
from collections.abc import Iterator, Sequence
from threading import Event, Thread
from typing import Final

from damsonlane_bench.registered_target._events import (
    LARGE_INPUT,
    render_stream,
    strip_versions,
)
from damsonlane_bench.routes_document import CALLER_KEY
from damsonlane_bench.routes_fleet import RoutesFleet
from damsonlane_bench.soak._guarantees import guarantee
from damsonlane_bench.soak._observations import Observations, StalledRead, TargetRun

#: Number of these callers: with one, the budget of an entry never holds the bytes of two of them.
READER_COUNT: Final = 3
#: Bytes after which a caller stops, and the seconds for which it does: less and more than the 3 s
#: after which an entry disconnects it, and up to twice as long.
_MAX_BYTES_BEFORE: Final = 400_000
_MIN_STALL_SECONDS: Final = 0.5
_MAX_STALL_SECONDS: Final = 7.0
#: Buffer of its socket, so that the kernel takes little of the stream while the caller stops.
_SOCKET_BYTES: Final = 16384
_CHUNK_BYTES: Final = 16384
_TIMEOUT_SECONDS: Final = 6.0
#: Longest time that a target may wait for one event to be taken: entries disconnect callers after
#: 3 s, and 2 s are for busy machines.
MAX_WAIT_SECONDS: Final = 5.0
#: Longest time until another caller's request without a stream is answered: its deadline of 4 s,
#: and 1.5 s for busy machines.
MAX_RESPONSE_SECONDS: Final = 5.5
#: Seconds without a fault after which an entry must answer in time.
SETTLING_SECONDS: Final = 3.0


class StalledReader:
    """Thread that requests large streams and stops reading each of them for a while.

    Args:
        fleet: whose entries it calls.
        observations: records what it read.
        name: part of the ids of its requests.
        seed: seed of its random choices.
    """

    def __init__(
        self, fleet: RoutesFleet, observations: Observations, name: str, seed: int
    ) -> None:
        self._fleet: Final = fleet
        self._observations: Final = observations
        self._name: Final = name
        self._randomness: Final = random.Random(f"{name} {seed}")
        self._stopped: Final = Event()
        self._thread: Final = Thread(target=self._run, name=name)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread once its last stream has ended."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        for number in itertools.count():
            if self._stopped.wait(0.1):
                return
            entry = self._randomness.choice(self._fleet.entries)
            self._observations.record_stalled_read(
                self._read(entry, f"chat-{self._name}-{number}@{entry}")
            )

    def _read(self, entry: str, request: str) -> StalledRead:
        """Request a stream, read a part of it, stop, and read the rest."""
        before = self._randomness.randrange(_MAX_BYTES_BEFORE)
        stall_seconds = self._randomness.uniform(_MIN_STALL_SECONDS, _MAX_STALL_SECONDS)
        host, _, port = self._fleet.addresses[f"{entry}/front"].rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=_TIMEOUT_SECONDS)
        headers = {
            "Host": "shop.example",
            "Authorization": f"Bearer {CALLER_KEY}",
            "Damsonlane-Request-Id": request,
            "Damsonlane-Deadline-Ms": "15000",
            "Damsonlane-Pieces": "1,1",
            "Damsonlane-Material-Key": "soak",
        }
        status, body, is_complete = 0, bytearray(), False
        try:
            connection.sock = _connect(host, int(port))
            connection.request("POST", "/chat/a", body=LARGE_INPUT.encode(), headers=headers)
            response = connection.getresponse()
            status = response.status
            has_stalled = False
            while chunk := response.read1(_CHUNK_BYTES):
                body += chunk
                if len(body) >= before and not has_stalled:
                    has_stalled = True
                    self._stopped.wait(stall_seconds)
            is_complete = response.isclosed()
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        return StalledRead(
            request=request, status=status, is_complete=is_complete, body=body.decode()
        )


def _connect(host: str, port: int) -> socket.socket:
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SOCKET_BYTES)
    connection.settimeout(_TIMEOUT_SECONDS)
    try:
        connection.connect((host, port))
    except OSError:
        connection.close()
        raise
    return connection


@guarantee("a caller that stops reading receives only its own stream")
def _check_stalled_reads(observations: Observations, runs: Sequence[TargetRun]) -> Iterator[str]:
    ran = {run.request for run in runs}
    for read in observations.stalled_reads:
        if read.status != 200:
            continue
        expected = render_stream(read.request)
        if read.request not in ran:
            yield f"{read.request} was answered but never ran"
        body = strip_versions(read.body)
        if not expected.startswith(body):
            yield f"{read.request} has bytes of another stream, or misses some"
        elif read.is_complete and body != expected:
            yield f"{read.request} ended normally after {len(body)} of {len(expected)} bytes"


@guarantee("a caller that stops reading does not hold up its target")
def _check_target_waits(observations: Observations, runs: Sequence[TargetRun]) -> Iterator[str]:
    for wait in observations.target_waits:
        service = wait.target.rpartition("-")[0]
        has_fault = any(
            wait.at - wait.seconds - SETTLING_SECONDS <= event.at <= wait.at
            and (event.process == wait.entry or event.process.rpartition("-")[0] == service)
            for event in observations.fault_events
        )
        if wait.seconds > MAX_WAIT_SECONDS and not has_fault:
            yield f"{wait.target} waited {wait.seconds:.1f} s for {wait.request}"


@guarantee("a caller without a stream is not held up")
def _check_response_times(observations: Observations, runs: Sequence[TargetRun]) -> Iterator[str]:
    fault_times: dict[str, list[float]] = {}
    for event in sorted(observations.fault_events, key=lambda event: event.at):
        fault_times.setdefault(event.process, []).append(event.at)
    for response in observations.responses:
        times = fault_times.get(response.request.partition("@")[2], [])
        began_at = response.at - response.seconds - SETTLING_SECONDS
        has_fault = bisect_left(times, began_at) != bisect_right(times, response.at)
        if response.route != "chat" and response.seconds > MAX_RESPONSE_SECONDS and not has_fault:
            yield f"{response.request} took {response.seconds:.1f} s, status {response.status}"
