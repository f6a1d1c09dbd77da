"""Load of the event loop of this process."""

import asyncio
import math
from typing import Final

from damsonlaned.clock import BootTimeEventLoop

#: Time constant of the moving average, in seconds: shorter than a load peak, longer than one
#: call to a pool.
AVERAGE_SECONDS: Final = 1.0


class LoopLoad:
    """Moving average of the share of time in which the event loop is busy.

    It includes the time for which the box delays the process, so it reaches 1 when the box is full,
    whatever share of a processor the process may use.
    """

    def __init__(self) -> None:
        self._share = 0.0
        self._sampled_at = asyncio.get_running_loop().time()
        self._idle_seconds = _read_idle_seconds()

    def sample(self) -> float:
        """Add the time since the last sample, and return the share: 0 for idle, 1 for full."""
        now = asyncio.get_running_loop().time()
        idle = _read_idle_seconds()
        elapsed = now - self._sampled_at
        if elapsed <= 0:
            return self._share
        busy = min(1.0, max(0.0, 1.0 - (idle - self._idle_seconds) / elapsed))
        weight = 1.0 - math.exp(-elapsed / AVERAGE_SECONDS)
        self._share += weight * (busy - self._share)
        self._sampled_at = now
        self._idle_seconds = idle
        return self._share


def _read_idle_seconds() -> float:
    """Return the idle seconds of the running loop; another kind of loop counts as idle."""
    loop = asyncio.get_running_loop()
    return loop.idle_seconds() if isinstance(loop, BootTimeEventLoop) else loop.time()
