"""Estimate when a target has read the inputs whose handles it was sent."""

import asyncio
from collections.abc import Callable
from typing import Final

#: Seconds after a call was sent until its inputs are assumed to be read.  Too short, results are
#: released before they are read and the stages are recomputed; too long, result memory limits the
#: throughput of the pools (policy.md).  A full call of the first users' pools reads 4 MB, which
#: takes 4 ms on their links; the rest is for the network and a target that is slow to begin.
READ_SECONDS: Final = 0.05


class InputReadTimer:
    """Reports the inputs of a call as read after a delay, unless the call ends before.

    Args:
        on_read: called once they are assumed to be read.
    """

    def __init__(self, on_read: Callable[[], None]) -> None:
        self._on_read: Final = on_read
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start the timer, once the call was sent."""
        self._timer = asyncio.get_running_loop().call_later(READ_SECONDS, self._on_read)

    def cancel(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
