"""Targets that ended, with what broke off there: commands and what they leave behind."""

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, kw_only=True)
class BrokenRun:
    """A request that a target had when its answer broke off."""

    #: Fingerprint of the request.
    fingerprint: str
    #: Seconds from its sending until it broke off.
    seconds: float


@dataclass(frozen=True, kw_only=True)
class NoteTargetEnd:
    """A target ended while it had requests."""

    kind: Literal["note-target-end"] = "note-target-end"
    #: Name of the target.
    target: str
    #: Its start, in milliseconds since 1970; 0 where targets don't tell.
    start: int
    #: Whether a later start has the same name and tells no start, so that ends are told apart
    #: by when they came.
    is_name_kept: bool = False
    #: The requests that one box had there.
    runs: tuple[BrokenRun, ...]
    #: When control was told, in seconds since 1970.
    at: float = 0.0


@dataclass(frozen=True, kw_only=True)
class NoteSurvived:
    """Targets served requests to a good end, so these end no targets."""

    kind: Literal["note-survived"] = "note-survived"
    #: Fingerprints of the requests.
    fingerprints: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class ReleaseRequest:
    """An operator wants a request sent to targets again."""

    kind: Literal["release-request"] = "release-request"
    #: Fingerprint of the request.
    fingerprint: str
    #: Who asks.
    operator: str
    #: When it was asked, in seconds since 1970.
    at: float


@dataclass(frozen=True, kw_only=True)
class ForgetTargetEnds:
    """Ends of long ago say nothing any more."""

    kind: Literal["forget-target-ends"] = "forget-target-ends"
    #: Ends before this are forgotten, in seconds since 1970.
    before: float


@dataclass(frozen=True, kw_only=True)
class TargetEnd:
    """One start of a target that ended, with all requests that it had."""

    #: Name of the target.
    target: str
    #: Its start, in milliseconds since 1970; negative where none is told: when it ended.
    start: int
    #: When control was told first, in seconds since 1970.
    at: float
    #: The requests, each once.
    runs: tuple[BrokenRun, ...]

    @property
    def identity(self) -> tuple[str, int]:
        """Name and start."""
        return (self.target, self.start)

    def has(self, fingerprint: str) -> bool:
        """Tell whether it had a request."""
        return any(run.fingerprint == fingerprint for run in self.runs)
