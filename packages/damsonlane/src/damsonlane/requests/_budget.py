"""A budget that keeps retries to a share of first attempts."""

from collections import deque
from typing import Final

#: Retries that may be made before any first attempt is counted.
INITIAL_RETRIES: Final = 3.0
#: Most retries that can be saved up.
LARGEST_SAVING: Final = 100.0


class RetryBudget:
    """Saves a share of each first attempt and spends one for each retry."""

    def __init__(self) -> None:
        self._saved = INITIAL_RETRIES

    def count_first(self, share: float) -> None:
        """Save ``share`` of a retry for a first attempt."""
        self._saved = min(LARGEST_SAVING, self._saved + share)

    def try_spend(self) -> bool:
        """Spend one retry, if one is saved."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True


class WindowBudget:
    """Keeps what is sent again within a share of first sends in any window of time.

    It is one box's part of a budget of the whole fleet: its own first sends
    count in full, and the slack is split among the boxes.

    Args:
        share: requests sent again per first one.
        window: length of the window, in seconds.
    """

    def __init__(self, share: float, window: float) -> None:
        self._share: Final = share
        self._window: Final = window
        self._firsts: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def count_first(self, now: float) -> None:
        """Count a first send."""
        self._firsts.append(now)
        self._forget(now)

    def try_spend(self, now: float, slack: float) -> bool:
        """Spend one repeat if the window has room for it.

        Args:
            now: the monotonic clock, in seconds.
            slack: repeats that this box may make besides its share.
        """
        self._forget(now)
        if len(self._repeats) + 1 > self._share * len(self._firsts) + slack:
            return False
        self._repeats.append(now)
        return True

    def _forget(self, now: float) -> None:
        for times in (self._firsts, self._repeats):
            while times and times[0] <= now - self._window:
                times.popleft()
