"""The clock of a box: seconds since it booted, including time while it was suspended."""

import asyncio
import selectors
import time
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

Result = TypeVar("Result")

#: CLOCK_MONOTONIC stops while the box is suspended: with it, requests would be kept beyond their
#: deadline, and stale state would count as fresh.
_CLOCK: Final = time.CLOCK_BOOTTIME


def read_clock() -> float:
    """Return the seconds since the box booted, including time while it was suspended."""
    return time.clock_gettime(_CLOCK)


class _IdleTimer(selectors.DefaultSelector):
    """A selector that measures how long the event loop waits for events."""

    def __init__(self) -> None:
        super().__init__()
        self.idle_seconds = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events, and add the time that it took."""
        began_at = read_clock()
        try:
            return super().select(timeout)
        finally:
            self.idle_seconds += read_clock() - began_at


class BootTimeEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose time includes time while the box was suspended.

    Timers that expire while the box is suspended run as soon as an event wakes the loop; the
    messages between replicas and entries do so four times a second.
    """

    def __init__(self) -> None:
        self._idle_timer: Final = _IdleTimer()
        super().__init__(self._idle_timer)

    def idle_seconds(self) -> float:
        """Return the seconds for which the loop has waited for events so far."""
        return self._idle_timer.idle_seconds

    def time(self) -> float:
        """Return the time by the clock of the box, in seconds."""
        return read_clock()


def run(work: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine to completion in an event loop with the clock of the box."""
    with asyncio.Runner(loop_factory=BootTimeEventLoop) as runner:
        return runner.run(work)
