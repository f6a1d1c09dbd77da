"""Exits of targets with the requests that were interrupted: commands and stored records."""

from typing import Literal

from damsonlane.records import dataclass


@dataclass(frozen=True, kw_only=True)
class InterruptedRequest:
    """A request whose answer was interrupted when its target exited."""

    #: Fingerprint of the request.
    fingerprint: str
    #: Seconds from sending it until the interruption.
    seconds: float


@dataclass(frozen=True, kw_only=True)
class RecordTargetExit:
    """Command: record that a target exited while it had requests."""

    kind: Literal["note-target-end"] = "note-target-end"
    #: Name of the target.
    target: str
    #: Its start, in milliseconds since 1970; 0 where targets don't report it.
    start: int
    #: Whether a later incarnation has the same name and reports no start, so that exits are told
    #: apart by their time.
    is_name_kept: bool = False
    #: The requests that one box had in progress there.
    runs: tuple[InterruptedRequest, ...]
    #: When it was reported to control, in seconds since 1970.
    at: float = 0.0


@dataclass(frozen=True, kw_only=True)
class RecordServed:
    """Command: record that targets served requests, so that these are not the cause of exits."""

    kind: Literal["note-survived"] = "note-survived"
    #: Fingerprints of the requests.
    fingerprints: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class ReleaseRequest:
    """Command of an operator: release a request from the quarantine."""

    kind: Literal["release-request"] = "release-request"
    #: Fingerprint of the request.
    fingerprint: str
    #: Who asks.
    operator: str
    #: When it was asked, in seconds since 1970.
    at: float


@dataclass(frozen=True, kw_only=True)
class ForgetTargetExits:
    """Command: remove old exits."""

    kind: Literal["forget-target-ends"] = "forget-target-ends"
    #: Exits before this time are removed, in seconds since 1970.
    before: float


@dataclass(frozen=True, kw_only=True)
class TargetExit:
    """The exit of one incarnation of a target, with the requests in progress there."""

    #: Name of the target.
    target: str
    #: Its start, in milliseconds since 1970.  Where none is reported, the negated time of the
    #: exit.
    start: int
    #: When it was first reported to control, in seconds since 1970.
    at: float
    #: The requests, each once.
    runs: tuple[InterruptedRequest, ...]

    @property
    def identity(self) -> tuple[str, int]:
        """Name and start of the incarnation."""
        return (self.target, self.start)

    def has(self, fingerprint: str) -> bool:
        """Return whether a request was in progress there."""
        return any(run.fingerprint == fingerprint for run in self.runs)
