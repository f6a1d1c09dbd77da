"""Request permits for rate-limited targets from control, for callers' threads."""

import asyncio
import concurrent.futures
import logging
from typing import Final

from damsonlane.errors import UnavailableError
from damsonlane.ratelimit import Permit, RateLimitReport
from damsonlane_rpc import ControlClient, PermitBatchRequest
from damsonlaned.tasks import start_task

_LOG: Final = logging.getLogger(__name__)

#: Time-out of a permit request to control, in seconds; the leader answers from memory.
REQUEST_TIMEOUT_SECONDS: Final = 0.2
#: Time-out of a report to control, in seconds, over all replicas.
REPORT_TIMEOUT_SECONDS: Final = 2.0


class PermitClient:
    """Passes permit requests of callers' threads to the event loop of the process.

    Args:
        client: client of control, used on the running loop.
    """

    def __init__(self, client: ControlClient) -> None:
        self._client: Final = client
        self._loop: Final = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()

    def report(self, report: RateLimitReport) -> None:
        """Report a rate limit that a target announced, without waiting."""
        self._loop.call_soon_threadsafe(self._start_report, report)

    def request_permits(self, request: PermitBatchRequest) -> tuple[Permit, ...] | None:
        """Return the permits that control issues, or None if it does not answer in time."""
        call = self._client.request_permits(request, REQUEST_TIMEOUT_SECONDS)
        future = asyncio.run_coroutine_threadsafe(call, self._loop)
        try:
            return future.result(2 * REQUEST_TIMEOUT_SECONDS)
        except (UnavailableError, concurrent.futures.TimeoutError) as error:
            fields = {"service": request.service, "fault": str(error) or type(error).__name__}
            _LOG.warning("no permit received in time", extra=fields)
            return None

    def _start_report(self, report: RateLimitReport) -> None:
        task = start_task(self._send_report(report), "reporting a rate limit to control")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_report(self, report: RateLimitReport) -> None:
        try:
            await self._client.request_permits(
                PermitBatchRequest(words=(report,)), REPORT_TIMEOUT_SECONDS
            )
        except UnavailableError as error:
            # The next permit request reports it, and so does the next response that announces it.
            _LOG.info("rate limit not reported to control", extra={"fault": str(error)})
