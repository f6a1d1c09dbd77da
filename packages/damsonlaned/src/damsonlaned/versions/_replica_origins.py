"""Where event streams began, as a control replica remembers it for boxes that are lost."""

import asyncio
from collections.abc import Iterable
from typing import Final

from damsonlane.versions import (
    MAX_REPLICA_ORIGINS,
    MIN_RETENTION_SECONDS,
    OriginTable,
    StreamOrigin,
)
from damsonlaned.metrics import Metrics


class ReplicaOrigins:
    """Keeps origins in memory, uncommitted: several replicas hold each, and none is changed later.

    Args:
        metrics: metrics of the process.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics: Final = metrics
        self._table: Final = OriginTable(MAX_REPLICA_ORIGINS)

    def record_told(self, origins: Iterable[StreamOrigin], retention_seconds: float) -> None:
        """Record origins that a box told, and forget those that it does not remember any more."""
        now = asyncio.get_running_loop().time()
        for origin in origins:
            self._table.record(origin, now)
        self._table.remove_older(now - max(MIN_RETENTION_SECONDS, retention_seconds))
        self._metrics.kept_origins.set({}, len(self._table))

    def find_here(self, attempt: str) -> StreamOrigin | None:
        """Return an origin that this replica knows, or None."""
        return self._table.find(attempt)
