"""Limits the bytes of responses that are collected until they are complete."""

from collections.abc import Callable
from typing import Final

#: Largest body of a response that is collected, in bytes.
MAX_BODY_BYTES: Final = 16 * 2**20
#: Limit of the bytes that a process collects for all responses, where its memory is not known.
DEFAULT_TOTAL_BYTES: Final = 64 * 2**20
#: Share of a box's memory that may hold collected bytes.
MEMORY_SHARE: Final = 0.125


class CollectionBudget:
    """Limits what all responses together hold in memory; the largest one is given up first.

    Args:
        total_bytes: limit for all responses together, in bytes.
    """

    def __init__(self, total_bytes: int = DEFAULT_TOTAL_BYTES) -> None:
        self._total_bytes: Final = total_bytes
        #: Largest body that is collected, in bytes.
        self.body_bytes: Final = min(MAX_BODY_BYTES, total_bytes)
        self._sizes: Final[dict[Callable[[], None], int]] = {}
        self._total = 0

    @classmethod
    def for_memory(cls, memory_bytes: int) -> "CollectionBudget":
        """Return the budget of a process that may use this much memory, in bytes."""
        return cls(min(DEFAULT_TOTAL_BYTES, int(MEMORY_SHARE * memory_bytes)))

    def record(self, give_up: Callable[[], None], size: int) -> None:
        """Record how many bytes of a response are collected.

        Args:
            give_up: identifies the response; called if it must be given up.
            size: bytes that are collected; 0 once it is complete or abandoned.
        """
        self._total += size - self._sizes.get(give_up, 0)
        if size:
            self._sizes[give_up] = size
        else:
            self._sizes.pop(give_up, None)
        while self._total > self._total_bytes:
            largest = max(self._sizes, key=self._sizes.__getitem__)
            self._total -= self._sizes.pop(largest)
            largest()
