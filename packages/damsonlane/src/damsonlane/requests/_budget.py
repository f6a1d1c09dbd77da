"""Retry budgets: they limit retries to a share of first attempts."""

from collections import deque
from typing import Final

#: Retries in a new budget.
INITIAL_RETRIES: Final = 3.0
#: Maximum number of retries in the budget.
MAX_BALANCE: Final = 100.0


class RetryBudget:
    """Adds a share of a retry for each first attempt and takes one for each retry."""

    def __init__(self) -> None:
        self._balance = INITIAL_RETRIES

    def count_first(self, share: float) -> None:
        """Add ``share`` of a retry for a first attempt."""
        self._balance = min(MAX_BALANCE, self._balance + share)

    def try_spend(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True


class WindowedRetryBudget:
    """Limits retries to a share of first attempts in any window of time.

    It is one box's part of a budget of the whole fleet: the first attempts of the box count in
    full, and the slack is split among the boxes.

    Args:
        share: retries allowed per first attempt.
        window: length of the window, in seconds.
    """

    def __init__(self, share: float, window: float) -> None:
        self._share: Final = share
        self._window: Final = window
        self._firsts: deque[float] = deque()
        self._retries: deque[float] = deque()

    def count_first(self, now: float) -> None:
        """Count a first attempt."""
        self._firsts.append(now)
        self._remove_old(now)

    def try_spend(self, now: float, slack: float) -> bool:
        """Take one retry if the window allows it; return whether it does.

        Args:
            now: the monotonic clock, in seconds.
            slack: retries that this box may make in addition to its share.
        """
        if not self.may_spend(now, slack):
            return False
        self._retries.append(now)
        return True

    def return_last(self) -> None:
        """Return the newest retry, which was not made."""
        if self._retries:
            self._retries.pop()

    def may_spend(self, now: float, slack: float) -> bool:
        """Return whether the window allows one more retry.

        Args:
            now: the monotonic clock, in seconds.
            slack: retries that this box may make in addition to its share.
        """
        self._remove_old(now)
        return len(self._retries) + 1 <= self._share * len(self._firsts) + slack

    def _remove_old(self, now: float) -> None:
        for times in (self._firsts, self._retries):
            while times and times[0] <= now - self._window:
                times.popleft()
