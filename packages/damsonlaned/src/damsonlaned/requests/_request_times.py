"""Times of one request: end of its stages, first event, and pauses of its response."""

import asyncio
from typing import Final


class RequestTimes:
    """Times of one request, in seconds since it arrived.

    Args:
        arrived_at: arrival time, by the loop's clock.
    """

    def __init__(self, arrived_at: float) -> None:
        self._arrived_at: Final = arrived_at
        self._staged_seconds = 0.0
        self._sent_seconds = 0.0
        self._first_event_seconds: float | None = None
        self._last_event_seconds: float | None = None
        self._longest_pause: float | None = None

    def age(self) -> float:
        """Return the seconds since the request arrived."""
        return asyncio.get_running_loop().time() - self._arrived_at

    def record_staged(self) -> None:
        """Record that its stages have completed."""
        self._staged_seconds = self.age()

    def record_sent(self, age: float | None = None) -> None:
        """Record that it is sent to a target, or that the target that got it then goes on.

        Args:
            age: the seconds from its arrival until then; None for now.
        """
        self._sent_seconds = self.age() if age is None else age

    def seconds_since_sent(self) -> float:
        """Return the seconds since it was sent to the target that has it."""
        return self.age() - self._sent_seconds

    def seconds_since_first_event(self) -> float:
        """Return the seconds since the first event; 0 if there was none."""
        first = self._first_event_seconds
        return self.age() - first if first is not None else 0.0

    def seconds_to_answer(self) -> float:
        """Return the seconds until the first event, or until now for an answer without events."""
        first = self._first_event_seconds
        return first if first is not None else self.age()

    def record_first_event(self) -> float:
        """Record the first event and return the seconds since the stages completed."""
        self._first_event_seconds = self.age()
        return self._first_event_seconds - self._staged_seconds

    def record_event(self) -> None:
        """Record an event of the response, for the longest pause between events."""
        now = self.age()
        if self._last_event_seconds is not None:
            self._longest_pause = max(self._longest_pause or 0.0, now - self._last_event_seconds)
        self._last_event_seconds = now

    def log_fields(self) -> dict[str, object]:
        """Return the fields for the log line about its outcome."""
        return {
            "staged_seconds": round(self._staged_seconds, 3),
            "first_event_seconds": _round(self._first_event_seconds),
            "longest_pause_seconds": _round(self._longest_pause),
        }


def _round(seconds: float | None) -> float | None:
    return round(seconds, 3) if seconds is not None else None
