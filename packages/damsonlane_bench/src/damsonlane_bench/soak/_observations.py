"""Observations of callers, targets and the operator during one soak run."""

import json
import threading
import time
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Final


@dataclass(frozen=True, kw_only=True)
class CallerResponse:
    """Response that a caller received."""

    #: Id of the request.
    request: str
    #: Route of the request.
    route: str
    #: HTTP status; 0 if no response arrived.
    status: int
    #: Whether the body arrived completely by the framing that its head announced.
    is_complete: bool
    #: Body, as far as it arrived.
    body: str
    #: Time from the request to the end of the response, in seconds.
    seconds: float = 0.0
    #: End of the response, in seconds since the epoch.
    at: float = 0.0
    #: Organisation of the caller; empty for requests that organisations are not compared by.
    organisation: str = ""


@dataclass(frozen=True, kw_only=True)
class StalledRead:
    """Large stream that a caller stopped reading for a while."""

    #: Id of the request.
    request: str
    #: HTTP status; 0 if no response arrived.
    status: int
    #: Whether the body arrived completely by the framing that its head announced.
    is_complete: bool
    #: Body, as far as it arrived.
    body: str


@dataclass(frozen=True, kw_only=True)
class ResumedStream:
    """Stream that a caller broke off and tried to resume, at several entries."""

    #: Id of the attempt that brought its first event.
    request: str
    #: Events of all attempts, one after the other.
    body: str
    #: Whether the last attempt ended normally.
    is_complete: bool
    #: Number of further attempts that were accepted, and that were refused.
    resumed: int
    refused: int
    #: Number of attempts before the first event that were refused.
    refused_first: int = 0


@dataclass(frozen=True, kw_only=True)
class TargetWait:
    """Time for which a target waited until one event of a stream was taken."""

    #: Id of the request.
    request: str
    #: Name of the target, a new one for each incarnation.
    target: str
    #: Length of the wait, in seconds.
    seconds: float
    #: End of the wait, in seconds since the epoch.
    at: float

    @property
    def entry(self) -> str:
        """Entry that received the stream, as the id of the request says."""
        return self.request.partition("@")[2]


@dataclass(frozen=True, kw_only=True)
class TargetRun:
    """Request that a target began to run."""

    #: Id of the request.
    request: str
    #: Whether the target exits while running it.
    is_crash: bool
    #: Begin of the run, in seconds since the epoch.
    at: float


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """Request that arrived at a target, and what the target announced in its response."""

    #: Id of the request; empty for calls to pools, which serve several requests.
    request: str
    #: Name of the target, a new one for each incarnation.
    target: str
    #: Back-off that the target requested, in seconds; 0 for none.
    backoff_seconds: float
    #: Whether the target announced that it is draining.
    is_draining: bool
    #: When the target handled it, in seconds since the epoch.
    at: float
    #: Seconds for which a cut held it back before that.
    held_seconds: float = 0.0
    #: Entry that sent it, where targets find that out; a request may have been passed on.
    sender: str = ""

    @property
    def sent_at(self) -> float:
        """When it was sent, apart from its way."""
        return self.at - self.held_seconds

    @property
    def entry(self) -> str:
        """Entry that sent the request, or that its caller sent it to; empty if unknown."""
        return self.sender or self.request.partition("@")[2]


@dataclass(frozen=True, kw_only=True)
class RateLimitAnnouncement:
    """Rate limit that the head of a response announced."""

    #: Id of the request; empty for calls to pools.
    request: str
    #: Name of the target, a new one for each incarnation.
    target: str
    #: Rate limit in requests per second; None if there was none or its value was invalid.
    rate: float | None
    #: Time of the response, in seconds since the epoch.
    at: float

    @property
    def entry(self) -> str:
        """Entry that received the response; empty if unknown."""
        return self.request.partition("@")[2]


@dataclass(frozen=True, kw_only=True)
class VersionRead:
    """Version of the routing document that a control replica returned."""

    #: Newest version that was acknowledged before the read.
    acknowledged: int
    #: Version that the read returned.
    returned: int


@dataclass(frozen=True, kw_only=True)
class FaultEvent:
    """Begin or end of a fault at one process."""

    #: Name of the process.
    process: str
    #: Time of the event, in seconds since the epoch.
    at: float


