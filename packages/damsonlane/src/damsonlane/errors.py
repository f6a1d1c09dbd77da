"""Every exception that damsonlane raises on purpose, in one tree."""

from collections.abc import Sequence

from damsonlane.findings import Finding


class DamsonlaneError(Exception):
    """Root of the tree; its text is fit to be shown to an operator."""


class SettingsError(DamsonlaneError):
    """Settings were refused; all findings are reported together.

    Attributes:
        findings: what is wrong, each with its place, in the order found.
    """

    def __init__(self, findings: Sequence[Finding]) -> None:
        self.findings = tuple(findings)
        super().__init__("\n".join(finding.render() for finding in self.findings))


class StorageError(DamsonlaneError):
    """The data folder cannot be used."""


class CorruptionError(StorageError):
    """Stored bytes that were acknowledged have been damaged.

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
    """Control could not confirm an answer; the outcome of a change is unknown."""


class NotLeaderError(UnavailableError):
    """This replica does not lead.

    Attributes:
        leader: address of the leader where it is known, else an empty string.
    """

    def __init__(self, leader: str) -> None:
        self.leader = leader
        super().__init__(f"not the leader; ask {leader or 'another control replica'}")


class NotUnderstoodError(UnavailableError):
    """Control accepted settings that this process, being older, can't read."""


class AgreementError(DamsonlaneError):
    """A change of the control group is not allowed now."""
