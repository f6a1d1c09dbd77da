"""A sliding-window rate limiter for targets that are warming up."""

from collections import deque
from typing import Final

#: Window over which requests are counted, in seconds: the second in which they may arrive, and
#: 0.2 s for differences in latency.
WINDOW_SECONDS: Final = 1.2


class WarmupLimiter:
    """Limits the requests that this sender sends to each target that is warming up."""

    def __init__(self) -> None:
        self._sent: dict[str, deque[float]] = {}

    def admits(self, target: str, limit: int, now: float) -> bool:
        """Return whether a target may get one more request.

        Args:
            target: name of the target.
            limit: requests a second that it may get from this sender.
            now: the time by the monotonic clock.
        """
        sent = self._sent.get(target)
        if sent is None:
            return limit > 0
        while sent and sent[0] <= now - WINDOW_SECONDS:
            sent.popleft()
        return len(sent) < limit

    def record(self, target: str, now: float) -> None:
        """Record a request that is sent to a target."""
        self._sent.setdefault(target, deque()).append(now)

    def retain_only(self, targets: set[str]) -> None:
        """Drop the records of all targets but the given ones."""
        for target in set(self._sent) - targets:
            del self._sent[target]
