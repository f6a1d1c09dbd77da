"""Changes of the settings tree, and their replies."""

from typing import Literal

from damsonlane.findings import Finding
from damsonlane.records import dataclass
from damsonlane.settings import Edit


@dataclass(frozen=True, kw_only=True)
class ChangeSettings:
    """Change the settings tree if it still has the expected version."""

    kind: Literal["change-settings"] = "change-settings"
    #: Change id, chosen by the operator's command; a resend carries the same one.
    change: str
    #: Version of the tree that the edits are based on.
    expected_version: int
    #: Name of the operator who requests the change.
    operator: str
    #: Time of the request, in seconds since 1970.
    at: float
    #: Edits to apply.
    edits: tuple[Edit, ...]


@dataclass(frozen=True, kw_only=True)
class AcceptedChange:
    """An accepted change, as stored in the history."""

    #: Version that it produced.
    version: int
    #: Its change id.
    change: str
    #: Name of the operator who requested it.
    operator: str
    #: Time of the request, in seconds since 1970.
    at: float
    #: Edits that were applied.
    edits: tuple[Edit, ...]


@dataclass(frozen=True, kw_only=True)
class ChangeAccepted:
    """Reply: the change was accepted."""

    kind: Literal["change-accepted"] = "change-accepted"
    #: Version that it produced.
    version: int


@dataclass(frozen=True, kw_only=True)
class ChangeConflict:
    """Reply: the expected version is not the current one."""

    kind: Literal["change-conflict"] = "change-conflict"
    #: Version in force.
    version: int
    #: The change that produced it, or None if the history is empty.
    winner: AcceptedChange | None


@dataclass(frozen=True, kw_only=True)
class ChangeRefused:
    """Reply: the edits fail or the changed tree is invalid."""

    kind: Literal["change-refused"] = "change-refused"
    #: All findings.
    findings: tuple[Finding, ...]


ChangeReply = ChangeAccepted | ChangeConflict | ChangeRefused
