"""Waiting for conditions, never for a fixed time."""

import time
from collections.abc import Callable
from typing import Final

#: Longest wait before a test is called stuck, in seconds.
PATIENCE: Final = 60.0
_PAUSE: Final = 0.02


class StuckError(AssertionError):
    """A condition did not come true."""


def wait_until(condition: Callable[[], bool], what: str, seconds: float = PATIENCE) -> None:
    """Wait until a condition holds.

    Raises:
        StuckError: it did not within ``seconds``.
    """
    due = time.monotonic() + seconds
    while not condition():
        if time.monotonic() >= due:
            raise StuckError(f"waited {seconds} s in vain until {what}")
        time.sleep(_PAUSE)
