"""What callers, targets and the operator saw in one run."""

import json
import threading
import time
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Final


@dataclass(frozen=True, kw_only=True)
class Answer:
    """What a caller got."""

    #: Id of the request.
    request: str
    #: Its route.
    route: str
    #: The status; 0 where none came.
    status: int
    #: Whether the answer ended as its head said.
    is_whole: bool
    #: Its body.
    body: str


@dataclass(frozen=True, kw_only=True)
class TargetRun:
    """A request that a target began to run."""

    #: Id of the request.
    request: str
    #: Whether the target did not survive it.
    is_deadly: bool
    #: When, in seconds since 1970.
    at: float


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """A request that came to a target, and what its sender was told of the target."""

    #: Id of the request; empty for calls to pools, which belong to several.
    request: str
    #: Name of the target, another one after each start.
    target: str
    #: Seconds of rest that it asked for; 0 for none.
    rest: float
    #: Whether it said that it leaves.
    is_leaving: bool
    #: When, in seconds since 1970.
    at: float

    @property
    def entry(self) -> str:
        """Entry that sent it, which callers name in their ids; empty where it is not known."""
        return self.request.partition("@")[2]


@dataclass(frozen=True, kw_only=True)
class Naming:
    """What the head of an answer said of its target's rate limit."""

    #: Id of the request; empty for calls to pools.
    request: str
    #: Name of the target, another one after each start.
    target: str
    #: Requests a second that it named; None for no limit.
    rate: float | None
    #: When, in seconds since 1970.
    at: float

    @property
    def entry(self) -> str:
        """Entry that was told; empty where it is not known."""
        return self.request.partition("@")[2]


@dataclass(frozen=True, kw_only=True)
class ReadBack:
    """A version that control answered with."""

    #: The version that was acknowledged before the question.
    acknowledged: int
    #: The version in the answer.
    answered: int


@dataclass(frozen=True, kw_only=True)
class Disturbance:
    """A fault that began or ended."""

    #: Name of the process that it happened to.
    process: str
    #: When, in seconds since 1970.
    at: float


class RunJournal:
    """Collects what is seen, from many threads."""

    def __init__(self) -> None:
        self._lock: Final = threading.Lock()
        #: Answers of all callers.
        self.answers: Final[list[Answer]] = []
        #: What the operator read back.
        self.read_back: Final[list[ReadBack]] = []
        #: Faults that began or ended.
        self.disturbances: Final[list[Disturbance]] = []
        #: Processes that ended though nobody ended them.
        self.own_ends: Final[list[str]] = []
        #: Requests that came to targets; read from their logs once the run is over.
        self.arrivals: Final[list[Arrival]] = []
        #: What targets named as their rate limits; read from their logs as well.
        self.namings: Final[list[Naming]] = []

    def note_answer(self, answer: Answer) -> None:
        """Note what a caller got."""
        with self._lock:
            self.answers.append(answer)

    def note_read_back(self, read: ReadBack) -> None:
        """Note what the operator read."""
        with self._lock:
            self.read_back.append(read)

    def note_disturbance(self, *processes: str) -> None:
        """Note that a fault begins or ends now at some processes."""
        now = time.time()
        with self._lock:
            self.disturbances.extend(Disturbance(process=name, at=now) for name in processes)


def read_arrivals(logs: Iterable[Path]) -> Iterator[Arrival]:
    """Yield what came to targets, from their logs."""
    for line in _read_lines(logs):
        if line.startswith('{"came"'):
            fields = json.loads(line)
            yield Arrival(
                request=str(fields["came"]),
                target=str(fields["target"]),
                rest=float(fields["rest"]),
                is_leaving=bool(fields["leaves"]),
                at=float(fields["at"]),
            )


def read_namings(logs: Iterable[Path]) -> Iterator[Naming]:
    """Yield what targets named as their rate limits, from their logs."""
    for line in _read_lines(logs):
        if line.startswith('{"named"'):
            fields = json.loads(line)
            yield Naming(
                request=str(fields["named"]),
                target=str(fields["target"]),
                rate=fields["rate"],
                at=float(fields["at"]),
            )


def read_target_runs(logs: Iterable[Path]) -> Iterator[TargetRun]:
    """Yield what targets ran, from their logs."""
    for line in _read_lines(logs):
        if line.startswith('{"ran"'):
            fields = json.loads(line)
            yield TargetRun(
                request=str(fields["ran"]),
                is_deadly=bool(fields["deadly"]),
                at=float(fields["at"]),
            )


def _read_lines(logs: Iterable[Path]) -> Iterator[str]:
    for log in logs:
        yield from log.read_text(encoding="utf-8", errors="replace").splitlines()
