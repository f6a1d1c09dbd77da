"""Load that a stand-in reports: requests in progress, slots, and how long its work takes now."""

import itertools
from typing import Final

#: Percentage of the usual duration that a slow target reports, and by which its work takes longer.
SLOW_PERCENT: Final = 250
#: Percentage that a target reports at its usual speed.
USUAL_PERCENT: Final = 100
#: What follows the first three numbers in implausible loads, in the order of their use.  The last
#: one makes five numbers, so the whole header is malformed.
IMPLAUSIBLE_ENDINGS: Final = ("0", "-1", "1e9", "nan", "100,1")


class ReportedLoad:
    """Load of one stand-in; its periods of slowness and of implausible reports end independently.

    Args:
        slots: number of requests that it reports to serve at a time.
    """

    def __init__(self, slots: int) -> None:
        self._slots: Final = slots
        self._endings: Final = itertools.cycle(IMPLAUSIBLE_ENDINGS)
        self._implausible_ending = ""
        self._percent = USUAL_PERCENT
        #: Requests in progress.
        self.running = 0

    @property
    def slowness(self) -> float:
        """Factor by which work takes longer than usual."""
        return self._percent / USUAL_PERCENT

    @property
    def is_implausible(self) -> bool:
        """Whether the reports are implausible at the moment."""
        return bool(self._implausible_ending)

    def begin_slow_period(self) -> None:
        """Work more slowly from now on."""
        self._percent = SLOW_PERCENT

    def end_slow_period(self) -> None:
        """Work at the usual speed from now on."""
        self._percent = USUAL_PERCENT

    def begin_implausible_reports(self) -> None:
        """Send the next implausible ending in each report from now on."""
        self._implausible_ending = next(self._endings)

    def end_implausible_reports(self) -> None:
        """Send plausible reports from now on."""
        self._implausible_ending = ""

    def render(self) -> str:
        """Return the value of the header."""
        running = min(self.running, self._slots)
        waiting = self.running - running
        return f"{running},{waiting},{self._slots},{self._implausible_ending or self._percent}"
