"""Requests that were served lately, so that the ends of targets are not put down to them."""

from typing import Final

#: Seconds for which a good end speaks for a request.  One that thousands send alike stands
#: among what breaks off at every target; without this, the loss of three targets at one
#: moment would have it refused to all of them.
SERVED_SECONDS: Final = 60.0
#: Requests that are remembered: some minutes of the dozen a second that a busy entry serves.
MOST_SERVED: Final = 2_048


class ServedLately:
    """Fingerprints of requests that targets served to a good end, as one entry saw it."""

    def __init__(self) -> None:
        self._served_at: dict[str, float] = {}

    def note(self, fingerprint: str, now: float) -> None:
        """Note a request that was served.

        Args:
            fingerprint: its fingerprint.
            now: the time by the monotonic clock.
        """
        self._served_at.pop(fingerprint, None)
        self._served_at[fingerprint] = now
        if len(self._served_at) > MOST_SERVED:
            del self._served_at[next(iter(self._served_at))]

    def has(self, fingerprint: str, now: float) -> bool:
        """Tell whether a request was served lately."""
        served_at = self._served_at.get(fingerprint)
        return served_at is not None and now - served_at < SERVED_SECONDS
