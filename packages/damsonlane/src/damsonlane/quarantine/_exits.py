"""Exits of targets with the requests that were interrupted: commands and stored records."""

import operator
from collections.abc import Collection
from dataclasses import replace
from typing import Annotated, Literal, Self

from pydantic import Field

from damsonlane.records import dataclass


@dataclass(frozen=True, kw_only=True)
class InterruptedRequest:
    """A request whose answer was interrupted when its target exited."""

    #: Fingerprint of the request; empty if it is known not to be the cause.
    fingerprint: str
    #: Seconds from sending it until the interruption.
    seconds: float
    #: Names of what it shares with other requests, those left out that are known not to be the
    #: cause.
    shared: Annotated[tuple[str, ...], Field(exclude_if=operator.not_)] = ()

    @property
    def names(self) -> tuple[str, ...]:
        """Names of all possible causes in it."""
        return (self.fingerprint, *self.shared) if self.fingerprint else self.shared

    def without(self, names: Collection[str]) -> Self:
        """Return it without some names."""
        if not any(name in names for name in self.names):
            return self
        return replace(
            self,
            fingerprint="" if self.fingerprint in names else self.fingerprint,
            shared=tuple(name for name in self.shared if name not in names),
        )

    def limit_shared(self, most: int) -> Self:
        """Return it with at most some names of what it shares."""
        return self if len(self.shared) <= most else replace(self, shared=self.shared[:most])


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
    #: Fingerprints of the requests, and names of what they share with others.
    fingerprints: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class ReleaseRequest:
    """Command of an operator: release a request, or a shared cause, from the quarantine."""

    kind: Literal["release-request"] = "release-request"
    #: Fingerprint of the request, or name of the cause.
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

    @property
    def names(self) -> frozenset[str]:
        """Names of everything that may have caused it."""
        return frozenset(name for run in self.runs for name in run.names)
