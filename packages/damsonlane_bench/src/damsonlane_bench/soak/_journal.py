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
class ReadBack:
    """A version that control answered with."""

    #: The version that was acknowledged before the question.
    acknowledged: int
    #: The version in the answer.
    answered: int


class RunJournal:
    """Collects what is seen, from many threads."""

    def __init__(self) -> None:
        self._lock: Final = threading.Lock()
        #: Answers of all callers.
        self.answers: Final[list[Answer]] = []
        #: What the operator read back.
        self.read_back: Final[list[ReadBack]] = []
        #: Times at which a fault began or ended, in seconds since 1970.
        self.disturbed_at: Final[list[float]] = []
        #: Processes that ended though nobody ended them.
        self.own_ends: Final[list[str]] = []

    def note_answer(self, answer: Answer) -> None:
        """Note what a caller got."""
        with self._lock:
            self.answers.append(answer)

    def note_read_back(self, read: ReadBack) -> None:
        """Note what the operator read."""
        with self._lock:
            self.read_back.append(read)

    def note_disturbance(self) -> None:
        """Note that a fault begins or ends now."""
        with self._lock:
            self.disturbed_at.append(time.time())


def read_target_runs(logs: Iterable[Path]) -> Iterator[TargetRun]:
    """Yield what targets ran, from their logs."""
    for log in logs:
        for line in log.read_text(encoding="utf-8", errors="replace").splitlines():
            if line.startswith('{"ran"'):
                fields = json.loads(line)
                yield TargetRun(
                    request=str(fields["ran"]),
                    is_deadly=bool(fields["deadly"]),
                    at=float(fields["at"]),
                )
