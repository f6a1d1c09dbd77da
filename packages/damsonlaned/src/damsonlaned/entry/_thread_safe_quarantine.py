"""Requests that end targets, as the callers' threads ask and tell of them."""

import asyncio
import concurrent.futures
import logging
from typing import Final

from damsonlane.quarantine import BrokenRun, HeldRequest
from damsonlaned.quarantine import (
    LOOK_AGAIN_SECONDS,
    LostTarget,
    Quarantine,
    refuses_connections,
)
from damsonlaned.tasks import start_task

_LOG: Final = logging.getLogger(__name__)

#: Seconds for which a thread waits until it is known whether a target ended, and control told.
TELL_SECONDS: Final = 0.5


class ThreadQuarantine:
    """Carries what callers' threads ask and tell to the loop of the process.

    Args:
        quarantine: used on the running loop.
    """

    def __init__(self, quarantine: Quarantine) -> None:
        self._quarantine: Final = quarantine
        self._loop: Final = asyncio.get_running_loop()

    def find_held(self, fingerprint: str) -> HeldRequest | None:
        """Return a request as it is held, or None if it may go to targets."""
        # Only whole lists, which are never changed, are read here, so any thread may.
        return self._quarantine.find_held(fingerprint)

    def note_broken(self, lost: LostTarget, run: BrokenRun) -> None:
        """Have it found out whether a target ended under a request, and control told."""
        future = asyncio.run_coroutine_threadsafe(self._note_broken(lost, run), self._loop)
        try:
            future.result(TELL_SECONDS)
        except concurrent.futures.TimeoutError:
            _LOG.info("not known in time whether a target ended", extra={"target": lost.target})

    def note_served(self, fingerprint: str) -> None:
        """Note a request that was served to a good end."""
        self._loop.call_soon_threadsafe(self._quarantine.note_served, fingerprint)

    async def stop(self) -> None:
        """Tell control no more."""
        await self._quarantine.stop()

    async def _note_broken(self, lost: LostTarget, run: BrokenRun) -> None:
        if await refuses_connections(lost.address):
            await self._take_end(lost, run)
        else:
            start_task(self._look_later(lost, run), "looking for a target again")

    async def _look_later(self, lost: LostTarget, run: BrokenRun) -> None:
        """Look once more: a process that ends may still listen for a moment."""
        await asyncio.sleep(LOOK_AGAIN_SECONDS)
        if await refuses_connections(lost.address):
            await self._take_end(lost, run)

    async def _take_end(self, lost: LostTarget, run: BrokenRun) -> None:
        fields = {"target": lost.target, "address": lost.address}
        _LOG.warning("target ended", extra={**fields, "fingerprints": [run.fingerprint]})
        self._quarantine.take_end(lost, (run,))
        await self._quarantine.settle(run.fingerprint)
