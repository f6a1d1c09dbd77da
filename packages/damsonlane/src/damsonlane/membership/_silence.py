"""Detection of a peer that has failed, as opposed to one that is slow."""

from typing import Final

#: Silence after which a peer that sends several messages a second has failed, in seconds.
SILENCE_SECONDS: Final = 0.8
#: Ratio of the timeout to the longest recent interval between messages.  The intervals of an
#: overloaded peer grow; a peer that fails stops at once.
INTERVAL_FACTOR: Final = 3.0
#: Share of the longest interval that is kept with each message.
INTERVAL_DECAY: Final = 0.9
#: Longest timeout, in seconds.
MAX_SILENCE_SECONDS: Final = 6.0
#: Seconds between checks.
CHECK_SECONDS: Final = 0.2


class SilenceDetector:
    """Detects a peer that stopped sending messages, by the intervals between its recent ones.

    Args:
        now: the monotonic clock, in seconds.
        seconds: least silence after which the peer has failed, in seconds.
    """

    def __init__(self, now: float, seconds: float = SILENCE_SECONDS) -> None:
        self._seconds: Final = seconds
        self._received_at = now
        self._checked_at = now
        self._longest_interval = 0.0
        self._silent_seconds = 0.0

    def restart(self, now: float) -> None:
        """Begin to expect messages."""
        self._received_at = now
        self._checked_at = now
        self._silent_seconds = 0.0

    def record_message(self, now: float) -> None:
        """Record that a message arrived."""
        interval = now - self._received_at
        self._longest_interval = max(interval, INTERVAL_DECAY * self._longest_interval)
        self.restart(now)

    def is_silent(self, now: float) -> bool:
        """Return whether the peer has failed; to be called every `CHECK_SECONDS`.

        If the calls are further apart, this process was itself delayed, and messages may have
        arrived that it has not read yet.
        """
        self._silent_seconds += min(now - self._checked_at, CHECK_SECONDS)
        self._checked_at = now
        return self._silent_seconds > self._find_timeout()

    def _find_timeout(self) -> float:
        timeout = max(self._seconds, INTERVAL_FACTOR * self._longest_interval)
        return min(timeout, max(self._seconds, MAX_SILENCE_SECONDS))
