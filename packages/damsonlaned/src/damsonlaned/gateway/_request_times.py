"""When a request had its stages and the first event of its answer."""

import asyncio
from typing import Final


class RequestTimes:
    """Times of one request, in seconds since it arrived.

    Args:
        arrived_at: when it had arrived, by the loop's clock.
    """

    def __init__(self, arrived_at: float) -> None:
        self._arrived_at: Final = arrived_at
        self._staged_seconds = 0.0
        self._sent_seconds = 0.0
        self._first_seconds: float | None = None
        self._event_seconds: float | None = None
        self._longest_pause: float | None = None

    def age(self) -> float:
        """Return the seconds since the request arrived."""
        return asyncio.get_running_loop().time() - self._arrived_at

    def note_staged(self) -> None:
        """Note that its stages are made."""
        self._staged_seconds = self.age()

    def note_sent(self) -> None:
        """Note that it is sent to a target."""
        self._sent_seconds = self.age()

    def seconds_since_sent(self) -> float:
        """Return the seconds since it was sent to a target last."""
        return self.age() - self._sent_seconds

    def note_first_event(self) -> float:
        """Note the first event of its answer and return the seconds since its stages were made."""
        self._first_seconds = self.age()
        return self._first_seconds - self._staged_seconds

    def note_event(self) -> None:
        """Note an event of its answer; the pauses between them count for the caller."""
        now = self.age()
        if self._event_seconds is not None:
            self._longest_pause = max(self._longest_pause or 0.0, now - self._event_seconds)
        self._event_seconds = now

    def log_fields(self) -> dict[str, object]:
        """Return what the log line about its end holds of them."""
        return {
            "staged_seconds": round(self._staged_seconds, 3),
            "first_event_seconds": _round(self._first_seconds),
            "longest_pause_seconds": _round(self._longest_pause),
        }


def _round(seconds: float | None) -> float | None:
    return round(seconds, 3) if seconds is not None else None
