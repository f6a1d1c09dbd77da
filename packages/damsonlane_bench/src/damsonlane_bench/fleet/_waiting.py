"""Waiting until a condition holds."""

import time
from collections.abc import Callable
from typing import Final

#: Longest wait for a condition, in seconds.
DEFAULT_TIMEOUT_SECONDS: Final = 60.0
_POLL_SECONDS: Final = 0.02


class WaitTimeoutError(AssertionError):
    """A condition did not hold within its timeout."""


def wait_until(
    condition: Callable[[], bool], what: str, seconds: float = DEFAULT_TIMEOUT_SECONDS
) -> None:
    """Wait until a condition holds.

    Args:
        condition: returns whether it holds; it is polled.
        what: the condition in words, for the error message.
        seconds: timeout.

    Raises:
        WaitTimeoutError: the condition did not hold within the timeout.
    """
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() >= deadline:
            raise WaitTimeoutError(f"waited {seconds} s in vain until {what}")
        time.sleep(_POLL_SECONDS)
