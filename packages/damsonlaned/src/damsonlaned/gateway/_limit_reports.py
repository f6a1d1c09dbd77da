"""Reports to control which targets announced rate limits, for control to notify all boxes."""

import asyncio
import logging
from typing import Final

from damsonlane.backoff import TargetIncarnation
from damsonlane.errors import UnavailableError
from damsonlane.ratelimit import RateLimitReport
from damsonlane_rpc import ControlClient, PermitBatchRequest
from damsonlaned.gateway._view import FleetView
from damsonlaned.tasks import start_task

_LOG: Final = logging.getLogger(__name__)

#: Seconds for which changes are collected into one call.
BATCH_SECONDS: Final = 0.1
#: Timeout of one report in seconds, over all control replicas.
REPORT_TIMEOUT_SECONDS: Final = 2.0
#: Seconds between attempts while control is unreachable.
RETRY_SECONDS: Final = 0.5


class LimitReports:
    """Reports to control the rate limits of targets whose services this entry owns.

    Args:
        view: the announced rate limits, whichever box received them.
        client: calls the leader of control.
    """

    def __init__(self, view: FleetView, client: ControlClient) -> None:
        self._view: Final = view
        self._client: Final = client
        self._waiting: dict[TargetIncarnation, RateLimitReport] = {}
        self._task: asyncio.Task[None] | None = None
        view.limits.on_update(self._enqueue)

    async def stop(self) -> None:
        """Stop reporting."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def _enqueue(self, report: RateLimitReport) -> None:
        record = self._view.find_target(report.named.target)
        if record is None or not self._view.limits.is_owned(record.service, report.named):
            return
        self._waiting[report.named] = report
        if self._task is None or self._task.done():
            self._task = start_task(self._send_reports(), "reporting rate limits to control")

    async def _send_reports(self) -> None:
        while self._waiting:
            await asyncio.sleep(BATCH_SECONDS)
            reports = tuple(self._waiting.values())
            try:
                await self._client.request_permits(
                    PermitBatchRequest(words=reports), REPORT_TIMEOUT_SECONDS
                )
            except UnavailableError as error:
                _LOG.info("rate limits not reported to control", extra={"fault": str(error)})
                await asyncio.sleep(RETRY_SECONDS)
                continue
            sent = {report.named: report for report in reports}
            self._waiting = {
                incarnation: report
                for incarnation, report in self._waiting.items()
                if sent.get(incarnation) is not report
            }
