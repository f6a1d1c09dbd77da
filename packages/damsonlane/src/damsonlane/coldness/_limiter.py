"""Counting what is sent to cold targets."""

from collections import deque
from typing import Final

#: Seconds over which requests are counted: the second in which they may arrive, and a fifth
#: for the different times that they travel.
WINDOW_SECONDS: Final = 1.2


class ColdGate:
    """Tells whether a cold target may get one more request from this sender."""

    def __init__(self) -> None:
        self._sent: dict[str, deque[float]] = {}

    def admits(self, target: str, limit: int, now: float) -> bool:
        """Tell whether a target may get one more request.

        Args:
            target: its name.
            limit: requests that it may get from here in a second.
            now: the time by the monotonic clock.
        """
        sent = self._sent.get(target)
        if sent is None:
            return limit > 0
        while sent and sent[0] <= now - WINDOW_SECONDS:
            sent.popleft()
        return len(sent) < limit

    def note(self, target: str, now: float) -> None:
        """Note a request that is sent to a target."""
        self._sent.setdefault(target, deque()).append(now)

    def forget_others(self, targets: set[str]) -> None:
        """Forget the targets that are not among some."""
        for target in set(self._sent) - targets:
            del self._sent[target]
