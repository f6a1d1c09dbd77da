"""Exceptions of damsonlane."""

from collections.abc import Sequence

from damsonlane.findings import Finding


class DamsonlaneError(Exception):
    """Base class of all exceptions; the message can be shown to an operator."""


class SettingsError(DamsonlaneError):
    """Settings are invalid; all findings are reported together.

    Attributes:
        findings: all faults with their places, in the order found.
    """

    def __init__(self, findings: Sequence[Finding]) -> None:
        self.findings = tuple(findings)
        super().__init__("\n".join(finding.render() for finding in self.findings))


class StorageError(DamsonlaneError):
    """The data folder cannot be used."""


class CorruptionError(StorageError):
    """Stored data that was acknowledged is damaged.

    Attributes:
        file: path of the damaged file.
        offset: byte offset of the damaged frame in that file.
    """

    def __init__(self, file: str, offset: int, reason: str) -> None:
        self.file = file
        self.offset = offset
        super().__init__(
            f"{file}: damaged at byte {offset}: {reason}; "
            "remove this replica and admit it again with an empty folder"
        )


class UnavailableError(DamsonlaneError):
    """Control could not confirm a reply; the outcome of a change is unknown."""


class NotLeaderError(UnavailableError):
    """This replica is not the leader.

    Attributes:
        leader: address of the leader, or an empty string if it is not known.
    """

    def __init__(self, leader: str) -> None:
        self.leader = leader
        super().__init__(f"not the leader; ask {leader or 'another control replica'}")


class UnsupportedSettingsError(UnavailableError):
    """Control accepted settings that this process cannot read, since its version is older."""


class GroupChangeError(DamsonlaneError):
    """A change of the control group is not allowed at the moment."""
