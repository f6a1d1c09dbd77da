"""Counting what may be sent to one target that named a rate limit."""

from typing import Final

#: Seconds' worth of a rate that may be saved up while nobody wants it, besides one request.
#: More would not fit: a target bears half as much again as its rate, and five requests, in any
#: four seconds, and of that a second owner's permits and late uses need their part.
SAVED_SECONDS: Final = 0.5


class RateBucket:
    """A token bucket for requests to one target.

    It starts empty, since what other boxes sent before is not known here: for a moment a
    target gets too little rather than too much.

    Args:
        rate: requests a second.
        now: the time by the box's clock.
    """

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._tokens = 0.0
        self._filled_at = now

    def set_rate(self, rate: float, now: float) -> None:
        """Go on at another rate."""
        self._fill(now)
        self._rate = rate
        self._tokens = min(self._tokens, self._most())

    def wait_seconds(self, now: float) -> float:
        """Return the seconds until one more request may be sent; 0 if it may be now."""
        self._fill(now)
        return max(0.0, (1.0 - self._tokens) / self._rate)

    def take(self, now: float) -> bool:
        """Count a request that is sent now; tell whether it may be."""
        if self.wait_seconds(now) > 0:
            return False
        self._tokens -= 1.0
        return True

    def _fill(self, now: float) -> None:
        passed = max(0.0, now - self._filled_at)
        # Rounding must not keep a request back for a moment more when its time has come.
        self._tokens = min(self._most(), self._tokens + passed * self._rate + 1e-9)
        self._filled_at = now

    def _most(self) -> float:
        return 1.0 + SAVED_SECONDS * self._rate
