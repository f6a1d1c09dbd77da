"""The clock of a box's processes: seconds since it booted, suspended time included."""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

Result = TypeVar("Result")

#: CLOCK_MONOTONIC stands still while the box is suspended, so what was due by it came late:
#: requests were kept beyond their deadline, and old state counted as new.
_CLOCK: Final = time.CLOCK_BOOTTIME


def read_clock() -> float:
    """Return the seconds since the box booted, suspended time included."""
    return time.clock_gettime(_CLOCK)


class BoxLoop(asyncio.SelectorEventLoop):
    """An event loop that counts suspended time.

    What fell due meanwhile runs as soon as anything wakes the loop; a replica and an entry
    hear of each other four times a second.
    """

    def time(self) -> float:
        """Return the time by the box's clock."""
        return read_clock()


def run(work: Coroutine[Any, Any, Result]) -> Result:
    """Run the work of a process to its end, in a loop with the box's clock."""
    with asyncio.Runner(loop_factory=BoxLoop) as runner:
        return runner.run(work)
