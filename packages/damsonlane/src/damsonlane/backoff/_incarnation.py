"""One incarnation of a target."""

from typing import Self

from damsonlane.records import dataclass
from damsonlane.targets import TargetRecord


@dataclass(frozen=True, kw_only=True)
class TargetIncarnation:
    """One incarnation of a target; what it announced does not apply to the next one."""

    #: Name of the target.
    target: str
    #: Address of the target.
    address: str
    #: Start time in Unix milliseconds; 0 if the target does not report one.
    start: int = 0

    @classmethod
    def of(cls, record: TargetRecord) -> Self:
        """Return the incarnation that a record describes."""
        return cls(target=record.target, address=record.address, start=record.start)
