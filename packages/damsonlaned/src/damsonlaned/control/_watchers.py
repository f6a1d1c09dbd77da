"""Boxes that watch this replica for settings."""

import asyncio
from dataclasses import dataclass
from typing import Final

from damsonlane_rpc import BoxStatus, WatchReport

#: Seconds after which a silent box is left out of reports.
FORGET_SECONDS: Final = 60.0


@dataclass(frozen=True, kw_only=True)
class Sighting:
    """A report of a box."""

    #: What it said.
    report: WatchReport
    #: When, by the monotonic clock; in copies handed out, how many seconds ago.
    at: float


class Watchers:
    """The latest report of each box, and the signal that wakes their streams."""

    def __init__(self) -> None:
        self._sightings: dict[str, Sighting] = {}
        self._changed = asyncio.Event()

    def note(self, report: WatchReport, now: float) -> None:
        """Note a box's report."""
        self._sightings[report.box] = Sighting(report=report, at=now)

    def sightings(self, now: float) -> tuple[Sighting, ...]:
        """Return the latest report of each box with its age."""
        return tuple(
            Sighting(report=sighting.report, at=now - sighting.at)
            for sighting in self._sightings.values()
        )

    def forget(self, box: str) -> None:
        """Forget a box that fell silent."""
        self._sightings.pop(box, None)

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
