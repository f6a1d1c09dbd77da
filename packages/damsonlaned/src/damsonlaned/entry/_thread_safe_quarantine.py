"""Access of callers' threads to the quarantine of requests under which targets exit."""

import asyncio
import concurrent.futures
import logging
from typing import Final

from damsonlane.quarantine import InterruptedRequest, QuarantinedRequest
from damsonlaned.quarantine import (
    SECOND_PROBE_SECONDS,
    LostTarget,
    Quarantine,
    refuses_connections,
)
from damsonlaned.tasks import start_task

_LOG: Final = logging.getLogger(__name__)

#: Seconds for which a thread waits until it is known whether a target exited, and until an exit
#: is reported to control.
REPORT_TIMEOUT_SECONDS: Final = 0.5


class ThreadSafeQuarantine:
    """Gives callers' threads access to a quarantine on the event loop of the process.

    Args:
        quarantine: the quarantine, used on the running loop.
    """

    def __init__(self, quarantine: Quarantine) -> None:
        self._quarantine: Final = quarantine
        self._loop: Final = asyncio.get_running_loop()

    def find_quarantined(self, fingerprint: str) -> QuarantinedRequest | None:
        """Return the record of a quarantined request, or None if it may be sent to targets."""
        # Any thread may read: lists are replaced as a whole and never modified.
        return self._quarantine.find_quarantined((fingerprint,))

    def report_interrupted(self, lost: LostTarget, run: InterruptedRequest) -> None:
        """Find out whether a target exited under a request, and report an exit to control."""
        future = asyncio.run_coroutine_threadsafe(self._check_exit(lost, run), self._loop)
        try:
            future.result(REPORT_TIMEOUT_SECONDS)
        except concurrent.futures.TimeoutError:
            _LOG.info(
                "could not determine in time whether a target exited", extra={"target": lost.target}
            )

    def record_served(self, fingerprint: str) -> None:
        """Record a request that was served successfully."""
        self._loop.call_soon_threadsafe(self._quarantine.record_served, (fingerprint,))

    async def stop(self) -> None:
        """Stop reporting to control."""
        await self._quarantine.stop()

    async def _check_exit(self, lost: LostTarget, run: InterruptedRequest) -> None:
        if await refuses_connections(lost.address):
            await self._record_exit(lost, run)
        else:
            start_task(self._probe_later(lost, run), "probing a target again")

    async def _probe_later(self, lost: LostTarget, run: InterruptedRequest) -> None:
        """Probe once more: a process that exits may still listen for a moment."""
        await asyncio.sleep(SECOND_PROBE_SECONDS)
        if await refuses_connections(lost.address):
            await self._record_exit(lost, run)

    async def _record_exit(self, lost: LostTarget, run: InterruptedRequest) -> None:
        fields = {"target": lost.target, "address": lost.address}
        _LOG.warning("target exited", extra={**fields, "fingerprints": [run.fingerprint]})
        self._quarantine.record_exit(lost, (run,))
        await self._quarantine.wait_until_reported((run.fingerprint,))