class Observations:
    """Collects the observations of one run; its methods are thread-safe."""

    def __init__(self) -> None:
        self._lock: Final = threading.Lock()
        #: Responses that callers received.
        self.responses: Final[list[CallerResponse]] = []
        #: Large streams that callers stopped reading.
        self.stalled_reads: Final[list[StalledRead]] = []
        #: Streams that callers resumed.
        self.resumed_streams: Final[list[ResumedStream]] = []
        #: Waits of targets; read from their logs after the run.
        self.target_waits: Final[list[TargetWait]] = []
        #: Versions that the operator read.
        self.version_reads: Final[list[VersionRead]] = []
        #: Begins and ends of faults.
        self.fault_events: Final[list[FaultEvent]] = []
        #: Descriptions of control replicas and entries that exited although no fault stopped them.
        self.unexpected_exits: Final[list[str]] = []
        #: Requests that arrived at targets; read from their logs after the run.
        self.arrivals: Final[list[Arrival]] = []
        #: Rate limits that targets announced; read from their logs after the run.
        self.rate_limits: Final[list[RateLimitAnnouncement]] = []

        #: Number of targets each time that they announced a limit of rejections.
        self.rejection_limits: Final[list[int]] = []
        #: Targets that failed since they rejected too much; read from their logs after the run.
        self.falls = 0

    def record_response(self, response: CallerResponse) -> None:
        """Record a response that a caller received."""
        with self._lock:
            self.responses.append(response)

    def record_stalled_read(self, read: StalledRead) -> None:
        """Record a large stream that a caller stopped reading."""
        with self._lock:
            self.stalled_reads.append(read)

    def record_resumed_stream(self, stream: ResumedStream) -> None:
        """Record a stream that a caller resumed."""
        with self._lock:
            self.resumed_streams.append(stream)

    def record_version_read(self, version_read: VersionRead) -> None:
        """Record a version that the operator read."""
        with self._lock:
            self.version_reads.append(version_read)

    def record_fault_events(self, *processes: str) -> None:
        """Record that a fault begins or ends now at some processes."""
        now = time.time()
        with self._lock:
            self.fault_events.extend(FaultEvent(process=name, at=now) for name in processes)


def read_arrivals(logs: Iterable[Path]) -> Iterator[Arrival]:
    """Yield the requests that arrived at targets, from the logs of the targets."""
    for line in _read_lines(logs):
        if line.startswith('{"came"'):
            fields = json.loads(line)
            yield Arrival(
                request=str(fields["came"]),
                target=str(fields["target"]),
                backoff_seconds=float(fields["rest"]),
                is_draining=bool(fields["leaves"]),
                at=float(fields["at"]),
                held_seconds=float(fields.get("held", 0.0)),
                sender=str(fields.get("from", "")),
            )


def read_rate_limits(logs: Iterable[Path]) -> Iterator[RateLimitAnnouncement]:
    """Yield the rate limits that targets announced, from the logs of the targets."""
    for line in _read_lines(logs):
        if line.startswith('{"named"'):
            fields = json.loads(line)
            yield RateLimitAnnouncement(
                request=str(fields["named"]),
                target=str(fields["target"]),
                rate=fields["rate"],
                at=float(fields["at"]),
            )


def read_target_runs(logs: Iterable[Path]) -> Iterator[TargetRun]:
    """Yield the requests that targets began to run, from the logs of the targets."""
    for line in _read_lines(logs):
        if line.startswith('{"ran"'):
            fields = json.loads(line)
            yield TargetRun(
                request=str(fields["ran"]),
                is_crash=bool(fields["deadly"]),
                at=float(fields["at"]),
            )


def read_target_waits(logs: Iterable[Path]) -> Iterator[TargetWait]:
    """Yield the waits of targets for events to be taken, from the logs of the targets."""
    for line in _read_lines(logs):
        if line.startswith('{"waited"'):
            fields = json.loads(line)
            yield TargetWait(
                request=str(fields["waited"]),
                target=str(fields["target"]),
                seconds=float(fields["seconds"]),
                at=float(fields["at"]),
            )


def count_load_reports(logs: Iterable[Path]) -> tuple[int, int]:
    """Return the number of reports of slowness and of implausible loads, from the targets' logs."""
    reports = [json.loads(line) for line in _read_lines(logs) if line.startswith('{"load"')]
    implausible = sum(bool(report["implausible"]) for report in reports)
    return len(reports) - implausible, implausible


def count_falls(logs: Iterable[Path]) -> int:
    """Return how often targets failed since they rejected too much, from their logs."""
    return sum(line.startswith('{"fell"') for line in _read_lines(logs))


def _read_lines(logs: Iterable[Path]) -> Iterator[str]:
    for log in logs:
        yield from log.read_text(encoding="utf-8", errors="replace").splitlines()
