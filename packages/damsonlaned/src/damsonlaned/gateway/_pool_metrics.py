"""The metrics of one pool, recorded by its owner."""

from typing import Final

from damsonlane.pools import PieceFault
from damsonlaned.metrics import Metrics


class PoolMetrics:
    """Counts the pieces and measures the calls of one pool.

    Args:
        service: the service whose targets form the pool.
        metrics: the metrics of the process.
    """

    def __init__(self, service: str, metrics: Metrics) -> None:
        self._service: Final = service
        self._metrics: Final = metrics

    def record_call(self, seconds: float) -> None:
        """Record the duration of a call, whatever its outcome."""
        self._metrics.pool_call_seconds.observe({"service": self._service}, seconds)

    def record_outcome(self, fault: PieceFault | None) -> None:
        """Count a piece that was answered, by its fault if there is one."""
        self._count(fault or "made", 1)

    def record_out_of_memory(self, pieces: int) -> None:
        """Count pieces for which a target lacked result memory; they are queued again."""
        self._count("no-room", pieces)

    def record_returned(self, pieces: int) -> None:
        """Count pieces that were returned because the pool has a new owner."""
        self._count("returned", pieces)

    def _count(self, outcome: str, pieces: int) -> None:
        if pieces:
            labels = {"service": self._service, "outcome": outcome}
            self._metrics.pool_pieces.add(labels, pieces)
