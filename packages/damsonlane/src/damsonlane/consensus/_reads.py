"""Reads that wait until a quorum confirms the leadership."""

from damsonlane.consensus._output import ReadReady
from damsonlane.records import dataclass


@dataclass(frozen=True, kw_only=True)
class _WaitingRead:
    round: int
    reference: int


class WaitingReads:
    """Pending reads, each with the confirmation round that it waits for."""

    def __init__(self) -> None:
        self._waiting: list[_WaitingRead] = []

    def add(self, number: int, reference: int) -> None:
        """Add a read that waits for a round."""
        self._waiting.append(_WaitingRead(round=number, reference=reference))

    def take_confirmed(self, confirmed: int, index: int) -> list[ReadReady]:
        """Remove and return the reads whose rounds are confirmed, to run at ``index``."""
        ready = [read for read in self._waiting if read.round <= confirmed]
        self._waiting = [read for read in self._waiting if read.round > confirmed]
        return [ReadReady(reference=read.reference, index=index) for read in ready]

    def take_all(self) -> list[int]:
        """Remove all reads and return their references."""
        references = [read.reference for read in self._waiting]
        self._waiting.clear()
        return references
