"""Rejections of a stand-in that fails if it rejects more than it announces to bear."""

import itertools
import time
from collections import deque
from typing import Final

#: What a target announces one after the other: the value of the header, and the rejections a second
#: that it bears; None for an invalid value, with which it bears any number.
REJECTION_LIMITS: Final[tuple[tuple[str, float | None], ...]] = (
    ("2", 2.0),
    ("many", None),
    ("4, 1", 1.0),
    ("1e9", 1e9),
    ("-1", None),
    ("3", 3.0),
)
#: Requests beyond its slots that a target queues while it announces a limit.
QUEUE_LENGTH: Final = 1


class Rejections:
    """Decides which requests are rejected for lack of room, and when the target fails.

    Args:
        slots: requests that run at a time.
    """

    def __init__(self, slots: int) -> None:
        self._slots: Final = slots
        self._limits: Final = itertools.cycle(REJECTION_LIMITS)
        self._recent: Final[deque[float]] = deque()
        self._limit: float | None = None
        #: Value of the header; empty while no limit is announced.
        self.header = ""

    def announce_next(self) -> None:
        """Announce the next limit."""
        self.header, self._limit = next(self._limits)

    def end(self) -> None:
        """Announce no limit."""
        self.header, self._limit = "", None

    def rejects(self, running: int) -> bool:
        """Return whether a request is rejected, of as many that are in progress with it."""
        return bool(self.header) and running > self._slots + QUEUE_LENGTH

    def record_rejection(self) -> bool:
        """Record a rejection; return whether the target fails."""
        now = time.monotonic()
        self._recent.append(now)
        while self._recent[0] < now - 1.0:
            self._recent.popleft()
        return self._limit is not None and len(self._recent) > self._limit
