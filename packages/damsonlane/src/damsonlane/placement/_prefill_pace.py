"""Prefill speed of the engines of one service."""

from typing import Final

#: Time of a request besides the prefill of its prompt, network included, in seconds.
BASE_SECONDS: Final = 0.05
#: Initial pace, in seconds per token.
INITIAL_PACE: Final = 30e-6
#: Limit of the relative change of the pace by one measurement.
STEP: Final = 0.05
#: Bounds of the pace, in seconds per token.
PACE_RANGE: Final = (3e-6, 1e-3)
#: Measurements with fewer tokens, those queued before included, are ignored.
MIN_TOKENS: Final = 1_000


class PrefillPace:
    """Running estimate of the median of seconds per token, adjusted in small steps."""

    def __init__(self) -> None:
        self._pace = INITIAL_PACE

    def seconds(self, tokens: float) -> float:
        """Return the time that an engine takes to prefill some tokens, in seconds."""
        return tokens * self._pace

    def record(self, tokens: float, seconds: float) -> None:
        """Record a measurement.

        Args:
            tokens: tokens prefilled until a first event.
            seconds: time until that event.
        """
        if tokens < MIN_TOKENS:
            return
        is_slower = seconds > BASE_SECONDS + self.seconds(tokens)
        factor = 1 + STEP / 2 if is_slower else 1 - STEP / 2
        low, high = PACE_RANGE
        self._pace = min(high, max(low, self._pace * factor))
