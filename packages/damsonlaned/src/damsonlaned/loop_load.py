"""Load of the event loop of this process."""

import asyncio
import math
import time
from typing import Final

from damsonlaned.clock import BootTimeEventLoop

#: Time constant of the moving average, in seconds: shorter than a load peak, longer than one
#: call to a pool.
AVERAGE_SECONDS: Final = 1.0


class LoopLoad:
    """Moving average of the share of time in which the event loop is busy.

    It includes the time for which the box delays the process, so it reaches 1 when the box is full,
    whatever share of a processor the process may use. A box that may use less than one core is
    full earlier, when the process uses the processor time of the box.

    Args:
        average_seconds: time constant of the average, in seconds.
        share: the share to begin with.
    """

    def __init__(self, average_seconds: float = AVERAGE_SECONDS, share: float = 0.0) -> None:
        self._average_seconds: Final = average_seconds
        self._share = share
        self._sampled_at = asyncio.get_running_loop().time()
        self._idle_seconds = _read_idle_seconds()
        self._used_seconds = time.process_time()

    def sample(self, cores: float = 0.0) -> float:
        """Add the time since the last sample, and return the share: 0 for idle, 1 for full.

        Args:
            cores: what the box may use, in cores; 0 if unknown.
        """
        now = asyncio.get_running_loop().time()
        idle = _read_idle_seconds()
        elapsed = now - self._sampled_at
        if elapsed <= 0:
            return self._share
        used = time.process_time()
        busy = 1.0 - (idle - self._idle_seconds) / elapsed
        if 0 < cores < 1:
            busy = max(busy, (used - self._used_seconds) / elapsed / cores)
        busy = min(1.0, max(0.0, busy))
        weight = 1.0 - math.exp(-elapsed / self._average_seconds)
        self._share += weight * (busy - self._share)
        self._sampled_at = now
        self._idle_seconds = idle
        self._used_seconds = used
        return self._share


def _read_idle_seconds() -> float:
    """Return the idle seconds of the running loop; another kind of loop counts as idle."""
    loop = asyncio.get_running_loop()
    return loop.idle_seconds() if isinstance(loop, BootTimeEventLoop) else loop.time()
