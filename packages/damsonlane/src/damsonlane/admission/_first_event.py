"""How long engines take from a request to the first event of its answer."""

from typing import Final

#: Seconds that an engine needs besides reading the prompt: 64 ms of its own on the
#: first users' engines, and the way there and back.
BASE_SECONDS: Final = 0.1
#: Seconds per token of the prompt before any was measured: half of the first
#: events came within it on a day of high load, prompts of 0.7 to 9 thousand tokens.
INITIAL_PACE: Final = 25e-6
#: Share of first events that should come within the forecast.  With four of five,
#: requests were refused that would have been in aim.
QUANTILE: Final = 0.5
#: Share by which one measurement moves the pace at most.
STEP: Final = 0.05
#: Bounds of the pace, in seconds per token.
PACE_RANGE: Final = (5e-6, 1e-3)
#: Largest share of the aim that is kept.  The longest prompts take more; with all
#: of it kept they would count as late on arrival and go last, so hardly one of
#: them would be served.
LARGEST_SHARE: Final = 0.4
#: Prompts shorter than this say nothing of the pace, in tokens.
LEAST_TOKENS: Final = 500


class FirstEventForecast:
    """Forecasts first events of one service by the length of the prompt.

    The pace follows a quantile of what was measured: it moves up for each event
    that came later than forecast and down for each that came sooner, by steps
    whose proportion is that of the quantile to the rest.
    """

    def __init__(self) -> None:
        self._pace = INITIAL_PACE

    def seconds(self, tokens: int, aim_seconds: float) -> float:
        """Return the time to keep for the first event after all stages are made.

        Args:
            tokens: length of the prompt.
            aim_seconds: time within which the first event keeps the request in aim.
        """
        return min(self._expect(tokens), LARGEST_SHARE * aim_seconds)

    def note(self, tokens: int, seconds: float) -> None:
        """Learn from a first event that came ``seconds`` after its request was sent."""
        if tokens < LEAST_TOKENS:
            return
        is_late = seconds > self._expect(tokens)
        factor = 1 + STEP * QUANTILE if is_late else 1 - STEP * (1 - QUANTILE)
        low, high = PACE_RANGE
        self._pace = min(high, max(low, self._pace * factor))

    def _expect(self, tokens: int) -> float:
        """Return the time that a prompt takes, whatever the aim."""
        return BASE_SECONDS + tokens * self._pace
