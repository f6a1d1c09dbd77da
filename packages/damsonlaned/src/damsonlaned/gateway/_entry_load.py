"""Load of this entry, and of the pools and engine services that it owns."""

import asyncio
import logging
from typing import Final

from damsonlaned.gateway._pool_owners import PoolOwners
from damsonlaned.gateway._prompt_placer import PromptPlacers
from damsonlaned.loop_load import LoopLoad
from damsonlaned.metrics import Metrics
from damsonlaned.tasks import start_task

_LOG: Final = logging.getLogger(__name__)

#: Seconds between samples of the load.
SAMPLE_SECONDS: Final = 0.25
#: Samples for each log line.
SAMPLES_PER_LINE: Final = 4
#: Share of its time from which a busy entry logs its load.
LOGGED_SHARE: Final = 0.2


class EntryLoad:
    """Samples the load of this entry and logs it while the entry is busy.

    Args:
        owners: the pools that this entry owns.
        placers: place the prompts of the engine services that this entry owns.
        metrics: the metrics of the process.
    """

    def __init__(self, owners: PoolOwners, placers: PromptPlacers, metrics: Metrics) -> None:
        self._owners: Final = owners
        self._placers: Final = placers
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

    async def _run(self) -> None:
        load = LoopLoad()
        while True:
            for _ in range(SAMPLES_PER_LINE):
                await asyncio.sleep(SAMPLE_SECONDS)
                self._metrics.loop_load.set({}, load.sample())
            self._log(load.sample())

    def _log(self, share: float) -> None:
        """Log the work of the last interval for each owned service, if the entry is busy."""
        activities = {**self._owners.take_activities(), **self._placers.take_activities()}
        if share < LOGGED_SHARE:
            return
        _LOG.info("entry load", extra={"load": round(share, 3)})
        for service, activity in activities.items():
            if not activity.orders and not activity.searches:
                continue
            fields = {
                "service": service,
                "load": round(share, 3),
                "orders": activity.orders,
                "calls": activity.calls,
                "searches": activity.searches,
                "search_seconds": round(activity.search_seconds, 4),
                "waiting": self._owners.count_waiting(service),
            }
            _LOG.info("owner load", extra=fields)
