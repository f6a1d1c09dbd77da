"""Reads that wait until a quorum confirms that the leader still leads."""

from dataclasses import dataclass

from damsonlane.agreement._output import ReadReady


@dataclass(frozen=True, kw_only=True)
class _WaitingRead:
    round: int
    reference: int


class WaitingReads:
    """Reads by the confirmation round that was started for them."""

    def __init__(self) -> None:
        self._waiting: list[_WaitingRead] = []

    def add(self, number: int, reference: int) -> None:
        """Let a read wait for a round."""
        self._waiting.append(_WaitingRead(round=number, reference=reference))

    def take_confirmed(self, confirmed: int, index: int) -> list[ReadReady]:
        """Take the reads whose rounds are confirmed; the state must have reached ``index``."""
        ready = [read for read in self._waiting if read.round <= confirmed]
        self._waiting = [read for read in self._waiting if read.round > confirmed]
        return [ReadReady(reference=read.reference, index=index) for read in ready]

    def take_all(self) -> list[int]:
        """Take the references of all reads, which fail."""
        references = [read.reference for read in self._waiting]
        self._waiting.clear()
        return references
