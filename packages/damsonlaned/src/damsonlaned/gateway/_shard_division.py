"""Requests that control divides the services whose owners are overloaded."""

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import Final

from damsonlane.errors import UnavailableError
from damsonlane.pools import DivisionPolicy, OwnedWork
from damsonlane.targets import DivideService
from damsonlane_rpc import ControlClient
from damsonlaned.tasks import start_task

_LOG: Final = logging.getLogger(__name__)

#: Time-out of a request, over all control replicas, in seconds.
SUBMIT_TIMEOUT_SECONDS: Final = 2.0


class ShardDivision:
    """Decides by the load of this entry and sends the requests.

    Args:
        client: calls the leader of control.
        read_clock: returns the monotonic time, in seconds.
    """

    def __init__(self, client: ControlClient, read_clock: Callable[[], float]) -> None:
        self._client: Final = client
        self._read_clock: Final = read_clock
        self._policy: Final = DivisionPolicy()
        self._task: asyncio.Task[None] | None = None

    def consider(self, load: float, works: Sequence[OwnedWork]) -> None:
        """Request a division if the load asks for one.

        Args:
            load: share of its time in which this entry is busy.
            works: the shards that this entry owns.
        """
        command = self._policy.decide(self._read_clock(), load, works)
        if command is not None:
            self._task = start_task(self._submit(command, load), "division of a service")

    async def stop(self) -> None:
        """Cancel a request."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _submit(self, command: DivideService, load: float) -> None:
        fields = {
            "service": command.service,
            "expected": command.expected,
            "shards": command.shards,
            "load": round(load, 3),
        }
        try:
            await self._client.submit([command], SUBMIT_TIMEOUT_SECONDS)
        except UnavailableError as error:
            # The service stays as it is; the next sample of the load asks again.
            _LOG.info("service not divided", extra={**fields, "fault": str(error)})
            return
        _LOG.info("service divided", extra=fields)
