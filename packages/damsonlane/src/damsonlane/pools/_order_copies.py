"""Orders that several owners of a pool have, or that were withdrawn."""

from collections import Counter
from typing import Final

#: Withdrawn orders that are remembered, so that a result that still arrives is freed.
MAX_WITHDRAWN: Final = 4_096


class OrderCopies:
    """Counts the owners of each order that has several, and remembers withdrawn orders."""

    def __init__(self) -> None:
        #: Owners that have an order, for those that were placed with several ones.
        self._owners: Final[Counter[int]] = Counter()
        self._withdrawn: Final[dict[int, str]] = {}

    def has_several(self, number: int) -> bool:
        """Return whether several owners have an order."""
        return number in self._owners

    def add(self, number: int) -> None:
        """Record that one more owner has an order."""
        self._owners[number] = self._owners.get(number, 1) + 1

    def remove(self, number: int) -> bool:
        """Record that an owner has an order no more; return whether another one has it."""
        if number not in self._owners:
            return False
        self._owners[number] -= 1
        if self._owners[number] <= 1:
            del self._owners[number]
        return True

    def end(self, number: int) -> bool:
        """Forget an order that needs no result any more; return whether several owners had it."""
        return bool(self._owners.pop(number, 0))

    def record_withdrawn(self, number: int, service: str) -> None:
        """Remember a withdrawn order and its service."""
        self._withdrawn[number] = service
        if len(self._withdrawn) > MAX_WITHDRAWN:
            del self._withdrawn[next(iter(self._withdrawn))]

    def take_withdrawn(self, number: int) -> str:
        """Forget a withdrawn order; return its service, or an empty string if it is not known."""
        return self._withdrawn.pop(number, "")
