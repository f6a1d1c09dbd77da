"""Reads the software versions of services as the leader of control confirms them."""

import asyncio
import logging
from typing import Final

from damsonlane.errors import UnavailableError
from damsonlane_rpc import ControlClient, VersionsView

_LOG: Final = logging.getLogger(__name__)

#: Time-outs of a read and of one attempt at one replica, in seconds: callers wait for it.
READ_SECONDS: Final = 0.5
ATTEMPT_SECONDS: Final = 0.25


class VersionReader:
    """Reads versions that include every change accepted before the read.

    Reads that are requested while one is under way share the next one: the one under way may have
    been answered before.

    Args:
        control: calls the leader of control.
    """

    def __init__(self, control: ControlClient) -> None:
        self._control: Final = control
        self._current: asyncio.Task[VersionsView | None] | None = None
        self._next: asyncio.Task[VersionsView | None] | None = None

    async def read(self) -> VersionsView | None:
        """Return the versions of all services and of the routing document.

        None if no leader confirms them in time.
        """
        if self._next is None:
            self._next = asyncio.create_task(self._read_after(self._current))
        return await asyncio.shield(self._next)

    async def stop(self) -> None:
        """Stop reading."""
        tasks = [task for task in (self._current, self._next) if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _read_after(
        self, earlier: asyncio.Task[VersionsView | None] | None
    ) -> VersionsView | None:
        if earlier is not None:
            await asyncio.wait({earlier})
        self._current, self._next = self._next, None
        try:
            return await self._control.read_versions(READ_SECONDS, attempt_seconds=ATTEMPT_SECONDS)
        except UnavailableError as error:
            _LOG.info("versions not confirmed", extra={"fault": str(error)})
            return None
