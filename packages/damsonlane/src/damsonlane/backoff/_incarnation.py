"""One start of a target."""

from dataclasses import dataclass
from typing import Self

from damsonlane.targets import TargetRecord


@dataclass(frozen=True, kw_only=True)
class TargetStart:
    """One start of a target: what it said of itself says nothing of its next one."""

    #: Its name.
    target: str
    #: Its address.
    address: str
    #: When it started, in Unix milliseconds; 0 where it does not say.
    start: int = 0

    @classmethod
    def of(cls, record: TargetRecord) -> Self:
        """Return the start that a record is of."""
        return cls(target=record.target, address=record.address, start=record.start)
