"""Changes of the settings tree, and what control answers to them."""

from dataclasses import dataclass
from typing import Literal

from damsonlane.findings import Finding
from damsonlane.settings import Edit


@dataclass(frozen=True, kw_only=True)
class ChangeSettings:
    """Change the settings tree if it still has the expected version."""

    kind: Literal["change-settings"] = "change-settings"
    #: Chosen by the operator's command; a resend carries the same.
    change: str
    #: Version on which the edits were made.
    expected_version: int
    #: Who asks.
    operator: str
    #: When it was asked, in seconds since 1970.
    at: float
    #: What to change.
    edits: tuple[Edit, ...]


@dataclass(frozen=True, kw_only=True)
class AcceptedChange:
    """A change that took effect, as the history keeps it."""

    #: Version that it made.
    version: int
    #: Its change id.
    change: str
    #: Who asked.
    operator: str
    #: When it was asked, in seconds since 1970.
    at: float
    #: What it changed.
    edits: tuple[Edit, ...]


@dataclass(frozen=True, kw_only=True)
class ChangeAccepted:
    """The change took effect."""

    kind: Literal["change-accepted"] = "change-accepted"
    #: Version that it made.
    version: int


@dataclass(frozen=True, kw_only=True)
class ChangeConflict:
    """Another change came first."""

    kind: Literal["change-conflict"] = "change-conflict"
    #: Version now in force.
    version: int
    #: The change that made it, or None when it is no longer in the history.
    winner: AcceptedChange | None


@dataclass(frozen=True, kw_only=True)
class ChangeRefused:
    """The changed tree would be wrong."""

    kind: Literal["change-refused"] = "change-refused"
    #: All that is wrong.
    findings: tuple[Finding, ...]


ChangeReply = ChangeAccepted | ChangeConflict | ChangeRefused
