"""When a target has read the inputs that it was sent the handles of."""

import asyncio
from collections.abc import Callable
from typing import Final

#: Seconds after the sending of a call until its inputs count as read.  A full call of
#: the first users' pools reads 4 MB, 4 ms on their links; the rest is for the way there
#: and a target that is slow to begin.  Results given up before they were read cost their
#: request its stages anew; with 0.1 s the room for results bound the pools (policy.md).
READ_SECONDS: Final = 0.05


class ReadTimer:
    """Tells that the inputs of a call were read, unless the call ends before.

    Args:
        tell: called once they count as read.
    """

    def __init__(self, tell: Callable[[], None]) -> None:
        self._tell: Final = tell
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to wait, once the call was sent."""
        self._timer = asyncio.get_running_loop().call_later(READ_SECONDS, self._tell)

    def cancel(self) -> None:
        """Tell nothing any more."""
        if self._timer is not None:
            self._timer.cancel()
