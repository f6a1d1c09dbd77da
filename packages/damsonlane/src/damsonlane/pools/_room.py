"""Room for results at one target, as the box that sends it work counts it."""

from dataclasses import dataclass
from typing import Final

#: Seconds for which results that this box does not know of are reckoned to stay
#: at a target.  They were ordered by an owner before this one, or are larger than
#: told; most are used within a second, and one more refusal tells of the rest.
UNKNOWN_SECONDS: Final = 1.0


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
        #: Bytes of results that this box does not know of, the size of one of them,
        #: and when a refusal told of them.
        self._unknown = 0
        self._unknown_size = 0
        self._refused_at = float("-inf")

    def free_bytes(self, now: float) -> int:
        """Return the bytes that are free, as far as this box knows."""
        for handle in [name for name, held in self._held.items() if held.until <= now]:
            del self._held[handle]
        used = sum(held.size for held in self._held.values())
        unknown = self._unknown if self.was_refused_lately(now) else 0
        return self._size - used - self._announced - unknown

    def announce(self, size: int) -> None:
        """Count the results of a call that starts."""
        self._announced += size

    def settle(self, announced: int, made: dict[str, int], now: float) -> None:
        """Replace what a call announced by the results that it made, by handle."""
        self._announced -= announced
        for handle, size in made.items():
            self._held[handle] = _Held(size=size, until=now + self._keep_seconds)

    def note_refused(self, missing: int, size: int, now: float) -> None:
        """Note that the target had less room than this box reckoned.

        Args:
            missing: bytes that were not there.
            size: size of a result that it refused.
            now: the time by the monotonic clock.
        """
        known = self._unknown if self.was_refused_lately(now) else 0
        self._unknown = known + max(0, missing)
        self._unknown_size = size
        self._refused_at = now

    def was_refused_lately(self, now: float) -> bool:
        """Tell whether the target had less room than reckoned a moment ago."""
        return now < self._refused_at + UNKNOWN_SECONDS

    def free(self, handle: str) -> bool:
        """Forget a result; tell whether it was known."""
        if self._held.pop(handle, None) is not None:
            return True
        self._unknown = max(0, self._unknown - self._unknown_size)
        return False
