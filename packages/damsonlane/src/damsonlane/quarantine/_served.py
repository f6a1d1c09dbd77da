"""What was served recently, to which exits of targets are not attributed."""

from typing import Final

#: Seconds for which something counts as recently served.  What many requests share is in progress
#: at every target; without this, the loss of three targets at once would quarantine it.
SERVED_SECONDS: Final = 60.0
#: Seconds within which it was served for other entries to be told: it may have begun to make
#: targets exit since an older answer.
CONFIRMED_SECONDS: Final = 10.0
#: Seconds for which exits may go on without a further answer until earlier ones no longer count.
#: While something innocent is in use, targets that are left serve it.
UNSERVED_SECONDS: Final = 2.0
#: Most names that are remembered: some minutes of an entry that serves a dozen a second.
MAX_SERVED: Final = 8_192


class RecentlyServed:
    """Names of requests, and of what they share, that targets served recently for one entry."""

    def __init__(self) -> None:
        self._served_at: dict[str, float] = {}
        #: Time of the first exit since the last answer.
        self._exited_at: dict[str, float] = {}

    def record(self, name: str, now: float) -> None:
        """Record that something was served.

        Args:
            name: its name.
            now: the time by the monotonic clock.
        """
        self._served_at.pop(name, None)
        self._exited_at.pop(name, None)
        self._served_at[name] = now
        if len(self._served_at) > MAX_SERVED:
            oldest = next(iter(self._served_at))
            del self._served_at[oldest]
            self._exited_at.pop(oldest, None)

    def record_exit(self, name: str, now: float) -> None:
        """Record that a target exited under something."""
        if name in self._served_at:
            self._exited_at.setdefault(name, now)

    def contains(self, name: str, now: float, within: float = SERVED_SECONDS) -> bool:
        """Return whether something was served recently, and exits have not gone on since.

        Args:
            name: its name.
            now: the time by the monotonic clock.
            within: seconds that count as recent.
        """
        served_at = self._served_at.get(name)
        exited_at = self._exited_at.get(name, now)
        return (
            served_at is not None
            and now - served_at < within
            and now - exited_at < UNSERVED_SECONDS
        )
