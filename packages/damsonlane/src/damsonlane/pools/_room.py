"""Room for results at one target, as the box that sends it work counts it."""

from dataclasses import dataclass
from typing import Final

#: Seconds for which a target that said it has no room is believed; about the
#: time in which one of its results is used.
FULL_SECONDS: Final = 0.15


@dataclass(frozen=True, kw_only=True)
class _Held:
    """One result or one announced result."""

    size: int
    until: float


class ResultRoom:
    """Counts results from the start of their call until they are freed or forgotten.

    Args:
        size: bytes for results.
        keep_seconds: time for which the target keeps a result.
    """

    def __init__(self, size: int, keep_seconds: float) -> None:
        self._size = size
        self._keep_seconds = keep_seconds
        self._held: dict[str, _Held] = {}
        self._announced = 0
        self._full_until = 0.0

    def free_bytes(self, now: float) -> int:
        """Return the bytes that are free, as far as this box knows."""
        if now < self._full_until:
            return 0
        for handle in [name for name, held in self._held.items() if held.until <= now]:
            del self._held[handle]
        used = sum(held.size for held in self._held.values())
        return self._size - used - self._announced

    def announce(self, size: int) -> None:
        """Count the results of a call that starts."""
        self._announced += size

    def settle(self, announced: int, made: dict[str, int], now: float) -> None:
        """Replace what a call announced by the results that it made, by handle."""
        self._announced -= announced
        for handle, size in made.items():
            self._held[handle] = _Held(size=size, until=now + self._keep_seconds)

    def note_full(self, now: float) -> None:
        """Believe the target that it has no room, until a result is freed or some time passes.

        Sizes are approximate, and results of another box may lie there too.
        """
        self._full_until = now + FULL_SECONDS

    def free(self, handle: str) -> bool:
        """Forget a result; tell whether it was known."""
        self._full_until = 0.0
        return self._held.pop(handle, None) is not None
