"""A token bucket for one target that announced a rate limit."""

from typing import Final

#: Burst capacity in seconds of the rate, in addition to one request.  A target tolerates 1.5
#: times its rate plus five requests in any four seconds, and the permits of a second owner and
#: permits that are used late need a part of that, which limits the burst.
BURST_SECONDS: Final = 0.5


class RateBucket:
    """A token bucket for requests to one target.

    It starts empty, since what other boxes have sent is not known here: a full bucket could
    exceed the limit.

    Args:
        rate: requests a second.
        now: the time by the box's clock.
    """

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._tokens = 0.0
        self._refilled_at = now

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate, keeping the tokens up to the new capacity."""
        self._refill(now)
        self._rate = rate
        self._tokens = min(self._tokens, self._capacity())

    def wait_seconds(self, now: float) -> float:
        """Return the seconds until one more request may be sent; 0 if it may be sent now."""
        self._refill(now)
        return max(0.0, (1.0 - self._tokens) / self._rate)

    def try_acquire(self, now: float) -> bool:
        """Take a token for a request that is sent now; return whether there was one."""
        if self.wait_seconds(now) > 0:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        # The small addition keeps rounding from delaying a request whose token is due.
        self._tokens = min(self._capacity(), self._tokens + elapsed * self._rate + 1e-9)
        self._refilled_at = now

    def _capacity(self) -> float:
        return 1.0 + BURST_SECONDS * self._rate
