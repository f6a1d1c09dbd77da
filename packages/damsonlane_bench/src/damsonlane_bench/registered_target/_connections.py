"""Limit of the connections of a stand-in."""

from collections.abc import Callable
from typing import Final


class ConnectionLimit:
    """Resets connections beyond a limit, and keeps their largest number.

    Args:
        most: most connections that are taken; 0 for any number.
        count_open: returns the number of open connections.
    """

    def __init__(self, most: int, count_open: Callable[[], int]) -> None:
        self._most: Final = most
        self._count_open: Final = count_open
        #: Largest number of open connections so far.
        self.peak = 0
        #: Connections that were reset.
        self.reset_count = 0

    def admit(self) -> bool:
        """Return whether a new connection is taken."""
        number = 1 + self._count_open()
        is_taken = not self._most or number <= self._most
        if is_taken:
            self.peak = max(self.peak, number)
        else:
            self.reset_count += 1
        return is_taken
