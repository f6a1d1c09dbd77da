"""Boxes that watch this replica for settings."""

import asyncio
from dataclasses import dataclass
from typing import Final

from damsonlane_rpc import BoxStatus, WatchReport

#: Seconds after which a silent box is left out of reports.
FORGET_SECONDS: Final = 60.0


@dataclass(frozen=True, kw_only=True)
class _Sighting:
    report: WatchReport
    at: float


class Watchers:
    """The latest report of each box, and the signal that wakes their streams."""

    def __init__(self) -> None:
        self._sightings: dict[str, _Sighting] = {}
        self._changed = asyncio.Event()

    def note(self, report: WatchReport, now: float) -> None:
        """Note a box's report."""
        self._sightings[report.box] = _Sighting(report=report, at=now)

    def statuses(self, now: float) -> tuple[BoxStatus, ...]:
        """Return what is known of boxes that were heard lately."""
        known = sorted(self._sightings.items())
        return tuple(
            BoxStatus(
                box=box,
                incarnation=sighting.report.incarnation,
                data_centre=sighting.report.data_centre,
                version=sighting.report.version,
                silent_seconds=round(now - sighting.at, 3),
            )
            for box, sighting in known
            if now - sighting.at < FORGET_SECONDS
        )

    def announce(self) -> None:
        """Wake every stream: there are newer settings."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self) -> None:
        """Wait for the next announcement."""
        await self._changed.wait()
