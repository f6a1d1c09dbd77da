"""Chooses the shard of a pool that computes a stage."""

import asyncio
import random
from typing import Final

from damsonlane.targets import Shard
from damsonlaned.gateway._reported_waits import ReportedWaits
from damsonlaned.gateway._view import FleetView


class ShardChoice:
    """Chooses the one with the shorter reported queueing time of two shards.

    Two shards are drawn, with the number of their targets as weights.  If every entry chose the
    shortest queue of all, they would all choose the same one until its next report.  For a stage
    that should run in one data centre, only the targets there count.

    Args:
        view: lists the shards.
        waits: the reported queueing times.
    """

    def __init__(self, view: FleetView, waits: ReportedWaits) -> None:
        self._view: Final = view
        self._waits: Final = waits

    def choose(self, service: str, priority: int, home: str = "") -> Shard:
        """Return the shard for a stage; shard 0 if no shard has a target.

        Args:
            service: the service whose targets compute the stage.
            priority: priority of the request.
            home: data centre where the stage should run, or an empty string.
        """
        shards = self._view.list_shards(service)
        if len(shards) < 2:
            return shards[0].shard if shards else Shard(service=service)
        now = asyncio.get_running_loop().time()
        weights = [shard.targets_by_data_centre.get(home, 0) for shard in shards]
        if not any(weights):
            weights = [shard.targets for shard in shards]
        drawn = random.choices(shards, weights=weights, k=2)
        return min(
            (size.shard for size in drawn),
            key=lambda shard: self._waits.seconds(shard, priority, now),
        )

    def estimate_wait_seconds(self, service: str, priority: int) -> float:
        """Return the mean of the reported queueing times of a service's shards for a priority."""
        shards = self._view.list_shards(service)
        now = asyncio.get_running_loop().time()
        if not shards:
            return self._waits.seconds(Shard(service=service), priority, now)
        waits = [self._waits.seconds(size.shard, priority, now) for size in shards]
        return sum(waits) / len(waits)
