"""How long engines take from a request to the first event of its answer."""

from typing import Final

#: Seconds that an engine needs besides reading the prompt: 64 ms of its own on the
#: first users' engines, and the way there and back.
BASE_SECONDS: Final = 0.1
#: Seconds per token of the prompt before any was measured: four of five first
#: events came within it on a day of high load, prompts of 0.7 to 9 thousand tokens.
INITIAL_PACE: Final = 45e-6
#: Share of first events that should come within the forecast.
QUANTILE: Final = 0.8
#: Share by which one measurement moves the pace at most.
STEP: Final = 0.05
#: Bounds of the pace, in seconds per token.
PACE_RANGE: Final = (5e-6, 1e-3)
#: Prompts shorter than this say nothing of the pace, in tokens.
LEAST_TOKENS: Final = 500


class FirstEventForecast:
    """Forecasts first events of one service by the length of the prompt.

    The pace follows a quantile of what was measured: it moves up by a larger
    step for each event that came later than forecast than it moves down for
    each that came sooner.
    """

    def __init__(self) -> None:
        self._pace = INITIAL_PACE

    def seconds(self, tokens: int) -> float:
        """Return the time until the first event for a prompt of some tokens."""
        return BASE_SECONDS + tokens * self._pace

    def note(self, tokens: int, seconds: float) -> None:
        """Learn from a first event that came ``seconds`` after its request was sent."""
        if tokens < LEAST_TOKENS:
            return
        is_late = seconds > self.seconds(tokens)
        factor = 1 + STEP * QUANTILE if is_late else 1 - STEP * (1 - QUANTILE)
        low, high = PACE_RANGE
        self._pace = min(high, max(low, self._pace * factor))
