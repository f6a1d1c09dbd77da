"""Load of this entry, and of the pools and engine services that it owns."""

import asyncio
import logging
from collections.abc import Callable, Mapping, Sequence
from typing import Final

from damsonlane.pools import OwnedWork
from damsonlane.targets import Shard
from damsonlaned.fairness import ShareReporter
from damsonlaned.gateway._owner_activity import OwnerActivity
from damsonlaned.gateway._pool_owners import PoolOwners
from damsonlaned.gateway._prompt_placer import PromptPlacers
from damsonlaned.gateway._shard_division import ShardDivision
from damsonlaned.gateway._view import FleetView
from damsonlaned.loop_load import LoopLoad
from damsonlaned.metrics import Metrics
from damsonlaned.tasks import start_task

_LOG: Final = logging.getLogger(__name__)

#: Seconds between samples of the load.
SAMPLE_SECONDS: Final = 0.25
#: Samples for each report.
SAMPLES_PER_REPORT: Final = 4
#: Share of its time from which a busy entry logs its load.
LOGGED_SHARE: Final = 0.2


class EntryLoad:
    """Samples the load of this entry, logs it while it is busy, and has its pools divided.

    Args:
        view: lists the targets of the pools.
        owners: the pools that this entry owns.
        placers: place the prompts of the engine services that this entry owns.
        division: requests that pools are divided.
        metrics: the metrics of the process.
        find_cores: returns the capacity of the box, in cores; 0 if unknown.
        on_load: called with the load once for each report.
        shares: logs and counts the work of organisations.
    """

    def __init__(
        self,
        view: FleetView,
        owners: PoolOwners,
        placers: PromptPlacers,
        division: ShardDivision,
        metrics: Metrics,
        find_cores: Callable[[], float],
        on_load: Callable[[float], None],
        shares: ShareReporter,
    ) -> None:
        self._find_cores: Final = find_cores
        self._on_load: Final = on_load
        self._shares: Final = shares
        self._view: Final = view
        self._owners: Final = owners
        self._placers: Final = placers
        self._division: Final = division
        self._metrics: Final = metrics
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start sampling."""
        self._task = start_task(self._run(), "samples of the load")

    async def stop(self) -> None:
        """Stop sampling."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._division.stop()

    async def _run(self) -> None:
        load = LoopLoad()
        loop = asyncio.get_running_loop()
        reported_at = loop.time()
        while True:
            for _ in range(SAMPLES_PER_REPORT):
                await asyncio.sleep(SAMPLE_SECONDS)
                share = load.sample(self._find_cores())
                self._metrics.loop_load.set({}, share)
            pools = self._owners.take_activities()
            now = loop.time()
            self._division.consider(share, self._list_works(pools, now - reported_at))
            reported_at = now
            self._on_load(share)
            usage = {**self._owners.take_usage(), **self._placers.take_usage()}
            self._shares.record(usage, now)
            if share >= LOGGED_SHARE:
                self._log(share, {**pools, **self._placers.take_activities()})

    def _list_works(
        self, activities: Mapping[Shard, OwnerActivity], seconds: float
    ) -> Sequence[OwnedWork]:
        """Return the pools that this entry has owned in the last seconds, with their work."""
        return [
            OwnedWork(
                shard=shard,
                pieces_per_second=activity.orders / seconds,
                shards=self._view.count_shards(shard.service),
                targets=len(self._view.open_targets_of(shard.service)),
            )
            for shard, activity in activities.items()
        ]

    def _log(self, share: float, activities: Mapping[Shard, OwnerActivity]) -> None:
        """Log the work of the last interval for each owned shard."""
        _LOG.info("entry load", extra={"load": round(share, 3)})
        for shard, activity in activities.items():
            if not activity.orders and not activity.searches:
                continue
            fields = {
                "service": shard.service,
                "shard": shard.index,
                "load": round(share, 3),
                "orders": activity.orders,
                "calls": activity.calls,
                "searches": activity.searches,
                "search_seconds": round(activity.search_seconds, 4),
                "waiting": self._owners.count_waiting(shard),
            }
            _LOG.info("owner load", extra=fields)
