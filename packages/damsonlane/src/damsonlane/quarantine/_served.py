"""Requests that were served recently, to which exits of targets are not attributed."""

from typing import Final

#: Seconds for which a request counts as recently served.  A request that many callers send is in
#: progress at every target; without this, the loss of three targets at once would quarantine it.
SERVED_SECONDS: Final = 60.0
#: Most requests that are remembered: some minutes of an entry that serves a dozen a second.
MAX_SERVED: Final = 2_048


class RecentlyServed:
    """Fingerprints of the requests that targets served recently for one entry."""

    def __init__(self) -> None:
        self._served_at: dict[str, float] = {}

    def record(self, fingerprint: str, now: float) -> None:
        """Record a request that was served.

        Args:
            fingerprint: its fingerprint.
            now: the time by the monotonic clock.
        """
        self._served_at.pop(fingerprint, None)
        self._served_at[fingerprint] = now
        if len(self._served_at) > MAX_SERVED:
            del self._served_at[next(iter(self._served_at))]

    def contains(self, fingerprint: str, now: float) -> bool:
        """Return whether a request was served recently."""
        served_at = self._served_at.get(fingerprint)
        return served_at is not None and now - served_at < SERVED_SECONDS
