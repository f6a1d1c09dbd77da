"""What the owner of one pool counts."""

from typing import Final

from damsonlane.pools import PieceFault
from damsonlaned.metrics import Metrics


class PoolMetrics:
    """Counts the pieces and calls of one pool.

    Args:
        service: the service whose targets form the pool.
        metrics: those of the process.
    """

    def __init__(self, service: str, metrics: Metrics) -> None:
        self._service: Final = service
        self._metrics: Final = metrics

    def note_call(self, seconds: float) -> None:
        """Note a call that ended, however it did."""
        self._metrics.pool_call_seconds.observe({"service": self._service}, seconds)

    def note_answer(self, fault: PieceFault | None) -> None:
        """Note a piece that was made, or the fault for which it was not."""
        self._count(fault or "made", 1)

    def note_turned_back(self, pieces: int) -> None:
        """Note pieces that a target had no room for; they are queued again."""
        self._count("no-room", pieces)

    def note_returned(self, pieces: int) -> None:
        """Note pieces that were returned since the pool has another owner."""
        self._count("returned", pieces)

    def _count(self, outcome: str, pieces: int) -> None:
        if pieces:
            labels = {"service": self._service, "outcome": outcome}
            self._metrics.pool_pieces.add(labels, pieces)
