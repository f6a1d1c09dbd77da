"""Forecast of the time from a request to the first event of its answer."""

from typing import Final

#: Seconds that a request takes besides prefill: fixed time of the engine, 64 ms at the engines of
#: the first users, and the network.
BASE_SECONDS: Final = 0.1
#: Initial pace, in seconds per token of the prompt: half of the first events came within it on a
#: day of high load with prompts of 700 to 9,000 tokens.
INITIAL_PACE: Final = 25e-6
#: Share of first events that should come within the forecast.  A higher share would refuse
#: requests that can meet their latency objective.
QUANTILE: Final = 0.5
#: Limit of the relative change of the pace by one measurement.
STEP: Final = 0.05
#: Bounds of the pace, in seconds per token.
PACE_RANGE: Final = (5e-6, 1e-3)
#: Largest share of the latency objective that is reserved for the first event.  The longest
#: prompts take more; if all of that were reserved, they would count as late on arrival and be
#: starved.
MAX_OBJECTIVE_SHARE: Final = 0.4
#: Minimum length of the prompts that are measured, in tokens.
MIN_TOKENS: Final = 500


class FirstEventForecast:
    """Forecasts first events of one service by the length of the prompt.

    The pace follows a quantile of the measurements: it is increased after each event that came
    later than forecast and decreased after each other event, in steps proportional to the
    quantile and to its complement.
    """

    def __init__(self) -> None:
        self._pace = INITIAL_PACE

    def seconds(self, tokens: int, aim_seconds: float) -> float:
        """Return the seconds to reserve for the first event after the last stage.

        Args:
            tokens: length of the prompt.
            aim_seconds: latency objective of the first event, in seconds.
        """
        return min(self._expect(tokens), MAX_OBJECTIVE_SHARE * aim_seconds)

    def record(self, tokens: int, seconds: float) -> None:
        """Record a first event.

        Args:
            tokens: length of the prompt.
            seconds: time from sending the request to the event.
        """
        if tokens < MIN_TOKENS:
            return
        is_late = seconds > self._expect(tokens)
        factor = 1 + STEP * QUANTILE if is_late else 1 - STEP * (1 - QUANTILE)
        low, high = PACE_RANGE
        self._pace = min(high, max(low, self._pace * factor))

    def _expect(self, tokens: int) -> float:
        """Return the time to the first event, without the limit by the latency objective."""
        return BASE_SECONDS + tokens * self._pace
