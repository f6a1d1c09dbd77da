"""Accounting of the result memory of one target by the box that sends it work."""

from typing import Final

from damsonlane.records import dataclass

#: Seconds for which results unknown to this box are assumed to stay at a target.  They were
#: ordered by an earlier owner of the pool, or are larger than announced.  Most are consumed
#: within this time; a further rejection reports the rest.
UNKNOWN_SECONDS: Final = 1.0


@dataclass(frozen=True, kw_only=True)
class _StoredResult:
    """One result in the memory of the target."""

    #: Size, in bytes.
    size: int
    #: When the target evicts it, by the monotonic clock.
    expires_at: float


class ResultMemory:
    """Counts results from the start of their call until they are released or expire.

    Args:
        size: size of the result memory, in bytes.
        keep_seconds: time after which the target evicts a result.
    """

    def __init__(self, size: int, keep_seconds: float) -> None:
        self._size = size
        self._keep_seconds = keep_seconds
        self._stored: dict[str, _StoredResult] = {}
        self._announced = 0
        #: Bytes of results unknown to this box, the size of one of them, and when a
        #: rejection reported them.
        self._unknown = 0
        self._unknown_size = 0
        self._rejected_at = float("-inf")

    def free_bytes(self, now: float) -> int:
        """Return the bytes that are free, as far as this box knows."""
        for handle in [name for name, result in self._stored.items() if result.expires_at <= now]:
            del self._stored[handle]
        used = sum(result.size for result in self._stored.values())
        unknown = self._unknown if self.was_rejected_recently(now) else 0
        return self._size - used - self._announced - unknown

    def reserve(self, size: int) -> None:
        """Reserve memory for the results of a call that starts.

        Args:
            size: announced size of all its results, in bytes.
        """
        self._announced += size

    def commit(self, announced: int, sizes: dict[str, int], now: float) -> None:
        """Replace the reservation of a call by the results that it computed.

        Args:
            announced: the size that was reserved for the call, in bytes.
            sizes: sizes of its results by handle, in bytes.
            now: the monotonic clock, in seconds.
        """
        self._announced -= announced
        for handle, size in sizes.items():
            self._stored[handle] = _StoredResult(size=size, expires_at=now + self._keep_seconds)

    def record_rejection(self, missing: int, size: int, now: float) -> None:
        """Record that the target rejected a call because it had less free memory than estimated.

        Args:
            missing: bytes that were lacking.
            size: size of one of the rejected results, in bytes.
            now: the monotonic clock, in seconds.
        """
        known = self._unknown if self.was_rejected_recently(now) else 0
        self._unknown = known + max(0, missing)
        self._unknown_size = size
        self._rejected_at = now

    def was_rejected_recently(self, now: float) -> bool:
        """Return whether the target recently had less free memory than estimated."""
        return now < self._rejected_at + UNKNOWN_SECONDS

    def release(self, handle: str) -> bool:
        """Remove a released result, and return whether it was known."""
        if self._stored.pop(handle, None) is not None:
            return True
        self._unknown = max(0, self._unknown - self._unknown_size)
        return False
