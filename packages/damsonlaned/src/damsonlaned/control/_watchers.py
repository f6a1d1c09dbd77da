"""Boxes that watch this replica for changes of settings."""

import asyncio
from typing import Final

from damsonlane.records import dataclass
from damsonlane_rpc import BoxStatus, WatchReport

#: Largest age of a report, in seconds, with which a box is listed in the status.
STATUS_MAX_AGE_SECONDS: Final = 60.0


@dataclass(frozen=True, kw_only=True)
class ReceivedReport:
    """The latest report of a box."""

    #: The report.
    report: WatchReport
    #: When it arrived, by the monotonic clock; from `Watchers.list_reports`, its age in seconds.
    at: float


class Watchers:
    """The latest report of each watching box, and the event that wakes their streams."""

    def __init__(self) -> None:
        self._reports: dict[str, ReceivedReport] = {}
        self._changed = asyncio.Event()

    def record(self, report: WatchReport, now: float) -> None:
        """Record a report of a box."""
        self._reports[report.box] = ReceivedReport(report=report, at=now)

    def list_reports(self, now: float) -> tuple[ReceivedReport, ...]:
        """Return the latest report of each box, with its age instead of its time."""
        return tuple(
            ReceivedReport(report=received.report, at=now - received.at)
            for received in self._reports.values()
        )

    def forget(self, box: str) -> None:
        """Forget a box that stopped reporting."""
        self._reports.pop(box, None)

    def statuses(self, now: float) -> tuple[BoxStatus, ...]:
        """Return the status of each box with a recent report, sorted by name."""
        known = sorted(self._reports.items())
        return tuple(
            BoxStatus(
                box=box,
                incarnation=received.report.incarnation,
                data_centre=received.report.data_centre,
                version=received.report.version,
                silent_seconds=round(now - received.at, 3),
            )
            for box, received in known
            if now - received.at < STATUS_MAX_AGE_SECONDS
        )

    def notify_all(self) -> None:
        """Wake all streams after a change of the state."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self) -> None:
        """Wait for the next change of the state."""
        await self._changed.wait()
